"""Tests of the derived attributes of a membership view.

They must equal a full iteration over the members in any history, and the work of a tick, of a page
and of a presence refresh must not grow with the fleet.
"""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_fleet_totals import count_bytecode_instructions

from burlloom.fleet import (
    FleetMember,
    GossipSettings,
    MemberState,
    MemberUpdate,
    QuotaSettings,
)
from burlloom.fleet.accounts import MemberPresence
from burlloom.fleet.membership import (
    MembershipInput,
    MembershipView,
    find_due_inputs,
    hash_update,
)
from burlloom.fleet.messages import Message, MessageKind, decode, encode
from burlloom.fleet.settings import MILLICALLS_PER_CALL
from burlloom.fleet.synchronization import PAGE_UPDATES
from burlloom.time_units import NS_PER_MS

KEY, NOW_NS = b"the test's own key", 10**13
NAMES = ["a", "b", "c", "d", "own"]
STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
UPDATES = st.builds(
    MemberUpdate,
    st.sampled_from(NAMES),
    st.sampled_from(["10.0.0.1:1", "10.0.0.2:1"]),
    st.integers(1, 3),
    st.integers(0, 2),
    st.sampled_from(STATES),
)
STEPS = st.one_of(
    st.tuples(st.just("update"), UPDATES),
    st.tuples(st.just("probe-failed"), st.sampled_from(NAMES[:4])),
    st.tuples(st.just("round"), st.integers(0, 4000)),
    st.tuples(st.just("leave"), st.none()),
)


@settings(max_examples=500, deadline=None)
@given(st.lists(STEPS, max_size=50))
def test_derived_attributes_of_a_view_equal_a_full_iteration(
    steps: list[tuple[str, object]],
) -> None:
    view, now_ns = (
        MembershipView(MemberUpdate("own", "10.0.0.9:1", 2, 0, MemberState.ALIVE), NOW_NS),
        NOW_NS,
    )
    for step, argument in steps:
        if step == "update" and isinstance(argument, MemberUpdate):
            view.process_update(now_ns, argument)
        elif step == "probe-failed":
            view.apply_input(now_ns, str(argument), MembershipInput.PROBE_FAILED)
        elif step == "round" and isinstance(argument, int):
            now_ns += argument * NS_PER_MS
            due_inputs = find_due_inputs(view, now_ns, 2000 * NS_PER_MS, 5000 * NS_PER_MS)
            assert (
                find_due_inputs(view.not_alive.values(), now_ns, 2000 * NS_PER_MS, 5000 * NS_PER_MS)
                == due_inputs
            )
            for name, membership_input in due_inputs:
                view.apply_input(now_ns, name, membership_input)
        else:
            view.leave(now_ns)
        assert list(view.not_alive.items()) == [
            (name, member)
            for name, member in view.by_name.items()
            if member.state is not MemberState.ALIVE
        ]
        assert view.addresses == Counter(
            member.update.address for member in view if member.is_present
        )
        for after in ("", "a", "bb", "own", "z"):
            assert list(view.names_after(after)) == sorted(
                name for name in view.by_name if name > after
            )
        assert view.roster_hash() == expected_roster_hash(view)


def expected_roster_hash(view: MembershipView) -> int:
    combined_hash = 0
    for member in view:
        if member.state is not MemberState.LEFT:
            combined_hash ^= hash_update(
                member.update._replace(refutation=0, state=MemberState.ALIVE)
            )
    return combined_hash >> 1


@settings(max_examples=500, deadline=None)
@given(st.lists(st.tuples(STEPS, st.booleans()), max_size=50))
def test_presences_for_the_allocation_equal_a_full_iteration(
    steps: list[tuple[tuple[str, object], bool]],
) -> None:
    """Refreshes the presences at random steps, also after a suspension of the process.

    The oldest member must be the present member that was started first.
    """
    fleet_member, now_ns = (
        FleetMember(
            MemberUpdate("own", "10.0.0.9:1", 2, 0, MemberState.ALIVE),
            (),
            (KEY,),
            QuotaSettings(MILLICALLS_PER_CALL),
            GossipSettings(),
            Random(1),
            NOW_NS,
        ),
        NOW_NS,
    )
    view = fleet_member.view
    for (step, argument), refreshes in steps:
        if step == "update" and isinstance(argument, MemberUpdate):
            view.process_update(now_ns, argument)
        elif step == "probe-failed":
            view.apply_input(now_ns, str(argument), MembershipInput.PROBE_FAILED)
        elif step == "round" and isinstance(argument, int):
            now_ns += argument * NS_PER_MS
            fleet_member.resume_after_pause(argument * NS_PER_MS)
            for name, membership_input in find_due_inputs(
                view, now_ns, 2000 * NS_PER_MS, 5000 * NS_PER_MS
            ):
                view.apply_input(now_ns, name, membership_input)
        else:
            view.leave(now_ns)
        if refreshes:
            before, version = (
                fleet_member.quota.presences,
                fleet_member.quota.seen_version,
            )
            fleet_member.quota.refresh_presences()
            assert fleet_member.quota.seen_version == view.version
            assert (fleet_member.quota.presences is before) == (version == view.version)
        if fleet_member.quota.seen_version == view.version and not view.changed_names:
            assert fleet_member.quota.presences == {
                member.update.name: MemberPresence(
                    member.update.incarnation, member.is_present, member.since_ns
                )
                for member in view
                if member.state is not MemberState.LEFT
            }
            assert fleet_member.quota.oldest == min(
                (member.update for member in view if member.is_present),
                key=lambda update: (update.incarnation, update.name),
                default=view.own,
            )
            assert fleet_member.quota.roster_hash == expected_roster_hash(view)


