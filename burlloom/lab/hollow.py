"""A host process that runs some hundreds of hollow servers.

A hollow server sends and receives the real messages with the real cores over a loopback socket of
its own, and does not serve requests.

    python -m burlloom.lab.hollow

The process reads one order per line of JSON, writes a report each second, and ends with its input.
Its parent sends `begin`, learns the address of each server from `open`, and sends the addresses of
all servers to all hosts (`places`), because each host models the network where it sends
(`distances.py`). The other orders are `start`, `kill`, `leave` and `stand` (pause for `for`
seconds), which may select servers by `names`; `tell`, which a core interprets; `net` for delays,
losses and cuts; `ask` for the traffic of each server; and `end`. Events for a checker, such as each
share and each incarnation with its time, are written to the file that `begin` names.
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

# Interval between the ticks of a core, in s. A control machine ticks by itself.
TICK_INTERVALS_S = {"fleet": 0.05, "follower": 0.25, "control": 3600.0}
LAG_CHECK_INTERVAL_S = 0.1  # s between measurements of how late the event loop is
MAX_RUN_S = 3600  # s after which a host process ends in any case
# Datagrams queued for a paused server, as in the buffer of a socket; further ones are lost.
MAX_WAITING_DATAGRAMS = 200
ABANDONED_CALL_S = 6.0  # s for which the calls of a paused server stay in progress downstream
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


class Core(Protocol):
    """A part of a server that a hollow server runs.

    Attributes:
        out: Datagrams to send with their addresses; an address is a text or a host and a port.
    """

    out: deque[Any]

    def tick(self, now_ns: int) -> None:
        """Does what is due; called at the interval of `TICK_INTERVALS_S`."""

    def receive(self, now_ns: int, data: bytes, source: tuple[str, int]) -> None:
        """Handles a datagram."""

    def leave(self, now_ns: int) -> None:
        """Announces that the server leaves; the core is closed after that."""

    def resume(self, now_ns: int) -> None:
        """Ends a pause; the datagrams that waited are delivered next."""

    def close(self) -> None:
        """Ends the core without sending anything, as when a process is killed."""

    def apply_order(self, message: dict[str, Any]) -> None:
        """Applies a `tell` order."""

    def facts(self, now_ns: int) -> dict[str, Any]:
        """Returns figures by name for the report of a second; the host adds them up."""

    def take_events(self, now_ns: int) -> Iterable[list[Any]]:
        """Returns and removes the events for the checker since the last call."""


class MemberCore:
    """Member of a fleet that shares a quota of calls, with a demand in calls."""

    def __init__(
        self,
        place: Place,
        address: str,
        incarnation: int,
        settings: dict[str, Any],
        random: Random,
        now_ns: int,
    ) -> None:
        own_update = MemberUpdate(place.name, address, incarnation, 0, MemberState.ALIVE)
        self.fleet = FleetMember(
            own_update,
            tuple(settings["seeds"]),
            (bytes.fromhex(settings["key"]),),
            QuotaSettings(**settings["terms"]),
            GossipSettings(**settings.get("habits", {})),
            random,
            now_ns,
        )
        self.out, self.demand, self.share = (
            self.fleet.outbox,
            int(settings.get("demand", 8.0) * MILLICALLS_PER_CALL),
            -1,
        )
        self.seen: list[list[Any]] = []

    def tick(self, now_ns: int) -> None:
        """Sets the usage of the quota and ticks the member."""
        fleet = self.fleet
        fleet.set_usage(self.demand, min(self.demand, fleet.share))
        fleet.tick(now_ns)
        self.record_share(now_ns)

    def receive(self, now_ns: int, data: bytes, source: tuple[str, int]) -> None:
        """Handles a datagram of another member."""
        self.fleet.receive(now_ns, data)
        self.record_share(now_ns)

    def record_share(self, now_ns: int) -> None:
        """Records the share if it changed."""
        fleet = self.fleet
        fleet.transitions = []
        # A server makes the same check before each call.
        share = fleet.share if fleet.is_current(now_ns) else 0
        if share != self.share:
            self.share = share
            self.seen.append([now_ns, "share", self.share])

    def leave(self, now_ns: int) -> None:
        """Announces that the member leaves."""
        self.fleet.leave(now_ns)

    def resume(self, now_ns: int) -> None:
        """Makes the next share count as a change."""
        self.share = -1  # written again, because the checker may count the calls as ended

    def close(self) -> None:
        """Has nothing to release."""
        pass

    def apply_order(self, message: dict[str, Any]) -> None:
        """Sets `demand`, the number of calls that the server would have in progress."""
        self.demand = int(
            float(message.get("demand", self.demand / MILLICALLS_PER_CALL)) * MILLICALLS_PER_CALL
        )

    def facts(self, now_ns: int) -> dict[str, Any]:
        """Returns the share, the state of the lease, and figures of the view."""
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

    def take_events(self, now_ns: int) -> Iterable[list[Any]]:
        """Returns and removes the recorded shares."""
        seen, self.seen = self.seen, []
        return seen


CoreFactory = Callable[[Place, str, int, dict[str, Any], Random, int], Core]


def core_factory(kind: str) -> CoreFactory:
    """Returns the class of a kind of core; imports the configuration cores only when needed."""
    if kind == "fleet":
        return MemberCore
    from .hollow_configuration import ControlCore, FollowerCore

    factories: dict[str, CoreFactory] = {"follower": FollowerCore, "control": ControlCore}
    return factories[kind]


class ServerSocket(asyncio.DatagramProtocol):
    """The socket of one core of one server, and the core while it runs."""

    def __init__(self, host: "Host", place: Place, kind: str) -> None:
        self.host, self.place, self.kind = host, place, kind
        self.address, self.start_count = "", 0
        self.core: Core | None = None
        self.paused_until = 0.0
        self.waiting: list[tuple[bytes, tuple[str, int]]] = []
        self.sent_bytes = self.received_bytes = self.sent = self.received = 0

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport and its address."""
        self.transport = transport
        self.address = "%s:%d" % transport.get_extra_info("sockname")

    def error_received(self, error: Exception) -> None:
        """Ignores errors of sending."""
        pass  # a peer that does not exist is detected by its silence

    def datagram_received(self, data: bytes, source: Any) -> None:
        """Delivers a datagram, after its delay if the sender is outside the hosts."""
        if self.core is None:
            return
        sender = self.host.outside.get(source)
        if sender is None:
            self.deliver(data, source)
            return
        # A sender outside the hosts does not model the network, so it is modelled here.
        delay_s = self.host.network.delay_s(sender, self.place)
        if delay_s is not None:
            self.host.loop.call_later(delay_s, self.deliver, data, source)

    def deliver(self, data: bytes, source: Any) -> None:
        """Delivers a datagram, or queues it while the server is paused."""
        if self.core is None:
            return
        self.received += 1
        self.received_bytes += len(data)
        if self.paused_until:
            if len(self.waiting) < MAX_WAITING_DATAGRAMS:
                self.waiting.append((data, source))
            return
        self.pass_to_core(data, source)

    def pass_to_core(self, data: bytes, source: tuple[str, int]) -> None:
        """Passes a datagram to the core and sends its answers."""
        if self.core is not None:
            self.core.receive(self.host.now_ns(), data, source)
            self.flush()

    def begin(self, incarnation: int) -> None:
        """Starts a new incarnation of the core."""
        self.start_count += 1
        host = self.host
        self.waiting, self.paused_until = [], 0.0
        self.core = core_factory(self.kind)(
            self.place,
            self.address,
            incarnation,
            host.core_settings[self.kind],
            host.random,
            host.now_ns(),
        )
        endpoint = getattr(self.core, "endpoint", None)
        if endpoint is not None:  # a core that also sends between ticks and datagrams
            endpoint.on_flush = self.flush
        host.record_lifecycle(self, "began", incarnation)
        host.loop.call_later(
            TICK_INTERVALS_S[self.kind] * host.random.random(), self.tick, self.core
        )

    def tick(self, core: Core) -> None:
        """Ticks the core and schedules its next tick."""
        if self.core is not core:
            return
        self.host.loop.call_later(TICK_INTERVALS_S[self.kind], self.tick, core)
        # A paused core is not ticked; what its tasks send meanwhile waits in `out`.
        if not self.paused_until:
            core.tick(self.host.now_ns())
            self.flush()

    def flush(self) -> None:
        """Sends what the core has queued, with the delays and losses of the network."""
        if self.core is None or self.paused_until:
            return
        out, host = self.core.out, self.host
        while out:
            address, data = out.popleft()
            known = host.places.get(address)
            self.sent += 1
            self.sent_bytes += len(data)
            if known is None:
                continue  # lost, as on the way to a machine that is gone
            target, target_place = known
            delay_s = host.network.delay_s(self.place, target_place)
            if delay_s is not None:
                host.loop.call_later(delay_s, self.send, data, target)

    def send(self, data: bytes, target: tuple[str, int]) -> None:
        """Sends a datagram that has been delayed."""
        self.transport.sendto(data, target)

    def kill(self) -> None:
        """Ends the core without notice."""
        if self.core is not None:
            self.take_events()
            self.core.close()
            self.core, self.waiting = None, []
            self.host.record_lifecycle(self, "ended", 0)

    def leave(self) -> None:
        """Lets the server leave and ends the core."""
        if self.core is not None:
            self.core.leave(self.host.now_ns())
            self.flush()
            self.kill()

    def pause(self, seconds: float) -> None:
        """Pauses the server for some seconds."""
        if self.core is not None:
            self.paused_until = self.host.loop.time() + seconds
            self.host.record_lifecycle(self, "stands", seconds)
            self.host.loop.call_later(seconds, self.resume, self.core)

    def resume(self, core: Core) -> None:
        """Ends a pause and delivers the datagrams that waited."""
        if self.core is not core or not self.paused_until:
            return
        self.paused_until = 0.0
        self.host.record_lifecycle(self, "wakes", 0)
        core.resume(self.host.now_ns())
        waiting, self.waiting = self.waiting, []
        for data, source in waiting:
            self.pass_to_core(data, source)

    def take_events(self) -> None:
        """Writes the events of the core to the file of events."""
        if self.core is not None:
            for at, event, *values in self.core.take_events(self.host.now_ns()):
                self.host.record(at, self.place.name, event, *values)


