"""The decisions of one server: what it takes, starts, turns away and calls.

A host makes one `Choice` for each life of a server, calls `begin`, and from then on hands it each
thing that happens, in order and with the time: `arrived`, `ended`, `at_call`, `call_ended`, `left`,
`leaving`, `woke` and, where they are on, `serve_at` for levels of reduced service and `share_calls`
for a share of the calls that the fleet deals. Each acts at once through `interface.Effects`; the
types are in `interface.py`, the reasons in `docs/design.md`. Read TABLE first: a txn in a state
meets an input; the first row whose tests all hold moves it and has its effect. Tests and effects
are methods of `Choice`, or else of `interface.Effects`.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import replace
from enum import IntEnum
from random import Random
from typing import Any, NamedTuple

from .model import (
    Degradation,
    Effects,
    Gauges,
    Idempotency,
    LoadReportKind,
    Outcome,
    Request,
    ServerSettings,
    ServiceLevel,
)

MS = 1_000_000
ROUND = 100 * MS  # between timer rounds
JOSTLE = 200 * MS  # a held txn older than this may be ousted
MARGIN = 20 * MS  # an answer's way out
SURE = 0.6  # of what a run is thought to need
CUT = 0.7  # what is left of the run limit after a cut
IDLE_USE, JAMMED = 0.97, 1.5  # cores used less are idle; more than this wanting each is a jam
HOLD_RUNS = 2  # held txns for each that may run: more would only be answered late
HOLD_SHARE = 0.25  # of memory, for the hold
MEMORY_SHARE = 0.97  # of memory, for everything
CROWD_SHARE = 0.85  # of the crowd that kills
STALL = (
    6000 * MS
)  # time of all runs in which none moves: work hangs; two may rest a second by chance
GAP = 3 * ROUND  # no event for this long: the process stood still
REST = 0.5  # of its SLA time that a held txn is given back with, to be tried elsewhere
BREAK_AFTER, TRIAL = (
    5,
    500 * MS,
)  # calls failed in a row until calling stops; between its single trials
# a share under one call is metered over a span in which it comes to this many times the linger
CALL_ROOM = 8
CALLS_MIN, CROWDED, CREEP, REBASE = (
    5,
    3.0,
    1.005,
    1.1,
)  # to judge by; too long; the base's creep, or leap
ENDS, ENDS_FOR = (
    16,
    5000 * MS,
)  # of a product, that tell what runs take: few, as slow calls are soon past
NEWEST, QUICKER = 4, 0.7  # of those, the last ones; where they take so much less, they alone tell
PATIENCE, PATIENCE_MIN = (
    25,
    100 * MS,
)  # how many times the usual a call is waited for, but so long at least
AILING_MIN, AILING_FROM = (
    6,
    0.25,
)  # ended runs, and the share of them that failed, until that is a sign
PRESS_GAIN, PRESS_AIM, FINAL = (
    0.07,
    0.1,
    0.2,
)  # pressure: its step, its aim, not elsewhere from there
SPARE_LINKS, SPARE_IDLE = 4, 1000 * MS  # connections for each use, and how long one more may idle
FLOOD_USE, FLOOD = 0.9, 0.3  # cores used more, and more turned away: no connection is spare
ROOMY = 4.0  # allowance at no pressure, over the run limit

NEVER = 1 << 62
PROVES_UNRUN = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NO_LONGER_NEEDED)
LEAVES_BEHIND = (
    Outcome.TIMED_OUT,
    Outcome.CONNECTION_LOST,
    Outcome.ABANDONED,
)  # the call is still in hand below

State = IntEnum("State", "NEW HELD RUN DOOR CALL TAIL COPY RAN GONE", start=0)
Input = IntEnum(
    "Input", "READ PICK OUST ROUND LEFT LEVEL NEEDS GRANT BACK BROKE END MOOT UNRUN TAKEN", start=0
)
UNBEGUN = {
    Outcome.NO_LONGER_NEEDED: Input.MOOT,
    Outcome.NOT_RECORDED: Input.UNRUN,
    Outcome.CLAIMED_ELSEWHERE: Input.TAKEN,
}

TABLE = """
NEW   READ   ran_before past           GONE  fail
NEW   READ   ran_before no_copy_room   GONE  fail
NEW   READ   ran_before                COPY  reuse_result
NEW   READ   reduced                   GONE  relieve
NEW   READ   unwanted                  GONE  turn_away
NEW   READ   no_entry                  GONE  turn_away
NEW   READ   full                      GONE  exceed
NEW   READ   -                         HELD  hold
HELD  PICK   late                      GONE  turn_away
HELD  PICK   -                         RUN   begin_run
HELD  OUST   -                         GONE  overwrite
HELD  ROUND  past                      GONE  turn_away
HELD  ROUND  late                      GONE  turn_away
HELD  LEFT   -                         GONE  drop
HELD  LEVEL  reduced                   GONE  relieve
RUN   NEEDS  -                         DOOR  queue
RUN   ROUND  past                      TAIL  fail
RUN   LEFT   -                         TAIL  -
RUN   END    -                         RAN   finish
RUN   MOOT   -                         GONE  drop
RUN   UNRUN  -                         GONE  turn_away
RUN   TAKEN  -                         COPY  reuse_result
DOOR  GRANT  -                         CALL  dial
DOOR  ROUND  past                      TAIL  fail
DOOR  ROUND  can_skip no_call          RUN   skip_call
DOOR  LEFT   -                         TAIL  -
DOOR  END    -                         RAN   finish
CALL  BACK   -                         RUN   -
CALL  BROKE  may_repeat                DOOR  queue
CALL  BROKE  can_skip                  RUN   skip_call
CALL  BROKE  -                         TAIL  fail
CALL  ROUND  past                      TAIL  fail
CALL  LEFT   -                         TAIL  -
CALL  END    -                         RAN   finish
TAIL  END    -                         RAN   -
TAIL  MOOT   -                         GONE  drop
TAIL  UNRUN  -                         GONE  drop
TAIL  TAKEN  -                         GONE  drop
COPY  END    -                         RAN   -
COPY  MOOT   -                         GONE  -
COPY  ROUND  past                      GONE  fail
COPY  LEFT   -                         GONE  -
"""


class Ring:
    """What was added over the last `span`, in buckets of time that are used again in turn."""

    def __init__(self, span: int, buckets: int = 10) -> None:
        self.width = span // buckets
        self.sums = [0.0] * buckets
        self.sum, self.last = 0.0, 0

    def total(self, now: int) -> float:
        bucket = now // self.width
        if bucket > self.last:
            for old in range(max(self.last, bucket - len(self.sums)) + 1, bucket + 1):
                self.sums[old % len(self.sums)] = 0.0
            self.sum, self.last = sum(self.sums), bucket
        return self.sum

    def add(self, now: int, amount: float) -> None:
        self.sum = self.total(now) + amount
        self.sums[self.last % len(self.sums)] += amount


class Case:
    """A txn and where it stands."""

    __slots__ = tuple("txn state arrived wanted give_back due since kept over heir outcome".split())

    def __init__(self, txn: Request, now: int, facts: ServerSettings) -> None:
        product = facts.request_classes[txn.request_class]
        self.txn = txn
        self.state = State.NEW
        self.arrived = now - txn.unread_ns
        self.due = max(now, txn.deadline_at_ns or self.arrived + product.deadline_ns)
        sla_at = min(
            self.due,
            self.arrived
            + product.latency_objective_ns
            + int(product.latency_objective_stretch * txn.cost_ns),
        )
        self.wanted = self.due if product.late_value_share else sla_at
        self.give_back = self.wanted - int(REST * (self.wanted - self.arrived))
        self.since = self.kept = self.over = 0
        self.heir: Case | None = None
        self.outcome = Outcome.OK


class ControllerSizes(NamedTuple):
    """The number of objects that an `AdmissionController` holds.

    Attributes:
        requests: requests whose reference may still be named.
        live: those of them that are not over.
        ended: those of them that are over and not yet released.
        lingering_calls: calls given up that the dependency may still work on.
    """

    requests: int
    live: int
    ended: int
    lingering_calls: int


class AdmissionController:
    def __init__(self, facts: ServerSettings, seed: int, effects: Effects, now: int) -> None:
        self.facts, self.do, self.now, self.born = facts, effects, now, now
        self.chance = Random(seed).random
        self.limit = float(facts.cores)
        self.weight = [1.0, 1.0] + [facts.running_memory_factor] * 5 + [0.0, 0.0]
        self.count = [0] * len(State)
        self.requests: dict[int, Case] = {}
        self.live: dict[int, Case] = {}
        self.hold_list: OrderedDict[int, Case] = OrderedDict()
        self.door: OrderedDict[int, Case] = OrderedDict()
        self.spent: list[Case] = []
        self.kb = self.held_kb = self.call_base = self.call_press = 0.0
        self.keys = self.overwritten = self.exceeded = self.call_need = 0
        self.slept, self.moved = 0, now
        self.stop, self.last_arrival = NEVER, NEVER
        self.good, self.idle, self.pressure, self.told = (
            True,
            facts.idle_timeout_ns,
            1 - self.warmth(),
            -1.0,
        )
        self.lingering: list[int] = []
        self.broken = self.trial_at = self.timeouts = self.call_next = 0
        self.call_most = facts.call_quota or facts.max_runs_per_core * facts.cores
        self.call_limit = max(min(1.0, self.call_most), self.call_most / 2)
        self.call_times, self.calls = Ring(1000 * MS), Ring(1000 * MS)
        self.meter_calls()
        self.took = [deque[tuple[int, int, int]](maxlen=ENDS) for _ in facts.request_classes]
        self.ends, self.bad_ends = Ring(2000 * MS), Ring(2000 * MS)
        self.read, self.turned, self.unread = Ring(1000 * MS), Ring(1000 * MS), Ring(1000 * MS)
        self.top = 1 - 1 / len(
            {product.value for product in facts.request_classes}
        )  # the highest value stays above
        self.lag = min(product.latency_objective_ns for product in facts.request_classes)
        self.service = ServiceLevel()

    # What the host calls.

    def start(self, now: int) -> None:
        self.do.set_health(True)
        self.do.schedule_timer(ROUND, 0)

    def request_arrived(self, now: int, txn: Request) -> None:
        self.tick(now)
        case = self.requests[txn.ref] = self.live[txn.ref] = Case(txn, now, self.facts)
        self.count[State.NEW] += 1
        self.kb += txn.memory_kb
        self.read.add(now, 1)
        self.unread.add(now, txn.unread_ns)
        self.feed(case, Input.READ)
        self.advance()

    def run_ended(self, now: int, ref: int, outcome: Outcome, took: int) -> None:
        case = self.requests.get(ref)
        if case is not None:
            if case.state == State.RUN and outcome not in UNBEGUN:
                self.ends.add(now, 1)
                self.bad_ends.add(now, outcome is Outcome.FAILED)
                if outcome is Outcome.OK:
                    self.took[case.txn.request_class].append((now, took, case.txn.cost_ns or 1))
            case.outcome = outcome
        self.meet(now, ref, UNBEGUN.get(outcome, Input.END))

    def call_requested(self, now: int, ref: int) -> None:
        self.meet(now, ref, Input.NEEDS)

    def caller_gone(self, now: int, ref: int) -> None:
        self.meet(now, ref, Input.LEFT)

    def call_ended(self, now: int, ref: int, outcome: Outcome, took: int) -> None:
        case = self.requests.get(ref)
        if case is not None and case.state == State.CALL:
            case.outcome = outcome
            self.broken = 0 if outcome is Outcome.OK else self.broken + 1
            self.trial_at = now + TRIAL
            self.timeouts += outcome is Outcome.TIMED_OUT
            need = (
                self.facts.abandoned_call_linger_ns + 2 * took
                if outcome is Outcome.OK
                else 2 * self.call_need
            )
            if outcome in (Outcome.OK, Outcome.TIMED_OUT):
                self.call_need = int(
                    max(2 * self.facts.abandoned_call_linger_ns, min(need, self.call_quota() / 2))
                )
            # Below one call the limit is a share of time, by chance: not all servers in step.
            rest = 2 * took * self.chance() * (1 / min(1.0, self.call_limit) - 1)
            self.call_next = now + int(min(2 * TRIAL, rest))
            self.call_times.add(now, took * (outcome is not Outcome.TIMED_OUT))
            self.calls.add(now, outcome is not Outcome.TIMED_OUT)
        self.meet(now, ref, Input.BACK if outcome is Outcome.OK else Input.BROKE)

    def drain(self, now: int, noticed: int, stop: int) -> None:
        """`noticed` is when the notice came, by the most cautious reckoning: the grace counts from
        there.
        """
        self.tick(now)
        self.stop, self.last_arrival = stop, noticed + self.facts.drain_grace_ns
        self.signal()
        self.advance()

    def set_service_level(self, now: int, service: ServiceLevel) -> None:
        """A level of reduced service holds from now on: what it takes away of the held is told at
        once.
        """
        self.tick(now)
        self.service = service
        for case in list(self.hold_list.values()):
            self.feed(case, Input.LEVEL)
        self.signal()
        self.advance()

    def set_call_quota(self, now: int, share: float) -> None:
        """Our share of the calls below from now on, above 0. Those in hand stay; none is added past
        it.
        """
        self.tick(now)
        self.facts, self.call_most = replace(self.facts, call_quota=share), share
        if 0 < share < 1 and self.call_quota() < CALL_ROOM * self.facts.abandoned_call_linger_ns:
            self.meter_calls()
        self.call_limit = min(max(min(1.0, share), self.call_limit), share)
        self.advance()

    def timer_fired(self, now: int, handle: int, gauges: Gauges) -> None:
        self.tick(now)
        self.do.schedule_timer(ROUND, handle)
        for case in list(self.live.values()):
            self.feed(case, Input.ROUND)
        self.clear(now)
        self.pace(gauges)
        self.pace_calls()
        self.signal()
        self.pace_links(gauges)
        self.advance()

    # What the host may look at.

    def queued_call_count(self) -> int:
        """The number of requests that wait for their turn to call."""
        return len(self.door)

    def queue_age_share(self, now: int) -> float:
        """The age of the oldest queued request, as a share of its latency objective.

        Args:
            now: the host's clock in ns.

        Returns:
            The share; 0 where none is queued.
        """
        oldest = self.oldest()
        if oldest is None:
            return 0.0
        request_class = self.facts.request_classes[oldest.txn.request_class]
        return (now - self.slept - oldest.since) / request_class.latency_objective_ns

    def read_lag_share(self) -> float:
        """How long requests lay unread in the last second, on the average.

        Returns:
            The lag as a share of the shortest latency objective.
        """
        return self.unread_mean() / self.lag

    def sizes(self) -> ControllerSizes:
        """The number of objects held, to watch that none grows without end."""
        return ControllerSizes(
            len(self.requests), len(self.live), len(self.spent), len(self.lingering)
        )

    # The loop.

    def tick(self, now: int) -> None:
        # A pause of the whole process lets every held txn look stale though no newcomer waited
        # longer: the part of a gap that no timer round explains is left out of their ages.
        if now - self.now > GAP:
            self.slept += now - self.now - ROUND
            self.moved += now - self.now - ROUND
        self.in_hand.add(
            now + self.phase, (now - self.now) * (self.count[State.CALL] + len(self.lingering))
        )
        self.now = now

    def meet(self, now: int, ref: int, what: Input) -> None:
        self.tick(now)
        case = self.requests.get(ref)
        if case is not None:
            if what != Input.LEFT:
                self.moved = now
            self.feed(case, what)
            self.advance()

    def feed(self, case: Case, what: Input) -> None:
        for tests, state, effect in RULES.get((case.state, what), ()):
            if all(test(self, case) for test in tests):
                self.move(case, state)
                effect(self, case)
                return

    def move(self, case: Case, state: State) -> None:
        old, case.state = case.state, state
        self.count[old] -= 1
        self.count[state] += 1
        self.kb += (self.weight[state] - self.weight[old]) * case.txn.memory_kb
        if old == State.CALL and case.outcome in LEAVES_BEHIND:
            self.lingering.append(self.now + self.facts.abandoned_call_linger_ns)
        if old == State.HELD:
            self.held_kb -= case.txn.memory_kb
            del self.hold_list[case.txn.ref]
        elif old == State.DOOR:
            del self.door[case.txn.ref]
        if state in (State.RAN, State.GONE):
            case.over = self.now
            del self.live[case.txn.ref]
            self.spent.append(case)

    def advance(self) -> None:
        """Fills what is free: calls, first to those that can't go without, then runs from the
        newest held.
        """
        while self.door and self.may_call():
            self.feed(min(self.door.values(), key=self.can_skip), Input.GRANT)
        while (
            self.hold_list and self.running() < int(self.limit) and self.started() < self.ceiling()
        ):
            newest = self.hold_list[next(reversed(self.hold_list))]
            if not self.fits_run(newest):
                break
            self.feed(newest, Input.PICK)

    # Measures.

    def started(self) -> int:
        return sum(self.count[State.RUN : State.COPY + 1])

    def running(self) -> int:
        """Those at a call leave the count, up to as many as may call: the rest would only queue
        there.
        """
        away = self.count[State.DOOR] + self.count[State.CALL]
        return (
            self.count[State.RUN]
            + self.count[State.TAIL]
            + max(0, away - max(1, int(self.call_limit)))
        )

    def warmth(self) -> float:
        facts, age = self.facts, self.now - self.born
        warm = not facts.starts_cold or age >= facts.warm_up_ns
        return (
            1.0
            if warm
            else facts.cold_speed_share + (1 - facts.cold_speed_share) * age / facts.warm_up_ns
        )

    def ceiling(self) -> int:
        """Counts all that has started, as if all calls and disks came back together."""
        return max(
            1,
            int(
                CROWD_SHARE
                * (1 + (self.facts.max_runs_per_core - 1) * self.warmth())
                * self.facts.cores
            ),
        )

    def fits(self, kb: float) -> bool:
        return (
            self.kb + self.keys * self.facts.idempotency_key_kb + kb
            <= MEMORY_SHARE * self.facts.memory_kb
        )

    def fits_run(self, case: Case) -> bool:
        return self.fits(case.txn.memory_kb * (self.facts.running_memory_factor - 1))

    def turned_share(self) -> float:
        return min(1.0, self.turned.total(self.now) / max(1.0, self.read.total(self.now)))

    def unread_mean(self) -> float:
        return self.unread.total(self.now) / max(1.0, self.read.total(self.now))

    def needs(self, case: Case) -> float:
        ends = [end for end in self.took[case.txn.request_class] if end[0] > self.now - ENDS_FOR]
        if not ends:
            return 0.0
        # Against a slow spell that is over: while most newcomers are thought too late, few new ends
        # say so.
        all_take, new_take = (
            sum(end[1] for end in part) / sum(end[2] for end in part)
            for part in (ends, ends[-NEWEST:])
        )
        return (new_take if new_take < QUICKER * all_take else all_take) * (case.txn.cost_ns or 1)

    def oldest(self) -> Case | None:
        return next(iter(self.hold_list.values()), None)

    def stale(self, case: Case) -> bool:
        return self.now - self.slept - case.since > JOSTLE

    def hung(self) -> bool:
        running = self.count[State.RUN] + self.count[State.TAIL]
        return (self.now - self.moved) * min(running, self.facts.cores) > STALL

    def ailing(self) -> float:
        """The share of runs that fail here, where it is a sign and not chance."""
        ends = self.ends.total(self.now)
        share = self.bad_ends.total(self.now) / ends if ends >= AILING_MIN else 0.0
        return share if share >= AILING_FROM else 0.0

    def struck(self) -> bool:
        # Against a crawling server that draws arrivals to decline them late; less may be a jam of
        # all.
        return self.unread_mean() > self.lag or self.hung() or self.ailing() >= 0.5

    def calls_in_hand(self) -> int:
        self.lingering = [until for until in self.lingering if until > self.now]
        return self.count[State.CALL] + len(self.lingering)

    def forerunner(self, case: Case) -> Case | None:
        """The try that now stands for this one's effect: a batch may name one that was since
        replaced.
        """
        first = self.requests.get(case.txn.original_ref)
        while first is not None and first.heir is not None:
            first = first.heir
        return first

    # Tests.

    def past(self, case: Case) -> bool:
        return min(case.due, self.stop) <= self.now + ROUND + MARGIN

    def ran_before(self, case: Case) -> bool:
        first = self.forerunner(case)
        if first is None:
            return case.txn.original_ref != -1
        return first.state != State.GONE and (first.state != State.HELD or self.inquiry(case))

    def no_copy_room(self, case: Case) -> bool:
        return self.started() >= self.ceiling() or not self.fits_run(case)

    def late(self, case: Case) -> bool:
        """It can't make its SLA time here, or not here but perhaps elsewhere (harms without hints).

        Alone it costs nobody a turn, but a faster server may make it. With others, newer ones go
        first.
        """
        end = min(case.wanted, self.stop) - MARGIN
        sure = SURE if len(self.hold_list) <= (case.state == State.HELD) else 1.0
        return self.now + sure * self.needs(case) > end or sure == 1.0 and self.now > case.give_back

    def unwanted(self, case: Case) -> bool:
        return (
            case.arrived > self.last_arrival
            or self.past(case)
            or self.late(case)
            or self.hung()
            or self.chance() < self.ailing()
        )

    def relief(self, case: Case) -> Degradation:
        return (
            self.service.trial_degradation
            if case.txn.sampling_draw < self.service.trial_share
            else self.service.degradation
        )

    def reduced(self, case: Case) -> bool:
        """Never one that ran, nor its repeat: those rows come first."""
        relief, product = self.relief(case), case.txn.request_class
        return bool(relief.name) and (
            relief.rejected_classes[product]
            or relief.cached_only_classes[product]
            or relief.rejects_over_share
            and case.txn.is_over_share
            or relief.retry_rejecting_classes[product]
            and case.txn.is_retry
        )

    def no_entry(self, case: Case) -> bool:
        product = self.facts.request_classes[case.txn.request_class]
        reserve = self.facts.cores * self.facts.running_memory_factor * case.txn.memory_kb
        return product.idempotency is Idempotency.KEYED and (
            not case.txn.is_recordable
            or case.arrived + product.idempotency_window_ns <= self.now
            or not self.fits(self.facts.idempotency_key_kb + reserve)
        )

    def full(self, case: Case) -> bool:
        first, oldest = self.forerunner(case), self.oldest()
        if not self.crammed(case) or first is not None and first.state == State.HELD:
            return False
        return (
            oldest is None
            or not self.stale(oldest)
            or not self.fits(-oldest.txn.memory_kb)
            or case.txn.priority < self.level()
        )

    def crammed(self, case: Case) -> bool:
        return (
            not self.fits(0)
            or len(self.hold_list) >= self.limit
            and case.txn.priority < self.level()
            or len(self.hold_list)
            >= max(1.0, self.relief(case).queue_share * HOLD_RUNS * self.limit)
            or self.held_kb + case.txn.memory_kb > HOLD_SHARE * self.facts.memory_kb
        )

    def level(self) -> float:
        return max(self.pressure, self.call_press) * self.top

    def may_call(self) -> bool:
        if self.broken >= BREAK_AFTER and (self.now < self.trial_at or self.count[State.CALL]):
            return False
        return self.calls_in_hand() < max(1, int(self.call_limit)) and (
            not 0 < self.facts.call_quota < 1
            or self.now >= self.call_next
            and self.call_room() > self.call_need
        )

    def no_call(self, case: Case) -> bool:
        """Calling has stopped, or its queue has taken so long that even a poorer answer is at
        stake.
        """
        relief = self.relief(case)
        return (
            self.broken >= BREAK_AFTER
            or self.stale(case)
            and self.now > case.give_back
            or bool(relief.name)
            and relief.call_skipping_classes[case.txn.request_class]
        )

    def meter_calls(self) -> None:
        """Where our share is under one call it is a share of time, metered over a span in which
        calls fit.

        A life begins as if its share were just used up, but for a part by chance: nobody spends a
        whole one at a start, whatever the life before had spent, nor do all servers that start
        together call in step.
        """
        facts, share = self.facts, self.facts.call_quota
        self.call_span, self.call_need, self.phase = (
            max(facts.call_quota_window_ns, 10),
            2 * facts.abandoned_call_linger_ns,
            0,
        )
        if 0 < share < 1:
            self.call_span = max(
                self.call_span, int(CALL_ROOM * facts.abandoned_call_linger_ns / share)
            )
        self.in_hand = Ring(self.call_span * 11 // 10, 11)  # never less than the span is looked at
        if 0 < share < 1:
            width = self.in_hand.width
            self.phase = int(width * (11 + self.chance()))  # a clock may begin at 0
            used = (self.call_quota() - self.call_need * self.chance()) / 11
            for bucket in range(11):
                self.in_hand.add(self.now + self.phase - (10 - bucket) * width, used)

    def call_quota(self) -> float:
        return self.facts.call_quota * self.call_span

    def call_room(self) -> float:
        """What is left of our share, as time of one call in hand."""
        return self.call_quota() - self.in_hand.total(self.now + self.phase)

    def may_repeat(self, case: Case) -> bool:
        return not self.past(case) and (self.inquiry(case) or case.outcome in PROVES_UNRUN)

    def inquiry(self, case: Case) -> bool:
        return (
            self.facts.request_classes[case.txn.request_class].idempotency is Idempotency.IDEMPOTENT
        )

    def can_skip(self, case: Case) -> bool:
        return self.facts.request_classes[case.txn.request_class].value_share_without_call > 0

    # Effects.

    def hold(self, case: Case) -> None:
        first, oldest = self.forerunner(case), self.oldest()
        if first is not None:
            if first.state == State.HELD:
                self.feed(first, Input.OUST)
            first.heir = case
        elif oldest is not None and self.crammed(case):
            self.feed(oldest, Input.OUST)
        case.since = self.now - self.slept
        self.hold_list[case.txn.ref] = case
        self.held_kb += case.txn.memory_kb
        product = self.facts.request_classes[case.txn.request_class]
        if product.idempotency is Idempotency.KEYED:
            self.keep(case, case.arrived + product.idempotency_window_ns)
        elif (
            (self.facts.result_cache_ttl_ns or product.max_staleness_ns)
            and self.inquiry(case)
            and self.fits(self.facts.idempotency_key_kb)
        ):
            self.keep(case, case.due)

    def keep(self, case: Case, until: int) -> None:
        self.keys += not case.kept
        case.kept = until
        self.do.remember(case.txn.ref, until - self.now)

    def drop(self, case: Case) -> None:
        if case.kept:
            self.do.forget(case.txn.ref)
            self.keys -= 1
            case.kept = 0

    def turn_away(self, case: Case) -> None:
        self.drop(case)
        self.turned.add(self.now, 1)
        alone = self.stop < NEVER or self.struck()
        share = 1.0 if alone else self.turned_share() * self.chance()  # not all back at one time
        self.do.reject(
            case.txn.ref,
            int(share * self.facts.max_retry_after_ns),
            self.pressure > FINAL and not alone,
        )

    def relieve(self, case: Case) -> None:
        """It does not press: what a level takes away is no strain. Final only where whole products
        are given up: every other server would read it too. Where callers hear a floor, that keeps
        its likes away; a long advice would keep away what is still served.
        """
        self.drop(case)
        floor = self.facts.load_report_kind is LoadReportKind.PRIORITY_FLOOR
        away = ROUND if floor else int((1 - 0.5 * self.chance()) * self.facts.max_retry_after_ns)
        self.do.reject(
            case.txn.ref,
            min(away, self.facts.max_retry_after_ns),
            self.relief(case).priority_floor > 0,
        )

    def overwrite(self, case: Case) -> None:
        self.overwritten += 1
        self.turn_away(case)

    def exceed(self, case: Case) -> None:
        self.exceeded += 1
        self.turn_away(case)

    def begin_run(self, case: Case) -> None:
        if self.running() <= 1:
            self.moved = self.now
        self.do.start_run(case.txn.ref)

    def finish(self, case: Case) -> None:
        if case.kept and self.inquiry(case):
            self.keep(
                case,
                self.now
                + max(
                    self.facts.result_cache_ttl_ns,
                    self.facts.request_classes[case.txn.request_class].max_staleness_ns,
                ),
            )

    def queue(self, case: Case) -> None:
        case.outcome = Outcome.ABANDONED  # until a call ends well, leaving it abandons it
        case.since = self.now - self.slept
        self.door[case.txn.ref] = case

    def dial(self, case: Case) -> None:
        stop = min(case.due, self.stop) - ROUND
        if 0 < self.facts.call_quota < 1:
            stop = min(stop, self.now + int(self.call_room()) - self.facts.abandoned_call_linger_ns)
        elif self.broken < BREAK_AFTER and self.call_base:
            # Against calls that are never answered: waited for until the end, a few fill all there
            # may be.
            usual = max(
                self.call_base, self.call_times.total(self.now) / (self.calls.total(self.now) or 1)
            )
            stop = min(stop, self.now + max(PATIENCE_MIN, int(PATIENCE * usual)))
        self.do.start_call(case.txn.ref, max(stop, self.now + MS))

    # Timer rounds.

    def clear(self, now: int) -> None:
        spent, self.spent = self.spent, []
        for case in spent:
            if case.kept > now or case.over == now:
                self.spent.append(case)
            else:
                self.keys -= bool(case.kept)
                del self.requests[case.txn.ref]
                self.do.release(case.txn.ref)

    def pace(self, gauges: Gauges) -> None:
        # The use of the cores is a late mean; by it alone the limit overshoots: who wants one now
        # counts.
        oldest = self.oldest()
        want = (gauges.runnable if gauges.runnable >= 0 else self.started()) / self.facts.cores
        if oldest is not None and want < 1 and gauges.cpu_utilization < IDLE_USE:
            self.limit += not self.door  # cores that idle behind crowded calls need no more starts
        elif want > JAMMED and (self.timeouts or oldest is not None and self.stale(oldest)):
            self.limit *= CUT
        self.timeouts = 0
        self.limit = max(self.facts.cores, min(self.limit, self.ceiling()))
        # A lag presses too, though nobody turns it away yet. Chance on few cores counts little.
        strain = (
            min(1.0, max(self.turned_share(), self.unread_mean() / self.lag))
            * abs(gauges.cpu_utilization) ** 3
        )
        self.pressure = max(0.0, min(1.0, self.pressure + PRESS_GAIN * (strain - PRESS_AIM)))

    def pace_links(self, gauges: Gauges) -> None:
        """Against more callers than the table holds, most of whom come back only after their
        connection went.

        Those far beyond use go early. But a full table turns newcomers back unread: cheap in a
        flood.
        """
        spare = gauges.connections > SPARE_LINKS * (self.facts.cores + len(self.live)) and not (
            gauges.cpu_utilization >= FLOOD_USE and self.turned_share() > FLOOD
        )
        idle = min(
            self.facts.idle_timeout_ns,
            max(SPARE_IDLE, int(self.idle * CUT)) if spare else int(self.idle / CUT),
        )
        if idle != self.idle:
            self.idle = idle
            self.do.set_idle_timeout(idle)

    def pace_calls(self) -> None:
        # Queued calls press while they queue, or what is worth least takes as many of them as the
        # rest.
        more = min(1.0, self.call_press + PRESS_GAIN * self.turned_share())
        self.call_press = more if self.door else self.call_press * CUT
        # What lies below slows all its callers long before our share is up: calls are paced as runs
        # are. At a quarter of our share, longer ones have another reason: their base follows (harms
        # in crowds).
        count = self.calls.total(self.now)
        if count >= CALLS_MIN:
            mean, least = self.call_times.total(self.now) / count, self.call_most / 4
            creep = REBASE if self.call_limit <= least >= 1 else CREEP
            self.call_base = min(mean, self.call_base * creep or mean)
            if mean > CROWDED * self.call_base:
                self.call_limit = max(least, self.call_limit * CUT)
                return
        if self.door:
            self.call_limit = min(self.call_most, self.call_limit + min(1.0, self.call_most / 4))

    def signal(self) -> None:
        facts, good = self.facts, self.stop == NEVER and not self.struck()
        if good != self.good:
            self.good = good
            self.do.set_health(good)
        if facts.load_report_kind is LoadReportKind.PRIORITY_FLOOR:
            value = max(self.level(), self.service.degradation.priority_floor) if good else 1.0
            if self.service.trial_share:
                self.do.report_trial_load(
                    max(self.level(), self.service.trial_degradation.priority_floor)
                    if good
                    else 1.0
                )
        elif facts.load_report_kind is LoadReportKind.ROUTING_WEIGHT:
            value = 1 - self.pressure if good else 0.0
        elif (
            facts.load_report_kind is LoadReportKind.CONCURRENCY_ALLOWANCE
        ):  # split over those with a txn here, of thousands
            here = len({case.txn.caller for case in self.live.values()})
            value = self.limit * (1 + ROOMY * (1 - self.pressure)) / max(1, here) if good else 0.0
        else:
            return
        if abs(value - self.told) > 0.01:
            self.told = value
            self.do.report_load(value)


Step = Callable[[AdmissionController, Case], Any]


def _step(name: str) -> Step:
    """A method of `Choice`, or else an effect that is passed on as it is; `-` is none."""
    if name == "-":
        return lambda choice, case: None
    return getattr(AdmissionController, name, None) or (
        lambda choice, case: getattr(choice.do, name)(case.txn.ref)
    )


def _rules() -> dict[tuple[State, Input], list[tuple[list[Step], State, Step]]]:
    rules: dict[tuple[State, Input], list[tuple[list[Step], State, Step]]] = {}
    for state, what, *tests, after, effect in filter(None, map(str.split, TABLE.split("\n"))):
        steps = [_step(test) for test in tests if test != "-"]
        rules.setdefault((State[state], Input[what]), []).append(
            (steps, State[after], _step(effect))
        )
    return rules


RULES = _rules()
