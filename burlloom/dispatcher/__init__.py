"""The decisions in blocking style, for a server on sockets: plain txns in, plain steps out."""

from .directives import (
    CallEnded,
    CallRequested,
    Directive,
    DirectiveKind,
    DrainStarted,
    RequestAttempt,
    ResultRecalled,
    RunEnded,
)
from .dispatcher import Dispatcher, RequestSlot
from .key_digests import PackedKeyDigests

__all__ = [
    "CallRequested",
    "CallEnded",
    "Dispatcher",
    "DirectiveKind",
    "DrainStarted",
    "PackedKeyDigests",
    "ResultRecalled",
    "RunEnded",
    "RequestSlot",
    "Directive",
    "RequestAttempt",
]
