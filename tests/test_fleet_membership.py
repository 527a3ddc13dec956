"""Tests of the membership view: order of updates, transitions and refutation."""

from itertools import product

from burlloom.fleet import MemberUpdate
from burlloom.fleet.membership import RULES, MembershipInput, MembershipView, MemberState

OWN = MemberUpdate("own", "10.0.0.1:1", 5, 0, MemberState.ALIVE)
UPDATES = [
    MemberUpdate("m", "10.0.0.2:1", incarnation, refutation, state)
    for incarnation, refutation in product((1, 2), (0, 1))
    for state in (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
]


def test_the_order_of_updates_does_not_matter() -> None:
    """Checks for each pair of updates that the larger one wins.

    This implies the same for longer sequences. The test also runs every transition of the table.
    """
    tested_inputs = set()
    for first, second in product(UPDATES, UPDATES):
        view = MembershipView(OWN, 0)
        view.process_update(0, first)
        tested_inputs.add((MemberState.GONE, MembershipInput(int(first.state))))
        before = view.by_name["m"].update
        assert view.process_update(0, second) == (second.precedence > before.precedence)
        tested_inputs.add((before.state, MembershipInput(int(second.state))))
        assert view.by_name["m"].update.precedence == max(first.precedence, second.precedence)
        assert view.digest == view_with_same_updates(view).digest
    for input_event, state, after in (
        (MembershipInput.PROBE_FAILED, MemberState.ALIVE, MemberState.SUSPECT),
        (MembershipInput.SUSPICION_EXPIRED, MemberState.SUSPECT, MemberState.DEAD),
        (MembershipInput.FORGET_DUE, (MemberState.DEAD, MemberState.LEFT), None),
    ):
        for other in (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
            view = MembershipView(OWN, 0)
            view.process_update(0, UPDATES[0]._replace(state=other))
            was_taken = view.apply_input(0, "m", input_event)
            tested_inputs.add((other, input_event))
            assert was_taken == (other is state or isinstance(state, tuple) and other in state)
            member = view.by_name.get("m")
            assert (member.state if member else None) == (after if was_taken else other)
    assert tested_inputs >= set(RULES), set(RULES) - tested_inputs


def view_with_same_updates(view: MembershipView) -> MembershipView:
    """Returns another view that received only the newest update of each member of `view`."""
    other = MembershipView(view.own, 0)
    for member in view:
        if member.update.name != "own":
            other.process_update(0, member.update)
    return other


def test_claims_about_this_member_are_refuted() -> None:
    for incarnation, refutation, state in product(
        (4, 5, 6),
        (0, 1, 7),
        (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT),
    ):
        view = MembershipView(OWN, 0)
        claim = MemberUpdate("own", "10.9.9.9:1", incarnation, refutation, state)
        view.process_update(0, claim)
        assert (
            view.own.precedence > claim.precedence
            or view.own.precedence == claim.precedence == OWN.precedence
        )
        assert view.own.state is MemberState.ALIVE
        assert view.own.address == OWN.address
        if claim.precedence != OWN.precedence:
            other = MembershipView(OWN._replace(name="other"), 0)
            other.process_update(0, claim)
            other.process_update(0, view.own)
            assert (other.by_name["own"].update == view.own) == (
                view.own.precedence > claim.precedence
            )
    view = MembershipView(OWN, 0)
    view.leave(0)
    assert not view.process_update(0, OWN._replace(refutation=9))
    assert view.own.state is MemberState.LEFT
