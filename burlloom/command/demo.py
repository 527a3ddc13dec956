"""Shows the server at work between stand-ins of our own: charges, a crash, and the repeat settled
from the record.
"""

import asyncio
import json
import os
import secrets
import signal
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import click

from ..fakes.parts import Balancer, Catalogue, Executor, NameService, Reply, fields

START_WAIT = 20.0  # s
SETTINGS = {
    "categories": [
        {
            "name": "balance-view",
            "worth": 1.0,
            "aim": 2000000,
            "deadline": 6000000,
            "idempotency": "retryable",
        },
        {
            "name": "charge",
            "worth": 5.0,
            "aim": 1500000,
            "deadline": 6000000,
            "idempotency": "dedup",
            "window": 18000000,
        },
    ],
    "extra": {
        "n_cores": 4,
        "memory_kb": 200000,
        "blowup": 4.0,
        "meters": ["core_use", "on_cores", "heap_share", "links"],
        "depends_on": "one_for_all",
        "calls_out": 8.0,
        "calls_over": 5000000,
        "lingers": 200000,
        "idle": 15000000,
        "say": "floor",
    },
    "rules": {"tip_multiple": 5.0, "cold_from": 0.2, "warm_up": 17000000, "drain_grace": 200000},
    "tenants": [{"name": "acme"}],
    "limits": {"max_retry_after": 1000000, "retry_after": True},
}


class Failed(Exception):
    """The demonstration did not go as it should."""


class World:
    """All that a server talks to, and the server itself as a process of its own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.executor, self.naming, self.catalogue = (
            Executor(),
            NameService(),
            Catalogue(self.reply),
        )
        self.runs: dict[str, int] = {}
        self.working: set[asyncio.Task[None]] = set()
        self.address = ""
        self.process: asyncio.subprocess.Process

    async def reply(self, id: str) -> Reply:
        await asyncio.sleep(0.01)
        return 200, False, b"ledger says yes"

    async def start(self) -> None:
        for part in (self.executor, self.naming, self.catalogue):
            await part.start()
        self.working.add(asyncio.create_task(self.execute()))
        told = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "executor": self.executor.address,
            "naming": self.naming.address,
            "catalog": self.catalogue.address,
            "seed": secrets.token_hex(8),
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": SETTINGS,
        }
        (self.folder / "configuration.json").write_text(json.dumps(told, indent=1))
        (self.folder / "operator.jsonnet").write_text(
            json.dumps(
                {"record": {"mode": "require", "sqlite": {"path": str(self.folder / "record.db")}}},
                indent=1,
            )
        )

    async def execute(self) -> None:
        """The executor's side: a charge makes a call, then takes 50 ms, and says how often it
        ran.
        """
        while True:
            name, id, *_ = await self.executor.commands.get()
            body = self.executor.bodies[id]
            if name == "EXEC":
                self.runs[id] = self.runs.get(id, 0) + 1
                click.echo(f"    executor: run {sum(self.runs.values())} begins, {body.decode()!r}")
                self.executor.callout(id, b"may I")
            else:
                self.working.add(asyncio.create_task(self.end(id)))

    async def end(self, id: str) -> None:
        await asyncio.sleep(0.05)
        self.executor.exit(id, result=f"receipt {secrets.token_hex(4)}".encode())

    async def serve(self) -> None:
        log = self.folder / "log"
        env = {
            **os.environ,
            "EDGE_CONFIG": str(self.folder / "configuration.json"),
            "EDGE_NAME": "n1",
            "EDGE_LISTEN": "127.0.0.1:0",
            "BURLLOOM_OPERATOR": str(self.folder / "operator.jsonnet"),
        }
        asked = self.executor.gauge_query_count
        with open(log, "wb") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "burlloom.server", stdout=out, stderr=out, env=env
            )
        until = time.monotonic() + START_WAIT
        while (
            "event=listening" not in log.read_text() or self.executor.gauge_query_count < asked + 2
        ):
            if self.process.returncode is not None or time.monotonic() > until:
                raise Failed(f"the server did not start; its log:\n{log.read_text()}")
            await asyncio.sleep(0.01)
        line = next(line for line in log.read_text().splitlines() if "event=listening" in line)
        self.address = line.split("address=")[1].split()[0]

    async def ask(self, product: str, once: str, body: bytes) -> bytes:
        balancer = await Balancer(self.address).open()
        try:
            async with asyncio.timeout(10):
                error, result = await balancer.ask(
                    product, fields(cost="50", **({"once": once} if once else {})), body
                )
        except (TimeoutError, asyncio.CancelledError) as trouble:
            raise Failed(f"{product} {body!r}: no answer") from trouble
        finally:
            balancer.close()
        if error is not None:
            raise Failed(f"{product} {body!r}: {error}")
        return bytes(result[0])

    async def stop(self) -> None:
        with suppress(ProcessLookupError, AttributeError):
            self.process.send_signal(signal.SIGTERM)
            await self.process.wait()
        for task in self.working:
            task.cancel()
        await self.catalogue.stop()


def say(text: str, **style: Any) -> None:
    click.secho(text, **style)


async def tell(folder: Path) -> None:
    world = World(folder)
    await world.start()
    try:
        say("1. The server starts, with its record in SQLite:", bold=True)
        await world.serve()
        say(f"    listening on {world.address}")
        say("2. It serves:", bold=True)
        for n in range(3):
            say(
                f"    balance-view {n + 1}: {(await world.ask('balance-view', '', b'history %d' % n)).decode()}"
            )
        once = secrets.token_hex(16)
        first = await world.ask("charge", once, b"charge 100 kr")
        say(f"    charge: {first.decode()}", fg="green")
        runs = sum(world.runs.values())
        say("3. It is killed (SIGKILL), and its executor with it:", bold=True)
        world.process.send_signal(signal.SIGKILL)
        await world.process.wait()
        world.executor.restart()
        say("4. It starts again, knowing nothing but its record:", bold=True)
        await world.serve()
        say(
            next(
                (
                    f"    {line.split(' event=')[1]}"
                    for line in (folder / "log").read_text().splitlines()
                    if "event=record_opened" in line
                ),
                "",
            )
        )
        say("5. The caller, who never heard back, asks for the same charge again:", bold=True)
        again = await world.ask("charge", once, b"charge 100 kr")
        say(f"    charge: {again.decode()}", fg="green")
        if again != first or sum(world.runs.values()) != runs:
            raise Failed("the repeat was not settled from the record")
        say("    the first receipt, and no second run.", fg="green")
        say("6. Another charge is another txn:", bold=True)
        say(
            f"    charge: {(await world.ask('charge', secrets.token_hex(16), b'charge 100 kr')).decode()}"
        )
    finally:
        await world.stop()


def play(folder: Path | None) -> int:
    """0 if all went as it should."""
    began = time.monotonic()
    try:
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            asyncio.run(tell(folder))
        else:
            with tempfile.TemporaryDirectory(prefix="burlloom-demo-") as name:
                asyncio.run(tell(Path(name)))
    except Failed as failed:
        click.secho(f"burlloom demo: {failed}", err=True, fg="red")
        return 1
    say(
        f"\nDone in {time.monotonic() - began:.0f} s. Where to go on: docs/record.md tells how the record works,"
    )
    say("docs/operators.md how to set it up; `burlloom demo --folder here` keeps all files, and")
    say("`burlloom record stats -o here/operator.jsonnet` looks at the record that it made.")
    return 0
