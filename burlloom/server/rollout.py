"""Between the server and the fleet's drains and releases: what it tells, what it heeds, when it
leaves.

Where they are off, `NoRolling` stands here, and nothing of them is imported.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from ..admission.model import RequestClass
from ..dispatcher import DirectiveKind
from ..sockets import NS_PER_MS, TaskSupervisor, sleep_ns
from .membership import monotonic_ns

if TYPE_CHECKING:
    from ..metrics import Exposed
    from ..operator import RolloutPart
    from ..rollout import DrainAgent, RolloutLeader, ServerPhase
    from ..rollout.stores import RolloutStore, StateSnapshot
    from .membership import FleetMembership

log = logging.getLogger(__name__)

RELEASE = "BURLLOOM_RELEASE"
LAST_WORD = 0.2  # s that a way out may wait for the store


class RolloutParticipation(Protocol):
    """What the server tells of itself."""

    def open(self) -> None: ...
    def request_answered(self, kind: DirectiveKind, product: int, at: int) -> None: ...
    async def close(self) -> None: ...


class NoRolloutParticipation:
    """Its platform alone says when it starts and stops."""

    def open(self) -> None:
        pass

    def request_answered(self, kind: DirectiveKind, product: int, at: int) -> None:
        pass

    async def close(self) -> None:
        pass


class RolloutHost(Protocol):
    """The server, as far as it is asked."""

    @property
    def is_shutting_down(self) -> bool: ...
    def is_healthy_and_recovered(self) -> bool: ...
    def is_ready(self) -> bool: ...
    def begin_shutdown(self) -> None: ...


class ConfiguredRolloutParticipation:
    """`version`: that we run; `terms` and the like stand in `part`."""

    def __init__(
        self,
        part: RolloutPart,
        shelf: RolloutStore,
        name: str,
        version: str,
        products: tuple[RequestClass, ...],
        clock: Callable[[], int],
        tasks: TaskSupervisor,
        host: RolloutHost,
        fleet: Callable[[], FleetMembership],
        steady: Callable[[], int] = monotonic_ns,
    ) -> None:
        """`clock`: Unix ns; `steady`: ns of one that nobody sets."""
        from .. import rollout
        from ..rollout import stores

        self.of, self.stores, self.part, self.shelf = rollout, stores, part, shelf
        self.name, self.version, self.steady = name, version, steady
        self.products, self.clock, self.tasks, self.host, self.fleet = (
            products,
            clock,
            tasks,
            host,
            fleet,
        )
        self.life = self.former = self.beat = self.told_at = self.heeded = 0
        self.counts = [0, 0, 0, 0]  # settled, late, declined, voided
        self.hand: DrainAgent | None = None
        self.lead: RolloutLeader | None = None
        self.page: StateSnapshot | None = None
        self.said: ServerPhase | None = None
        self.away = ""
        self.outbid = False
        self.steps = {"drains": 0, "beaten": 0, "away": 0}
        self.exposed: Exposed | None = None
        self.task: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Serving does not wait for the store: whoever can't reach it serves on, and is not sent
        out.
        """
        self.task = self.tasks.start(self.keep(), "rollout")

    def request_answered(self, kind: DirectiveKind, product: int, at: int) -> None:
        if kind in (DirectiveKind.COMPLETE, DirectiveKind.COMPLETE_AS_ORIGINAL):
            self.counts[0] += 1
            self.counts[1] += self.clock() - at > self.products[product].latency_objective_ns
        else:
            self.counts[2 if kind is DirectiveKind.REJECT else 3] += 1

    async def keep(self) -> None:
        wait = 1
        while True:
            try:
                await self.round()
                if self.away:
                    log.warning("event=rollout-back")
                self.away, wait = "", 1
            except (self.stores.StoreUnavailableError, self.stores.StateDecodeError) as error:
                if not self.away:
                    log.warning("event=rollout-away detail=%r", str(error))
                self.away, self.page = str(error), None
                self.steps["away"] += 1
                # Never so seldom that we are taken for silent because of it.
                wait = min(max(1, self.part.fresh_ms // (4 * self.part.poll_ms)), 2 * wait)
                await self.reopen()
            except Exception:
                log.exception("event=fault side=rollout")
            await sleep_ns(wait * self.part.poll_ms * NS_PER_MS)

    async def reopen(self) -> None:
        if self.life:
            try:
                await self.shelf.open()  # its file may be another's by now, its tables gone
            except self.stores.StoreUnavailableError:
                pass

    async def round(self) -> None:
        if self.outbid:
            return
        if not self.life:
            await self.shelf.open()
            last = await self.shelf.last_report(self.name)
            if last is not None:
                self.former = last.incarnation if last.phase is self.of.ServerPhase.LEAVING else 0
            self.life = max(
                self.clock() // NS_PER_MS, last.incarnation + 1 if last is not None else 0
            )
            self.hand = self.of.DrainAgent(self.name, self.life)
            if self.part.leads:
                self.lead = self.of.RolloutLeader(
                    f"{self.name}/{self.life}",
                    self.part.terms(),
                    self.part.budgets(),
                    self.part.services(),
                )
            log.info(
                "event=rollout name=%s life=%d version=%s",
                self.name,
                self.life,
                self.version or "-",
            )
        await self.tell()
        if self.outbid:
            return
        self.page = page = await self.shelf.read(self.page)
        self.heed(page)
        if not self.host.is_shutting_down:
            await self.mind(page)
        if not self.host.is_shutting_down and self.lead is not None and page is self.page:
            await self.go_first(self.lead, page)

    # What we say.

    def says(self) -> ServerPhase:
        says = self.of.ServerPhase
        return (
            says.LEAVING
            if self.host.is_shutting_down
            else says.SERVING
            if self.host.is_ready()
            else says.STARTING
        )

    async def tell(self) -> None:
        now, says = self.steady(), self.says()
        if says == self.said and now - self.told_at < self.part.beat_ms * NS_PER_MS:
            return
        self.beat += 1
        if not await self.shelf.report(
            self.of.ServerReport(
                self.name,
                self.life,
                self.beat,
                says,
                self.host.is_healthy_and_recovered(),
                self.version,
                self.heeded,
                self.of.RequestCounts(*self.counts),
                self.fleet().recent_call_counts(),
                self.former,
            )
        ):
            self.outbid = True
            log.error(
                "event=rollout-outbid name=%s", self.name
            )  # another was started under it after us
        self.said, self.told_at = says, now

    def heed(self, page: StateSnapshot) -> None:
        """Instances below that are out are not called. What was acted on is told once no call is
        there any more.
        """
        shunned = frozenset(address for _, address in page.state.ejected_instances())
        if self.fleet().eject_services(shunned):
            self.heeded = page.state.step

    # What the book says of us.

    async def mind(self, page: StateSnapshot) -> None:
        assert self.hand is not None
        effect = self.hand.process_state(page.state)
        if effect == "begin":
            wanted, of = self.hand.begin_drain(page.state), self.of.agent.AgentInput
            try:
                held = wanted is not None and await self.shelf.compare_and_swap(page, wanted)
            except self.stores.StoreUnavailableError:
                self.hand.apply_input(of.WRITE_UNKNOWN)
                raise
            effect = self.hand.apply_input(of.WRITE_ACCEPTED if held else of.WRITE_CONFLICT)
            self.page = None
            self.steps["beaten"] += not held
        if effect == "drain":
            self.go(page)

    def go(self, page: StateSnapshot) -> None:
        """The book has us out, durably: now, and no earlier, we drain."""
        to = page.state.next_version_of(self.name)
        log.info("event=rollout-drain life=%d next=%s", self.life, to or "-")
        self.steps["drains"] += 1
        if self.part.release_file is not None:
            place = Path(self.part.release_file)
            try:
                part = place.with_name(place.name + ".part")
                part.write_text(to + "\n", encoding="utf-8")
                os.replace(part, place)
            except OSError as error:
                log.warning("event=release-not-written detail=%r", str(error))
        self.host.begin_shutdown()

    # Leading.

    async def go_first(self, lead: RolloutLeader, page: StateSnapshot) -> None:
        from ..rollout.stores.leader_round import run_leader_round

        for step, said in await run_leader_round(lead, self.shelf, page, self.steady()):
            log.info("event=rollout-step step=%d said=%r", step, said)

    def gauges(self) -> dict[str, float]:
        """For whoever reads metrics."""
        if self.page is None:
            return {"away": float(bool(self.away))}
        book = self.page.state
        servers = book.groups[self.of.SERVERS_GROUP]
        return {
            "away": float(bool(self.away)),
            "phase": float(book.release.phase),
            "wave": float(book.release.wave_index),
            "servers": float(len(servers.instances)),
            "out": float(servers.out_count),
            "bound": float(servers.budget.limit(len(servers.instances))),
            "steps_read": float(book.step),
            "done": float(sum(book.is_done(unit) for unit in servers.instances.values())),
        }

    async def close(self) -> None:
        """Our last word; who leads says so, and another need not wait."""
        if self.task is not None:
            self.task.cancel()
        try:
            async with asyncio.timeout(LAST_WORD):
                await self.last_word()
        except (self.stores.StoreUnavailableError, self.stores.StateDecodeError, TimeoutError):
            pass
        await self.shelf.close()
        if self.exposed is not None:
            self.exposed.close()
        log.info(
            "event=rollout-closed %s",
            " ".join(f"{name}={count}" for name, count in self.steps.items()),
        )

    async def last_word(self) -> None:
        if not self.life or self.outbid or self.away:
            return
        self.said = None
        await self.tell()
        if self.lead is not None:
            page = await self.shelf.read()
            resigned = self.lead.resign(page.state)
            if resigned is not None:
                await self.shelf.compare_and_swap(page, resigned)
