"""Distribution of configuration to a fleet.

Changes form a hash chain, are pushed down a tree of relays, and are repaired by comparing digests.
`Follower` is a server's side, `Source` the side that is followed, both on a `Replica` and without
I/O; a relay has both. docs/distribution.md gives the protocol and why no change is lost or
reordered.
"""

from .changes import Change, ConfigItem, Head, InvalidChangeError, initial_head
from .codec import is_for_source
from .follower import Follower
from .proposal import propose
from .replica import Replica
from .settings import ReplicationSettings
from .source import Source
from .table import ConfigTable
from .upstreams import Upstream

__all__ = [
    "Change",
    "Replica",
    "ConfigItem",
    "Follower",
    "Head",
    "InvalidChangeError",
    "Source",
    "ConfigTable",
    "ReplicationSettings",
    "Upstream",
    "initial_head",
    "propose",
    "is_for_source",
]
