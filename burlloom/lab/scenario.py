"""Settings of a simulation: machines, products, callers, downstream service, load and faults.

The field names are the keys of scenario files, which are written as Jsonnet or JSON. Names carry
their units (`_ms`, `_s`, `_mb`). A pair is a range (least, most) from which a value is drawn
uniformly for each machine or message.
"""

from typing import Annotated, Any, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
Range = tuple[Annotated[float, Field(ge=0)], Annotated[float, Field(ge=0)]]
IDEMPOTENCY_BY_KIND = {"inquiry": "retryable", "referenced": "dedup", "once": "fragile"}


class ScenarioModel(BaseModel):
    """A part of a scenario file; rejects unknown keys and ranges in the wrong order."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    @model_validator(mode="after")
    def check_ranges(self) -> Self:
        """Rejects a pair of numbers whose first is greater than its second."""
        for name, value in self:
            if (
                isinstance(value, tuple)
                and len(value) == 2
                and all(isinstance(bound, float) for bound in value)
            ) and value[0] > value[1]:
                raise ValueError(
                    f"{name}: lower bound {value[0]:g} exceeds upper bound {value[1]:g}"
                )
        return self


class Product(ScenarioModel):
    """A class of requests.

    Attributes:
        name: Product name in requests and settings.
        share: Weight of the product among all requests.
        work_ms: Mean work of a run on one core of speed 1, in ms; lognormally distributed.
        sla_ms: Latency objective in ms from the client's first attempt.
        expiry_ms: Time in ms after which an answer has no value; at least `sla_ms`.
        value: Value of a request answered within `sla_ms`, per ms of its work.
        kind: "inquiry": may run more than once. "referenced": carries an idempotency key. "once":
            must not run again and has no key.
        cv: Coefficient of variation of the work.
        calls: Mean number of downstream calls of a run.
        window_ms: Idempotency window in ms; above 0 for "referenced" only.
    """

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
    def check_times(self) -> Self:
        """Rejects an objective past the expiry, and a window that does not fit the kind."""
        if self.sla_ms > self.expiry_ms:
            raise ValueError(f"sla_ms {self.sla_ms:g} exceeds expiry_ms {self.expiry_ms:g}")
        if (self.kind == "referenced") != (self.window_ms > 0):
            raise ValueError(
                "window_ms must be above 0 for kind 'referenced' and 0 for all other kinds"
            )
        return self


class Tenant(ScenarioModel):
    """A tenant and its weight among all requests; the servers are configured with the same share."""

    name: str
    share: Positive


class Machines(ScenarioModel):
    """The machines, each with one server process.

    Attributes:
        count: Number of machines.
        cores: Cores of each machine.
        speed: Range of the cores' speed, drawn for each machine.
        zones: Number of zones over which the machines are spread in turn.
        memory_mb: Memory of each machine in MB.
        kb: Range of the memory of a request that was read and not yet answered, in KB.
        run_factor: Memory of a request while it runs, as a multiple of its memory before the run.
        intake: Work to read a request, as a share of the mean work of a run.
        thrash: Loss from contention: the cores' rate is divided by 1 + `thrash` * excess, where
            excess is the number of jobs per core above `thrash_at`, as a multiple of `thrash_at`.
        thrash_at: Jobs per core above which contention costs work.
        cold_from: Share of its speed at which a cold machine starts.
        warm_s: Time in s until a cold machine has its full speed.
        tip_multiple: Runnable jobs per core that a warm machine survives, averaged over 3 s.
        stop_ms: Time in ms that a draining process has until it is stopped.
        grace_ms: Time in ms after the start of a drain in which requests are still run.
        first: Number of machines that are up at the start; 0: all. Each server's share of the
            downstream calls is configured for this number of servers.
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


