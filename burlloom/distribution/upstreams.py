"""Upstreams of a follower, and the order in which it prefers them. No I/O."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

Address = tuple[str, int]


class Upstream(NamedTuple):
    """A control machine or relay that may be followed, and its UDP address."""

    name: str
    region: str
    address: Address


def by_preference(name: str, region: str, upstreams: Iterable[Upstream]) -> list[Upstream]:
    """Sort upstreams: the own region's first, each part in rendezvous order.

    Each follower has its own order, so the followers of a lost upstream spread over all others.
    Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
    """

    def weight(one: Upstream) -> tuple[bool, int]:
        """Return the sort key: own region first, then the rendezvous hash."""
        return one.region == region, int(xxhash.xxh3_64_intdigest(f"{name}\n{one.name}".encode()))

    return sorted((one for one in upstreams if one.name != name), key=weight, reverse=True)
