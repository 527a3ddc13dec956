"""Needs of each role at the planned size, computed from stored slopes for docs/CAPACITY.md.

A need is a sum of terms: a slope at a size of the plan times a factor, or a figure that is given or
guessed. Between measured sizes a cost is interpolated, beyond them it is computed from the fit.
`burlloom lab capacity` prints the tables, `--write` puts them between the markers of the page, and
`--check` prints the lines that differ.
"""

import math
import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from ..fleet.membership import MembershipView
from .slopes import SLOPES_FILE, Row, describe_fit, fit, newest_rows, read_rows

# The planned fleet, its callers and its configuration.
SERVERS, CALLERS, SERVICES, REGIONS, ZONES, CONTROL_MACHINES = 2_600, 140_000, 3_000, 6, 14, 19
TENANTS, ROUTES, REQUESTS_PER_S, CHANGES_PER_DAY = (
    430_000,
    240_000,
    1_300_000,
    35_000,
)
DEATHS_PER_DAY, RESTARTS_PER_DAY = 740, 11_000
DAY_S = 86_400
# Followers of one control machine while all of them are up.
FOLLOWERS_PER_MACHINE = math.ceil(SERVERS / CONTROL_MACHINES)
# Shares of the planned size between which the size that exceeds a budget is searched.
MIN_SHARE, MAX_SHARE = (
    1e-4,
    100.0,
)
# Planned sizes, by the quantity that the sizes of a slope count.
PLANNED_SIZES = {
    "servers": SERVERS,
    "members": SERVERS,
    "tenants": TENANTS,
    "routes": ROUTES,
    "entries": TENANTS + ROUTES,
    "followers": FOLLOWERS_PER_MACHINE,
    "requests a second": REQUESTS_PER_S / SERVERS,
    "changes": CHANGES_PER_DAY / DAY_S,
    "connections": CALLERS / SERVERS,
}
TABLE_START, TABLE_END = re.compile(r"<!-- table: ([a-z0-9 -]+) -->"), "<!-- end -->"
MAX_GOOD_RESIDUAL = 0.25  # residual above which an extrapolated cost is marked as a poor fit
# Part of the note of a row that is not valid, because the machine that measured it was too busy.
BUSY_NOTE = "counts for nothing"


@dataclass(frozen=True, slots=True)
class Budget:
    """Largest allowed need: an amount, its unit and the text that the tables show for it."""

    amount: float
    unit: str
    text: str


CORE = Budget(37.0, "ms/s", "3.7% of a core")
MEMORY = Budget(128.0, "MB", "128 MB")
NETWORK = Budget(9_000.0, "B/s", "9 KB a second")
ADDED_LATENCY = Budget(3.4, "ms", "3.4 ms added for 99 in 100")
TIME_TO_IN_FORCE = Budget(6.0, "s", "in force within 6 s")
STALL = Budget(10.0, "ms/s", "1 request in 100 may meet a stall: 10 ms a second")


@dataclass(frozen=True, slots=True)
class Slope:
    """A term computed from a stored row.

    Attributes:
        name: Name of the row.
        state: State in which the row was measured.
        factor: Factor of the cost.
        why: What the factor is, as the tables show it.
        size: Size at which the cost is computed; None for the planned size of the row's quantity.
        times_row: Name of another row of the same state whose cost is a second factor, or empty.
        grows: True if the factor grows in proportion to the size.
    """

    name: str
    state: str
    factor: float = 1.0
    why: str = ""
    size: float | None = None
    times_row: str = ""
    grows: bool = False

    def at(self, row: Row) -> float:
        """Returns the size at which the cost of this row is computed."""
        return PLANNED_SIZES[row.by] if self.size is None else self.size


@dataclass(frozen=True, slots=True)
class Given:
    """A term without a slope.

    Attributes:
        value: The figure, in the unit of the need.
        why: How the figure is computed, as the tables show it.
        source: Where the figure comes from: `plan`, `code` or `guess`.
        grows: True if the figure grows in proportion to the number of servers.
    """

    value: float
    why: str
    source: str = "plan"
    grows: bool = False


@dataclass(frozen=True, slots=True)
class Need:
    """One need of a role, which is one row of its table.

    Attributes:
        title: The need, as the tables show it.
        unit: Unit of the need and of its terms.
        terms: Terms whose sum is the need. Without terms the need is not measured.
        budget: Largest allowed need; None if there is no limit.
        mechanism: The mechanism that serves the need.
        when: `today`, or `built` for what burlloom/distribution implements and is not in use yet.
        has_no_mechanism: True if there are no terms because no mechanism serves the need.
    """

    title: str
    unit: str
    terms: tuple[Slope | Given, ...]
    budget: Budget | None
    mechanism: str
    when: str = "today"
    has_no_mechanism: bool = False


@dataclass(frozen=True, slots=True)
class Role:
    """A role of servers or machines, with its needs."""

    name: str
    title: str
    needs: tuple[Need, ...]


@dataclass(frozen=True, slots=True)
class Figure:
    """A computed need.

    Attributes:
        role: Role that has the need.
        need: The need that was computed.
        value: Its amount at the planned size; None if a term is missing.
        arithmetic: The computation, as the tables show it.
        passing_share: Share of the planned size at which the need exceeds its budget; None if it
            does not up to a hundred times the planned size, or if that is unknown.
        slopes: Rows that the computation uses.
        remarks: For example that the need is a guess, not measured or from a busy machine.
        quantities: Quantities whose sizes `passing_share` is a share of.
    """

    role: Role
    need: Need
    value: float | None
    arithmetic: str
    passing_share: float | None
    slopes: tuple[Row, ...]
    remarks: tuple[str, ...]
    quantities: tuple[str, ...] = ()

    @property
    def budget_ratio(self) -> float | None:
        """Need divided by its budget; infinite if nothing serves the need, None if unknown."""
        if self.need.has_no_mechanism:
            return math.inf
        return (
            None
            if self.value is None or self.need.budget is None
            else self.value / self.need.budget.amount
        )


