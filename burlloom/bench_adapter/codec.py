"""The simulator's wire as text: lines to typed events, actions to lines.

All words of the wire stand here and nowhere else. Times are microseconds on the wire and
nanoseconds in events; an absent value is `-`. Nothing here decides anything.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from ..admission.model import Outcome
from ..settings import NS_PER_US, SettingsDocument, parse_server_settings
from .errors import (
    SHOWN_NAME_CHARACTERS,
    FramingError,
    UnknownMessageError,
    UnreadableValueError,
    ValueCountError,
)

__all__ = [
    "BATCH_END",
    "REPLY_END",
    "Action",
    "CallEnded",
    "CallRequested",
    "CallerGone",
    "DrainNoticed",
    "Event",
    "InstanceKilled",
    "InstanceStarted",
    "RequestRead",
    "RunEnded",
    "TimerFired",
    "decode_batch_start",
    "decode_event",
    "encode_action",
]

BATCH_START = "TURN"
BATCH_END = "FLUSH"
REPLY_END = "EOR\n"
ABSENT = "-"
NO_ORIGINAL_NAMES = (ABSENT, "0")
COST_IS_VALID_FLAG = 1

OUTCOMES = {
    "Ok": Outcome.OK,
    "Failed": Outcome.FAILED,
    "QueueFull": Outcome.OVERLOADED,
    "TimedOut": Outcome.TIMED_OUT,
    "ConnectError": Outcome.UNREACHABLE,
    "ResetByPeer": Outcome.CONNECTION_LOST,
    "Canceled": Outcome.ABANDONED,
    "Ignored": Outcome.NO_LONGER_NEEDED,
}


class Action(Enum):
    """What an instance may do, by its word on the wire."""

    START_RUN = "ADMIT"
    REJECT = "REFUSE"
    FAIL = "END_FAILED"
    START_CALL = "DIAL"
    SKIP_CALL = "GO_ON"
    REMEMBER = "STORE_KEY"
    FORGET = "UNPIN"
    REUSE_RESULT = "ANSWER_FROM"
    SET_HEALTH = "SET_HEALTH"
    REPORT_LOAD = "STAMP"
    SET_IDLE_TIMEOUT = "TRIM_AFTER"
    SCHEDULE_TIMER = "SCHEDULE"
    LOG = "EMIT"
    REPORT_DEFECT = "BUG"


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An incarnation of a server begins.

    Attributes:
        instance: the instance.
        seed: of its random draws.
        document: its settings.
    """

    NAME: ClassVar[str] = "BOOT"
    instance: str
    seed: int
    document: SettingsDocument


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """An incarnation of a server is over.

    Attributes:
        instance: the instance.
    """

    NAME: ClassVar[str] = "KILLED"
    instance: str


@dataclass(frozen=True, slots=True)
class RequestRead:
    """A request was read.

    Attributes:
        instance: the instance.
        name: the request.
        caller: its caller's name.
        request_class: the index of its class.
        cost_ns: what its caller thinks that a run takes; 0 for none.
        unread_ns: how long it lay unread.
        deadline_at_ns: when its caller gives it up; 0 for none.
        memory_kb: its size.
        priority: 0 to 1.
        original: the attempt that it repeats; "" for none.
    """

    NAME: ClassVar[str] = "ASK"
    instance: str
    name: str
    caller: str
    request_class: int
    cost_ns: int
    unread_ns: int
    deadline_at_ns: int
    memory_kb: float
    priority: float
    original: str


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run ended.

    Attributes:
        instance: the instance.
        name: the request.
        outcome: how it ended.
        duration_ns: the time that it took.
    """

    NAME: ClassVar[str] = "COMPLETED"
    instance: str
    name: str
    outcome: Outcome
    duration_ns: int


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A run wants to call.

    Attributes:
        instance: the instance.
        name: the request.
    """

    NAME: ClassVar[str] = "NEEDS"
    instance: str
    name: str


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call ended.

    Attributes:
        instance: the instance.
        name: the request.
        outcome: how it ended.
        duration_ns: the time that it took.
    """

    NAME: ClassVar[str] = "CALL_DONE"
    instance: str
    name: str
    outcome: Outcome
    duration_ns: int


@dataclass(frozen=True, slots=True)
class CallerGone:
    """Nobody waits for the answer any more.

    Attributes:
        instance: the instance.
        name: the request.
    """

    NAME: ClassVar[str] = "LEFT"
    instance: str
    name: str


@dataclass(frozen=True, slots=True)
class DrainNoticed:
    """The instance is asked to stop.

    Attributes:
        instance: the instance.
        stop_at_ns: when it stops.
    """

    NAME: ClassVar[str] = "WIND_DOWN"
    instance: str
    stop_at_ns: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the instance asked for.

    Attributes:
        instance: the instance.
        handle: as it was given.
        measured: the values of the instance's meters; `None` where there are none.
    """

    NAME: ClassVar[str] = "WAKE"
    instance: str
    handle: int
    measured: tuple[float, ...] | None


