"""What each role needs at the coming size, worked out from kept slopes: the tables of
docs/CAPACITY.md.

A row is a sum of terms: a slope at a size of the plan times a factor, or a figure that is given or
guessed. Between the sizes that were measured a cost is read from the measured ones, beyond them
from the fit. `burlloom lab capacity` prints the tables, `--write` puts them between the page's
markers, `--check` tells the lines that differ.
"""

import math
import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from ..fleet.membership import MembershipView
from .slopes import SLOPES_FILE, Row, describe_fit, fit, newest_rows, read_rows

SERVERS, CALLERS, SERVICES, REGIONS, ZONES, CONTROL = 2_600, 140_000, 3_000, 6, 14, 19
TENANTS, ROUTES, REQUESTS, CHANGES = (
    430_000,
    240_000,
    1_300_000,
    35_000,
)  # requests a second, changes a day
DEATHS, RESTARTS = 740, 11_000  # a day
DAY = 86_400
FOLLOWERS = math.ceil(SERVERS / CONTROL)  # of one control machine, all of them up
PART_LEAST, PART_MOST = (
    1e-4,
    100.0,
)  # of the coming size, between which the passing of a budget is looked for
COMING = {
    "servers": SERVERS,
    "members": SERVERS,
    "tenants": TENANTS,
    "routes": ROUTES,
    "entries": TENANTS + ROUTES,
    "followers": FOLLOWERS,
    "requests a second": REQUESTS / SERVERS,
    "changes": CHANGES / DAY,
    "connections": CALLERS / SERVERS,
}  # by what a slope's sizes are of
OPEN, END = re.compile(r"<!-- table: ([a-z0-9 -]+) -->"), "<!-- end -->"
POOR = 0.25  # a fit with a larger residual is told to be poor where it is all there is
BUSY = "counts for nothing"  # in the note of a row from a machine that was too busy


@dataclass(frozen=True, slots=True)
class Budget:
    amount: float
    unit: str
    of: str


CORE = Budget(37.0, "ms/s", "3.7% of a core")
MEMORY = Budget(128.0, "MB", "128 MB")
NET = Budget(9_000.0, "B/s", "9 KB a second")
ADDED = Budget(3.4, "ms", "3.4 ms added for 99 in 100")
IN_FORCE = Budget(6.0, "s", "in force within 6 s")
STALL = Budget(10.0, "ms/s", "1 request in 100 may meet a stall: 10 ms a second")


@dataclass(frozen=True, slots=True)
class Slope:
    """A kept row at the coming size of what it is measured by, or at `size`, times `factor` and
    where `times` names one, another row of the same state there; `why`: what the factor is;
    `grows`: with the size.
    """

    name: str
    state: str
    factor: float = 1.0
    why: str = ""
    size: float | None = None
    times: str = ""
    grows: bool = False

    def at(self, row: Row) -> float:
        return COMING[row.by] if self.size is None else self.size


@dataclass(frozen=True, slots=True)
class Given:
    """A figure without a slope, in the row's unit. `how`: `plan`, `code`, `guess`. `grows`: with
    servers.
    """

    value: float
    why: str
    how: str = "plan"
    grows: bool = False


@dataclass(frozen=True, slots=True)
class Need:
    """A row of a role. `when`: `today`, or `built` for what burlloom/distribution brings and nobody
    runs yet. Without terms it is not measured, or, where `nothing`, nothing carries it.
    """

    what: str
    unit: str
    terms: tuple[Slope | Given, ...]
    budget: Budget | None
    mechanism: str
    when: str = "today"
    nothing: bool = False


@dataclass(frozen=True, slots=True)
class Role:
    name: str
    title: str
    needs: tuple[Need, ...]


@dataclass(frozen=True, slots=True)
class Figure:
    """A row worked out. `need`: None where a term is missing. `passed`: the part of the coming size
    at which the budget is passed, None where it is not up to a hundred times that, or can't be
    told.
    """

    role: Role
    row: Need
    need: float | None
    arithmetic: str
    passed: float | None
    slopes: tuple[Row, ...]
    words: tuple[str, ...]  # guess, busy, not measured
    by: tuple[str, ...] = ()  # what the sizes are of that its passing is told in

    @property
    def over(self) -> float | None:
        if self.row.nothing:
            return math.inf
        return (
            None
            if self.need is None or self.row.budget is None
            else self.need / self.row.budget.amount
        )