GOSSIP = "gossip in one view of all (burlloom/fleet, SWIM)"
ALLOCATION = "one dealer answers each report (burlloom/fleet)"
CONNECTIONS = "a bound of connections, limits.sockets (burlloom/rpc)"
NAME_SERVICE = "a datagram each 200 ms (burlloom/discovery)"
RELEASE = "one leader and one book (burlloom/rollout)"
CONFIG_FILE = "a file a server, read whole at a reload"
TABLE = "Table: sorted leaves in 256 buckets (burlloom/distribution/table.py)"
CONFIG_DISTRIBUTION = (
    "changes in a chain, pushed down a tree, repaired by digests (burlloom/distribution)"
)
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S
STARTS_PER_DAY = DEATHS_PER_DAY + RESTARTS_PER_DAY
SERVER_MEMORY = Given(27.0, "MB of a server by itself, as the issue tells it")
REQUESTS_PER_SERVER = REQUESTS_PER_S / SERVERS
OTHER_REGIONS_SHARE = (REGIONS - 1) / REGIONS

ROLES: tuple[Role, ...] = (
    Role(
        "member",
        "Plain member",
        (
            Need(
                "members that a view holds",
                "",
                (Given(SERVERS, "MEMBERS_MOST in code against the plan", "code", True),),
                Budget(
                    MembershipView.MAX_MEMBERS,
                    "",
                    f"{MembershipView.MAX_MEMBERS:,}, a bound of the code",
                ),
                GOSSIP,
            ),
            Need("processor time at rest", "ms/s", (Slope("member cpu", "rest"),), CORE, GOSSIP),
            Need("processor time in churn", "ms/s", (Slope("member cpu", "churn"),), CORE, GOSSIP),
            Need(
                "bytes at rest, both ways", "B/s", (Slope("member bytes", "rest"),), NETWORK, GOSSIP
            ),
            Need(
                "bytes in churn, both ways",
                "B/s",
                (Slope("member bytes", "churn"),),
                NETWORK,
                GOSSIP,
            ),
            Need(
                "messages sent at rest",
                "1/s",
                (Slope("member messages sent", "rest"),),
                None,
                GOSSIP,
            ),
            Need("memory of a view", "MB", (Slope("view memory", "rest"),), MEMORY, GOSSIP),
            Need(
                "processor time of a server's subsets",
                "ms",
                (Slope("subset cpu", "rest"),),
                None,
                "rendezvous by name (burlloom/fleet/subset.py)",
            ),
            Need(
                "a state file, once a second",
                "ms/s",
                (Slope("state file cpu", "rest"),),
                CORE,
                "a line of what is held (burlloom/recovery)",
            ),
            Need(
                "first exchange of a newcomer", "ms", (Slope("newcomer cpu", "rest"),), None, GOSSIP
            ),
            Need("first exchange, bytes", "B", (Slope("newcomer bytes", "rest"),), None, GOSSIP),
            Need(
                "a whole view asked of a member", "ms", (Slope("host cpu", "rest"),), None, GOSSIP
            ),
            Need(
                "processor time while all start at once",
                "ms/s",
                (Slope("member cpu", "cold"),),
                None,
                GOSSIP,
            ),
            Need(
                "bytes while all start at once",
                "B/s",
                (Slope("member bytes", "cold"),),
                None,
                GOSSIP,
            ),
            Need(
                "all agree after all started at once",
                "s",
                (Slope("agree after cold start", "cold"),),
                None,
                GOSSIP,
            ),
            Need(
                "all agree after a death", "s", (Slope("agree after death", "rest"),), None, GOSSIP
            ),
            Need(
                "all agree after a restart",
                "s",
                (Slope("agree after restart", "rest"),),
                None,
                GOSSIP,
            ),
            Need(
                "all agree after a rack is lost",
                "s",
                (Slope("agree after rack", "rest"),),
                None,
                GOSSIP,
            ),
            Need(
                "all agree after a zone is lost",
                "s",
                (Slope("agree after zone", "rest"),),
                None,
                GOSSIP,
            ),
            Need(
                "all agree after a zone's return",
                "s",
                (Slope("agree after zone's return", "rest"),),
                None,
                GOSSIP,
            ),
            Need(
                "all agree after a region is cut off",
                "s",
                (Slope("agree after region's cut", "rest"),),
                None,
                GOSSIP,
            ),
            Need(
                "all agree after a region's healing",
                "s",
                (Slope("agree after region's healing", "rest"),),
                None,
                GOSSIP,
            ),
            Need(
                "processor time, member and follower",
                "ms/s",
                (Slope("member cpu", "churn"), Slope("follower cpu by followers", "rest")),
                CORE,
                f"{GOSSIP}; {CONFIG_DISTRIBUTION}",
                "built",
            ),
            Need(
                "bytes, member and follower",
                "B/s",
                (Slope("member bytes", "churn"), Slope("follower bytes by followers", "rest")),
                NETWORK,
                f"{GOSSIP}; {CONFIG_DISTRIBUTION}",
                "built",
            ),
            Need(
                "memory, view and table and the server's own",
                "MB",
                (Slope("view memory", "rest"), Slope("table memory", "rest"), SERVER_MEMORY),
                MEMORY,
                f"{GOSSIP}; {TABLE}",
                "built",
            ),
        ),
    ),
    Role(
        "allocator",
        "Allocator: who deals",
        (
            Need(
                "processor time at rest", "ms/s", (Slope("dealer cpu", "rest"),), CORE, ALLOCATION
            ),
            Need(
                "processor time in churn", "ms/s", (Slope("dealer cpu", "churn"),), CORE, ALLOCATION
            ),
            Need(
                "bytes at rest, both ways",
                "B/s",
                (Slope("dealer bytes", "rest"),),
                NETWORK,
                ALLOCATION,
            ),
            Need(
                "bytes in churn, both ways",
                "B/s",
                (Slope("dealer bytes", "churn"),),
                NETWORK,
                ALLOCATION,
            ),
            Need(
                "messages at rest, both ways",
                "1/s",
                (Slope("dealer messages", "rest"),),
                None,
                ALLOCATION,
            ),
            Need(
                "processor time while all start at once",
                "ms/s",
                (Slope("dealer cpu", "cold"),),
                None,
                ALLOCATION,
            ),
            Need(
                "memory with the accounts",
                "MB",
                (Slope("dealer memory", "rest"),),
                MEMORY,
                ALLOCATION,
            ),
        ),
    ),
    Role(
        "release",
        "Release leader and book",
        (
            Need(
                "processor time of the leader in a release",
                "ms/s",
                (Slope("release leader cpu", "rest"),),
                CORE,
                RELEASE,
            ),
            Need(
                "one round in a release: its stall",
                "ms",
                (Slope("release round cpu", "rest"),),
                None,
                RELEASE,
            ),
            Need(
                "one round at rest", "ms", (Slope("release idle round cpu", "rest"),), None, RELEASE
            ),
            Need("the book", "B", (Slope("book bytes", "rest"),), None, RELEASE),
            Need(
                "steps of the book in a release",
                "1/s",
                (Slope("book steps", "rest"),),
                None,
                RELEASE,
            ),
            Need(
                "bytes of the book written in a release",
                "B/s",
                (Slope("book bytes", "rest", times_row="book steps"),),
                None,
                RELEASE,
            ),
            Need(
                "bytes of the book read by each server in a release",
                "B/s",
                (Slope("release read bytes", "rest"),),
                NETWORK,
                RELEASE,
            ),
            Need(
                "processor time of that reading",
                "ms/s",
                (Slope("book read cpu", "rest", 2.0, "a look each poll_ms, 500 ms"),),
                CORE,
                RELEASE,
            ),
        ),
    ),
    Role(
        "record",
        "Store of record",
        (
            Need(
                "commits of the fleet",
                "1/s",
                (),
                None,
                "each server's own store, or PostgreSQL (burlloom/record)",
            ),
            Need(
                "statements of releases: looks and words",
                "1/s",
                (Slope("store statements", "rest"),),
                None,
                RELEASE,
            ),
            Need(
                "processor time of words at the store",
                "ms/s",
                (
                    Slope(
                        "store tell cpu",
                        "rest",
                        SERVERS,
                        f"a word a second of {SERVERS:,} servers",
                        grows=True,
                    ),
                ),
                Budget(1000.0, "ms/s", "one core: SQLite writes one at a time"),
                RELEASE,
            ),
            Need(
                "processor time of steps at the store in a release",
                "ms/s",
                (Slope("store swap cpu", "rest", times_row="book steps"),),
                Budget(1000.0, "ms/s", "one core: SQLite writes one at a time"),
                RELEASE,
            ),
            Need(
                "changes of configuration kept",
                "1/s",
                (Given(CHANGES_PER_S, f"{CHANGES_PER_DAY:,} / {DAY_S:,} s"),),
                None,
                "the store's table of changes (burlloom/distribution/stores)",
                "built",
            ),
        ),
    ),
    Role(
        "holder",
        "Holder of routes and tenants",
        (
            Need(
                "memory with tenants, the server's own in it",
                "MB",
                (Slope("configuration memory", "rest"),),
                MEMORY,
                CONFIG_FILE,
            ),
            Need(
                "memory in a reload",
                "MB",
                (Slope("configuration memory peak", "churn"),),
                MEMORY,
                CONFIG_FILE,
            ),
            Need(
                "memory with tenants and routes",
                "MB",
                (Slope("configuration memory", "rest"), Slope("routes memory", "rest")),
                MEMORY,
                f"{CONFIG_FILE}; a plain dict of routes",
            ),
            Need(
                "processor time of changes, a reload each",
                "ms/s",
                (
                    Slope(
                        "reload cpu",
                        "churn",
                        CHANGES_PER_S,
                        f"{CHANGES_PER_DAY:,} changes / {DAY_S:,} s",
                    ),
                ),
                CORE,
                CONFIG_FILE,
            ),
            Need(
                "stall of the loop for changes, a reload each",
                "ms/s",
                (
                    Slope(
                        "reload stall",
                        "churn",
                        CHANGES_PER_S,
                        f"{CHANGES_PER_DAY:,} changes / {DAY_S:,} s",
                    ),
                ),
                STALL,
                CONFIG_FILE,
            ),
            Need("one reload's stall", "ms", (Slope("reload stall", "churn"),), None, CONFIG_FILE),
            Need(
                "start, processor time",
                "ms",
                (Slope("configuration start cpu", "cold"),),
                None,
                CONFIG_FILE,
            ),
            Need(
                "memory with the table",
                "MB",
                (Slope("table memory", "rest"), SERVER_MEMORY),
                MEMORY,
                TABLE,
                "built",
            ),
            Need(
                "processor time of changes of 64",
                "ms/s",
                (
                    Slope(
                        "table change",
                        "rest",
                        CHANGES_PER_S,
                        f"{CHANGES_PER_DAY:,} changes / {DAY_S:,} s",
                    ),
                ),
                CORE,
                TABLE,
                "built",
            ),
            Need(
                "processor time of lookups",
                "ms/s",
                (
                    Slope(
                        "table lookup",
                        "rest",
                        REQUESTS_PER_SERVER / 1000,
                        f"{REQUESTS_PER_SERVER:.0f} requests a second, us to ms",
                    ),
                ),
                CORE,
                TABLE,
                "built",
            ),
            Need(
                "one change of 64 entries: its stall",
                "ms",
                (Slope("table change", "rest"),),
                None,
                TABLE,
                "built",
            ),
            Need(
                "longest single step of the fill",
                "ms",
                (Slope("table longest step", "rest"),),
                None,
                TABLE,
                "built",
            ),
            Need(
                "a newcomer's whole fill by pages",
                "s",
                (Slope("table by pages fill", "cold"),),
                None,
                TABLE,
                "built",
            ),
        ),
    ),
    Role(
        "carrier",
        "Carrier of configuration",
        (
            Need(
                "a change in force on all servers",
                "s",
                (),
                TIME_TO_IN_FORCE,
                "none: nothing carries a change to other machines",
                has_no_mechanism=True,
            ),
            Need(
                "a follower's processor time",
                "ms/s",
                (Slope("follower cpu by followers", "rest"),),
                CORE,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "a follower's bytes",
                "B/s",
                (Slope("follower bytes by followers", "rest"),),
                NETWORK,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "a follower's processor time by changes",
                "ms/s",
                (Slope("follower cpu by changes", "rest"),),
                CORE,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "a follower's bytes by changes",
                "B/s",
                (Slope("follower bytes by changes", "rest"),),
                NETWORK,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "a follower's processor time at ten times the changes",
                "ms/s",
                (Slope("follower cpu by changes", "rest", size=10 * CHANGES_PER_S),),
                CORE,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "a follower's bytes at ten times the changes",
                "B/s",
                (Slope("follower bytes by changes", "rest", size=10 * CHANGES_PER_S),),
                NETWORK,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "a follower's bytes until all is there, once",
                "B",
                (Slope("follower bytes by followers", "cold"),),
                None,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "a source's processor time",
                "ms/s",
                (Slope("source cpu by followers", "rest"),),
                CORE,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "a newcomer's whole copy at 9 KB a second",
                "s",
                (
                    Slope(
                        "table memory",
                        "rest",
                        1e6 / NETWORK.amount,
                        "a million bytes a MB, 9,000 a second",
                    ),
                ),
                None,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "copies taken and given, every server a relay",
                "B/s",
                (
                    Slope(
                        "table memory",
                        "rest",
                        2e6 * STARTS_PER_DAY / SERVERS / DAY_S,
                        f"2 x {STARTS_PER_DAY:,} starts a day / {SERVERS:,} / {DAY_S:,} s"
                        " x a million",
                    ),
                ),
                NETWORK,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "a server's copies, mean of a day",
                "B/s",
                (
                    Slope(
                        "table memory",
                        "rest",
                        1e6 * STARTS_PER_DAY / SERVERS / DAY_S,
                        f"{STARTS_PER_DAY:,} starts a day / {SERVERS:,} / {DAY_S:,} s x a million",
                    ),
                ),
                NETWORK,
                CONFIG_DISTRIBUTION,
                "built",
            ),
        ),
    ),
    Role(
        "discovery",
        "Discovery: reports to the name service",
        (
            Need(
                "a server's reports",
                "B/s",
                (Slope("discovery bytes", "rest"),),
                NETWORK,
                NAME_SERVICE,
            ),
            Need(
                "a server's processor time",
                "ms/s",
                (Slope("discovery cpu", "rest"),),
                CORE,
                NAME_SERVICE,
            ),
            Need(
                "datagrams at the name service",
                "1/s",
                (Slope("name service messages", "rest"),),
                None,
                NAME_SERVICE,
            ),
            Need(
                "bytes at the name service",
                "B/s",
                (Slope("name service bytes", "rest"),),
                None,
                NAME_SERVICE,
            ),
        ),
    ),
    Role(
        "request",
        "The way of a request",
        (
            Need(
                "added for 99 in 100, no calls below",
                "ms",
                (Slope("request p99 added", "churn"),),
                ADDED_LATENCY,
                "burlloom/admission and the sockets",
            ),
            Need(
                "added for 99 in 100, with calls below",
                "ms",
                (Slope("request p99 added with calls", "churn"),),
                ADDED_LATENCY,
                "burlloom/admission and the sockets",
            ),
            Need(
                "the same without calls, of the calmest span of a run",
                "ms",
                (Slope("request p99 added least", "churn"),),
                ADDED_LATENCY,
                "burlloom/admission and the sockets",
            ),
            Need(
                "the harness alone, no server between, 99 in 100",
                "ms",
                (Slope("request p99 harness", "churn"),),
                None,
                "-",
            ),
            Need(
                "added for 99 in 100 around a reload",
                "ms",
                (Slope("request p99 added in a reload", "churn"),),
                ADDED_LATENCY,
                CONFIG_FILE,
            ),
            Need(
                "added for 99 in 100 around a rejoin",
                "ms",
                (Slope("request p99 added in a rejoin", "churn"),),
                ADDED_LATENCY,
                GOSSIP,
            ),
            Need(
                "added for 99 in 100 at the one that deals",
                "ms",
                (Slope("request p99 added while it deals", "rest"),),
                ADDED_LATENCY,
                ALLOCATION,
            ),
            Need(
                "added for 99 in 100 at the one that leads a release",
                "ms",
                (Slope("request p99 added while it leads a release", "churn"),),
                ADDED_LATENCY,
                RELEASE,
            ),
            Need(
                "processor time of the requests, a call below each",
                "ms/s",
                (
                    Slope(
                        "request cpu with calls",
                        "churn",
                        REQUESTS_PER_SERVER,
                        f"{REQUESTS_PER_SERVER:.0f} a second",
                        grows=True,
                    ),
                ),
                Budget(1000.0, "ms/s", "one core: it is not control"),
                "burlloom/admission and the sockets",
            ),
            Need(
                "processor time of the requests",
                "ms/s",
                (
                    Slope(
                        "request cpu",
                        "churn",
                        REQUESTS_PER_SERVER,
                        f"{REQUESTS_PER_SERVER:.0f} a second",
                        grows=True,
                    ),
                ),
                Budget(1000.0, "ms/s", "one core: it is not control"),
                "burlloom/admission and the sockets",
            ),
        ),
    ),
    Role(
        "callers",
        "Connections of callers",
        (
            Need(
                "memory of a server's idle connections",
                "KB",
                (Slope("connection memory", "rest"),),
                None,
                CONNECTIONS,
            ),
            Need(
                "processor time of idle ones",
                "ms/s",
                (Slope("connection cpu", "rest"),),
                None,
                CONNECTIONS,
            ),
            Need(
                "memory of busy ones",
                "KB",
                (Slope("connection memory", "churn"),),
                None,
                CONNECTIONS,
            ),
        ),
    ),
    Role(
        "log",
        "Log and metrics",
        (
            Need(
                "a server's log",
                "MB/day",
                (Given(DAY_S * 150 / 1e6, "1 line a second x 150 bytes x 86,400 s", "guess"),),
                None,
                "key=value lines, at most 50 a second (burlloom/server/logs.py)",
            ),
            Need(
                "the fleet's log",
                "GB/day",
                (
                    Given(
                        SERVERS * DAY_S * 150 / 1e9,
                        f"{SERVERS:,} x 1 line a second x 150 bytes x 86,400 s",
                        "guess",
                        True,
                    ),
                ),
                None,
                "key=value lines, at most 50 a second (burlloom/server/logs.py)",
            ),
            Need(
                "the fleet's log at its bound",
                "TB/day",
                (
                    Given(
                        SERVERS * DAY_S * 50 * 150 / 1e12,
                        f"{SERVERS:,} x 50 lines a second x 150 bytes x 86,400 s",
                        "guess",
                        True,
                    ),
                ),
                None,
                "key=value lines, at most 50 a second (burlloom/server/logs.py)",
            ),
            Need("metrics read", "B/s", (), None, "text on request (burlloom/metrics)"),
        ),
    ),
    Role(
        "control",
        "The 19 control machines",
        (
            Need(
                "followers of one, all of them up",
                "",
                (Given(FOLLOWERS_PER_MACHINE, f"{SERVERS:,} / {CONTROL_MACHINES}", "plan", True),),
                None,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "followers of one, a region's 3 lost",
                "",
                (
                    Given(
                        math.ceil(SERVERS / (CONTROL_MACHINES - 3)),
                        f"{SERVERS:,} / {CONTROL_MACHINES - 3}",
                        "plan",
                        True,
                    ),
                ),
                None,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "memory of one: all scopes",
                "MB",
                (Slope("table memory", "rest"),),
                MEMORY,
                TABLE,
                "built",
            ),
            Need(
                "processor time of one as a source",
                "ms/s",
                (Slope("source cpu by followers", "rest"),),
                CORE,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "processor time of one, a region's 3 lost",
                "ms/s",
                (
                    Slope(
                        "source cpu by followers",
                        "rest",
                        size=math.ceil(SERVERS / (CONTROL_MACHINES - 3)),
                    ),
                ),
                CORE,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "bytes of one to its followers at rest",
                "B/s",
                (Slope("source bytes by followers", "rest"),),
                NETWORK,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "bytes of one for newcomers, mean of a day",
                "B/s",
                (
                    Slope(
                        "table memory",
                        "rest",
                        1e6 * STARTS_PER_DAY / CONTROL_MACHINES / DAY_S,
                        f"{STARTS_PER_DAY:,} starts a day / {CONTROL_MACHINES} / {DAY_S:,} s"
                        " x a million",
                    ),
                ),
                NETWORK,
                CONFIG_DISTRIBUTION,
                "built",
            ),
            Need(
                "roles of today on a machine of their own",
                "",
                (),
                None,
                "none: each role is on some server",
                has_no_mechanism=True,
            ),
        ),
    ),
    Role(
        "links",
        "Links between regions",
        (
            Need(
                "talk of members that leaves a region",
                "B/s",
                (
                    Slope(
                        "member bytes sent",
                        "rest",
                        SERVERS * OTHER_REGIONS_SHARE,
                        f"{SERVERS:,} servers x {REGIONS - 1}/{REGIONS}, as peers are taken evenly",
                    ),
                ),
                None,
                GOSSIP,
            ),
            Need(
                "reports to the dealer and its answers",
                "B/s",
                (
                    Slope(
                        "dealer bytes",
                        "rest",
                        OTHER_REGIONS_SHARE,
                        f"{REGIONS - 1}/{REGIONS} of the fleet is elsewhere",
                    ),
                ),
                None,
                ALLOCATION,
            ),
            Need(
                "changes, once to each region",
                "B/s",
                (
                    Given(
                        (REGIONS - 1) * CHANGES_PER_S * 1400,
                        f"{REGIONS - 1} x {CHANGES_PER_S:.3f} changes a second x 1,400 bytes",
                        "code",
                    ),
                ),
                None,
                CONFIG_DISTRIBUTION,
                "built",
            ),
        ),
    ),
)


