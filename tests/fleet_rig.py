"""Several processes of the program with one relay between them, and services below that they share.

Each has an executor that makes one call for every txn, and a balancer that keeps so many txns open.
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

QUICK = {
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
    """One of the fleet. `open_most`: txns that its balancer keeps open."""

    def __init__(self, fleet: "Fleet", name: str, **changes: Any) -> None:
        folder = fleet.folder / name
        folder.mkdir(exist_ok=True)
        self.fleet, self.open_most, self.answers, self.tasks = (
            fleet,
            0,
            0,
            list[asyncio.Task[None]](),
        )
        self.settled = 0
        super().__init__(
            folder,
            name=name,
            downstream=fleet.services[0],
            n_cores=32,
            memory_kb=400000,
            calls_out=fleet.alone,
            aim=2000000,
            deadline=5000000,
            stop_ms=2000,
            **changes,
        )

    async def start(self) -> "Server":
        if self.fleet.on:
            door = self.fleet.doors.get(self.name) or await self.fleet.relay.door(self.name)
            self.fleet.doors[self.name] = door
            self.operator = {
                "fleet": {
                    "listen": "127.0.0.1:0",
                    "advertise": door,
                    "key_file": str(self.fleet.key),
                    "least": self.fleet.least,
                    "seeds": [one for name, one in self.fleet.doors.items() if name != self.name][
                        :4
                    ],
                    "calls": self.fleet.calls,
                    "state_file": str(self.folder / "state"),
                    **QUICK,
                    **self.fleet.part,
                },
                **self.fleet.more(self.folder),
            }
        await self.__aenter__()
        self.tasks.append(asyncio.create_task(self.work()))
        return self

    async def begin(self) -> None:
        lives = self.log().count("event=membership_opened") if self.log_path.exists() else 0
        await super().begin()
        if self.fleet.on:
            await wait_until(lambda: self.log().count("event=membership_opened") > lives)
            self.fleet.relay.sent_from(
                self.name, re.findall(r"event=membership_opened .* address=(\S+)", self.log())[-1]
            )
        self.tasks.append(asyncio.create_task(self.load()))

    async def work(self) -> None:
        while True:
            name, id, *_ = await self.executor.commands.get()
            if name == "EXEC":
                self.executor.callout(id)
            else:
                self.executor.exit(id, result=b"made")

    async def load(self) -> None:
        # One that connects and says nothing is closed after 1.5 s, which others may need to come
        # up.
        while not self.open_most:
            await asyncio.sleep(0.005)
        balancer = await self.balancer()
        opened = 0

        async def one() -> None:
            nonlocal opened
            try:
                told = fields()
                self.fleet.askers[told["id"]] = self.name
                error, _ = await balancer.ask("look", told)
                self.settled += error is None
                if error is not None:
                    await asyncio.sleep(0.02)
            except asyncio.CancelledError:
                pass
            finally:
                opened -= 1

        while not balancer.ended.is_set():
            while opened < self.open_most:
                opened += 1
                asyncio.create_task(one())
            await asyncio.sleep(0.005)

    def signal(self, what: signal.Signals) -> None:
        self.process.send_signal(what)

    async def leaves(self) -> None:
        """Drained, with status 0."""
        await self.__aexit__(None)
        self.fleet.servers.remove(self)

    def state(self) -> dict[str, Any]:
        try:
            got: dict[str, Any] = json.loads((self.folder / "state").read_text())
            return got
        except (OSError, ValueError):
            return {}


class Fleet:
    """`calls`: what the services bear together; `alone`: what each server believes to be its share
    without the others.
    """

    def __init__(
        self,
        folder: Path,
        calls: float,
        alone: float,
        least: int,
        services: int = 1,
        on: bool = True,
        call_s: float = 0.1,
        more: Callable[[Path], dict[str, Any]] = lambda folder: {},
        **part: Any,
    ) -> None:
        self.folder, self.calls, self.alone, self.least, self.on, self.part = (
            folder,
            calls,
            alone,
            least,
            on,
            part,
        )
        self.call_s, self.more = (
            call_s,
            more,
        )  # further parts of the operator's file, for a server's folder
        self.services = [Catalogue(self.reply) for _ in range(services)]
        self.relay, self.doors, self.servers = Relay(), dict[str, str](), list[Server]()
        self.key = folder / "key"
        self.key.write_text(KEY + "\n")
        self.worst, self.area, self.looks = 0, 0, 0
        self.askers, self.calling = dict[str, str](), Counter[str]()
        self.part_time: set[str] = set()  # servers whose share is known to be under one call

    async def reply(self, id: str) -> Reply:
        name = self.askers.pop(id, "?")
        self.calling[name] += 1
        try:
            await asyncio.sleep(self.call_s)
        finally:
            self.calling[name] -= 1
        return 200, False, b"fetched"

    async def __aenter__(self) -> "Fleet":
        for service in self.services:
            await service.start()
        self.watching = asyncio.create_task(self.watch())
        return self

    async def watch(self) -> None:
        while True:
            now = sum(service.open for service in self.services)
            self.area, self.looks = self.area + now, self.looks + 1
            single = sum(self.calling[name] == 1 for name in self.part_time)
            self.worst = max(self.worst, now - single)
            await asyncio.sleep(0.005)

    def again(self) -> None:
        """Begins to look anew. What is bounded at any one moment is the calls of those who hold a
        call or more: a share of under one call is a share of time, its one call is as whole as any
        other's, and a sum of shares says nothing of the moment. So a single call of a `part_time`
        one does not count to `worst`, but all to `mean`; a second one of it does.
        """
        self.worst = self.area = self.looks = 0

    @property
    def mean(self) -> float:
        return self.area / max(1, self.looks)

    async def add(self, count: int, open_most: int = 30) -> list[Server]:
        made = [
            Server(self, f"n{len(self.doors) + at}" if self.on else f"n{len(self.servers) + at}")
            for at in range(count)
        ]
        if self.on:
            for server in made:
                self.doors[server.name] = await self.relay.door(server.name)
        await asyncio.gather(*(server.start() for server in made))
        self.servers += made
        for server in made:
            server.open_most = open_most
        return made

    async def __aexit__(self, kind: Any, *rest: Any) -> None:
        self.watching.cancel()
        for server in list(self.servers):
            for task in server.tasks:
                task.cancel()
        await asyncio.gather(*(server.__aexit__(kind) for server in self.servers))
        self.relay.close()
        for service in self.services:
            await service.stop()

    async def settles(self, test: Callable[[], bool]) -> None:
        """Until it holds of what was seen over a while, however long that takes."""
        for _ in range(40):
            self.again()
            await asyncio.sleep(0.5)
            if test():
                return
        raise AssertionError(
            (
                self.worst,
                self.mean,
                [
                    (one.name, one.state().get("share"), one.state().get("state"))
                    for one in self.servers
                ],
            )
        )

    def shares(self) -> dict[str, float]:
        return {server.name: server.state().get("share", -1.0) for server in self.servers}
