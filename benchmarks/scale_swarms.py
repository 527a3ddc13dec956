"""Runs swarms of real members in simulated time.

Measures how long members take to agree, and what a simultaneous start of all members costs.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from time import thread_time_ns
from typing import Any

import burlloom.fleet.member as member_module
from burlloom.lab.clock import simulated_loop
from burlloom.lab.fleets import SimulatedNetwork, Swarm, SwarmMember

MAX_AGREEMENT_S = 180.0  # s of simulated time after which a swarm counts as never agreeing


class AgreementSwarm(Swarm):
    """A swarm that checks agreement at each look.

    The names in a view are computed again only if the view changed, because a swarm has hundreds of
    members.
    """

    shown: dict[str, tuple[object, int, frozenset[str]]]

    def has_agreed_view(self) -> bool:
        """Returns whether all views hold exactly the running members."""
        self.shown = getattr(self, "shown", {})
        running = self.running_members()
        names = frozenset(body.name for body in running)
        return all(self.names_of(body) == names for body in running)

    def names_of(self, body: SwarmMember) -> frozenset[str]:
        """Returns the names of the members that are present in a view."""
        fleet = body.fleet_member
        assert fleet is not None
        cached = self.shown.get(body.name)
        if cached is None or cached[0] is not fleet or cached[1] != fleet.view.version:
            names = frozenset(member.update.name for member in fleet.view.present_members())
            cached = self.shown[body.name] = fleet, fleet.view.version, names
        return cached[2]

    def until(self, test: Callable[[], bool]) -> float:
        """Runs until the test holds and returns the seconds that it took."""
        began = self.loop.now_s
        while not test():
            if self.loop.now_s - began > MAX_AGREEMENT_S:
                raise AssertionError(f"{len(self.members)} servers: not within {MAX_AGREEMENT_S} s")
            self.run(0.1)
        return self.loop.now_s - began


@contextmanager
def swarm_of(size: int, terms: Any, cold: bool = False) -> Iterator[AgreementSwarm]:
    """Yields a started swarm; unless `cold`, each member gets the whole view without messages."""
    with simulated_loop() as loop:
        swarm = AgreementSwarm(loop, SimulatedNetwork(loop, 1), terms)
        swarm.add(size, 4.0)
        if not cold:
            updates = [
                body.fleet_member.own
                for body in swarm.running_members()
                if body.fleet_member is not None
            ]
            for body in swarm.running_members():
                assert body.fleet_member is not None
                for update in updates:
                    body.fleet_member.view.process_update(swarm.now_ns(), update)
                body.fleet_member.view.transitions = []
            swarm.run(6)
        yield swarm


def after_deaths(swarm: AgreementSwarm, bodies: list[SwarmMember]) -> tuple[float, float]:
    """Returns seconds until the others agree, and then until all agree after a start of the dead."""
    for body in bodies:
        swarm.kill(body)
    agreement_s = swarm.until(swarm.has_agreed_view)
    for body in bodies:
        swarm.start(body)
    return_s = swarm.until(swarm.has_agreed_view)
    swarm.run(3)
    return agreement_s, return_s


def after_restart(swarm: AgreementSwarm, body: SwarmMember) -> float:
    """Lets a member leave, starts it again 2 s later, and returns seconds from then to agreement."""
    swarm.leave(body)
    swarm.run(2)
    swarm.start(body)
    agreement_s = swarm.until(swarm.has_agreed_view)
    swarm.run(3)
    return agreement_s


def after_cut(
    swarm: AgreementSwarm, part: list[SwarmMember], seconds: float
) -> tuple[float, float]:
    """Returns seconds until each side of a cut agrees, and from the end of the cut until all do."""
    running = swarm.running_members()
    inside = {body.name for body in part}
    sides = [frozenset(inside), frozenset(body.name for body in running if body.name not in inside)]
    swarm.shown = {}
    swarm.network.cut(
        [body.address for body in part],
        [body.address for body in running if body.name not in inside],
    )
    began = swarm.loop.now_s
    agreement_s = swarm.until(
        lambda: all(swarm.names_of(body) == sides[body.name not in inside] for body in running)
    )
    swarm.run(max(0.0, seconds - (swarm.loop.now_s - began)))
    swarm.network.heal()
    return agreement_s, swarm.until(swarm.has_agreed_view)


@contextmanager
def metered() -> Iterator[dict[str, int]]:
    """Yields the processor time in ns of each member by name."""
    spent: dict[str, int] = {}
    tick, receive = member_module.FleetMember.tick, member_module.FleetMember.receive

    def timed(method: Callable[..., None]) -> Callable[..., None]:
        def call(fleet: member_module.FleetMember, *arguments: Any) -> None:
            began = thread_time_ns()
            method(fleet, *arguments)
            spent[fleet.own.name] = spent.get(fleet.own.name, 0) + thread_time_ns() - began

        return call

    member_module.FleetMember.tick, member_module.FleetMember.receive = timed(tick), timed(receive)  # type: ignore[method-assign]
    try:
        yield spent
    finally:
        member_module.FleetMember.tick, member_module.FleetMember.receive = tick, receive  # type: ignore[method-assign]