def cost_of_row(row: Row, size: float) -> float:
    """Returns the cost of a row at this size.

    Between measured sizes the cost is interpolated, beyond them it is computed from the fit. A
    decreasing fit is constant beyond the largest measured size, so that a cost never gets negative.
    """
    if min(row.sizes) <= size <= max(row.sizes):
        pairs = sorted(zip(row.sizes, row.values, strict=True))
        return float(np.interp(size, [pair[0] for pair in pairs], [pair[1] for pair in pairs]))
    fitted = fit(row.sizes, row.values)
    return max(0.0, fitted.at(min(size, max(row.sizes)) if fitted.rate < 0 else size))


def read_latest_rows(path: Path = SLOPES_FILE) -> dict[tuple[str, str, str], Row]:
    """Reads the newest row of each name, state and side.

    Rows are ordered by their time, because a merge of branches may leave them in any order.
    """
    return newest_rows(sorted(read_rows(path), key=lambda row: row.at))


def find_row(rows: Mapping[tuple[str, str, str], Row], name: str, state: str) -> Row | None:
    """Returns the row of the current source, or else the one from before a change."""
    return rows.get((name, state, "now")) or rows.get((name, state, "before"))


def rows_of_term(rows: Mapping[tuple[str, str, str], Row], term: Slope) -> list[Row] | str:
    """Returns the rows whose product is the term, or a text that says what is missing."""
    term_rows = []
    for name in (term.name, term.times_row) if term.times_row else (term.name,):
        row = find_row(rows, name, term.state)
        if row is None:
            return f"`{name}`, {term.state}: not measured"
        if term.size is None and row.by not in PLANNED_SIZES:
            return f"`{name}`, {term.state}: not measured by what the plan tells, but by {row.by}"
        term_rows.append(row)
    return term_rows


