"""Measures load signals and applies the service level that they select.

Imported only if the operator's file enables service levels.
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
from ..time_units import NS_PER_MS, NS_PER_SECOND
from .level_pin import PinFile
from .service_levels import NoteStore, sampling_draw

log = logging.getLogger(__name__)

# Time between two reads of the pin file.
PIN_INTERVAL_NS = NS_PER_SECOND
# Time between two writes of the state file while the level does not change.
STATE_INTERVAL_NS = 5 * NS_PER_SECOND
# Names of the signals that every server measures without the executor or a record.
OWN_SIGNALS = frozenset({"age", "lag", "press", "late", "calls", "sockets"})
# Name of the signal that only a server with a request record measures.
STORE_SIGNAL = "store"
# The signal that each gauge of the executor provides, by the gauge's name in the configuration.
SIGNALS_BY_GAUGE = {"core_use": "use", "on_cores": "crowd", "heap_share": "memory"}


class ConfiguredServiceLevels:
    """The service levels that an operator's file configures.

    Attributes:
        change_counts: Changes of the level since the start, by effect.
        controller: Selects the level; does no I/O. None until the executor has connected.

    Args:
        plan: The levels of the operator's file, or the default ones.
        request_classes: Names and settings of the request classes.
        tenant_portions: Weight of each tenant, by name.
        cores: Number of the executor's cores.
        clock: Returns Unix ns.
        socket_utilization: Returns the fraction of the connection limit that is in use.
        policy: How fast levels may change; None for the default.
        store_load: Returns the load of the record's store from 0 to 1; None if there is no record.
        gauge_names: Names of the executor's gauges.
        pin_file: File by which an operator pins the level; None if pins are off.
        state_file: File that `burlloom levels show` reads; None to write none.
        tenant_share: Returns a tenant's share of the service; None if `tenant_portions` determine
            the shares.
    """

    def __init__(
        self,
        plan: LevelPlan,
        request_classes: tuple[tuple[str, RequestClass], ...],
        tenant_portions: dict[str, float],
        cores: int,
        clock: Callable[[], int],
        socket_utilization: Callable[[], float],
        *,
        policy: HysteresisPolicy | None = None,
        store_load: Callable[[], float] | None = None,
        gauge_names: frozenset[str] = frozenset(),
        pin_file: Path | None = None,
        state_file: Path | None = None,
        tenant_share: Callable[[str], float | None] | None = None,
    ) -> None:
        self.plan = plan
        self.request_classes = request_classes
        self.cores = cores
        self.clock = clock
        self.socket_utilization = socket_utilization
        self.policy = policy
        self.store_load = store_load
        self.change_counts: dict[str, int] = {}
        self._pin_file = PinFile(pin_file, plan) if pin_file is not None else None
        self._state_file = state_file
        self._degradations = decisions.build_degradations(plan, request_classes)
        self._signals = measured_signals(gauge_names, store_load is not None)
        self._tenants = decisions.TenantExcessDetector(tenant_portions.items(), share=tenant_share)
        self._late_share = decisions.signals.RecentShare()
        self._call_failure_share = decisions.signals.RecentShare()
        self.controller: DegradationController | None = None
        self._dispatcher: Dispatcher | None = None
        self._notes: NoteStore | None = None
        self._last_change: LevelChange | None = None
        self._pin_read_ns = 0
        self._state_written_ns = 0
        self._changed_ns = 0

    def attach_dispatcher(self, dispatcher: Dispatcher, is_cold: bool, notes: NoteStore) -> None:
        """Applies the first level to this dispatcher: that of the previous incarnation, if known.

        Args:
            dispatcher: The dispatcher that serves at the level.
            is_cold: Whether the executor has yet to warm up.
            notes: Holds the level at which the previous incarnation ended.
        """
        self._dispatcher = dispatcher
        self._notes = notes
        previous_level = notes.previous_note
        controller = self.controller = DegradationController(
            self.plan,
            self._degradations,
            self.clock(),
            self.policy,
            cold=is_cold,
            previous_level=previous_level,
            measured=self._signals,
        )
        log.info(
            "event=service_levels_started level=%s cold=%s previous_level=%s max_changes=%d",
            controller.level_name,
            is_cold,
            previous_level or "-",
            controller.state_machine.policy.max_changes_per_minute,
        )
        if controller.status.level:
            dispatcher.set_service_level(controller.service_level())

    def count_request(self, tenant: str) -> bool:
        """Counts a request of a tenant; returns whether the tenant is over its share."""
        return self._tenants.is_over_share(self.clock(), tenant)

    def sampling_draw(self, caller: str) -> float:
        """Returns a caller's fixed draw, from 0 to below 1.

        A trial covers the callers whose draw is under the trial's share.
        """
        return sampling_draw(caller)

    def request_completed(self, request_class: int, sent_at_ns: int) -> None:
        """Counts a completed request; it is late if it took longer than its latency objective."""
        now_ns = self.clock()
        objective_ns = self.request_classes[request_class][1].latency_objective_ns
        self._late_share.add(now_ns, now_ns - sent_at_ns > objective_ns)

    def call_ended(self, succeeded: bool) -> None:
        """Counts the end of a call."""
        self._call_failure_share.add(self.clock(), not succeeded)

    def is_optional_work_served(self) -> bool:
        """Returns whether the present level allows the server's own optional work."""
        return self.controller is None or self.controller.allows_optional_work

    def update(self, gauges: Gauges) -> None:
        """Reads the pin, evaluates the signals and writes the state file, each when due.

        Args:
            gauges: The executor's gauges.
        """
        if self.controller is None or self._dispatcher is None:
            return
        now_ns = self.clock()
        if now_ns - self._pin_read_ns >= PIN_INTERVAL_NS:
            self._pin_read_ns = now_ns
            if self._pin_file is not None:
                self._pin_file.read_change(now_ns, self._apply_pin)
        self._apply_change(now_ns, self.controller.tick(now_ns, self._readings(now_ns, gauges)))
        if now_ns - self._state_written_ns >= STATE_INTERVAL_NS:
            self._write_state(now_ns)

    def gauges(self) -> dict[str, float]:
        """Returns the current gauge values, by the suffix of the metric's name."""
        controller = self.controller
        if controller is None:
            return {}
        return {
            "level": float(controller.status.level),
            "trial_part": controller.trial_share,
            **{
                f"seconds_{name.replace('-', '_')}": spent_ns / NS_PER_SECOND
                for name, spent_ns in controller.time_at_level_ns.items()
            },
            **{f"signal_{name}": value for name, value in controller.signal_values.items()},
        }

    def close(self) -> None:
        """Writes the final state file."""
        if self.controller is not None:
            self._write_state(self.clock())
            log.info(
                "event=service_levels_closed level=%s %s",
                self.controller.level_name,
                " ".join(
                    f"{name}={count}" for name, count in self.controller.transition_counts.items()
                ),
            )

    def _readings(self, now_ns: int, gauges: Gauges) -> SignalReadings:
        assert self._dispatcher is not None
        queue_age, read_lag, pressure = self._dispatcher.load_signals()
        return SignalReadings(
            cpu_utilization=gauge_or_none(gauges.cpu_utilization),
            contention=gauge_or_none(gauges.runnable / self.cores),
            queue_age=queue_age,
            read_lag=read_lag,
            pressure=pressure,
            # The server's own counts are always known: with no completed request or call, none was
            # late or failed.
            late_share=self._late_share.share(now_ns) or 0.0,
            call_failure_share=self._call_failure_share.share(now_ns) or 0.0,
            store_load=self.store_load() if self.store_load is not None else None,
            memory_utilization=gauge_or_none(gauges.memory_utilization),
            socket_utilization=self.socket_utilization(),
        )

    def _apply_pin(self, pin: LevelPin | None) -> None:
        assert self.controller is not None
        if pin == self.controller.pin:
            return
        log.info(
            "event=pin_changed level=%s until=%d reason=%r",
            pin.level if pin else "-",
            pin.until_ns if pin else 0,
            pin.reason if pin else "",
        )
        now_ns = self._pin_read_ns
        self._apply_change(now_ns, self.controller.set_pin(now_ns, pin))

    def _apply_change(self, now_ns: int, change: LevelChange | None) -> None:
        if change is None or self.controller is None or self._dispatcher is None:
            return
        self._last_change = change
        self._changed_ns = now_ns
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
        self._dispatcher.set_service_level(self.controller.service_level())
        self.change_counts[change.effect] = self.change_counts.get(change.effect, 0) + 1
        if change.before != change.after and self._notes is not None:
            self._notes.write_note(change.after)
        self._write_state(now_ns)

    def _write_state(self, now_ns: int) -> None:
        if self._state_file is None or self.controller is None:
            return
        self._state_written_ns = now_ns
        temporary = self._state_file.with_name(self._state_file.name + ".part")
        try:
            temporary.write_text(json.dumps(self._encode_state(now_ns)) + "\n", encoding="utf-8")
            os.replace(temporary, self._state_file)
        except OSError as error:
            log.warning("event=state_file_not_written detail=%r", str(error))

    def _encode_state(self, now_ns: int) -> dict[str, Any]:
        """Returns the state file's content, which `burlloom levels show` and `explain` read."""
        assert self.controller is not None
        controller, status = self.controller, self.controller.status
        return {
            "told_at": now_ns,
            "level": controller.level_name,
            "phase": status.phase.name.lower(),
            "part": controller.trial_share,
            "since": status.since_ns,
            "stay_ms": controller.state_machine.min_stay_ns(status) // NS_PER_MS,
            "moved_at": self._changed_ns,
            "last": encode_change(self._last_change),
            "pin": encode_pin(controller.pin),
            "changes_last_minute": len(status.recent_changes),
            "changes_most": controller.state_machine.policy.max_changes_per_minute,
            "values": controller.signal_values,
            "measured": sorted(self._signals),
            "steps": controller.transition_counts,
            "seconds": {
                name: round(spent_ns / NS_PER_SECOND, 1)
                for name, spent_ns in controller.time_at_level_ns.items()
            },
        }


def encode_change(change: LevelChange | None) -> dict[str, Any] | None:
    """Returns a change of level in the form of the state file."""
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


def encode_pin(pin: LevelPin | None) -> dict[str, Any] | None:
    """Returns a pin in the form of the state file."""
    if pin is None:
        return None
    return {"level": pin.level, "until": pin.until_ns, "reason": pin.reason}


def gauge_or_none(value: float) -> float | None:
    """Returns a gauge's value; None for a negative one, which stands for an unknown value."""
    return value if value >= 0 else None


def measured_signals(gauge_names: frozenset[str], has_store: bool) -> frozenset[str]:
    """Returns the signals that a server measures; a plan's bounds on other signals are ignored.

    Args:
        gauge_names: Names of the executor's gauges.
        has_store: Whether there is a request record.
    """
    gauge_signals = {signal for gauge, signal in SIGNALS_BY_GAUGE.items() if gauge in gauge_names}
    store_signals = {STORE_SIGNAL} if has_store else set()
    return OWN_SIGNALS | gauge_signals | store_signals
