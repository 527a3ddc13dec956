"""Between the server and its levels of reduced service: what it measures of itself, and what a step
means to the desk.

Where levels are off, `NoLevels` stands here, and nothing of them is imported.
"""

from __future__ import annotations

import json
import logging
import os
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from ..admission.model import Gauges, RequestClass
from ..dispatcher import Dispatcher
from ..sockets import NS_PER_MS, NS_PER_SECOND

if TYPE_CHECKING:
    from pathlib import Path

    from ..levels import DegradationController, HysteresisPolicy, LevelChange, LevelPlan
    from ..metrics import Exposed

log = logging.getLogger(__name__)

LOOK_EVERY = NS_PER_SECOND  # between looks at the pin's file
TELL_EVERY = 5 * NS_PER_SECOND  # between writings of the state's file where nothing moved


class NoteStore(Protocol):
    """Where a life leaves a word to the next one: the record, if one is kept."""

    previous_note: str

    def write_note(self, text: str) -> None: ...


class ServiceLevels(Protocol):
    """What the server tells its levels, on a txn's way and once a round."""

    def attach_dispatcher(self, desk: Dispatcher, cold: bool, notes: NoteStore) -> None: ...
    def count_request(self, tenant: str) -> bool: ...
    def sampling_draw(self, caller: str) -> float: ...
    def request_completed(self, product: int, at: int) -> None: ...
    def call_ended(self, well: bool) -> None: ...
    def update(self, measured: Gauges) -> None: ...
    def close(self) -> None: ...


class NoServiceLevels:
    """All is served as the decisions alone have it."""

    def attach_dispatcher(self, desk: Dispatcher, cold: bool, notes: NoteStore) -> None:
        pass

    def count_request(self, tenant: str) -> bool:
        return False

    def sampling_draw(self, caller: str) -> float:
        return 0.0

    def request_completed(self, product: int, at: int) -> None:
        pass

    def call_ended(self, well: bool) -> None:
        pass

    def update(self, measured: Gauges) -> None:
        pass

    def close(self) -> None:
        pass


def sampling_draw(caller: str) -> float:
    """A caller's own from 0 to under 1, the same on every node and in every life: trials take the
    same ones first.
    """
    return zlib.crc32(caller.encode()) / (1 << 32)