def compute_figure(role: Role, need: Need, rows: Mapping[tuple[str, str, str], Row]) -> Figure:
    """Computes a need from the stored rows."""
    used, remarks, term_texts = [], [], []
    for term in need.terms:
        if isinstance(term, Given):
            if term.source == "guess":
                remarks.append("guess")
            term_texts.append(f"{format_value(term.value)} ({term.why}; {term.source})")
            continue
        term_rows = rows_of_term(rows, term)
        if isinstance(term_rows, str):
            remarks.append("not measured")
            term_texts.append(term_rows)
            continue
        used += term_rows
        if any(BUSY_NOTE in row.note for row in term_rows):
            remarks.append("busy machine: counts for nothing")
        if any(
            term.at(row) > max(row.sizes)
            and fit(row.sizes, row.values).residual > MAX_GOOD_RESIDUAL
            for row in term_rows
        ):
            remarks.append("beyond what was measured, by a poor fit")
        term_texts.append(format_term(term, term_rows))
    if not need.terms:
        remarks.append("nothing carries it" if need.has_no_mechanism else "not measured")
    if "not measured" in remarks or not need.terms:
        return Figure(
            role,
            need,
            None,
            "; ".join(term_texts),
            0.0 if need.has_no_mechanism else None,
            tuple(used),
            tuple(remarks),
        )

    def at(share: float) -> float:
        total = 0.0
        for term in need.terms:
            if isinstance(term, Given):
                total += term.value * (share if term.grows else 1.0)
            else:
                total += (
                    term.factor
                    * (share if term.grows else 1.0)
                    * math.prod(
                        cost_of_row(row, term.at(row) * share)
                        for row in rows_of_term(rows, term)
                        if isinstance(row, Row)
                    )
                )
        return total

    passing_share = None if need.budget is None else find_passing_share(at, need.budget.amount)
    arithmetic = " + ".join(term_texts) + (
        f" = {format_value(at(1.0))} {need.unit}" if len(term_texts) > 1 else ""
    )
    by = (
        *(row.by for row in used),
        *("servers" for term in need.terms if isinstance(term, Given) and term.grows),
    )
    return Figure(
        role,
        need,
        at(1.0),
        arithmetic,
        passing_share,
        tuple(used),
        tuple(dict.fromkeys(remarks)),
        tuple(dict.fromkeys(by)),
    )


