"""Distribution of configuration to a fleet.

Changes form a hash chain and are pushed down a tree of relays; differences between replicas are
found by comparing digests and repaired. `Follower` is the receiving side of the protocol, `Source`
the serving side. Both work on a `Replica` and do no I/O; a relay has both on one replica.
docs/distribution.md specifies the protocol and shows why no change is lost or reordered.
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
