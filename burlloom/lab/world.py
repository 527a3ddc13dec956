"""What a world may be: a description that serves simulated time and loopback sockets alike.

Units stand in the names; pairs are ranges that each machine or message draws from. Written as
Jsonnet or JSON.
"""

from typing import Annotated, Any, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
Range = tuple[Annotated[float, Field(ge=0)], Annotated[float, Field(ge=0)]]
KINDS = {"inquiry": "retryable", "referenced": "dedup", "once": "fragile"}


class Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    @model_validator(mode="after")
    def ranges_in_order(self) -> Self:
        for name, value in self:
            if (
                isinstance(value, tuple)
                and len(value) == 2
                and all(isinstance(one, float) for one in value)
            ) and value[0] > value[1]:
                raise ValueError(f"{name}: from {value[0]:g} to {value[1]:g} is no range")
        return self


class Product(Part):
    """`work_ms` on one core of speed 1, lognormal with `cv`; `calls` each run makes on average."""

    name: str
    share: Positive
    work_ms: Positive
    sla_ms: Positive
    expiry_ms: Positive
    value: Positive
    kind: Literal["inquiry", "referenced", "once"] = "inquiry"
    cv: Positive = 0.8
    calls: Annotated[float, Field(ge=0, le=4)] = 1.0
    window_ms: Annotated[float, Field(ge=0)] = 0

    @model_validator(mode="after")
    def in_order(self) -> Self:
        if self.sla_ms > self.expiry_ms:
            raise ValueError(f"sla_ms {self.sla_ms:g} is past expiry_ms {self.expiry_ms:g}")
        if (self.kind == "referenced") != (self.window_ms > 0):
            raise ValueError("window_ms goes with kind 'referenced', and only with it")
        return self


class Tenant(Part):
    name: str
    share: Positive


class Machines(Part):
    """Each of `count` has `cores` of a speed drawn from `speed`; what is read costs `intake` of the
    mean work.

    Past `thrash_at` that want a core each, every further one takes `thrash` of a core's work away.
    A cold one starts at `cold_from` of its speed and is warm after `warm_s`. Past `tip_multiple` a
    core, for 3 s, it falls over. `first`: so many are up as it begins, and each is told its share
    of the calls below as if there were no more; 0: all.
    """

    count: Annotated[int, Field(ge=1, le=1000)]
    cores: Annotated[int, Field(ge=1, le=256)] = 6
    speed: Range = (0.8, 1.4)
    zones: Annotated[int, Field(ge=1, le=16)] = 1
    memory_mb: Positive = 28
    kb: Range = (32, 63)
    run_factor: Positive = 4
    intake: Share = 0.25
    thrash: Share = 0.3
    thrash_at: Positive = 3
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.25
    warm_s: Positive = 12
    tip_multiple: Annotated[float, Field(gt=1)] = 5
    stop_ms: Positive = 6000
    grace_ms: Annotated[float, Field(ge=0)] = 2500
    first: Annotated[int, Field(ge=0, le=1000)] = 0


class Callers(Part):
    """Balancers. `tries`: at most so many for each txn, 0: without limit. `heed`: the share of them
    that heeds what it is told; `checks`: the share that asks for health. Their lists are late by
    `notice_s`, or by `silent_s` where a machine went without a word. `copies_after_ms`: a second
    copy of what may run again, 0: none.
    """

    count: Annotated[int, Field(ge=1, le=1000)] = 4
    tries: Annotated[int, Field(ge=0)] = 0
    heed: Share = 0.9
    checks: Share = 0.5
    notice_s: Range = (1, 3.8)
    silent_s: Range = (4.8, 11)
    net_ms: Range = (0.3, 1.3)
    patience_ms: Positive = 1000
    copies_after_ms: Annotated[float, Field(ge=0)] = 0


class Below(Part):
    """The one catalogue: `slots` calls at once take `call_ms` each; more take longer in proportion.
    It survives `headroom` times its slots; each node is told its share of that.
    """

    call_ms: Positive = 25
    cv: Positive = 0.5
    slots: Annotated[int, Field(ge=1)] = 60
    headroom: Annotated[float, Field(ge=1)] = 2
    fail: Share = 0


