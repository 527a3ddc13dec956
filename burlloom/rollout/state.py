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
NOTES_MOST = 40
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

    most: int = 1
    share: float = 0.0

    def bound(self, size: int) -> int:
        allowed = max(1, int(self.share * size + 1e-9)) if self.share else self.most
        return max(0, min(allowed, size - 1))


@dataclass(frozen=True, slots=True)
class InstanceGroup:
    budget: DisruptionBudget = DisruptionBudget()
    units: dict[str, Instance] = field(default_factory=dict)

    @property
    def taken(self) -> int:
        return sum(unit.counts for unit in self.units.values())

    def free(self, doubtful: int = 0) -> int:
        """Permits that may be given; `doubtful`: units that are in and can't be seen to serve."""
        return self.budget.bound(len(self.units)) - self.taken - doubtful


@dataclass(frozen=True, slots=True)
class RolloutState:
    """`holder`, `epoch`: who leads, and how often that changed. `steps`: how many there were.
    `good`: the version that all are to run where nothing is changed. `notes`: the last moves, each
    with its step, in words.
    """

    holder: str = ""
    epoch: int = 0
    steps: int = 0
    good: str = ""
    plan: Release = Release()
    groups: dict[str, InstanceGroup] = field(
        default_factory=lambda: {SERVERS_GROUP: InstanceGroup()}
    )
    notes: tuple[tuple[int, str], ...] = ()
    form: int = FORMAT_VERSION

    # What it shows.

    @property
    def servers(self) -> dict[str, Instance]:
        return self.groups[SERVERS_GROUP].units

    def all(self) -> Iterator[tuple[str, str, Instance]]:
        for group, one in self.groups.items():
            for name, unit in one.units.items():
                yield group, name, unit

    def done(self, unit: Instance) -> bool:
        """As the change wants it."""
        plan = self.plan
        return unit.version == plan.goal and (
            not plan.restart or plan.backing or unit.moved == plan.number
        )

    def flying(self, unit: Instance) -> bool:
        """Sent out by this change and not back in service."""
        return unit.counts and unit.moved == self.plan.number

    def version_of(self, name: str) -> str:
        """That a server of this name is to start with now."""
        unit = self.servers.get(name)
        if unit is not None and unit.to and self.plan.phase is not ReleasePhase.IDLE:
            return unit.to
        return (
            (self.plan.former or self.good)
            if self.plan.phase is not ReleasePhase.IDLE
            else self.good
        )

    def shunned(self) -> list[tuple[str, str]]:
        """Instances below that are not to be called: group and address."""
        return [
            (group, name)
            for group, name, unit in self.all()
            if group != SERVERS_GROUP and unit.state is InstanceState.OUT
        ]

    # Steps.

    def note(self, said: str) -> "RolloutState":
        return replace(self, notes=(*self.notes, (self.steps, said))[-NOTES_MOST:])

    def put(self, group: str, name: str, unit: Instance) -> "RolloutState":
        before = self.groups[group]
        rest = {**before.units, name: unit}
        if unit.state is InstanceState.GONE:
            del rest[name]
        return replace(
            self,
            steps=max(self.steps, unit.since),
            groups={**self.groups, group: replace(before, units=rest)},
        )

    def meet(
        self,
        group: str,
        name: str,
        what: InstanceInput,
        *,
        life: int = 0,
        ticket: int = 0,
        room: bool = False,
        few: bool = False,
    ) -> tuple["RolloutState", str]:
        """A unit's step; the effect is empty where no row holds, and the book the same."""
        unit = self.groups[group].units.get(name, Instance())
        news = InstanceEvent(self.steps + 1, life, ticket, room, few, group != SERVERS_GROUP)
        moved = units.meet(unit, what, news)
        if moved is None:
            return self, ""
        after, effect = moved
        said = f"{what.name}, {unit.state.name} to {after.state.name}".lower()
        return self.put(group, name, after).note(f"{group} {name}: {said}"), effect

    def permit(
        self, group: str, name: str, doubtful: int, to: str = "", moved: int = 0
    ) -> tuple["RolloutState", bool]:
        """The one place in which a unit is allowed to leave."""
        there = self.groups[group]
        sent = sum(unit.sent for other, unit in there.units.items() if other != name)
        made, effect = self.meet(
            group,
            name,
            InstanceInput.GRANT,
            room=there.free(doubtful) > 0,
            few=sent < there.budget.bound(len(there.units)),
        )
        if not effect:
            return self, False
        unit = replace(
            made.groups[group].units[name], to=to or self.groups[group].units[name].to, moved=moved
        )
        return made.put(group, name, unit), True

    def decide(self, what: plans.ReleaseInput, why: str) -> tuple["RolloutState", str]:
        """A step of the change; with what it means to the units."""
        moved = plans.meet(self.plan, what, self.steps + 1, why)
        if moved is None:
            return self, ""
        plan, effect = moved
        book = replace(self, plan=plan, steps=self.steps + 1).note(
            f"change {plan.number}: "
            + f"{what.name}, {self.plan.phase.name} to {plan.phase.name}".lower()
            + (f" ({why})" if why else "")
        )
        if effect in ("stop", "turn"):
            book = book.called_in()
        if effect == "finish":
            book = replace(book, good=plan.version)
        if effect == "close":
            book = replace(book, good=plan.former)
        if effect == "turn" or plan.phase is ReleasePhase.IDLE:
            book = book.told(plan.former if effect == "turn" else "")
        return book, effect

    def told(self, to: str) -> "RolloutState":
        """All servers are to start with this version, whenever they do."""
        servers = self.groups[SERVERS_GROUP]
        anew = {name: replace(unit, to=to) for name, unit in servers.units.items()}
        return replace(self, groups={**self.groups, SERVERS_GROUP: replace(servers, units=anew)})

    def called_in(self) -> "RolloutState":
        """Permits of the change that nobody has begun on are void; who is out comes back as it was
        good.
        """
        book = self
        for name, unit in self.servers.items():
            if book.flying(unit):
                if unit.state is InstanceState.GRANTED:
                    book, _ = book.meet(SERVERS_GROUP, name, InstanceInput.REVOKE)
                    unit = book.servers[name]
                if unit.state in (InstanceState.IN, InstanceState.OUT, InstanceState.MISSING):
                    book = book.put(SERVERS_GROUP, name, replace(unit, to=self.plan.former))
        return book

    # Orders of an operator. Each raises `Denied`.

    def start(
        self, version: str, waves: tuple[plans.Wave, ...], auto: bool, restart: bool = False
    ) -> "RolloutState":
        running = Counter(unit.version for unit in self.servers.values() if unit.version or restart)
        if not running:
            raise OrderRejectedError(
                "no server tells its version: set `rollout.version` or BURLLOOM_RELEASE for each"
                if self.servers
                else "no server is in the book yet"
            )
        if self.plan.phase is not ReleasePhase.IDLE:
            raise OrderRejectedError(
                f"change {self.plan.number} to {self.plan.version} is {self.plan.phase.name.lower()}:"
                " finish it, or roll it back"
            )
        if wrong := plans.find_wave_faults(waves):
            raise OrderRejectedError("; ".join(wrong))
        former = self.good or running.most_common(1)[0][0]
        version = version or former
        if not restart and all(unit.version == version for unit in self.servers.values()):
            raise OrderRejectedError(
                f"all servers run {version}; --restart starts them anew all the same"
            )
        plan = Release(
            self.plan.number + 1,
            version=version,
            former=former,
            waves=waves,
            auto=auto,
            restart=restart,
        )
        return replace(self, plan=plan, good=former).decide(plans.ReleaseInput.START, "")[0]

    def order(self, what: plans.ReleaseInput, why: str) -> "RolloutState":
        if what is plans.ReleaseInput.ROLLBACK and self.plan.restart:
            raise OrderRejectedError(
                "a restart brought in no other version: there is nothing to go back to; halt it instead"
            )
        book, effect = self.decide(what, why)
        if not effect:
            raise OrderRejectedError(
                f"nothing to {what.name.lower()}: change {self.plan.number} is {self.plan.phase.name.lower()}"
            )
        return book

    def known(self, group: str, name: str) -> Instance:
        if group not in self.groups:
            raise OrderRejectedError(
                f"there is no group {group!r}; known are {', '.join(self.groups)}"
            )
        unit = self.groups[group].units.get(name)
        if unit is None:
            raise OrderRejectedError(
                f"{group} has no {name!r}; known are {', '.join(sorted(self.groups[group].units)) or 'none'}"
            )
        return unit

    def ask(self, group: str, name: str, span_ms: int) -> "RolloutState":
        """It is to be taken out, as soon as the budget has room."""
        unit = self.known(group, name)
        if unit.state is not InstanceState.IN or unit.asked:
            raise OrderRejectedError(
                f"{group} {name} is {'asked for already' if unit.asked else unit.state.name.lower()}"
            )
        if not self.groups[group].budget.bound(len(self.groups[group].units)):
            raise OrderRejectedError(
                f"{name} is the only one of {group}: it can't be out without all of them being out"
            )
        book = replace(self, steps=self.steps + 1).put(
            group, name, replace(unit, asked=self.steps + 1, span_ms=span_ms)
        )
        return book.note(f"{group} {name}: asked for")

    def give(self, group: str, name: str) -> "RolloutState":
        unit = self.known(group, name)
        if group == SERVERS_GROUP:
            raise OrderRejectedError("a server comes back when it is started")
        if unit.asked and unit.state is InstanceState.IN:
            return self.put(group, name, replace(unit, asked=0))
        book, effect = self.meet(group, name, InstanceInput.GIVEN)
        if not effect:
            book, effect = self.meet(group, name, InstanceInput.REVOKE)
        if not effect:
            raise OrderRejectedError(f"{group} {name} is {unit.state.name.lower()}, not out")
        return book

    def retire(self, group: str, name: str) -> "RolloutState":
        self.known(group, name)
        return self.meet(group, name, InstanceInput.RETIRE)[0]

    def allow(self, group: str, budget: DisruptionBudget) -> "RolloutState":
        if group not in self.groups:
            raise OrderRejectedError(
                f"there is no group {group!r}; known are {', '.join(self.groups)}"
            )
        return self.with_budget(group, budget)

    def with_budget(self, group: str, budget: DisruptionBudget) -> "RolloutState":
        if budget.most < 1 or not 0 <= budget.share < 1:
            raise OrderRejectedError("a budget is a number from 1 on, or a part of all under 1")
        groups = {
            **self.groups,
            group: replace(self.groups.get(group, InstanceGroup()), budget=budget),
        }
        return replace(self, groups=groups, steps=self.steps + 1).note(
            f"{group}: budget {budget.most}, {budget.share:g}"
        )
