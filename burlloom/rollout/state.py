"""All that is agreed: who leads, what is out, by which permit, and the change under way. No I/O.

The book is one value. Each step makes a new one from one that was read; the store takes it only if
nobody else wrote meanwhile. So every step is decided on what holds when it is written: a budget
that is kept by each step is kept, however many decide, and however late. What is local to one of
them (when it saw what, on its own clock) stands in `watch.py`.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from . import instance as units
from . import release as plans
from .instance import Instance, InstanceEvent, InstanceInput, InstanceState
from .release import Release, ReleasePhase

SERVERS_GROUP = "servers"  # the group of ourselves; all others are services below
MAX_HISTORY = 40
# Raised where an older program would lose something by writing the book anew; only in a release
# after one that reads the new form already, as old and new run side by side in every release.
FORMAT_VERSION = 1


class OrderRejectedError(Exception):
    """An order that can't be carried out as things are; says why."""


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """At most `most` out at once, or, where it is not 0, such a `share` of all, rounded down, but
    one at least; and never all.
    """

    max_out: int = 1
    max_out_share: float = 0.0

    def limit(self, size: int) -> int:
        allowed = (
            max(1, int(self.max_out_share * size + 1e-9)) if self.max_out_share else self.max_out
        )
        return max(0, min(allowed, size - 1))


@dataclass(frozen=True, slots=True)
class InstanceGroup:
    budget: DisruptionBudget = DisruptionBudget()
    instances: dict[str, Instance] = field(default_factory=dict)

    @property
    def out_count(self) -> int:
        return sum(unit.is_out for unit in self.instances.values())

    def free_permits(self, unhealthy: int = 0) -> int:
        """Permits that may be given; `doubtful`: units that are in and can't be seen to serve."""
        return self.budget.limit(len(self.instances)) - self.out_count - unhealthy


