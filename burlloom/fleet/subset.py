"""Subset of the downstream services that each server calls, with weights. Does no I/O.

The assignment is a pure function: all servers that see the same fleet compute the same result.

Each server uses the services that rank highest for it by rendezvous hashing (Thaler and
Ravishankar, 1998), so a server that joins or leaves changes only its own pairs. Hashing alone would
give some services far more servers than others. Therefore each server distributes its calls by
weights that equalize the load of the services: the pairs form a matrix whose rows (the calls of a
server) and columns (the load of a service) have given sums, and are scaled in turn (iterative
proportional fitting, Sinkhorn and Knopp, 1967).

If the load of a service still exceeds its limit, all subsets are enlarged until it does not.
docs/fleet.md compares this with the method of Google's book on site reliability and with consistent
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
# Fitting ends once the load of the most loaded service is at most this multiple of the mean load.
FITTED_LOAD_RATIO = 1.02
# Factor by which the mean subset size grows while the load ratio exceeds its limit.
SUBSET_GROWTH = 1.03
# Minimum mean number of servers per service; in small fleets the subsets grow to reach it.
MIN_SERVERS_PER_SERVICE = 16

_MAX_CACHED_RANKS = 1 << 17
_HASH_RANGE = 1 << 64
# Spreads the initial credits of a server over its services; fractional part of the golden ratio.
_CREDIT_STEP = 0.618


@dataclass(frozen=True, slots=True)
class ServerSubset:
    """The services that one server calls.

    Attributes:
        weights: Fraction of the server's calls by service, in rank order; the fractions sum to 1.
    """

    weights: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class SubsetAssignment:
    """The subsets of the whole fleet.

    Attributes:
        subsets: Subset of each server, by server.
        max_load_ratio: Load of the most loaded service divided by the mean load.
        mean_size: Mean size of the subsets before rounding.
    """

    subsets: Mapping[str, ServerSubset]
    max_load_ratio: float
    mean_size: float

    def pairs(self) -> set[tuple[str, str]]:
        """Returns all pairs of a server and a service that it calls."""
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
        servers: Names of the servers; all are assumed to make equally many calls.
        services: Addresses of the services.
        min_size: Minimum mean size of the subsets.
        max_load_ratio: Maximum load of a service divided by the mean load.

    Returns:
        The subsets, enlarged until they meet `max_load_ratio` or contain all services.

    Raises:
        ValueError: There is no service.
    """
    if not services:
        raise ValueError("services is empty; at least one downstream service is required")
    servers, services = sorted(set(servers)), sorted(set(services))
    ranked = {server: rank_services(server, services) for server in servers}
    mean_size = _compute_mean_size(len(servers), len(services), min_size)
    while True:
        subsets = {server: ranked[server][: _subset_size(server, mean_size)] for server in servers}
        assignment = _fit_weights(subsets, services, mean_size)
        if assignment.max_load_ratio <= max_load_ratio or mean_size >= len(services):
            return assignment
        mean_size = min(float(len(services)), mean_size * SUBSET_GROWTH)


@lru_cache(maxsize=_MAX_CACHED_RANKS)
def rendezvous_rank(server: str, service: str) -> int:
    """Returns the rank of a service for a server: 0 to 2**64 - 1, the highest is preferred."""
    return int(xxhash.xxh3_64_intdigest(f"{server}\n{service}".encode()))


def rank_services(server: str, services: Sequence[str]) -> list[str]:
    """Returns the services in descending order of their rank for the server."""
    return sorted(
        services, key=lambda service: (rendezvous_rank(server, service), service), reverse=True
    )


def _compute_mean_size(server_count: int, service_count: int, min_size: int) -> float:
    size = max(float(min_size), MIN_SERVERS_PER_SERVICE * service_count / max(1, server_count))
    return min(float(service_count), size)


def _subset_size(server: str, mean_size: float) -> int:
    """Returns the integer subset size of a server; over all servers its mean is `mean_size`.

    When the mean changes with the fleet size, a few servers at a time add or drop one service,
    instead of all servers at once.
    """
    return int(mean_size + rendezvous_rank(server, "") / _HASH_RANGE)


