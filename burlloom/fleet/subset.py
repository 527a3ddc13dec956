"""Which of the downstream services a server calls, and in which shares. No I/O.

There is no state: all servers that see the same fleet choose the same.

Each server takes the services that rank highest for it by rendezvous hashing (Thaler and
Ravishankar, 1998): a server that comes or goes changes its own pairs and nobody else's. Chance
alone would leave some services with far more servers than others, so each server spreads its calls
by weights instead of evenly, such that all services together have the same load: the pairs are a
matrix whose rows (a server's calls) and columns (a service's load) have given sums, fitted in turn
(iterative proportional fitting, Sinkhorn and Knopp, 1967).

Where even that leaves a service past its bound, all subsets are made larger until it does not.
docs/fleet.md weighs this against the ways of Google's book on site reliability and of consistent
hashing with bounded loads.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache

import xxhash

__all__ = [
    "ServerSubset",
    "SubsetAssignment",
    "WeightedRoundRobin",
    "assign_subsets",
    "rank_services",
    "rendezvous_rank",
]

MAX_FITTING_ROUNDS = 60
FITTED_LOAD_RATIO = 1.02  # of the most loaded service to the mean; fitting ends there
SUBSET_GROWTH = 1.03
# On average; with fewer servers their subsets are larger.
MIN_SERVERS_PER_SERVICE = 16

_MAX_CACHED_RANKS = 1 << 17
_HASH_RANGE = 1 << 64
# Spreads the first credits of a server over its services: the golden ratio's part after the point.
_CREDIT_STEP = 0.618


@dataclass(frozen=True, slots=True)
class ServerSubset:
    """The services that one server calls.

    Attributes:
        weights: By service, in the order of rank, the part of the server's calls; they sum to 1.
    """

    weights: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class SubsetAssignment:
    """The subsets of the whole fleet.

    Attributes:
        subsets: By server.
        max_load_ratio: The load of the most loaded service over the mean.
        mean_size: Of the subsets.
    """

    subsets: Mapping[str, ServerSubset]
    max_load_ratio: float
    mean_size: float

    def pairs(self) -> set[tuple[str, str]]:
        """Returns each server with each service that it calls."""
        return {
            (server, service)
            for server, subset in self.subsets.items()
            for service in subset.weights
        }


def assign_subsets(
    servers: Sequence[str],
    services: Sequence[str],
    min_size: int,
    max_load_ratio: float = 1.1,
) -> SubsetAssignment:
    """Assigns a subset of the services to each server.

    Args:
        servers: Names; each server calls as much as the next.
        services: Addresses.
        min_size: Of a subset, on average.
        max_load_ratio: The most load of a service over the mean.

    Raises:
        ValueError: There is no service.
    """
    if not services:
        raise ValueError("there are no services to talk to")
    servers, services = sorted(set(servers)), sorted(set(services))
    ranked = {server: rank_services(server, services) for server in servers}
    mean_size = _mean_size(len(servers), len(services), min_size)
    while True:
        subsets = {server: ranked[server][: _subset_size(server, mean_size)] for server in servers}
        assignment = _fit_weights(subsets, services, mean_size)
        if assignment.max_load_ratio <= max_load_ratio or mean_size >= len(services):
            return assignment
        mean_size = min(float(len(services)), mean_size * SUBSET_GROWTH)


@lru_cache(maxsize=_MAX_CACHED_RANKS)
def rendezvous_rank(server: str, service: str) -> int:
    """Returns the rank of a service for a server, from 0 to under 2**64; higher goes first."""
    return int(xxhash.xxh3_64_intdigest(f"{server}\n{service}".encode()))


def rank_services(server: str, services: Sequence[str]) -> list[str]:
    """Returns the services with the one that ranks highest for this server first."""
    return sorted(
        services, key=lambda service: (rendezvous_rank(server, service), service), reverse=True
    )


def _mean_size(servers: int, services: int, min_size: int) -> float:
    size = max(float(min_size), MIN_SERVERS_PER_SERVICE * services / max(1, servers))
    return min(float(services), size)


def _subset_size(server: str, mean_size: float) -> int:
    """Returns a whole size; over the servers they are `mean_size` on average.

    As the mean moves with the size of the fleet, a few servers at a time take one more or less, and
    not all at once.
    """
    return int(mean_size + rendezvous_rank(server, "") / _HASH_RANGE)


def _fit_weights(
    subsets: Mapping[str, Sequence[str]], services: Sequence[str], mean_size: float
) -> SubsetAssignment:
    weights = {server: dict.fromkeys(subset, 1 / len(subset)) for server, subset in subsets.items()}
    mean_load = len(subsets) / len(services)
    max_load_ratio = 1.0
    for _ in range(MAX_FITTING_ROUNDS):
        load = _sum_loads(weights, services)
        max_load_ratio = max(load.values()) / mean_load if subsets else 1.0
        if max_load_ratio <= FITTED_LOAD_RATIO:
            break
        for own in weights.values():
            _fit_server(own, load, mean_load)
    fitted = {server: ServerSubset(own) for server, own in weights.items()}
    return SubsetAssignment(fitted, max_load_ratio, mean_size)


def _sum_loads(
    weights: Mapping[str, Mapping[str, float]], services: Sequence[str]
) -> dict[str, float]:
    load = dict.fromkeys(services, 0.0)
    for own in weights.values():
        for service, weight in own.items():
            load[service] += weight
    return load


def _fit_server(own: dict[str, float], load: Mapping[str, float], mean_load: float) -> None:
    """Moves one server's calls from the loaded services to the others; the weights sum to 1."""
    for service in own:
        own[service] *= mean_load / load[service]
    total = sum(own.values())
    for service in own:
        own[service] /= total


