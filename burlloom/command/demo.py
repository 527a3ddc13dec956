"""Demonstrates crash recovery: a repeated charge is answered from the record.

The server runs as a process of its own; its executor, name service and downstream service are
simulated in this process.
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

START_TIMEOUT_S = 20.0
# The platform's settings of the server, in the form of its configuration file.
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


class DemoError(Exception):
    """The server did not behave as the demonstration expects."""


class DemoEnvironment:
    """A server process and the simulated peers that it talks to.

    Args:
        folder: Holds the server's configuration, the operator's file, the record and the log.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.executor, self.naming, self.catalogue = (
            Executor(),
            NameService(),
            Catalogue(self.reply),
        )
        self.run_counts: dict[str, int] = {}  # by request id
        self.tasks: set[asyncio.Task[None]] = set()
        self.address = ""
        self.process: asyncio.subprocess.Process

    async def reply(self, id: str) -> Reply:
        """Answers a downstream call after 10 ms."""
        await asyncio.sleep(0.01)
        return 200, False, b"ledger says yes"

    async def start(self) -> None:
        """Starts the simulated peers and writes the files that the server reads."""
        for part in (self.executor, self.naming, self.catalogue):
            await part.start()
        self.tasks.add(asyncio.create_task(self.execute()))
        configuration = {
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
        (self.folder / "configuration.json").write_text(json.dumps(configuration, indent=1))
        (self.folder / "operator.jsonnet").write_text(
            json.dumps(
                {"record": {"mode": "require", "sqlite": {"path": str(self.folder / "record.db")}}},
                indent=1,
            )
        )

    async def execute(self) -> None:
        """Runs the server's commands as its executor would.

        Each run makes one downstream call; after that call it takes 50 ms.
        """
        while True:
            name, id, *_ = await self.executor.commands.get()
            body = self.executor.bodies[id]
            if name == "EXEC":
                self.run_counts[id] = self.run_counts.get(id, 0) + 1
                click.echo(
                    f"    executor: run {sum(self.run_counts.values())} begins, {body.decode()!r}"
                )
                self.executor.callout(id, b"may I")
            else:
                self.tasks.add(asyncio.create_task(self.finish_run(id)))

    async def finish_run(self, id: str) -> None:
        """Ends a run with a random receipt as its result, 50 ms from now."""
        await asyncio.sleep(0.05)
        self.executor.exit(id, result=f"receipt {secrets.token_hex(4)}".encode())

    async def serve(self) -> None:
        """Starts the server, and returns when it listens and polls its executor.

        Raises:
            DemoError: The server ended, or was not ready within `START_TIMEOUT_S`.
        """
        log = self.folder / "log"
        env = {
            **os.environ,
            "EDGE_CONFIG": str(self.folder / "configuration.json"),
            "EDGE_NAME": "n1",
            "EDGE_LISTEN": "127.0.0.1:0",
            "BURLLOOM_OPERATOR": str(self.folder / "operator.jsonnet"),
        }
        polls_before = self.executor.gauge_query_count
        with open(log, "wb") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "burlloom.server", stdout=out, stderr=out, env=env
            )
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while (
            "event=listening" not in log.read_text()
            or self.executor.gauge_query_count < polls_before + 2
        ):
            if self.process.returncode is not None or time.monotonic() > deadline_s:
                raise DemoError(f"the server did not start; its log:\n{log.read_text()}")
            await asyncio.sleep(0.01)
        line = next(line for line in log.read_text().splitlines() if "event=listening" in line)
        self.address = line.split("address=")[1].split()[0]

    async def send_request(self, request_class: str, idempotency_key: str, body: bytes) -> bytes:
        """Sends a request to the server and returns its result.

        Args:
            request_class: Name of the request class.
            idempotency_key: Empty for a request without one.
            body: Payload of the request.

        Raises:
            DemoError: The server answered with an error, or not within 10 s.
        """
        balancer = await Balancer(self.address).open()
        try:
            async with asyncio.timeout(10):
                error, result = await balancer.ask(
                    request_class,
                    fields(cost="50", **({"once": idempotency_key} if idempotency_key else {})),
                    body,
                )
        except (TimeoutError, asyncio.CancelledError) as cause:
            raise DemoError(f"{request_class} {body!r}: no answer") from cause
        finally:
            balancer.close()
        if error is not None:
            raise DemoError(f"{request_class} {body!r}: {error}")
        return bytes(result[0])

    async def stop(self) -> None:
        """Ends the server with SIGTERM and stops the simulated peers."""
        with suppress(ProcessLookupError, AttributeError):
            self.process.send_signal(signal.SIGTERM)
            await self.process.wait()
        for task in self.tasks:
            task.cancel()
        await self.catalogue.stop()


