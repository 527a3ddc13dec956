"""Client requests of an open load: arrivals do not wait for answers, so slow servers get no less."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import exp, log, sqrt

from numpy.random import Generator

from .scenario import Load, Scenario


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request and its state; a balancer may send it in several attempts.

    Attributes:
        number: Sequence number, from 1.
        arrived_at_s: Simulated time in s at which the client sent it.
        product: Index of its product.
        tenant: Index of its tenant; 0 where the scenario has none.
        work_ms: Work of its run on one core of speed 1, in ms.
        cost_hint_ms: The caller's estimate of `work_ms`.
        call_count: Downstream calls of its run.
        memory_kb: Memory that it holds from its reading to its answer, in KB.
        priority: Priority from 0 to under 1.
        attempt_count: Attempts sent so far.
        tried_nodes: Indexes of the nodes to which an attempt was sent.
        completed_at_s: Simulated time in s at which its result came; below 0: none has come.
        is_finished: Whether it was completed or given up.
    """

    number: int
    arrived_at_s: float
    product: int
    tenant: int
    work_ms: float
    cost_hint_ms: float
    call_count: int
    memory_kb: float
    priority: float
    attempt_count: int = 0
    tried_nodes: set[int] = field(default_factory=set)
    completed_at_s: float = -1.0
    is_finished: bool = False

    @property
    def idempotency_key(self) -> str:
        """Key that all attempts of the request share."""
        return f"{self.number:032x}"

    @property
    def body(self) -> bytes:
        """Request body; differs between requests."""
        return self.number.to_bytes(16, "big")


def load_at(load: Load, time_s: float) -> float:
    """Returns the load at a time in s, as a share of what all cores can do, without noise."""
    phase = time_s % load.period_s / load.period_s
    match load.shape:
        case "sawtooth":  # linear up, then linear down
            return load.low + (load.high - load.low) * (1 - abs(2 * phase - 1))
        case "step":
            return load.high if phase >= 0.5 else load.low
        case "burst":  # the last tenth of each period
            return load.high if phase >= 0.9 else load.low
        case "ramp":
            return load.low + (load.high - load.low) * min(1.0, time_s / load.period_s)
    return load.high


def generate_requests(
    scenario: Scenario, capacity_ms_per_s: float, random: Generator
) -> Iterator[ClientRequest]:
    """Yields the requests of a scenario in the order of their arrival.

    Arrivals are a Poisson process at the highest rate, thinned to the load's shape. Priorities are
    random within a product; the products' bands are ordered by value.

    Args:
        scenario: Gives the load, the products and the tenants.
        capacity_ms_per_s: Work in core ms at speed 1 that all cores do in a second.
        random: Source of all draws.
    """
    load, products = scenario.load, scenario.products
    max_rate_per_s = load.high * (1 + load.noise) * capacity_ms_per_s / scenario.mean_cost_ms
    shares = [product.share for product in products]
    total, tenants = sum(shares), [tenant.share for tenant in scenario.tenants]
    by_value = sorted(range(len(products)), key=lambda index: products[index].value)
    bands = {product: band for band, product in enumerate(by_value)}
    time_s, number = 0.0, 0
    while True:
        time_s += random.exponential(1 / max_rate_per_s)
        if time_s >= scenario.seconds:
            return
        target = load_at(load, time_s) * (1 + load.noise * random.uniform(-1, 1))
        if random.random() * load.high * (1 + load.noise) > target:
            continue
        index = index_at(random.random() * total, shares)
        product = products[index]
        call_count = int(product.calls) + (random.random() < product.calls % 1)
        work_ms = draw_lognormal(random, product.work_ms, product.cv)
        number += 1
        yield ClientRequest(
            number,
            time_s,
            index,
            index_at(random.random() * sum(tenants), tenants) if tenants else 0,
            work_ms,
            work_ms * draw_lognormal(random, 1.0, 0.3),
            call_count,
            random.uniform(*scenario.machines.kb),
            min(0.9999, (bands[index] + random.random()) / len(products)),
        )


def index_at(point: float, weights: list[float]) -> int:
    """Returns the index of the weight in which a point from 0 to the sum of all weights lies."""
    for index, weight in enumerate(weights):
        point -= weight
        if point < 0:
            return index
    return len(weights) - 1


def draw_lognormal(random: Generator, mean: float, cv: float) -> float:
    """Draws from a lognormal distribution with this mean and coefficient of variation."""
    sigma = sqrt(log(1 + cv * cv))
    return mean * exp(sigma * random.standard_normal() - sigma * sigma / 2)
