"""What a member's view keeps beside its members equals a plain walk in any history, and neither a
turn nor a page of the view costs more the larger the fleet.
"""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_fleet_totals import steps_of

from burlloom.fleet import Fleet, GossipSettings, MemberState, MemberUpdate, QuotaSettings
from burlloom.fleet.accounts import MemberPresence
from burlloom.fleet.membership import MembershipInput, MembershipView, find_due_inputs, hash_update
from burlloom.fleet.messages import Message, MessageKind, decode, encode
from burlloom.fleet.settings import MILLICALLS_PER_CALL
from burlloom.fleet.settings import NS_PER_MS as MS
from burlloom.fleet.synchronization import PAGE_UPDATES

KEY, NOW = b"the test's own key", 10**13
NAMES = ["a", "b", "c", "d", "own"]
STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
WORDS = st.builds(
    MemberUpdate,
    st.sampled_from(NAMES),
    st.sampled_from(["10.0.0.1:1", "10.0.0.2:1"]),
    st.integers(1, 3),
    st.integers(0, 2),
    st.sampled_from(STATES),
)
STEPS = st.one_of(
    st.tuples(st.just("said"), WORDS),
    st.tuples(st.just("silent"), st.sampled_from(NAMES[:4])),
    st.tuples(st.just("round"), st.integers(0, 4000)),
    st.tuples(st.just("leave"), st.none()),
)


@settings(max_examples=500, deadline=None)
@given(st.lists(STEPS, max_size=50))
def test_what_a_view_keeps_equals_a_plain_walk(steps: list[tuple[str, object]]) -> None:
    view, now = MembershipView(MemberUpdate("own", "10.0.0.9:1", 2, 0, MemberState.ALIVE), NOW), NOW
    for what, told in steps:
        if what == "said" and isinstance(told, MemberUpdate):
            view.process_update(now, told)
        elif what == "silent":
            view.apply_input(now, str(told), MembershipInput.PROBE_FAILED)
        elif what == "round" and isinstance(told, int):
            now += told * MS
            found = find_due_inputs(view, now, 2000 * MS, 5000 * MS)
            assert find_due_inputs(view.not_alive.values(), now, 2000 * MS, 5000 * MS) == found
            for name, input in found:
                view.apply_input(now, name, input)
        else:
            view.leave(now)
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
        assert view.roster_hash() == roster(view)


def roster(view: MembershipView) -> int:
    total = 0
    for member in view:
        if member.state is not MemberState.LEFT:
            total ^= hash_update(member.update._replace(refutation=0, state=MemberState.ALIVE))
    return total >> 1


@settings(max_examples=500, deadline=None)
@given(st.lists(st.tuples(STEPS, st.booleans()), max_size=50))
def test_what_the_dealing_is_told_equals_a_plain_walk(
    steps: list[tuple[tuple[str, object], bool]],
) -> None:
    """It looks now and then, also after the process stood still; who deals is the one that has
    lived longest.
    """
    fleet, now = (
        Fleet(
            MemberUpdate("own", "10.0.0.9:1", 2, 0, MemberState.ALIVE),
            (),
            (KEY,),
            QuotaSettings(MILLICALLS_PER_CALL),
            GossipSettings(),
            Random(1),
            NOW,
        ),
        NOW,
    )
    view = fleet.view
    for (what, told), looks in steps:
        if what == "said" and isinstance(told, MemberUpdate):
            view.process_update(now, told)
        elif what == "silent":
            view.apply_input(now, str(told), MembershipInput.PROBE_FAILED)
        elif what == "round" and isinstance(told, int):
            now += told * MS
            fleet.resume_after_pause(told * MS)
            for name, input in find_due_inputs(view, now, 2000 * MS, 5000 * MS):
                view.apply_input(now, name, input)
        else:
            view.leave(now)
        if looks:
            before, version = fleet.quota.presences, fleet.quota.seen_version
            fleet.quota.refresh_presences()
            assert fleet.quota.seen_version == view.version
            assert (fleet.quota.presences is before) == (version == view.version)
        if fleet.quota.seen_version == view.version and not view.changed_names:
            assert fleet.quota.presences == {
                member.update.name: MemberPresence(
                    member.update.incarnation, member.is_present, member.since_ns
                )
                for member in view
                if member.state is not MemberState.LEFT
            }
            assert fleet.quota.oldest == min(
                (member.update for member in view if member.is_present),
                key=lambda word: (word.incarnation, word.name),
                default=view.own,
            )
            assert fleet.quota.roster_hash == roster(view)