Event = (
    InstanceStarted
    | InstanceKilled
    | RequestRead
    | RunEnded
    | CallRequested
    | CallEnded
    | CallerGone
    | DrainNoticed
    | TimerFired
)


def decode_batch_start(line: str) -> int:
    """The host's clock (ns) that a batch begins with.

    Raises:
        FramingError: the line does not begin a batch.
        UnreadableValueError: the clock can't be read.
    """
    name, _, clock = line.partition(" ")
    if name != BATCH_START:
        raise FramingError(f"expected {BATCH_START}, got {name[:SHOWN_NAME_CHARACTERS]!r}")
    try:
        return int(clock) * NS_PER_US
    except ValueError as error:
        raise UnreadableValueError(BATCH_START, error) from error


def decode_event(line: str) -> Event:
    """Reads the line of one event.

    Raises:
        UnknownMessageError: the wire has no such event.
        ValueCountError: it has more values than it takes, or fewer.
        UnreadableValueError: a value can't be used.
    """
    name = line.split(" ", 1)[0]
    if name not in DECODERS:
        raise UnknownMessageError(name)
    wanted, decode = DECODERS[name]
    # The last value of a start is text to the end of the line.
    values = line.split(" ", wanted) if decode is _instance_started else line.split(" ")
    if len(values) != wanted + 1:
        raise ValueCountError(name, wanted, len(values) - 1)
    try:
        return decode(values[1:])
    except (ValueError, KeyError, TypeError) as error:
        raise UnreadableValueError(name, error) from error


def encode_action(action: Action, instance: str, *values: object) -> str:
    """The line of an action, without its end."""
    return " ".join((action.value, instance, *map(str, values)))


def _integer(text: str) -> int:
    return 0 if text == ABSENT else int(text)


def _number(text: str) -> float:
    return 0.0 if text == ABSENT else float(text)


def _nanoseconds(text: str) -> int:
    return _integer(text) * NS_PER_US


def _instance_started(values: list[str]) -> Event:
    instance, seed, document = values
    if int(instance) < 0:
        raise ValueError(f"instance {instance}")
    return InstanceStarted(instance, int(seed), parse_server_settings(json.loads(document)))


def _instance_killed(values: list[str]) -> Event:
    return InstanceKilled(str(int(values[0])))


def _request_read(values: list[str]) -> Event:
    (
        instance,
        name,
        caller,
        flags,
        _tenant,
        cost,
        request_class,
        unread,
        _subject,
        deadline,
        memory_kb,
        priority,
        original,
    ) = values
    return RequestRead(
        instance=instance,
        name=name,
        caller=caller,
        request_class=int(request_class),
        cost_ns=_nanoseconds(cost) if _integer(flags) & COST_IS_VALID_FLAG else 0,
        unread_ns=_nanoseconds(unread),
        deadline_at_ns=_nanoseconds(deadline),
        memory_kb=_number(memory_kb),
        priority=_number(priority),
        original="" if original in NO_ORIGINAL_NAMES else original,
    )


def _run_ended(values: list[str]) -> Event:
    instance, name, outcome, duration = values
    return RunEnded(instance, name, OUTCOMES[outcome], _nanoseconds(duration))


def _call_requested(values: list[str]) -> Event:
    return CallRequested(*values)


def _call_ended(values: list[str]) -> Event:
    instance, name, duration, outcome = values
    return CallEnded(instance, name, OUTCOMES[outcome], _nanoseconds(duration))


def _caller_gone(values: list[str]) -> Event:
    return CallerGone(*values)


def _drain_noticed(values: list[str]) -> Event:
    instance, stop = values
    return DrainNoticed(instance, _nanoseconds(stop))


def _timer_fired(values: list[str]) -> Event:
    instance, handle, measured = values
    if measured == ABSENT:
        return TimerFired(instance, int(handle), None)
    return TimerFired(instance, int(handle), tuple(map(_number, measured.split(","))))


DECODERS: dict[str, tuple[int, Callable[[list[str]], Event]]] = {
    InstanceStarted.NAME: (3, _instance_started),
    InstanceKilled.NAME: (1, _instance_killed),
    RequestRead.NAME: (13, _request_read),
    RunEnded.NAME: (4, _run_ended),
    CallRequested.NAME: (2, _call_requested),
    CallEnded.NAME: (4, _call_ended),
    CallerGone.NAME: (2, _caller_gone),
    DrainNoticed.NAME: (2, _drain_noticed),
    TimerFired.NAME: (3, _timer_fired),
}
"""For each event, how many values it takes, and what reads them."""
