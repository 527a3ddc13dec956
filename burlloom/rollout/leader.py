"""What whoever leads makes of the book, once a round. No I/O: `round` gives the book that it wants
written.

Any server, or a process of its own, may lead; who does, writes its name into the book and raises a
count beside it. Another takes over where it has not seen that count rise for `lead`. That two
believe to lead for a moment costs a write that fails, nothing else: each step is taken on the book
as it was read, and written only if nobody wrote since.
"""

from collections.abc import Hashable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

import xxhash

from . import release as plans
from .canary import (
    CanarySettings,
    CanaryWindow,
    ServerSample,
    Verdict,
    evaluate_canary,
    outcome_rates,
)
from .instance import Instance, InstanceInput, InstanceState
from .liveness import SECOND, LivenessObserver, ServerPhase, ServerReport
from .release import Release, ReleasePhase
from .state import SERVERS_GROUP, DisruptionBudget, RolloutState

BELOW_FAILS = 0.5  # of the calls to an instance below, by those who call it: it does not serve
BELOW_FEW = 5  # calls, under which nothing is said


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Spans in ns. `fresh`: a sign of life counts for; `lead`: who leads is taken to be gone after;
    `permit`: a permit that nobody begins on is taken back after; `back`: whoever is out is to be
    back in; `settle`: it serves for so long before it counts as back; `write_off`: a missing one is
    gone for good after, 0: only by an operator's word; `quiet`: for the changed to be asked enough.
    `lost_most`: changed servers that may be lost before the change is halted. `pause_at`: share
    declined or voided of all servers, from which on nobody new is sent out. `quiet_passes`: a wave
    of which too little was asked is taken for good.
    """

    fresh: int = 5 * SECOND
    lead: int = 5 * SECOND
    permit: int = 10 * SECOND
    back: int = 120 * SECOND
    settle: int = 5 * SECOND
    write_off: int = 900 * SECOND
    quiet: int = 600 * SECOND
    lost_most: int = 0
    pause_at: float = 0.5
    quiet_passes: bool = False
    measure: CanarySettings = CanarySettings()

    def faults(self) -> list[str]:
        found = []
        if self.back <= self.settle:
            found.append("back_ms has to be more than settle_ms")
        if self.write_off and self.write_off <= max(self.back, self.fresh):
            found.append("write_off_ms has to be more than back_ms and fresh_ms, or 0")
        if self.quiet < self.measure.span:
            found.append("quiet_ms is under judge_ms: no wave could be told in time")
        return found


class RolloutLeader:
    """One that may lead, under a `name` that nobody else has. `budgets`: by group, for those that
    the book does not have yet; what stands there is changed by an operator's word alone.
    `services`: the instances of each service below.
    """

    def __init__(
        self,
        name: str,
        terms: RolloutSettings,
        budgets: Mapping[str, DisruptionBudget] | None = None,
        services: Mapping[str, Sequence[str]] | None = None,
    ) -> None:
        self.name, self.terms, self.budgets, self.services = (
            name,
            terms,
            budgets or {},
            services or {},
        )
        self.watch = LivenessObserver(terms.fresh)
        self.evidence = CanaryWindow(
            terms.measure.span, terms.measure.least, max(terms.quiet, terms.measure.span)
        )
        self.judged: tuple[int, int, bool, int] | None = None  # which wave the evidence is of
        # Who told something once, is not in the book, and says nothing any more.
        self.strangers: list[str] = []

    def leads(self, book: RolloutState) -> bool:
        return book.holder == self.name

    def take(self, now: int, book: RolloutState, beat: int) -> RolloutState | None:
        """With us in the lead, where nobody has it or whoever had is gone."""
        if self.leads(book):
            return None
        self.watch.begins(now)
        if book.holder and self.watch.age(now, "lead", (book.epoch, beat)) < self.terms.lead:
            return None
        taken = replace(book, holder=self.name, epoch=book.epoch + 1)
        for group, budget in self.budgets.items():
            if group not in book.groups or not book.epoch:
                taken = taken.with_budget(group, budget)
        return taken.note(f"{self.name} leads" + (f" after {book.holder}" if book.holder else ""))

    def resign(self, book: RolloutState) -> RolloutState | None:
        return (
            replace(book, holder="").note(f"{self.name} leads no more")
            if self.leads(book)
            else None
        )

    def round(self, now: int, book: RolloutState, members: Iterable[ServerReport]) -> RolloutState:
        """Of a book in which we lead. The same one where there is nothing to do."""
        self.watch.begins(now)
        there = {member.name: member for member in members}
        fresh = {name for name, member in there.items() if self.watch.serves(now, member)}
        lost = []
        for name in sorted({*there, *book.servers}):
            book, why = self.server(now, book, name, there.get(name), name in fresh)
            lost += [why] if why else []
        for group in book.groups:
            if group != SERVERS_GROUP:
                book = self.below(now, book, group, [there[name] for name in sorted(fresh)])
        self.strangers = [
            name
            for name, member in there.items()
            if name not in book.servers and self.watch.silent(now, member)
        ]
        self.weigh(now, book, there, fresh)
        book = self.change(now, book, lost)
        for group in book.groups:
            book = self.call_in(book, group)
        book = self.send_out(book, there, fresh)
        self.tidy(book, there)
        return book

    # What befell each of us.

    def server(
        self, now: int, book: RolloutState, name: str, member: ServerReport | None, fresh: bool
    ) -> tuple[RolloutState, str]:
        """The second: why the change has lost it, if it has."""
        before = book.servers.get(name)
        what, life = heard(member, fresh, member is not None and self.watch.silent(now, member))
        effect = ""
        if (
            what is InstanceInput.SEEN
            and member is not None
            and before is not None
            and before.life == member.former
        ):
            # It was back before we looked.
            book, _ = book.meet(SERVERS_GROUP, name, InstanceInput.PARTS, life=member.former)
        if what is not None:
            book, effect = book.meet(SERVERS_GROUP, name, what, life=life)
        unit = book.servers.get(name)
        if unit is None:
            return book, ""
        if (
            member is not None
            and fresh
            and member.life > unit.left
            and unit.version != member.version
        ):
            unit = replace(unit, version=member.version)
            book = replace(book.put(SERVERS_GROUP, name, unit), steps=book.steps + 1)
        if not effect:
            well = member is not None and fresh and member.well
            book, effect = self.by_time(now, book, SERVERS_GROUP, name, well)
            unit = book.servers.get(name, Instance())
        return book, self.loss(book.plan, name, before, unit, effect)

    def by_time(
        self, now: int, book: RolloutState, group: str, name: str, well: bool
    ) -> tuple[RolloutState, str]:
        """What is due because of how long it has been so."""
        unit, terms = book.groups[group].units[name], self.terms
        age = self.watch.age(now, (group, name), unit.since)
        if not well:  # it settles anew
            self.watch.seen.pop((group, name, "well"), None)
        served = self.watch.age(now, (group, name, "well"), unit.since) if well else 0
        span = unit.span_ms * 1_000_000
        span = max(terms.back, span) if group == SERVERS_GROUP else span or terms.back
        settled = well and served >= terms.settle
        due = {
            InstanceState.GRANTED: (InstanceInput.EXPIRED, age >= terms.permit),
            InstanceState.OUT: (InstanceInput.EXPIRED, age >= span),
            InstanceState.BACK: (
                InstanceInput.SETTLED if settled else InstanceInput.EXPIRED,
                settled or age >= terms.back,
            ),
            InstanceState.MISSING: (
                InstanceInput.RETIRE,
                bool(terms.write_off) and age >= terms.write_off,
            ),
        }.get(unit.state)
        if due is None or not due[1]:
            return book, ""
        return book.meet(group, name, due[0])

    def loss(
        self, plan: Release, name: str, before: Instance | None, unit: Instance, effect: str
    ) -> str:
        if (
            before is None
            or before.moved != plan.number
            or plan.phase not in (ReleasePhase.ROLLING, ReleasePhase.JUDGING)
        ):
            return ""
        if effect == "lose":
            return f"{name} is missing"
        if effect == "fall" and before.state is not InstanceState.GRANTED:
            return f"{name} ended without a word"
        if (
            before.state is InstanceState.BACK
            and unit.state is InstanceState.IN
            and unit.to
            and unit.version != unit.to
        ):
            return f"{name} came back with {unit.version or 'no version'}, not {unit.to}"
        return ""

    # What befell the instances below, by those who call them.

    def below(
        self, now: int, book: RolloutState, group: str, callers: list[ServerReport]
    ) -> RolloutState:
        units = book.groups[group].units
        for name in {**dict.fromkeys(self.services.get(group, ())), **units}:
            unit = units.get(name, Instance())
            good = bad = 0
            for caller in callers:
                told = (caller.below or {}).get(name, (0, 0))
                good, bad = good + told[0], bad + told[1]
            fails = good + bad >= BELOW_FEW and bad > BELOW_FAILS * (good + bad)
            effect = ""
            if not fails and unit.state in (InstanceState.GONE, InstanceState.MISSING):
                book, effect = book.meet(group, name, InstanceInput.SEEN, life=unit.life + 1)
            elif (
                fails and unit.state is not InstanceState.OUT
            ):  # who is out is not called: what is told is from before
                book, effect = book.meet(group, name, InstanceInput.SILENT)
            if not effect and name in units:
                book, _ = self.by_time(now, book, group, name, not fails)
        return book

    # The change.

    def weigh(
        self, now: int, book: RolloutState, there: dict[str, ServerReport], fresh: set[str]
    ) -> None:
        plan = book.plan
        judged = (
            plan.number,
            plan.wave,
            plan.backing,
            plan.since if plan.phase is ReleasePhase.HALTED else 0,
        )
        if judged != self.judged:
            self.evidence.clear()
            self.judged = judged
        self.evidence.add(
            now,
            {
                name: ServerSample(
                    there[name].life, there[name].counts, book.done(unit), there[name].well
                )
                for name, unit in book.servers.items()
                if name in fresh and unit.state is InstanceState.IN
            },
        )

    def change(self, now: int, book: RolloutState, lost: list[str]) -> RolloutState:
        plan = book.plan
        if plan.phase in (ReleasePhase.IDLE, ReleasePhase.HALTED):
            return book
        if lost:
            plan = replace(plan, lost=plan.lost + len(lost))
            book = replace(book, plan=plan, steps=book.steps + 1)
            if plan.lost > self.terms.lost_most:
                return book.decide(plans.ReleaseInput.LOST, "; ".join(lost)[:200])[0]
        if plan.phase is not ReleasePhase.BACKING:
            found = evaluate_canary(self.terms.measure, self.evidence, plan.reference)
            if found.verdict is Verdict.BAD:
                return book.decide(plans.ReleaseInput.BAD, found.why)[0]
            if plan.phase is ReleasePhase.JUDGING:
                return self.judging(now, book, found.verdict)
        if self.complete(book):
            beside = self.evidence.beside.counts
            if not plan.backing and beside.asked >= self.terms.measure.least:
                book = replace(book, plan=replace(plan, reference=outcome_rates(beside)))
            return book.decide(plans.ReleaseInput.COMPLETE, "")[0]
        return book

    def judging(self, now: int, book: RolloutState, verdict: Verdict) -> RolloutState:
        age = self.watch.age(now, "plan", book.plan.since)
        if verdict is Verdict.GOOD and age >= self.terms.measure.span:
            return book.decide(plans.ReleaseInput.GOOD, "")[0]
        if verdict is Verdict.MORE and age >= self.terms.quiet:
            what = plans.ReleaseInput.GOOD if self.terms.quiet_passes else plans.ReleaseInput.QUIET
            return book.decide(what, "too little was asked of the changed to tell")[0]
        return book

    def complete(self, book: RolloutState) -> bool:
        servers = book.servers.values()
        if any(book.flying(unit) and unit.state is not InstanceState.MISSING for unit in servers):
            return False
        if book.plan.backing:
            return all(book.done(unit) for unit in servers)
        changed = sum(book.done(unit) and unit.state is InstanceState.IN for unit in servers)
        return changed >= book.plan.wanted(len(servers))

    # Who may leave.

    def call_in(self, book: RolloutState, group: str) -> RolloutState:
        """Crashes have taken the budget since: permits that nobody has begun on yet go back."""
        if book.plan.phase is ReleasePhase.BACKING:  # there those have permits that count anyway
            return book
        waiting = [
            name
            for name, unit in book.groups[group].units.items()
            if unit.state is InstanceState.GRANTED
        ]
        for name in waiting[: max(0, -book.groups[group].free())]:
            book, _ = book.meet(group, name, InstanceInput.REVOKE)
        return book

    def send_out(
        self, book: RolloutState, there: dict[str, ServerReport], fresh: set[str]
    ) -> RolloutState:
        """What an operator asked for first, then the change; in the same order on whoever leads."""
        serving = {name for name in fresh if there[name].well}
        doubtful = sum(
            unit.state is InstanceState.IN and name not in serving
            for name, unit in book.servers.items()
        )

        def send(
            book: RolloutState, group: str, name: str, to: str = "", moved: int = 0
        ) -> tuple[RolloutState, bool]:
            # One that is not called anyway costs nobody anything: only those that serve wait for
            # the doubtful.
            return book.permit(
                group,
                name,
                doubtful if group == SERVERS_GROUP and name in serving else 0,
                to,
                moved,
            )

        for group, name, unit in list(book.all()):
            if (
                unit.asked
                and unit.state is InstanceState.IN
                and (group != SERVERS_GROUP or name in fresh)
            ):
                book, _ = send(book, group, name)
        plan = book.plan
        if not plan.moving or plan.phase is ReleasePhase.ROLLING and self.strained():
            return book
        # The way back also takes those that never got well with the new version.
        may = (
            (InstanceState.IN, InstanceState.BACK, InstanceState.MISSING)
            if plan.backing
            else (InstanceState.IN,)
        )
        started = sum(book.done(unit) or book.flying(unit) for unit in book.servers.values())
        full: set[tuple[bool, bool]] = set()  # what was denied once is denied to all alike
        for name in sorted(book.servers, key=lambda name: (rank(plan.number, name), name)):
            unit = book.servers[name]
            if started >= plan.wanted(len(book.servers)) and not plan.backing:
                break
            alike = unit.state is InstanceState.IN, name in serving
            if (
                unit.state in may
                and alike not in full
                and not book.done(unit)
                and name in (fresh if plan.backing else serving)
            ):
                book, held = send(book, SERVERS_GROUP, name, plan.goal, plan.number)
                started += held
                if not held:
                    full.add(alike)
        return book

    def strained(self) -> bool:
        both = self.evidence.changed.plus(self.evidence.others).counts
        return (
            both.asked >= self.terms.measure.least
            and both.declined + both.voided > self.terms.pause_at * both.asked
        )

    def tidy(self, book: RolloutState, there: dict[str, ServerReport]) -> None:
        keep: set[Hashable] = {"lead", "plan", *(("beat", name) for name in there)}
        for group, name, _ in book.all():
            keep |= {(group, name), (group, name, "well")}
        self.watch.forget(keep)


def heard(
    member: ServerReport | None, fresh: bool, silent: bool
) -> tuple[InstanceInput | None, int]:
    """What a server's own word comes to, and the life that it is of."""
    if member is None or silent:
        return InstanceInput.SILENT, 0
    if not fresh or member.says is ServerPhase.STARTING:
        return None, 0
    return (
        InstanceInput.SEEN if member.says is ServerPhase.SERVING else InstanceInput.PARTS
    ), member.life


def rank(number: int, name: str) -> int:
    """Another order for each change: not the same canaries always."""
    return int(xxhash.xxh3_64_intdigest(f"{number}\n{name}".encode()))
