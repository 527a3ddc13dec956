"""A machine's cores, shared by all that wants them, and the executor that owns them."""

import heapq
from asyncio import TimerHandle
from collections import deque
from collections.abc import Callable
from itertools import count

from ..executor import RunStatus
from .clock import SimulatedLoop
from .world import Machines

NEVER = 1e18


class Cores:
    """Processor sharing in virtual time: all jobs move at one rate, so a heap by where each ends
    holds them.

    One more or one less costs a logarithm and one timer, not a look at all that run. Work is in
    core ms at speed 1.
    """

    def __init__(self, loop: SimulatedLoop, told: Machines, speed: float, born: float) -> None:
        """`born`: s of simulated time at which it came up cold; long past for a warm one."""
        self.loop, self.told, self.speed, self.born = loop, told, speed, born
        self.slow = 1.0
        self.jobs: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()
        self.virtual, self.last = 0.0, loop.now
        self.timer: TimerHandle | None = None
        self.busy = 0.0  # s in which a core worked, of all cores, less those idle
        self.samples: deque[tuple[float, float]] = deque(maxlen=6)

    def warmth(self) -> float:
        age = self.loop.now - self.born
        return min(1.0, self.told.cold_from + (1 - self.told.cold_from) * age / self.told.warm_s)

    def rate(self) -> float:
        """ms of work that each job gets done in a second."""
        jobs, told = len(self.jobs), self.told
        if not jobs:
            return 0.0
        lost = told.thrash * max(0.0, jobs / told.cores - told.thrash_at) / told.thrash_at
        return (
            1000 * self.speed * self.warmth() / self.slow * min(1.0, told.cores / jobs) / (1 + lost)
        )

    def catch_up(self) -> None:
        span = self.loop.now - self.last
        if span > 0:
            self.virtual += span * self.rate()
            self.busy += span * min(len(self.jobs), self.told.cores) / self.told.cores
            self.last = self.loop.now

    def add(self, work: float, done: Callable[[], None]) -> None:
        self.catch_up()
        heapq.heappush(self.jobs, (self.virtual + work, next(self.numbers), done))
        self.aim()

    def aim(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.jobs:
            left = max(0.0, self.jobs[0][0] - self.virtual)
            # While it warms up its rate rises: looked at again before long.
            wait = left / self.rate()
            self.timer = self.loop.call_later(
                min(wait, 0.5) if self.warmth() < 1 else wait, self.due
            )

    def due(self) -> None:
        self.timer = None
        self.catch_up()
        while self.jobs and self.jobs[0][0] <= self.virtual + 1e-6:
            heapq.heappop(self.jobs)[2]()
        self.aim()

    def use(self) -> float:
        """The busy part of the cores, over the last half second of rounds."""
        self.catch_up()
        self.samples.append((self.loop.now, self.busy))
        (then, before), (now, busy) = self.samples[0], self.samples[-1]
        return (busy - before) / (now - then) if now > then else 0.0

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.jobs.clear()


class Run:
    __slots__ = ("id", "began", "pieces", "body", "kb")

    def __init__(self, id: str, began: float, pieces: list[float], body: bytes, kb: float) -> None:
        self.id, self.began, self.pieces, self.body, self.kb = id, began, pieces, body, kb


class Executor:
    """Stands where the server has its link: the same calls in, the same notices out, at once and
    without loss.
    """

    def __init__(
        self,
        cores: Cores,
        work: Callable[[str], tuple[float, int, float]],
        ran: Callable[[str, bytes], None],
        ended: Callable[[str, RunStatus, int, bytes], None],
        at_call: Callable[[str, bytes], None],
    ) -> None:
        """`work` gives a txn's work in core ms, its calls and its memory in KB."""
        self.cores, self.work, self.ran, self.ended, self.at_call = cores, work, ran, ended, at_call
        self.runs: dict[str, Run] = {}
        self.dead = self.deaf = False
        self.held = 0.0  # KB that runs take

    def start_run(self, id: str, product: str, body: bytes) -> None:
        if id in self.runs:
            return
        work, calls, kb = self.work(id)
        run = self.runs[id] = Run(
            id, self.cores.loop.now, [work / (calls + 1)] * (calls + 1), body, kb
        )
        self.held += kb
        self.ran(id, body)
        self.go(run)

    def go(self, run: Run) -> None:
        self.cores.add(run.pieces.pop(), lambda: self.paused(run))

    def paused(self, run: Run) -> None:
        if self.dead:
            return
        if run.pieces:
            self.at_call(run.id, b"which")
            return
        del self.runs[run.id]
        self.held -= run.kb
        took = int((self.cores.loop.now - run.began) * 1e9)
        self.ended(run.id, RunStatus.PASSED, took, b"made for " + run.id.encode() + run.body)

    def send_call_result(self, id: str, reply: bytes) -> None:
        if id in self.runs:
            self.go(self.runs[id])

    def answered(self, id: str) -> None:
        """A run at a call whose txn is over ends there, as the platform's does."""
        run = self.runs.get(id)
        if run is not None and run.pieces and not self.dead:
            self.cores.loop.call_soon(self.stop_run, id)

    def stop_run(self, id: str) -> None:
        run = self.runs.pop(id, None)
        if run is not None and not self.dead:
            self.held -= run.kb
            self.ended(id, RunStatus.KILLED, int((self.cores.loop.now - run.began) * 1e9), b"")

    async def query_gauges(self, patience: int) -> list[float] | None:
        if self.deaf:
            return None
        return [self.cores.use(), float(len(self.cores.jobs)), 0.1, 4.0]

    def stop(self) -> None:
        self.dead = True
        self.cores.stop()
        self.runs.clear()
