"""A machine's cores, shared by all jobs on it, and the emulated executor that runs on them."""

import heapq
from asyncio import TimerHandle
from collections import deque
from collections.abc import Callable
from itertools import count

from ..executor import RunStatus
from .clock import SimulatedLoop
from .scenario import Machines


class Cores:
    """Processor sharing in virtual time.

    All jobs progress at the same rate, so a heap ordered by the virtual time at which each ends is
    enough: adding or removing a job costs a logarithm and one timer, not a pass over all jobs. Work
    is in core ms at speed 1.

    Attributes:
        speed: Speed of each core of the machine when warm; 1 is the reference.
        cold_start_s: Simulated time in s at which the machine started cold; long past for a warm
            one.
        slowdown: Factor by which a fault slows the cores.
        jobs: Heap of the virtual time at which a job ends, sequence number and callback.
        virtual_work_ms: Work in ms that a job present from the beginning would have received.
        updated_at_s: Simulated time in s up to which the other fields are computed.
        timer: Fires when the next job may end.
        busy_s: Time in s for which all cores together were busy; an idle half counts as half.
        busy_samples: Latest pairs of simulated time and `busy_s`, both in s.
    """

    def __init__(
        self, loop: SimulatedLoop, settings: Machines, speed: float, cold_start_s: float
    ) -> None:
        """Creates cores without jobs.

        Args:
            loop: Gives the time and timers.
            settings: Number of cores, contention and warm-up.
            speed: Speed of each core when warm.
            cold_start_s: Simulated time in s at which the machine started cold; long past for a
                warm one.
        """
        self.loop, self.settings, self.speed, self.cold_start_s = (
            loop,
            settings,
            speed,
            cold_start_s,
        )
        self.slowdown = 1.0
        self.jobs: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = count()
        self.virtual_work_ms, self.updated_at_s = 0.0, loop.now_s
        self.timer: TimerHandle | None = None
        self.busy_s = 0.0
        self.busy_samples: deque[tuple[float, float]] = deque(maxlen=6)

    def warm_up_share(self) -> float:
        """Returns the share of its full speed that the machine has; 1 when it is warm."""
        age_s = self.loop.now_s - self.cold_start_s
        return min(
            1.0,
            self.settings.cold_from + (1 - self.settings.cold_from) * age_s / self.settings.warm_s,
        )

    def job_rate_ms_per_s(self) -> float:
        """Returns the work in ms that each job receives per second."""
        jobs, settings = len(self.jobs), self.settings
        if not jobs:
            return 0.0
        contention = (
            settings.thrash
            * max(0.0, jobs / settings.cores - settings.thrash_at)
            / settings.thrash_at
        )
        return (
            1000
            * self.speed
            * self.warm_up_share()
            / self.slowdown
            * min(1.0, settings.cores / jobs)
            / (1 + contention)
        )

    def advance(self) -> None:
        """Brings virtual time and busy time up to the present."""
        elapsed_s = self.loop.now_s - self.updated_at_s
        if elapsed_s > 0:
            self.virtual_work_ms += elapsed_s * self.job_rate_ms_per_s()
            self.busy_s += (
                elapsed_s * min(len(self.jobs), self.settings.cores) / self.settings.cores
            )
            self.updated_at_s = self.loop.now_s

    def add_job(self, work_ms: float, on_done: Callable[[], None]) -> None:
        """Starts a job of `work_ms` core ms at speed 1, and calls `on_done` at its end."""
        self.advance()
        heapq.heappush(
            self.jobs, (self.virtual_work_ms + work_ms, next(self.sequence_numbers), on_done)
        )
        self.set_timer()

    def set_timer(self) -> None:
        """Sets the timer to the end of the first job."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.jobs:
            remaining_ms = max(0.0, self.jobs[0][0] - self.virtual_work_ms)
            # The rate rises during warm-up, so the estimate is corrected at least every 0.5 s.
            wait_s = remaining_ms / self.job_rate_ms_per_s()
            self.timer = self.loop.call_later(
                min(wait_s, 0.5) if self.warm_up_share() < 1 else wait_s, self.finish_due_jobs
            )

    def finish_due_jobs(self) -> None:
        """Ends the jobs that have received their work."""
        self.timer = None
        self.advance()
        while self.jobs and self.jobs[0][0] <= self.virtual_work_ms + 1e-6:
            heapq.heappop(self.jobs)[2]()
        self.set_timer()

    def sample_utilization(self) -> float:
        """Returns the cores' utilization since the sixth last call: half a second of server ticks."""
        self.advance()
        self.busy_samples.append((self.loop.now_s, self.busy_s))
        (first_s, first_busy_s), (last_s, last_busy_s) = self.busy_samples[0], self.busy_samples[-1]
        return (last_busy_s - first_busy_s) / (last_s - first_s) if last_s > first_s else 0.0

    def stop(self) -> None:
        """Drops all jobs without calling their callbacks."""
        if self.timer is not None:
            self.timer.cancel()
        self.jobs.clear()


