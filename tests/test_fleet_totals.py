"""Tests of the allocator's incremental sums over its accounts.

They must equal sums over all accounts in any history, and the work per report must not grow with
the fleet.
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
from burlloom.time_units import NS_PER_MS


class IteratingAllocator(Allocator):
    """Reference implementation that iterates over all accounts at each query."""

    def count_reporting(self, now_ns: int) -> int:
        return sum(
            now_ns - account.reported_at_ns <= self.settings.report_ttl_ns
            for account in self.accounts.values()
        )

    def free_share(self, now_ns: int) -> int:
        equal_share = self.settings.equal_share(len(self.members))
        max_held = sum(
            account.max_held
            if account.reported_at_ns >= self.phase_since_ns
            else max(account.max_held, equal_share)
            for account in self.accounts.values()
        )
        return self.settings.total_millicalls - max_held - self.unknown_share(now_ns)

    def unknown_share(self, now_ns: int) -> int:
        count = sum(
            name not in self.accounts and not self.is_reclaimable(now_ns, presence)
            for name, presence in self.members.items()
        )
        return count * self.settings.equal_share(len(self.members))


NAMES = [f"n{index}" for index in range(7)]
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
    st.tuples(st.just("release"), st.sampled_from(NAMES), st.integers(0, 1), st.integers(0, 30)),
    st.tuples(
        st.just("wait"),
        st.sampled_from([-300, 0, 1, 50, 200, 1599, 1600, 1601, 2000, 5700, 14_000]),
    ),
)


def observable_state(allocator: Allocator, now_ns: int) -> object:
    return (
        allocator.phase,
        allocator.phase_since_ns,
        allocator.has_quorum(now_ns),
        allocator.is_confirmed(now_ns),
        allocator.count_reporting(now_ns),
        allocator.free_share(now_ns),
        allocator.unknown_share(now_ns),
        {
            name: (
                account.incarnation,
                account.report_number,
                account.reported_at_ns,
                account.report,
                account.max_held,
                account.target,
            )
            for name, account in allocator.accounts.items()
        },
    )


@settings(max_examples=400, deadline=None)
@given(st.lists(STEPS, max_size=60), st.integers(1, 5), st.booleans())
def test_incremental_sums_equal_full_sums_in_any_history(
    steps: list[tuple[Any, ...]], min_members: int, is_allocating: bool
) -> None:
    quota_settings, now_ns, report_number = (
        QuotaSettings(30 * MILLICALLS_PER_CALL, min_members),
        10**13,
        0,
    )
    allocators = Allocator(quota_settings, now_ns), IteratingAllocator(quota_settings, now_ns)
    members = {name: MemberPresence(0, True, now_ns) for name in NAMES[:4]}
    for allocator in allocators:
        allocator.run_round(now_ns, members, True)
        if is_allocating:
            allocator.phase = AllocatorPhase.ALLOCATING
    for step, *arguments in steps:
        if step == "wait":
            now_ns += arguments[0] * NS_PER_MS
        elif step == "view":
            members = {
                name: MemberPresence(incarnation, is_present, now_ns - age * NS_PER_MS)
                for name, incarnation, is_present, age in arguments[0]
            }
            for allocator in allocators:
                allocator.members = members
        elif step == "round":
            for allocator in allocators:
                allocator.run_round(now_ns, members, arguments[0], arguments[1], arguments[2])
        elif step == "release":
            for allocator in allocators:
                allocator.release_member(*arguments)
        else:
            name, incarnation, number_increment, held, demand = arguments
            report_number += number_increment
            grants = [
                allocator.process_report(
                    now_ns,
                    name,
                    incarnation,
                    report_number,
                    ShareReport(held, min(held, MILLICALLS_PER_CALL), demand, 1, 7),
                )
                for allocator in allocators
            ]
            assert grants[0] == grants[1]
        assert observable_state(allocators[0], now_ns) == observable_state(allocators[1], now_ns)


def test_sums_are_computed_again_after_the_clock_steps_back() -> None:
    now_ns, allocators = (
        10**13,
        [
            allocator_type(QuotaSettings(30 * MILLICALLS_PER_CALL), 10**13)
            for allocator_type in (Allocator, IteratingAllocator)
        ],
    )
    for allocator in allocators:
        allocator.run_round(
            now_ns, {name: MemberPresence(1, name != "n2", now_ns) for name in NAMES[:3]}, True
        )
        allocator.phase = AllocatorPhase.ALLOCATING
        allocator.process_report(now_ns, "n0", 1, 1, ShareReport(0, 0, 0, 1))
    for ms in (0, 1601, 1600, 14_000, 13_999, 0):
        assert observable_state(allocators[0], now_ns + ms * NS_PER_MS) == observable_state(
            allocators[1], now_ns + ms * NS_PER_MS
        )
    assert allocators[0].count_reporting(now_ns) == 1
    assert allocators[0].unknown_share(now_ns) == 20 * MILLICALLS_PER_CALL


@pytest.mark.parametrize("seed", range(4))
def test_incremental_sums_equal_full_sums_in_long_histories(seed: int) -> None:
    """Runs long histories in which the allocator is mostly allocating.

    Members report, stop reporting, die, are restarted, join and leave.
    """
    random_generator, now_ns, report_number = Random(seed), 10**13, 0
    quota_settings = QuotaSettings(40 * MILLICALLS_PER_CALL, 2)
    allocators = Allocator(quota_settings, now_ns), IteratingAllocator(quota_settings, now_ns)
    incarnations = {f"m{index}": 1 for index in range(10)}
    silent: set[str] = set()
    members = {name: MemberPresence(1, True, now_ns) for name in incarnations}
    phases = set()
    for _ in range(3000):
        now_ns += random_generator.choice([0, 1, 20, 60]) * NS_PER_MS
        name = random_generator.choice(list(incarnations))
        event_draw = random_generator.random()
        if event_draw < 0.01:
            silent ^= {name}
            members = {
                **members,
                name: MemberPresence(incarnations[name], name not in silent, now_ns),
            }
        elif event_draw < 0.015:
            incarnations[name] += 1
            members = {**members, name: MemberPresence(incarnations[name], True, now_ns)}
            silent.discard(name)
        elif event_draw < 0.02:
            members = {other: presence for other, presence in members.items() if other != name}
        elif event_draw < 0.025:
            for allocator in allocators:
                allocator.release_member(name, incarnations[name], report_number)
        elif event_draw < 0.03:
            now_ns += random_generator.choice([2000, 15_000]) * NS_PER_MS
        elif event_draw < 0.2:
            was_paused = random_generator.random() < 0.01
            for allocator in allocators:
                allocator.run_round(now_ns, members, True, was_paused, 7)
        elif name not in silent:
            members = (
                members
                if name in members
                else {**members, name: MemberPresence(incarnations[name], True, now_ns)}
            )
            report_number += 1
            held = random_generator.choice([0, MILLICALLS_PER_CALL, 4 * MILLICALLS_PER_CALL])
            share_report = ShareReport(
                held,
                held,
                random_generator.choice([MILLICALLS_PER_CALL, 100 * MILLICALLS_PER_CALL]),
                1,
                7,
            )
            for allocator in allocators:
                allocator.members = members
            grants = [
                allocator.process_report(
                    now_ns, name, incarnations[name], report_number, share_report
                )
                for allocator in allocators
            ]
            assert grants[0] == grants[1]
        assert observable_state(allocators[0], now_ns) == observable_state(allocators[1], now_ns)
        phases.add(allocators[0].phase)
    assert phases == set(AllocatorPhase)


def count_bytecode_instructions(function: Any) -> int:
    """Returns how many bytecode instructions a call of `function` executes, with all callees."""
    count = 0

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(before)
    return count


def instructions_per_report(allocator_type: type[Allocator], size: int) -> int:
    """Returns the mean number of instructions per report, sampled over five rounds.

    All members report in each round; the instructions of the rounds themselves are not counted.
    """
    now_ns = 10**13
    allocator, share_report = (
        allocator_type(QuotaSettings(4 * size * MILLICALLS_PER_CALL), now_ns),
        ShareReport(MILLICALLS_PER_CALL, MILLICALLS_PER_CALL, 100 * MILLICALLS_PER_CALL, 1, 7),
    )
    members = {f"n{index}": MemberPresence(1, True, now_ns) for index in range(size)}
    steps = 0
    for report_number in range(10):
        allocator.run_round(now_ns, members, True, False, 7)
        for index in range(size):
            now_ns += 200 * NS_PER_MS // size

            def report(index: int = index, report_number: int = report_number) -> None:
                allocator.process_report(now_ns, f"n{index}", 1, report_number, share_report)
                allocator.is_confirmed(now_ns)

            if report_number >= 5 and index % (size // 20) == 0:
                steps += count_bytecode_instructions(report)
            else:
                report()
    assert allocator.phase is AllocatorPhase.ALLOCATING
    return steps // 100


def test_the_work_per_report_does_not_grow_with_the_fleet() -> None:
    small, large = instructions_per_report(Allocator, 100), instructions_per_report(Allocator, 1000)
    assert large <= 1.1 * small, (small, large)
    # The same measurement detects an implementation that iterates over all accounts.
    assert instructions_per_report(IteratingAllocator, 400) > 3 * instructions_per_report(
        IteratingAllocator, 100
    )
