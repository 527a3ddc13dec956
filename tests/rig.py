"""Starts the server as a process between fakes, on ports that the system chooses."""

import asyncio
import copy
import json
import os
import re
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "benchmarks"))

from burlloom.fakes.parts import (  # noqa: E402
    Balancer,
    Catalogue,
    Executor,
    NameService,
    Reply,
    fields,
)

EXAMPLE_CONFIGURATION = json.loads((ROOT / "examples" / "configuration.json").read_text())
# Longest time, in seconds, that a test waits for one event.
TIMEOUT_S = 20.0


async def within_timeout(awaitable: Any) -> Any:
    """Returns the result of `awaitable`; raises `TimeoutError` after `TIMEOUT_S`."""
    async with asyncio.timeout(TIMEOUT_S):
        return await awaitable


async def wait_until(condition: Any) -> None:
    """Polls until `condition()` is true; raises `TimeoutError` after `TIMEOUT_S`."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.002)


class Rig:
    """A server process with a fake executor, name service, downstream and balancers.

    Attributes:
        configuration: The server's configuration, which `write_configuration` writes.
        executor: The fake executor.
        name_service: The fake name service.
        downstream: The fake downstream.
        replies: The next replies of the downstream; once empty, it replies with `fetched`.
        balancers: The connections that the test has opened.
        expected_error_count: Lines of level error that the test leaves in the log.

    Args:
        folder: Where the files of the server are written.
        shell_prefix: Shell commands that run before the program, in the same process.
        operator: Content of the operator's file; None for a server without one.
        program: Arguments of the Python interpreter.
        name: The server's name.
        downstream: A downstream that several servers share, started by the caller; None to start an
            own one.
        changes: Values that replace those of the example configuration, wherever their key occurs.
    """

    def __init__(
        self,
        folder: Path,
        shell_prefix: str = "",
        operator: Any = None,
        program: str = "-m burlloom.server",
        name: str = "n1",
        downstream: Catalogue | None = None,
        **changes: Any,
    ) -> None:
        self.folder, self.shell_prefix, self.operator = folder, shell_prefix, operator
        self.program = program
        self.configuration = copy.deepcopy(EXAMPLE_CONFIGURATION)
        settings = self.configuration["settings"]
        for key, value in {"drain_grace": 10000, **changes}.items():
            for section in (
                self.configuration,
                self.configuration["limits"],
                settings["extra"],
                settings["rules"],
                *settings["categories"],
            ):
                if key in section:
                    section[key] = value
        self.executor, self.name_service = Executor(), NameService()
        self.name, self.is_downstream_shared = name, downstream is not None
        self.downstream = downstream or Catalogue(self.reply)
        self.replies: list[Reply] = []
        self.balancers: list[Balancer] = []
        self.expected_error_count = 0

    async def reply(self, id: str) -> Reply:
        return self.replies.pop(0) if self.replies else (200, False, b"fetched")

    async def __aenter__(self) -> "Rig":
        for field, fake in (
            ("executor", self.executor),
            ("naming", self.name_service),
            ("catalog", self.downstream),
        ):
            if fake is not self.downstream or not self.is_downstream_shared:
                await fake.start()
            if field in self.configuration:
                self.configuration[field] = fake.address
        self.configuration["listen"] = "127.0.0.1:0"
        self.write_configuration()
        self.log_path = self.folder / "log"
        self.log_path.unlink(missing_ok=True)
        await self.begin()
        return self

    async def begin(self) -> None:
        """Starts the process and waits until it serves; after `kill`, again on the same log."""
        past_starts, past_query_count = (
            self.log().count("event=listening") if self.log_path.exists() else 0,
            self.executor.gauge_query_count,
        )
        environment = {
            **os.environ,
            "EDGE_CONFIG": str(self.folder / "configuration.json"),
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": "127.0.0.1:0",
        }
        if self.operator is not None:
            (self.folder / "operator.jsonnet").write_text(json.dumps(self.operator))
            environment["BURLLOOM_OPERATOR"] = str(self.folder / "operator.jsonnet")
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_shell(
                f"{self.shell_prefix} exec {sys.executable} {self.program}",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=environment,
            )
        await wait_until(
            lambda: (
                self.log().count("event=listening") > past_starts
                or self.process.returncode is not None
            )
        )
        assert self.process.returncode is None, self.log()
        self.address = re.findall(r"event=listening .*address=(\S+)", self.log())[-1]
        if self.executor.may_join.is_set():
            # The server sends a second METER only after the first one was answered, so the executor
            # has connected by then.
            await wait_until(
                lambda: (
                    self.executor.gauge_query_count > past_query_count + 1
                    or self.process.returncode is not None
                )
            )
            assert self.process.returncode is None, self.log()

    async def kill(self) -> None:
        """Kills the process as a crash would, and waits until all connections are closed."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await within_timeout(self.process.wait())
        for balancer in self.balancers:
            await within_timeout(balancer.ended.wait())
        self.balancers.clear()

    async def __aexit__(self, kind: Any, *_: Any) -> None:
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)
            for balancer in self.balancers:
                balancer.close()
        status = await within_timeout(self.process.wait())
        if not self.is_downstream_shared:
            await self.downstream.stop()
        if kind is None:
            assert status == 0, (status, self.log())
            assert self.log().count("level=error") == self.expected_error_count, self.log()

    def write_configuration(self) -> Path:
        path = self.folder / "configuration.json"
        path.write_text(json.dumps(self.configuration))
        return path

    def reload(self) -> None:
        """Writes the configuration and has the server read it."""
        self.write_configuration()
        self.process.send_signal(signal.SIGHUP)

    def log(self) -> str:
        return self.log_path.read_text()

    async def balancer(self, buffer: int = 0) -> Balancer:
        """Opens a connection of a balancer.

        Args:
            buffer: Size of the kernel's receive buffer in bytes; 0 for the default.
        """
        self.balancers.append(await Balancer(self.address).open(buffer))
        return self.balancers[-1]

    async def wait_until_commands_confirmed(self) -> None:
        """Waits until a METER that was sent after all commands so far is answered.

        The server takes that as proof that the executor has received the commands.
        """
        past_query_count = self.executor.gauge_query_count
        await wait_until(lambda: self.executor.gauge_query_count > past_query_count + 2)

    async def command(self, *expected: str) -> str:
        """Asserts the name and arguments of the next command; returns its request's id."""
        command = await within_timeout(self.executor.commands.get())
        assert (command[0], *command[2:]) == expected, command
        return command[1]


