"""All rules of one server, made once and wired to each other."""

from random import Random

from .admission_queue import AdmissionQueue
from .arrival_statistics import ArrivalStatistics
from .awake_clock import AwakeClock
from .concurrency_limit import ConcurrencyLimit
from .connection_limits import ConnectionIdleTime
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
    """The state of one server's decisions, by rule.

    Attributes:
        settings: of the server.
        effects: what carries out the decisions.
        random: draws from 0 to under 1; one sequence for all rules.
        counts: how many requests are in each state.
        live_requests: the requests that are not over, by reference.
        clock: time without the pauses of the process.
        drain: the end of the server.
        service_levels: the service level in force.
        arrivals: what arrived and was rejected of late.
        estimates: how long runs take.
        memory: the executor's memory.
        queue: the admission queue.
        idempotency: original attempts and idempotency keys.
        concurrency: how many may run.
        shedding: pressure and the priority floor.
        health: hung work and failing runs.
        idle_time: how long connections may idle.
        calls: calls to the downstream dependency.
    """

    def __init__(self, settings: ServerSettings, seed: int, effects: Effects, now: int) -> None:
        """Makes the rules of a server that has served nothing yet.

        Args:
            settings: of the server.
            seed: of all random draws.
            effects: what carries out the decisions.
            now: when the executor was started, in ns.
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
        self.idle_time = ConnectionIdleTime(settings, effects)
        self.calls = DownstreamCalls(
            settings, self.counts, self.queue, self.service_levels, self.drain, now, self.random
        )