class Callers(ScenarioModel):
    """The load balancers that send requests to the servers.

    Attributes:
        count: Number of balancers.
        tries: Most attempts for each request; 0: no limit.
        heed: Share of the balancers that follow load reports, retry delays and final rejections.
        checks: Share of the balancers that check the servers' health.
        notice_s: Range of the delay in s until the balancers' lists follow a server's report.
        silent_s: The same delay where a server's process ended without a report.
        net_ms: Range of the one-way network delay in ms.
        patience_ms: Time in ms after which an attempt without a connection is given up.
        copies_after_ms: Time in ms after which an unanswered "inquiry" is sent a second time; 0:
            never.
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


class Downstream(ScenarioModel):
    """The one downstream service, which all servers call.

    Attributes:
        call_ms: Mean duration of a call in ms while at most `slots` are in progress; above that,
            calls take longer in proportion.
        cv: Coefficient of variation of the duration; lognormally distributed.
        slots: Calls in progress that the service handles without delay.
        headroom: The service survives this multiple of its slots; each server is configured with
            its share of that.
        fail: Share of calls that fail.
    """

    call_ms: Positive = 25
    cv: Positive = 0.5
    slots: Annotated[int, Field(ge=1)] = 60
    headroom: Annotated[float, Field(ge=1)] = 2
    fail: Share = 0


class Load(ScenarioModel):
    """The clients' request rate over time, as a share of what all cores can do.

    Attributes:
        shape: Course over time. "constant": `high`. "sawtooth": from `low` to `high` and back in
            each period. "step": `high` in the second half of each period. "burst": `high` in the
            last tenth of each period. "ramp": from `low` to `high` in the first period, then
            `high`.
        low: Least share of the capacity.
        high: Greatest share of the capacity.
        period_s: Length of a period in s.
        noise: Greatest relative deviation from the shape, drawn for each request.
    """

    shape: Literal["constant", "sawtooth", "step", "burst", "ramp"] = "constant"
    low: Positive = 0.6
    high: Positive = 0.6
    period_s: Positive = 10
    noise: Share = 0

    @model_validator(mode="after")
    def check_bounds(self) -> Self:
        """Rejects a `low` above `high`."""
        if self.low > self.high:
            raise ValueError(f"low {self.low:g} exceeds high {self.high:g}")
        return self


class Fault(ScenarioModel):
    """A fault that is injected for a time.

    Attributes:
        kind: What happens:
            kill: the processes of some machines end without a drain and start again cold.
            join: `size` further machines start, spread over `for_s`.
            leave: the last `size` machines that are up are drained and do not return.
            release: some machines are drained and restarted in batches of `size` of all machines.
            cut: one zone's machines and callers exchange no messages with other zones.
            slow: the cores of some machines are slower by the factor `size`.
            below-slow: downstream calls take `size` times as long.
            below-gone: the downstream service is unreachable.
            restart: some callers restart at once and lose their open attempts.
            flood: each request of `product` is followed by `size` retries, as from callers without
                a retry limit.
            deaf: the executors of some machines do not answer gauge queries.
        at_s: Start in s of simulated time.
        for_s: Duration in s.
        part: Share of the machines or callers that are affected.
        size: Strength; its meaning depends on `kind`.
        product: Product of a flood.
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


class Scenario(ScenarioModel):
    """One simulation: all that it consists of, its length and its random seed.

    Attributes:
        name: Name in results.
        seconds: Simulated time in s in which requests arrive.
        seed: Seed of all random draws.
        machines: The machines.
        products: The classes of requests.
        tenants: The tenants; none: requests carry no tenant.
        callers: The load balancers.
        below: The downstream service.
        load: The request rate.
        faults: The faults that are injected.
    """

    name: str = "a world"
    seconds: Positive = 30
    seed: int = 1
    machines: Machines
    products: Annotated[tuple[Product, ...], Field(min_length=1)]
    tenants: tuple[Tenant, ...] = ()
    callers: Callers = Callers()
    below: Downstream = Downstream()
    load: Load = Load()
    faults: tuple[Fault, ...] = ()

    @model_validator(mode="after")
    def check_names_and_times(self) -> Self:
        """Rejects duplicate products, unknown products of floods, and faults past the end."""
        names = [product.name for product in self.products]
        if len(set(names)) < len(names):
            raise ValueError("products: a name occurs more than once")
        for index, fault in enumerate(self.faults):
            if fault.kind == "flood" and fault.product not in names:
                raise ValueError(
                    f"faults.{index}.product: {fault.product!r} is not one of {', '.join(names)}"
                )
            if fault.at_s >= self.seconds:
                raise ValueError(
                    f"faults.{index}.at_s: {fault.at_s:g} is past the end at {self.seconds:g} s"
                )
        return self

    @property
    def mean_cost_ms(self) -> float:
        """Mean work of a request on one core of speed 1 in ms, with reading it."""
        mean = self.mean_work_ms
        return mean * (1 + self.machines.intake)

    @property
    def mean_work_ms(self) -> float:
        """Mean work of a run on one core of speed 1 in ms, over all products."""
        total = sum(product.share for product in self.products)
        return sum(product.share * product.work_ms for product in self.products) / total

    def build_server_settings(self, servers: int) -> dict[str, Any]:
        """Returns the `settings` section of a server's configuration file for this scenario.

        Args:
            servers: Number of servers among which the downstream calls are divided.
        """
        machines, max_calls = self.machines, self.below.slots * self.below.headroom
        return {
            "servers": servers,
            "categories": [
                {
                    "name": product.name,
                    "worth": product.value,
                    "aim": int(product.sla_ms * 1000),
                    "late_share": 0.0,
                    "deadline": int(product.expiry_ms * 1000),
                    "idempotency": IDEMPOTENCY_BY_KIND[product.kind],
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
                "calls_out": max_calls / servers,
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