class Load(Part):
    """First tries, as a share of what all cores can do. `low` and `high` bound a sawtooth, step or
    burst of `period_s`.
    """

    shape: Literal["constant", "sawtooth", "step", "burst", "ramp"] = "constant"
    low: Positive = 0.6
    high: Positive = 0.6
    period_s: Positive = 10
    noise: Share = 0

    @model_validator(mode="after")
    def in_order(self) -> Self:
        if self.low > self.high:
            raise ValueError(f"low {self.low:g} is over high {self.high:g}")
        return self


class Fault(Part):
    """From `at_s` for `for_s`. `part`: of the machines, callers or zones; `size`: how much, by
    kind.

    kill: those machines die and come back cold. join: `size` more machines start, one after the
    other; leave: the last `size` of those that are up are drained and stay away. release: they are
    drained in steps of `size` of all. cut: a zone's machines and callers hear nobody else. slow:
    the machines' cores, by `size`. below-slow, below-gone: the catalogue. restart: those callers
    start again at once, with all open tries lost. flood: `size` times the retries of one product,
    as from callers without limit. deaf: gauges are not told.
    """

    kind: Literal[
        "kill",
        "join",
        "leave",
        "release",
        "cut",
        "slow",
        "below-slow",
        "below-gone",
        "restart",
        "flood",
        "deaf",
    ]
    at_s: Annotated[float, Field(ge=0)]
    for_s: Annotated[float, Field(ge=0)] = 5
    part: Share = 0.2
    size: Positive = 3
    product: str | None = None


class World(Part):
    name: str = "a world"
    seconds: Positive = 30
    seed: int = 1
    machines: Machines
    products: Annotated[tuple[Product, ...], Field(min_length=1)]
    tenants: tuple[Tenant, ...] = ()
    callers: Callers = Callers()
    below: Below = Below()
    load: Load = Load()
    faults: tuple[Fault, ...] = ()

    @model_validator(mode="after")
    def names_known(self) -> Self:
        names = [product.name for product in self.products]
        if len(set(names)) < len(names):
            raise ValueError("products: a name stands twice")
        for at, fault in enumerate(self.faults):
            if fault.kind == "flood" and fault.product not in names:
                raise ValueError(
                    f"faults.{at}.product: {fault.product!r} is none of {', '.join(names)}"
                )
            if fault.at_s >= self.seconds:
                raise ValueError(
                    f"faults.{at}.at_s: {fault.at_s:g} is past the end, {self.seconds:g}"
                )
        return self

    @property
    def cost_ms(self) -> float:
        """Mean work of a txn on one core of speed 1, with its reading."""
        mean = self.work_ms
        return mean * (1 + self.machines.intake)

    @property
    def work_ms(self) -> float:
        total = sum(product.share for product in self.products)
        return sum(product.share * product.work_ms for product in self.products) / total

    def settings(self, servers: int) -> dict[str, Any]:
        """What the platform would tell a server here, in its own words."""
        machines, slots = self.machines, self.below.slots * self.below.headroom
        return {
            "servers": servers,
            "categories": [
                {
                    "name": product.name,
                    "worth": product.value,
                    "aim": int(product.sla_ms * 1000),
                    "late_share": 0.0,
                    "deadline": int(product.expiry_ms * 1000),
                    "idempotency": KINDS[product.kind],
                    "window": int(product.window_ms * 1000),
                }
                for product in self.products
            ],
            "extra": {
                "n_cores": machines.cores,
                "memory_kb": machines.memory_mb * 1000,
                "blowup": machines.run_factor,
                "key_kb": 1.0,
                "depends_on": "one_for_all",
                "calls_out": slots / servers,
                "calls_over": 5_000_000,
                "class_calls": [product.calls > 0 for product in self.products],
                "lingers": 200_000,
                "idle": 15_000_000,
                "say": "floor",
                "said_for": 1_000_000,
                "meters": ["core_use", "on_cores", "heap_share", "links"],
            },
            "rules": {
                "tip_multiple": machines.tip_multiple,
                "cold_from": machines.cold_from,
                "warm_up": int(machines.warm_s * 1e6),
                "drain_grace": int(machines.grace_ms * 1000),
            },
            "limits": {"retry_after": True, "max_retry_after": 1_000_000},
            "tenants": [{"name": tenant.name, "portion": tenant.share} for tenant in self.tenants],
        }
