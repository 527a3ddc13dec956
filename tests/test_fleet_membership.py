"""The membership view: updates in any order, and refutation."""

from itertools import product

from burlloom.fleet import MemberUpdate
from burlloom.fleet.membership import RULES, MembershipInput, MembershipView, MemberState

OWN = MemberUpdate("own", "10.0.0.1:1", 5, 0, MemberState.ALIVE)
UPDATES = [
    MemberUpdate("m", "10.0.0.2:1", incarnation, refutation, state)
    for incarnation, refutation in product((1, 2), (0, 1))
    for state in (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
]


def test_updates_come_to_the_same_in_any_order() -> None:
    """Each update moves a member to the larger of the two, from whatever stands; so three and more do
    too.
    """
    met = set()
    for first, then in product(UPDATES, UPDATES):
        view = MembershipView(OWN, 0)
        view.process_update(0, first)
        met.add((MemberState.GONE, MembershipInput(int(first.state))))
        before = view.by_name["m"].update
        assert view.process_update(0, then) == (then.precedence > before.precedence)
        met.add((before.state, MembershipInput(int(then.state))))
        assert view.by_name["m"].update.precedence == max(first.precedence, then.precedence)
        assert view.digest == twin(view).digest
    for what, state, after in (
        (MembershipInput.PROBE_FAILED, MemberState.ALIVE, MemberState.SUSPECT),
        (MembershipInput.SUSPICION_EXPIRED, MemberState.SUSPECT, MemberState.DEAD),
        (MembershipInput.FORGET_DUE, (MemberState.DEAD, MemberState.LEFT), None),
    ):
        for other in (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
            view = MembershipView(OWN, 0)
            view.process_update(0, UPDATES[0]._replace(state=other))
            moved = view.apply_input(0, "m", what)
            met.add((other, what))
            assert moved == (other is state or isinstance(state, tuple) and other in state)
            member = view.by_name.get("m")
            assert (member.state if member else None) == (after if moved else other)
    assert met >= set(RULES), set(RULES) - met


def twin(view: MembershipView) -> MembershipView:
    """The same view, learned otherwise."""
    other = MembershipView(view.own, 0)
    for member in view:
        if member.update.name != "own":
            other.process_update(0, member.update)
    return other


def test_what_is_said_of_this_member_is_refuted() -> None:
    for incarnation, refutation, state in product(
        (4, 5, 6),
        (0, 1, 7),
        (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT),
    ):
        view = MembershipView(OWN, 0)
        said = MemberUpdate("own", "10.9.9.9:1", incarnation, refutation, state)
        view.process_update(0, said)
        assert (
            view.own.precedence > said.precedence
            or view.own.precedence == said.precedence == OWN.precedence
        )
        assert view.own.state is MemberState.ALIVE
        assert view.own.address == OWN.address
        if said.precedence != OWN.precedence:
            other = MembershipView(OWN._replace(name="other"), 0)
            other.process_update(0, said)
            other.process_update(0, view.own)
            assert (other.by_name["own"].update == view.own) == (
                view.own.precedence > said.precedence
            )
    view = MembershipView(OWN, 0)
    view.leave(0)
    assert not view.process_update(0, OWN._replace(refutation=9))
    assert view.own.state is MemberState.LEFT