class Host:
    """The sockets of all servers of this process, and the orders that control them."""

    def __init__(self, loop: asyncio.AbstractEventLoop, out: TextIO) -> None:
        self.loop, self.out = loop, out
        self.random, self.core_settings = Random(0), dict[str, Any]()
        self.network = Distances(self.random)
        self.server_sockets: dict[str, list[ServerSocket]] = {}  # by server name, one for each core
        self.places: dict[Any, tuple[tuple[str, int], Place]] = {}  # by both forms of the address
        # Servers that are in no host, by the address that they send from.
        self.outside: dict[tuple[str, int], Place] = {}
        self.file: TextIO | None = None
        self.ended = asyncio.Event()
        self.lag = 0.0
        self.last_reports: dict[str, int] = {}

    def now_ns(self) -> int:
        """Returns the boot time in ns, which is the same in all processes."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME)

    def send_message(self, event: str, **values: Any) -> None:
        """Writes a message to the parent."""
        try:
            self.out.write(json.dumps({"is": event, **values}) + "\n")
            self.out.flush()
        except BrokenPipeError:
            self.ended.set()  # the parent has ended

    def record(self, at: int, name: str, event: str, *values: Any) -> None:
        """Writes an event to the file of events, if there is one."""
        if self.file is not None:
            self.file.write(json.dumps([at, name, event, *values]) + "\n")

    def record_lifecycle(self, server_socket: ServerSocket, event: str, value: Any) -> None:
        """Writes an event of a server's life cycle."""
        self.record(self.now_ns(), server_socket.place.name, event, server_socket.kind, value)

    def same_socket(self, server_socket: ServerSocket) -> ServerSocket:
        """Returns its argument; makes an existing object the protocol of a socket."""
        return server_socket

    async def carry_out(self, message: dict[str, Any]) -> None:
        """Carries out an order."""
        await ORDERS[message["do"]](self, message)

    async def begin(self, message: dict[str, Any]) -> None:
        """Opens the sockets of the servers and reports their addresses.

        Args:
            message: Holds `cores` (settings of each kind of core), `servers` (name, region, zone
                and rack of each), `seed`, and `record`, the path of the file of events.
        """
        self.core_settings = message["cores"]
        self.random.seed(int(message["seed"]))
        if message.get("record"):
            self.file = open(message["record"], "a", encoding="utf-8")  # noqa: SIM115
        addresses: dict[str, dict[str, str]] = {}
        for name, region, zone, rack in message["servers"]:
            place = make_place(name, region, zone, rack)
            self.server_sockets[name] = []
            for kind in self.core_settings:
                server_socket = ServerSocket(self, place, kind)
                await self.loop.create_datagram_endpoint(
                    partial(self.same_socket, server_socket), local_addr=("127.0.0.1", 0)
                )
                self.server_sockets[name].append(server_socket)
                addresses.setdefault(name, {})[kind] = server_socket.address
        self.loop.create_task(self.report_forever())
        self.send_message("open", pid=os.getpid(), addresses=addresses)

    async def add_places(self, message: dict[str, Any]) -> None:
        """Adds locations of servers and settings of cores.

        Args:
            message: May hold `places`, as [address, name, region, zone, rack] for each server;
                `outside`, the same for servers in no host, with the address that they send from;
                and `cores`, with settings such as `seeds` by kind of core.
        """
        for address, name, region, zone, rack in message.get("places", ()):
            self.places[address] = self.places[split_address(address)] = (
                split_address(address),
                make_place(name, region, zone, rack),
            )
        for address, name, region, zone, rack in message.get("outside", ()):
            self.outside[split_address(address)] = make_place(name, region, zone, rack)
        for kind, more in message.get("cores", {}).items():
            if kind in self.core_settings:
                self.core_settings[kind].update(more)

    async def start(self, message: dict[str, Any]) -> None:
        """Starts servers that are down; `life` sets their incarnation, a Unix time in ms."""
        for server_socket in self.select(message):
            if server_socket.core is None:
                server_socket.begin(
                    int(
                        message.get("life")
                        or time.time_ns() // 1_000_000 + server_socket.start_count
                    )
                )

    async def kill(self, message: dict[str, Any]) -> None:
        """Ends servers without notice."""
        for server_socket in self.select(message):
            server_socket.kill()

    async def leave(self, message: dict[str, Any]) -> None:
        """Lets servers leave and end."""
        for server_socket in self.select(message):
            server_socket.leave()

    async def pause(self, message: dict[str, Any]) -> None:
        """Pauses servers for `for` seconds."""
        for server_socket in self.select(message):
            server_socket.pause(float(message["for"]))

    async def tell_cores(self, message: dict[str, Any]) -> None:
        """Passes an order to the cores."""
        for server_socket in self.select(message):
            if server_socket.core is not None:
                server_socket.core.apply_order(message)

    async def set_network(self, message: dict[str, Any]) -> None:
        """Applies a `net` order."""
        self.network.apply_order(message)

    async def report_costs(self, message: dict[str, Any]) -> None:
        """Reports messages and bytes that each server sent and received so far."""
        costs = {}
        for server_socket in self.select(message):
            costs[f"{server_socket.place.name}/{server_socket.kind}"] = [
                server_socket.sent,
                server_socket.sent_bytes,
                server_socket.received,
                server_socket.received_bytes,
            ]
        self.send_message("costs", costs=costs)

    async def end(self, message: dict[str, Any]) -> None:
        """Ends the process."""
        self.ended.set()

    def select(self, message: dict[str, Any]) -> list[ServerSocket]:
        """Returns the sockets that an order selects.

        Without `names` it selects all servers, without `kind` all kinds of cores.
        """
        names, kind = message.get("names"), message.get("kind")
        return [
            server_socket
            for name in (self.server_sockets if names is None else names)
            for server_socket in self.server_sockets.get(name, ())
            if kind is None or server_socket.kind == kind
        ]

    async def report_forever(self) -> None:
        """Reports each second."""
        at = self.loop.time() + 1
        self.loop.create_task(self.measure_lag())
        while True:
            await asyncio.sleep(max(0.0, at - self.loop.time()))
            at += 1
            self.report()

    async def measure_lag(self) -> None:
        """Measures how late the event loop is, which shows that the host lacks processor time."""
        while True:
            due = self.loop.time() + LAG_CHECK_INTERVAL_S
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            self.lag = max(self.lag, self.loop.time() - due)

    def report(self) -> None:
        """Writes the events and the report of a second: cost, memory, lag and figures."""
        now_ns, facts, running = self.now_ns(), Counter[str](), 0
        totals = Counter[str]()
        for server_sockets in self.server_sockets.values():
            for server_socket in server_sockets:
                server_socket.take_events()
                totals.update(
                    out=server_socket.sent,
                    out_bytes=server_socket.sent_bytes,
                    **{"in": server_socket.received, "in_bytes": server_socket.received_bytes},
                )
                if server_socket.core is not None:
                    running += 1
                    facts.update(server_socket.core.facts(now_ns))
        usage = resource.getrusage(resource.RUSAGE_SELF)
        lag, self.lag = self.lag, 0.0
        if self.file is not None:
            self.file.flush()
        self.send_message(
            "second",
            at=now_ns,
            cpu_ms=round((usage.ru_utime + usage.ru_stime) * 1000, 1),
            rss_kb=resident_kb(),
            lag_ms=round(lag * 1000, 1),
            up=running,
            lost=self.network.lost,
            parted=self.network.cut_off,
            facts=facts,
            **totals,
        )


