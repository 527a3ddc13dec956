"""Creates all rules of one server and connects them to each other."""

from random import Random

from .admission_queue import AdmissionQueue
from .arrival_statistics import ArrivalStatistics
from .awake_clock import AwakeClock
from .concurrency_limit import ConcurrencyLimit
from .connection_limits import ConnectionIdleTimeout
from .downstream_calls import DownstreamCalls
from .drain import Drain
from .health import HealthMonitor
from .idempotency import IdempotencyKeys
from .lifecycle import State, TrackedRequest
from .load_shedding import LoadShedding
from .memory_budget import MemoryBudget
from .model import Effects, ServerSettings
from .run_time_estimates import RunTimeEstimates
from .service_levels import ServiceLevels
from .slow_start import SlowStart

__all__ = ["RuleSet"]


class RuleSet:
    """The rules of one server, each with its state.

    Attributes:
        settings: The server's settings.
        effects: Carries out the decisions.
        random: Returns a draw from 0 to below 1; one sequence for all rules.
        counts: The number of requests in each state.
        live_requests: The requests that have not ended, by reference.
        clock: Measures time without the pauses of the process.
        drain: The planned stop of the server.
        service_levels: The service level in force.
        arrivals: Recent arrivals, rejections and read lag.
        estimates: Estimates of run times.
        memory: The budget of the executor's memory.
        queue: The admission queue.
        idempotency: Original attempts and idempotency keys.
        concurrency: The run limit.
        shedding: Pressure and the priority floor.
        health: Detects hung work and failing runs.
        idle_timeout: The idle timeout of connections.
        calls: Calls to the downstream dependency.
    """

    def __init__(self, settings: ServerSettings, seed: int, effects: Effects, now: int) -> None:
        """Creates the rules of a server that has served nothing yet.

        Args:
            settings: The server's settings.
            seed: Seeds all random draws.
            effects: Carries out the decisions.
            now: When the executor was started, in ns.
        """
        self.settings = settings
        self.effects = effects
        self.random = Random(seed).random
        self.counts = [0] * len(State)
        self.live_requests: dict[int, TrackedRequest] = {}
        self.clock = AwakeClock(now)
        self.drain = Drain()
        self.service_levels = ServiceLevels()
        self.arrivals = ArrivalStatistics(settings)
        self.estimates = RunTimeEstimates(settings)
        self.memory = MemoryBudget(settings)
        self.queue = AdmissionQueue(settings, self.clock)
        self.idempotency = IdempotencyKeys(settings, self.memory, effects)
        slow_start = SlowStart(settings, now)
        self.concurrency = ConcurrencyLimit(settings, self.counts, slow_start)
        self.shedding = LoadShedding(settings, self.arrivals, slow_start.speed_share(now))
        self.health = HealthMonitor(settings, self.counts, self.arrivals, now)
        self.idle_timeout = ConnectionIdleTimeout(settings, effects)
        self.calls = DownstreamCalls(
            settings, self.counts, self.queue, self.service_levels, self.drain, now, self.random
        )
