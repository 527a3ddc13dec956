"""Passes events of the wire to the controller of their instance, and its effects back as actions.

A request has a name on the wire and a reference, which is a number, in the decisions; each
`Instance` maps one to the other.
"""

from ..admission.controller import AdmissionController
from ..admission.model import NO_ORIGINAL, Gauges, Request
from ..settings import NS_PER_US, SettingsDocument, parse_gauges
from .codec import (
    Action,
    CallEnded,
    CallerGone,
    CallRequested,
    DrainNoticed,
    Event,
    InstanceKilled,
    InstanceStarted,
    RequestRead,
    RunEnded,
    TimerFired,
    decode_event,
    encode_action,
)
from .errors import InvalidValueError, WireError

__all__ = ["Host", "Instance"]

UNKNOWN_REF = -1
"""Reference of a request that the instance does not know; the decisions ignore it."""

FORMER_INCARNATION_REF = -2
"""Reference of an original attempt that this incarnation has not received."""

IS_STORED_ANSWER_FLAG = 1
"""Second value of a health action: health checks get the stored answer without a decision."""


class Instance:
    """One incarnation of a simulated server; implements `admission.model.Effects`.

    Attributes:
        name: Name of the instance on the wire.
        actions: Lines of the actions that the host has not fetched.
        controller: The admission decisions.
    """

    def __init__(self, name: str, seed: int, document: SettingsDocument, now_ns: int) -> None:
        """Creates an instance; its controller has yet to be started.

        Args:
            name: Name of the instance on the wire.
            seed: Seed of the instance's random numbers.
            document: Settings of the instance.
            now_ns: The time, ns on the host's clock.
        """
        self.name = name
        self.actions: list[str] = []
        self._gauge_names = document.gauge_names
        self._refs: dict[str, int] = {}
        self._request_names: dict[int, str] = {}
        self._callers: dict[str, int] = {}
        self._released: list[int] = []
        self._next_ref = 0
        self.controller = AdmissionController(document.server, seed, self, now_ns)

    def find_ref(self, request_name: str) -> int:
        """Returns the reference of a request, or `UNKNOWN_REF`."""
        return self._refs.get(request_name, UNKNOWN_REF)

    def register_request(self, event: RequestRead) -> Request:
        """Assigns a reference to a request that was read, and returns the request."""
        original_ref = NO_ORIGINAL
        if event.original:
            original_ref = self._refs.get(event.original, FORMER_INCARNATION_REF)
        ref = self._next_ref
        self._next_ref += 1
        self._refs[event.name] = ref
        self._request_names[ref] = event.name
        return Request(
            ref=ref,
            caller=self._callers.setdefault(event.caller, len(self._callers)),
            request_class=event.request_class,
            cost_ns=event.cost_ns,
            unread_ns=event.unread_ns,
            deadline_at_ns=event.deadline_at_ns,
            memory_kb=event.memory_kb,
            priority=event.priority,
            original_ref=original_ref,
        )

    def decode_gauges(self, event: TimerFired) -> Gauges:
        """Returns the gauges of a timer event.

        Raises:
            InvalidValueError: The number of values is not that of the instance's gauges.
        """
        if event.measured is None:
            return Gauges()
        try:
            return parse_gauges(self._gauge_names, event.measured)
        except ValueError as error:
            raise InvalidValueError(event.WIRE_NAME, error) from error

    def apply(self, now_ns: int, event: Event) -> None:
        """Passes an event to the controller.

        Args:
            now_ns: The time, ns on the host's clock.
            event: Any event but the start and the end of an instance.

        Raises:
            InvalidValueError: The number of values is not that of the instance's gauges.
        """
        controller = self.controller
        match event:
            case RequestRead():
                controller.request_arrived(now_ns, self.register_request(event))
            case RunEnded(name=name, outcome=outcome, duration_ns=duration_ns):
                controller.run_ended(now_ns, self.find_ref(name), outcome, duration_ns)
            case CallRequested(name=name):
                controller.call_requested(now_ns, self.find_ref(name))
            case CallEnded(name=name, outcome=outcome, duration_ns=duration_ns):
                controller.call_ended(now_ns, self.find_ref(name), outcome, duration_ns)
            case CallerGone(name=name):
                controller.caller_gone(now_ns, self.find_ref(name))
            case DrainNoticed(stop_at_ns=stop_at_ns):
                controller.drain(now_ns, now_ns, stop_at_ns)
            case TimerFired(handle=handle):
                controller.timer_fired(now_ns, handle, self.decode_gauges(event))

    def forget_released(self) -> None:
        """Forgets released requests.

        Called only after a batch, since a later event of the same batch may still name them.
        """
        for ref in self._released:
            self._refs.pop(self._request_names.pop(ref), None)
        self._released.clear()

    # Implementation of `admission.model.Effects`.

    def start_run(self, ref: int) -> None:
        """Runs the request."""
        self._append_action(Action.START_RUN, self._request_names[ref])

    def reject(self, ref: int, retry_after_ns: int, is_final: bool) -> None:
        """Rejects the request."""
        retry_after_us = retry_after_ns // NS_PER_US
        self._append_action(Action.REJECT, self._request_names[ref], retry_after_us, int(is_final))

    def fail(self, ref: int) -> None:
        """Answers the request with an error."""
        self._append_action(Action.FAIL, self._request_names[ref])

    def start_call(self, ref: int, stop_at_ns: int) -> None:
        """Makes the run's downstream call, which is abandoned at `stop_at_ns`."""
        self._append_action(Action.START_CALL, self._request_names[ref], stop_at_ns // NS_PER_US)

    def skip_call(self, ref: int) -> None:
        """Lets the run continue without its call."""
        self._append_action(Action.SKIP_CALL, self._request_names[ref])

    def keep_key(self, ref: int, lifetime_ns: int) -> None:
        """Keeps the request's key for `lifetime_ns`."""
        self._append_action(Action.KEEP_KEY, self._request_names[ref], lifetime_ns // NS_PER_US)

    def forget_key(self, ref: int) -> None:
        """Forgets the request's key."""
        self._append_action(Action.FORGET_KEY, self._request_names[ref])

    def reuse_result(self, ref: int) -> None:
        """Answers with the result of the original attempt."""
        self._append_action(Action.REUSE_RESULT, self._request_names[ref])

    def set_health(self, is_healthy: bool) -> None:
        """Sets the stored answer to health checks."""
        self._append_action(Action.SET_HEALTH, int(is_healthy), IS_STORED_ANSWER_FLAG)

    def report_load(self, value: float) -> None:
        """Sets the load report."""
        self._append_action(Action.REPORT_LOAD, f"{value:.4f}")

    def report_trial_load(self, value: float) -> None:
        """Never called, since the wire sets no service levels."""
        raise NotImplementedError("the simulator's wire sets no service levels")

    def set_idle_timeout(self, idle_timeout_ns: int) -> None:
        """Sets for how long a connection may idle."""
        self._append_action(Action.SET_IDLE_TIMEOUT, idle_timeout_ns // NS_PER_US)

    def schedule_timer(self, delay_ns: int, handle: int) -> None:
        """Schedules a timer."""
        self._append_action(Action.SCHEDULE_TIMER, delay_ns // NS_PER_US, handle)

    def log(self, text: str) -> None:
        """Writes a line to the simulator's log."""
        self._append_action(Action.LOG, text)

    def release(self, ref: int) -> None:
        """Marks the request as released; `forget_released` forgets it."""
        self._released.append(ref)

    def _append_action(self, action: Action, *values: object) -> None:
        self.actions.append(encode_action(action, self.name, *values))


class Host:
    """The instances that the simulator has started and not killed."""

    def __init__(self) -> None:
        """Creates a host without instances."""
        self._instances: dict[str, Instance] = {}

    def run_batch(self, now_ns: int, lines: list[str]) -> list[str]:
        """Passes the events of one batch to their instances.

        Args:
            now_ns: The time, ns on the host's clock.
            lines: The lines of the events.

        Returns:
            The lines of the actions, in the order of the decisions. If the decisions raise an
            error, its report is the last line, and the remaining events are dropped.

        Raises:
            WireError: A line is invalid.
        """
        actions: list[str] = []
        touched: dict[str, Instance] = {}
        for line in lines:
            event = decode_event(line)
            if isinstance(event, InstanceKilled):
                self._instances.pop(event.instance, None)
                continue
            if not isinstance(event, InstanceStarted):
                self._require_started(event)
            try:
                instance = self._apply(now_ns, event)
            except WireError:
                raise
            except Exception as error:
                # Any other error is a defect of the decisions, reported to the simulator under the
                # name of the instance.
                report = format_defect(error)
                actions.append(encode_action(Action.REPORT_DEFECT, event.instance, report))
                return actions
            touched[event.instance] = instance
            actions += instance.actions
            instance.actions.clear()
        for instance in touched.values():
            instance.forget_released()
        return actions

    def _require_started(self, event: Event) -> None:
        name = event.instance
        if name not in self._instances:
            try:
                int(name)
            except ValueError as error:
                raise InvalidValueError(event.WIRE_NAME, error) from error
            problem = ValueError(f"instance {name} has not been started")
            raise InvalidValueError(event.WIRE_NAME, problem)

    def _apply(self, now_ns: int, event: Event) -> Instance:
        if isinstance(event, InstanceStarted):
            instance = Instance(event.instance, event.seed, event.document, now_ns)
            self._instances[event.instance] = instance
            instance.controller.start(now_ns)
        else:
            instance = self._instances[event.instance]
            instance.apply(now_ns, event)
        return instance


def format_defect(error: Exception) -> str:
    """Returns the type, the text and the source line of an error, on one line."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    place = "?"
    if traceback is not None:
        file_name = traceback.tb_frame.f_code.co_filename.rsplit("/", 1)[-1]
        place = f"{file_name}:{traceback.tb_lineno}"
    return f"{type(error).__name__}: {error} at {place}".replace("\n", " ")