def find_passing_share(cost_at: Callable[[float], float], budget: float) -> float | None:
    """Finds the share of the planned size from which on a cost exceeds its budget.

    Args:
        cost_at: Returns the cost at a share of the planned size.
        budget: Largest allowed cost.

    Returns:
        If the cost exceeds the budget at the planned size, the smallest share from which on it does
        up to the planned size. Otherwise the next share beyond it, or None if there is none up to
        `MAX_SHARE`.
    """
    steps = [float(share) for share in np.geomspace(MIN_SHARE, MAX_SHARE, 601)]
    at = min(range(len(steps)), key=lambda step: abs(steps[step] - 1.0))
    steps[at] = 1.0
    if cost_at(1.0) > budget:
        while at and cost_at(steps[at - 1]) > budget:
            at -= 1
        if not at:
            return MIN_SHARE
    else:
        while cost_at(steps[at]) <= budget:
            at += 1
            if at == len(steps):
                return None
    low, high = steps[at - 1], steps[at]
    for _ in range(40):
        middle = (low + high) / 2
        low, high = (low, middle) if cost_at(middle) > budget else (middle, high)
    return high


def format_value(value: float) -> str:
    """Formats a value with three significant digits, or as a whole number from 1,000 on."""
    if abs(value) < 1e-9 or not math.isfinite(value):
        return "0" if abs(value) < 1e-9 else "-"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:.{digits}f}"


