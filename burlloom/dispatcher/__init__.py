"""Connects the server and the admission controller: takes events, returns directives.

`Dispatcher` takes request attempts and events from the server, and returns for each request what to
do next. `IdempotencyTable` holds the requests that were seen before.
"""

from .directives import Directive, DirectiveKind
from .dispatcher import Dispatcher
from .events import (
    CallEnded,
    CallRequested,
    DrainStarted,
    RequestAttempt,
    ResultRecalled,
    RunEnded,
)
from .key_digests import PackedKeyDigests
from .request_slot import RequestSlot

__all__ = [
    "CallEnded",
    "CallRequested",
    "Directive",
    "DirectiveKind",
    "Dispatcher",
    "DrainStarted",
    "PackedKeyDigests",
    "RequestAttempt",
    "RequestSlot",
    "ResultRecalled",
    "RunEnded",
]
