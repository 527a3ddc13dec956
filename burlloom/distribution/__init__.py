"""Carrying configuration to a fleet: changes in a chain, pushed down a tree, with repair by
digests.

Without I/O: `Follower` is a server's side, `Source` the side that is followed, both on a `Replica`;
a relay has both. `docs/distribution.md` has the choice and why nothing is lost or reordered.
"""

from .changes import Change, Entry, Head, Refused, first_head
from .follower import Follower, Upstream
from .messages import to_source
from .origin import propose
from .replica import Replica
from .source import Source
from .table import Table
from .terms import Terms

__all__ = [
    "Change",
    "Replica",
    "Entry",
    "Follower",
    "Head",
    "Refused",
    "Source",
    "Table",
    "Terms",
    "Upstream",
    "first_head",
    "propose",
    "to_source",
]