def member_of_fleet(size: int) -> FleetMember:
    updates = [
        MemberUpdate(
            f"n{index}",
            f"10.1.{index // 200}.{index % 200 + 1}:7946",
            1 + index,
            0,
            MemberState.ALIVE,
        )
        for index in range(size)
    ]
    fleet_member = FleetMember(
        updates[size // 2],
        (updates[0].address, "10.9.9.9:7946"),
        (KEY,),
        QuotaSettings(4 * size * MILLICALLS_PER_CALL),
        GossipSettings(),
        Random(1),
        NOW_NS,
    )
    for update in updates:
        fleet_member.view.process_update(NOW_NS, update)
    fleet_member.view.transitions = []
    return fleet_member


def request_page(fleet_member: FleetMember, now_ns: int, after: str) -> Message:
    fleet_member.receive(
        now_ns,
        encode(
            Message(MessageKind.SYNC, fleet_member.view.by_name["n0"].update, 1, (), after),
            KEY,
        ),
    )
    return decode(fleet_member.outbox.pop()[1], (KEY,))


@pytest.mark.parametrize("seed", range(3))
def test_pages_equal_a_full_iteration(seed: int) -> None:
    """Requests pages from each name on, with members that died or left recently or long ago."""
    random_generator, fleet_member, now_ns = Random(seed), member_of_fleet(60), NOW_NS
    for name in random_generator.sample(sorted(fleet_member.view.by_name), 30):
        if name not in ("n0", fleet_member.own.name):
            now_ns += random_generator.choice([0, 60_000]) * NS_PER_MS
            state = random_generator.choice(STATES[1:])
            fleet_member.view.process_update(
                now_ns, fleet_member.view.by_name[name].update._replace(state=state)
            )
    now_ns += 1_200_000 * NS_PER_MS
    sent_names = set()
    for after in ["", *sorted(fleet_member.view.by_name), "zz"]:
        names = sorted(
            member.update.name
            for member in fleet_member.view
            if member.update.name > after
            and (
                member.is_present
                or now_ns - member.since_ns < fleet_member.gossip_settings.forget_after_ns // 2
            )
        )
        page = request_page(fleet_member, now_ns, after)
        assert [update.name for update in page.updates] == names[:PAGE_UPDATES]
        assert page.name == (names[PAGE_UPDATES - 1] if len(names) > PAGE_UPDATES else "")
        sent_names |= set(names)
    assert 30 < len(sent_names) < 60


def instructions_of_idle_ticks(size: int) -> int:
    """Returns the instructions of one second of ticks without changes, within one probe cycle."""
    fleet_member, now_ns = member_of_fleet(size), NOW_NS
    for _ in range(40):  # enough to build the probe order and the presences
        now_ns += 50 * NS_PER_MS
        fleet_member.tick(now_ns)
        if fleet_member.prober.probe is not None:
            fleet_member.prober.probe = None  # as if the ACK had arrived
        fleet_member.outbox.clear()
    steps = 0
    for _ in range(20):
        now_ns += 50 * NS_PER_MS
        steps += count_bytecode_instructions(lambda: fleet_member.tick(now_ns))
        fleet_member.prober.probe = None
        fleet_member.outbox.clear()
    return steps


def test_the_work_of_an_idle_tick_does_not_grow_with_the_fleet() -> None:
    small, large = instructions_of_idle_ticks(200), instructions_of_idle_ticks(1000)
    assert large <= 1.1 * small, (small, large)


def test_the_work_of_a_page_does_not_grow_with_the_fleet() -> None:
    def page_instructions(size: int) -> int:
        fleet_member = member_of_fleet(size)
        request_page(fleet_member, NOW_NS, "")
        return count_bytecode_instructions(lambda: request_page(fleet_member, NOW_NS, "n1"))

    assert page_instructions(900) <= 1.1 * page_instructions(100)


def test_the_work_of_a_presence_refresh_does_not_grow_with_the_fleet() -> None:
    def refresh_instructions(size: int) -> int:
        fleet_member = member_of_fleet(size)
        fleet_member.quota.refresh_presences()
        fleet_member.view.process_update(
            NOW_NS, fleet_member.view.by_name["n7"].update._replace(state=MemberState.DEAD)
        )
        return count_bytecode_instructions(fleet_member.quota.refresh_presences)

    assert refresh_instructions(1000) <= 1.1 * refresh_instructions(100)
