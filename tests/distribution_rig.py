"""Control machines and servers as processes, with one relay between them, and a checker that reads
what the store's tables say and what each server's log told.

The checker shares no code with the program: what is to be in force is its own model of what was
put, digests are its own, the chain's tags are read from the store's file by sqlite3.
"""

import asyncio
import json
import re
import signal
import sqlite3
import sys
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from typing import Any

import msgpack
import xxhash
from rig import ROOT, Rig, wait_until, within_timeout
from test_command import burlloom

from burlloom.fakes.parts import Catalogue, Reply, fields
from burlloom.fakes.postgres import Postgres
from burlloom.fakes.relay import Relay

KEY, SIGNING = "6b" * 32, "73" * 32
BEAT = 300  # ms
PATIENCE = 40.0
LINE = re.compile(r"event=(distribution_opened|config_synced|config_changes_applied)\b(.*)")


async def patiently(test: Callable[[], bool], what: Callable[[], Any] = lambda: None) -> None:
    """Waits for a state, however long that takes."""
    try:
        async with asyncio.timeout(PATIENCE):
            while not test():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise AssertionError(what()) from None


def told(path: Path) -> dict[str, Any]:
    try:
        got: dict[str, Any] = json.loads(path.read_text())
        return got
    except (OSError, ValueError):
        return {}


class Machine:
    """A control machine; a relay of the program's where the world has no store for it."""

    def __init__(self, world: "World", name: str, region: str, store: bool = True) -> None:
        self.world, self.name, self.region, self.has_store = world, name, region, store
        self.folder = world.folder / name
        self.folder.mkdir()
        self.log_path = self.folder / "log"
        self.process: asyncio.subprocess.Process

    async def start(self) -> "Machine":
        part = self.world.part(self.name, self.region, self.folder)
        if self.has_store:
            part["store"] = self.world.store_told
        (self.folder / "operator.jsonnet").write_text(json.dumps({"distribution": part}))
        lives = self.log().count("event=control_node_started") if self.log_path.exists() else 0
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "burlloom.command",
                "distribution",
                "serve",
                "--name",
                self.name,
                "-o",
                str(self.folder / "operator.jsonnet"),
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        await patiently(
            lambda: (
                self.log().count("event=control_node_started") > lives
                or self.process.returncode is not None
            ),
            self.log,
        )
        assert self.process.returncode is None, self.log()
        address = re.findall(r"event=control_node_started .* address=(\S+)", self.log())[-1]
        self.world.relay.set_member_address(self.name, address)
        return self

    def log(self) -> str:
        return self.log_path.read_text()

    def state(self) -> dict[str, Any]:
        return told(self.folder / "distribution")

    def signal(self, what: signal.Signals) -> None:
        self.process.send_signal(what)

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await within_timeout(self.process.wait())

    async def stop(self, kind: Any = None) -> None:
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)
        try:
            status = await within_timeout(self.process.wait())
        finally:
            if self.process.returncode is None:
                self.process.send_signal(
                    signal.SIGKILL
                )  # whatever the story comes to, nothing is left running
        if kind is None:
            assert status == 0 and "level=error" not in self.log(), (status, self.log())


