"""Model of the network between the hosts of a scale run.

Each host applies the model where it sends, so no process has to carry all of the traffic. The model
delays datagrams by distance, loses some, and cuts groups of servers off from each other, in one or
both directions. Does no I/O.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Any

# One-way delays in ms: within a zone, within a region, between neighbouring regions, and for each
# further step between regions, which are arranged as a ring. The values are a guess.
SAME_ZONE_MS, SAME_REGION_MS, NEXT_REGION_MS, FURTHER_REGION_MS = 0.25, 0.75, 12.0, 11.0
JITTER = 0.2  # largest deviation from the delay, as a share of it
ZONES = (3, 3, 2, 2, 2, 2)  # number of zones in each region: 14 zones in 6 regions
SERVERS_PER_RACK = 24  # servers in a rack


@dataclass(frozen=True, slots=True)
class Place:
    """Location of a server.

    Attributes:
        name: Name of the server.
        region: Index of the region.
        zone: Index of the zone in the whole fleet.
        rack: Index of the rack in its zone.
        marks: Labels by which a cut can select the server, for example `region:2`, `zone:5`,
            `rack:5.3` and `name:h12`.
    """

    name: str
    region: int
    zone: int
    rack: int
    marks: frozenset[str] = field(compare=False, default=frozenset())


def make_place(name: str, region: int, zone: int, rack: int) -> Place:
    """Returns a location with its marks."""
    return Place(
        name,
        region,
        zone,
        rack,
        frozenset({f"region:{region}", f"zone:{zone}", f"rack:{zone}.{rack}", f"name:{name}"}),
    )


def lay_out_servers(count: int, prefix: str = "h") -> list[Place]:
    """Returns `count` locations, spread evenly over the zones and in full racks in each zone."""
    regions = [region for region, zones in enumerate(ZONES) for _ in range(zones)]
    places = []
    for index in range(count):
        zone = index % len(regions)
        places.append(
            make_place(
                f"{prefix}{index}", regions[zone], zone, index // len(regions) // SERVERS_PER_RACK
            )
        )
    return places


@dataclass(frozen=True, slots=True)
class Cut:
    """A cut between two groups of servers, each given by the marks of its members.

    Attributes:
        one: Group whose datagrams do not reach the other one.
        other: Group that is not reached; empty for all servers outside `one`.
        both: True if datagrams from `other` to `one` are lost too.
    """

    one: frozenset[str]
    other: frozenset[str] = frozenset()
    both: bool = True

    def blocks(self, source: Place, target: Place) -> bool:
        """Returns whether the cut blocks datagrams from source to target."""
        return (
            self.blocks_one_way(source, target) or self.both and self.blocks_one_way(target, source)
        )

    def blocks_one_way(self, source: Place, target: Place) -> bool:
        """Returns whether source is in the first group of the cut and target in the other one."""
        if not self.one & source.marks:
            return False
        return bool(self.other & target.marks) if self.other else not self.one & target.marks


class Distances:
    """Delays, losses and cuts between servers, with counts of the datagrams lost to each.

    Attributes:
        lost: Number of datagrams lost by chance.
        parted: Number of datagrams lost to a cut.
    """

    def __init__(self, random: Random, regions: int = len(ZONES)) -> None:
        self.random, self.regions = random, regions
        self.loss, self.stretch = 0.0, 1.0
        self.cuts: tuple[Cut, ...] = ()
        self.lost = self.cut_off = 0

    def apply_order(self, message: dict[str, Any]) -> None:
        """Applies a `net` order; what it does not name stays as it is.

        Args:
            message: May hold `loss` (share of datagrams), `stretch` (factor of all delays) and
                `cuts` (lists of the marks of both groups and whether both directions are cut).
        """
        self.loss, self.stretch = (
            float(message.get("loss", self.loss)),
            float(message.get("stretch", self.stretch)),
        )
        if "cuts" in message:
            self.cuts = tuple(
                Cut(frozenset(one), frozenset(other), bool(both))
                for one, other, both in message["cuts"]
            )

    def base_delay_ms(self, source: Place, target: Place) -> float:
        """Returns the one-way delay in ms, without jitter and stretch."""
        if source.zone == target.zone:
            return SAME_ZONE_MS
        if source.region == target.region:
            return SAME_REGION_MS
        apart = abs(source.region - target.region)
        return NEXT_REGION_MS + FURTHER_REGION_MS * (min(apart, self.regions - apart) - 1)

    def delay_s(self, source: Place, target: Place) -> float | None:
        """Returns after how many seconds a datagram arrives; None if it is lost or cut off."""
        if self.cuts and any(cut.blocks(source, target) for cut in self.cuts):
            self.cut_off += 1
            return None
        if self.loss and self.random.random() < self.loss:
            self.lost += 1
            return None
        return (
            self.base_delay_ms(source, target)
            * self.stretch
            * (1 - JITTER + 2 * JITTER * self.random.random())
            / 1000
        )
