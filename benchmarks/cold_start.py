"""Measures server processes that start together, in waves, or restart during their warm-up.

The fakes of their peers run on loopback. `calls` prints the open calls of all processes together at
the downstream dependency that they share. `ready` prints how long a process takes from its start
until the name service lists it and it answers.

    python benchmarks/cold_start.py calls together   # or waves, or restarts; five runs of each size
    python benchmarks/cold_start.py ready            # with busy cores, and with an executor that connects late
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

AVERAGING_WINDOW_S = 5.0  # the call budget limits the mean number of open calls over this window
BUSY_LOOP = "while True: pass"  # keeps one core busy while the servers start


class CountingCatalogue(Catalogue):
    """The downstream dependency; `steps` holds each change of the number of open calls.

    Args:
        call_s: How long each call takes, in seconds.
    """

    def __init__(self, call_s: float) -> None:
        super().__init__(self.answer)
        self.call_s, self.steps = call_s, [(time.monotonic(), 0)]

    async def answer(self, id: str) -> Reply:
        """Answers a call after `call_s` seconds."""
        self.steps.append((time.monotonic(), self.open_calls))
        try:
            await asyncio.sleep(self.call_s)
        finally:
            self.steps.append((time.monotonic(), self.open_calls - 1))
        return 200, False, b"here"

    def largest_mean_open_calls(self) -> float:
        """Returns the largest mean number of open calls over any `AVERAGING_WINDOW_S`."""
        return largest_mean([*self.steps, (time.monotonic(), self.open_calls)], AVERAGING_WINDOW_S)


async def execute_requests(rig: Rig) -> None:
    """Acts as the executor: each run makes one call, and ends when the call is answered."""
    while True:
        name, id, *_ = await rig.executor.commands.get()
        if name == "EXEC":
            rig.executor.callout(id)
        else:
            rig.executor.exit(id, result=b"done")


async def send_requests(rig: Rig) -> None:
    """Keeps four requests open until cancelled, and reconnects to each new process of the rig."""
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
            await asyncio.sleep(0.05)  # the process has ended; the next one does not listen yet


@asynccontextmanager
async def run_fleet(
    processes: int, total: float, call_s: float
) -> AsyncIterator[tuple[list[Rig], CountingCatalogue]]:
    """Yields the rigs of a fleet, whose processes are not started, and their shared dependency.

    Args:
        processes: The number of server processes.
        total: The call budget of the whole fleet, in open calls; each process gets an equal share.
        call_s: How long each call takes, in seconds.
    """
    catalogue = await CountingCatalogue(call_s).start()
    with tempfile.TemporaryDirectory() as folder:
        rigs = []
        for index in range(processes):
            (Path(folder) / str(index)).mkdir()
            rigs.append(
                Rig(
                    Path(folder) / str(index),
                    name=f"n{index}",
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


async def measure_open_calls(
    processes: int, total: float, call_s: float, story: str, duration_s: float, seed: int = 1
) -> tuple[float, int]:
    """Runs a fleet, and measures its open calls at the shared dependency.

    Args:
        processes: The number of server processes.
        total: The call budget of the whole fleet, in open calls.
        call_s: How long each call takes, in seconds.
        story: "together": all start at once; "waves": in three waves; "restarts": all start at
            once, and each is killed and restarted twice.
        duration_s: How long the fleet runs, in seconds.
        seed: The seed of the times of the restarts.

    Returns:
        The largest mean number of open calls over any `AVERAGING_WINDOW_S`, and the number of calls.
    """
    random = Random(seed)
    async with run_fleet(processes, total, call_s) as (rigs, catalogue), AsyncExitStack() as stack:
        tasks: list[asyncio.Task[Any]] = []
        started_at = time.monotonic()

        async def run_process(index: int, rig: Rig) -> None:
            if story == "waves":
                await asyncio.sleep(index % 3 * duration_s / 6)
            await stack.enter_async_context(rig)
            rig.executor.state = "EMPTY"
            tasks.extend(
                (
                    asyncio.create_task(execute_requests(rig)),
                    asyncio.create_task(send_requests(rig)),
                )
            )
            for share in (0.3, 0.6) if story == "restarts" else ():
                await asyncio.sleep(
                    max(
                        0.0,
                        started_at + share * duration_s + random.random() / 2 - time.monotonic(),
                    )
                )
                await rig.kill()
                rig.executor.restart()
                await rig.begin()

        await asyncio.gather(*(run_process(index, rig) for index, rig in enumerate(rigs)))
        await asyncio.sleep(max(0.0, started_at + duration_s - time.monotonic()))
        largest, call_count = catalogue.largest_mean_open_calls(), len(catalogue.calls)
        await stop_processes(rigs, tasks)
    return largest, call_count


async def stop_processes(rigs: list[Rig], tasks: list[asyncio.Task[Any]]) -> None:
    """Cancels the tasks, and lets all processes drain and end at the same time."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for rig in rigs:
        rig.process.terminate()
        for balancer in rig.balancers:
            balancer.close()
    # The exits are awaited here rather than in each rig's `__aexit__`, because asyncio loses the
    # status of a child that is signalled while it ends.
    await within_timeout(asyncio.gather(*(rig.process.wait() for rig in rigs)))


