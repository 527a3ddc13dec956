"""Starts the program as a process between fakes, on ports that the system gives."""

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

from burlloom.fakes.parts import Balancer, Catalogue, Executor, NameService, Reply  # noqa: E402

GIVEN = json.loads((ROOT / "examples" / "configuration.json").read_text())
TIMEOUT_S = 20.0


async def within_timeout(what: Any) -> Any:
    async with asyncio.timeout(TIMEOUT_S):
        return await what


async def wait_until(test: Any) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not test():
            await asyncio.sleep(0.002)


class Rig:
    def __init__(
        self,
        folder: Path,
        before: str = "",
        operator: Any = None,
        main: str = "-m burlloom.server",
        name: str = "n1",
        catalogue: Catalogue | None = None,
        **changes: Any,
    ) -> None:
        """`catalogue`: one that several share, started by whoever made it. `operator`: what the
        operator's file says, none if there is none. `main`: what Python is to run.
        """
        self.folder, self.before, self.operator, self.main = folder, before, operator, main
        self.told = copy.deepcopy(GIVEN)
        known = self.told["settings"]
        for key, value in {"drain_grace": 10000, **changes}.items():
            for place in (
                self.told,
                self.told["limits"],
                known["extra"],
                known["rules"],
                *known["categories"],
            ):
                if key in place:
                    place[key] = value
        self.executor, self.naming = Executor(), NameService()
        self.name, self.shared = name, catalogue is not None
        self.catalogue = catalogue or Catalogue(self.reply)
        self.replies: list[Reply] = []
        self.balancers: list[Balancer] = []
        self.errors = 0  # that the test is to leave in the log

    async def reply(self, id: str) -> Reply:
        return self.replies.pop(0) if self.replies else (200, False, b"fetched")

    async def __aenter__(self) -> "Rig":
        for name, part in (
            ("executor", self.executor),
            ("naming", self.naming),
            ("catalog", self.catalogue),
        ):
            if part is not self.catalogue or not self.shared:
                await part.start()
            if name in self.told:
                self.told[name] = part.address
        self.told["listen"] = "127.0.0.1:0"
        self.write_orders()
        self.log_path = self.folder / "log"
        self.log_path.unlink(missing_ok=True)
        await self.begin()
        return self

    async def begin(self) -> None:
        """Starts the program; again, after `kill`, on the same log."""
        lives, asked = (
            self.log().count("event=listening") if self.log_path.exists() else 0,
            self.executor.gauge_query_count,
        )
        env = {
            **os.environ,
            "EDGE_CONFIG": str(self.folder / "configuration.json"),
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": "127.0.0.1:0",
        }
        if self.operator is not None:
            (self.folder / "operator.jsonnet").write_text(json.dumps(self.operator))
            env["BURLLOOM_OPERATOR"] = str(self.folder / "operator.jsonnet")
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_shell(
                f"{self.before} exec {sys.executable} {self.main}",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=env,
            )
        await wait_until(
            lambda: (
                self.log().count("event=listening") > lives or self.process.returncode is not None
            )
        )
        assert self.process.returncode is None, self.log()
        self.address = re.findall(r"event=listening .*address=(\S+)", self.log())[-1]
        if self.executor.may_join.is_set():
            # The link is joined once the first was answered.
            await wait_until(
                lambda: (
                    self.executor.gauge_query_count > asked + 1
                    or self.process.returncode is not None
                )
            )
            assert self.process.returncode is None, self.log()

    async def kill(self) -> None:
        """As a crash would."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await within_timeout(self.process.wait())
        for balancer in self.balancers:
            await within_timeout(balancer.ended.wait())
        self.balancers.clear()

    async def __aexit__(self, kind: Any, *rest: Any) -> None:
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)
            for balancer in self.balancers:
                balancer.close()
        status = await within_timeout(self.process.wait())
        if not self.shared:
            await self.catalogue.stop()
        if kind is None:
            assert status == 0, (status, self.log())
            assert self.log().count("level=error") == self.errors, self.log()

    def write_orders(self) -> Path:
        path = self.folder / "configuration.json"
        path.write_text(json.dumps(self.told))
        return path

    def reload(self) -> None:
        self.write_orders()
        self.process.send_signal(signal.SIGHUP)

    def log(self) -> str:
        return self.log_path.read_text()

    async def balancer(self, buffer: int = 0) -> Balancer:
        self.balancers.append(await Balancer(self.address).open(buffer))
        return self.balancers[-1]

    async def proven(self) -> None:
        """Until a METER that was asked after all commands so far has been answered."""
        asked = self.executor.gauge_query_count
        await wait_until(lambda: self.executor.gauge_query_count > asked + 2)

    async def command(self, *wanted: str) -> str:
        """The next command is this one; gives its id."""
        got = await within_timeout(self.executor.commands.get())
        assert (got[0], *got[2:]) == wanted, got
        return got[1]


def with_server(
    operator: Callable[[Path], Any] | None = None, **changes: Any
) -> Callable[[Any], Callable[..., None]]:
    """Runs a test with a server between fakes; `operator` returns the operator's file for a folder."""

    def wrap(scenario: Callable[..., Awaitable[None]]) -> Callable[..., None]:
        def test(tmp_path: Path) -> None:
            async def run() -> None:
                told = operator(tmp_path) if operator is not None else None
                async with Rig(tmp_path, operator=told, **changes) as rig:
                    await scenario(rig)

            asyncio.run(run())

        test.__name__, test.__doc__ = scenario.__name__, scenario.__doc__
        return test

    return wrap


async def expect_result(answer: Any, body: bytes) -> None:
    error, result = await within_timeout(answer)
    assert error is None and result[0] == body, (error, result)


async def expect_error(answer: Any, name: str) -> dict[str, str]:
    error, result = await within_timeout(answer)
    assert result is None and error[0] == name, (error, result)
    return dict(error[1])
