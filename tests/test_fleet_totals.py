"""Whoever deals keeps sums from report to report: they equal a plain walk in any history, and a
report's work does not grow with the fleet.
"""

import sys
from random import Random
from types import FrameType
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from burlloom.fleet.accounts import MemberPresence, ShareReport
from burlloom.fleet.allocator import Allocator, AllocatorPhase
from burlloom.fleet.settings import MILLICALLS_PER_CALL, QuotaSettings
from burlloom.fleet.settings import NS_PER_MS as MS


class Plain(Allocator):
    """Walks all accounts each time."""

    def count_reporting(self, now: int) -> int:
        return sum(
            now - account.reported_at_ns <= self.settings.report_ttl_ns
            for account in self.accounts.values()
        )

    def free_share(self, now: int) -> int:
        equal = self.settings.equal_share(len(self.members))
        bound = sum(
            account.bound
            if account.reported_at_ns >= self.phase_since_ns
            else max(account.bound, equal)
            for account in self.accounts.values()
        )
        return self.settings.total_millicalls - bound - self.unknown_share(now)

    def unknown_share(self, now: int) -> int:
        count = sum(
            name not in self.accounts and not self.is_reclaimable(now, present)
            for name, present in self.members.items()
        )
        return count * self.settings.equal_share(len(self.members))


NAMES = [f"n{at}" for at in range(7)]
SHARES = st.sampled_from(
    [0, MILLICALLS_PER_CALL, 5 * MILLICALLS_PER_CALL, 40 * MILLICALLS_PER_CALL]
)
STEPS = st.one_of(
    st.tuples(
        st.just("report"),
        st.sampled_from(NAMES),
        st.sampled_from([0, 0, 0, 1]),
        st.sampled_from([1, 1, 1, 0]),
        SHARES,
        SHARES,
    ),
    st.tuples(
        st.just("round"),
        st.sampled_from([True, True, True, False]),
        st.sampled_from([False] * 7 + [True]),
        st.sampled_from([0, 7]),
    ),
    st.tuples(
        st.just("view"),
        st.lists(
            st.tuples(
                st.sampled_from(NAMES), st.integers(0, 1), st.booleans(), st.integers(0, 20_000)
            ),
            max_size=7,
        ),
    ),
    st.tuples(st.just("disown"), st.sampled_from(NAMES), st.integers(0, 1), st.integers(0, 30)),
    st.tuples(
        st.just("wait"),
        st.sampled_from([-300, 0, 1, 50, 200, 1599, 1600, 1601, 2000, 5700, 14_000]),
    ),
)


def seen(allocator: Allocator, now: int) -> object:
    return (
        allocator.phase,
        allocator.phase_since_ns,
        allocator.has_quorum(now),
        allocator.is_confirmed(now),
        allocator.count_reporting(now),
        allocator.free_share(now),
        allocator.unknown_share(now),
        {
            name: (
                one.incarnation,
                one.report_number,
                one.reported_at_ns,
                one.report,
                one.bound,
                one.target,
            )
            for name, one in allocator.accounts.items()
        },
    )


@settings(max_examples=400, deadline=None)
@given(st.lists(STEPS, max_size=60), st.integers(1, 5), st.booleans())
def test_kept_sums_equal_a_plain_walk_in_any_history(
    steps: list[tuple[Any, ...]], least: int, dealt: bool
) -> None:
    terms, now, number = QuotaSettings(30 * MILLICALLS_PER_CALL, least), 10**13, 0
    pair = Allocator(terms, now), Plain(terms, now)
    fleet = {name: MemberPresence(0, True, now) for name in NAMES[:4]}
    for one in pair:
        one.run_round(now, fleet, True)
        if dealt:
            one.phase = AllocatorPhase.ALLOCATING
    for what, *told in steps:
        if what == "wait":
            now += told[0] * MS
        elif what == "view":
            fleet = {
                name: MemberPresence(life, there, now - age * MS)
                for name, life, there, age in told[0]
            }
            for one in pair:
                one.members = fleet
        elif what == "round":
            for one in pair:
                one.run_round(now, fleet, told[0], told[1], told[2])
        elif what == "disown":
            for one in pair:
                one.release_member(*told)
        else:
            name, life, later, held, want = told
            number += later
            grants = [
                one.process_report(
                    now,
                    name,
                    life,
                    number,
                    ShareReport(held, min(held, MILLICALLS_PER_CALL), want, 1, 7),
                )
                for one in pair
            ]
            assert grants[0] == grants[1]
        assert seen(pair[0], now) == seen(pair[1], now)


