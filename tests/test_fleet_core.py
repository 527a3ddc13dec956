"""The fleet's decisions without I/O: words about members, the dealing walked whole, chance in
simulated time, subsets.
"""

from itertools import product
from random import Random

import pytest
from explore_fleet import Explorer

from burlloom.fleet import (
    MILLICALLS_PER_CALL,
    MemberUpdate,
    QuotaSettings,
    WeightedRoundRobin,
    assign_subsets,
)
from burlloom.fleet.fair_share import max_min_fair
from burlloom.fleet.membership import RULES, MembershipInput, MembershipView, MemberState
from burlloom.fleet.messages import Message, MessageDecodeError, MessageKind, decode, encode
from burlloom.lab.clock import simulated
from burlloom.lab.fleets import SimulatedNetwork, Swarm, SwarmMember

OWN = MemberUpdate("own", "10.0.0.1:1", 5, 0, MemberState.ALIVE)
WORDS = [
    MemberUpdate("m", "10.0.0.2:1", life, incarnation, state)
    for life, incarnation in product((1, 2), (0, 1))
    for state in (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
]


def test_words_come_to_the_same_in_any_order() -> None:
    """Each word moves a member to the larger of the two, from whatever stands; so three and more do
    too.
    """
    met = set()
    for first, then in product(WORDS, WORDS):
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
            view.process_update(0, WORDS[0]._replace(state=other))
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


def test_what_is_said_of_us_is_refuted() -> None:
    for life, incarnation, state in product(
        (4, 5, 6),
        (0, 1, 7),
        (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT),
    ):
        view = MembershipView(OWN, 0)
        said = MemberUpdate("own", "10.9.9.9:1", life, incarnation, state)
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


def test_dealing_walked_whole() -> None:
    """One dealer, two holders, two reports each, any letter late or lost or doubled: never more in
    hand than there is.
    """
    worlds, worst = Explorer().walk(1 << 20)
    assert worlds > 5000
    assert worst == 2 * MILLICALLS_PER_CALL


@pytest.mark.parametrize("broken", ["", "in-hand", "old-report", "old-grant"])
def test_dealing_in_long_histories(broken: str) -> None:
    """Three holders that are started again; each rule left out is noticed."""
    worst = Explorer(
        6, 3, 3, 40, 4, (0, MILLICALLS_PER_CALL, 6 * MILLICALLS_PER_CALL), broken
    ).wander(1000, 100, 1)
    assert worst == 6 * MILLICALLS_PER_CALL if not broken else worst > 6 * MILLICALLS_PER_CALL


def chaos(seed: int, members: int = 7, calls: int = 60, seconds: float = 90) -> None:
    """Kills, pauses, cuts both ways and one, losses to 20% and delays to 300 ms, then peace."""
    chance = Random(seed)
    with simulated() as loop:
        net = SimulatedNetwork(
            loop,
            seed,
            (0.0003, chance.choice([0.001, 0.05, 0.3])),
            chance.choice([0, 0.05, 0.2]),
            0.1,
        )
        swarm = Swarm(
            loop, net, QuotaSettings(calls * MILLICALLS_PER_CALL, members // 2 + 1), seed=seed
        )

        def look() -> None:
            assert swarm.total_calls() <= 1.05 * calls, (seed, loop.now, swarm.total_calls())

        swarm.sample = look
        bodies = swarm.add(members, 1000.0)
        swarm.run(5)
        while loop.now < seconds:
            happens(swarm, chance.choice(bodies), chance)
            swarm.run(chance.choice([0.3, 1, 3, 10, 25]))
        net.heal()
        for body in bodies:
            body.demand = 1000.0
            if body.fleet is None:
                swarm.start(body)
            elif body.paused_at >= 0:
                swarm.resume(body)
        swarm.run(30)
        assert swarm.has_agreed_view(), seed
        shares = swarm.shares()
        assert sum(shares) >= 0.95 * calls and max(shares) - min(shares) <= 1, (seed, shares)


def happens(swarm: Swarm, body: SwarmMember, chance: Random) -> None:
    paused = body.paused_at >= 0
    match chance.choice(
        [
            "kill",
            "start",
            "start",
            "pause",
            "wake",
            "wake",
            "cut",
            "one-way",
            "heal",
            "heal",
            "leave",
            "want",
        ]
    ):
        case "kill":
            swarm.kill(body)
        case "start" if body.fleet is None:
            swarm.start(body)
        case "pause" if body.fleet is not None and not paused:
            swarm.pause(body)
        case "wake" if body.fleet is not None and paused:
            swarm.resume(body)
        case "cut" | "one-way" as what:
            side = [one.address for one in swarm.members.values() if chance.random() < 0.4]
            rest = [one.address for one in swarm.members.values() if one.address not in side]
            swarm.network.cut(side, rest, what == "cut")
        case "heal":
            swarm.network.heal()
        case "leave" if not paused:
            swarm.leave(body)
        case "want":
            body.demand = chance.choice([0.5, 3.0, 1000.0])


@pytest.mark.parametrize("seed", range(1, 7))
def test_chance_never_exceeds_the_share(seed: int) -> None:
    chaos(seed)


def test_forty_grow_and_shrink_fairly() -> None:
    with simulated() as loop:
        swarm = Swarm(loop, SimulatedNetwork(loop, 1), QuotaSettings(160 * MILLICALLS_PER_CALL, 3))
        bodies = swarm.add(3, 1000.0)
        swarm.sample = lambda: (
            None if swarm.total_calls() <= 1.05 * 160 else pytest.fail(str(swarm.total_calls()))
        )
        swarm.run(4)
        bodies += swarm.add(37, 1000.0)
        swarm.run(8)
        mean: dict[str, float] = {}
        for _ in range(30):
            swarm.run(1)
            for body in bodies:
                mean[body.name] = mean.get(body.name, 0.0) + body.calls_in_progress / 30
        assert swarm.has_agreed_view() and all(abs(share - 4) <= 0.4 for share in mean.values()), (
            sorted(mean.values())
        )
        for body in bodies[3:]:
            swarm.leave(body)
        swarm.run(6)
        assert all(abs(share - 160 / 3) <= 0.1 * 160 / 3 for share in swarm.shares()), (
            swarm.shares()
        )


def test_shares_are_max_min_fair() -> None:
    chance = Random(3)
    for _ in range(300):
        count = chance.randrange(1, 9)
        wants = [chance.choice([0, 500, 3000, 10**6]) for _ in range(count)]
        weights = [chance.choice([500, 1000, 2000]) for _ in range(count)]
        given = max_min_fair(20_000, wants, weights)
        assert abs(sum(given) - 20_000) < 1e-3
        per = [share / weight for share, weight in zip(given, weights, strict=True)]
        for at, want in enumerate(wants):
            # Who has less than it wants has as much, by weight, as anyone.
            assert given[at] >= want or per[at] >= max(per) - 1e-6, (wants, weights, given)


@pytest.mark.parametrize("servers", [3, 30, 300])
@pytest.mark.parametrize("services", [3, 10, 40])
def test_subsets_have_equal_load_and_move_little(servers: int, services: int) -> None:
    names, below = (
        [f"n{at}" for at in range(servers)],
        [f"10.0.0.{at}:80" for at in range(services)],
    )
    before = assign_subsets(names, below, 8)
    pairs = before.pairs()
    assert before.max_load_ratio <= 1.1
    load: dict[str, float] = {}
    for choice in before.subsets.values():
        assert abs(sum(choice.weights.values()) - 1) < 1e-9
        assert len(choice.weights) <= max(8, before.mean_size) + 1
        for service, part in choice.weights.items():
            load[service] = load.get(service, 0.0) + part
    assert max(load.values()) <= 1.1 * servers / services
    joined, left = assign_subsets([*names, "new"], below, 8), assign_subsets(names[1:], below, 8)
    for after in (joined, left):
        assert after.max_load_ratio <= 1.1
        # Of the one that came or went; as much again where subsets are larger for a small fleet.
        assert (
            len(after.pairs() ^ pairs)
            <= (1.05 if before.mean_size <= 8 or before.mean_size == services else 3)
            * len(pairs)
            / servers
            + 1
        )
    assert assign_subsets(names, below[1:], 8).max_load_ratio <= 1.1


def test_calls_go_round_by_their_parts() -> None:
    turns, taken = WeightedRoundRobin(), dict.fromkeys("abc", 0)
    turns.set_weights({"a": 0.5, "b": 0.3, "c": 0.2}, 0.7)
    for n in range(1, 1001):
        taken[turns.next_service(0)] += 1
        assert all(abs(taken[name] - n * part) <= 2 for name, part in turns.weights.items())
    turns.record_failure("a", 0)
    assert {turns.next_service(WeightedRoundRobin.MIN_EJECTION_NS - 1) for _ in range(20)} == {
        "b",
        "c",
    }
    assert "a" in {turns.next_service(WeightedRoundRobin.MIN_EJECTION_NS) for _ in range(20)}
    for service in "abc":
        turns.record_failure(service, 10 * WeightedRoundRobin.MIN_EJECTION_NS)
    assert turns.next_service(10 * WeightedRoundRobin.MIN_EJECTION_NS + 1) in "abc"


def test_letters_are_what_they_say_or_refused() -> None:
    key, chance = b"k" * 32, Random(1)
    words = tuple(WORDS[:10])
    letter = Message(MessageKind.PAGE, OWN, 7, (1, 2, 3, 4), "name", words)
    data = encode(letter, key)
    assert len(data) < 600
    assert decode(data, (b"x" * 32, key)) == letter
    longest = Message(
        MessageKind.PAGE,
        OWN._replace(name="n" * 64),
        1 << 60,
        (1 << 60,) * 5,
        "n" * 64,
        (MemberUpdate("n" * 64, "255.255.255.255:65535", 1 << 60, 1 << 60, MemberState.LEFT),) * 10,
    )
    assert decode(encode(longest, key), (key,)) == longest
    for n in range(20_000):
        spoilt = bytearray(data)
        for _ in range(chance.randrange(1, 4)):
            spoilt[chance.randrange(len(spoilt))] = chance.randrange(256)
        cut = bytes(spoilt[: chance.randrange(len(spoilt) + 1)]) if n % 2 else bytes(spoilt)
        try:
            assert cut == data
            assert decode(cut, (key,)) == letter
        except MessageDecodeError:
            pass
        except AssertionError:
            with pytest.raises(MessageDecodeError):
                decode(cut, (key,))
