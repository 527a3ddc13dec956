"""Upstreams of a follower and its order of preference among them. Does no I/O."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

Address = tuple[str, int]


class Upstream(NamedTuple):
    """A control machine or relay that a follower may follow; `address` is its UDP address."""

    name: str
    region: str
    address: Address


def by_preference(name: str, region: str, upstreams: Iterable[Upstream]) -> list[Upstream]:
    """Returns the upstreams in a follower's order of preference, without the follower itself.

    Upstreams of the follower's region come first. Within the region and outside of it the order is
    by rendezvous hash of the follower's name: it differs between followers, so the followers of a
    lost upstream spread over all others. Source: Thaler and Ravishankar, "Using Name-Based Mappings
    to Increase Hit Rates" (1998).
    """

    def sort_key(upstream: Upstream) -> tuple[bool, int]:
        """Returns the sort key: own region first, then the rendezvous hash."""
        return upstream.region == region, int(
            xxhash.xxh3_64_intdigest(f"{name}\n{upstream.name}".encode())
        )

    return sorted(
        (upstream for upstream in upstreams if upstream.name != name), key=sort_key, reverse=True
    )
