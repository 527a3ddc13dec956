"""Carrying configuration to a fleet: changes in a chain, pushed down a tree, with repair by
digests.

Without I/O: `Follower` is a server's side, `Source` the side that is followed, both on a `Replica`;
a relay has both. `docs/distribution.md` has the choice and why nothing is lost or reordered.
"""

from .changes import Change, ConfigItem, Head, InvalidChangeError, initial_head
from .follower import Follower, Upstream
from .messages import is_for_source
from .proposal import propose
from .replica import Replica
from .settings import ReplicationSettings
from .source import Source
from .table import ConfigTable

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