GOSSIP = "gossip in one view of all (burlloom/fleet, SWIM)"
DEALING = "one dealer answers each report (burlloom/fleet)"
CONNECTIONS = "a bound of connections, limits.sockets (burlloom/rpc)"
NAMING = "a datagram each 200 ms (burlloom/discovery)"
RELEASE = "one leader and one book (burlloom/rollout)"
FILE = "a file a server, read whole at a reload"
TABLE = "Table: sorted leaves in 256 buckets (burlloom/distribution/table.py)"
CARRIER = "changes in a chain, pushed down a tree, repaired by digests (burlloom/distribution)"
A_SECOND = CHANGES / DAY
STARTS = DEATHS + RESTARTS
OWN = Given(27.0, "MB of a server by itself, as the issue tells it")
EACH = REQUESTS / SERVERS
ACROSS = (REGIONS - 1) / REGIONS

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
            Need("bytes at rest, both ways", "B/s", (Slope("member bytes", "rest"),), NET, GOSSIP),
            Need(
                "bytes in churn, both ways", "B/s", (Slope("member bytes", "churn"),), NET, GOSSIP
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
                f"{GOSSIP}; {CARRIER}",
                "built",
            ),
            Need(
                "bytes, member and follower",
                "B/s",
                (Slope("member bytes", "churn"), Slope("follower bytes by followers", "rest")),
                NET,
                f"{GOSSIP}; {CARRIER}",
                "built",
            ),
            Need(
                "memory, view and table and the server's own",
                "MB",
                (Slope("view memory", "rest"), Slope("table memory", "rest"), OWN),
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
            Need("processor time at rest", "ms/s", (Slope("dealer cpu", "rest"),), CORE, DEALING),
            Need("processor time in churn", "ms/s", (Slope("dealer cpu", "churn"),), CORE, DEALING),
            Need("bytes at rest, both ways", "B/s", (Slope("dealer bytes", "rest"),), NET, DEALING),
            Need(
                "bytes in churn, both ways", "B/s", (Slope("dealer bytes", "churn"),), NET, DEALING
            ),
            Need(
                "messages at rest, both ways",
                "1/s",
                (Slope("dealer messages", "rest"),),
                None,
                DEALING,
            ),
            Need(
                "processor time while all start at once",
                "ms/s",
                (Slope("dealer cpu", "cold"),),
                None,
                DEALING,
            ),
            Need(
                "memory with the accounts", "MB", (Slope("dealer memory", "rest"),), MEMORY, DEALING
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
                (Slope("book bytes", "rest", times="book steps"),),
                None,
                RELEASE,
            ),
            Need(
                "bytes of the book read by each server in a release",
                "B/s",
                (Slope("release read bytes", "rest"),),
                NET,
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
                (Slope("store swap cpu", "rest", times="book steps"),),
                Budget(1000.0, "ms/s", "one core: SQLite writes one at a time"),
                RELEASE,
            ),
            Need(
                "changes of configuration kept",
                "1/s",
                (Given(A_SECOND, f"{CHANGES:,} / {DAY:,} s"),),
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
                FILE,
            ),
            Need(
                "memory in a reload",
                "MB",
                (Slope("configuration memory peak", "churn"),),
                MEMORY,
                FILE,
            ),
            Need(
                "memory with tenants and routes",
                "MB",
                (Slope("configuration memory", "rest"), Slope("routes memory", "rest")),
                MEMORY,
                f"{FILE}; a plain dict of routes",
            ),
            Need(
                "processor time of changes, a reload each",
                "ms/s",
                (Slope("reload cpu", "churn", A_SECOND, f"{CHANGES:,} changes / {DAY:,} s"),),
                CORE,
                FILE,
            ),
            Need(
                "stall of the loop for changes, a reload each",
                "ms/s",
                (Slope("reload stall", "churn", A_SECOND, f"{CHANGES:,} changes / {DAY:,} s"),),
                STALL,
                FILE,
            ),
            Need("one reload's stall", "ms", (Slope("reload stall", "churn"),), None, FILE),
            Need(
                "start, processor time",
                "ms",
                (Slope("configuration start cpu", "cold"),),
                None,
                FILE,
            ),
            Need(
                "memory with the table",
                "MB",
                (Slope("table memory", "rest"), OWN),
                MEMORY,
                TABLE,
                "built",
            ),
            Need(
                "processor time of changes of 64",
                "ms/s",
                (Slope("table change", "rest", A_SECOND, f"{CHANGES:,} changes / {DAY:,} s"),),
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
                        EACH / 1000,
                        f"{EACH:.0f} requests a second, us to ms",
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
                IN_FORCE,
                "none: nothing carries a change to other machines",
                nothing=True,
            ),
            Need(
                "a follower's processor time",
                "ms/s",
                (Slope("follower cpu by followers", "rest"),),
                CORE,
                CARRIER,
                "built",
            ),
            Need(
                "a follower's bytes",
                "B/s",
                (Slope("follower bytes by followers", "rest"),),
                NET,
                CARRIER,
                "built",
            ),
            Need(
                "a follower's processor time by changes",
                "ms/s",
                (Slope("follower cpu by changes", "rest"),),
                CORE,
                CARRIER,
                "built",
            ),
            Need(
                "a follower's bytes by changes",
                "B/s",
                (Slope("follower bytes by changes", "rest"),),
                NET,
                CARRIER,
                "built",
            ),
            Need(
                "a follower's processor time at ten times the changes",
                "ms/s",
                (Slope("follower cpu by changes", "rest", size=10 * A_SECOND),),
                CORE,
                CARRIER,
                "built",
            ),
            Need(
                "a follower's bytes at ten times the changes",
                "B/s",
                (Slope("follower bytes by changes", "rest", size=10 * A_SECOND),),
                NET,
                CARRIER,
                "built",
            ),
            Need(
                "a follower's bytes until all is there, once",
                "B",
                (Slope("follower bytes by followers", "cold"),),
                None,
                CARRIER,
                "built",
            ),
            Need(
                "a source's processor time",
                "ms/s",
                (Slope("source cpu by followers", "rest"),),
                CORE,
                CARRIER,
                "built",
            ),
            Need(
                "a newcomer's whole copy at 9 KB a second",
                "s",
                (
                    Slope(
                        "table memory",
                        "rest",
                        1e6 / NET.amount,
                        "a million bytes a MB, 9,000 a second",
                    ),
                ),
                None,
                CARRIER,
                "built",
            ),
            Need(
                "copies taken and given, every server a relay",
                "B/s",
                (
                    Slope(
                        "table memory",
                        "rest",
                        2e6 * STARTS / SERVERS / DAY,
                        f"2 x {STARTS:,} starts a day / {SERVERS:,} / {DAY:,} s x a million",
                    ),
                ),
                NET,
                CARRIER,
                "built",
            ),
            Need(
                "a server's copies, mean of a day",
                "B/s",
                (
                    Slope(
                        "table memory",
                        "rest",
                        1e6 * STARTS / SERVERS / DAY,
                        f"{STARTS:,} starts a day / {SERVERS:,} / {DAY:,} s x a million",
                    ),
                ),
                NET,
                CARRIER,
                "built",
            ),
        ),
    ),
    Role(
        "discovery",
        "Discovery: reports to the name service",
        (
            Need("a server's reports", "B/s", (Slope("discovery bytes", "rest"),), NET, NAMING),
            Need(
                "a server's processor time", "ms/s", (Slope("discovery cpu", "rest"),), CORE, NAMING
            ),
            Need(
                "datagrams at the name service",
                "1/s",
                (Slope("name service messages", "rest"),),
                None,
                NAMING,
            ),
            Need(
                "bytes at the name service",
                "B/s",
                (Slope("name service bytes", "rest"),),
                None,
                NAMING,
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
                ADDED,
                "burlloom/admission and the sockets",
            ),
            Need(
                "added for 99 in 100, with calls below",
                "ms",
                (Slope("request p99 added with calls", "churn"),),
                ADDED,
                "burlloom/admission and the sockets",
            ),
            Need(
                "the same without calls, of the calmest span of a run",
                "ms",
                (Slope("request p99 added least", "churn"),),
                ADDED,
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
                ADDED,
                FILE,
            ),
            Need(
                "added for 99 in 100 around a rejoin",
                "ms",
                (Slope("request p99 added in a rejoin", "churn"),),
                ADDED,
                GOSSIP,
            ),
            Need(
                "added for 99 in 100 at the one that deals",
                "ms",
                (Slope("request p99 added while it deals", "rest"),),
                ADDED,
                DEALING,
            ),
            Need(
                "added for 99 in 100 at the one that leads a release",
                "ms",
                (Slope("request p99 added while it leads a release", "churn"),),
                ADDED,
                RELEASE,
            ),
            Need(
                "processor time of the requests, a call below each",
                "ms/s",
                (
                    Slope(
                        "request cpu with calls", "churn", EACH, f"{EACH:.0f} a second", grows=True
                    ),
                ),
                Budget(1000.0, "ms/s", "one core: it is not control"),
                "burlloom/admission and the sockets",
            ),
            Need(
                "processor time of the requests",
                "ms/s",
                (Slope("request cpu", "churn", EACH, f"{EACH:.0f} a second", grows=True),),
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
                (Given(DAY * 150 / 1e6, "1 line a second x 150 bytes x 86,400 s", "guess"),),
                None,
                "key=value lines, at most 50 a second (burlloom/server/logs.py)",
            ),
            Need(
                "the fleet's log",
                "GB/day",
                (
                    Given(
                        SERVERS * DAY * 150 / 1e9,
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
                        SERVERS * DAY * 50 * 150 / 1e12,
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
                (Given(FOLLOWERS, f"{SERVERS:,} / {CONTROL}", "plan", True),),
                None,
                CARRIER,
                "built",
            ),
            Need(
                "followers of one, a region's 3 lost",
                "",
                (
                    Given(
                        math.ceil(SERVERS / (CONTROL - 3)),
                        f"{SERVERS:,} / {CONTROL - 3}",
                        "plan",
                        True,
                    ),
                ),
                None,
                CARRIER,
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
                CARRIER,
                "built",
            ),
            Need(
                "processor time of one, a region's 3 lost",
                "ms/s",
                (
                    Slope(
                        "source cpu by followers", "rest", size=math.ceil(SERVERS / (CONTROL - 3))
                    ),
                ),
                CORE,
                CARRIER,
                "built",
            ),
            Need(
                "bytes of one to its followers at rest",
                "B/s",
                (Slope("source bytes by followers", "rest"),),
                NET,
                CARRIER,
                "built",
            ),
            Need(
                "bytes of one for newcomers, mean of a day",
                "B/s",
                (
                    Slope(
                        "table memory",
                        "rest",
                        1e6 * STARTS / CONTROL / DAY,
                        f"{STARTS:,} starts a day / {CONTROL} / {DAY:,} s x a million",
                    ),
                ),
                NET,
                CARRIER,
                "built",
            ),
            Need(
                "roles of today on a machine of their own",
                "",
                (),
                None,
                "none: each role is on some server",
                nothing=True,
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
                        SERVERS * ACROSS,
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
                        ACROSS,
                        f"{REGIONS - 1}/{REGIONS} of the fleet is elsewhere",
                    ),
                ),
                None,
                DEALING,
            ),
            Need(
                "changes, once to each region",
                "B/s",
                (
                    Given(
                        (REGIONS - 1) * A_SECOND * 1400,
                        f"{REGIONS - 1} x {A_SECOND:.3f} changes a second x 1,400 bytes",
                        "code",
                    ),
                ),
                None,
                CARRIER,
                "built",
            ),
        ),
    ),
)


