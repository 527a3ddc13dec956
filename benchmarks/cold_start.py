"""Twenty and thirty processes of the program that start together, in waves, or again and again in
mid-ramp, between our own stand-ins on loopback: what they have in hand together at the dependency
that they share, and how long each takes from its start until it is listed and answers.

    python benchmarks/cold_start.py calls together   # the sum at the stand-in, of one story; five plays of each
    python benchmarks/cold_start.py ready            # starts and restarts, with cores busy and with an executor that is late
"""

import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from cold_fleet import budget_with_tolerance, largest_mean  # noqa: E402
from rig import Rig, within_timeout  # noqa: E402

from burlloom.fakes.parts import Catalogue, Reply, fields  # noqa: E402

SPAN = 5.0  # over which the budget of calls is a mean
BUSY = "while True: pass"  # what keeps a core from those that start


class Counted(Catalogue):
    """The dependency; `steps` tells when how many calls were in its hands."""

    def __init__(self, takes: float) -> None:
        super().__init__(self.answer)
        self.takes, self.steps = takes, [(time.monotonic(), 0)]

    async def answer(self, id: str) -> Reply:
        self.steps.append((time.monotonic(), self.open_calls))
        try:
            await asyncio.sleep(self.takes)
        finally:
            self.steps.append((time.monotonic(), self.open_calls - 1))
        return 200, False, b"here"

    def worst(self) -> float:
        """The largest mean in hand over any `SPAN`."""
        return largest_mean([*self.steps, (time.monotonic(), self.open_calls)], SPAN)


async def work(rig: Rig) -> None:
    """The executor's part: each run makes one call, and ends with its reply."""
    while True:
        name, id, *_ = await rig.executor.commands.get()
        if name == "EXEC":
            rig.executor.callout(id)
        else:
            rig.executor.exit(id, result=b"done")


async def ask(rig: Rig) -> None:
    """Four requests at a time, for as long as it lives; then again with the next life."""
    while True:
        try:
            balancer = await rig.balancer()
            while not balancer.ended.is_set():
                answers = [balancer.ask("look", fields()) for _ in range(4)]
                for error, _ in await asyncio.gather(*map(asyncio.shield, answers)):
                    if error:
                        await asyncio.sleep(0.05)
        except (asyncio.CancelledError, OSError):
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            await asyncio.sleep(0.05)  # its life is over; the next is not there yet


@asynccontextmanager
async def fleet(
    processes: int, total: float, takes: float
) -> AsyncIterator[tuple[list[Rig], Counted]]:
    catalogue = await Counted(takes).start()
    with tempfile.TemporaryDirectory() as folder:
        rigs = []
        for at in range(processes):
            (Path(folder) / str(at)).mkdir()
            rigs.append(
                Rig(
                    Path(folder) / str(at),
                    name=f"n{at}",
                    downstream=catalogue,
                    calls_out=total / processes,
                    n_cores=4,
                    memory_kb=200000,
                    drain_grace=0,
                    stop_ms=1000,
                )
            )
        try:
            yield rigs, catalogue  # type: ignore[misc]
        finally:
            await catalogue.stop()


async def play(
    processes: int, total: float, takes: float, story: str, length: float, seed: int = 1
) -> tuple[float, int]:
    """The worst mean in hand and how many calls were made."""
    chance = Random(seed)
    async with fleet(processes, total, takes) as (rigs, catalogue), AsyncExitStack() as stack:
        tasks: list[asyncio.Task[Any]] = []
        began = time.monotonic()

        async def live(at: int, rig: Rig) -> None:
            if story == "waves":
                await asyncio.sleep(at % 3 * length / 6)
            await stack.enter_async_context(rig)
            rig.executor.state = "EMPTY"
            tasks.extend((asyncio.create_task(work(rig)), asyncio.create_task(ask(rig))))
            for when in (0.3, 0.6) if story == "restarts" else ():
                await asyncio.sleep(
                    max(0.0, began + when * length + chance.random() / 2 - time.monotonic())
                )
                await rig.kill()
                rig.executor.restart()
                await rig.begin()

        await asyncio.gather(*(live(at, rig) for at, rig in enumerate(rigs)))
        await asyncio.sleep(max(0.0, began + length - time.monotonic()))
        worst, made = catalogue.worst(), len(catalogue.calls)
        await leave(rigs, tasks)
    return worst, made


