"""Checks that the server's memory does not grow with the number of requests served.

The real server runs in this process, on sockets. After ten rounds of clients every collection must
be as small as after the first round.
"""

import asyncio
import copy
import secrets
import time
from pathlib import Path

from rig import EXAMPLE_CONFIGURATION, wait_until, within_timeout

from burlloom.downstream import ConnectionPool
from burlloom.fakes.parts import Balancer, Catalogue, Executor, NameService, Reply, fields
from burlloom.server.__main__ import bind_listener
from burlloom.server.clock import Clock
from burlloom.server.configuration import ServerConfig, parse_address
from burlloom.server.server import Server
from burlloom.settings import parse_server_settings
from burlloom.time_units import NS_PER_MS, NS_PER_SECOND

CLIENTS_PER_ROUND, ROUNDS = 20, 10
# A call is awaited for 25 times its expected duration, so that a reply that is late on a busy machine
# does not count as a failed call.
CALL_DURATION_S = 0.2
# Longer than any answer takes, even on a busy machine.
DEADLINE_NS, WINDOW_NS = (
    60 * NS_PER_SECOND,
    30 * NS_PER_SECOND,
)


class AdjustableClock(Clock):
    """A clock that the test can set ahead, so that entries expire without waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.offset_ns = 0

    def __call__(self) -> int:
        self.last_ns = max(self.last_ns, time.time_ns() + self.offset_ns)
        return self.last_ns


def sizes(server: Server) -> dict[str, int]:
    """Returns the number of objects, or of bytes, in each collection of the server."""
    dispatcher = server.requests.dispatcher
    assert dispatcher is not None
    return {
        "slots": len(dispatcher.slots),
        "refs": len(dispatcher.refs_by_id),
        "callers": len(dispatcher.callers),
        "timers": len(dispatcher.timers),
        "outbox": len(dispatcher.outbox),
        "answers_to_repeats": len(dispatcher.answers_to_repeats),
        "key_records": len(dispatcher.idempotency_table.records),
        "timer_wheel": sum(map(len, dispatcher.idempotency_table.timer_wheel.slots.values())),
        "result_bytes": dispatcher.idempotency_table.result_bytes,
        "tracked_requests": dispatcher.controller.sizes().requests,
        "lingering_calls": dispatcher.controller.sizes().lingering_calls,
        "open_requests": len(server.requests.open_requests),
        "running_tasks": len(server.tasks.running),
        "connections": len(server.listener.connections),
        "evictable_connections": len(server.listener.evictable_connections),
        "unconfirmed_commands": len(server.executor.unconfirmed),
        "pending_polls": len(server.executor.polls.pending),
        "idle_connections": len(server.downstream.idle_connections)
        if isinstance(server.downstream, ConnectionPool)
        else 0,
    }


def test_collections_shrink_back_after_many_clients(tmp_path: Path) -> None:
    async def reply(id: str) -> Reply:
        await asyncio.sleep(CALL_DURATION_S)
        return 200, False, b"fetched"

    async def scenario() -> None:
        executor, name_service, downstream = Executor(), NameService(), Catalogue(reply)
        for peer in (executor, name_service, downstream):
            await peer.start()
        given = copy.deepcopy(EXAMPLE_CONFIGURATION)
        settings = given["settings"]
        settings["extra"].update(n_cores=64, memory_kb=200000, idle=100000, calls_out=128)
        for category in settings["categories"]:
            category.update(deadline=DEADLINE_NS // 1000, aim=DEADLINE_NS // 2000)
            if "window" in category:
                category["window"] = WINDOW_NS // 1000
        server_settings, gauge_names = parse_server_settings(settings)
        config = ServerConfig(
            name="n1",
            listen_address=("127.0.0.1", 0),
            executor_address=parse_address(executor.address),
            discovery_address=parse_address(name_service.address),
            downstream_address=parse_address(downstream.address),
            seed=7,
            stop_ns=3_000_000_000,
            settings=server_settings,
            max_sockets=512,
            memory_bytes=64 << 20,
            class_names=tuple(category["name"] for category in settings["categories"]),
            tenant_portions={tenant["name"]: 1.0 for tenant in settings["tenants"]},
            gauge_names=gauge_names,
        )
        listener = bind_listener(config)
        server, clock = Server(config, listener), AdjustableClock()
        server.clock = server.listener.clock = server.requests.clock = clock
        running = asyncio.create_task(server.run())

        async def execute_commands() -> None:
            while True:
                name, id, *_ = await executor.commands.get()
                executor.callout(id) if name == "EXEC" else executor.exit(
                    id, result=b"made " + id.encode()
                )

        executing = asyncio.create_task(execute_commands())
        await wait_until(
            lambda: server.requests.dispatcher is not None and server.executor.is_joined
        )

        async def run_round(first_caller: int) -> dict[str, int]:
            """Sends requests of new callers, each on its own connection; returns the sizes then."""
            balancers, answers = [], []
            for index in range(CLIENTS_PER_ROUND):
                # Each sends as soon as it is connected: a silent connection is closed.
                balancers.append(balancer := await Balancer("%s:%d" % server.address).open())
                params = {"from": str(first_caller + index), "at": str(clock() // NS_PER_MS)}
                answers += [
                    balancer.ask("look", fields(**params)),
                    balancer.ask("pay", fields(**params, once=secrets.token_hex(16)), b"b"),
                ]
            for answer in answers:
                error, _ = await within_timeout(answer)
                assert error is None, error
            round_sizes = sizes(server)
            for balancer in balancers:
                balancer.close()
            return round_sizes

        async def wait_until_expired() -> None:
            """Sets the clock past the expiry of all keys: their window and the longest deadline."""
            clock.offset_ns += WINDOW_NS + 2 * DEADLINE_NS
            await wait_until(is_empty)

        def is_empty() -> bool:
            now = sizes(server)
            return all(
                now[name] == 0
                for name in (
                    "slots",
                    "refs",
                    "callers",
                    "outbox",
                    "answers_to_repeats",
                    "key_records",
                    "timer_wheel",
                    "result_bytes",
                    "tracked_requests",
                    "lingering_calls",
                    "open_requests",
                    "connections",
                    "unconfirmed_commands",
                    "pending_polls",
                )
            )

        first_sizes = await run_round(1)
        await wait_until_expired()
        idle_sizes = sizes(server)
        max_sizes = first_sizes
        for round_number in range(1, ROUNDS):
            max_sizes = {
                name: max(size, max_sizes[name])
                for name, size in (await run_round(1 + round_number * CLIENTS_PER_ROUND)).items()
            }
        # A key is kept for its window and the longest deadline after it, so the keys of all rounds may
        # be held at once.
        assert (
            max_sizes["callers"] <= ROUNDS * CLIENTS_PER_ROUND
            and max_sizes["connections"] <= 2 * CLIENTS_PER_ROUND
        ), (
            first_sizes,
            max_sizes,
        )
        await wait_until_expired()
        final_sizes = sizes(server)
        assert {
            name: size
            for name, size in final_sizes.items()
            if size > idle_sizes[name] and name != "idle_connections"
        } == {}, (idle_sizes, final_sizes)
        server.begin_shutdown()
        await within_timeout(running)
        executing.cancel()
        await downstream.stop()

    asyncio.run(scenario())