def format_size(size: float) -> str:
    """Formats a size, without decimals if it is whole."""
    return f"{size:,.10g}" if size == int(size) else format_value(size)


def format_term(term: Slope, rows: Sequence[Row]) -> str:
    """Formats the computation of a term as a reader would write it by hand."""
    total = term.factor * math.prod(cost_of_row(row, term.at(row)) for row in rows)
    times_row = f"; x {format_value(term.factor)} ({term.why})" if term.why else ""
    return (
        " x ".join(format_row(row, term.at(row)) for row in rows)
        + times_row
        + (f" = {format_value(total)}" if times_row or len(rows) > 1 else "")
    )


def format_row(row: Row, size: float) -> str:
    """Formats the cost of a row at this size and how it was obtained."""
    fitted = fit(row.sizes, row.values)
    inside = min(row.sizes) <= size <= max(row.sizes)
    grows = {
        "flat": "",
        "log": f" x log2({format_size(size)})",
        "linear": f" x {format_size(size)}",
        "square": f" x {format_size(size)}^2",
    }[fitted.shape]
    rate = f" {'-' if fitted.rate < 0 else '+'} {abs(fitted.rate):.3g}{grows}" if grows else ""
    by_fit = (
        f"{format_value(fitted.base)}{rate} = {format_value(fitted.at(size))}"
        if grows
        else format_value(fitted.base)
    )
    if size in row.sizes:
        text = f"{format_value(cost_of_row(row, size))} measured; fit {by_fit}"
    elif inside:
        text = f"{format_value(cost_of_row(row, size))} between measured sizes; fit {by_fit}"
    elif size < min(row.sizes):
        text = f"fit, below {format_size(min(row.sizes))}: {by_fit}"
    elif fitted.rate < 0:
        text = (
            f"a fit that falls, held at {format_size(max(row.sizes))}:"
            f" {format_value(cost_of_row(row, size))}"
        )
    else:
        text = f"fit, beyond {format_size(max(row.sizes))}: {by_fit}"
    before = " (text before)" if row.side == "before" else ""
    each = (
        f", {format_value(1e6 * cost_of_row(row, size) / size)} bytes each"
        if row.unit == "MB"
        else ""
    )
    return f"`{row.name}`, {row.state}{before}: {text} {row.unit}{each}"


