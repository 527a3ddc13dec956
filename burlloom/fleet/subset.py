"""Which of the services below a server talks to, and in which shares. No I/O, no state: all that
see the same fleet choose the same.

Each server takes the services that rank highest for it by rendezvous hashing (Thaler and
Ravishankar, 1998): a server that comes or goes changes its own pairs and nobody else's. Chance
alone would leave some services with far more servers than others, so each server spreads its calls
by weights instead of evenly, such that all services together have the same load: the pairs are a
matrix whose rows (a server's calls) and columns (a service's load) have given sums, fitted by turns
(iterative proportional fitting, Sinkhorn and Knopp, 1967).

Where even that leaves a service past its bound, all subsets are made larger until it does not.
docs/fleet.md has this against the ways of Google's book on site reliability and of consistent
hashing with bounded loads.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache

import xxhash

ROUNDS_MOST = 60
ALMOST = 1.02  # of the mean: fitting ends
WIDER = 1.03  # subsets, where a service is past its bound
PAIRS = 16  # for each service, on average: with fewer servers, their subsets are larger


@dataclass(frozen=True, slots=True)
class ServerSubset:
    """Of one server: the services by rank, each with its part of the server's calls. The parts sum
    to 1.
    """

    weights: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class SubsetAssignment:
    """Of the whole fleet: each server's choice; `worst`: the load of the most loaded service over
    the mean.
    """

    subsets: Mapping[str, ServerSubset]
    max_load_ratio: float
    mean_size: float  # of the subsets, on average

    def pairs(self) -> set[tuple[str, str]]:
        return {
            (server, service)
            for server, choice in self.subsets.items()
            for service in choice.weights
        }


@lru_cache(maxsize=1 << 17)
def rank(server: str, service: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{server}\n{service}".encode()))


def ranked(server: str, services: Sequence[str]) -> list[str]:
    return sorted(services, key=lambda service: (rank(server, service), service), reverse=True)


def mean_size(servers: int, services: int, least: int) -> float:
    """At most all; at least `least`, and so many that each service has PAIRS servers on average."""
    return min(float(services), max(float(least), PAIRS * services / max(1, servers)))


def size_of(server: str, mean: float) -> int:
    """Whole, and `mean` on average over the servers: as the mean moves with the size of the fleet,
    a few servers at a time take one more or less, and not all at once.
    """
    return int(mean + rank(server, "") / (1 << 64))


def assign_subsets(
    servers: Sequence[str], services: Sequence[str], least: int, bound: float = 1.1
) -> SubsetAssignment:
    """The subsets of all servers, with weights such that no service has more than `bound` times the
    mean load, where each server calls as much as the next. Raises `ValueError` where there is none
    to talk to.
    """
    if not services:
        raise ValueError("there are no services to talk to")
    servers, services = sorted(set(servers)), sorted(set(services))
    order = {server: ranked(server, services) for server in servers}
    mean = mean_size(len(servers), len(services), least)
    while True:
        found = fitted(
            {server: order[server][: size_of(server, mean)] for server in servers}, services, mean
        )
        if found.max_load_ratio <= bound or mean >= len(services):
            return found
        mean = min(float(len(services)), mean * WIDER)


def fitted(
    subsets: Mapping[str, Sequence[str]], services: Sequence[str], size: float
) -> SubsetAssignment:
    parts = {server: dict.fromkeys(subset, 1 / len(subset)) for server, subset in subsets.items()}
    mean, worst = len(subsets) / len(services), 1.0
    for _ in range(ROUNDS_MOST):
        load = dict.fromkeys(services, 0.0)
        for part in parts.values():
            for service, share in part.items():
                load[service] += share
        worst = max(load.values()) / mean if subsets else 1.0
        if worst <= ALMOST:
            break
        for part in parts.values():
            for service in part:
                part[service] *= mean / load[service]
            every = sum(part.values())
            for service in part:
                part[service] /= every
    return SubsetAssignment(
        {server: ServerSubset(part) for server, part in parts.items()}, worst, size
    )


class WeightedRoundRobin:
    """Calls of one server spread over its subset: smooth weighted round robin, so that any stretch
    of them is split as the parts say, within one call each. A service that could not be reached is
    left out for a while, longer each time.
    """

    EJECTION_NS, MAX_EJECTION_NS = 500_000_000, 16_000_000_000  # ns

    def __init__(self) -> None:
        self.weights: Mapping[str, float] = {}
        self.credits: dict[str, float] = {}
        self.ejections: dict[str, tuple[int, int]] = {}  # until when, and for how long that was

    def set_weights(self, parts: Mapping[str, float], phase: float = 0.0) -> None:
        """`phase`, from 0 to under 1: where a server starts, as all would begin with the same."""
        if not self.weights:
            self.credits = {
                service: (at * 0.618 + phase) % 1 - 0.5 for at, service in enumerate(parts)
            }
        self.weights = parts
        self.credits = {service: self.credits.get(service, 0.0) for service in parts}
        self.ejections = {
            service: out for service, out in self.ejections.items() if service in parts
        }

    def record_failure(self, service: str, now: int) -> None:
        """Several calls that fail at once count once."""
        until, span = self.ejections.get(service, (0, 0))
        if service in self.weights and now >= until:
            span = min(self.MAX_EJECTION_NS, max(self.EJECTION_NS, 2 * span))
            self.ejections[service] = now + span, span

    def record_success(self, service: str) -> None:
        self.ejections.pop(service, None)

    def next_service(self, now: int) -> str:
        """Those that are left out count again once all are. Raises `ValueError` where there are
        none.
        """
        open = [
            service for service in self.weights if self.ejections.get(service, (0, 0))[0] <= now
        ] or list(self.weights)
        every = sum(self.weights[service] for service in open)
        for service in open:
            self.credits[service] += self.weights[service] / every
        best = max(open, key=lambda service: (self.credits[service], service))
        self.credits[best] -= 1
        return best