@dataclass(frozen=True, slots=True)
class RolloutState:
    """`holder`, `epoch`: who leads, and how often that changed. `steps`: how many there were.
    `good`: the version that all are to run where nothing is changed. `notes`: the last moves, each
    with its step, in words.
    """

    leader: str = ""
    epoch: int = 0
    step: int = 0
    stable_version: str = ""
    release: Release = Release()
    groups: dict[str, InstanceGroup] = field(
        default_factory=lambda: {SERVERS_GROUP: InstanceGroup()}
    )
    history: tuple[tuple[int, str], ...] = ()
    format_version: int = FORMAT_VERSION

    # What it shows.

    @property
    def servers(self) -> dict[str, Instance]:
        return self.groups[SERVERS_GROUP].instances

    def iter_instances(self) -> Iterator[tuple[str, str, Instance]]:
        for group, one in self.groups.items():
            for name, unit in one.instances.items():
                yield group, name, unit

    def is_done(self, unit: Instance) -> bool:
        """As the change wants it."""
        plan = self.release
        return unit.version == plan.goal_version and (
            not plan.is_restart or plan.is_rollback or unit.release_number == plan.number
        )

    def is_in_flight(self, unit: Instance) -> bool:
        """Sent out by this change and not back in service."""
        return unit.is_out and unit.release_number == self.release.number

    def next_version_of(self, name: str) -> str:
        """That a server of this name is to start with now."""
        unit = self.servers.get(name)
        if unit is not None and unit.next_version and self.release.phase is not ReleasePhase.IDLE:
            return unit.next_version
        return (
            (self.release.previous_version or self.stable_version)
            if self.release.phase is not ReleasePhase.IDLE
            else self.stable_version
        )

    def ejected_instances(self) -> list[tuple[str, str]]:
        """Instances below that are not to be called: group and address."""
        return [
            (group, name)
            for group, name, unit in self.iter_instances()
            if group != SERVERS_GROUP and unit.state is InstanceState.OUT
        ]

    # Steps.

    def with_note(self, said: str) -> "RolloutState":
        return replace(self, history=(*self.history, (self.step, said))[-MAX_HISTORY:])

    def with_instance(self, group: str, name: str, unit: Instance) -> "RolloutState":
        before = self.groups[group]
        rest = {**before.instances, name: unit}
        if unit.state is InstanceState.GONE:
            del rest[name]
        return replace(
            self,
            step=max(self.step, unit.since_step),
            groups={**self.groups, group: replace(before, instances=rest)},
        )

    def apply_input(
        self,
        group: str,
        name: str,
        what: InstanceInput,
        *,
        incarnation: int = 0,
        ticket: int = 0,
        has_budget: bool = False,
        has_sent_budget: bool = False,
    ) -> tuple["RolloutState", str]:
        """A unit's step; the effect is empty where no row holds, and the book the same."""
        unit = self.groups[group].instances.get(name, Instance())
        news = InstanceEvent(
            self.step + 1, incarnation, ticket, has_budget, has_sent_budget, group != SERVERS_GROUP
        )
        moved = units.apply_input(unit, what, news)
        if moved is None:
            return self, ""
        after, effect = moved
        said = f"{what.label}, {unit.state.label} to {after.state.label}"
        return self.with_instance(group, name, after).with_note(f"{group} {name}: {said}"), effect

    def grant_permit(
        self, group: str, name: str, doubtful: int, next_version: str = "", release_number: int = 0
    ) -> tuple["RolloutState", bool]:
        """The one place in which a unit is allowed to leave."""
        there = self.groups[group]
        sent = sum(unit.was_sent_out for other, unit in there.instances.items() if other != name)
        made, effect = self.apply_input(
            group,
            name,
            InstanceInput.PERMIT,
            has_budget=there.free_permits(doubtful) > 0,
            has_sent_budget=sent < there.budget.limit(len(there.instances)),
        )
        if not effect:
            return self, False
        unit = replace(
            made.groups[group].instances[name],
            next_version=next_version or self.groups[group].instances[name].next_version,
            release_number=release_number,
        )
        return made.with_instance(group, name, unit), True

    def apply_to_release(self, what: plans.ReleaseInput, why: str) -> tuple["RolloutState", str]:
        """A step of the change; with what it means to the units."""
        moved = plans.apply_input(self.release, what, self.step + 1, why)
        if moved is None:
            return self, ""
        plan, effect = moved
        book = replace(self, release=plan, step=self.step + 1).with_note(
            f"change {plan.number}: "
            + f"{what.label}, {self.release.phase.label} to {plan.phase.label}"
            + (f" ({why})" if why else "")
        )
        if effect in ("halt", "begin_rollback"):
            book = book.with_permits_revoked()
        if effect == "finish_release":
            book = replace(book, stable_version=plan.target_version)
        if effect == "finish_rollback":
            book = replace(book, stable_version=plan.previous_version)
        if effect == "begin_rollback" or plan.phase is ReleasePhase.IDLE:
            book = book.with_next_version(
                plan.previous_version if effect == "begin_rollback" else ""
            )
        return book, effect

    def with_next_version(self, to: str) -> "RolloutState":
        """All servers are to start with this version, whenever they do."""
        servers = self.groups[SERVERS_GROUP]
        anew = {name: replace(unit, next_version=to) for name, unit in servers.instances.items()}
        return replace(
            self, groups={**self.groups, SERVERS_GROUP: replace(servers, instances=anew)}
        )

    def with_permits_revoked(self) -> "RolloutState":
        """Permits of the change that nobody has begun on are void; who is out comes back as it was
        good.
        """
        book = self
        for name, unit in self.servers.items():
            if book.is_in_flight(unit):
                if unit.state is InstanceState.GRANTED:
                    book, _ = book.apply_input(SERVERS_GROUP, name, InstanceInput.REVOKE)
                    unit = book.servers[name]
                if unit.state in (InstanceState.IN, InstanceState.OUT, InstanceState.MISSING):
                    book = book.with_instance(
                        SERVERS_GROUP,
                        name,
                        replace(unit, next_version=self.release.previous_version),
                    )
        return book

    # Orders of an operator. Each raises `Denied`.

    def start_release(
        self, version: str, waves: tuple[plans.Wave, ...], auto: bool, restart: bool = False
    ) -> "RolloutState":
        running = Counter(unit.version for unit in self.servers.values() if unit.version or restart)
        if not running:
            raise OrderRejectedError(
                "no server tells its version: set `rollout.version` or BURLLOOM_RELEASE for each"
                if self.servers
                else "no server is in the book yet"
            )
        if self.release.phase is not ReleasePhase.IDLE:
            raise OrderRejectedError(
                f"change {self.release.number} to {self.release.target_version} is {self.release.phase.label}:"
                " finish it, or roll it back"
            )
        if wrong := plans.find_wave_faults(waves):
            raise OrderRejectedError("; ".join(wrong))
        former = self.stable_version or running.most_common(1)[0][0]
        version = version or former
        if not restart and all(unit.version == version for unit in self.servers.values()):
            raise OrderRejectedError(
                f"all servers run {version}; --restart starts them anew all the same"
            )
        plan = Release(
            self.release.number + 1,
            target_version=version,
            previous_version=former,
            waves=waves,
            auto_rollback=auto,
            is_restart=restart,
        )
        return replace(self, release=plan, stable_version=former).apply_to_release(
            plans.ReleaseInput.START, ""
        )[0]

    def order(self, what: plans.ReleaseInput, why: str) -> "RolloutState":
        if what is plans.ReleaseInput.ROLLBACK and self.release.is_restart:
            raise OrderRejectedError(
                "a restart brought in no other version: there is nothing to go back to; halt it instead"
            )
        book, effect = self.apply_to_release(what, why)
        if not effect:
            raise OrderRejectedError(
                f"nothing to {what.label}: change {self.release.number} is {self.release.phase.label}"
            )
        return book

    def find_instance(self, group: str, name: str) -> Instance:
        if group not in self.groups:
            raise OrderRejectedError(
                f"there is no group {group!r}; known are {', '.join(self.groups)}"
            )
        unit = self.groups[group].instances.get(name)
        if unit is None:
            raise OrderRejectedError(
                f"{group} has no {name!r}; known are {', '.join(sorted(self.groups[group].instances)) or 'none'}"
            )
        return unit

    def request_drain(self, group: str, name: str, span_ms: int) -> "RolloutState":
        """It is to be taken out, as soon as the budget has room."""
        unit = self.find_instance(group, name)
        if unit.state is not InstanceState.IN or unit.drain_ticket:
            raise OrderRejectedError(
                f"{group} {name} is {'asked for already' if unit.drain_ticket else unit.state.label}"
            )
        if not self.groups[group].budget.limit(len(self.groups[group].instances)):
            raise OrderRejectedError(
                f"{name} is the only one of {group}: it can't be out without all of them being out"
            )
        book = replace(self, step=self.step + 1).with_instance(
            group, name, replace(unit, drain_ticket=self.step + 1, drain_ms=span_ms)
        )
        return book.with_note(f"{group} {name}: asked for")

    def end_drain(self, group: str, name: str) -> "RolloutState":
        unit = self.find_instance(group, name)
        if group == SERVERS_GROUP:
            raise OrderRejectedError("a server comes back when it is started")
        if unit.drain_ticket and unit.state is InstanceState.IN:
            return self.with_instance(group, name, replace(unit, drain_ticket=0))
        book, effect = self.apply_input(group, name, InstanceInput.DRAIN_ENDED)
        if not effect:
            book, effect = self.apply_input(group, name, InstanceInput.REVOKE)
        if not effect:
            raise OrderRejectedError(f"{group} {name} is {unit.state.label}, not out")
        return book

    def retire(self, group: str, name: str) -> "RolloutState":
        self.find_instance(group, name)
        return self.apply_input(group, name, InstanceInput.RETIRE)[0]

    def set_budget(self, group: str, budget: DisruptionBudget) -> "RolloutState":
        if group not in self.groups:
            raise OrderRejectedError(
                f"there is no group {group!r}; known are {', '.join(self.groups)}"
            )
        return self.with_budget(group, budget)

    def with_budget(self, group: str, budget: DisruptionBudget) -> "RolloutState":
        if budget.max_out < 1 or not 0 <= budget.max_out_share < 1:
            raise OrderRejectedError("a budget is a number from 1 on, or a part of all under 1")
        groups = {
            **self.groups,
            group: replace(self.groups.get(group, InstanceGroup()), budget=budget),
        }
        return replace(self, groups=groups, step=self.step + 1).with_note(
            f"{group}: budget {budget.max_out}, {budget.max_out_share:g}"
        )
