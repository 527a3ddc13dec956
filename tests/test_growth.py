"""The real server on sockets, in this process: whatever it keeps returns once ten times as many as
ever at once have gone.
"""

import asyncio
import copy
import secrets
import time
from pathlib import Path

from rig import GIVEN, wait_until, within_timeout

from burlloom.downstream import ConnectionPool
from burlloom.fakes.parts import Balancer, Catalogue, Executor, NameService, Reply, fields
from burlloom.server.__main__ import bind_listener
from burlloom.server.clock import Clock
from burlloom.server.configuration import ServerConfig, parse_address
from burlloom.server.server import Server
from burlloom.settings import parse_server_settings
from burlloom.sockets import NS_PER_MS, NS_PER_SECOND

AT_ONCE, ROUNDS = 20, 10
# 25 times the usual are waited for: a late reply, on a machine that is late itself, is none that
# failed
CALL_S = 0.2
LIFE, WINDOW = (
    60 * NS_PER_SECOND,
    30 * NS_PER_SECOND,
)  # no answer comes as late, on however busy a machine


class Ahead(Clock):
    """Goes as any other, and on order ahead at once: what lives for a time is over, without waiting
    for that.
    """

    def __init__(self) -> None:
        super().__init__()
        self.by = 0

    def __call__(self) -> int:
        self.last_ns = max(self.last_ns, time.time_ns() + self.by)
        return self.last_ns


def sizes(server: Server) -> dict[str, int]:
    desk = server.requests.dispatcher
    assert desk is not None
    return {
        "seats": len(desk.slots),
        "refs": len(desk.refs_by_id),
        "callers": len(desk.callers),
        "wakes": len(desk.timers),
        "outbox": len(desk.outbox),
        "copies": len(desk.duplicate_answers),
        "marks": len(desk.idempotency_table.records),
        "wheel": sum(map(len, desk.idempotency_table.timer_wheel.slots.values())),
        "bytes": desk.idempotency_table.result_bytes,
        "cases": desk.controller.sizes().requests,
        "lingering": desk.controller.sizes().lingering_calls,
        "serving": len(server.requests.open_requests),
        "tasks": len(server.tasks.running),
        "connections": len(server.listener.connections),
        "spare": len(server.listener.evictable_connections),
        "doubtful": len(server.executor.unconfirmed_commands),
        "metered": len(server.executor.pending_polls),
        "kept": len(server.downstream.idle_connections)
        if isinstance(server.downstream, ConnectionPool)
        else 0,
    }


def test_what_the_server_keeps_returns(tmp_path: Path) -> None:
    async def reply(id: str) -> Reply:
        await asyncio.sleep(CALL_S)
        return 200, False, b"fetched"

    async def play() -> None:
        executor, naming, catalogue = Executor(), NameService(), Catalogue(reply)
        for part in (executor, naming, catalogue):
            await part.start()
        told = copy.deepcopy(GIVEN)
        settings = told["settings"]
        settings["extra"].update(n_cores=64, memory_kb=200000, idle=100000, calls_out=128)
        for product in settings["categories"]:
            product.update(deadline=LIFE // 1000, aim=LIFE // 2000)
            if "window" in product:
                product["window"] = WINDOW // 1000
        known, meters = parse_server_settings(settings)
        config = ServerConfig(
            name="n1",
            listen_address=("127.0.0.1", 0),
            executor_address=parse_address(executor.address),
            discovery_address=parse_address(naming.address),
            downstream_address=parse_address(catalogue.address),
            seed=7,
            stop_ns=3_000_000_000,
            settings=known,
            max_sockets=512,
            memory_bytes=64 << 20,
            class_names=tuple(one["name"] for one in settings["categories"]),
            tenant_portions={one["name"]: 1.0 for one in settings["tenants"]},
            gauge_names=meters,
        )
        listener = bind_listener(config)
        server, clock = Server(config, listener), Ahead()
        server.clock = server.listener.clock = server.requests.clock = clock
        running = asyncio.create_task(server.run())

        async def work() -> None:
            while True:
                name, id, *_ = await executor.commands.get()
                executor.callout(id) if name == "EXEC" else executor.exit(
                    id, result=b"made " + id.encode()
                )

        working = asyncio.create_task(work())
        await wait_until(
            lambda: server.requests.dispatcher is not None and server.executor.is_joined
        )

        async def a_round(first: int) -> dict[str, int]:
            """So many callers at once, each on a connection of its own, each with a name never
            heard before.
            """
            balancers, answers = [], []
            for at in range(AT_ONCE):
                # Each asks as soon as it is there: one that says nothing for long is closed.
                balancers.append(balancer := await Balancer("%s:%d" % server.address).open())
                told = {"from": str(first + at), "at": str(clock() // NS_PER_MS)}
                answers += [
                    balancer.ask("look", fields(**told)),
                    balancer.ask("pay", fields(**told, once=secrets.token_hex(16)), b"b"),
                ]
            for answer in answers:
                error, _ = await within_timeout(answer)
                assert error is None, error
            most = sizes(server)
            for balancer in balancers:
                balancer.close()
            return most

        async def over() -> None:
            """A mark lives through its window and the longest life of a txn after it; a caller, ten
            seconds.
            """
            clock.by += WINDOW + 2 * LIFE
            await wait_until(rested)

        def rested() -> bool:
            now = sizes(server)
            return all(
                now[name] == 0
                for name in (
                    "seats",
                    "refs",
                    "callers",
                    "outbox",
                    "copies",
                    "marks",
                    "wheel",
                    "bytes",
                    "cases",
                    "lingering",
                    "serving",
                    "connections",
                    "doubtful",
                    "metered",
                )
            )

        first = await a_round(1)
        await over()
        at_rest = sizes(server)
        later = first
        for turn in range(1, ROUNDS):
            later = {
                name: max(size, later[name])
                for name, size in (await a_round(1 + turn * AT_ONCE)).items()
            }
        # A mark lives through its window and the longest life of a txn after it: all of this play's
        # may stand at once.
        assert later["callers"] <= ROUNDS * AT_ONCE and later["connections"] <= 2 * AT_ONCE, (
            first,
            later,
        )
        await over()
        again = sizes(server)
        assert {
            name: size for name, size in again.items() if size > at_rest[name] and name != "kept"
        } == {}, (at_rest, again)
        server.begin_shutdown()
        await within_timeout(running)
        working.cancel()
        await catalogue.stop()

    asyncio.run(play())