def cost(row: Row, size: float) -> float:
    """Between measured sizes by those, beyond them by the fit; one that falls is held at its last
    size.
    """
    if min(row.sizes) <= size <= max(row.sizes):
        pairs = sorted(zip(row.sizes, row.values, strict=True))
        return float(np.interp(size, [pair[0] for pair in pairs], [pair[1] for pair in pairs]))
    found = fit(row.sizes, row.values)
    return max(0.0, found.at(min(size, max(row.sizes)) if found.rate < 0 else size))


def latest(path: Path = SLOPES_FILE) -> dict[tuple[str, str, str], Row]:
    """By name, state and side the row that was kept last, in whatever order branches were
    joined.
    """
    return newest_rows(sorted(read_rows(path), key=lambda row: row.at))


def row_of(rows: Mapping[tuple[str, str, str], Row], name: str, state: str) -> Row | None:
    """What the text of today costs; where only the text before a change was measured, that."""
    return rows.get((name, state, "now")) or rows.get((name, state, "before"))


def of_term(rows: Mapping[tuple[str, str, str], Row], term: Slope) -> list[Row] | str:
    """The rows that a term is a product of, or what is missing."""
    found = []
    for name in (term.name, term.times) if term.times else (term.name,):
        row = row_of(rows, name, term.state)
        if row is None:
            return f"`{name}`, {term.state}: not measured"
        if term.size is None and row.by not in COMING:
            return f"`{name}`, {term.state}: not measured by what the plan tells, but by {row.by}"
        found.append(row)
    return found


