"""The wire's text: settings, events and values in; nothing here chooses anything."""

import json

from .. import settings as facts
from ..admission.model import Gauges, Outcome, ServerSettings
from ..settings import NS_PER_US

OUTCOME = {
    "Ok": Outcome.OK,
    "Failed": Outcome.FAILED,
    "QueueFull": Outcome.OVERLOADED,
    "TimedOut": Outcome.TIMED_OUT,
    "ConnectError": Outcome.UNREACHABLE,
    "ResetByPeer": Outcome.CONNECTION_LOST,
    "Canceled": Outcome.ABANDONED,
    "Ignored": Outcome.NO_LONGER_NEEDED,
}
# name -> number of values after the name; the last value of BOOT is text to the end of the line
EVENTS = {
    "BOOT": 3,
    "KILLED": 1,
    "ASK": 13,
    "COMPLETED": 4,
    "NEEDS": 2,
    "CALL_DONE": 4,
    "LEFT": 2,
    "WIND_DOWN": 2,
    "WAKE": 3,
}


class BadInput(Exception):
    """The other side sent something that this wire does not have."""


def parts(line: str) -> list[str]:
    name = line.split(" ", 1)[0]
    wanted = EVENTS.get(name)
    if wanted is None:
        raise BadInput(f"unknown message {name[:40]!r}")
    values = line.split(" ", wanted) if name == "BOOT" else line.split(" ")
    if len(values) != wanted + 1:
        raise BadInput(f"{name} takes {wanted} values, got {len(values) - 1}")
    return values


def whole(text: str) -> int:
    """A whole number; an absent one is 0."""
    return 0 if text == "-" else int(text)


def real(text: str) -> float:
    return 0.0 if text == "-" else float(text)


def nanos(text: str) -> int:
    return whole(text) * NS_PER_US


def gauges(names: tuple[str, ...], text: str) -> Gauges:
    return (
        Gauges()
        if text == "-"
        else facts.parse_gauges(names, [real(value) for value in text.split(",")])
    )


def told(text: str) -> tuple[ServerSettings, tuple[str, ...]]:
    return facts.parse_server_settings(json.loads(text))
