"""Whole swarms of real members in simulated time: how long until all agree, and what a start of all
at once costs.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from time import thread_time_ns
from typing import Any

import burlloom.fleet.member as whole
from burlloom.lab.clock import simulated_loop
from burlloom.lab.fleets import SimulatedNetwork, Swarm, SwarmMember

MOST = 180.0  # s of simulated time, in which all agree or never


class Agreeing(Swarm):
    """`agreed` once a look, over hundreds of members: what a view shows is worked out anew only
    where it changed.
    """

    shown: dict[str, tuple[object, int, frozenset[str]]]

    def has_agreed_view(self) -> bool:
        self.shown = getattr(self, "shown", {})
        up = self.running_members()
        names = frozenset(body.name for body in up)
        return all(self.names_of(body) == names for body in up)

    def names_of(self, body: SwarmMember) -> frozenset[str]:
        fleet = body.fleet_member
        assert fleet is not None
        known = self.shown.get(body.name)
        if known is None or known[0] is not fleet or known[1] != fleet.view.version:
            names = frozenset(member.update.name for member in fleet.view.present_members())
            known = self.shown[body.name] = fleet, fleet.view.version, names
        return known[2]

    def until(self, test: Callable[[], bool]) -> float:
        """Seconds until it holds."""
        began = self.loop.now_s
        while not test():
            if self.loop.now_s - began > MOST:
                raise AssertionError(f"{len(self.members)} servers: not within {MOST} s")
            self.run(0.1)
        return self.loop.now_s - began


@contextmanager
def swarm_of(size: int, terms: Any, cold: bool = False) -> Iterator[Agreeing]:
    """All started; unless `cold`, each has the whole view already, taken in without messages."""
    with simulated_loop() as loop:
        swarm = Agreeing(loop, SimulatedNetwork(loop, 1), terms)
        swarm.add(size, 4.0)
        if not cold:
            words = [
                body.fleet_member.own
                for body in swarm.running_members()
                if body.fleet_member is not None
            ]
            for body in swarm.running_members():
                assert body.fleet_member is not None
                for word in words:
                    body.fleet_member.view.process_update(swarm.now_ns(), word)
                body.fleet_member.view.transitions = []
            swarm.run(6)
        yield swarm


def after_deaths(swarm: Agreeing, bodies: list[SwarmMember]) -> tuple[float, float]:
    """Until all that are left agree, and then until all agree with these started again."""
    for body in bodies:
        swarm.kill(body)
    took = swarm.until(swarm.has_agreed_view)
    for body in bodies:
        swarm.start(body)
    back = swarm.until(swarm.has_agreed_view)
    swarm.run(3)
    return took, back


def after_restart(swarm: Agreeing, body: SwarmMember) -> float:
    """It leaves, and is started again 2 s later: from then until all agree."""
    swarm.leave(body)
    swarm.run(2)
    swarm.start(body)
    took = swarm.until(swarm.has_agreed_view)
    swarm.run(3)
    return took


def after_cut(swarm: Agreeing, part: list[SwarmMember], seconds: float) -> tuple[float, float]:
    """Until both sides agree each with itself; and from the healing until all agree."""
    up = swarm.running_members()
    inside = {body.name for body in part}
    sides = [frozenset(inside), frozenset(body.name for body in up if body.name not in inside)]
    swarm.shown = {}
    swarm.network.cut(
        [body.address for body in part], [body.address for body in up if body.name not in inside]
    )
    began = swarm.loop.now_s
    took = swarm.until(
        lambda: all(swarm.names_of(body) == sides[body.name not in inside] for body in up)
    )
    swarm.run(max(0.0, seconds - (swarm.loop.now_s - began)))
    swarm.network.heal()
    return took, swarm.until(swarm.has_agreed_view)


@contextmanager
def metered() -> Iterator[dict[str, int]]:
    """Processor time of each member by its name, ns."""
    spent: dict[str, int] = {}
    tick, hear = whole.FleetMember.tick, whole.FleetMember.receive

    def timed(of: Callable[..., None]) -> Callable[..., None]:
        def call(fleet: whole.FleetMember, *told: Any) -> None:
            began = thread_time_ns()
            of(fleet, *told)
            spent[fleet.own.name] = spent.get(fleet.own.name, 0) + thread_time_ns() - began

        return call

    whole.FleetMember.tick, whole.FleetMember.receive = timed(tick), timed(hear)  # type: ignore[method-assign]
    try:
        yield spent
    finally:
        whole.FleetMember.tick, whole.FleetMember.receive = tick, hear  # type: ignore[method-assign]