def worked_out(role: Role, need: Need, rows: Mapping[tuple[str, str, str], Row]) -> Figure:
    used, words, parts = [], [], []
    for term in need.terms:
        if isinstance(term, Given):
            if term.how == "guess":
                words.append("guess")
            parts.append(f"{shown(term.value)} ({term.why}; {term.how})")
            continue
        found = of_term(rows, term)
        if isinstance(found, str):
            words.append("not measured")
            parts.append(found)
            continue
        used += found
        if any(BUSY in row.note for row in found):
            words.append("busy machine: counts for nothing")
        if any(
            term.at(row) > max(row.sizes) and fit(row.sizes, row.values).residual > POOR
            for row in found
        ):
            words.append("beyond what was measured, by a poor fit")
        parts.append(term_shown(term, found))
    if not need.terms:
        words.append("nothing carries it" if need.nothing else "not measured")
    if "not measured" in words or not need.terms:
        return Figure(
            role,
            need,
            None,
            "; ".join(parts),
            0.0 if need.nothing else None,
            tuple(used),
            tuple(words),
        )

    def at(part: float) -> float:
        whole = 0.0
        for term in need.terms:
            if isinstance(term, Given):
                whole += term.value * (part if term.grows else 1.0)
            else:
                whole += (
                    term.factor
                    * (part if term.grows else 1.0)
                    * math.prod(
                        cost(row, term.at(row) * part)
                        for row in of_term(rows, term)
                        if isinstance(row, Row)
                    )
                )
        return whole

    passed = None if need.budget is None else passed_at(at, need.budget.amount)
    arithmetic = " + ".join(parts) + (f" = {shown(at(1.0))} {need.unit}" if len(parts) > 1 else "")
    by = (
        *(row.by for row in used),
        *("servers" for term in need.terms if isinstance(term, Given) and term.grows),
    )
    return Figure(
        role,
        need,
        at(1.0),
        arithmetic,
        passed,
        tuple(used),
        tuple(dict.fromkeys(words)),
        tuple(dict.fromkeys(by)),
    )


