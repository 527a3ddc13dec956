"""Walks every history of one allocator and its members: messages late, lost, doubled, out of order,
members started again.

Allocator and lease holder are those of burlloom.fleet. What is counted is counted here: what all may have in
hand below, at once.
"""

import copy
import random
from collections import deque
from typing import Any

from burlloom.fleet.accounts import MemberPresence, ShareReport
from burlloom.fleet.allocator import Allocator, AllocatorPhase
from burlloom.fleet.lease_holder import LeaseHolder
from burlloom.fleet.settings import MILLICALLS_PER_CALL, QuotaSettings

NOW = 10**15


class Member:
    def __init__(self, terms: QuotaSettings) -> None:
        self.holder, self.life, self.number, self.in_hand, self.reported = (
            LeaseHolder(terms, NOW),
            1,
            0,
            0,
            0,
        )
        self.newest = -1  # the report whose grant counts
        self.reports: list[
            tuple[int, int, ShareReport]
        ] = []  # incarnation, number and what it says
        self.grants: list[tuple[int, int, int]] = []  # incarnation, number and the share

    def copy(self, terms: QuotaSettings) -> "Member":
        other = Member(terms)
        other.holder.share, other.holder.state, other.holder.granted = (
            self.holder.share,
            self.holder.state,
            self.holder.granted,
        )
        other.life, other.number, other.in_hand, other.newest = (
            self.life,
            self.number,
            self.in_hand,
            self.newest,
        )
        other.reported = self.reported
        other.reports, other.grants = self.reports[:], self.grants[:]
        return other

    @property
    def held(self) -> int:
        return max(self.holder.share, self.in_hand)

    def key(self) -> Any:
        return (
            self.holder.share,
            self.holder.state,
            self.life,
            self.reported,
            self.newest - self.number,
            self.in_hand,
            tuple((life, number - self.number, told) for life, number, told in self.reports),
            tuple((life, number - self.number, share) for life, number, share in self.grants),
        )


class World:
    def __init__(self, terms: QuotaSettings, members: int) -> None:
        self.allocator = Allocator(terms, NOW)
        self.allocator.phase = AllocatorPhase.ALLOCATING
        self.members = [Member(terms) for _ in range(members)]
        self.seen()

    def copy(self) -> "World":
        other = World.__new__(World)
        other.allocator = copy.copy(self.allocator)
        other.allocator.accounts = {
            name: copy.copy(account) for name, account in self.allocator.accounts.items()
        }
        other.members = [member.copy(self.allocator.settings) for member in self.members]
        return other

    def seen(self) -> None:
        self.allocator.members = {
            str(at): MemberPresence(one.life, True, NOW) for at, one in enumerate(self.members)
        }

    def key(self) -> Any:
        accounts = tuple(
            (
                name,
                one.incarnation,
                one.report_number - self.members[int(name)].number,
                one.report,
                one.bound,
                one.target,
            )
            for name, one in sorted(self.allocator.accounts.items())
        )
        return accounts, tuple(member.key() for member in self.members)

    def in_hand(self) -> int:
        return sum(member.held for member in self.members)


