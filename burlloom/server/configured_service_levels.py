"""Between the server and its service levels: what it measures, and what a change means to it.

Imported only where levels are on.
"""

from __future__ import annotations

import json
import logging
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .. import levels as decisions
from ..admission.model import Gauges, RequestClass
from ..dispatcher import Dispatcher
from ..levels import (
    DegradationController,
    HysteresisPolicy,
    LevelChange,
    LevelPin,
    LevelPlan,
    SignalReadings,
)
from ..sockets import NS_PER_MS, NS_PER_SECOND
from .level_pin import PinFile
from .service_levels import NoteStore, sampling_draw

log = logging.getLogger(__name__)

PIN_INTERVAL_NS = NS_PER_SECOND  # between looks at the pin's file
STATE_INTERVAL_NS = 5 * NS_PER_SECOND  # between writings of the state file where nothing changed
# Signals that every server measures itself.
OWN_SIGNALS = frozenset({"age", "lag", "press", "late", "calls", "sockets"})
STORE_SIGNAL = "store"
# The signal that an executor's gauge is read for, by the gauge's name in the configuration.
SIGNALS_BY_GAUGE = {"core_use": "use", "on_cores": "crowd", "heap_share": "memory"}


class ConfiguredServiceLevels:
    """The levels that an operator's file configures.

    Attributes:
        steps: Changes since the start, by effect.
        levels: What decides, without I/O; None until there is a dispatcher.

    Args:
        plan: The operator's levels, or the default ones.
        request_classes: Names and settings of the classes.
        tenant_portions: Each tenant's portion of the service.
        cores: The executor's.
        clock: Unix ns.
        sockets: Returns the share of connections that are in use.
        terms: How fast levels may change; the default ones where None.
        store: Returns the record's strain; None where no record is kept.
        meters: Names of the executor's gauges.
        pin_file: What an operator pins the level by.
        state_file: What `burlloom levels show` reads.
        share: Returns a tenant's share of the service, where `tenant_portions` does not.
    """

    def __init__(
        self,
        plan: LevelPlan,
        request_classes: tuple[tuple[str, RequestClass], ...],
        tenant_portions: dict[str, float],
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
        self.plan = plan
        self.request_classes = request_classes
        self.cores = cores
        self.clock = clock
        self.sockets = sockets
        self.terms = terms
        self.store = store
        self.steps: dict[str, int] = {}
        self._pin_file = PinFile(pin_file, plan) if pin_file is not None else None
        self._state_file = state_file
        self._degradations = decisions.build_degradations(plan, request_classes)
        self._signals = measured_signals(meters, store is not None)
        self._tenants = decisions.TenantExcessDetector(tenant_portions.items(), share=share)
        self._late = decisions.signals.RecentShare()
        self._failed_calls = decisions.signals.RecentShare()
        self.levels: DegradationController | None = None
        self._dispatcher: Dispatcher | None = None
        self._notes: NoteStore | None = None
        self._last_change: LevelChange | None = None
        self._pin_read_ns = 0
        self._state_written_ns = 0
        self._changed_ns = 0

    def attach_dispatcher(self, dispatcher: Dispatcher, is_cold: bool, notes: NoteStore) -> None:
        """Has this dispatcher serve at the level where the last incarnation ended, if any.

        Args:
            dispatcher: What serves.
            is_cold: Whether the executor has yet to warm up.
            notes: Has the level at which the last incarnation ended.
        """
        self._dispatcher = dispatcher
        self._notes = notes
        previous_level = notes.previous_note
        levels = self.levels = DegradationController(
            self.plan,
            self._degradations,
            self.clock(),
            self.terms,
            cold=is_cold,
            previous_level=previous_level,
            measured=self._signals,
        )
        log.info(
            "event=service_levels_started level=%s cold=%s previous_level=%s max_changes=%d",
            levels.level_name,
            is_cold,
            previous_level or "-",
            levels.state_machine.policy.max_changes_per_minute,
        )
        if levels.status.level:
            dispatcher.set_service_level(levels.service_level())

    def count_request(self, tenant: str) -> bool:
        """Counts a request of a tenant; returns whether the tenant is over its share."""
        return self._tenants.is_over_share(self.clock(), tenant)

    def sampling_draw(self, caller: str) -> float:
        """Returns a caller's draw: a level's trial takes those whose draw is under its share."""
        return sampling_draw(caller)

    def request_completed(self, request_class: int, sent_at_ns: int) -> None:
        """Counts a completed request, late where it took longer than its latency objective."""
        now = self.clock()
        objective_ns = self.request_classes[request_class][1].latency_objective_ns
        self._late.add(now, now - sent_at_ns > objective_ns)

    def call_ended(self, succeeded: bool) -> None:
        """Counts the end of a call."""
        self._failed_calls.add(self.clock(), not succeeded)

    def is_optional_work_served(self) -> bool:
        """Returns whether the present level still serves what may wait."""
        return self.levels is None or self.levels.allows_optional_work

    def update(self, measured: Gauges) -> None:
        """Takes a round: reads the pin, evaluates the signals, writes the state file.

        Args:
            measured: The executor's gauges.
        """
        if self.levels is None or self._dispatcher is None:
            return
        now = self.clock()
        if now - self._pin_read_ns >= PIN_INTERVAL_NS:
            self._pin_read_ns = now
            if self._pin_file is not None:
                self._pin_file.read_change(now, self._apply_pin)
        self._apply_change(now, self.levels.tick(now, self._readings(now, measured)))
        if now - self._state_written_ns >= STATE_INTERVAL_NS:
            self._write_state(now)

    def gauges(self) -> dict[str, float]:
        """Returns what stands now, by the end of the metric's name."""
        levels = self.levels
        if levels is None:
            return {}
        return {
            "level": float(levels.status.level),
            "trial_part": levels.trial_share,
            **{
                f"seconds_{name.replace('-', '_')}": spent / NS_PER_SECOND
                for name, spent in levels.time_at_level_ns.items()
            },
            **{f"signal_{name}": value for name, value in levels.signal_values.items()},
        }

    def close(self) -> None:
        """Writes the state file a last time."""
        if self.levels is not None:
            self._write_state(self.clock())
            log.info(
                "event=service_levels_closed level=%s %s",
                self.levels.level_name,
                " ".join(
                    f"{name}={count}" for name, count in self.levels.transition_counts.items()
                ),
            )

    def _readings(self, now: int, measured: Gauges) -> SignalReadings:
        assert self._dispatcher is not None
        age, lag, pressure = self._dispatcher.load_signals()
        return SignalReadings(
            cpu_utilization=known_or_none(measured.cpu_utilization),
            contention=known_or_none(measured.runnable / self.cores),
            queue_age=age,
            read_lag=lag,
            pressure=pressure,
            # The server's own counts are never stale: where nothing was completed or called, none
            # was late.
            late_share=self._late.share(now) or 0.0,
            call_failure_share=self._failed_calls.share(now) or 0.0,
            store_load=self.store() if self.store is not None else None,
            memory_utilization=known_or_none(measured.memory_utilization),
            socket_utilization=self.sockets(),
        )

    def _apply_pin(self, pin: LevelPin | None) -> None:
        assert self.levels is not None
        if pin == self.levels.pin:
            return
        log.info(
            "event=pin_changed level=%s until=%d reason=%r",
            pin.level if pin else "-",
            pin.until_ns if pin else 0,
            pin.reason if pin else "",
        )
        now = self._pin_read_ns
        self._apply_change(now, self.levels.set_pin(now, pin))

    def _apply_change(self, now: int, change: LevelChange | None) -> None:
        if change is None or self.levels is None or self._dispatcher is None:
            return
        self._last_change = change
        self._changed_ns = now
        log.info(
            "event=service_level_changed effect=%s from=%s to=%s trial_share=%.2f cause=%s"
            " value=%.3f bound=%.3f",
            change.effect,
            change.before,
            change.after,
            change.trial_share,
            change.cause,
            change.value,
            change.bound,
        )
        self._dispatcher.set_service_level(self.levels.service_level())
        self.steps[change.effect] = self.steps.get(change.effect, 0) + 1
        if change.before != change.after and self._notes is not None:
            self._notes.write_note(change.after)
        self._write_state(now)

    def _write_state(self, now: int) -> None:
        if self._state_file is None or self.levels is None:
            return
        self._state_written_ns = now
        temporary = self._state_file.with_name(self._state_file.name + ".part")
        try:
            temporary.write_text(json.dumps(self._state(now)) + "\n", encoding="utf-8")
            os.replace(temporary, self._state_file)
        except OSError as error:
            log.warning("event=state_file_not_written detail=%r", str(error))

    def _state(self, now: int) -> dict[str, Any]:
        """Returns what `burlloom levels show` and `explain` read."""
        assert self.levels is not None
        levels, status = self.levels, self.levels.status
        return {
            "told_at": now,
            "level": levels.level_name,
            "phase": status.phase.name.lower(),
            "part": levels.trial_share,
            "since": status.since_ns,
            "stay_ms": levels.state_machine.min_stay_ns(status) // NS_PER_MS,
            "moved_at": self._changed_ns,
            "last": change_state(self._last_change),
            "pin": pin_state(levels.pin),
            "changes_last_minute": len(status.recent_changes),
            "changes_most": levels.state_machine.policy.max_changes_per_minute,
            "values": levels.signal_values,
            "measured": sorted(self._signals),
            "steps": levels.transition_counts,
            "seconds": {
                name: round(spent / NS_PER_SECOND, 1)
                for name, spent in levels.time_at_level_ns.items()
            },
        }


def change_state(change: LevelChange | None) -> dict[str, Any] | None:
    """Returns a change as the state file has it."""
    if change is None:
        return None
    return {
        "effect": change.effect,
        "from": change.before,
        "to": change.after,
        "cause": change.cause,
        "value": change.value,
        "bound": change.bound,
    }


def pin_state(pin: LevelPin | None) -> dict[str, Any] | None:
    """Returns a pin as the state file has it."""
    if pin is None:
        return None
    return {"level": pin.level, "until": pin.until_ns, "reason": pin.reason}


def known_or_none(value: float) -> float | None:
    """Returns a gauge's value; None for a negative one, by which the executor says nothing."""
    return value if value >= 0 else None


def measured_signals(meters: frozenset[str], has_store: bool) -> frozenset[str]:
    """Returns the signals that a server measures: bounds on others do not count.

    Args:
        meters: Names of the executor's gauges.
        has_store: Whether a record is kept.
    """
    of_gauges = {signal for gauge, signal in SIGNALS_BY_GAUGE.items() if gauge in meters}
    of_store = {STORE_SIGNAL} if has_store else set()
    return OWN_SIGNALS | of_gauges | of_store
