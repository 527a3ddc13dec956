"""Several server processes, connected by one relay, with shared downstream services.

Each server has an executor that makes one downstream call per request, and a balancer that keeps a
number of requests open.
"""

import asyncio
import json
import re
import signal
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rig import Rig, wait_until

from burlloom.fakes.parts import Catalogue, Reply, fields
from burlloom.fakes.relay import Relay

SHORT_INTERVALS = {
    "round_ms": 40,
    "lease_ms": 500,
    "turn_ms": 400,
    "cut_ms": 1500,
    "redeal_ms": 3000,
    "probe_ms": 100,
    "ack_ms": 40,
    "suspicion_ms": 500,
}
KEY = "6b" * 32


class Server(Rig):
    """A server of the fleet.

    `max_open_requests` is the number of requests that its balancer keeps open.
    """

    def __init__(self, fleet: "Fleet", name: str, **changes: Any) -> None:
        folder = fleet.folder / name
        folder.mkdir(exist_ok=True)
        self.fleet, self.max_open_requests, self.answers, self.tasks = (
            fleet,
            0,
            0,
            list[asyncio.Task[None]](),
        )
        self.settled_requests = 0
        super().__init__(
            folder,
            name=name,
            downstream=fleet.services[0],
            n_cores=32,
            memory_kb=400000,
            calls_out=fleet.standalone_calls,
            aim=2000000,
            deadline=5000000,
            stop_ms=2000,
            **changes,
        )

    async def start(self) -> "Server":
        if self.fleet.is_enabled:
            relay_address = self.fleet.relay_addresses.get(
                self.name
            ) or await self.fleet.relay.open_endpoint(self.name)
            self.fleet.relay_addresses[self.name] = relay_address
            self.operator = {
                "fleet": {
                    "listen": "127.0.0.1:0",
                    "advertise": relay_address,
                    "key_file": str(self.fleet.key_path),
                    "least": self.fleet.min_members,
                    "seeds": [
                        address
                        for name, address in self.fleet.relay_addresses.items()
                        if name != self.name
                    ][:4],
                    "calls": self.fleet.total_calls,
                    "state_file": str(self.folder / "state"),
                    **SHORT_INTERVALS,
                    **self.fleet.config_overrides,
                },
                **self.fleet.extra_config(self.folder),
            }
        await self.__aenter__()
        self.tasks.append(asyncio.create_task(self.serve_executor_commands()))
        return self

    async def begin(self) -> None:
        opened_count = self.log().count("event=membership_opened") if self.log_path.exists() else 0
        await super().begin()
        if self.fleet.is_enabled:
            await wait_until(lambda: self.log().count("event=membership_opened") > opened_count)
            self.fleet.relay.set_member_address(
                self.name, re.findall(r"event=membership_opened .* address=(\S+)", self.log())[-1]
            )
        self.tasks.append(asyncio.create_task(self.generate_load()))

    async def serve_executor_commands(self) -> None:
        while True:
            name, id, *_ = await self.executor.commands.get()
            if name == "EXEC":
                self.executor.callout(id)
            else:
                self.executor.exit(id, result=b"made")

    async def generate_load(self) -> None:
        # The server closes a connection without requests after 1.5 s, and other servers may need
        # that long to start. So the balancer connects only when there are requests to send.
        while not self.max_open_requests:
            await asyncio.sleep(0.005)
        balancer = await self.balancer()
        open_requests = 0

        async def send_request() -> None:
            nonlocal open_requests
            try:
                request_fields = fields()
                self.fleet.server_by_request_id[request_fields["id"]] = self.name
                error, _ = await balancer.ask("look", request_fields)
                self.settled_requests += error is None
                if error is not None:
                    await asyncio.sleep(0.02)
            except asyncio.CancelledError:
                pass
            finally:
                open_requests -= 1

        while not balancer.ended.is_set():
            while open_requests < self.max_open_requests:
                open_requests += 1
                asyncio.create_task(send_request())
            await asyncio.sleep(0.005)

    def send_signal(self, signal_number: signal.Signals) -> None:
        self.process.send_signal(signal_number)

    async def drain_and_stop(self) -> None:
        """Drains the server and checks that it exits with status 0."""
        await self.__aexit__(None)
        self.fleet.servers.remove(self)

    def read_state(self) -> dict[str, Any]:
        try:
            state: dict[str, Any] = json.loads((self.folder / "state").read_text())
            return state
        except (OSError, ValueError):
            return {}


