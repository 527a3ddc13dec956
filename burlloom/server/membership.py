"""Between the server and the fleet: the datagrams, the share that the decisions are told, the
services called.

Where the fleet is off, `NoFleet` stands here, and nothing of it is imported.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import time
from collections.abc import Callable
from dataclasses import asdict
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from ..dispatcher import Dispatcher
from ..sockets import NS_PER_MS, NS_PER_SECOND, TaskSupervisor, sleep_ns

if TYPE_CHECKING:
    import socket
    from pathlib import Path

    from ..downstream import CallStatus, ConnectionPool
    from ..downstream.service_pools import ServicePools
    from ..fleet import Fleet, SubsetAssignment
    from ..metrics import Exposed
    from ..operator import FleetPart
    from .recovery import RestartRecovery

log = logging.getLogger(__name__)

TICK = 50 * NS_PER_MS
LOOK_EVERY = NS_PER_SECOND  # at the keys, at the view for subsets, and for the state's file
NOTHING = 0.001  # calls: a share of none, as the decisions know it; 0 is no bound to them
LATELY = 3 * NS_PER_SECOND  # half of what is told of calls by service
FADES = 0.98  # a tick, of what was wanted: a peak counts for some seconds


class FleetMembership(Protocol):
    """What the server asks of its fleet, and tells it."""

    async def open(self) -> None: ...
    def attach_dispatcher(self, desk: Dispatcher) -> None: ...
    def may_call(self) -> bool:
        """Just before a call leaves: whether our share is still one that we know."""

    def select_pool(self, one: ConnectionPool) -> ConnectionPool | ServicePools: ...
    def call_shares(self) -> tuple[float, float] | None:
        """An equal share and our own, calls; None where there is no fleet."""

    def peer_addresses(self) -> tuple[str, ...]:
        """Of others, for our next life."""

    def eject_services(self, addresses: frozenset[str]) -> bool:
        """From now on these services are not called; whether no call is there any more."""

    def recent_call_counts(self) -> dict[str, tuple[int, int]]:
        """Of each service, calls of the last seconds that came back well, and that did not."""

    def close(self) -> None: ...


class NoFleetMembership:
    """Each server decides alone."""

    async def open(self) -> None:
        pass

    def attach_dispatcher(self, desk: Dispatcher) -> None:
        pass

    def may_call(self) -> bool:
        return True

    def select_pool(self, one: ConnectionPool) -> ConnectionPool | ServicePools:
        return one

    def call_shares(self) -> tuple[float, float] | None:
        return None

    def peer_addresses(self) -> tuple[str, ...]:
        return ()

    def eject_services(self, addresses: frozenset[str]) -> bool:
        return True

    def recent_call_counts(self) -> dict[str, tuple[int, int]]:
        return {}

    def close(self) -> None:
        pass


def monotonic_ns() -> int:
    """ns of a clock that nobody sets, and that goes on while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class CallShare:
    """What the fleet's share means to the decisions. Kept apart: the lab has it without
    datagrams.
    """

    def __init__(self, fleet: Fleet, cap: Callable[[], float]) -> None:
        """`cap`: calls that a start allows so far, beside the share."""
        self.fleet, self.cap = fleet, cap
        self.desk: Dispatcher | None = None
        self.applied = -1
        self.demand = 0.0

    def report_demand(self) -> None:
        """Before a tick of the fleet's."""
        from ..fleet import MILLICALLS_PER_CALL

        in_hand, waiting = self.desk.call_demand() if self.desk is not None else (0, 0)
        self.demand = max(float(in_hand + waiting), FADES * self.demand)
        self.fleet.set_usage(
            int(min(self.demand, self.cap()) * MILLICALLS_PER_CALL), in_hand * MILLICALLS_PER_CALL
        )

    def apply(self) -> None:
        """After one, and after each letter."""
        from ..fleet import MILLICALLS_PER_CALL

        share = min(self.fleet.share, int(min(self.cap(), 1e9) * MILLICALLS_PER_CALL))
        if self.desk is not None and share != self.applied:
            self.applied = share
            self.desk.set_call_quota(max(NOTHING, share / MILLICALLS_PER_CALL))


def call_shares(fleet: Fleet) -> tuple[float, float]:
    from ..fleet import MILLICALLS_PER_CALL

    return fleet.quota_settings.equal_share(
        max(1, fleet.view.count_not_left())
    ) / MILLICALLS_PER_CALL, fleet.share / MILLICALLS_PER_CALL