def with_server(
    operator: Callable[[Path], Any] | None = None, **changes: Any
) -> Callable[[Any], Callable[..., None]]:
    """Returns a decorator that runs a test with a server between fakes.

    Args:
        operator: Returns the content of the operator's file for the folder of the test.
        changes: Further arguments of `Rig`.
    """

    def wrap(scenario: Callable[..., Awaitable[None]]) -> Callable[..., None]:
        def test(tmp_path: Path) -> None:
            async def run() -> None:
                content = operator(tmp_path) if operator is not None else None
                async with Rig(tmp_path, operator=content, **changes) as rig:
                    await scenario(rig)

            asyncio.run(run())

        test.__name__, test.__doc__ = scenario.__name__, scenario.__doc__
        return test

    return wrap


async def expect_result(answer: Any, body: bytes) -> None:
    """Asserts that an answer is this result, without error."""
    error, result = await within_timeout(answer)
    assert error is None and result[0] == body, (error, result)


async def expect_error(answer: Any, name: str) -> dict[str, str]:
    """Asserts that an answer is an error of this name; returns the error's fields."""
    error, result = await within_timeout(answer)
    assert result is None and error[0] == name, (error, result)
    return dict(error[1])


async def serve_one_request(rig: Rig, balancer: Any) -> None:
    """Checks that a request on this connection is run and answered."""
    answer = balancer.ask("look", fields())
    rig.executor.exit(await rig.command("EXEC", "look"), result=b"one")
    await expect_result(answer, b"one")