class Node(Rig):
    """A real server."""

    def __init__(self, world: "World", name: str, region: str, **more: Any) -> None:
        folder = world.folder / name
        folder.mkdir()
        self.world, self.region, self.more = world, region, more
        self.working: list[asyncio.Task[None]] = []
        super().__init__(
            folder, name=name, catalogue=world.catalogue, n_cores=32, memory_kb=400000, stop_ms=2000
        )

    async def start(self) -> "Node":
        self.operator = {
            "distribution": {**self.world.part(self.name, self.region, self.folder), **self.more},
            **self.world.parts,
        }
        if "metrics" in self.operator:
            self.operator["metrics"] = {
                **self.operator["metrics"],
                "file": str(self.folder / "metrics"),
            }
        await self.__aenter__()
        self.working.append(asyncio.create_task(self.work()))
        return self

    async def begin(self) -> None:
        lives = self.log().count("event=distribution_opened") if self.log_path.exists() else 0

        async def reached() -> None:
            await wait_until(
                lambda: (
                    self.log_path.exists() and self.log().count("event=distribution_opened") > lives
                )
            )
            address = re.findall(r"event=distribution_opened .* address=(\S+)", self.log())[-1]
            self.world.relay.set_member_address(self.name, address)

        await asyncio.gather(reached(), super().begin())

    async def work(self) -> None:
        while True:
            name, id, *_ = await self.executor.commands.get()
            if name == "EXEC":
                self.executor.exit(id, result=b"made")

    def state(self) -> dict[str, Any]:
        return told(self.folder / "distribution")

    def signal(self, what: signal.Signals) -> None:
        self.process.send_signal(what)

    async def serves(self, tenant: str) -> bool:
        """Asked anew on a connection of its own: whether that tenant's txn is run."""
        balancer = await self.balancer()
        error, result = await within_timeout(balancer.ask("look", fields(tenant=tenant)))
        balancer.close()
        assert (error is None and result[0] == b"made") or error[0] == "BadRequest", (error, result)
        return error is None