def _fit_weights(
    subsets: Mapping[str, Sequence[str]], services: Sequence[str], mean_size: float
) -> SubsetAssignment:
    weights = {server: dict.fromkeys(subset, 1 / len(subset)) for server, subset in subsets.items()}
    mean_load = len(subsets) / len(services)
    max_load_ratio = 1.0
    for _ in range(MAX_FITTING_ROUNDS):
        load_by_service = _sum_loads(weights, services)
        max_load_ratio = max(load_by_service.values()) / mean_load if subsets else 1.0
        if max_load_ratio <= FITTED_LOAD_RATIO:
            break
        for server_weights in weights.values():
            _scale_server_weights(server_weights, load_by_service, mean_load)
    fitted = {server: ServerSubset(server_weights) for server, server_weights in weights.items()}
    return SubsetAssignment(fitted, max_load_ratio, mean_size)


def _sum_loads(
    weights: Mapping[str, Mapping[str, float]], services: Sequence[str]
) -> dict[str, float]:
    load_by_service = dict.fromkeys(services, 0.0)
    for server_weights in weights.values():
        for service, weight in server_weights.items():
            load_by_service[service] += weight
    return load_by_service


def _scale_server_weights(
    server_weights: dict[str, float], load_by_service: Mapping[str, float], mean_load: float
) -> None:
    """Shifts one server's calls to less loaded services; the weights still sum to 1."""
    for service in server_weights:
        server_weights[service] *= mean_load / load_by_service[service]
    total = sum(server_weights.values())
    for service in server_weights:
        server_weights[service] /= total


@dataclass(frozen=True, slots=True)
class _Ejection:
    until_ns: int = 0
    duration_ns: int = 0


class WeightedRoundRobin:
    """Distributes the calls of one server over its subset by smooth weighted round robin.

    In any sequence of calls the number of calls to a service deviates from its weight by at most
    about one call. An unreachable service is ejected temporarily; the duration doubles with each
    further failure, from MIN_EJECTION_NS to at most MAX_EJECTION_NS.

    Attributes:
        weights: Fraction of the calls by service.
    """

    MIN_EJECTION_NS = 500_000_000
    MAX_EJECTION_NS = 16_000_000_000

    def __init__(self) -> None:
        """Initializes a balancer without services."""
        self.weights: Mapping[str, float] = {}
        self._credits: dict[str, float] = {}
        self._ejections: dict[str, _Ejection] = {}

    def set_weights(self, weights: Mapping[str, float], phase: float = 0.0) -> None:
        """Replaces the subset; services in both subsets keep their credit and their ejection.

        Args:
            weights: Fraction of the calls by service.
            phase: Offset of the initial credits, at least 0 and less than 1. It differs between
                servers, because otherwise all servers would start with the same service.
        """
        if not self.weights:
            self._credits = {
                service: (index * _CREDIT_STEP + phase) % 1 - 0.5
                for index, service in enumerate(weights)
            }
        self.weights = weights
        self._credits = {service: self._credits.get(service, 0.0) for service in weights}
        self._ejections = {
            service: ejection for service, ejection in self._ejections.items() if service in weights
        }

    def record_failure(self, service: str, now_ns: int) -> None:
        """Ejects an unreachable service; failures while it is ejected do not count again."""
        ejection = self._ejections.get(service, _Ejection())
        if service in self.weights and now_ns >= ejection.until_ns:
            longer_ns = max(self.MIN_EJECTION_NS, 2 * ejection.duration_ns)
            duration_ns = min(self.MAX_EJECTION_NS, longer_ns)
            self._ejections[service] = _Ejection(now_ns + duration_ns, duration_ns)

    def record_success(self, service: str) -> None:
        """Ends the ejection of a service."""
        self._ejections.pop(service, None)

    def next_service(self, now_ns: int) -> str:
        """Returns the service for the next call; if all are ejected, ejections are ignored.

        Raises:
            ValueError: The balancer has no services.
        """
        candidates = [
            service
            for service in self.weights
            if service not in self._ejections or self._ejections[service].until_ns <= now_ns
        ]
        candidates = candidates or list(self.weights)
        total = sum(self.weights[service] for service in candidates)
        for service in candidates:
            self._credits[service] += self.weights[service] / total
        selected = max(candidates, key=lambda service: (self._credits[service], service))
        self._credits[selected] -= 1
        return selected