def compute_figures(
    rows: Mapping[tuple[str, str, str], Row], roles: Sequence[Role] = ROLES
) -> list[Figure]:
    """Computes all needs of the roles."""
    return [compute_figure(role, need, rows) for role in roles for need in role.needs]


def rank_figures(figures: Iterable[Figure]) -> list[Figure]:
    """Returns the needs of today that exceed their budget at the planned size, worst first.

    The need that exceeds its budget at the smallest share of the planned size is first; at equal
    shares, the one that exceeds it the most. Needs that were not measured, are guesses or come from
    a busy machine are left out.
    """
    exceeded = [
        figure
        for figure in figures
        if figure.need.when == "today"
        and figure.need.budget is not None
        and figure.passing_share is not None
        and figure.passing_share < 1
        and "guess" not in figure.remarks
        and is_valid(figure)
    ]
    return sorted(
        exceeded, key=lambda figure: (figure.passing_share or 0.0, -(figure.budget_ratio or 0.0))
    )


def is_valid(figure: Figure) -> bool:
    """Returns whether no row of the figure comes from a busy machine."""
    return not any(BUSY_NOTE in word for word in figure.remarks)


def format_passing_size(figure: Figure) -> str:
    """Formats the size at which a need exceeds its budget."""
    if figure.need.has_no_mechanism:
        return "0: nothing carries it"
    if figure.need.budget is None or figure.value is None or not is_valid(figure):
        return "-"
    if figure.passing_share is None:
        return f"not up to {MAX_SHARE:.0f} times it"
    if not figure.quantities:
        return "at any size"
    if len(figure.quantities) != 1:
        return f"{figure.passing_share:.0%} of the coming {' and '.join(figure.quantities)}"
    # The smallest whole size above the one at which the need equals its budget.
    first_size = (
        math.floor(round(figure.passing_share * PLANNED_SIZES[figure.quantities[0]], 6)) + 1
    )
    return f"{first_size:,} {figure.quantities[0]}"


def format_ratio(figure: Figure) -> str:
    """Formats a need divided by its budget."""
    if figure.need.has_no_mechanism:
        return "nothing"
    if figure.budget_ratio is None or not is_valid(figure):
        return "-"
    return (
        f"{figure.budget_ratio:.2f}" if figure.budget_ratio < 100 else f"{figure.budget_ratio:.0f}"
    )


def format_need(figure: Figure) -> str:
    """Formats a need with its unit and remarks."""
    if figure.value is None:
        return ", ".join(figure.remarks)
    remark_text = f" ({', '.join(figure.remarks)})" if figure.remarks else ""
    return f"{format_value(figure.value)} {figure.need.unit}".strip() + remark_text


def table_line(*cells: str) -> str:
    """Returns a line of a Markdown table."""
    return f"| {' | '.join(cells)} |"


def table_head(*cells: str) -> list[str]:
    """Returns the head of a Markdown table."""
    return [table_line(*cells), table_line(*["---"] * len(cells))]


def format_budget(figure: Figure) -> str:
    """Formats the budget of a need."""
    return figure.need.budget.text if figure.need.budget else "none told"


def worst_figure(figures: Sequence[Figure]) -> Figure:
    """Returns the need of a role whose budget is exceeded at the smallest size.

    At equal sizes it is the need that exceeds its budget the most. If no need has both a budget and
    a valid figure, it is the first one.
    """
    comparable = [
        figure for figure in figures if figure.budget_ratio is not None and is_valid(figure)
    ]
    passing_shares = [
        math.inf if figure.passing_share is None else figure.passing_share for figure in comparable
    ]
    order = sorted(
        range(len(comparable)),
        key=lambda at: (passing_shares[at], -(comparable[at].budget_ratio or 0.0)),
    )
    return comparable[order[0]] if order else figures[0]