class World:
    """`postgres`: the store is the stand-in for PostgreSQL; else one SQLite file. `parts`: further
    ones of the servers' operator file.
    """

    def __init__(
        self, folder: Path, postgres: bool = False, parts: dict[str, Any] | None = None
    ) -> None:
        self.parts = parts or {}
        self.folder, self.relay, self.doors = folder, Relay(), dict[str, str]()
        self.postgres = Postgres(folder) if postgres else None
        self.catalogue = Catalogue(self.reply)
        self.machines: list[Machine] = []
        self.nodes: list[Node] = []
        self.key, self.signing = folder / "key", folder / "signing"
        for path, key in ((self.key, KEY), (self.signing, SIGNING)):
            path.write_text(key + "\n")
            path.chmod(0o600)
        self.model: dict[tuple[str, str, str], Any] = {}
        self.puts = 0

    async def reply(self, id: str) -> Reply:
        return 200, False, b"fetched"

    @property
    def store_told(self) -> dict[str, Any]:
        if self.postgres is None:
            return {"sqlite": {"path": str(self.folder / "changes.db")}}
        return {
            "postgres": {
                "address": self.postgres.address,
                "key_file": str(self.key),
                "connect_ms": 500,
                "hang_ms": 500,
            }
        }

    def part(self, name: str, region: str, folder: Path) -> dict[str, Any]:
        return {
            "listen": "127.0.0.1:0",
            "region": region,
            "key_file": str(self.key),
            "advertise": self.doors[name],
            "signing_key_file": str(self.signing),
            "beat_ms": BEAT,
            "state_file": str(folder / "distribution"),
            "upstreams": [
                {"name": one.name, "region": one.region, "address": self.doors[one.name]}
                for one in self.machines
            ],
        }

    async def __aenter__(self) -> "World":
        await self.catalogue.start()
        if self.postgres is not None:
            await self.postgres.start()
        return self

    async def control(
        self, count: int, regions: tuple[str, ...] = ("north",), store: bool = True
    ) -> list[Machine]:
        made = [
            Machine(self, f"c{len(self.machines) + at}", regions[at % len(regions)], store)
            for at in range(count)
        ]
        for one in made:
            self.doors[one.name] = await self.relay.open_endpoint(one.name)
        self.machines += made
        await asyncio.gather(*(one.start() for one in made))
        return made

    async def add(
        self, count: int, regions: tuple[str, ...] = ("north",), **more: Any
    ) -> list[Node]:
        made = [
            Node(self, f"n{len(self.nodes) + at}", regions[at % len(regions)], **more)
            for at in range(count)
        ]
        for one in made:
            self.doors[one.name] = await self.relay.open_endpoint(one.name)
        self.nodes += made
        await asyncio.gather(*(one.start() for one in made))
        return made

    async def __aexit__(self, kind: Any, *rest: Any) -> None:
        for node in self.nodes:
            for task in node.working:
                task.cancel()
        await asyncio.gather(*(node.__aexit__(kind) for node in self.nodes))
        await asyncio.gather(*(one.stop(kind) for one in self.machines))
        self.relay.close()
        await self.catalogue.stop()
        if self.postgres is not None:
            await self.postgres.stop()

    async def command(self, machine: Machine | Node, *words: Any, status: int = 0) -> str:
        return await asyncio.to_thread(
            burlloom,
            "distribution",
            *words,
            "-o",
            machine.folder / "operator.jsonnet",
            status=status,
        )

    async def put(self, *changes: dict[str, Any], by: int = 0, status: int = 0) -> str:
        """By the command, as an operator does; the model takes them too."""
        self.puts += 1
        path = self.folder / f"put{self.puts}.jsonl"
        path.write_text("".join(json.dumps(one) + "\n" for one in changes))
        said = await self.command(self.machines[by], "put", path, status=status)
        if not status:
            for one in changes:
                for entry in one["entries"]:
                    place = one.get("scope", ""), entry["kind"], entry["key"]
                    if entry["value"] is None:
                        self.model.pop(place, None)
                    else:
                        self.model[place] = entry["value"]
        return said

    # The checker.

    def store_file(self) -> Path:
        return self.folder / ("standin.db" if self.postgres is not None else "changes.db")

    def rows(self, sql: str) -> list[Any]:
        with closing(sqlite3.connect(self.store_file())) as db:
            return db.execute(sql).fetchall()

    def head(self) -> tuple[int, int]:
        ((epoch, revision),) = self.rows("SELECT epoch, revision FROM distribution_head")
        return epoch, revision

    def digest(self, region: str) -> str:
        whole = 0
        for (scope, kind, key), value in self.model.items():
            if scope in ("", region):
                whole ^= xxhash.xxh3_64_intdigest(
                    msgpack.packb([scope, kind, key, msgpack.packb(value)])
                )
        return f"{whole:016x}"

    def has_all(self, node: Node) -> bool:
        """Whether what it says to be in force is what was put, all of it."""
        state = node.state()
        return (state.get("epoch"), state.get("revision")) == self.head() and state[
            "digest"
        ] == self.digest(node.region)

    async def reaches(self, *nodes: Node) -> None:
        """What was put is in force on these, or on all."""
        which = nodes or tuple(self.nodes)
        await patiently(
            lambda: all(self.has_all(node) for node in which),
            lambda: (
                self.head(),
                [(node.name, self.digest(node.region), node.state()) for node in which],
                [machine.state() for machine in self.machines],
                [node.log()[-3000:] for node in which if not self.has_all(node)],
            ),
        )

    def in_order(self) -> None:
        """Each server applied revisions one after the other, each with the store's own tag, from a
        sync on; and went back in none.
        """
        tags = {
            (epoch, revision): bytes(tag).hex()
            for epoch, revision, tag in self.rows(
                "SELECT epoch, revision, tag FROM distribution_change"
            )
        }
        epoch_now, head = self.head()
        for node in self.nodes:
            at: tuple[int, int] | None = None
            for what, rest in LINE.findall(node.log()):
                said = dict(re.findall(r"(\w+)=(\S+)", rest))
                if what == "distribution_opened":
                    at = None  # another life, which holds nothing
                elif what == "config_synced":
                    to = int(said["epoch"]), int(said["revision"])
                    assert at is None or to >= at, (node.name, at, to)
                    at = to
                else:
                    epoch, first, last = int(said["epoch"]), int(said["from"]), int(said["to"])
                    assert at == (epoch, first - 1) and last >= first, (node.name, at, said)
                    at = epoch, last
                    if epoch == epoch_now:
                        assert last <= head and tags[at] == said["tag"], (node.name, at, said)
            assert at == (epoch_now, head), (node.name, at, epoch_now, head)


def tenant(name: str, scope: str = "", **value: Any) -> dict[str, Any]:
    return {"scope": scope, "entries": [{"kind": "tenant", "key": name, "value": value}]}


def without(name: str, scope: str = "") -> dict[str, Any]:
    return {"scope": scope, "entries": [{"kind": "tenant", "key": name, "value": None}]}
