"""The network between the hosts of a scale run, as a table in each one's sending path: nobody
carries all of the traffic.

It delays by distance, loses, and cuts groups from each other, one way or both. No I/O.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Any

# One way, ms: within a zone, within a region, and between regions by how far they lie apart on a
# ring. A guess.
SAME_ZONE, SAME_REGION, NEXT_REGION, EACH_REGION = 0.25, 0.75, 12.0, 11.0
JITTER = 0.2  # of the delay, more or less
ZONES = (3, 3, 2, 2, 2, 2)  # of each region: 14 in 6
RACK = 24  # servers


@dataclass(frozen=True, slots=True)
class Place:
    """Where a server stands. `marks`: what a cut may name it by, as `region:2`, `zone:5`,
    `rack:5.3`, `name:h12`.
    """

    name: str
    region: int
    zone: int
    rack: int
    marks: frozenset[str] = field(compare=False, default=frozenset())


def place(name: str, region: int, zone: int, rack: int) -> Place:
    return Place(
        name,
        region,
        zone,
        rack,
        frozenset({f"region:{region}", f"zone:{zone}", f"rack:{zone}.{rack}", f"name:{name}"}),
    )


def laid_out(count: int, prefix: str = "h") -> list[Place]:
    """So many servers evenly over the zones, and in racks within each."""
    regions = [region for region, zones in enumerate(ZONES) for _ in range(zones)]
    made = []
    for at in range(count):
        zone = at % len(regions)
        made.append(place(f"{prefix}{at}", regions[zone], zone, at // len(regions) // RACK))
    return made


@dataclass(frozen=True, slots=True)
class Cut:
    """`one` does not reach `other`, and with `both` is not reached either; `other` empty: all that
    are not in `one`.
    """

    one: frozenset[str]
    other: frozenset[str] = frozenset()
    both: bool = True

    def parts(self, source: Place, target: Place) -> bool:
        return self.hides(source, target) or self.both and self.hides(target, source)

    def hides(self, source: Place, target: Place) -> bool:
        if not self.one & source.marks:
            return False
        return bool(self.other & target.marks) if self.other else not self.one & target.marks


class Distances:
    """`passage` says after how many seconds a datagram arrives, None: it is lost on the way."""

    def __init__(self, chance: Random, regions: int = len(ZONES)) -> None:
        self.chance, self.regions = chance, regions
        self.loss, self.stretch = 0.0, 1.0
        self.cuts: tuple[Cut, ...] = ()
        self.lost = self.parted = 0

    def told(self, message: dict[str, Any]) -> None:
        """`loss`, `stretch` of the delays, `cuts` as lists of marks; what is not named stays."""
        self.loss, self.stretch = (
            float(message.get("loss", self.loss)),
            float(message.get("stretch", self.stretch)),
        )
        if "cuts" in message:
            self.cuts = tuple(
                Cut(frozenset(one), frozenset(other), bool(both))
                for one, other, both in message["cuts"]
            )

    def between(self, source: Place, target: Place) -> float:
        """ms one way, without chance."""
        if source.zone == target.zone:
            return SAME_ZONE
        if source.region == target.region:
            return SAME_REGION
        apart = abs(source.region - target.region)
        return NEXT_REGION + EACH_REGION * (min(apart, self.regions - apart) - 1)

    def passage(self, source: Place, target: Place) -> float | None:
        if self.cuts and any(cut.parts(source, target) for cut in self.cuts):
            self.parted += 1
            return None
        if self.loss and self.chance.random() < self.loss:
            self.lost += 1
            return None
        return (
            self.between(source, target)
            * self.stretch
            * (1 - JITTER + 2 * JITTER * self.chance.random())
            / 1000
        )