def test_a_clock_that_stepped_back_has_the_sums_made_anew() -> None:
    now, pair = (
        10**13,
        [kind(QuotaSettings(30 * MILLICALLS_PER_CALL), 10**13) for kind in (Allocator, Plain)],
    )
    for one in pair:
        one.run_round(now, {name: MemberPresence(1, name != "n2", now) for name in NAMES[:3]}, True)
        one.phase = AllocatorPhase.ALLOCATING
        one.process_report(now, "n0", 1, 1, ShareReport(0, 0, 0, 1))
    for ms in (0, 1601, 1600, 14_000, 13_999, 0):
        assert seen(pair[0], now + ms * MS) == seen(pair[1], now + ms * MS)
    assert pair[0].count_reporting(now) == 1
    assert pair[0].unknown_share(now) == 20 * MILLICALLS_PER_CALL


@pytest.mark.parametrize("seed", range(4))
def test_kept_sums_equal_a_plain_walk_while_a_fleet_lives(seed: int) -> None:
    """Long histories that mostly deal: members report, fall silent, die, are started again, come
    and leave.
    """
    chance, now, number = Random(seed), 10**13, 0
    terms = QuotaSettings(40 * MILLICALLS_PER_CALL, 2)
    pair = Allocator(terms, now), Plain(terms, now)
    lives = {f"m{at}": 1 for at in range(10)}
    silent: set[str] = set()
    fleet = {name: MemberPresence(1, True, now) for name in lives}
    phases = set()
    for _ in range(3000):
        now += chance.choice([0, 1, 20, 60]) * MS
        name = chance.choice(list(lives))
        happens = chance.random()
        if happens < 0.01:
            silent ^= {name}
            fleet = {**fleet, name: MemberPresence(lives[name], name not in silent, now)}
        elif happens < 0.015:
            lives[name] += 1
            fleet = {**fleet, name: MemberPresence(lives[name], True, now)}
            silent.discard(name)
        elif happens < 0.02:
            fleet = {other: present for other, present in fleet.items() if other != name}
        elif happens < 0.025:
            for one in pair:
                one.release_member(name, lives[name], number)
        elif happens < 0.03:
            now += chance.choice([2000, 15_000]) * MS
        elif happens < 0.2:
            gap = chance.random() < 0.01
            for one in pair:
                one.run_round(now, fleet, True, gap, 7)
        elif name not in silent:
            fleet = (
                fleet if name in fleet else {**fleet, name: MemberPresence(lives[name], True, now)}
            )
            number += 1
            held = chance.choice([0, MILLICALLS_PER_CALL, 4 * MILLICALLS_PER_CALL])
            told = ShareReport(
                held, held, chance.choice([MILLICALLS_PER_CALL, 100 * MILLICALLS_PER_CALL]), 1, 7
            )
            for one in pair:
                one.members = fleet
            grants = [one.process_report(now, name, lives[name], number, told) for one in pair]
            assert grants[0] == grants[1]
        assert seen(pair[0], now) == seen(pair[1], now)
        phases.add(pair[0].phase)
    assert phases == set(AllocatorPhase)


def steps_of(work: Any) -> int:
    """Bytecode instructions that it takes, in all functions."""
    count = 0

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


def second_of_reports(kind: type[Allocator], size: int) -> int:
    """Instructions a report, over five rounds in which all report; the rounds themselves are not
    counted.
    """
    now = 10**13
    allocator, told = (
        kind(QuotaSettings(4 * size * MILLICALLS_PER_CALL), now),
        ShareReport(MILLICALLS_PER_CALL, MILLICALLS_PER_CALL, 100 * MILLICALLS_PER_CALL, 1, 7),
    )
    fleet = {f"n{at}": MemberPresence(1, True, now) for at in range(size)}
    steps = 0
    for number in range(10):
        allocator.run_round(now, fleet, True, False, 7)
        for at in range(size):
            now += 200 * MS // size

            def report(at: int = at, number: int = number) -> None:
                allocator.process_report(now, f"n{at}", 1, number, told)
                allocator.is_confirmed(now)

            if number >= 5 and at % (size // 20) == 0:
                steps += steps_of(report)
            else:
                report()
    assert allocator.phase is AllocatorPhase.ALLOCATING
    return steps // 100


def test_the_work_of_a_report_does_not_grow_with_the_fleet() -> None:
    small, large = second_of_reports(Allocator, 100), second_of_reports(Allocator, 1000)
    assert large <= 1.1 * small, (small, large)
    # The same count tells a walk.
    assert second_of_reports(Plain, 400) > 3 * second_of_reports(Plain, 100)