class Fleet:
    """Servers, relay and downstream services of one test.

    `total_calls` is the number of calls that the services handle together, `standalone_calls` the
    limit that each server uses without a fleet, `extra_config` returns further sections of the
    operator's file for a server's folder.
    """

    def __init__(
        self,
        folder: Path,
        total_calls: float,
        standalone_calls: float,
        min_members: int,
        services: int = 1,
        is_enabled: bool = True,
        call_duration_s: float = 0.1,
        extra_config: Callable[[Path], dict[str, Any]] = lambda folder: {},
        **config_overrides: Any,
    ) -> None:
        (
            self.folder,
            self.total_calls,
            self.standalone_calls,
            self.min_members,
            self.is_enabled,
            self.config_overrides,
        ) = (
            folder,
            total_calls,
            standalone_calls,
            min_members,
            is_enabled,
            config_overrides,
        )
        self.call_duration_s, self.extra_config = (
            call_duration_s,
            extra_config,
        )
        self.services = [Catalogue(self.reply) for _ in range(services)]
        self.relay, self.relay_addresses, self.servers = Relay(), dict[str, str](), list[Server]()
        self.key_path = folder / "key"
        self.key_path.write_text(KEY + "\n")
        self.max_open_calls, self.open_calls_sum, self.sample_count = 0, 0, 0
        self.server_by_request_id, self.open_calls_by_server = dict[str, str](), Counter[str]()
        self.fractional_share_servers: set[str] = set()  # share below one call

    async def reply(self, id: str) -> Reply:
        name = self.server_by_request_id.pop(id, "?")
        self.open_calls_by_server[name] += 1
        try:
            await asyncio.sleep(self.call_duration_s)
        finally:
            self.open_calls_by_server[name] -= 1
        return 200, False, b"fetched"

    async def __aenter__(self) -> "Fleet":
        for service in self.services:
            await service.start()
        self.sampling_task = asyncio.create_task(self.sample_open_calls())
        return self

    async def sample_open_calls(self) -> None:
        while True:
            open_calls = sum(service.open_calls for service in self.services)
            self.open_calls_sum, self.sample_count = (
                self.open_calls_sum + open_calls,
                self.sample_count + 1,
            )
            single_call_servers = sum(
                self.open_calls_by_server[name] == 1 for name in self.fractional_share_servers
            )
            self.max_open_calls = max(self.max_open_calls, open_calls - single_call_servers)
            await asyncio.sleep(0.005)

    def reset_samples(self) -> None:
        """Starts a new series of samples of the open calls.

        `max_open_calls` leaves out a single open call of a server in `fractional_share_servers`;
        a second call of that server counts. A share below one call is a share of time: the server
        has one whole call open for part of the time, so the sum of the shares does not limit the
        calls at a single moment. `mean_open_calls` includes all calls.
        """
        self.max_open_calls = self.open_calls_sum = self.sample_count = 0

    @property
    def mean_open_calls(self) -> float:
        return self.open_calls_sum / max(1, self.sample_count)

    async def add_servers(self, count: int, max_open_requests: int = 30) -> list[Server]:
        added_servers = [
            Server(
                self,
                f"n{len(self.relay_addresses) + index}"
                if self.is_enabled
                else f"n{len(self.servers) + index}",
            )
            for index in range(count)
        ]
        if self.is_enabled:
            for server in added_servers:
                self.relay_addresses[server.name] = await self.relay.open_endpoint(server.name)
        await asyncio.gather(*(server.start() for server in added_servers))
        self.servers += added_servers
        for server in added_servers:
            server.max_open_requests = max_open_requests
        return added_servers

    async def __aexit__(self, kind: Any, *rest: Any) -> None:
        self.sampling_task.cancel()
        for server in list(self.servers):
            for task in server.tasks:
                task.cancel()
        await asyncio.gather(*(server.__aexit__(kind) for server in self.servers))
        self.relay.close()
        for service in self.services:
            await service.stop()

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Repeats series of samples of 0.5 s until `condition` holds for one.

        Raises:
            AssertionError: The condition did not hold within 40 series.
        """
        for _ in range(40):
            self.reset_samples()
            await asyncio.sleep(0.5)
            if condition():
                return
        raise AssertionError(
            (
                self.max_open_calls,
                self.mean_open_calls,
                [
                    (
                        server.name,
                        server.read_state().get("share"),
                        server.read_state().get("state"),
                    )
                    for server in self.servers
                ],
            )
        )

    def shares(self) -> dict[str, float]:
        return {server.name: server.read_state().get("share", -1.0) for server in self.servers}
