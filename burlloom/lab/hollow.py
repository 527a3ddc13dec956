"""A process that holds some hundreds of hollow servers: each speaks the real messages over a
loopback socket of its own with the real cores, and has no serving part.

    python -m burlloom.lab.hollow    # a line of JSON in for each order, a line out each second; ends when its input
    does

Whoever runs it sends `begin`, learns from `open` under which address each server is reached, and
tells all hosts all of the addresses (`places`), since the network between them is in their sending
path (`distances.py`). Then `start`, `kill`, `leave`, `stand` (still, for `for` seconds) with
`names`, `tell` for what a core makes of it, `net` for delays, losses and cuts, `ask` for what each
one cost, `end`. Events that a checker wants, each share and each life with its time, go to the file
that `begin` names.
"""

import asyncio
import json
import os
import resource
import signal
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from functools import partial
from random import Random
from typing import Any, Protocol, TextIO

import uvloop

from ..fleet import (
    MILLICALLS_PER_CALL,
    FleetMember,
    GossipSettings,
    MemberState,
    MemberUpdate,
    QuotaSettings,
)
from .distances import Distances, Place, make_place

# s; a server ticks each 0.05, a control machine by itself
TICKS = {"fleet": 0.05, "follower": 0.25, "control": 3600.0}
LOOK = 0.1  # s between looks at how late the loop is
LIVES_MOST = 3600  # s after which a host ends, whatever it was told
KEPT_MOST = 200  # datagrams that wait for one that stands still, as a socket's buffer would hold
PATIENCE = 6.0  # s for which the calls of one that stands still stay in hand below
SECOND = 1_000_000_000
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


class Core(Protocol):
    """What a hollow server runs. `out`: address and datagram, an address as text or as host and
    port.
    """

    out: deque[Any]

    def tick(self, now: int) -> None: ...
    def hear(self, now: int, data: bytes, source: tuple[str, int]) -> None: ...
    def leave(self, now: int) -> None: ...
    def woke(self, now: int) -> None:
        """It stood still, and hears what waited for it next."""

    def close(self) -> None:
        """It is over, without a word."""

    def told(self, message: dict[str, Any]) -> None: ...
    def facts(self, now: int) -> dict[str, Any]:
        """Of this second, added up over a host: numbers by name."""

    def events(self, now: int) -> Iterable[list[Any]]:
        """What a checker is to know since it was last asked."""


class Member:
    """One of a fleet that shares out calls, with a demand that it would use up."""

    def __init__(
        self, own: Place, address: str, life: int, told: dict[str, Any], chance: Random, now: int
    ) -> None:
        word = MemberUpdate(own.name, address, life, 0, MemberState.ALIVE)
        self.fleet = FleetMember(
            word,
            tuple(told["seeds"]),
            (bytes.fromhex(told["key"]),),
            QuotaSettings(**told["terms"]),
            GossipSettings(**told.get("habits", {})),
            chance,
            now,
        )
        self.out, self.demand, self.share = (
            self.fleet.outbox,
            int(told.get("demand", 8.0) * MILLICALLS_PER_CALL),
            -1,
        )
        self.seen: list[list[Any]] = []

    def tick(self, now: int) -> None:
        fleet = self.fleet
        fleet.set_usage(self.demand, min(self.demand, fleet.share))
        fleet.tick(now)
        self.after(now)

    def hear(self, now: int, data: bytes, source: tuple[str, int]) -> None:
        self.fleet.receive(now, data)
        self.after(now)

    def after(self, now: int) -> None:
        fleet = self.fleet
        fleet.transitions = []
        share = fleet.share if fleet.is_current(now) else 0  # as the server asks before each call
        if share != self.share:
            self.share = share
            self.seen.append([now, "share", self.share])

    def leave(self, now: int) -> None:
        self.fleet.leave(now)

    def woke(self, now: int) -> None:
        self.share = -1  # told anew, since its calls may have been counted as over

    def close(self) -> None:
        pass

    def told(self, message: dict[str, Any]) -> None:
        """`demand`: calls that it would have in hand."""
        self.demand = int(
            float(message.get("demand", self.demand / MILLICALLS_PER_CALL)) * MILLICALLS_PER_CALL
        )

    def facts(self, now: int) -> dict[str, Any]:
        fleet = self.fleet
        return {
            "share": fleet.share,
            f"holder {fleet.lease_holder.state.label}": 1,
            "there": len(fleet.view.present_members()),
            "deals": int(fleet.allocator.phase > 0),
            "dropped": fleet.counters.dropped,
            "unreadable": fleet.counters.unreadable,
            f"view {fleet.view.digest}": 1,
        }

    def events(self, now: int) -> Iterable[list[Any]]:
        seen, self.seen = self.seen, []
        return seen