def resident_kb() -> int:
    """Returns the resident memory of this process in KB."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_KB


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


ORDERS = {
    "begin": Host.begin,
    "places": Host.add_places,
    "start": Host.start,
    "kill": Host.kill,
    "leave": Host.leave,
    "stand": Host.pause,
    "tell": Host.tell_cores,
    "net": Host.set_network,
    "ask": Host.report_costs,
    "end": Host.end,
}


async def main() -> None:
    """Carries out orders until `end` or the end of the input."""
    loop = asyncio.get_running_loop()
    host = Host(loop, sys.stdout)
    orders: asyncio.Queue[str] = asyncio.Queue()

    def read() -> None:
        # A thread reads the pipe, because lines may have any length.
        with suppress(RuntimeError):  # the loop may end before the input does
            for line in sys.stdin:
                loop.call_soon_threadsafe(orders.put_nowait, line)
            loop.call_soon_threadsafe(host.ended.set)

    threading.Thread(target=read, daemon=True).start()

    async def carry_out_orders() -> None:
        while True:
            try:
                await host.carry_out(json.loads(await orders.get()))
            except Exception as error:  # reported to the parent; later orders still run
                host.send_message("fault", detail=repr(error))

    order_task = asyncio.create_task(carry_out_orders())
    await host.ended.wait()
    order_task.cancel()
    if host.file is not None:
        host.report()
        host.file.close()
        host.file = None


def run() -> None:
    """Runs the host process and exits."""
    signal.alarm(MAX_RUN_S)  # ends the process even if its parent is gone
    uvloop.run(main())
    sys.stdout.flush()
    os._exit(0)  # without waiting for the reading thread, which may be blocked


if __name__ == "__main__":
    run()
