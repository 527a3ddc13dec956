"""Control machines and servers as processes, with a UDP relay between them, and a checker.

The checker compares the store's tables with the servers' logs and state files. It shares no code
with the program: it keeps its own model of the items put, computes its own digests, and reads the
tags of the chain from the store's file with sqlite3.
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

SEALING_KEY, SIGNING_KEY = "6b" * 32, "73" * 32
HEARTBEAT_MS = 300
WAIT_TIMEOUT_S = 40.0
HEAD_LOG_LINE = re.compile(
    r"event=(distribution_opened|config_synced|config_changes_applied)\b(.*)"
)


async def wait_for(
    condition: Callable[[], bool], describe: Callable[[], Any] = lambda: None
) -> None:
    """Waits until a condition holds; fails with a description after `WAIT_TIMEOUT_S`."""
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise AssertionError(describe()) from None


def read_json(path: Path) -> dict[str, Any]:
    try:
        content: dict[str, Any] = json.loads(path.read_text())
        return content
    except (OSError, ValueError):
        return {}


class ControlMachine:
    """A control machine as a process; with `has_store` False the program runs as a relay."""

    def __init__(self, cluster: "Cluster", name: str, region: str, has_store: bool = True) -> None:
        self.cluster, self.name, self.region, self.has_store = cluster, name, region, has_store
        self.folder = cluster.folder / name
        self.folder.mkdir()
        self.log_path = self.folder / "log"
        self.process: asyncio.subprocess.Process

    async def start(self) -> "ControlMachine":
        settings = self.cluster.distribution_settings(self.name, self.region, self.folder)
        if self.has_store:
            settings["store"] = self.cluster.store_settings
        (self.folder / "operator.jsonnet").write_text(json.dumps({"distribution": settings}))
        earlier_starts = (
            self.log().count("event=control_node_started") if self.log_path.exists() else 0
        )
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
        await wait_for(
            lambda: (
                self.log().count("event=control_node_started") > earlier_starts
                or self.process.returncode is not None
            ),
            self.log,
        )
        assert self.process.returncode is None, self.log()
        address = re.findall(r"event=control_node_started .* address=(\S+)", self.log())[-1]
        self.cluster.relay.set_member_address(self.name, address)
        return self

    def log(self) -> str:
        return self.log_path.read_text()

    def state(self) -> dict[str, Any]:
        return read_json(self.folder / "distribution")

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
                )  # no process is left running, whatever the outcome
        if kind is None:
            assert status == 0 and "level=error" not in self.log(), (status, self.log())


class Server(Rig):
    """A server as a process."""

    def __init__(self, cluster: "Cluster", name: str, region: str, **settings: Any) -> None:
        folder = cluster.folder / name
        folder.mkdir()
        self.cluster, self.region, self.settings = cluster, region, settings
        self.tasks: list[asyncio.Task[None]] = []
        super().__init__(
            folder,
            name=name,
            downstream=cluster.catalogue,
            n_cores=32,
            memory_kb=400000,
            stop_ms=2000,
        )

    async def start(self) -> "Server":
        self.operator = {
            "distribution": {
                **self.cluster.distribution_settings(self.name, self.region, self.folder),
                **self.settings,
            },
            **self.cluster.operator_parts,
        }
        if "metrics" in self.operator:
            self.operator["metrics"] = {
                **self.operator["metrics"],
                "file": str(self.folder / "metrics"),
            }
        await self.__aenter__()
        self.tasks.append(asyncio.create_task(self.run_commands()))
        return self

    async def begin(self) -> None:
        earlier_starts = (
            self.log().count("event=distribution_opened") if self.log_path.exists() else 0
        )

        async def wait_until_opened() -> None:
            await wait_until(
                lambda: (
                    self.log_path.exists()
                    and self.log().count("event=distribution_opened") > earlier_starts
                )
            )
            address = re.findall(r"event=distribution_opened .* address=(\S+)", self.log())[-1]
            self.cluster.relay.set_member_address(self.name, address)

        await asyncio.gather(wait_until_opened(), super().begin())

    async def run_commands(self) -> None:
        while True:
            command, command_id, *_ = await self.executor.commands.get()
            if command == "EXEC":
                self.executor.exit(command_id, result=b"made")

    def state(self) -> dict[str, Any]:
        return read_json(self.folder / "distribution")

    def signal(self, what: signal.Signals) -> None:
        self.process.send_signal(what)

    async def serves(self, tenant: str) -> bool:
        """Returns whether the server runs a request of a tenant, sent on a new connection."""
        balancer = await self.balancer()
        error, result = await within_timeout(balancer.ask("look", fields(tenant=tenant)))
        balancer.close()
        assert (error is None and result[0] == b"made") or error[0] == "BadRequest", (error, result)
        return error is None


class Cluster:
    """Control machines and servers on one store, with a relay between all of them.

    Args:
        folder: Folder of all files.
        postgres: Whether the store is the stand-in for PostgreSQL; otherwise it is a SQLite file.
        operator_parts: Further parts of the servers' operator files.
    """

    def __init__(
        self, folder: Path, postgres: bool = False, operator_parts: dict[str, Any] | None = None
    ) -> None:
        self.operator_parts = operator_parts or {}
        self.folder, self.relay = folder, Relay()
        self.relay_addresses: dict[str, str] = {}  # address in the relay, by member name
        self.postgres = Postgres(folder) if postgres else None
        self.catalogue = Catalogue(self.reply)
        self.control_machines: list[ControlMachine] = []
        self.servers: list[Server] = []
        self.sealing_key_path, self.signing_key_path = folder / "key", folder / "signing"
        for path, key in (
            (self.sealing_key_path, SEALING_KEY),
            (self.signing_key_path, SIGNING_KEY),
        ):
            path.write_text(key + "\n")
            path.chmod(0o600)
        self.expected_items: dict[tuple[str, str, str], Any] = {}
        self.puts = 0

    async def reply(self, id: str) -> Reply:
        return 200, False, b"fetched"

    @property
    def store_settings(self) -> dict[str, Any]:
        if self.postgres is None:
            return {"sqlite": {"path": str(self.folder / "changes.db")}}
        return {
            "postgres": {
                "address": self.postgres.address,
                "key_file": str(self.sealing_key_path),
                "connect_ms": 500,
                "hang_ms": 500,
            }
        }

    def distribution_settings(self, name: str, region: str, folder: Path) -> dict[str, Any]:
        return {
            "listen": "127.0.0.1:0",
            "region": region,
            "key_file": str(self.sealing_key_path),
            "advertise": self.relay_addresses[name],
            "signing_key_file": str(self.signing_key_path),
            "beat_ms": HEARTBEAT_MS,
            "state_file": str(folder / "distribution"),
            "upstreams": [
                {
                    "name": machine.name,
                    "region": machine.region,
                    "address": self.relay_addresses[machine.name],
                }
                for machine in self.control_machines
            ],
        }

    async def __aenter__(self) -> "Cluster":
        await self.catalogue.start()
        if self.postgres is not None:
            await self.postgres.start()
        return self

    async def add_control_machines(
        self, count: int, regions: tuple[str, ...] = ("north",), has_store: bool = True
    ) -> list[ControlMachine]:
        machines = [
            ControlMachine(
                self,
                f"c{len(self.control_machines) + index}",
                regions[index % len(regions)],
                has_store,
            )
            for index in range(count)
        ]
        for machine in machines:
            self.relay_addresses[machine.name] = await self.relay.open_endpoint(machine.name)
        self.control_machines += machines
        await asyncio.gather(*(machine.start() for machine in machines))
        return machines

    async def add_servers(
        self, count: int, regions: tuple[str, ...] = ("north",), **settings: Any
    ) -> list[Server]:
        servers = [
            Server(self, f"n{len(self.servers) + index}", regions[index % len(regions)], **settings)
            for index in range(count)
        ]
        for server in servers:
            self.relay_addresses[server.name] = await self.relay.open_endpoint(server.name)
        self.servers += servers
        await asyncio.gather(*(server.start() for server in servers))
        return servers

    async def __aexit__(self, kind: Any, *rest: Any) -> None:
        for server in self.servers:
            for task in server.tasks:
                task.cancel()
        await asyncio.gather(*(server.__aexit__(kind) for server in self.servers))
        await asyncio.gather(*(machine.stop(kind) for machine in self.control_machines))
        self.relay.close()
        await self.catalogue.stop()
        if self.postgres is not None:
            await self.postgres.stop()

    async def command(
        self, process: ControlMachine | Server, *arguments: Any, status: int = 0
    ) -> str:
        return await asyncio.to_thread(
            burlloom,
            "distribution",
            *arguments,
            "-o",
            process.folder / "operator.jsonnet",
            status=status,
        )

    async def put(self, *changes: dict[str, Any], machine_index: int = 0, status: int = 0) -> str:
        """Puts changes with the command, as an operator does, and into the expected items."""
        self.puts += 1
        path = self.folder / f"put{self.puts}.jsonl"
        path.write_text("".join(json.dumps(change) + "\n" for change in changes))
        output = await self.command(
            self.control_machines[machine_index], "put", path, status=status
        )
        if not status:
            for change in changes:
                for entry in change["entries"]:
                    position = change.get("scope", ""), entry["kind"], entry["key"]
                    if entry["value"] is None:
                        self.expected_items.pop(position, None)
                    else:
                        self.expected_items[position] = entry["value"]
        return output

    # Checker.

    def store_file(self) -> Path:
        return self.folder / ("standin.db" if self.postgres is not None else "changes.db")

    def rows(self, sql: str) -> list[Any]:
        with closing(sqlite3.connect(self.store_file())) as db:
            return db.execute(sql).fetchall()

    def head(self) -> tuple[int, int]:
        ((epoch, revision),) = self.rows("SELECT epoch, revision FROM distribution_head")
        return epoch, revision

    def digest(self, region: str) -> str:
        digest = 0
        for (scope, kind, key), value in self.expected_items.items():
            if scope in ("", region):
                digest ^= xxhash.xxh3_64_intdigest(
                    msgpack.packb([scope, kind, key, msgpack.packb(value)])
                )
        return f"{digest:016x}"

    def is_up_to_date(self, server: Server) -> bool:
        """Returns whether a server's state file shows exactly the items that were put."""
        state = server.state()
        return (state.get("epoch"), state.get("revision")) == self.head() and state[
            "digest"
        ] == self.digest(server.region)

    async def wait_until_in_force(self, *servers: Server) -> None:
        """Waits until all items put are in force on the given servers, by default on all."""
        expected_servers = servers or tuple(self.servers)
        await wait_for(
            lambda: all(self.is_up_to_date(server) for server in expected_servers),
            lambda: (
                self.head(),
                [
                    (server.name, self.digest(server.region), server.state())
                    for server in expected_servers
                ],
                [machine.state() for machine in self.control_machines],
                [
                    server.log()[-3000:]
                    for server in expected_servers
                    if not self.is_up_to_date(server)
                ],
            ),
        )

    def assert_applied_in_order(self) -> None:
        """Asserts that each server has logged consecutive revisions since its last sync.

        Each logged tag must be the store's tag of that revision, and no sync may go back.
        """
        tags = {
            (epoch, revision): bytes(tag).hex()
            for epoch, revision, tag in self.rows(
                "SELECT epoch, revision, tag FROM distribution_change"
            )
        }
        current_epoch, current_revision = self.head()
        for server in self.servers:
            applied: tuple[int, int] | None = None
            for event, rest in HEAD_LOG_LINE.findall(server.log()):
                values = dict(re.findall(r"(\w+)=(\S+)", rest))
                if event == "distribution_opened":
                    applied = None  # the server was restarted and holds nothing
                elif event == "config_synced":
                    synced = int(values["epoch"]), int(values["revision"])
                    assert applied is None or synced >= applied, (server.name, applied, synced)
                    applied = synced
                else:
                    epoch, first, last = (
                        int(values["epoch"]),
                        int(values["from"]),
                        int(values["to"]),
                    )
                    assert applied == (epoch, first - 1) and last >= first, (
                        server.name,
                        applied,
                        values,
                    )
                    applied = epoch, last
                    if epoch == current_epoch:
                        assert last <= current_revision and tags[applied] == values["tag"], (
                            server.name,
                            applied,
                            values,
                        )
            assert applied == (current_epoch, current_revision), (
                server.name,
                applied,
                current_epoch,
                current_revision,
            )


def tenant_change(name: str, scope: str = "", **value: Any) -> dict[str, Any]:
    return {"scope": scope, "entries": [{"kind": "tenant", "key": name, "value": value}]}


def tenant_deletion(name: str, scope: str = "") -> dict[str, Any]:
    return {"scope": scope, "entries": [{"kind": "tenant", "key": name, "value": None}]}