Made = Callable[[Place, str, int, dict[str, Any], Random, int], Core]


def made_by(kind: str) -> Made:
    """By the name of what `begin` has them do; what is not wanted is not imported."""
    if kind == "fleet":
        return Member
    from .hollow_configuration import Controlling, Following

    made: dict[str, Made] = {"follower": Following, "control": Controlling}
    return made[kind]


class Mouth(asyncio.DatagramProtocol):
    """The socket of one core of one server."""

    def __init__(self, host: "Host", own: Place, kind: str) -> None:
        self.host, self.own, self.kind = host, own, kind
        self.address, self.lives = "", 0
        self.core: Core | None = None
        self.stands_until = 0.0
        self.stuck: list[tuple[bytes, tuple[str, int]]] = []
        self.out_bytes = self.in_bytes = self.outs = self.ins = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.address = "%s:%d" % transport.get_extra_info("sockname")

    def error_received(self, error: Exception) -> None:
        pass  # whoever is not there will be found silent

    def datagram_received(self, data: bytes, source: Any) -> None:
        if self.core is None:
            return
        sender = self.host.outside.get(source)
        if sender is None:
            self.arrives(data, source)
            return
        # One outside of the hosts does not delay nor lose what it sends: that is done here.
        after = self.host.net.delay_s(sender, self.own)
        if after is not None:
            self.host.loop.call_later(after, self.arrives, data, source)

    def arrives(self, data: bytes, source: Any) -> None:
        if self.core is None:
            return
        self.ins += 1
        self.in_bytes += len(data)
        if self.stands_until:
            if len(self.stuck) < KEPT_MOST:
                self.stuck.append((data, source))
            return
        self.hears(data, source)

    def hears(self, data: bytes, source: tuple[str, int]) -> None:
        if self.core is not None:
            self.core.hear(self.host.now(), data, source)
            self.flush()

    def begin(self, life: int) -> None:
        self.lives += 1
        host = self.host
        self.stuck, self.stands_until = [], 0.0
        self.core = made_by(self.kind)(
            self.own, self.address, life, host.told[self.kind], host.chance, host.now()
        )
        gate = getattr(self.core, "gate", None)
        if gate is not None:  # it sends when it likes
            gate.flushes = self.flush
        host.note(self, "began", life)
        host.loop.call_later(TICKS[self.kind] * host.chance.random(), self.ticks, self.core)

    def ticks(self, core: Core) -> None:
        if self.core is not core:
            return
        self.host.loop.call_later(TICKS[self.kind], self.ticks, core)
        if (
            not self.stands_until
        ):  # one that stands still is not ticked; what its tasks do meanwhile waits in `out`
            core.tick(self.host.now())
            self.flush()

    def flush(self) -> None:
        if self.core is None or self.stands_until:
            return
        out, host = self.core.out, self.host
        while out:
            address, data = out.popleft()
            known = host.places.get(address)
            self.outs += 1
            self.out_bytes += len(data)
            if known is None:
                continue  # nobody is there, as at a machine that is gone
            target, there = known
            after = host.net.delay_s(self.own, there)
            if after is not None:
                host.loop.call_later(after, self.sends, data, target)

    def sends(self, data: bytes, target: tuple[str, int]) -> None:
        self.transport.sendto(data, target)

    def kill(self) -> None:
        if self.core is not None:
            self.events()
            self.core.close()
            self.core, self.stuck = None, []
            self.host.note(self, "ended", 0)

    def leave(self) -> None:
        if self.core is not None:
            self.core.leave(self.host.now())
            self.flush()
            self.kill()

    def stand(self, seconds: float) -> None:
        if self.core is not None:
            self.stands_until = self.host.loop.time() + seconds
            self.host.note(self, "stands", seconds)
            self.host.loop.call_later(seconds, self.wakes, self.core)

    def wakes(self, core: Core) -> None:
        if self.core is not core or not self.stands_until:
            return
        self.stands_until = 0.0
        self.host.note(self, "wakes", 0)
        core.woke(self.host.now())
        stuck, self.stuck = self.stuck, []
        for data, source in stuck:
            self.hears(data, source)

    def events(self) -> None:
        if self.core is not None:
            for at, what, *told in self.core.events(self.host.now()):
                self.host.record(at, self.own.name, what, *told)