class ConfiguredServiceLevels:
    """`plan` and `terms` are the operator's, or the shipped ones. `store` gives the record's
    strain, if one is kept.
    """

    def __init__(
        self,
        plan: LevelPlan,
        products: tuple[tuple[str, RequestClass], ...],
        tenants: dict[str, float],
        cores: int,
        clock: Callable[[], int],
        sockets: Callable[[], float],
        *,
        terms: HysteresisPolicy | None = None,
        store: Callable[[], float] | None = None,
        meters: frozenset[str] = frozenset(),
        pin_file: Path | None = None,
        state_file: Path | None = None,
        share: Callable[[str], float | None] | None = None,
    ) -> None:
        """`share`: of a tenant, where not `tenants` says it."""
        from .. import levels

        self.of = levels
        self.plan, self.products, self.cores, self.clock, self.sockets = (
            plan,
            products,
            cores,
            clock,
            sockets,
        )
        self.terms, self.store = terms, store
        self.notes: NoteStore | None = None
        self.steps: dict[str, int] = {}
        self.exposed: Exposed | None = None  # where nothing else of the program closes it
        self.pin_file, self.state_file = pin_file, state_file
        self.reliefs = levels.degradations(plan, products)
        self.measured = frozenset(
            {"age", "lag", "press", "late", "calls", "sockets"}
            | ({"store"} if store is not None else set())
            | {signal for meter, signal in METERED.items() if meter in meters}
        )
        self.tenants = levels.TenantShares(tenants.items(), share=share)
        self.late, self.calls = levels.signals.RecentShare(), levels.signals.RecentShare()
        self.levels: DegradationController | None = None
        self.desk: Dispatcher | None = None
        self.last: LevelChange | None = None
        self.looked_at = self.told_at = self.moved_at = 0
        self.pin_read = ""

    def attach_dispatcher(self, desk: Dispatcher, cold: bool, notes: NoteStore) -> None:
        self.desk, self.notes, died_at = desk, notes, notes.previous_note
        self.levels = self.of.DegradationController(
            self.plan,
            self.reliefs,
            self.clock(),
            self.terms,
            cold=cold,
            died_at=died_at,
            measured=self.measured,
        )
        log.info(
            "event=levels at=%s cold=%s died_at=%s changes_most=%d",
            self.levels.level,
            cold,
            died_at or "-",
            self.levels.state_machine.policy.max_changes_per_minute,
        )
        if self.levels.status.level:
            desk.set_service_level(self.levels.service_level())

    def count_request(self, tenant: str) -> bool:
        return self.tenants.is_over_share(self.clock(), tenant)

    def sampling_draw(self, caller: str) -> float:
        return sampling_draw(caller)

    def request_completed(self, product: int, at: int) -> None:
        now = self.clock()
        self.late.add(now, now - at > self.products[product][1].latency_objective_ns)

    def call_ended(self, well: bool) -> None:
        self.calls.add(self.clock(), not well)

    @property
    def optional(self) -> bool:
        return self.levels is None or self.levels.allows_optional_work

    def update(self, measured: Gauges) -> None:
        if self.levels is None or self.desk is None:
            return
        now = self.clock()
        if now - self.looked_at >= LOOK_EVERY:
            self.looked_at = now
            self.look_for_pin(now)
        self.moved(now, self.levels.tick(now, self.readings(now, measured)))
        if self.state_file is not None and now - self.told_at >= TELL_EVERY:
            self.tell(now)

    def readings(self, now: int, measured: Gauges) -> Any:
        age, lag, press = self.desk.load_signals() if self.desk is not None else (None, None, None)
        return self.of.SignalReadings(
            cpu_utilization=known(measured.cpu_utilization),
            contention=known(measured.runnable / self.cores),
            queue_age=age,
            read_lag=lag,
            pressure=press,
            # Our own counts are never stale: where nothing was settled or called, none was late.
            late_share=self.late.share(now) or 0.0,
            call_failure_share=self.calls.share(now) or 0.0,
            store_load=self.store() if self.store is not None else None,
            memory_utilization=known(measured.memory_utilization),
            socket_utilization=self.sockets(),
        )

    def moved(self, now: int, step: LevelChange | None) -> None:
        if step is None or self.levels is None or self.desk is None:
            return
        self.last, self.moved_at = step, now
        log.info(
            "event=level effect=%s from=%s to=%s part=%.2f cause=%s value=%.3f bound=%.3f",
            step.effect,
            step.before,
            step.after,
            step.trial_share,
            step.cause,
            step.value,
            step.bound,
        )
        self.desk.set_service_level(self.levels.service_level())
        self.steps[step.effect] = self.steps.get(step.effect, 0) + 1
        if step.before != step.after and self.notes is not None:
            self.notes.write_note(step.after)
        self.tell(now)

    # An operator's files.

    def look_for_pin(self, now: int) -> None:
        """The pin's file is read anew each second: what can't be used leaves the pin as it was,
        with one line.
        """
        if self.pin_file is None or self.levels is None:
            return
        try:
            text = self.pin_file.read_text(encoding="utf-8")
        except FileNotFoundError:
            text = ""
        except (OSError, UnicodeDecodeError) as error:
            text = f"! {error}"
        if text == self.pin_read:
            return
        self.pin_read = text
        try:
            pin = read_pin(text, self.plan) if text else None
        except ValueError as error:
            log.warning("event=pin-refused detail=%r", str(error))
            return
        if pin is not None and pin.until_ns <= now:
            pin = None
        if pin != self.levels.pin:
            log.info(
                "event=pin level=%s until=%d reason=%r",
                pin.level if pin else "-",
                pin.until_ns if pin else 0,
                pin.reason if pin else "",
            )
            self.moved(now, self.levels.set_pin(now, pin))

    def tell(self, now: int) -> None:
        if self.state_file is None or self.levels is None:
            return
        self.told_at = now
        part = self.state_file.with_name(self.state_file.name + ".part")
        try:
            part.write_text(json.dumps(self.state(now)) + "\n", encoding="utf-8")
            os.replace(part, self.state_file)
        except OSError as error:
            log.warning("event=state-not-written detail=%r", str(error))

    def state(self, now: int) -> dict[str, Any]:
        """What `burlloom levels show` and `explain` read."""
        assert self.levels is not None
        levels, last, at = self.levels, self.last, self.levels.status
        return {
            "told_at": now,
            "level": levels.level,
            "phase": at.phase.name.lower(),
            "part": levels.trial_share,
            "since": at.since_ns,
            "stay_ms": levels.state_machine.min_stay_ns(at) // NS_PER_MS,
            "moved_at": self.moved_at,
            "last": None
            if last is None
            else {
                "effect": last.effect,
                "from": last.before,
                "to": last.after,
                "cause": last.cause,
                "value": last.value,
                "bound": last.bound,
            },
            "pin": None
            if levels.pin is None
            else {
                "level": levels.pin.level,
                "until": levels.pin.until_ns,
                "reason": levels.pin.reason,
            },
            "changes_last_minute": len(at.recent_changes),
            "changes_most": levels.state_machine.policy.max_changes_per_minute,
            "values": levels.values,
            "measured": sorted(self.measured),
            "steps": levels.transition_counts,
            "seconds": {
                name: round(spent / NS_PER_SECOND, 1)
                for name, spent in levels.time_at_level_ns.items()
            },
        }

    def gauges(self) -> dict[str, float]:
        """For whoever reads metrics."""
        if self.levels is None:
            return {}
        return {
            "level": float(self.levels.status.level),
            "trial_part": self.levels.trial_share,
            **{
                f"seconds_{name.replace('-', '_')}": spent / NS_PER_SECOND
                for name, spent in self.levels.time_at_level_ns.items()
            },
            **{f"signal_{name}": value for name, value in self.levels.values.items()},
        }

    def close(self) -> None:
        if self.exposed is not None:
            self.exposed.close()
        if self.levels is not None:
            self.tell(self.clock())
            log.info(
                "event=levels-closed at=%s %s",
                self.levels.level,
                " ".join(
                    f"{name}={count}" for name, count in self.levels.transition_counts.items()
                ),
            )


METERED = {"core_use": "use", "on_cores": "crowd", "heap_share": "memory"}


def known(value: float) -> float | None:
    return value if value >= 0 else None


def read_pin(text: str, plan: LevelPlan) -> Any:
    """Raises `ValueError` with what is wrong with it."""
    from ..levels import LevelPin

    got = json.loads(text)
    if not isinstance(got, dict):
        raise ValueError("a pin is an object with level, until and reason")
    names = [level.name for level in plan.levels]
    level, until = got.get("level"), got.get("until")
    if level not in names:
        raise ValueError(f"level {level!r} is none of {', '.join(names)}")
    if type(until) is not int or until <= 0:
        raise ValueError(f"until {until!r} is no time in Unix nanoseconds")
    return LevelPin(str(level), until, str(got.get("reason", ""))[:200])