class Explorer:
    """Begins with all calls held by the first member, which has them in hand. `broken`: a rule left
    out, to show that the walk would notice.
    """

    def __init__(
        self,
        calls: int = 2,
        members: int = 2,
        lives: int = 1,
        numbers: int = 2,
        in_flight: int = 2,
        wants: tuple[int, ...] = (2 * MILLICALLS_PER_CALL,),
        broken: str = "",
    ) -> None:
        self.terms, self.count, self.lives, self.numbers = (
            QuotaSettings(calls * MILLICALLS_PER_CALL, idle_share=0.0),
            members,
            lives,
            numbers,
        )
        self.broken, self.in_flight, self.wants = broken, in_flight, wants

    def moves(self, world: World) -> list[Any]:
        """All that may happen next: what, to whom, and how."""
        found: list[Any] = [(self.turn, 0)]
        for at, member in enumerate(world.members):
            if member.reported < self.numbers and len(member.reports) < self.in_flight:
                found += [(self.report, at, wants) for wants in self.wants]
            # Each message may come once more, late.
            found += [
                (self.hear, at, which, keeps)
                for which in range(len(member.reports))
                for keeps in (False, True)
            ]
            found += [
                (what, at, which)
                for which in range(len(member.grants))
                for what in (self.take, self.lose)
            ]
            if member.in_hand > member.holder.share:
                found.append((self.empty, at))
            if member.life < self.lives:
                found.append((self.restart, at))
        return found

    def do(self, world: World, what: Any, at: int, *told: Any) -> World:
        what(world, world.members[at], at, *told)
        return world

    def report(self, world: World, member: Member, at: int, wants: int) -> None:
        member.number += 1
        member.reported += 1
        member.newest = member.number
        held = member.holder.share if self.broken == "in-hand" else member.held
        member.reports.append(
            (member.life, member.number, ShareReport(held, member.holder.share, wants, 1))
        )

    def hear(self, world: World, member: Member, at: int, which: int, keeps: bool) -> None:
        life, number, told = member.reports[which]
        if not keeps:
            del member.reports[which]
        if self.broken == "old-report" and str(at) in world.allocator.accounts:
            world.allocator.accounts[str(at)].report_number = number - 1
        grant = world.allocator.process_report(NOW, str(at), life, number, told)
        if grant is not None and len(member.grants) < self.in_flight:
            member.grants.append((life, number, grant))

    def take(self, world: World, member: Member, at: int, which: int) -> None:
        life, number, share = member.grants.pop(which)
        if life == member.life and (number == member.newest or self.broken == "old-grant"):
            member.newest = -1
            member.holder.process_grant(NOW, share, NOW, True)
            member.in_hand = max(
                member.in_hand, member.holder.share
            )  # what it may have in hand, it has

    def lose(self, world: World, member: Member, at: int, which: int) -> None:
        del member.grants[which]

    def empty(self, world: World, member: Member, at: int) -> None:
        member.in_hand = member.holder.share

    def restart(self, world: World, member: Member, at: int) -> None:
        """Its calls went with it."""
        member.life += 1
        member.in_hand, member.newest = 0, -1
        member.holder = LeaseHolder(self.terms, NOW)
        world.seen()
        world.allocator.run_round(NOW, world.allocator.members, True)

    def turn(self, world: World, member: Member, at: int) -> None:
        world.allocator.allocated_at_ns = NOW - self.terms.allocation_interval_ns
        world.allocator.allocate(NOW)

    def walk(self, most: int) -> tuple[int, int]:
        """How many worlds were seen, at most so many; the most that was ever in hand,
        thousandths.
        """
        first = self.begun()
        known, waiting, worst = {first.key()}, deque([first]), 0
        while waiting and len(known) < most:
            before = waiting.popleft()
            for move in self.moves(before):
                world = self.do(before.copy(), *move)
                key = world.key()
                if key not in known:
                    known.add(key)
                    worst = max(worst, world.in_hand())
                    waiting.append(world)
        return len(known), worst

    def wander(self, histories: int, steps: int, seed: int) -> int:
        """The most that was ever in hand in so many histories of chance, each so long."""
        chance, worst = random.Random(seed), 0
        for _ in range(histories):
            world = self.begun()
            for _ in range(steps):
                self.do(world, *chance.choice(self.moves(world)))
                worst = max(worst, world.in_hand())
        return worst

    def begun(self) -> World:
        first = World(self.terms, self.count)
        one = first.members[0]
        for at, other in enumerate(first.members[1:], 1):
            self.report(first, other, at, 0)
            self.hear(first, other, at, 0, False)
            self.take(first, other, at, 0)
        for _ in range(2):  # the first comes, and has all
            self.report(first, one, 0, self.terms.total_millicalls)
            self.hear(first, one, 0, 0, False)
            self.turn(first, one, 0)
            self.take(first, one, 0, 0)
        assert one.in_hand == self.terms.total_millicalls
        for member in first.members:
            member.reported = 0
        return first