async def measure_start_s(rig: Rig) -> float:
    """Returns the seconds from a process's start until it is listed and reports good health."""
    while not rig.name_service.reports.empty():
        rig.name_service.reports.get_nowait()
    started_at = time.monotonic()
    await rig.begin()
    while not (await within_timeout(rig.name_service.reports.get())).endswith(" yes"):
        pass
    balancer = await rig.balancer()
    error, result = await within_timeout(balancer.health())
    assert error is None
    assert result[0] is True
    return time.monotonic() - started_at


async def measure_ready_s(
    processes: int, busy_cores: int, executor_delay_s: float, rounds: int
) -> list[float]:
    """Starts all processes together, then kills and restarts four in five of them in each round.

    Args:
        processes: The number of server processes.
        busy_cores: The number of processes beside them that each keep a core busy.
        executor_delay_s: How much later than the server the executor connects, in seconds.
        rounds: The number of rounds.

    Returns:
        The seconds until ready of each restart, less `executor_delay_s`.
    """
    ready_s: list[float] = []
    busy_processes = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", BUSY_LOOP)
        for _ in range(busy_cores)
    ]
    try:
        async with run_fleet(processes, 24, 0.02) as (rigs, _), AsyncExitStack() as stack:
            for rig in rigs:
                await stack.enter_async_context(rig)
            tasks = [
                asyncio.create_task(task)
                for rig in rigs
                for task in (execute_requests(rig), send_requests(rig))
            ]
            for _ in range(rounds):
                restarted = rigs[: max(1, processes * 4 // 5)]
                for rig in restarted:
                    await rig.kill()
                    rig.executor.restart()
                    if executor_delay_s:
                        rig.executor.may_join.clear()
                        asyncio.get_running_loop().call_later(
                            executor_delay_s, rig.executor.may_join.set
                        )
                ready_s += [
                    start_s - executor_delay_s
                    for start_s in await asyncio.gather(
                        *(measure_start_s(rig) for rig in restarted)
                    )
                ]
            await stop_processes(rigs, tasks)
    finally:
        for process in busy_processes:
            process.kill()
            await process.wait()
    return ready_s


async def main(measurement: str, story: str = "together") -> None:
    """Prints the table of a measurement: `calls` or `ready`."""
    if measurement == "calls":
        print(
            "| story | processes | N | a call takes, ms | worst mean in 5 s, of five plays | N + 2 x root of N + 2 | calls made |"
        )
        print("| --- | --- | --- | --- | --- | --- | --- |")
        for processes in (20, 30):
            for total in (1, 2, 5, 24):
                results = [
                    await measure_open_calls(processes, total, 0.05, story, 10.0, seed)
                    for seed in range(1, 6)
                ]
                largest, call_counts = zip(*results, strict=True)
                print(
                    f"| {story} | {processes} | {total} | 50 | {max(largest):.2f} | {budget_with_tolerance(total):.1f} | "
                    f"{min(call_counts)} to {max(call_counts)} |",
                    flush=True,
                )
        return
    print(
        "| processes | cores kept busy by others | executor late by, s | starts | median, s | nine in ten within, s | longest, s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for processes, busy_cores, executor_delay_s in (
        (10, 0, 0.0),
        (30, 0, 0.0),
        (30, 16, 0.0),
        (30, 0, 4.0),
    ):
        ready_s = sorted(await measure_ready_s(processes, busy_cores, executor_delay_s, 3))
        print(
            f"| {processes} | {busy_cores} | {executor_delay_s:g} | {len(ready_s)} | {statistics.median(ready_s):.2f} | "
            f"{ready_s[int(0.9 * (len(ready_s) - 1))]:.2f} | {ready_s[-1]:.2f} |",
            flush=True,
        )


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:] or ["calls"]))
