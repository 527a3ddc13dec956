"""First tries, drawn ahead: arrivals that wait for no answer, so a slow fleet is not asked less."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import exp, log, sqrt

from numpy.random import Generator

from .world import Load, World


@dataclass(slots=True, eq=False)
class Order:
    """A client's wish, and what became of it. Times in s of simulated time, work in core ms at
    speed 1.
    """

    number: int
    at: float
    product: int
    tenant: int
    work: float
    hint: float
    calls: int
    kb: float
    rank: float
    tries: int = 0
    tried: set[int] = field(default_factory=set)
    settled_at: float = -1.0
    over: bool = False

    @property
    def mark(self) -> str:
        return f"{self.number:032x}"

    @property
    def body(self) -> bytes:
        return self.number.to_bytes(16, "big")


def level(load: Load, at: float) -> float:
    """The share of what all cores can do that is asked at this time."""
    phase = at % load.period_s / load.period_s
    match load.shape:
        case "sawtooth":  # up and down again, in straight lines
            return load.low + (load.high - load.low) * (1 - abs(2 * phase - 1))
        case "step":
            return load.high if phase >= 0.5 else load.low
        case "burst":  # a tenth of each period
            return load.high if phase >= 0.9 else load.low
        case "ramp":
            return load.low + (load.high - load.low) * min(1.0, at / load.period_s)
    return load.high


def orders(world: World, capacity: float, chance: Generator) -> Iterator[Order]:
    """`capacity`: core ms at speed 1 that the fleet does in a second. Poisson, thinned to the
    load's shape.
    """
    load, products = world.load, world.products
    most = load.high * (1 + load.noise) * capacity / world.cost_ms
    shares = [product.share for product in products]
    total, tenants = sum(shares), [tenant.share for tenant in world.tenants]
    by_value = sorted(range(len(products)), key=lambda one: products[one].value)
    band = {product: place for place, product in enumerate(by_value)}
    at, number = 0.0, 0
    while True:
        at += chance.exponential(1 / most)
        if at >= world.seconds:
            return
        wanted = level(load, at) * (1 + load.noise * chance.uniform(-1, 1))
        if chance.random() * load.high * (1 + load.noise) > wanted:
            continue
        product = drawn(chance.random() * total, shares)
        told = products[product]
        calls = int(told.calls) + (chance.random() < told.calls % 1)
        work = lognormal(chance, told.work_ms, told.cv)
        number += 1
        yield Order(
            number,
            at,
            product,
            drawn(chance.random() * sum(tenants), tenants) if tenants else 0,
            work,
            work * lognormal(chance, 1.0, 0.3),
            calls,
            chance.uniform(*world.machines.kb),
            min(0.9999, (band[product] + chance.random()) / len(products)),
        )


def drawn(point: float, shares: list[float]) -> int:
    for place, share in enumerate(shares):
        point -= share
        if point < 0:
            return place
    return len(shares) - 1


def lognormal(chance: Generator, mean: float, cv: float) -> float:
    spread = sqrt(log(1 + cv * cv))
    return mean * exp(spread * chance.standard_normal() - spread * spread / 2)