def print_line(text: str, **style: Any) -> None:
    """Prints a line in a style that `click.style` knows."""
    click.secho(text, **style)


async def run_steps(folder: Path) -> None:
    """Runs the steps of the demonstration and prints each.

    Args:
        folder: For the files of the server; must exist.

    Raises:
        DemoError: The server did not behave as expected.
    """
    environment = DemoEnvironment(folder)
    await environment.start()
    try:
        print_line("1. The server starts, with its record in SQLite:", bold=True)
        await environment.serve()
        print_line(f"    listening on {environment.address}")
        print_line("2. It serves:", bold=True)
        for n in range(3):
            history = await environment.send_request("balance-view", "", b"history %d" % n)
            print_line(f"    balance-view {n + 1}: {history.decode()}")
        idempotency_key = secrets.token_hex(16)
        first = await environment.send_request("charge", idempotency_key, b"charge 100 kr")
        print_line(f"    charge: {first.decode()}", fg="green")
        run_count = sum(environment.run_counts.values())
        print_line("3. It is killed (SIGKILL), and its executor with it:", bold=True)
        environment.process.send_signal(signal.SIGKILL)
        await environment.process.wait()
        environment.executor.restart()
        print_line("4. It starts again, with nothing but its record:", bold=True)
        await environment.serve()
        print_line(
            next(
                (
                    f"    {line.split(' event=')[1]}"
                    for line in (folder / "log").read_text().splitlines()
                    if "event=record_opened" in line
                ),
                "",
            )
        )
        print_line("5. The caller received no answer and repeats the same charge:", bold=True)
        repeated = await environment.send_request("charge", idempotency_key, b"charge 100 kr")
        print_line(f"    charge: {repeated.decode()}", fg="green")
        if repeated != first or sum(environment.run_counts.values()) != run_count:
            raise DemoError("the repeated charge was not answered from the record")
        print_line("    the first receipt, and no second run.", fg="green")
        print_line("6. A charge with another idempotency key is another transaction:", bold=True)
        other = await environment.send_request("charge", secrets.token_hex(16), b"charge 100 kr")
        print_line(f"    charge: {other.decode()}")
    finally:
        await environment.stop()


def run_demo(folder: Path | None) -> int:
    """Runs the demonstration and returns its exit status: 0, or 1 if a step failed.

    Args:
        folder: Keeps the files of the server; None for a temporary folder.
    """
    started_s = time.monotonic()
    try:
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            asyncio.run(run_steps(folder))
        else:
            with tempfile.TemporaryDirectory(prefix="burlloom-demo-") as name:
                asyncio.run(run_steps(Path(name)))
    except DemoError as error:
        click.secho(f"burlloom demo: {error}", err=True, fg="red")
        return 1
    print_line(
        f"\nDone in {time.monotonic() - started_s:.0f} s."
        " docs/record.md explains how the record works,"
    )
    print_line(
        "docs/operators.md how to set it up. `burlloom demo --folder here` keeps all files, and"
    )
    print_line("`burlloom record stats -o here/operator.jsonnet` shows what is in the record.")
    return 0
