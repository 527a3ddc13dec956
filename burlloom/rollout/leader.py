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
from .liveness import SECOND_NS, LivenessObserver, ServerPhase, ServerReport
from .release import Release, ReleasePhase
from .state import SERVERS_GROUP, DisruptionBudget, RolloutState

DOWNSTREAM_FAILURE_SHARE = (
    0.5  # of the calls to an instance below, by those who call it: it does not serve
)
DOWNSTREAM_MIN_CALLS = 5  # calls, under which nothing is said


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

    heartbeat_ttl_ns: int = 5 * SECOND_NS
    leader_timeout_ns: int = 5 * SECOND_NS
    permit_ttl_ns: int = 10 * SECOND_NS
    return_timeout_ns: int = 120 * SECOND_NS
    settle_ns: int = 5 * SECOND_NS
    write_off_ns: int = 900 * SECOND_NS
    low_traffic_timeout_ns: int = 600 * SECOND_NS
    max_lost: int = 0
    pause_rate: float = 0.5
    low_traffic_passes: bool = False
    canary: CanarySettings = CanarySettings()

    def find_faults(self) -> list[str]:
        found = []
        if self.return_timeout_ns <= self.settle_ns:
            found.append("back_ms has to be more than settle_ms")
        if self.write_off_ns and self.write_off_ns <= max(
            self.return_timeout_ns, self.heartbeat_ttl_ns
        ):
            found.append("write_off_ms has to be more than back_ms and fresh_ms, or 0")
        if self.low_traffic_timeout_ns < self.canary.window_ns:
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
        settings: RolloutSettings,
        budgets: Mapping[str, DisruptionBudget] | None = None,
        services: Mapping[str, Sequence[str]] | None = None,
    ) -> None:
        self.name, self.settings, self.budgets, self.services = (
            name,
            settings,
            budgets or {},
            services or {},
        )
        self.observer = LivenessObserver(settings.heartbeat_ttl_ns)
        self.window = CanaryWindow(
            settings.canary.window_ns,
            settings.canary.min_requests,
            max(settings.low_traffic_timeout_ns, settings.canary.window_ns),
        )
        self.evaluated_wave: tuple[int, int, bool, int] | None = (
            None  # which wave the evidence is of
        )
        # Who told something once, is not in the book, and says nothing any more.
        self.unknown_servers: list[str] = []

    def is_leader(self, book: RolloutState) -> bool:
        return book.leader == self.name

    def acquire_leadership(self, now: int, book: RolloutState, beat: int) -> RolloutState | None:
        """With us in the lead, where nobody has it or whoever had is gone."""
        if self.is_leader(book):
            return None
        self.observer.begin_round(now)
        if (
            book.leader
            and self.observer.unchanged_for_ns(now, "lead", (book.epoch, beat))
            < self.settings.leader_timeout_ns
        ):
            return None
        taken = replace(book, leader=self.name, epoch=book.epoch + 1)
        for group, budget in self.budgets.items():
            if group not in book.groups or not book.epoch:
                taken = taken.with_budget(group, budget)
        return taken.with_note(
            f"{self.name} leads" + (f" after {book.leader}" if book.leader else "")
        )

    def resign(self, book: RolloutState) -> RolloutState | None:
        return (
            replace(book, leader="").with_note(f"{self.name} leads no more")
            if self.is_leader(book)
            else None
        )

    def run_round(
        self, now: int, book: RolloutState, members: Iterable[ServerReport]
    ) -> RolloutState:
        """Of a book in which we lead. The same one where there is nothing to do."""
        self.observer.begin_round(now)
        there = {member.name: member for member in members}
        fresh = {name for name, member in there.items() if self.observer.is_serving(now, member)}
        lost = []
        for name in sorted({*there, *book.servers}):
            book, why = self.process_server(now, book, name, there.get(name), name in fresh)
            lost += [why] if why else []
        for group in book.groups:
            if group != SERVERS_GROUP:
                book = self.process_downstream(
                    now, book, group, [there[name] for name in sorted(fresh)]
                )
        self.unknown_servers = [
            name
            for name, member in there.items()
            if name not in book.servers and self.observer.is_silent(now, member)
        ]
        self.collect_samples(now, book, there, fresh)
        book = self.process_release(now, book, lost)
        for group in book.groups:
            book = self.revoke_excess_permits(book, group)
        book = self.grant_permits(book, there, fresh)
        self.forget_stale(book, there)
        return book

    # What befell each of us.

    def process_server(
        self, now: int, book: RolloutState, name: str, member: ServerReport | None, fresh: bool
    ) -> tuple[RolloutState, str]:
        """The second: why the change has lost it, if it has."""
        before = book.servers.get(name)
        what, life = interpret_report(
            member, fresh, member is not None and self.observer.is_silent(now, member)
        )
        effect = ""
        if (
            what is InstanceInput.SEEN
            and member is not None
            and before is not None
            and before.incarnation == member.previous_incarnation
        ):
            # It was back before we looked.
            book, _ = book.apply_input(
                SERVERS_GROUP, name, InstanceInput.LEAVING, incarnation=member.previous_incarnation
            )
        if what is not None:
            book, effect = book.apply_input(SERVERS_GROUP, name, what, incarnation=life)
        unit = book.servers.get(name)
        if unit is None:
            return book, ""
        if (
            member is not None
            and fresh
            and member.incarnation > unit.left_incarnation
            and unit.version != member.version
        ):
            unit = replace(unit, version=member.version)
            book = replace(book.with_instance(SERVERS_GROUP, name, unit), step=book.step + 1)
        if not effect:
            well = member is not None and fresh and member.is_healthy
            book, effect = self.process_timeouts(now, book, SERVERS_GROUP, name, well)
            unit = book.servers.get(name, Instance())
        return book, self.describe_loss(book.release, name, before, unit, effect)

    def process_timeouts(
        self, now: int, book: RolloutState, group: str, name: str, well: bool
    ) -> tuple[RolloutState, str]:
        """What is due because of how long it has been so."""
        unit, terms = book.groups[group].instances[name], self.settings
        age = self.observer.unchanged_for_ns(now, (group, name), unit.since_step)
        if not well:  # it settles anew
            self.observer.observations.pop((group, name, "well"), None)
        served = (
            self.observer.unchanged_for_ns(now, (group, name, "well"), unit.since_step)
            if well
            else 0
        )
        span = unit.drain_ms * 1_000_000
        span = (
            max(terms.return_timeout_ns, span)
            if group == SERVERS_GROUP
            else span or terms.return_timeout_ns
        )
        settled = well and served >= terms.settle_ns
        due = {
            InstanceState.GRANTED: (InstanceInput.EXPIRED, age >= terms.permit_ttl_ns),
            InstanceState.OUT: (InstanceInput.EXPIRED, age >= span),
            InstanceState.BACK: (
                InstanceInput.SETTLED if settled else InstanceInput.EXPIRED,
                settled or age >= terms.return_timeout_ns,
            ),
            InstanceState.MISSING: (
                InstanceInput.RETIRE,
                bool(terms.write_off_ns) and age >= terms.write_off_ns,
            ),
        }.get(unit.state)
        if due is None or not due[1]:
            return book, ""
        return book.apply_input(group, name, due[0])

    def describe_loss(
        self, plan: Release, name: str, before: Instance | None, unit: Instance, effect: str
    ) -> str:
        if (
            before is None
            or before.release_number != plan.number
            or plan.phase not in (ReleasePhase.ROLLING, ReleasePhase.EVALUATING)
        ):
            return ""
        if effect == "mark_missing":
            return f"{name} is missing"
        if effect == "record_crash" and before.state is not InstanceState.GRANTED:
            return f"{name} ended without a word"
        if (
            before.state is InstanceState.BACK
            and unit.state is InstanceState.IN
            and unit.next_version
            and unit.version != unit.next_version
        ):
            return f"{name} came back with {unit.version or 'no version'}, not {unit.next_version}"
        return ""

    # What befell the instances below, by those who call them.

    def process_downstream(
        self, now: int, book: RolloutState, group: str, callers: list[ServerReport]
    ) -> RolloutState:
        units = book.groups[group].instances
        for name in {**dict.fromkeys(self.services.get(group, ())), **units}:
            unit = units.get(name, Instance())
            good = bad = 0
            for caller in callers:
                told = (caller.downstream or {}).get(name, (0, 0))
                good, bad = good + told[0], bad + told[1]
            fails = good + bad >= DOWNSTREAM_MIN_CALLS and bad > DOWNSTREAM_FAILURE_SHARE * (
                good + bad
            )
            effect = ""
            if not fails and unit.state in (InstanceState.GONE, InstanceState.MISSING):
                book, effect = book.apply_input(
                    group, name, InstanceInput.SEEN, incarnation=unit.incarnation + 1
                )
            elif (
                fails and unit.state is not InstanceState.OUT
            ):  # who is out is not called: what is told is from before
                book, effect = book.apply_input(group, name, InstanceInput.LOST)
            if not effect and name in units:
                book, _ = self.process_timeouts(now, book, group, name, not fails)
        return book

    # The change.

    def collect_samples(
        self, now: int, book: RolloutState, there: dict[str, ServerReport], fresh: set[str]
    ) -> None:
        plan = book.release
        judged = (
            plan.number,
            plan.wave_index,
            plan.is_rollback,
            plan.since_step if plan.phase is ReleasePhase.HALTED else 0,
        )
        if judged != self.evaluated_wave:
            self.window.clear()
            self.evaluated_wave = judged
        self.window.add(
            now,
            {
                name: ServerSample(
                    there[name].incarnation,
                    there[name].counts,
                    book.is_done(unit),
                    there[name].is_healthy,
                )
                for name, unit in book.servers.items()
                if name in fresh and unit.state is InstanceState.IN
            },
        )

    def process_release(self, now: int, book: RolloutState, lost: list[str]) -> RolloutState:
        plan = book.release
        if plan.phase in (ReleasePhase.IDLE, ReleasePhase.HALTED):
            return book
        if lost:
            plan = replace(plan, lost_count=plan.lost_count + len(lost))
            book = replace(book, release=plan, step=book.step + 1)
            if plan.lost_count > self.settings.max_lost:
                return book.apply_to_release(plans.ReleaseInput.SERVER_LOST, "; ".join(lost)[:200])[
                    0
                ]
        if plan.phase is not ReleasePhase.ROLLING_BACK:
            found = evaluate_canary(self.settings.canary, self.window, plan.baseline)
            if found.verdict is Verdict.UNHEALTHY:
                return book.apply_to_release(plans.ReleaseInput.EVALUATED_UNHEALTHY, found.reason)[
                    0
                ]
            if plan.phase is ReleasePhase.EVALUATING:
                return self.process_evaluation(now, book, found.verdict)
        if self.is_wave_complete(book):
            beside = self.window.concurrent.counts
            if not plan.is_rollback and beside.total >= self.settings.canary.min_requests:
                book = replace(book, release=replace(plan, baseline=outcome_rates(beside)))
            return book.apply_to_release(plans.ReleaseInput.WAVE_COMPLETE, "")[0]
        return book

    def process_evaluation(self, now: int, book: RolloutState, verdict: Verdict) -> RolloutState:
        age = self.observer.unchanged_for_ns(now, "plan", book.release.since_step)
        if verdict is Verdict.HEALTHY and age >= self.settings.canary.window_ns:
            return book.apply_to_release(plans.ReleaseInput.EVALUATED_HEALTHY, "")[0]
        if verdict is Verdict.INCONCLUSIVE and age >= self.settings.low_traffic_timeout_ns:
            what = (
                plans.ReleaseInput.EVALUATED_HEALTHY
                if self.settings.low_traffic_passes
                else plans.ReleaseInput.TRAFFIC_TOO_LOW
            )
            return book.apply_to_release(what, "too little was asked of the changed to tell")[0]
        return book

    def is_wave_complete(self, book: RolloutState) -> bool:
        servers = book.servers.values()
        if any(
            book.is_in_flight(unit) and unit.state is not InstanceState.MISSING for unit in servers
        ):
            return False
        if book.release.is_rollback:
            return all(book.is_done(unit) for unit in servers)
        changed = sum(book.is_done(unit) and unit.state is InstanceState.IN for unit in servers)
        return changed >= book.release.target_count(len(servers))

    # Who may leave.

    def revoke_excess_permits(self, book: RolloutState, group: str) -> RolloutState:
        """Crashes have taken the budget since: permits that nobody has begun on yet go back."""
        if (
            book.release.phase is ReleasePhase.ROLLING_BACK
        ):  # there those have permits that count anyway
            return book
        waiting = [
            name
            for name, unit in book.groups[group].instances.items()
            if unit.state is InstanceState.GRANTED
        ]
        for name in waiting[: max(0, -book.groups[group].free_permits())]:
            book, _ = book.apply_input(group, name, InstanceInput.REVOKE)
        return book

    def grant_permits(
        self, book: RolloutState, there: dict[str, ServerReport], fresh: set[str]
    ) -> RolloutState:
        """What an operator asked for first, then the change; in the same order on whoever leads."""
        serving = {name for name in fresh if there[name].is_healthy}
        doubtful = sum(
            unit.state is InstanceState.IN and name not in serving
            for name, unit in book.servers.items()
        )

        def send(
            book: RolloutState, group: str, name: str, to: str = "", moved: int = 0
        ) -> tuple[RolloutState, bool]:
            # One that is not called anyway costs nobody anything: only those that serve wait for
            # the doubtful.
            return book.grant_permit(
                group,
                name,
                doubtful if group == SERVERS_GROUP and name in serving else 0,
                to,
                moved,
            )

        for group, name, unit in list(book.iter_instances()):
            if (
                unit.drain_ticket
                and unit.state is InstanceState.IN
                and (group != SERVERS_GROUP or name in fresh)
            ):
                book, _ = send(book, group, name)
        plan = book.release
        if not plan.is_moving or plan.phase is ReleasePhase.ROLLING and self.is_fleet_overloaded():
            return book
        # The way back also takes those that never got well with the new version.
        may = (
            (InstanceState.IN, InstanceState.BACK, InstanceState.MISSING)
            if plan.is_rollback
            else (InstanceState.IN,)
        )
        started = sum(
            book.is_done(unit) or book.is_in_flight(unit) for unit in book.servers.values()
        )
        full: set[tuple[bool, bool]] = set()  # what was denied once is denied to all alike
        for name in sorted(book.servers, key=lambda name: (drain_order(plan.number, name), name)):
            unit = book.servers[name]
            if started >= plan.target_count(len(book.servers)) and not plan.is_rollback:
                break
            alike = unit.state is InstanceState.IN, name in serving
            if (
                unit.state in may
                and alike not in full
                and not book.is_done(unit)
                and name in (fresh if plan.is_rollback else serving)
            ):
                book, held = send(book, SERVERS_GROUP, name, plan.goal_version, plan.number)
                started += held
                if not held:
                    full.add(alike)
        return book

    def is_fleet_overloaded(self) -> bool:
        both = self.window.changed.add(self.window.unchanged).counts
        return (
            both.total >= self.settings.canary.min_requests
            and both.rejected + both.failed > self.settings.pause_rate * both.total
        )

    def forget_stale(self, book: RolloutState, there: dict[str, ServerReport]) -> None:
        keep: set[Hashable] = {"lead", "plan", *(("beat", name) for name in there)}
        for group, name, _ in book.iter_instances():
            keep |= {(group, name), (group, name, "well")}
        self.observer.retain(keep)


def interpret_report(
    member: ServerReport | None, fresh: bool, silent: bool
) -> tuple[InstanceInput | None, int]:
    """What a server's own word comes to, and the life that it is of."""
    if member is None or silent:
        return InstanceInput.LOST, 0
    if not fresh or member.phase is ServerPhase.STARTING:
        return None, 0
    return (
        InstanceInput.SEEN if member.phase is ServerPhase.SERVING else InstanceInput.LEAVING
    ), member.incarnation


def drain_order(number: int, name: str) -> int:
    """Another order for each change: not the same canaries always."""
    return int(xxhash.xxh3_64_intdigest(f"{number}\n{name}".encode()))