@dataclass(frozen=True, slots=True)
class _Ejection:
    until_ns: int = 0
    duration_ns: int = 0


class WeightedRoundRobin:
    """Spreads the calls of one server over its subset, by smooth weighted round robin.

    Any stretch of calls is split as the weights say, within one call each. A service that could not
    be reached is ejected for a while, longer each time.

    Attributes:
        weights: By service, the part of the calls.
    """

    MIN_EJECTION_NS = 500_000_000
    MAX_EJECTION_NS = 16_000_000_000

    def __init__(self) -> None:
        """Begins without services."""
        self.weights: Mapping[str, float] = {}
        self._credits: dict[str, float] = {}
        self._ejections: dict[str, _Ejection] = {}

    def set_weights(self, weights: Mapping[str, float], phase: float = 0.0) -> None:
        """Takes another subset; the services that stay keep their place and their ejection.

        Args:
            weights: By service, the part of the calls.
            phase: From 0 to under 1: where this server begins, as all would begin with the same.
        """
        if not self.weights:
            self._credits = {
                service: (at * _CREDIT_STEP + phase) % 1 - 0.5 for at, service in enumerate(weights)
            }
        self.weights = weights
        self._credits = {service: self._credits.get(service, 0.0) for service in weights}
        self._ejections = {
            service: ejection for service, ejection in self._ejections.items() if service in weights
        }

    def record_failure(self, service: str, now: int) -> None:
        """Ejects a service that could not be reached; calls that fail at once count once."""
        ejection = self._ejections.get(service, _Ejection())
        if service in self.weights and now >= ejection.until_ns:
            longer_ns = max(self.MIN_EJECTION_NS, 2 * ejection.duration_ns)
            duration_ns = min(self.MAX_EJECTION_NS, longer_ns)
            self._ejections[service] = _Ejection(now + duration_ns, duration_ns)

    def record_success(self, service: str) -> None:
        """Takes a service back in."""
        self._ejections.pop(service, None)

    def next_service(self, now: int) -> str:
        """Returns the service of the next call; ejected ones count again once all are ejected.

        Raises:
            ValueError: There are no services.
        """
        candidates = [
            service
            for service in self.weights
            if service not in self._ejections or self._ejections[service].until_ns <= now
        ]
        candidates = candidates or list(self.weights)
        total = sum(self.weights[service] for service in candidates)
        for service in candidates:
            self._credits[service] += self.weights[service] / total
        best = max(candidates, key=lambda service: (self._credits[service], service))
        self._credits[best] -= 1
        return best
