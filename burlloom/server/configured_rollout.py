"""Takes part in drains and releases over the shared store.

Imported only if the operator's file enables rollouts.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from ..admission.model import RequestClass
from ..dispatcher import DirectiveKind
from ..operator import RolloutPart
from ..rollout import (
    SERVERS_GROUP,
    DrainAgent,
    RequestCounts,
    RolloutLeader,
    ServerPhase,
    ServerReport,
)
from ..rollout.agent import AgentInput
from ..rollout.stores import (
    RolloutStore,
    StateDecodeError,
    StateSnapshot,
    StoreUnavailableError,
)
from ..rollout.stores.leader_round import run_leader_round
from ..sockets import TaskSupervisor, sleep_ns
from ..time_units import NS_PER_MS
from .clock import boot_time_ns
from .rollout import RolloutHost

if TYPE_CHECKING:
    from .membership import FleetMembership

log = logging.getLogger(__name__)

# Time that the shutdown spends on the last report before it goes on without it.
LAST_REPORT_TIMEOUT_S = 0.2
# Divides the time after which a server without reports counts as missing; the quotient is the
# longest pause between two polls of a store that can't be reached.
MAX_PAUSE_DIVISOR = 4


class ConfiguredRolloutParticipation:
    """The participation that an operator's file configures.

    Attributes:
        counters: Counts since the start, by the suffix of the metric's name.

    Args:
        settings: The operator's settings of rollouts.
        store: The store that all servers of the fleet share.
        name: The server's name.
        version: The release that the server runs; empty if it is not known.
        request_classes: The request classes of the settings.
        clock: Returns Unix ns.
        tasks: Supervises the task that polls.
        host: The server.
        membership: Returns the server's fleet membership; called only after the membership exists.
        interval_clock: Returns monotonic time in ns.
    """

    def __init__(
        self,
        settings: RolloutPart,
        store: RolloutStore,
        name: str,
        version: str,
        request_classes: tuple[RequestClass, ...],
        clock: Callable[[], int],
        tasks: TaskSupervisor,
        host: RolloutHost,
        membership: Callable[[], FleetMembership],
        interval_clock: Callable[[], int] = boot_time_ns,
    ) -> None:
        self.settings = settings
        self.store = store
        self.name = name
        self.version = version
        self.request_classes = request_classes
        self.clock = clock
        self.tasks = tasks
        self.host = host
        self.membership = membership
        self.interval_clock = interval_clock
        self.counters = {"drains": 0, "beaten": 0, "away": 0}
        self._incarnation = 0
        self._previous_incarnation = 0
        self._heartbeats = 0
        self._reported_ns = 0
        self._applied_step = 0
        self._completed = 0
        self._late = 0
        self._rejected = 0
        self._failed = 0
        self._agent: DrainAgent | None = None
        self._leader: RolloutLeader | None = None
        self._snapshot: StateSnapshot | None = None
        self._reported_phase: ServerPhase | None = None
        self._unreachable_reason = ""  # why the store can't be used; empty while it can
        self._is_superseded = False
        self._task: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Starts to poll the store.

        Serving does not depend on the store: a server that can't reach it serves on, and is not
        drained.
        """
        self._task = self.tasks.start(self._keep_polling(), "rollout")

    def request_answered(self, kind: DirectiveKind, request_class: int, sent_at_ns: int) -> None:
        """Counts an answer.

        Args:
            kind: The kind of the answer.
            request_class: Index of the request's class in the settings.
            sent_at_ns: When the caller sent the request, in Unix ns.
        """
        if kind in (DirectiveKind.COMPLETE, DirectiveKind.COMPLETE_AS_ORIGINAL):
            self._completed += 1
            objective_ns = self.request_classes[request_class].latency_objective_ns
            self._late += self.clock() - sent_at_ns > objective_ns
        elif kind is DirectiveKind.REJECT:
            self._rejected += 1
        else:
            self._failed += 1

    def gauges(self) -> dict[str, float]:
        """Returns the current gauge values, by the suffix of the metric's name."""
        if self._snapshot is None:
            return {"away": float(bool(self._unreachable_reason))}
        state = self._snapshot.state
        servers = state.groups[SERVERS_GROUP]
        return {
            "away": float(bool(self._unreachable_reason)),
            "phase": float(state.release.phase),
            "wave": float(state.release.wave_index),
            "servers": float(len(servers.instances)),
            "out": float(servers.out_count),
            "bound": float(servers.budget.compute_limit(len(servers.instances))),
            "steps_read": float(state.step),
            "done": float(
                sum(state.is_up_to_date(instance) for instance in servers.instances.values())
            ),
        }

    async def close(self) -> None:
        """Reports that the server leaves.

        A leader also resigns, so that the next one need not wait until its leadership expires.
        """
        if self._task is not None:
            self._task.cancel()
        with contextlib.suppress(StoreUnavailableError, StateDecodeError, TimeoutError):
            async with asyncio.timeout(LAST_REPORT_TIMEOUT_S):
                await self._report_leaving()
        await self.store.close()
        log.info(
            "event=rollout_closed %s",
            " ".join(f"{name}={count}" for name, count in self.counters.items()),
        )

    async def _keep_polling(self) -> None:
        pause_polls = 1
        while True:
            try:
                await self._poll()
                if self._unreachable_reason:
                    log.warning("event=rollout_store_reachable")
                self._unreachable_reason, pause_polls = "", 1
            except (StoreUnavailableError, StateDecodeError) as error:
                self._note_unreachable(error)
                pause_polls = min(self._max_pause_polls(), 2 * pause_polls)
                await self._reopen()
            except Exception:
                # The loop must go on: a server that stops reporting counts as missing.
                log.exception("event=internal_error side=rollout")
            await sleep_ns(pause_polls * self.settings.poll_ms * NS_PER_MS)

    def _max_pause_polls(self) -> int:
        """Returns the longest pause in poll intervals.

        It is short enough that the pause alone does not make the server count as missing.
        """
        settings = self.settings
        return max(1, settings.fresh_ms // (MAX_PAUSE_DIVISOR * settings.poll_ms))

    def _note_unreachable(self, error: Exception) -> None:
        if not self._unreachable_reason:
            log.warning("event=rollout_store_unreachable detail=%r", str(error))
        self._unreachable_reason, self._snapshot = str(error), None
        self.counters["away"] += 1

    async def _reopen(self) -> None:
        if self._incarnation:
            with contextlib.suppress(StoreUnavailableError):
                await self.store.open()  # the file may have been replaced, and have no tables

    async def _poll(self) -> None:
        if self._is_superseded:
            return
        if not self._incarnation:
            await self._join()
        await self._report()
        if self._is_superseded:
            return
        self._snapshot = snapshot = await self.store.read(self._snapshot)
        self._eject_services(snapshot)
        if not self.host.is_shutting_down:
            await self._follow(snapshot)
        if (
            not self.host.is_shutting_down
            and self._leader is not None
            and snapshot is self._snapshot
        ):
            await self._lead(self._leader, snapshot)

    async def _join(self) -> None:
        await self.store.open()
        previous = await self.store.read_last_report(self.name)
        if previous is not None:
            self._previous_incarnation = (
                previous.incarnation if previous.phase is ServerPhase.LEAVING else 0
            )
        self._incarnation = max(
            self.clock() // NS_PER_MS, previous.incarnation + 1 if previous is not None else 0
        )
        self._agent = DrainAgent(self.name, self._incarnation)
        if self.settings.leads:
            self._leader = RolloutLeader(
                f"{self.name}/{self._incarnation}",
                self.settings.rollout_settings(),
                self.settings.budgets(),
                self.settings.services(),
            )
        log.info(
            "event=rollout_joined name=%s incarnation=%d version=%s",
            self.name,
            self._incarnation,
            self.version or "-",
        )

    def _phase(self) -> ServerPhase:
        if self.host.is_shutting_down:
            return ServerPhase.LEAVING
        return ServerPhase.SERVING if self.host.is_ready() else ServerPhase.STARTING

    async def _report(self) -> None:
        now_ns, phase = self.interval_clock(), self._phase()
        is_due = now_ns - self._reported_ns >= self.settings.beat_ms * NS_PER_MS
        if phase == self._reported_phase and not is_due:
            return
        self._heartbeats += 1
        report = ServerReport(
            self.name,
            self._incarnation,
            self._heartbeats,
            phase,
            self.host.is_healthy_and_recovered(),
            self.version,
            self._applied_step,
            RequestCounts(self._completed, self._late, self._rejected, self._failed),
            self.membership().recent_call_counts(),
            self._previous_incarnation,
        )
        if not await self.store.write_report(report):
            self._is_superseded = True
            # Another process has started under the same name after this one.
            log.error("event=rollout_superseded name=%s", self.name)
        self._reported_phase = phase
        self._reported_ns = now_ns

    async def _report_leaving(self) -> None:
        if not self._incarnation or self._is_superseded or self._unreachable_reason:
            return
        self._reported_phase = None
        await self._report()
        if self._leader is not None:
            snapshot = await self.store.read()
            resigned_state = self._leader.resign(snapshot.state)
            if resigned_state is not None:
                await self.store.compare_and_swap(snapshot, resigned_state)

    def _eject_services(self, snapshot: StateSnapshot) -> None:
        """Excludes the services that rollouts have taken out.

        The step counts as applied once no call to these services is in progress.
        """
        ejected = frozenset(address for _, address in snapshot.state.list_ejected_instances())
        if self.membership().eject_services(ejected):
            self._applied_step = snapshot.state.step

    async def _follow(self, snapshot: StateSnapshot) -> None:
        agent = self._agent
        assert agent is not None
        effect = agent.process_state(snapshot.state)
        if effect == "begin":
            drain_state = agent.begin_drain(snapshot.state)
            try:
                is_accepted = drain_state is not None and await self.store.compare_and_swap(
                    snapshot, drain_state
                )
            except StoreUnavailableError:
                agent.apply_input(AgentInput.WRITE_UNKNOWN)
                raise
            effect = agent.apply_input(
                AgentInput.WRITE_ACCEPTED if is_accepted else AgentInput.WRITE_CONFLICT
            )
            self._snapshot = None
            self.counters["beaten"] += not is_accepted
        if effect == "drain":
            self._begin_drain(snapshot)

    def _begin_drain(self, snapshot: StateSnapshot) -> None:
        """Begins the drain; called only after the store has durably recorded it."""
        version = snapshot.state.find_next_version(self.name)
        log.info(
            "event=rollout_drain_started incarnation=%d next_version=%s",
            self._incarnation,
            version or "-",
        )
        self.counters["drains"] += 1
        if self.settings.release_file is not None:
            self._write_release(Path(self.settings.release_file), version)
        self.host.begin_shutdown()

    def _write_release(self, path: Path, version: str) -> None:
        try:
            temporary = path.with_name(path.name + ".part")
            temporary.write_text(version + "\n", encoding="utf-8")
            os.replace(temporary, path)
        except OSError as error:
            log.warning("event=release_file_not_written detail=%r", str(error))

    async def _lead(self, leader: RolloutLeader, snapshot: StateSnapshot) -> None:
        for step, reason in await run_leader_round(
            leader, self.store, snapshot, self.interval_clock()
        ):
            log.info("event=rollout_step step=%d reason=%r", step, reason)
