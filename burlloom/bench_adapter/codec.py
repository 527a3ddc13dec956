"""Codec of the simulator's text protocol: decodes lines to events and encodes actions to lines.

All names of the protocol are defined here and nowhere else. Times are in microseconds on the wire
and in nanoseconds in events; `-` stands for an absent value.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from ..admission.model import Outcome
from ..settings import NS_PER_US, SettingsDocument, parse_server_settings
from .errors import (
    MAX_SHOWN_NAME_CHARACTERS,
    FramingError,
    InvalidValueError,
    UnknownMessageError,
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
"""Names of the original attempt of a request that is not a repeat."""

COST_IS_VALID_FLAG = 1
"""Bit of a request's flags: its cost is valid."""

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
    """The actions of an instance, with their names on the wire."""

    START_RUN = "ADMIT"
    REJECT = "REFUSE"
    FAIL = "END_FAILED"
    START_CALL = "DIAL"
    SKIP_CALL = "GO_ON"
    KEEP_KEY = "STORE_KEY"
    FORGET_KEY = "UNPIN"
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
        instance: Name of the instance.
        seed: Seed of the instance's random numbers.
        document: Settings of the instance.
    """

    WIRE_NAME: ClassVar[str] = "BOOT"
    instance: str
    seed: int
    document: SettingsDocument


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """An incarnation of a server has ended.

    Attributes:
        instance: Name of the instance.
    """

    WIRE_NAME: ClassVar[str] = "KILLED"
    instance: str


@dataclass(frozen=True, slots=True)
class RequestRead:
    """A request was read.

    Attributes:
        instance: Name of the instance.
        name: Name of the request.
        caller: Name of the caller.
        request_class: Index of the request's class.
        cost_ns: The caller's estimate of the time of a run, ns; 0 for none.
        unread_ns: How long the request waited to be read, ns.
        deadline_at_ns: When the caller abandons the request, ns; 0 for never.
        memory_kb: Size of the request, KB.
        priority: Priority of the request, from 0 to 1.
        original: Name of the attempt that the request repeats; empty for none.
    """

    WIRE_NAME: ClassVar[str] = "ASK"
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
        instance: Name of the instance.
        name: Name of the request.
        outcome: Outcome of the run.
        duration_ns: Duration of the run, ns.
    """

    WIRE_NAME: ClassVar[str] = "COMPLETED"
    instance: str
    name: str
    outcome: Outcome
    duration_ns: int


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A run needs its downstream call.

    Attributes:
        instance: Name of the instance.
        name: Name of the request.
    """

    WIRE_NAME: ClassVar[str] = "NEEDS"
    instance: str
    name: str


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call ended.

    Attributes:
        instance: Name of the instance.
        name: Name of the request.
        outcome: Outcome of the call.
        duration_ns: Duration of the call, ns.
    """

    WIRE_NAME: ClassVar[str] = "CALL_DONE"
    instance: str
    name: str
    outcome: Outcome
    duration_ns: int


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller no longer waits for the answer.

    Attributes:
        instance: Name of the instance.
        name: Name of the request.
    """

    WIRE_NAME: ClassVar[str] = "LEFT"
    instance: str
    name: str


@dataclass(frozen=True, slots=True)
class DrainNoticed:
    """The instance has been notified that it will be stopped.

    Attributes:
        instance: Name of the instance.
        stop_at_ns: When the instance is stopped, ns.
    """

    WIRE_NAME: ClassVar[str] = "WIND_DOWN"
    instance: str
    stop_at_ns: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of the instance has fired.

    Attributes:
        instance: Name of the instance.
        handle: The timer's handle, as the instance scheduled it.
        measured: Values of the instance's gauges; None if the message has none.
    """

    WIRE_NAME: ClassVar[str] = "WAKE"
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
    """Decodes the start line of a batch; returns the time of the host's clock, ns.

    Raises:
        FramingError: The line does not begin a batch.
        InvalidValueError: The time is invalid.
    """
    name, _, clock = line.partition(" ")
    if name != BATCH_START:
        raise FramingError(
            f"a batch must begin with {BATCH_START}, got {name[:MAX_SHOWN_NAME_CHARACTERS]!r}"
        )
    try:
        return int(clock) * NS_PER_US
    except ValueError as error:
        raise InvalidValueError(BATCH_START, error) from error


def decode_event(line: str) -> Event:
    """Decodes the line of one event.

    Raises:
        UnknownMessageError: There is no event of that name.
        ValueCountError: The event has the wrong number of values.
        InvalidValueError: A value is invalid.
    """
    name = line.split(" ", 1)[0]
    if name not in DECODERS:
        raise UnknownMessageError(name)
    expected_count, decode = DECODERS[name]
    # The last value of an instance's start is a JSON text up to the end of the line.
    values = line.split(" ", expected_count) if decode is _instance_started else line.split(" ")
    if len(values) != expected_count + 1:
        raise ValueCountError(name, expected_count, len(values) - 1)
    try:
        return decode(values[1:])
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidValueError(name, error) from error


def encode_action(action: Action, instance: str, *values: object) -> str:
    """Returns the line of an action, without the line end."""
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
        raise ValueError(f"the instance must not be negative, got {instance}")
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
    InstanceStarted.WIRE_NAME: (3, _instance_started),
    InstanceKilled.WIRE_NAME: (1, _instance_killed),
    RequestRead.WIRE_NAME: (13, _request_read),
    RunEnded.WIRE_NAME: (4, _run_ended),
    CallRequested.WIRE_NAME: (2, _call_requested),
    CallEnded.WIRE_NAME: (4, _call_ended),
    CallerGone.WIRE_NAME: (2, _caller_gone),
    DrainNoticed.WIRE_NAME: (2, _drain_noticed),
    TimerFired.WIRE_NAME: (3, _timer_fired),
}
"""The number of values and the decoder of each event, by its name on the wire."""
