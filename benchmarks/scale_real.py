"""Real servers of a scale run: processes of the program between stand-ins of our own, under an
open-loop load.

What the server adds to a request is counted from the moment at which it was to be sent, less what
the stand-ins took. Every request, run and answer is told to the lab's checker of the four rules.
"""

import asyncio
import json
import re
import secrets
import sys
import time
from datetime import datetime
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from hdrh.histogram import HdrHistogram  # noqa: E402
from rig import Rig, wait_until  # noqa: E402

from burlloom.fakes.parts import Catalogue, Reply, fields  # noqa: E402
from burlloom.lab.rules import RuleChecker  # noqa: E402

CALL_S = 0.02  # that a call below takes
CALLING = 4  # one request in so many makes a call below
ANSWERS = {"Backoff": "declined", "Voided": "voided"}


class Below(Catalogue):
    """The dependency that all share; tells the checker, as thousandths of a call, when how many
    were in hand.
    """

    def __init__(self, events: list[list[Any]]) -> None:
        super().__init__(self.answer)
        self.events = events

    async def answer(self, id: str) -> Reply:
        self.events.append(
            [
                time.clock_gettime_ns(time.CLOCK_BOOTTIME),
                "real servers",
                "in hand",
                1000 * self.open_calls,
            ]
        )
        try:
            await asyncio.sleep(CALL_S)
        finally:
            self.events.append(
                [
                    time.clock_gettime_ns(time.CLOCK_BOOTTIME),
                    "real servers",
                    "in hand",
                    1000 * (self.open_calls - 1),
                ]
            )
        return 200, False, b"fetched"


class Real(Rig):
    """One server, its executor, and who asks it. `started`: called after each start, with its log's
    newest addresses.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        below: Below,
        rules: RuleChecker,
        rate: float,
        chance: Random,
        operator: Any,
        due: float = 6.0,
    ) -> None:
        folder.mkdir(exist_ok=True)
        super().__init__(
            folder,
            name=name,
            downstream=below,
            operator=operator,
            n_cores=32,
            memory_kb=400000,
            calls_out=20.0,
            aim=2000000,
            deadline=5000000,
            stop_ms=2000,
        )
        self.rules, self.rate, self.chance, self.due = rules, rate, chance, due
        self.added, self.added_calling = (
            HdrHistogram(1, 60_000_000, 3),
            HdrHistogram(1, 60_000_000, 3),
        )  # us
        self.life, self.began_at = 0, time.monotonic()
        self.ran: dict[str, float] = {}  # when the run of a request began
        self.took: dict[str, float] = {}  # s that the stand-ins had it
        self.calls: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.asked = self.settled = 0

    def now(self) -> float:
        return time.monotonic() - self.began_at

    def addresses(self, event: str) -> list[str]:
        return re.findall(rf"event={event} .*?\baddress=(\S+)", self.log())

    async def begin(self) -> None:
        self.life += 1
        self.note("began")
        await super().begin()
        if not self.tasks:
            self.tasks.append(asyncio.create_task(self.work()))
        self.tasks = [task for task in self.tasks if not task.done()]
        self.tasks.append(asyncio.create_task(self.load(self.life)))

    def note(self, what: str) -> None:
        now = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        self.downstream.events += [
            [now, self.name, what, kind, self.life] for kind in ("fleet", "follower")
        ]  # type: ignore[attr-defined]

    def configured(self) -> list[list[Any]]:
        """What its log says of the changes in force, for the checker; without what they say, which
        stands in no log.
        """
        ahead = time.clock_gettime_ns(time.CLOCK_BOOTTIME) - time.time_ns()
        found: list[list[Any]] = []
        for line in self.log().splitlines():
            told = dict(word.split("=", 1) for word in line.split() if "=" in word)
            if told.get("event") not in ("config_changes_applied", "config_synced"):
                continue
            at = (
                int(datetime.fromisoformat(told["ts"]).timestamp() * 1000) * 1_000_000
                + 999_999
                + ahead
            )
            if told["event"] == "config_synced":
                found.append([at, self.name, "synced", int(told["epoch"]), int(told["revision"])])
            else:
                found += [
                    [at, self.name, "applied", int(told["epoch"]), revision, ""]
                    for revision in range(int(told["from"]), int(told["to"]) + 1)
                ]
        return found

    def distributed(self) -> float | None:
        """Bytes so far, in and out, of configuration."""
        try:
            counts = json.loads((self.folder / "distribution").read_text())["counts"]
            return float(counts["sent_bytes"] + counts["heard_bytes"])
        except (OSError, ValueError, KeyError):
            return None

    async def work(self) -> None:
        """The executor's part: at once, but for the call."""
        while True:
            what, id, *_ = await self.executor.commands.get()
            now = time.monotonic()
            if what == "EXEC":
                self.rules.record_run(self.now(), id)
                self.ran[id] = now
                if id in self.calls:
                    self.executor.callout(id)
                    continue
            result = id.encode()
            self.rules.record_result(id, result)
            self.executor.exit(id, result=result)
            self.took[id] = time.monotonic() - self.ran.pop(id, now)

    async def load(self, life: int) -> None:
        """Sends when it is time to, however late the answers are; nothing while the server is
        down.
        """
        balancer = await self.balancer()
        at = time.monotonic()
        while not balancer.ended.is_set():
            at += self.chance.expovariate(self.rate)
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            if not balancer.ended.is_set():
                asyncio.create_task(self.one(balancer, life, at))

    async def one(self, balancer: Any, life: int, due: float) -> None:
        told = fields(id=secrets.token_hex(8))
        id = told["id"]
        if self.chance.randrange(CALLING) == 0:
            self.calls.add(id)
        self.rules.record_read(self.now(), self.name, life, id, self.due)
        self.asked += 1
        answer = balancer.ask("look", told)
        try:
            error, result = await answer
        except asyncio.CancelledError:
            self.rules.record_disconnect(id)
            return
        finally:
            calling = id in self.calls
            self.calls.discard(id)
        span = time.monotonic() - due
        if error is None:
            self.settled += 1
            self.rules.record_answer(self.now(), id, "settled", bytes(result[0]))
            (self.added_calling if calling else self.added).record_value(
                max(1, int(1e6 * (span - self.took.pop(id, 0.0))))
            )
        else:
            self.rules.record_answer(self.now(), id, ANSWERS.get(error[0], "voided"))
            self.took.pop(id, None)

    async def kill(self) -> None:
        self.note("ended")
        await super().kill()
        self.rules.record_stop(self.now(), self.name, self.life, killed=True)
        self.executor.restart()

    async def again(self) -> None:
        await self.kill()
        await self.begin()

    def end(self) -> None:
        for task in self.tasks:
            task.cancel()


async def ready(one: Real, event: str, count: int) -> str:
    """Its address by that event of its log, once it was said so often."""
    await wait_until(lambda: len(one.addresses(event)) >= count)
    return one.addresses(event)[-1]