def passed_at(cost_at: Callable[[float], float], budget: float) -> float | None:
    """The part of the coming size from which on the budget is passed: where it is at the whole, the
    least from which on it stays so; else the next past the whole, None where there is none up to
    `PART_MOST`.
    """
    steps = [float(part) for part in np.geomspace(PART_LEAST, PART_MOST, 601)]
    at = min(range(len(steps)), key=lambda step: abs(steps[step] - 1.0))
    steps[at] = 1.0
    if cost_at(1.0) > budget:
        while at and cost_at(steps[at - 1]) > budget:
            at -= 1
        if not at:
            return PART_LEAST
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


def shown(value: float) -> str:
    """Three digits, or whole."""
    if abs(value) < 1e-9 or not math.isfinite(value):
        return "0" if abs(value) < 1e-9 else "-"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:.{digits}f}"


def number(size: float) -> str:
    return f"{size:,.10g}" if size == int(size) else shown(size)


def term_shown(term: Slope, rows: Sequence[Row]) -> str:
    """The sum as a reader would do it by hand."""
    whole = term.factor * math.prod(cost(row, term.at(row)) for row in rows)
    times = f"; x {shown(term.factor)} ({term.why})" if term.why else ""
    return (
        " x ".join(row_shown(row, term.at(row)) for row in rows)
        + times
        + (f" = {shown(whole)}" if times or len(rows) > 1 else "")
    )