class Host:
    def __init__(self, loop: asyncio.AbstractEventLoop, out: TextIO) -> None:
        self.loop, self.out = loop, out
        self.chance, self.told = Random(0), dict[str, Any]()
        self.net = Distances(self.chance)
        self.mouths: dict[str, list[Mouth]] = {}  # by the server's name, one for each of its cores
        self.places: dict[Any, tuple[tuple[str, int], Place]] = {}  # by both forms of the address
        self.outside: dict[
            tuple[str, int], Place
        ] = {}  # who is in no host, by the address that it sends from
        self.file: TextIO | None = None
        self.ended = asyncio.Event()
        self.lag = 0.0
        self.last: dict[str, int] = {}

    def now(self) -> int:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME)

    def say(self, what: str, **told: Any) -> None:
        try:
            self.out.write(json.dumps({"is": what, **told}) + "\n")
            self.out.flush()
        except BrokenPipeError:
            self.ended.set()  # nobody is there any more

    def record(self, at: int, name: str, what: str, *told: Any) -> None:
        if self.file is not None:
            self.file.write(json.dumps([at, name, what, *told]) + "\n")

    def note(self, mouth: Mouth, what: str, told: Any) -> None:
        self.record(self.now(), mouth.own.name, what, mouth.kind, told)

    def same(self, mouth: Mouth) -> Mouth:
        return mouth

    # Orders.

    async def order(self, message: dict[str, Any]) -> None:
        await ORDERS[message["do"]](self, message)

    async def begin(self, message: dict[str, Any]) -> None:
        """`cores`: what is told to the cores of each kind; `servers`: name, region, zone, rack."""
        self.told = message["cores"]
        self.chance.seed(int(message["seed"]))
        if message.get("record"):
            self.file = open(message["record"], "a", encoding="utf-8")  # noqa: SIM115
        found: dict[str, dict[str, str]] = {}
        for name, region, zone, rack in message["servers"]:
            own = make_place(name, region, zone, rack)
            self.mouths[name] = []
            for kind in self.told:
                mouth = Mouth(self, own, kind)
                await self.loop.create_datagram_endpoint(
                    partial(self.same, mouth), local_addr=("127.0.0.1", 0)
                )
                self.mouths[name].append(mouth)
                found.setdefault(name, {})[kind] = mouth.address
        self.loop.create_task(self.beat())
        self.say("open", pid=os.getpid(), addresses=found)

    async def know(self, message: dict[str, Any]) -> None:
        """`places`: [address, name, region, zone, rack] of all; `outside`: the same, of those in no
        host, by the address that they send from; `seeds` and the like, by the kind of core.
        """
        for address, name, region, zone, rack in message.get("places", ()):
            self.places[address] = self.places[pair(address)] = (
                pair(address),
                make_place(name, region, zone, rack),
            )
        for address, name, region, zone, rack in message.get("outside", ()):
            self.outside[pair(address)] = make_place(name, region, zone, rack)
        for kind, more in message.get("cores", {}).items():
            if kind in self.told:
                self.told[kind].update(more)

    async def start(self, message: dict[str, Any]) -> None:
        """`life`: Unix ms, where it is to be an early one."""
        for mouth in self.named(message):
            if mouth.core is None:
                mouth.begin(int(message.get("life") or time.time_ns() // 1_000_000 + mouth.lives))

    async def kill(self, message: dict[str, Any]) -> None:
        for mouth in self.named(message):
            mouth.kill()

    async def leave(self, message: dict[str, Any]) -> None:
        for mouth in self.named(message):
            mouth.leave()

    async def stand(self, message: dict[str, Any]) -> None:
        for mouth in self.named(message):
            mouth.stand(float(message["for"]))

    async def tell(self, message: dict[str, Any]) -> None:
        for mouth in self.named(message):
            if mouth.core is not None:
                mouth.core.told(message)

    async def network(self, message: dict[str, Any]) -> None:
        self.net.apply_order(message)

    async def ask(self, message: dict[str, Any]) -> None:
        """What each of them cost so far."""
        costs = {}
        for mouth in self.named(message):
            costs[f"{mouth.own.name}/{mouth.kind}"] = [
                mouth.outs,
                mouth.out_bytes,
                mouth.ins,
                mouth.in_bytes,
            ]
        self.say("costs", costs=costs)

    async def end(self, message: dict[str, Any]) -> None:
        self.ended.set()

    def named(self, message: dict[str, Any]) -> list[Mouth]:
        """Those of `names`, all without it; of one `kind` of core only, where it is said."""
        names, kind = message.get("names"), message.get("kind")
        return [
            mouth
            for name in (self.mouths if names is None else names)
            for mouth in self.mouths.get(name, ())
            if kind is None or mouth.kind == kind
        ]

    # Each second.

    async def beat(self) -> None:
        at = self.loop.time() + 1
        self.loop.create_task(self.looks())
        while True:
            await asyncio.sleep(max(0.0, at - self.loop.time()))
            at += 1
            self.report()

    async def looks(self) -> None:
        """How late the loop is with what is due: the host's own starving."""
        while True:
            due = self.loop.time() + LOOK
            await asyncio.sleep(LOOK)
            self.lag = max(self.lag, self.loop.time() - due)

    def report(self) -> None:
        now, facts, up = self.now(), Counter[str](), 0
        totals = Counter[str]()
        for mouths in self.mouths.values():
            for mouth in mouths:
                mouth.events()
                totals.update(
                    out=mouth.outs,
                    out_bytes=mouth.out_bytes,
                    **{"in": mouth.ins, "in_bytes": mouth.in_bytes},
                )
                if mouth.core is not None:
                    up += 1
                    facts.update(mouth.core.facts(now))
        used = resource.getrusage(resource.RUSAGE_SELF)
        lag, self.lag = self.lag, 0.0
        if self.file is not None:
            self.file.flush()
        self.say(
            "second",
            at=now,
            cpu_ms=round((used.ru_utime + used.ru_stime) * 1000, 1),
            rss_kb=resident(),
            lag_ms=round(lag * 1000, 1),
            up=up,
            lost=self.net.lost,
            parted=self.net.cut_off,
            facts=facts,
            **totals,
        )


def resident() -> int:
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_KB


def pair(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


ORDERS = {
    "begin": Host.begin,
    "places": Host.know,
    "start": Host.start,
    "kill": Host.kill,
    "leave": Host.leave,
    "stand": Host.stand,
    "tell": Host.tell,
    "net": Host.network,
    "ask": Host.ask,
    "end": Host.end,
}


async def main() -> None:
    loop = asyncio.get_running_loop()
    host = Host(loop, sys.stdout)
    orders: asyncio.Queue[str] = asyncio.Queue()

    def read() -> None:
        # In a thread: a pipe that is read by lines of any length.
        with suppress(RuntimeError):  # the loop may be over before the input is
            for line in sys.stdin:
                loop.call_soon_threadsafe(orders.put_nowait, line)
            loop.call_soon_threadsafe(host.ended.set)

    threading.Thread(target=read, daemon=True).start()

    async def obey() -> None:
        while True:
            try:
                await host.order(json.loads(await orders.get()))
            except Exception as error:  # whoever gave it is told, and the rest goes on
                host.say("fault", detail=repr(error))

    obeying = asyncio.create_task(obey())
    await host.ended.wait()
    obeying.cancel()
    if host.file is not None:
        host.report()
        host.file.close()
        host.file = None


def run() -> None:
    signal.alarm(LIVES_MOST)  # ends it by itself, also where nobody is left to say so
    uvloop.run(main())
    sys.stdout.flush()
    os._exit(0)  # the reading thread may be in the middle of a line


if __name__ == "__main__":
    run()