class EmulatedRun:
    """A run on the executor.

    Attributes:
        request_id: The request that is run.
        started_at_s: Simulated time in s at which it started.
        remaining_pieces_ms: Work in core ms before each outstanding call and after the last one.
        body: The request's body.
        memory_kb: Memory that the run takes in addition to the request, in KB.
    """

    __slots__ = ("request_id", "started_at_s", "remaining_pieces_ms", "body", "memory_kb")

    def __init__(
        self,
        request_id: str,
        started_at_s: float,
        remaining_pieces_ms: list[float],
        body: bytes,
        memory_kb: float,
    ) -> None:
        """Creates a run; the arguments are its attributes."""
        (
            self.request_id,
            self.started_at_s,
            self.remaining_pieces_ms,
            self.body,
            self.memory_kb,
        ) = (request_id, started_at_s, remaining_pieces_ms, body, memory_kb)


class EmulatedExecutor:
    """Replaces a server's connection to its executor; messages arrive at once and none are lost.

    Attributes:
        runs: Runs in progress by request id.
        is_stopped: Whether the process has ended; nothing is reported any more.
        ignores_gauge_queries: Whether gauge queries get no answer; set by a fault.
        memory_kb: Memory that all runs take in addition to their requests, in KB.
    """

    def __init__(
        self,
        cores: Cores,
        describe_run: Callable[[str], tuple[float, int, float]],
        on_start: Callable[[str, bytes], None],
        on_end: Callable[[str, RunStatus, int, bytes], None],
        on_call: Callable[[str, bytes], None],
    ) -> None:
        """Creates an executor without runs.

        Args:
            cores: Run the work.
            describe_run: Returns the work in core ms, the number of calls and the memory in KB of a
                request's run.
            on_start: Takes the id and the body of a request whose run starts.
            on_end: Takes the id, the status, the duration in ns and the result of a run that ended.
            on_call: Takes the id and the call's body of a run that waits for a call.
        """
        self.cores, self.describe_run, self.on_start, self.on_end, self.on_call = (
            cores,
            describe_run,
            on_start,
            on_end,
            on_call,
        )
        self.runs: dict[str, EmulatedRun] = {}
        self.is_stopped = self.ignores_gauge_queries = False
        self.memory_kb = 0.0

    def start_run(
        self, request_id: str, request_class: str, body: bytes, is_idempotent: bool
    ) -> None:
        """Starts a run, unless the request runs already."""
        if request_id in self.runs:
            return
        work_ms, calls, memory_kb = self.describe_run(request_id)
        run = self.runs[request_id] = EmulatedRun(
            request_id,
            self.cores.loop.now_s,
            [work_ms / (calls + 1)] * (calls + 1),
            body,
            memory_kb,
        )
        self.memory_kb += memory_kb
        self.on_start(request_id, body)
        self.start_next_piece(run)

    def start_next_piece(self, run: EmulatedRun) -> None:
        """Has the cores do a run's work up to its next call or its end."""
        self.cores.add_job(run.remaining_pieces_ms.pop(), lambda: self.end_piece(run))

    def end_piece(self, run: EmulatedRun) -> None:
        """Reports that a run waits for a call, or that it has ended."""
        if self.is_stopped:
            return
        if run.remaining_pieces_ms:
            self.on_call(run.request_id, b"which")
            return
        del self.runs[run.request_id]
        self.memory_kb -= run.memory_kb
        duration_ns = int((self.cores.loop.now_s - run.started_at_s) * 1e9)
        self.on_end(
            run.request_id,
            RunStatus.PASSED,
            duration_ns,
            b"made for " + run.request_id.encode() + run.body,
        )

    def send_call_result(self, request_id: str, result: bytes) -> None:
        """Continues a run after its call."""
        if request_id in self.runs:
            self.start_next_piece(self.runs[request_id])

    def request_answered(self, request_id: str) -> None:
        """Kills the run of an answered request if it has a call left, as the executor does."""
        run = self.runs.get(request_id)
        if run is not None and run.remaining_pieces_ms and not self.is_stopped:
            self.cores.loop.call_soon(self.kill_run, request_id)

    def kill_run(self, request_id: str) -> None:
        """Ends a run and reports it as killed."""
        run = self.runs.pop(request_id, None)
        if run is not None and not self.is_stopped:
            self.memory_kb -= run.memory_kb
            self.on_end(
                request_id,
                RunStatus.KILLED,
                int((self.cores.loop.now_s - run.started_at_s) * 1e9),
                b"",
            )

    async def query_gauges(self, timeout_ns: int) -> list[float] | None:
        """Returns CPU utilization, jobs on the cores, heap share and links; None without an answer.

        The heap share and the links are constant.
        """
        if self.ignores_gauge_queries:
            return None
        return [self.cores.sample_utilization(), float(len(self.cores.jobs)), 0.1, 4.0]

    def stop(self) -> None:
        """Ends the process with all its runs; nothing is reported."""
        self.is_stopped = True
        self.cores.stop()
        self.runs.clear()