class ConfiguredFleetMembership:
    """`sock`: bound, for datagrams."""

    def __init__(
        self,
        part: FleetPart,
        sock: socket.socket,
        name: str,
        seed: int,
        tasks: TaskSupervisor,
        recovery: RestartRecovery,
    ) -> None:
        from .. import fleet
        from ..downstream.service_pools import ServicePools

        self.of, self.part, self.sock, self.tasks, self.clock = (
            fleet,
            part,
            sock,
            tasks,
            monotonic_ns,
        )
        host, port = sock.getsockname()
        self.address = f"{host}:{port}"
        own = fleet.MemberUpdate(
            name, part.advertise or self.address, recovery.incarnation, 0, fleet.MemberState.ALIVE
        )
        self.chance = Random(seed ^ own.incarnation)
        self.fleet = fleet.Fleet(
            own,
            (*part.seeds, *recovery.known_members),
            part.keys(),
            part.terms(),
            part.habits(),
            self.chance,
            self.clock(),
        )
        self.fleet.weight = int(part.weight * 1000)
        self.call_share, self.recovery = CallShare(self.fleet, recovery.call_cap), recovery
        self.transport: asyncio.DatagramTransport | None = None
        self.turns = fleet.WeightedRoundRobin()
        self.spread_over: tuple[tuple[str, ...], frozenset[str]] = ((), frozenset())
        self.shunned: frozenset[str] = frozenset()
        self.lately: list[dict[str, list[int]]] = [
            {},
            {},
        ]  # calls by service, well and not: of this span and the last
        self.lately_at = 0
        self.pools: ServicePools | None = (
            ServicePools(self.next, self.called) if part.services else None
        )
        self.looked_at = self.former = 0
        self.key_seen: float = 0.0
        self.spreading: asyncio.Task[None] | None = None
        self.exposed: Exposed | None = None
        self.worst = 1.0
        if part.services:
            self.respread(self.spread((name,)))

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Ear(self.hear), sock=self.sock
        )
        self.tasks.start(self.keep(), "fleet")
        log.info(
            "event=fleet-open name=%s address=%s advertised=%s life=%d calls=%g least=%d services=%d",
            self.fleet.own.name,
            self.address,
            self.fleet.own.address,
            self.fleet.own.incarnation,
            self.part.calls,
            self.part.least,
            len(self.part.services),
        )

    def attach_dispatcher(self, desk: Dispatcher) -> None:
        self.call_share.desk = desk
        self.call_share.apply()

    def may_call(self) -> bool:
        if self.fleet.is_current(self.clock()):
            return True
        self.tick()  # we stood still: what we thought to hold may be another's by now
        return False

    async def keep(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                log.exception("event=fault side=fleet")
            await sleep_ns(TICK)

    def tick(self) -> None:
        now = self.clock()
        self.call_share.report_demand()
        self.fleet.tick(now)
        self.after(now)
        if now - self.looked_at >= LOOK_EVERY:
            self.looked_at = now
            self.look_at_keys()
            self.look_at_view()
            if self.part.state_file is not None:
                self.write_state(now)

    def hear(self, data: bytes) -> None:
        now = self.clock()
        self.fleet.receive(now, data)
        self.after(now)

    def after(self, now: int) -> None:
        """What a tick or a letter has led to."""
        if self.fleet.previous_incarnation != self.former:
            self.former = self.fleet.previous_incarnation
            self.recovery.previous_incarnation_seen(self.former)
        self.call_share.apply()
        self.flush()
        for move in self.fleet.transitions:
            word = move.after or move.before
            if word is not None and word.name != self.fleet.own.name:
                log.info(
                    "event=member name=%s state=%s life=%d incarnation=%d",
                    word.name,
                    word.state.name.lower() if move.after else "gone",
                    word.incarnation,
                    word.refutation,
                )
        self.fleet.transitions = []

    def flush(self) -> None:
        out = self.fleet.outbox
        while out and self.transport is not None:
            address, data = out.popleft()
            host, port = address.rsplit(":", 1)
            self.transport.sendto(data, (host, int(port)))

    # Once a second.

    def look_at_keys(self) -> None:
        """A file that can't be used leaves the keys as they are, with one line."""
        from ..operator.fleet import read_keys

        place = self.key_place()
        try:
            seen = place.stat().st_mtime
            if seen == self.key_seen:
                return
            self.key_seen, keys = seen, read_keys(place)
            if not keys:
                raise ValueError("no key")
        except (OSError, ValueError) as error:
            log.warning("event=fleet-keys-refused detail=%r", str(error))
            return
        if keys != self.fleet.keys:
            self.fleet.keys = keys
            log.info("event=fleet-keys count=%d", len(keys))

    def key_place(self) -> Path:
        from pathlib import Path

        return Path(self.part.key_file)

    def look_at_view(self) -> None:
        """The subsets follow the view, off the loop: with hundreds of servers they take some tens
        of ms.
        """
        names = tuple(
            sorted(
                {member.update.name for member in self.fleet.view.present_members()}
                | {self.fleet.own.name}
            )
        )
        over = names, self.shunned
        if not self.part.services or over == self.spread_over or self.spreading is not None:
            return
        self.spreading = self.tasks.start(self.spread_anew(over), "spread")

    async def spread_anew(self, over: tuple[tuple[str, ...], frozenset[str]]) -> None:
        try:
            self.respread(await asyncio.to_thread(self.spread, *over))
            self.spread_over = over
        finally:
            self.spreading = None

    def spread(
        self, names: tuple[str, ...], shunned: frozenset[str] = frozenset()
    ) -> SubsetAssignment:
        # Without any there would be nobody to call: then all are as good as the others.
        left = [service for service in self.part.services if service not in shunned]
        return self.of.assign_subsets(names, left or self.part.services, self.part.subset)

    def eject_services(self, addresses: frozenset[str]) -> bool:
        if addresses != self.shunned:
            self.shunned = addresses
            self.look_at_view()
        return (
            self.pools is None
            or self.spread_over[1] == addresses
            and not any(self.pools.calls_in_progress[address_of(address)] for address in addresses)
        )

    def recent_call_counts(self) -> dict[str, tuple[int, int]]:
        now = self.clock()
        if now - self.lately_at >= LATELY:
            # Of a span without a call nothing stays: what failed long ago says nothing of now.
            self.lately = [{}, self.lately[0] if now - self.lately_at < 2 * LATELY else {}]
            self.lately_at = now
        found: dict[str, tuple[int, int]] = {}
        for part in self.lately:
            for service, (well, bad) in part.items():
                before = found.get(service, (0, 0))
                found[service] = before[0] + well, before[1] + bad
        return found

    def respread(self, spread: SubsetAssignment) -> None:
        own = spread.subsets[self.fleet.own.name].weights
        self.turns.set_weights(own, self.chance.random())
        self.worst = spread.max_load_ratio
        assert self.pools is not None
        self.pools.set_addresses([address_of(service) for service in own])
        log.info(
            "event=subset servers=%d size=%d worst=%.3f",
            len(spread.subsets),
            len(own),
            spread.max_load_ratio,
        )

    # Calls.

    def select_pool(self, one: ConnectionPool) -> ConnectionPool | ServicePools:
        return self.pools if self.pools is not None else one

    def next(self) -> tuple[str, int]:
        return address_of(self.turns.next_service(self.clock()))

    def called(self, address: tuple[str, int], answer: CallStatus) -> None:
        from ..downstream import CallStatus

        service = "%s:%d" % address
        if answer is CallStatus.UNREACHABLE:
            self.turns.record_failure(service, self.clock())
        else:
            self.turns.record_success(service)
        if answer is not CallStatus.NO_LONGER_NEEDED:  # which says nothing of the service
            good = answer in (CallStatus.OK, CallStatus.REJECTED)
            self.lately[0].setdefault(service, [0, 0])[0 if good else 1] += 1

    # For our next life.

    def call_shares(self) -> tuple[float, float] | None:
        return call_shares(self.fleet)

    def peer_addresses(self) -> tuple[str, ...]:
        return tuple(
            member.update.address
            for member in self.fleet.view.present_members()
            if member.update.name != self.fleet.own.name
        )

    # For operators.

    def write_state(self, now: int) -> None:
        assert self.part.state_file is not None
        told = {
            "told_at": time.time_ns(),
            **self.of.summarize(self.fleet, now),
            "subset": dict(self.turns.weights),
            "worst": self.worst,
        }
        part = self.part.state_file + ".part"
        try:
            with open(part, "w", encoding="utf-8") as file:
                file.write(json.dumps(told) + "\n")
            os.replace(part, self.part.state_file)
        except OSError as error:
            log.warning("event=state-not-written detail=%r", str(error))

    def gauges(self) -> dict[str, float]:
        """For whoever reads metrics."""
        fleet = self.fleet
        states = [member.state.name.lower() for member in fleet.view]
        return {
            "share": fleet.share / self.of.MILLICALLS_PER_CALL,
            "state": float(fleet.lease_holder.state),
            "deals": float(fleet.allocator.phase),
            "strangers": float(fleet.settings_mismatches),
            "worst_load": self.worst,
            **{
                f"members_{name}": float(states.count(name))
                for name in ("alive", "suspect", "dead", "left")
            },
        }

    def close(self) -> None:
        """Our last word: what we held is free at once."""
        self.fleet.leave(self.clock())
        self.flush()
        if self.transport is not None:
            self.transport.close()
            self.transport = None  # a tick may follow, and has nothing to say any more
        if self.exposed is not None:
            self.exposed.close()
        log.info(
            "event=fleet-closed %s",
            " ".join(f"{name}={count}" for name, count in asdict(self.fleet.counters).items()),
        )


def address_of(service: str) -> tuple[str, int]:
    host, _, port = service.rpartition(":")
    return host, int(port)


class Ear(asyncio.DatagramProtocol):
    def __init__(self, hear: Callable[[bytes], None]) -> None:
        self.hear = hear

    def datagram_received(self, data: bytes, _: Any) -> None:
        self.hear(data)

    def error_received(self, error: Exception) -> None:
        pass  # whoever is not there will be found silent