def summary_table(figures: Sequence[Figure]) -> list[str]:
    """Returns a table of the worst need of each role, both of today and of what is built."""
    lines = table_head(
        "role",
        "worst today",
        "need",
        "budget",
        "need over budget",
        "passed at",
        "carried today by",
        "worst of what is built, over its budget",
    )
    for role in dict.fromkeys(figure.role.name for figure in figures):
        role_figures = [figure for figure in figures if figure.role.name == role]
        worst_today = worst_figure(
            [figure for figure in role_figures if figure.need.when == "today"] or role_figures
        )
        built = [
            figure
            for figure in role_figures
            if figure.need.when == "built" and figure.need.budget is not None
        ]
        worst_built = "-"
        if built:
            largest = max(built, key=lambda figure: figure.budget_ratio or 0.0)
            worst_built = (
                "not measured"
                if largest.budget_ratio is None
                else f"{format_ratio(largest)}: {largest.need.title}"
            )
        lines.append(
            table_line(
                worst_today.role.title,
                worst_today.need.title,
                format_need(worst_today),
                format_budget(worst_today),
                format_ratio(worst_today),
                format_passing_size(worst_today),
                worst_today.need.mechanism,
                worst_built,
            )
        )
    return lines


def ranking_table(figures: Sequence[Figure]) -> list[str]:
    """Returns the table of exceeded budgets, and the needs that cannot be ranked."""
    lines = table_head(
        "", "role", "what", "part of the coming size at which it is passed", "need over budget"
    )
    for place, figure in enumerate(rank_figures(figures), 1):
        share = f"{figure.passing_share:.2%}" if figure.passing_share else "0"
        lines.append(
            table_line(
                f"{place}", figure.role.title, figure.need.title, share, format_ratio(figure)
            )
        )
    unknown = [
        f"{figure.role.title}: {figure.need.title}"
        for figure in figures
        if figure.need.when == "today"
        and figure.need.budget is not None
        and figure.value is None
        and not figure.need.has_no_mechanism
    ]
    busy = [
        f"{figure.role.title}: {figure.need.title}" for figure in figures if not is_valid(figure)
    ]
    return [
        *lines,
        "",
        f"Not ranked, as not measured: {'; '.join(unknown) or 'none'}. From a busy machine,"
        f" which counts for nothing: {'; '.join(busy) or 'none'}.",
    ]


def role_table(figures: Sequence[Figure], role: str) -> list[str]:
    """Returns the table of a role, with the computations and slopes behind it."""
    role_figures = [figure for figure in figures if figure.role.name == role]
    lines = table_head(
        "what",
        "when",
        "need at the coming size",
        "budget",
        "need over budget",
        "passed at",
        "mechanism",
    )
    lines += [
        table_line(
            figure.need.title,
            figure.need.when,
            format_need(figure),
            format_budget(figure),
            format_ratio(figure),
            format_passing_size(figure),
            figure.need.mechanism,
        )
        for figure in role_figures
    ]
    lines += ["", "Worked out:", ""]
    lines += [
        f"- {figure.need.title} ({figure.need.when}):"
        f" {figure.arithmetic or ', '.join(figure.remarks)}"
        for figure in role_figures
    ]
    used = {
        (row.name, row.state, row.side): row for figure in role_figures for row in figure.slopes
    }
    if used:
        lines += ["", "Slopes:", ""]
    for row in used.values():
        before = ", text before" if row.side == "before" else ""
        sizes, values = (
            ", ".join(map(format_size, row.sizes)),
            ", ".join(map(format_value, row.values)),
        )
        lines.append(
            f"- `{row.name}` ({row.unit}, {row.state}{before}) at {sizes} {row.by}: {values};"
            f" {describe_fit(fit(row.sizes, row.values))}; `{row.command}`, text {row.text};"
            f" {row.note}"
        )
    return lines


DATA_STRUCTURES = ("table", "plain dict", "bytes dict", "sqlite", "sorted arrays")
STRUCTURE_FIGURES = (
    ("memory", "rest"),
    ("lookup", "rest"),
    ("change", "rest"),
    ("page", "rest"),
    ("longest step", "rest"),
    ("fill", "cold"),
)


def structure_table(rows: Mapping[tuple[str, str, str], Row]) -> list[str]:
    """Returns a table that compares data structures for all configuration entries of the plan."""
    lines = table_head("way, at 670,000 entries", *(figure for figure, _ in STRUCTURE_FIGURES))
    for structure in DATA_STRUCTURES:
        cells = []
        for figure, state in STRUCTURE_FIGURES:
            row = rows.get((f"{structure} {figure}", state, "now"))
            cells.append(
                "-"
                if row is None
                else f"{format_value(cost_of_row(row, PLANNED_SIZES['entries']))} {row.unit}"
            )
        lines.append(table_line(structure, *cells))
    return lines


def make_tables(rows: Mapping[tuple[str, str, str], Row]) -> dict[str, list[str]]:
    """Returns the tables of the page by the names in its markers."""
    figures = compute_figures(rows)
    return {
        "summary": summary_table(figures),
        "ranking": ranking_table(figures),
        "ways": structure_table(rows),
    } | {role.name: role_table(figures, role.name) for role in ROLES}


class PageError(ValueError):
    """A marker of the page is unknown, there twice, missing or not closed."""


def replace_tables(page: str, tables: Mapping[str, Sequence[str]]) -> str:
    """Returns the page with these tables between its markers.

    Raises:
        PageError: A marker is unknown, there twice, missing or not closed.
    """
    out, seen, lines, at = [], [], page.splitlines(), 0
    while at < len(lines):
        out.append(lines[at])
        if marker := TABLE_START.fullmatch(lines[at].strip()):
            name = marker[1]
            if name not in tables or name in seen:
                raise PageError(
                    f"line {at + 1}: table {name!r} is"
                    f" {'there twice' if name in seen else 'not known'}"
                )
            seen.append(name)
            start = at
            while lines[at].strip() != TABLE_END:
                at += 1
                if at == len(lines) or TABLE_START.fullmatch(lines[at].strip()):
                    raise PageError(f"line {start + 1}: table {name!r} has no {TABLE_END}")
            out += [*tables[name], lines[at]]
        at += 1
    if missing := [name for name in tables if name not in seen]:
        raise PageError(f"tables that the page lacks: {', '.join(missing)}")
    return "\n".join(out) + "\n"