async def leave(rigs: list[Rig], tasks: list[asyncio.Task[Any]]) -> None:
    """All drain at the same time."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for rig in rigs:
        rig.process.terminate()
        for balancer in rig.balancers:
            balancer.close()
    # Here, not by each rig's end: asyncio loses the status of a child that is signalled as it ends.
    await within_timeout(asyncio.gather(*(rig.process.wait() for rig in rigs)))


async def start(rig: Rig) -> float:
    """Seconds from the process's start until it is listed and says that it is well."""
    while not rig.name_service.reports.empty():
        rig.name_service.reports.get_nowait()
    began = time.monotonic()
    await rig.begin()
    while not (await within_timeout(rig.name_service.reports.get())).endswith(" yes"):
        pass
    balancer = await rig.balancer()
    error, result = await within_timeout(balancer.health())
    assert error is None
    assert result[0] is True
    return time.monotonic() - began


async def ready(processes: int, busy: int, late: float, rounds: int) -> list[float]:
    """All start together, then most of them again, `rounds` times, while `busy` others keep the
    cores from them.
    """
    spans: list[float] = []
    others = [await asyncio.create_subprocess_exec(sys.executable, "-c", BUSY) for _ in range(busy)]
    try:
        async with fleet(processes, 24, 0.02) as (rigs, _), AsyncExitStack() as stack:
            for rig in rigs:
                await stack.enter_async_context(rig)
            tasks = [asyncio.create_task(task) for rig in rigs for task in (work(rig), ask(rig))]
            for _ in range(rounds):
                again = rigs[: max(1, processes * 4 // 5)]
                for rig in again:
                    await rig.kill()
                    rig.executor.restart()
                    if late:
                        rig.executor.may_join.clear()
                        asyncio.get_running_loop().call_later(late, rig.executor.may_join.set)
                spans += [
                    span - late for span in await asyncio.gather(*(start(rig) for rig in again))
                ]
            await leave(rigs, tasks)
    finally:
        for other in others:
            other.kill()
            await other.wait()
    return spans


async def main(what: str, story: str = "together") -> None:
    if what == "calls":
        print(
            "| story | processes | N | a call takes, ms | worst mean in 5 s, of five plays | N + 2 x root of N + 2 | calls made |"
        )
        print("| --- | --- | --- | --- | --- | --- | --- |")
        for processes in (20, 30):
            for total in (1, 2, 5, 24):
                plays = [
                    await play(processes, total, 0.05, story, 10.0, seed) for seed in range(1, 6)
                ]
                worst, made = zip(*plays, strict=True)
                print(
                    f"| {story} | {processes} | {total} | 50 | {max(worst):.2f} | {budget_with_tolerance(total):.1f} | "
                    f"{min(made)} to {max(made)} |",
                    flush=True,
                )
        return
    print(
        "| processes | cores kept busy by others | executor late by, s | starts | median, s | nine in ten within, s | longest, s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for processes, busy, late in ((10, 0, 0.0), (30, 0, 0.0), (30, 16, 0.0), (30, 0, 4.0)):
        spans = sorted(await ready(processes, busy, late, 3))
        print(
            f"| {processes} | {busy} | {late:g} | {len(spans)} | {statistics.median(spans):.2f} | "
            f"{spans[int(0.9 * (len(spans) - 1))]:.2f} | {spans[-1]:.2f} |",
            flush=True,
        )


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:] or ["calls"]))