def row_shown(row: Row, size: float) -> str:
    found = fit(row.sizes, row.values)
    inside = min(row.sizes) <= size <= max(row.sizes)
    grows = {
        "flat": "",
        "log": f" x log2({number(size)})",
        "linear": f" x {number(size)}",
        "square": f" x {number(size)}^2",
    }[found.shape]
    rate = f" {'-' if found.rate < 0 else '+'} {abs(found.rate):.3g}{grows}" if grows else ""
    by_fit = f"{shown(found.base)}{rate} = {shown(found.at(size))}" if grows else shown(found.base)
    if size in row.sizes:
        said = f"{shown(cost(row, size))} measured; fit {by_fit}"
    elif inside:
        said = f"{shown(cost(row, size))} between measured sizes; fit {by_fit}"
    elif size < min(row.sizes):
        said = f"fit, below {number(min(row.sizes))}: {by_fit}"
    elif found.rate < 0:
        said = f"a fit that falls, held at {number(max(row.sizes))}: {shown(cost(row, size))}"
    else:
        said = f"fit, beyond {number(max(row.sizes))}: {by_fit}"
    before = " (text before)" if row.side == "before" else ""
    each = f", {shown(1e6 * cost(row, size) / size)} bytes each" if row.unit == "MB" else ""
    return f"`{row.name}`, {row.state}{before}: {said} {row.unit}{each}"


def figures(
    rows: Mapping[tuple[str, str, str], Row], roles: Sequence[Role] = ROLES
) -> list[Figure]:
    return [worked_out(role, need, rows) for role in roles for need in role.needs]


def ranking(found: Iterable[Figure]) -> list[Figure]:
    """What is missing today, the first first: passed at the smallest part of the coming size, then
    the most over. What was not measured, is a guess or comes from a busy machine is not ranked.
    """
    real = [
        one
        for one in found
        if one.row.when == "today"
        and one.row.budget is not None
        and one.passed is not None
        and one.passed < 1
        and "guess" not in one.words
        and counts(one)
    ]
    return sorted(real, key=lambda one: (one.passed or 0.0, -(one.over or 0.0)))


def counts(one: Figure) -> bool:
    return not any(BUSY in word for word in one.words)


def where(one: Figure) -> str:
    if one.row.nothing:
        return "0: nothing carries it"
    if one.row.budget is None or one.need is None or not counts(one):
        return "-"
    if one.passed is None:
        return f"not up to {PART_MOST:.0f} times it"
    if not one.by:
        return "at any size"
    if len(one.by) != 1:
        return f"{one.passed:.0%} of the coming {' and '.join(one.by)}"
    first = math.floor(round(one.passed * COMING[one.by[0]], 6)) + 1  # the first whole size over it
    return f"{first:,} {one.by[0]}"


def over(one: Figure) -> str:
    if one.row.nothing:
        return "nothing"
    if one.over is None or not counts(one):
        return "-"
    return f"{one.over:.2f}" if one.over < 100 else f"{one.over:.0f}"


def need_told(one: Figure) -> str:
    if one.need is None:
        return ", ".join(one.words)
    rest = f" ({', '.join(one.words)})" if one.words else ""
    return f"{shown(one.need)} {one.row.unit}".strip() + rest


def line(*cells: str) -> str:
    return f"| {' | '.join(cells)} |"


def head(*cells: str) -> list[str]:
    return [line(*cells), line(*["---"] * len(cells))]


def budget_told(one: Figure) -> str:
    return one.row.budget.of if one.row.budget else "none told"


def worst(found: Sequence[Figure]) -> Figure:
    """Of a role's rows the one whose budget is passed first, of those the one most over; the first
    where none has a budget and a figure.
    """
    judged = [one for one in found if one.over is not None and counts(one)]
    early = [math.inf if one.passed is None else one.passed for one in judged]
    order = sorted(range(len(judged)), key=lambda at: (early[at], -(judged[at].over or 0.0)))
    return judged[order[0]] if order else found[0]


def summary(found: Sequence[Figure]) -> list[str]:
    """A line a role: its worst row of today, and of what is built."""
    lines = head(
        "role",
        "worst today",
        "need",
        "budget",
        "need over budget",
        "passed at",
        "carried today by",
        "worst of what is built, over its budget",
    )
    for role in dict.fromkeys(one.role.name for one in found):
        mine = [one for one in found if one.role.name == role]
        first = worst([one for one in mine if one.row.when == "today"] or mine)
        built = [one for one in mine if one.row.when == "built" and one.row.budget is not None]
        after = "-"
        if built:
            most = max(built, key=lambda one: one.over or 0.0)
            after = "not measured" if most.over is None else f"{over(most)}: {most.row.what}"
        lines.append(
            line(
                first.role.title,
                first.row.what,
                need_told(first),
                budget_told(first),
                over(first),
                where(first),
                first.row.mechanism,
                after,
            )
        )
    return lines


