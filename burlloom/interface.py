"""What the decisions are told of a server and its txns, and what they may do to them.

Whoever hosts a `Choice` (the server's desk, or the bench's adapter) builds a `ServerFacts`,
implements `Effects`, and calls the methods that the head of `choice.py` lists. All times are whole
nanoseconds on the host's clock; txns, products and callers are small indices that the host gives
out.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol


class Repeatable(IntEnum):
    """What a second run of a txn would do."""

    INQUIRY = 0
    REFERENCED = 1
    ONCE = 2


class Outcome(IntEnum):
    """How a run or a call ended."""

    OK = 0
    FAILED = 1
    FULL = 2
    TIMED_OUT = 3
    UNREACHED = 4
    BROKEN = 5
    STOPPED = 6
    MOOT = 7
    TAKEN = 8  # of a run that was not begun: another server runs or ran it
    UNKEPT = 9  # of a run that was not begun: its entry could not be kept


class FreeValue(Enum):
    """What the value that rides on answers means to callers."""

    NONE = 0
    FLOOR = 1
    ALLOWANCE = 2
    WEIGHT = 3


@dataclass(frozen=True, slots=True)
class Product:
    sla: int
    sla_stretch: float
    expiry: int
    repeatable: Repeatable
    window: int
    late_share: float
    skip_share: float
    value: float
    stale: int = 0  # how long a kept result may stand in at a level of service that says so


@dataclass(frozen=True, slots=True)
class ServerFacts:
    cores: int
    memory_kb: float
    run_factor: float
    key_kb: float
    crowd: float
    cold: bool
    cold_from: float
    warm_up: int
    calls_share: float
    calls_span: int
    linger: int
    grace: int
    advice_max: int
    fresh: int
    idle: int
    free_value: FreeValue
    products: tuple[Product, ...]


@dataclass(frozen=True, slots=True)
class Relief:
    """What a level of reduced service takes away, by product; the empty one takes nothing.

    `declined`: newcomers; `kept`: they are answered with a kept result or declined; `repeats`:
    marked retries and copies are declined; `skips`: calls are left out where an answer without is
    allowed. `over`: those past their tenant's share are declined. `hold`: the part of the hold's
    length that is left. `floor`: the part of all ranks that it takes away, for callers to hear.
    """

    name: str = ""
    declined: tuple[bool, ...] = ()
    kept: tuple[bool, ...] = ()
    repeats: tuple[bool, ...] = ()
    skips: tuple[bool, ...] = ()
    over: bool = False
    hold: float = 1.0
    floor: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """The level in force, and the one above it: who has a lot under `part` is served there on
    trial.
    """

    relief: Relief = Relief()
    above: Relief = Relief()
    part: float = 0.0


@dataclass(frozen=True, slots=True)
class Txn:
    """One try as it was read. `cost` and `expiry_at` are 0 where the caller told none, `repeat_of`
    -1.

    `entry` is false where an entry that it wants could not be kept now by whatever keeps them.
    `retry`: it is marked as a further try or a copy. `over`: it is past its tenant's share. `lot`:
    its caller's own, from 0 to under 1.
    """

    ref: int
    caller: int
    product: int
    cost: int
    unread: int
    expiry_at: int
    kb: float
    rank: float
    repeat_of: int
    entry: bool = True
    retry: bool = False
    over: bool = False
    lot: float = 0.0


@dataclass(frozen=True, slots=True)
class Gauges:
    """What a server measures of itself; -1 where it does not."""

    core_use: float = -1.0
    on_cores: float = -1.0
    memory_share: float = -1.0
    links: float = -1.0


class Effects(Protocol):
    def start(self, ref: int) -> None: ...
    def decline(self, ref: int, stay_away: int, final: bool) -> None: ...
    def void(self, ref: int) -> None: ...
    def call(self, ref: int, stop_at: int) -> None: ...
    def leave_out(self, ref: int) -> None: ...
    def keep(self, ref: int, lifetime: int) -> None: ...
    def forget(self, ref: int) -> None: ...
    def reuse(self, ref: int) -> None: ...
    def health(self, good: bool) -> None: ...
    def tell(self, value: float) -> None: ...
    def tell_trial(self, value: float) -> None:
        """What callers in a trial of the level above hear in its place."""

    def idle(self, lifetime: int) -> None: ...
    def wake(self, delay: int, handle: int) -> None: ...
    def note(self, text: str) -> None: ...
    def release(self, ref: int) -> None:
        """The decisions will not name this index again."""