def fleet_of(size: int) -> Fleet:
    all_of = [
        MemberUpdate(
            f"n{at}", f"10.1.{at // 200}.{at % 200 + 1}:7946", 1 + at, 0, MemberState.ALIVE
        )
        for at in range(size)
    ]
    fleet = Fleet(
        all_of[size // 2],
        (all_of[0].address, "10.9.9.9:7946"),
        (KEY,),
        QuotaSettings(4 * size * MILLICALLS_PER_CALL),
        GossipSettings(),
        Random(1),
        NOW,
    )
    for word in all_of:
        fleet.view.process_update(NOW, word)
    fleet.view.transitions = []
    return fleet


def asked(fleet: Fleet, now: int, after: str) -> Message:
    fleet.receive(
        now, encode(Message(MessageKind.SYNC, fleet.view.by_name["n0"].update, 1, (), after), KEY)
    )
    return decode(fleet.outbox.pop()[1], (KEY,))


@pytest.mark.parametrize("seed", range(3))
def test_pages_are_those_of_a_plain_walk(seed: int) -> None:
    """Some are over, for long or not; any name may be asked after."""
    chance, fleet, now = Random(seed), fleet_of(60), NOW
    for name in chance.sample(sorted(fleet.view.by_name), 30):
        if name not in ("n0", fleet.own.name):
            now += chance.choice([0, 60_000]) * MS
            state = chance.choice(STATES[1:])
            fleet.view.process_update(now, fleet.view.by_name[name].update._replace(state=state))
    now += 1_200_000 * MS
    seen = set()
    for after in ["", *sorted(fleet.view.by_name), "zz"]:
        names = sorted(
            member.update.name
            for member in fleet.view
            if member.update.name > after
            and (
                member.is_present
                or now - member.since_ns < fleet.gossip_settings.forget_after_ns // 2
            )
        )
        page = asked(fleet, now, after)
        assert [word.name for word in page.updates] == names[:PAGE_UPDATES]
        assert page.name == (names[PAGE_UPDATES - 1] if len(names) > PAGE_UPDATES else "")
        seen |= set(names)
    assert 30 < len(seen) < 60


def turns(size: int) -> int:
    """Instructions of a second's ticks at rest, between two new orders of probes."""
    fleet, now = fleet_of(size), NOW
    for _ in range(40):  # so many that the orders of probes and the view of the dealing are made
        now += 50 * MS
        fleet.tick(now)
        if fleet.prober.probe is not None:
            fleet.prober.probe = None  # as if it had answered
        fleet.outbox.clear()
    steps = 0
    for _ in range(20):
        now += 50 * MS
        steps += steps_of(lambda: fleet.tick(now))
        fleet.prober.probe = None
        fleet.outbox.clear()
    return steps


def test_a_turn_at_rest_does_not_grow_with_the_fleet() -> None:
    small, large = turns(200), turns(1000)
    assert large <= 1.1 * small, (small, large)


def test_a_page_does_not_grow_with_the_fleet() -> None:
    def page(size: int) -> int:
        fleet = fleet_of(size)
        asked(fleet, NOW, "")
        return steps_of(lambda: asked(fleet, NOW, "n1"))

    assert page(900) <= 1.1 * page(100)


def test_a_change_of_the_view_is_one_change_of_what_the_dealing_is_told() -> None:
    def change(size: int) -> int:
        fleet = fleet_of(size)
        fleet.quota.refresh_presences()
        fleet.view.process_update(
            NOW, fleet.view.by_name["n7"].update._replace(state=MemberState.DEAD)
        )
        return steps_of(fleet.quota.refresh_presences)

    assert change(1000) <= 1.1 * change(100)
