"""Carries events of the wire to one controller for each instance, and its effects back as actions.

A request has a name on the wire and a number (reference) in the decisions; each `Instance` maps
one to the other.
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
from .errors import UnreadableValueError, WireError

__all__ = ["Host", "Instance"]

UNKNOWN_REF = -1
"""Of a request that the instance does not know; the decisions pass it over."""

FORMER_INCARNATION_REF = -2
"""Of an original attempt that this incarnation was never given."""

ANSWERED_FROM_STORE = 1


class Instance:
    """One incarnation of a simulated server; implements `admission.model.Effects`.

    Attributes:
        name: the instance on the wire.
        actions: the lines of what was decided and not yet taken out.
        controller: the decisions.
    """

    def __init__(self, name: str, seed: int, document: SettingsDocument, now: int) -> None:
        """Makes an instance that has not been started yet.

        Args:
            name: the instance on the wire.
            seed: of its random draws.
            document: its settings.
            now: the host's clock in ns.
        """
        self.name = name
        self.actions: list[str] = []
        self._meters = document.meters
        self._refs: dict[str, int] = {}
        self._request_names: dict[int, str] = {}
        self._callers: dict[str, int] = {}
        self._released: list[int] = []
        self._next_ref = 0
        self.controller = AdmissionController(document.server, seed, self, now)

    # Names and numbers.

    def ref(self, request_name: str) -> int:
        """The number of a request, or `UNKNOWN_REF`."""
        return self._refs.get(request_name, UNKNOWN_REF)

    def request(self, event: RequestRead) -> Request:
        """Gives a request its number."""
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

    def gauges(self, event: TimerFired) -> Gauges:
        """The gauges of a timer round.

        Raises:
            UnreadableValueError: there are more values than meters, or fewer.
        """
        if event.measured is None:
            return Gauges()
        try:
            return parse_gauges(self._meters, event.measured)
        except ValueError as error:
            raise UnreadableValueError(event.NAME, error) from error

    def apply(self, now: int, event: Event) -> None:
        """Hands an event to the decisions.

        Args:
            now: the host's clock in ns.
            event: any but the start and the end of an instance.

        Raises:
            UnreadableValueError: the gauges do not fit the instance's meters.
        """
        controller = self.controller
        match event:
            case RequestRead():
                controller.request_arrived(now, self.request(event))
            case RunEnded(name=name, outcome=outcome, duration_ns=duration_ns):
                controller.run_ended(now, self.ref(name), outcome, duration_ns)
            case CallRequested(name=name):
                controller.call_requested(now, self.ref(name))
            case CallEnded(name=name, outcome=outcome, duration_ns=duration_ns):
                controller.call_ended(now, self.ref(name), outcome, duration_ns)
            case CallerGone(name=name):
                controller.caller_gone(now, self.ref(name))
            case DrainNoticed(stop_at_ns=stop_at_ns):
                controller.drain(now, now, stop_at_ns)
            case TimerFired(handle=handle):
                controller.timer_fired(now, handle, self.gauges(event))

    def forget_released(self) -> None:
        """Forgets released requests; after a batch only, as a later event of it may name them."""
        for ref in self._released:
            self._refs.pop(self._request_names.pop(ref), None)
        self._released.clear()

    # Effects, called by the decisions.

    def start_run(self, ref: int) -> None:
        """Admits the request."""
        self._act(Action.START_RUN, self._request_names[ref])

    def reject(self, ref: int, retry_after_ns: int, is_final: bool) -> None:
        """Refuses the request."""
        retry_after_us = retry_after_ns // NS_PER_US
        self._act(Action.REJECT, self._request_names[ref], retry_after_us, int(is_final))

    def fail(self, ref: int) -> None:
        """Ends the request with an error."""
        self._act(Action.FAIL, self._request_names[ref])

    def start_call(self, ref: int, stop_at_ns: int) -> None:
        """Makes the run's call."""
        self._act(Action.START_CALL, self._request_names[ref], stop_at_ns // NS_PER_US)

    def skip_call(self, ref: int) -> None:
        """Lets the run go on without its call."""
        self._act(Action.SKIP_CALL, self._request_names[ref])

    def keep_key(self, ref: int, lifetime_ns: int) -> None:
        """Stores the request's key."""
        self._act(Action.REMEMBER, self._request_names[ref], lifetime_ns // NS_PER_US)

    def forget_key(self, ref: int) -> None:
        """Forgets the request's key."""
        self._act(Action.FORGET, self._request_names[ref])

    def reuse_result(self, ref: int) -> None:
        """Answers from the original attempt."""
        self._act(Action.REUSE_RESULT, self._request_names[ref])

    def set_health(self, is_healthy: bool) -> None:
        """Sets the answer to health checks, which is given from store."""
        self._act(Action.SET_HEALTH, int(is_healthy), ANSWERED_FROM_STORE)

    def report_load(self, value: float) -> None:
        """Sets the load report."""
        self._act(Action.REPORT_LOAD, f"{value:.4f}")

    def report_trial_load(self, value: float) -> None:
        """Never called: no service levels are set on this wire."""
        raise NotImplementedError("no levels of service are set on this wire")

    def set_idle_timeout(self, idle_timeout_ns: int) -> None:
        """Sets how long a connection may idle."""
        self._act(Action.SET_IDLE_TIMEOUT, idle_timeout_ns // NS_PER_US)

    def schedule_timer(self, delay_ns: int, handle: int) -> None:
        """Asks for a timer."""
        self._act(Action.SCHEDULE_TIMER, delay_ns // NS_PER_US, handle)

    def log(self, text: str) -> None:
        """Writes to the simulator's log."""
        self._act(Action.LOG, text)

    def release(self, ref: int) -> None:
        """Marks the request as released."""
        self._released.append(ref)

    def _act(self, action: Action, *values: object) -> None:
        self.actions.append(encode_action(action, self.name, *values))


class Host:
    """All instances that the simulator has started and not killed."""

    def __init__(self) -> None:
        """Hosts no instance yet."""
        self._instances: dict[str, Instance] = {}

    def run_batch(self, now: int, lines: list[str]) -> list[str]:
        """Hands the events of one batch to their instances.

        Args:
            now: the host's clock in ns.
            lines: the events.

        Returns:
            The lines of the actions, in the order in which they were taken. After a defect of the
            decisions its report is the last, and the rest of the batch is not handed on.

        Raises:
            WireError: a line can't be read.
        """
        actions: list[str] = []
        touched: dict[str, Instance] = {}
        for line in lines:
            event = decode_event(line)
            if isinstance(event, InstanceKilled):
                self._instances.pop(event.instance, None)
                continue
            if not isinstance(event, InstanceStarted):
                self._check_started(event)
            try:
                instance = self._apply(now, event)
            except WireError:
                raise
            except Exception as error:
                # A defect of the decisions: the simulator wants it by the name of the instance.
                report = describe_defect(error)
                actions.append(encode_action(Action.REPORT_DEFECT, event.instance, report))
                return actions
            touched[event.instance] = instance
            actions += instance.actions
            instance.actions.clear()
        for instance in touched.values():
            instance.forget_released()
        return actions

    def _check_started(self, event: Event) -> None:
        name = event.instance
        if name not in self._instances:
            try:
                int(name)
            except ValueError as error:
                raise UnreadableValueError(event.NAME, error) from error
            problem = ValueError(f"instance {name} has not been started")
            raise UnreadableValueError(event.NAME, problem)

    def _apply(self, now: int, event: Event) -> Instance:
        if isinstance(event, InstanceStarted):
            instance = Instance(event.instance, event.seed, event.document, now)
            self._instances[event.instance] = instance
            instance.controller.start(now)
        else:
            instance = self._instances[event.instance]
            instance.apply(now, event)
        return instance


def describe_defect(error: Exception) -> str:
    """The type, text and place of an error, on one line."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    place = "?"
    if traceback is not None:
        file_name = traceback.tb_frame.f_code.co_filename.rsplit("/", 1)[-1]
        place = f"{file_name}:{traceback.tb_lineno}"
    return f"{type(error).__name__}: {error} at {place}".replace("\n", " ")