def ranked(found: Sequence[Figure]) -> list[str]:
    lines = head(
        "", "role", "what", "part of the coming size at which it is passed", "need over budget"
    )
    for place, one in enumerate(ranking(found), 1):
        part = f"{one.passed:.2%}" if one.passed else "0"
        lines.append(line(f"{place}", one.role.title, one.row.what, part, over(one)))
    unknown = [
        f"{one.role.title}: {one.row.what}"
        for one in found
        if one.row.when == "today"
        and one.row.budget is not None
        and one.need is None
        and not one.row.nothing
    ]
    busy = [f"{one.role.title}: {one.row.what}" for one in found if not counts(one)]
    return [
        *lines,
        "",
        f"Not ranked, as not measured: {'; '.join(unknown) or 'none'}. From a busy machine,"
        f" which counts for nothing: {'; '.join(busy) or 'none'}.",
    ]


def of_role(found: Sequence[Figure], role: str) -> list[str]:
    mine = [one for one in found if one.role.name == role]
    lines = head(
        "what",
        "when",
        "need at the coming size",
        "budget",
        "need over budget",
        "passed at",
        "mechanism",
    )
    lines += [
        line(
            one.row.what,
            one.row.when,
            need_told(one),
            budget_told(one),
            over(one),
            where(one),
            one.row.mechanism,
        )
        for one in mine
    ]
    lines += ["", "Worked out:", ""]
    lines += [
        f"- {one.row.what} ({one.row.when}): {one.arithmetic or ', '.join(one.words)}"
        for one in mine
    ]
    used = {(row.name, row.state, row.side): row for one in mine for row in one.slopes}
    if used:
        lines += ["", "Slopes:", ""]
    for row in used.values():
        before = ", text before" if row.side == "before" else ""
        sizes, values = (", ".join(map(number, row.sizes)), ", ".join(map(shown, row.values)))
        lines.append(
            f"- `{row.name}` ({row.unit}, {row.state}{before}) at {sizes} {row.by}: {values};"
            f" {describe_fit(fit(row.sizes, row.values))}; `{row.command}`, text {row.text};"
            f" {row.note}"
        )
    return lines


WAYS = ("table", "plain dict", "bytes dict", "sqlite", "sorted arrays")
WAYS_TOLD = (
    ("memory", "rest"),
    ("lookup", "rest"),
    ("change", "rest"),
    ("page", "rest"),
    ("longest step", "rest"),
    ("fill", "cold"),
)


def ways(rows: Mapping[tuple[str, str, str], Row]) -> list[str]:
    """Ways to hold all entries of the plan, beside each other."""
    lines = head("way, at 670,000 entries", *(figure for figure, _ in WAYS_TOLD))
    for way in WAYS:
        told = []
        for figure, state in WAYS_TOLD:
            row = rows.get((f"{way} {figure}", state, "now"))
            told.append("-" if row is None else f"{shown(cost(row, COMING['entries']))} {row.unit}")
        lines.append(line(way, *told))
    return lines


def tables(rows: Mapping[tuple[str, str, str], Row]) -> dict[str, list[str]]:
    """The page's tables by the names in its markers."""
    found = figures(rows)
    return {"summary": summary(found), "ranking": ranked(found), "ways": ways(rows)} | {
        role.name: of_role(found, role.name) for role in ROLES
    }


class NoPage(ValueError):
    """The page's markers can't be used; the words say why."""


def written(page: str, made: Mapping[str, Sequence[str]]) -> str:
    """The page with these tables between its markers. Raises `NoPage` for an unknown, double,
    missing or unclosed marker.
    """
    out, seen, lines, at = [], [], page.splitlines(), 0
    while at < len(lines):
        out.append(lines[at])
        if marker := OPEN.fullmatch(lines[at].strip()):
            name = marker[1]
            if name not in made or name in seen:
                raise NoPage(
                    f"line {at + 1}: table {name!r} is {'there twice' if name in seen else 'not known'}"
                )
            seen.append(name)
            began = at
            while lines[at].strip() != END:
                at += 1
                if at == len(lines) or OPEN.fullmatch(lines[at].strip()):
                    raise NoPage(f"line {began + 1}: table {name!r} has no {END}")
            out += [*made[name], lines[at]]
        at += 1
    if missing := [name for name in made if name not in seen]:
        raise NoPage(f"tables that the page lacks: {', '.join(missing)}")
    return "\n".join(out) + "\n"
