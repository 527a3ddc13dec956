"""Carries events of the wire to one `Choice` for each instance, and its effects back as actions."""

from typing import Any

from ..admission.controller import AdmissionController
from ..admission.model import Request, ServerSettings
from ..settings import NS_PER_US
from . import codec
from .codec import BadInput


class Instance:
    """One life of one simulated server; implements `interface.Effects`."""

    def __init__(
        self, who: str, seed: int, facts: ServerSettings, meters: tuple[str, ...], now: int
    ) -> None:
        self.who = who
        self.out: list[str] = []
        self.refs: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.callers: dict[str, int] = {}
        self.released: list[int] = []
        self.given = 0
        self.meters = meters
        self.choice = AdmissionController(facts, seed, self, now)

    def ref(self, name: str) -> int:
        return self.refs.get(name, -1)

    def admit(self, name: str) -> int:
        ref = self.given
        self.given += 1
        self.refs[name] = ref
        self.names[ref] = name
        return ref

    def drop_released(self) -> None:
        """After the batch only: a later event of the same batch may still name these."""
        for ref in self.released:
            self.refs.pop(self.names.pop(ref), None)
        self.released.clear()

    def put(self, action: str, *values: object) -> None:
        self.out.append(" ".join((action, self.who, *map(str, values))))

    def start_run(self, ref: int) -> None:
        self.put("ADMIT", self.names[ref])

    def reject(self, ref: int, stay_away: int, final: bool) -> None:
        self.put("REFUSE", self.names[ref], stay_away // NS_PER_US, int(final))

    def fail(self, ref: int) -> None:
        self.put("END_FAILED", self.names[ref])

    def start_call(self, ref: int, stop_at: int) -> None:
        self.put("DIAL", self.names[ref], stop_at // NS_PER_US)

    def skip_call(self, ref: int) -> None:
        self.put("GO_ON", self.names[ref])

    def remember(self, ref: int, lifetime: int) -> None:
        self.put("STORE_KEY", self.names[ref], lifetime // NS_PER_US)

    def forget(self, ref: int) -> None:
        self.put("UNPIN", self.names[ref])

    def reuse_result(self, ref: int) -> None:
        self.put("ANSWER_FROM", self.names[ref])

    def set_health(self, good: bool) -> None:
        self.put("SET_HEALTH", int(good), 1)

    def report_load(self, value: float) -> None:
        self.put("STAMP", f"{value:.4f}")

    def report_trial_load(self, value: float) -> None:
        raise NotImplementedError("no levels of service are set on this wire")

    def set_idle_timeout(self, lifetime: int) -> None:
        self.put("TRIM_AFTER", lifetime // NS_PER_US)

    def schedule_timer(self, delay: int, handle: int) -> None:
        self.put("SCHEDULE", delay // NS_PER_US, handle)

    def log(self, text: str) -> None:
        self.put("EMIT", text)

    def release(self, ref: int) -> None:
        self.released.append(ref)


class Host:
    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}

    def batch(self, now: int, lines: list[str]) -> list[str]:
        """The actions that answer one batch, in the order in which they were taken."""
        out: list[str] = []
        touched: dict[str, Instance] = {}
        for line in lines:
            values = codec.parts(line)
            who = values[1]
            try:
                event = self.read(now, values)
            except (ValueError, KeyError, TypeError) as error:
                raise BadInput(f"{values[0]}: unreadable value ({error})") from error
            if event is None:
                continue
            try:
                event()
            except (
                Exception
            ) as error:  # whatever the decisions raise is theirs to answer for, by name
                out.append(f"BUG {who} {_place(error)}")
                return out
            instance = self.instances[who]
            touched[who] = instance
            out += instance.out
            instance.out.clear()
        for instance in touched.values():
            instance.drop_released()
        return out

    def read(self, now: int, values: list[str]) -> Any:
        """Decodes one event into a call on its instance; None where there is nothing to call."""
        name, who = values[0], values[1]
        if name == "BOOT":
            if int(who) < 0:
                raise ValueError(f"instance {who}")
            seed, (facts, meters) = int(values[2]), codec.told(values[3])
            return lambda: self.boot(Instance(who, seed, facts, meters, now), now)
        if name == "KILLED":
            self.instances.pop(str(int(who)), None)
            return None
        instance = self.instances.get(who)
        if instance is None:
            int(who)
            raise ValueError(f"instance {who} has not been started")
        choice = instance.choice
        if name == "WAKE":
            handle, gauges = int(values[2]), codec.gauges(instance.meters, values[3])
            return lambda: choice.timer_fired(now, handle, gauges)
        if name == "WIND_DOWN":
            stop = codec.nanos(values[2])
            return lambda: choice.drain(now, now, stop)
        if name == "ASK":
            txn = self.txn(instance, values)
            return lambda: choice.request_arrived(now, txn)
        ref = instance.ref(values[2])
        if name == "NEEDS":
            return lambda: choice.call_requested(now, ref)
        if name == "LEFT":
            return lambda: choice.caller_gone(now, ref)
        if name == "COMPLETED":
            outcome, took = codec.OUTCOME[values[3]], codec.nanos(values[4])
            return lambda: choice.run_ended(now, ref, outcome, took)
        took, outcome = codec.nanos(values[3]), codec.OUTCOME[values[4]]
        return lambda: choice.call_ended(now, ref, outcome, took)

    def boot(self, instance: Instance, now: int) -> None:
        self.instances[instance.who] = instance
        instance.choice.start(now)

    @staticmethod
    def txn(instance: Instance, values: list[str]) -> Request:
        _, _, name, caller, bits, _, cost, product, unread, _, expiry_at, kb, rank, original = (
            values
        )
        forerunner = -1
        if original not in ("-", "0"):
            # one that this life was never given counts as run: nothing here proves that it was not
            forerunner = instance.refs.get(original, -2)
        return Request(
            ref=instance.admit(name),
            caller=instance.callers.setdefault(caller, len(instance.callers)),
            request_class=int(product),
            cost_ns=codec.nanos(cost) if codec.whole(bits) & 1 else 0,
            unread_ns=codec.nanos(unread),
            deadline_at_ns=codec.nanos(expiry_at),
            memory_kb=codec.real(kb),
            priority=codec.real(rank),
            original_ref=forerunner,
        )


def _place(error: Exception) -> str:
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    where = (
        f"{trace.tb_frame.f_code.co_filename.rsplit('/', 1)[-1]}:{trace.tb_lineno}"
        if trace
        else "?"
    )
    return f"{type(error).__name__}: {error} at {where}".replace("\n", " ")
