"""Configuration distribution without I/O: the chain of changes, messages, replica, source and
follower, and networks of them in simulated time.
"""

from itertools import permutations
from random import Random
from typing import Any

import msgpack
import pytest
from explore_distribution import Explorer
from hypothesis import given, settings
from hypothesis import strategies as st
from simulated_distribution import (
    SEALING_KEY,
    SIGNING_KEY,
    Node,
    SimulatedNetwork,
    StoreModel,
    add_fleet,
    numbered_value,
    put_random_change,
)

from burlloom.distribution import (
    Change,
    ConfigItem,
    ConfigTable,
    Follower,
    Head,
    InvalidChangeError,
    Replica,
    ReplicationSettings,
    Source,
    Upstream,
    codec,
    initial_head,
    is_for_source,
    messages,
    propose,
)
from burlloom.distribution.change_log import ChangeLog
from burlloom.distribution.changes import (
    MAX_BODY_BYTES,
    MAX_KEY_BYTES,
    MAX_NUMBER,
    MAX_VALUE_BYTES,
    change_faults,
    decode_items,
    encode_items,
    head_after,
    next_change,
)
from burlloom.distribution.codec import MessageDecodeError, seal, unseal
from burlloom.distribution.follower import RULES, summary
from burlloom.distribution.follower_state import Input, State
from burlloom.distribution.messages import Sender
from burlloom.distribution.replay_window import ReplayWindow
from burlloom.distribution.source import summary as summary_of_source
from burlloom.distribution.table import Page
from burlloom.distribution.upstreams import by_preference
from burlloom.time_units import NS_PER_MS, NS_PER_SECOND

# Time in which all nodes must converge after the failures, with a loss of up to 20%.
CONVERGENCE_LIMIT_S = 30.0
NOW_NS = 10**12
ADDRESS = ("10.0.0.1", 7000)
INCARNATION = 1_700_000_000_000


def make_chain(count: int, scope: str = "", epoch: int = 1) -> list[Change]:
    head, changes = initial_head(epoch, 0), []
    for number in range(1, count + 1):
        changes.append(
            propose(
                head,
                scope,
                [ConfigItem(scope, "tenant", f"t{number % 5}", numbered_value(number))],
                number,
                SIGNING_KEY,
            )
        )
        head = head_after(changes[-1])
    return changes


def empty_replica(scopes: tuple[str, ...] | None = ("", "a"), epoch: int = 1) -> Replica:
    replica = Replica(ConfigTable(scopes), [SIGNING_KEY])
    replica.load(initial_head(epoch, 0))
    return replica


# Chain of changes.


def test_changes_are_applied_only_in_chain_order() -> None:
    changes = make_chain(4)
    for order in permutations(changes):
        replica = empty_replica()
        applied = [change.revision for change in order if replica.apply_change(change) is None]
        assert applied == list(range(1, len(applied) + 1))
        for change in changes[len(applied) :]:
            assert replica.apply_change(change) is None
        assert replica.head == head_after(changes[-1])


@pytest.mark.parametrize(
    ("altered_fields", "reason"),
    [
        ({"epoch": 2}, "epoch differs from that of the head"),
        ({"revision": 3}, "gap between the head and the revision"),
        ({"revision": 1}, "revision not after the head"),
        ({"time_ms": 0}, "time before that of the head"),
        ({"time_ms": 3}, "tag does not continue the chain"),
        ({"scope": "a"}, "tag does not continue the chain"),
        ({"tag": bytes(16)}, "tag does not continue the chain"),
        ({"body_digest": bytes(16)}, "body does not match its digest"),
        ({"body": b"\x91\x93"}, "body does not match its digest"),
        ({"body": None}, "body: missing although the scope is held"),
        ({"body": None, "body_digest": bytes(16)}, "tag does not continue the chain"),
    ],
)
def test_an_altered_change_is_refused_without_effect(
    altered_fields: dict[str, Any], reason: str
) -> None:
    replica, (first_change, second_change) = empty_replica(), make_chain(2)
    assert replica.apply_change(first_change) is None
    before = replica.head, replica.table.digest(), len(replica.log)
    assert replica.apply_change(second_change._replace(**altered_fields)) == reason
    assert (replica.head, replica.table.digest(), len(replica.log)) == before
    assert replica.apply_change(second_change) is None


def test_a_change_with_any_flipped_bit_is_refused() -> None:
    replica, (change,) = empty_replica(), make_chain(1)
    assert change.body is not None
    for field in ("body", "tag", "body_digest"):
        content = getattr(change, field)
        for bit in range(8 * len(content)):
            altered = bytearray(content)
            altered[bit // 8] ^= 1 << bit % 8
            assert replica.apply_change(change._replace(**{field: bytes(altered)}))
    assert replica.head is not None
    assert replica.head.revision == 0
    assert replica.apply_change(change) is None


def test_a_change_may_be_signed_with_any_of_our_keys_and_no_other() -> None:
    foreign = propose(
        initial_head(1, 0),
        "",
        [ConfigItem("", "tenant", "t", numbered_value(1))],
        1,
        b"another key" * 2,
    )
    assert empty_replica().apply_change(foreign) == "tag does not continue the chain"
    replica = Replica(ConfigTable(None), [SIGNING_KEY, b"another key" * 2])
    replica.load(initial_head(1, 0))
    assert replica.apply_change(foreign) is None
    assert (
        replica.apply_change(
            propose(
                head_after(foreign),
                "",
                [ConfigItem("", "tenant", "t", numbered_value(2))],
                1,
                SIGNING_KEY,
            )
        )
        is None
    )


def test_the_body_of_a_scope_that_is_not_held_may_be_left_out() -> None:
    replica, changes, head = empty_replica(("", "a")), [], initial_head(1, 0)
    for number, scope in enumerate(["", "b", "a", "b", ""]):
        changes.append(
            propose(
                head,
                scope,
                [ConfigItem(scope, "tenant", "t", numbered_value(number))],
                number,
                SIGNING_KEY,
            )
        )
        head = head_after(changes[-1])
    for change in changes:
        assert (
            replica.apply_change(change.without_body() if change.scope == "b" else change) is None
        )
    assert replica.table.get("tenant", "t") == numbered_value(2)
    assert replica.head == head
    with_bodies = empty_replica(("", "a"))
    assert [with_bodies.apply_change(change) for change in changes] == [None] * 5
    assert with_bodies.table.digest() == replica.table.digest()


# Invalid changes.


def faults_of(items: list[Any], scope: str = "") -> list[str]:
    with pytest.raises(InvalidChangeError) as caught:
        propose(initial_head(1, 0), scope, items, 1, SIGNING_KEY)
    return caught.value.faults


def test_an_invalid_proposal_is_refused_with_all_faults_and_their_places() -> None:
    valid_item = ConfigItem("", "tenant", "t", numbered_value(1))
    assert faults_of(
        [
            valid_item,
            ConfigItem("a", "tennant", "", b"\xc1"),
            ConfigItem("", "route", "x" * 129, b"x" * 513),
            valid_item,
            ConfigItem("", "setting", "s", msgpack.packb([1])),
        ]
    ) == [
        "entries[1].scope: 'a', but the scope of the change is ''",
        "entries[1].kind: 'tennant', not one of tenant, route, setting",
        "entries[1].key: not text of 1 to 128 bytes",
        "entries[1].value: not valid MessagePack: ",
        "entries[2].key: not text of 1 to 128 bytes",
        "entries[2].value: 513 bytes, at most 512 allowed",
        "entries[3].key: set by entries[0] already",
        "entries[4].value: not a map",
    ]
    assert faults_of([]) == ["entries: 0, 1 to 64 allowed"]
    assert faults_of([ConfigItem("", "tenant", f"{number}", None) for number in range(65)]) == [
        "entries: 65, 1 to 64 allowed"
    ]
    assert faults_of([ConfigItem("r" * 65, "tenant", "t", None)], "r" * 65) == [
        "scope: not text of 64 bytes at most"
    ]
    assert faults_of([ConfigItem("", "tenant", "\ud800", None)]) == [
        "entries[0].key: not text of 1 to 128 bytes"
    ]
    assert faults_of(
        [
            ConfigItem("", "tenant", f"{number}", msgpack.packb({"x": "y" * 400}))
            for number in range(3)
        ]
    ) == ["body: 1258 bytes, at most 1000 allowed"]

    def check(entry: ConfigItem) -> list[str]:
        return ["value.n: not under 2"] if entry.value == numbered_value(2) else []

    with pytest.raises(InvalidChangeError) as caught:
        propose(
            initial_head(1, 0),
            "",
            [valid_item, ConfigItem("", "tenant", "u", numbered_value(2))],
            1,
            SIGNING_KEY,
            check,
        )
    assert caught.value.faults == ["entries[1].value.n: not under 2"]


@pytest.mark.parametrize(
    ("body", "fault"),
    [
        (b"", "body: not valid MessagePack"),
        (b"\xc1", "body: not valid MessagePack"),
        (msgpack.packb(1), "body: not a list"),
        (msgpack.packb([]), "entries: 0"),
        (msgpack.packb([[1, 2]]), "entries[0]: not of kind, key and value"),
        (
            msgpack.packb([["tenant", "t", numbered_value(1)], ["x", "t", numbered_value(1)]]),
            "entries[1].kind: 'x'",
        ),
        (msgpack.packb([["tenant", 7, numbered_value(1)]]), "entries[0].key"),
        (msgpack.packb([["tenant", "t", "x"]]), "entries[0].value"),
        (b"\xdc\xff\xff", "body: not valid MessagePack"),
        (b"\x91" * 900, "body: not valid MessagePack"),
        (
            msgpack.packb([["tenant", "t", numbered_value(1)]]) + b"\x00",
            "body: not valid MessagePack",
        ),
        (b"x" * 1001, "body: 1001 bytes"),
    ],
)
def test_an_invalid_body_with_a_valid_tag_is_refused_without_effect(
    body: bytes, fault: str
) -> None:
    replica = empty_replica()
    change = next_change(initial_head(1, 0), "", body, 1, SIGNING_KEY)
    before = replica.table.digest()
    assert (replica.apply_change(change) or "").startswith(fault)
    assert replica.table.digest() == before
    assert replica.head == initial_head(1, 0)
    assert len(replica.log) == 0


def test_a_change_that_the_table_rejects_leaves_the_replica_unchanged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def reject(entries: Any) -> None:
        raise ValueError("full")

    replica, (change,) = empty_replica(), make_chain(1)
    monkeypatch.setattr(replica.table, "put", reject)
    assert replica.apply_change(change) == "rejected by the table: full"
    assert replica.head == initial_head(1, 0)
    assert len(replica.log) == 0


def test_the_time_of_a_change_is_not_before_that_of_the_head() -> None:
    first = propose(initial_head(1, 50), "", [ConfigItem("", "tenant", "t", None)], 7, SIGNING_KEY)
    assert first.time_ms == 50


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["tenant", "route", "setting"]),
            st.text(min_size=1, max_size=40),
            st.none() | st.dictionaries(st.text(max_size=5), st.integers(0, 9), max_size=3),
        ),
        min_size=1,
        max_size=9,
        unique_by=lambda item: item[:2],
    )
)
@settings(max_examples=200, deadline=None)
def test_a_proposed_body_decodes_to_the_same_items(values: list[Any]) -> None:
    entries = [
        ConfigItem("a", kind, key, None if value is None else msgpack.packb(value))
        for kind, key, value in values
    ]
    if change_faults("a", entries) or len(encode_items(entries)) > MAX_BODY_BYTES:
        return
    change = propose(initial_head(1, 0), "a", entries, 1, SIGNING_KEY)
    assert change.body is not None
    assert decode_items("a", change.body) == entries


# Log of changes.


def test_the_log_gives_earlier_digests_and_drops_the_oldest_changes() -> None:
    replica, random, digests_by_revision = (
        Replica(ConfigTable(None), [SIGNING_KEY], 10),
        Random(1),
        {},
    )
    replica.load(initial_head(1, 0))
    for number in range(1, 41):
        scope = random.choice(["", "a", "b"])
        assert replica.head is not None
        assert (
            replica.apply_change(
                propose(
                    replica.head,
                    scope,
                    [
                        ConfigItem(
                            scope,
                            "route",
                            f"r{random.randrange(4)}",
                            numbered_value(number) if random.random() < 0.8 else None,
                        )
                    ],
                    number,
                    SIGNING_KEY,
                )
            )
            is None
        )
        digests_by_revision[number] = [
            replica.digest_of(scopes) for scopes in (("", "a"), ("b",), None)
        ]
    for number in range(1, 41):
        for index, scopes in enumerate([("", "a"), ("b",), None]):
            assert replica.digest_at(number, scopes) == (
                digests_by_revision[number][index] if number >= 30 else None
            )
    assert replica.digest_at(41, None) is None
    assert [change.revision for change in replica.log.changes_since(30, 4) or ()] == [
        31,
        32,
        33,
        34,
    ]
    assert replica.log.changes_since(29, 4) is None
    assert replica.log.changes_since(40, 4) == [] == replica.log.changes_since(99, 4)
    assert len(replica.log) == 10
    assert ChangeLog(5).changes_since(5, 1) == []


# Messages.

LONGEST_NAME = "n" * 64
LARGEST_ITEM = ConfigItem("r" * 64, "setting", "k" * MAX_KEY_BYTES, b"x" * MAX_VALUE_BYTES)
LARGEST_HEAD = Head(MAX_NUMBER, MAX_NUMBER, b"t" * 16, MAX_NUMBER)
BODIES: list[messages.Body] = [
    messages.Report(("", "a"), 1, 7, (1 << 64) - 1),
    messages.Report(None, 0, 0, 0),
    messages.Report(tuple(f"{at:064}" for at in range(16)), 1, 1, 1),
    messages.HeadStatus(LARGEST_HEAD, None, True, 0),
    messages.HeadStatus(LARGEST_HEAD, 12, False, MAX_NUMBER),
    messages.PushedChange(make_chain(1)[0]),
    messages.PushedChange(make_chain(1)[0].without_body()),
    messages.PushedChange(
        Change(
            MAX_NUMBER,
            MAX_NUMBER,
            MAX_NUMBER,
            "r" * 64,
            b"x" * MAX_BODY_BYTES,
            b"t" * 16,
            b"d" * 16,
        )
    ),
    messages.PullRequest(1, 2, 32),
    messages.DigestsRequest(),
    messages.DigestsResponse(LARGEST_HEAD, 1, tuple((1 << 64) - 1 - at for at in range(128))),
    messages.PagesRequest(255, LARGEST_ITEM[:3], 4),
    messages.PagesRequest(0, None, 1),
    messages.PageResponse(
        MAX_NUMBER,
        MAX_NUMBER,
        255,
        3,
        LARGEST_ITEM._replace(kind="route")[:3],
        Page((LARGEST_ITEM,), LARGEST_ITEM[:3], False),
    ),
    messages.PageResponse(1, 1, 0, 0, None, Page((), None, True)),
    messages.Redirect("full"),
    messages.Leave(),
]


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_messages_decode_as_they_were_sealed_and_altered_ones_are_refused(
    body: messages.Body,
) -> None:
    sender = Sender(LONGEST_NAME, MAX_NUMBER, MAX_NUMBER)
    data = seal(sender, body, SEALING_KEY)
    assert len(data) <= codec.MAX_MESSAGE_BYTES
    assert unseal(data, (b"another key" * 2, SEALING_KEY)) == messages.Message(sender, body)
    assert is_for_source(data) == (
        type(body)
        in (
            messages.Report,
            messages.PullRequest,
            messages.DigestsRequest,
            messages.PagesRequest,
            messages.Leave,
        )
    )
    with pytest.raises(MessageDecodeError, match="not sealed with our key"):
        unseal(data, (b"another key" * 2,))
    for length in range(len(data)):
        with pytest.raises(MessageDecodeError):
            unseal(data[:length], (SEALING_KEY,))
    for bit in range(0, 8 * len(data), 7):
        altered = bytearray(data)
        altered[bit // 8] ^= 1 << bit % 8
        with pytest.raises(MessageDecodeError):
            unseal(bytes(altered), (SEALING_KEY,))


def test_a_full_page_fits_into_a_datagram() -> None:
    table = ConfigTable(None)
    table.put(
        [
            ConfigItem(
                "r" * 64,
                "setting",
                f"{at:0128}",
                bytes([0x81, 0xA1, 0x78, 0xD9, at % 200]) + b"y" * (at % 200),
            )
            for at in range(200)
        ]
    )
    for bucket in range(256):
        after: Any = ("r" * 64, "route", "k" * 128)
        while True:
            page = table.page(bucket, after, None, messages.MAX_PAGE_BYTES)
            data = seal(
                Sender(LONGEST_NAME, MAX_NUMBER, MAX_NUMBER),
                messages.PageResponse(MAX_NUMBER, MAX_NUMBER, bucket, 3, after, page),
                SEALING_KEY,
            )
            assert len(data) <= codec.MAX_MESSAGE_BYTES
            if page.is_last:
                break
            after = page.last_position


def seal_fields(fields: Any) -> bytes:
    text = msgpack.packb(fields)
    return codec.compute_seal(SEALING_KEY, text) + text


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ([0, 9, "n", 1, 1], "older protocol version"),
        ([2, 9, "n", 1, 1], "unknown protocol version"),
        ([1, 10, "n", 1, 1], "unknown message kind"),
        ([1, True, "n", 1, 1], "unknown message kind"),
        ([1, 9, "", 1, 1], "invalid sender"),
        ([1, 9, "n", -1, 1], "invalid sender"),
        ([1, 9, "n", 1, 1 << 63], "invalid sender"),
        ([1, 9, "n", 1, 1, 1], "BYE: wrong number of fields"),
        ([1, 9, "n", 1], "payload is not a message"),
        (7, "payload is not a message"),
        ([1, 0, "n", 1, 1, ["x"] * 17, 1, 1, 1], "invalid scopes"),
        ([1, 0, "n", 1, 1, None, 1, 1, -1], "invalid report"),
        ([1, 1, "n", 1, 1, 0, 1, b"t" * 16, 1, 1, False, 0], "invalid head"),
        ([1, 1, "n", 1, 1, 1, 1, b"t" * 15, 1, 1, False, 0], "invalid head"),
        ([1, 1, "n", 1, 1, 1, 1, b"t" * 16, 1, -1, False, 0], "invalid HEAD"),
        ([1, 2, "n", 1, 1, 1, 0, 1, "", b"", b"t" * 16, b"t" * 16], "invalid change"),
        ([1, 2, "n", 1, 1, 1, 1, 1, "", b"x" * 1001, b"t" * 16, b"t" * 16], "invalid change"),
        ([1, 3, "n", 1, 1, 1, 1, 33], "invalid PULL"),
        ([1, 3, "n", 1, 1, 1, 1, 0], "invalid PULL"),
        ([1, 5, "n", 1, 1, 1, 1, b"t" * 16, 1, 2, b"x" * 1024], "invalid DIGESTS"),
        ([1, 5, "n", 1, 1, 1, 1, b"t" * 16, 1, 1, b"x" * 1023], "invalid DIGESTS"),
        ([1, 6, "n", 1, 1, 256, None, 1], "invalid PAGES_ASK"),
        ([1, 6, "n", 1, 1, 1, ["", "x", "y"], 1], "invalid place"),
        ([1, 6, "n", 1, 1, 1, None, 5], "invalid PAGES_ASK"),
        ([1, 7, "n", 1, 1, 1, 1, 1, 0, None, [], False], "invalid PAGE"),
        ([1, 7, "n", 1, 1, 1, 1, 1, 0, None, [["", "tenant", "t", None]], True], "invalid entry"),
        (
            [
                1,
                7,
                "n",
                1,
                1,
                1,
                1,
                1,
                0,
                None,
                [["", "tenant", "t", b""], ["", "tenant", "t", b""]],
                True,
            ],
            "invalid order",
        ),
        (
            [1, 7, "n", 1, 1, 1, 1, 1, 0, ["", "tenant", "t"], [["", "tenant", "s", b""]], True],
            "invalid order",
        ),
        ([1, 8, "n", 1, 1, 7], "invalid REDIRECT"),
        ([1, 9, "n", {}, 1], "payload is not valid MessagePack|invalid sender"),
        ([1, 9, ["n"] * 300, 1, 1], "payload is not valid MessagePack"),
    ],
)
def test_invalid_fields_are_refused_with_a_reason(fields: Any, reason: str) -> None:
    with pytest.raises(MessageDecodeError, match=reason):
        unseal(seal_fields(fields), (SEALING_KEY,))


def test_decoding_raises_no_other_error_than_message_decode_error() -> None:
    random = Random(1)
    for _ in range(20_000):
        text = (
            random.randbytes(random.randrange(40))
            if random.random() < 0.3
            else mutate_message(random)
        )
        try:
            unseal(codec.compute_seal(SEALING_KEY, text) + text, (SEALING_KEY,))
        except MessageDecodeError:
            pass
    for data in (b"", b"x" * 16, b"x" * 1401):
        with pytest.raises(MessageDecodeError, match="datagram too short|datagram too long"):
            unseal(data, (SEALING_KEY,))


def mutate_message(random: Random) -> bytes:
    text = bytearray(seal(Sender("n", 1, 1), random.choice(BODIES), SEALING_KEY)[16:])
    for _ in range(random.randint(1, 3)):
        text[random.randrange(min(len(text), 60))] = random.choice(
            [0, 1, 0x7F, 0x90, 0xC0, 0xC1, 0xD9, 0xFF, random.randrange(256)]
        )
    return bytes(text)


def test_the_replay_window_accepts_each_number_once_also_out_of_order() -> None:
    random, window, accepted = Random(1), ReplayWindow(), set[int]()
    for number in range(5000):
        candidate = max(0, number - random.randrange(100))
        is_accepted = window.accept(candidate)
        assert not (is_accepted and candidate in accepted)
        assert is_accepted or candidate in accepted or max(accepted) - candidate >= 64
        accepted |= {candidate} if is_accepted else set()


# Exploration of one source and one follower.


@pytest.mark.parametrize(
    ("initial_changes", "is_new", "action_limits"),
    [
        (0, False, {"change": 2, "tick": 2, "lose": 1, "duplicate": 1}),
        (1, True, {"change": 1, "tick": 2, "lose": 1}),
        (0, False, {"change": 2, "tick": 2, "forge_change": 1}),
        (0, False, {"change": 1, "tick": 2, "forge_change": 1, "restart_source": 1}),
        (2, False, {"tick": 2, "outdated_source": 1}),
    ],
)
def test_invariants_hold_in_all_states_of_a_source_and_a_follower(
    initial_changes: int, is_new: bool, action_limits: dict[str, int]
) -> None:
    explorer = Explorer(initial_changes, is_new, **action_limits)
    state_count, fault, is_complete = explorer.explore_all(1 << 20)
    assert not fault and is_complete and state_count > 500 and explorer.convergence_checks > 10, (
        state_count,
        fault,
        is_complete,
    )


MANY_ACTIONS = {
    "change": 3,
    "tick": 12,
    "lose": 6,
    "duplicate": 6,
    "restart_follower": 1,
    "restart_source": 1,
    "outdated_source": 1,
    "new_epoch": 1,
    "old_epoch_source": 1,
    "forge_change": 1,
}


@pytest.mark.parametrize("is_new", [False, True])
def test_invariants_hold_in_long_random_histories_of_a_source_and_a_follower(is_new: bool) -> None:
    steps, fault = Explorer(1, is_new, max_in_flight=8, **MANY_ACTIONS).explore_randomly(
        1000, 40, 1
    )
    assert not fault
    assert steps > 30_000


@pytest.mark.parametrize("is_new", [False, True])
@pytest.mark.parametrize(
    "removed_rule", ["gap", "chain", "replay", "target", "epoch", "unrequested-head", "old-page"]
)
def test_the_exploration_detects_a_removed_rule(removed_rule: str, is_new: bool) -> None:
    assert Explorer(1, is_new, removed_rule, 8, **MANY_ACTIONS).explore_randomly(1500, 40, 1)[1]


def test_the_exploration_detects_a_sync_base_older_than_pages_of_an_unfinished_sync() -> None:
    """The source is restarted twice, the second time with an outdated replica.

    A sync with it must not begin from a base before the pages that the first sync left behind.
    """
    action_limits = {"change": 2, "tick": 12, "restart_source": 1, "outdated_source": 1, "lose": 3}
    assert (
        Explorer(0, False, "older-base", 8, **action_limits).explore_randomly(3000, 50, 1)[1]
        == "key went back to an older value"
    )
    assert not Explorer(0, False, "", 8, **action_limits).explore_randomly(600, 50, 1)[1]


# Networks with random failures.


def apply_random_event(network: SimulatedNetwork, node: Node) -> None:
    """Applies a random event to a node, a link, a region or the stores."""
    random, other = network.random, network.random.choice(list(network.nodes.values()))
    match random.choice(
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
            "region",
            "store",
            "store-back",
            "flip",
        ]
    ):
        case "kill":
            if node.follower is not None and random.random() < 0.3:
                node.follower.leave()
            node.is_running = False
        case "start" if not node.is_running:
            node.start()
        case "pause" if node.is_running:
            node.is_paused = True
        case "wake" if node.is_running and node.is_paused:
            node.resume()
        case "cut":
            network.cut_links |= {(node.name, other.name), (other.name, node.name)}
        case "one-way":
            network.cut_links.add((node.name, other.name))
        case "heal":
            network.cut_links.clear()
        case "region":
            region = random.choice("abc")
            for first in network.nodes.values():
                for second in network.nodes.values():
                    if (first.region == region) != (second.region == region):
                        network.cut_links.add((first.name, second.name))
        case "store":
            node.has_store = False
        case "store-back":
            for first in network.nodes.values():
                first.has_store = True
        case _:
            pass


def heal(network: SimulatedNetwork) -> None:
    network.cut_links.clear()
    for node in network.nodes.values():
        node.has_store = True
        if not node.is_running:
            node.start()
        elif node.is_paused:
            node.resume()


def run_random_failures(seed: int, relays: int, duration_s: float = 120) -> float:
    """Runs a network with random failures; returns how long it took to converge after them, in s."""
    random = Random(seed)
    network = SimulatedNetwork(
        seed,
        (0.0005, random.choice([0.002, 0.05, 0.15])),
        random.choice([0, 0.01, 0.05, 0.2]),
        random.choice([0, 0.1]),
        max_logged_changes=random.choice([8, 64, 4096]),
    )
    network.watched_keys = [
        f"{scope}-{number}" for scope in ("all", "a", "b", "c") for number in range(3)
    ]
    for number in range(random.choice([0, 300])):
        network.store.put(
            0, random.choice(["", "a", "b"]), [("route", f"old-{number}", numbered_value(1))]
        )
    add_fleet(network, 9, 3, relays)
    end = network.now_ns + duration_s * NS_PER_SECOND
    while network.now_ns < end:
        for _ in range(random.choice([0, 1, 3])):
            put_random_change(network)
        if random.random() < 0.02:
            network.store.restore(network.now_ns)
        apply_random_event(network, random.choice(list(network.nodes.values())))
        network.run(random.choice([0.1, 0.3, 1, 3, 10]))
    heal(network)
    healed_at = network.now_ns
    while (
        network.outdated_nodes()
        and network.now_ns - healed_at < CONVERGENCE_LIMIT_S * NS_PER_SECOND
    ):
        network.run(0.25)
    assert not network.outdated_nodes(), (seed, relays, network.loss, network.outdated_nodes())
    return (network.now_ns - healed_at) / NS_PER_SECOND


@pytest.mark.parametrize("seed", range(24))
def test_all_nodes_converge_after_random_failures(seed: int) -> None:
    """Every other seed has a level of relays.

    The failures are kills, pauses, links cut in one or both directions, regions and stores cut off,
    new epochs, losses of up to 20% and delays of up to 150 ms.
    """
    run_random_failures(seed, seed % 2 * 3)


@pytest.mark.parametrize(("changes_per_s", "seed"), [(0.4, 1), (0.4, 2), (4.0, 1), (4.0, 2)])
def test_a_change_is_in_force_everywhere_within_6_s(changes_per_s: float, seed: int) -> None:
    assert measure_propagation_s(changes_per_s, seed, 0) < 6


def test_a_change_is_in_force_below_relays_within_6_s() -> None:
    assert measure_propagation_s(4.0, 3, 3) < 6


def measure_propagation_s(
    changes_per_s: float, seed: int, relays: int, duration_s: float = 60
) -> float:
    """Returns the longest time from a change in the store until it is in force at all of thirty
    followers, in s, with 1% loss and delays of up to 150 ms.
    """
    network = SimulatedNetwork(seed, (0.001, 0.15), 0.01)
    add_fleet(network, 30, 3, relays)
    network.run(10)
    assert not network.outdated_nodes()
    end, random = network.now_ns + duration_s * NS_PER_SECOND, Random(seed)
    while network.now_ns < end:
        put_random_change(network)
        network.run(random.expovariate(changes_per_s))
    network.run(8)
    assert not network.outdated_nodes()
    return (
        max(
            node.in_force_at[key] - created_at
            for key, created_at in network.store.created_at.items()
            if key[1]
            for node in network.nodes.values()
        )
        / NS_PER_SECOND
    )


@pytest.mark.parametrize("changes_per_s", [0, 0.4, 4])
def test_traffic_of_a_follower_is_bounded(changes_per_s: float) -> None:
    traffic = measure_follower_traffic(changes_per_s)
    assert max(traffic[1], traffic[3]) < 9000 and sum(traffic[::2]) < 4 + 3 * changes_per_s, traffic


def measure_follower_traffic(changes_per_s: float, duration_s: float = 60) -> list[float]:
    """Returns the busiest follower's datagrams sent, bytes sent, datagrams received and bytes
    received per second, with changes of 300 bytes.
    """
    network = SimulatedNetwork(1, (0.001, 0.15), 0.01)
    add_fleet(network, 9)
    network.run(10)
    before = network.traffic_by_node()
    for number in range(int(duration_s * max(changes_per_s, 0.1))):
        if changes_per_s:
            network.store.put(
                network.now_ns,
                "",
                [("tenant", f"t{number % 7}", msgpack.packb({"n": number, "x": "y" * 280}))],
            )
        network.run(1 / max(changes_per_s, 0.1))
    busiest = max(range(9), key=lambda number: sum(network.nodes[f"server-{number}"].traffic))
    name = f"server-{busiest}"
    return [
        (later - earlier) / duration_s
        for later, earlier in zip(network.nodes[name].traffic, before[name], strict=True)
    ]


# Syncs and repairs.


def test_a_new_follower_syncs_while_the_table_changes() -> None:
    network = SimulatedNetwork(1, (0.02, 0.08), 0.05)
    network.watched_keys = [f"all-{at}" for at in range(8)]
    for number in range(1500):
        network.store.put(
            0,
            "",
            [
                ("tenant", f"old-{number}", numbered_value(number)),
                ("tenant", f"all-{number % 8}", numbered_value(number)),
            ],
        )
    add_fleet(network, 1)
    node = network.nodes["server-0"]
    assert node.follower is not None
    states, heads = set(), set()
    for _ in range(200):
        put_random_change(network, 8)
        network.run(0.05)
        states.add(node.follower.state)
        heads.add(node.replica.head)
    network.run(10)
    assert {State.EMPTY, State.SYNCING, State.CURRENT} <= states
    assert len(heads) > 20
    assert not network.outdated_nodes()
    assert node.follower.counts.syncs == 1


def test_a_corrupted_item_is_repaired_by_few_pages() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02))
    for number in range(400):
        network.store.put(0, "", [("tenant", f"old-{number}", numbered_value(number))])
    add_fleet(network, 3)
    network.run(5)
    node = network.nodes["server-0"]
    assert node.follower is not None
    assert not network.outdated_nodes()
    pages = node.follower.counts.pages
    network.is_checking = False
    node.replica.table.put([ConfigItem("", "tenant", "old-7", numbered_value(8))])
    node.replica.table.put([ConfigItem("", "tenant", "old-9", None)])
    node.replica.table.put([ConfigItem("a", "tenant", "stranger", numbered_value(8))])
    network.run(3)
    assert not network.outdated_nodes()
    assert node.follower.counts.mended == 403
    assert node.follower.counts.pages - pages <= 6
    assert node.follower.counts.finished_syncs == 2
    network.run(20)
    assert node.follower.counts.finished_syncs == 2


def test_a_corrupted_item_of_a_relay_is_repaired_at_its_followers_too() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02))
    for number in range(50):
        network.store.put(0, "", [("tenant", f"old-{number}", numbered_value(number))])
    add_fleet(network, 3, 3, 3)
    network.run(8)
    assert not network.outdated_nodes()
    network.is_checking = False
    for number, name in enumerate(["relay-a0", "relay-b1"]):
        network.nodes[name].replica.table.put(
            [ConfigItem("", "tenant", f"old-{number}", numbered_value(77))]
        )
    network.run(15)
    assert not network.outdated_nodes()


def test_a_follower_that_fell_out_of_the_log_syncs_again() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02), max_logged_changes=16)
    add_fleet(network, 1, 1)
    network.run(5)
    node = network.nodes["server-0"]
    assert node.follower is not None
    network.cut_links = {("control-a0", "server-0")}
    for _ in range(40):
        put_random_change(network)
        network.run(0.1)
    assert node.follower.state is State.ALONE
    assert node.follower.counts.syncs == 1
    network.cut_links.clear()
    network.run(5)
    assert not network.outdated_nodes()
    assert node.follower.counts.syncs == 2


def test_a_later_epoch_is_entered_by_a_sync_and_an_older_one_never() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02))
    add_fleet(network, 2, 2)
    for _ in range(9):
        put_random_change(network)
    network.run(5)
    network.nodes["control-b1"].has_store = False  # it stays at the older epoch
    network.store.restore(network.now_ns, 3)
    put_random_change(network)
    network.run(40)
    assert not network.outdated_nodes(["server-0", "server-1", "control-a0"])
    assert {network.nodes[f"server-{number}"].follower.upstream.name for number in (0, 1)} == {
        "control-a0"
    }  # type: ignore[union-attr]
    network.cut_links = {("control-a0", f"server-{number}") for number in (0, 1)}
    network.run(30)
    refusals_by_follower = [
        node.follower.counts.refused for node in network.nodes.values() if node.follower
    ]
    assert all(refusals["older epoch than the one in force"] for refusals in refusals_by_follower)
    assert not network.outdated_nodes(["server-0", "server-1"])


def test_a_different_history_of_the_same_epoch_is_refused() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02))
    add_fleet(network, 1, 1)
    put_random_change(network)
    network.run(5)
    node, control = network.nodes["server-0"], network.nodes["control-a0"]
    digest = node.replica.table.digest()
    network.is_checking = False
    other_store = StoreModel()
    other_store.put(0, "", [("tenant", "other", numbered_value(1))])
    control.replica = Replica(ConfigTable(None), [SIGNING_KEY])
    control.replica.load(initial_head(1, 0))
    assert control.replica.apply_change(other_store.changes[1, 1]) is None
    assert control.source is not None
    control.source.replica, control.has_store = control.replica, False
    network.nodes["control-a0"].tick = lambda: None  # type: ignore[method-assign]
    network.run(30)
    assert node.follower is not None
    assert node.follower.state is State.ALONE
    assert node.follower.counts.refused["different history of the same epoch"] > 5
    assert node.replica.table.digest() == digest
    assert (node.follower.table_age_ms(network.now_ns) or 0) > 25_000


# Choice of the upstream.


def test_preference_is_by_region_and_spreads_followers_of_a_lost_upstream() -> None:
    upstreams = [
        Upstream(f"c{number}", "abc"[number % 3], ("10.0.0.1", number)) for number in range(19)
    ]
    orders = [by_preference(f"s{number}", "a", upstreams) for number in range(600)]
    assert all([upstream.region for upstream in order][:7] == ["a"] * 7 for order in orders)
    counts = {
        name: sum(order[0].name == name for order in orders)
        for name in {order[0].name for order in orders}
    }
    assert len(counts) == 7
    assert max(counts.values()) < 130
    assert min(counts.values()) > 50
    orders_of_lost = [order for order in orders if order[0].name == "c0"]
    next_upstreams = {order[1].name for order in orders_of_lost}
    assert len(next_upstreams) == 6
    assert by_preference("c0", "a", upstreams)[0].name != "c0"
    assert len(by_preference("c0", "a", upstreams)) == 18


def upstream_of(network: SimulatedNetwork, name: str = "server-0") -> str:
    follower = network.nodes[name].follower
    assert follower is not None
    return follower.upstream.name


def test_a_follower_fails_over_and_returns_to_its_preferred_upstream() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02))
    add_fleet(network, 3)
    network.run(15)  # a control machine that had not polled its store yet redirected the server
    preferred = upstream_of(network)
    assert preferred == "control-a0"
    network.nodes[preferred].is_running = False
    network.run(6)
    assert upstream_of(network) != preferred
    put_random_change(network)
    network.run(2)
    assert not network.outdated_nodes(["server-0"])
    network.nodes[preferred].start()
    network.run(13)
    assert upstream_of(network) == preferred
    assert not network.outdated_nodes()
    other_source = network.nodes["control-b1"].source
    assert other_source is not None
    network.run(5)
    assert "server-0" not in other_source.followers


def test_a_full_source_redirects_new_followers_and_keeps_its_own() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02), settings=ReplicationSettings(max_followers=4))
    names = ["control-a0", "control-b1", "control-c2"]
    for name in names:
        network.add(name, name[8], is_control=True)
    for number in range(12):
        network.add(f"server-{number}", "a", names)
    network.run(15)
    assert not network.outdated_nodes()
    sources = [network.nodes[name].source for name in names]
    assert [len(source.followers) for source in sources if source] == [4, 4, 4]
    assert sources[0]
    assert sources[0].counts.redirects > 7
    upstreams = {
        name: upstream_of(network, name) for name in network.nodes if name.startswith("server")
    }
    network.run(40)
    assert upstreams == {name: upstream_of(network, name) for name in upstreams}
    for _ in range(3):
        put_random_change(network)
    network.run(3)
    assert not network.outdated_nodes()


def test_followers_that_every_source_refuses_wait_between_attempts() -> None:
    network = SimulatedNetwork(1, (0.001, 0.002), settings=ReplicationSettings(max_followers=1))
    for name in ("control-a0", "control-b1"):
        network.add(name, name[8], is_control=True)
    for number in range(3):
        network.add(f"server-{number}", "a", ["control-a0", "control-b1"])
    network.run(5)
    before = network.traffic_by_node()
    network.run(20)
    sent = sorted(
        network.nodes[f"server-{number}"].traffic[0] - before[f"server-{number}"][0]
        for number in range(3)
    )
    assert sent[-1] < 20 * 6, sent


def test_a_draining_source_redirects_its_followers_at_once() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02))
    add_fleet(network, 3)
    network.run(5)
    control = network.nodes["control-a0"]
    assert control.source is not None
    control.source.drain()
    control.flush()
    network.run(0.5)
    assert upstream_of(network) != "control-a0"
    network.run(12)
    assert upstream_of(network) != "control-a0"
    assert not control.source.followers


def test_an_isolated_follower_keeps_its_table_and_reports_its_growing_age() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02))
    add_fleet(network, 3)
    for _ in range(5):
        put_random_change(network)
    network.run(5)
    node = network.nodes["server-0"]
    assert node.follower is not None
    assert (node.follower.table_age_ms(network.now_ns) or 0) < 1500
    digest, head = node.replica.table.digest(), node.replica.head
    network.cut_links = {(name, "server-0") for name in network.nodes}
    for _ in range(30):
        put_random_change(network)
        network.run(1)
    assert node.follower.state is State.ALONE
    assert node.replica.table.digest() == digest
    assert node.replica.head == head
    report = summary(node.follower, network.now_ns)
    assert report["state"] == "alone"
    assert 29_000 < (node.follower.table_age_ms(network.now_ns) or 0) < 32_000
    assert report["age_ms"] == node.follower.table_age_ms(network.now_ns)
    network.cut_links.clear()
    applied = node.follower.counts.applied
    network.run(4)
    assert not network.outdated_nodes()
    assert node.follower.counts.applied - applied == 30
    assert node.follower.counts.syncs == 1
    assert (node.follower.table_age_ms(network.now_ns) or 0) < 1500


def test_followers_of_a_source_without_its_store_switch_to_a_fresher_source() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02))
    add_fleet(network, 3)
    network.run(5)
    network.nodes["control-a0"].has_store = False
    put_random_change(network)
    network.run(12)
    assert upstream_of(network) != "control-a0"
    assert not network.outdated_nodes(["server-0", "server-1", "server-2"])
    network.nodes["control-a0"].has_store = True
    network.run(15)
    assert upstream_of(network) == "control-a0"
    for node in network.nodes.values():
        node.has_store = False
    network.run(60)
    ages_ms = [
        node.follower.table_age_ms(network.now_ns) or 0
        for node in network.nodes.values()
        if node.follower
    ]
    assert min(ages_ms) > 59_000
    assert max(ages_ms) < 63_000


def test_a_follower_paused_for_minutes_catches_up() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02))
    add_fleet(network, 3)
    network.run(5)
    node = network.nodes["server-0"]
    node.is_paused = True
    for _ in range(180):
        put_random_change(network)
        network.run(1)
    assert node.follower is not None
    assert (node.follower.table_age_ms(network.now_ns) or 0) >= 179_000
    node.resume()
    assert (
        node.follower.table_age_ms(network.now_ns) or 0
    ) >= 170_000  # until the next answer arrives
    network.run(5)
    assert not network.outdated_nodes()
    assert (node.follower.table_age_ms(network.now_ns) or 0) < 1500


def test_followers_ahead_of_a_restarted_source_never_go_back() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02))
    add_fleet(network, 1, 1)
    for _ in range(9):
        put_random_change(network)
    network.run(5)
    node, control = network.nodes["server-0"], network.nodes["control-a0"]
    before = node.replica.head
    control.start()
    control.has_store = False
    control.replica.load(initial_head(1, 0))
    for number in (1, 2, 3, 4):
        assert control.replica.apply_change(network.store.changes[1, number]) is None
    control.last_head = (1, 4)
    network.run(20)
    assert node.replica.head == before
    assert node.follower is not None
    assert (node.follower.table_age_ms(network.now_ns) or 0) > 18_000
    assert node.follower.counts.syncs == 1
    control.has_store = True
    put_random_change(network)
    network.run(3)
    assert not network.outdated_nodes()
    assert (node.follower.table_age_ms(network.now_ns) or 0) < 1500


def test_three_levels_of_relays_pass_on_changes_and_ages() -> None:
    network = SimulatedNetwork(1, (0.001, 0.05), 0.01)
    network.add("control-a0", "a", is_control=True)
    for level, upstream in enumerate(["control-a0", "relay-0", "relay-1"]):
        network.add(f"relay-{level}", "", [upstream], is_relay=True)
    for number in range(3):
        network.add(f"server-{number}", "", ["relay-2"])
    for _ in range(60):
        put_random_change(network)
        network.run(0.25)
    network.run(8)
    assert not network.outdated_nodes()
    ages_ms = [
        network.nodes[name].follower.table_age_ms(network.now_ns)
        for name in ("relay-0", "relay-1", "relay-2", "server-0")
    ]  # type: ignore[union-attr]
    assert max(age_ms or 10**6 for age_ms in ages_ms) < 6000
    network.cut_links = {("control-a0", "relay-0")}
    network.run(60)
    follower = network.nodes["server-0"].follower
    assert follower is not None
    assert 59_000 < (follower.table_age_ms(network.now_ns) or 0) < 66_000
    report = summary_of_source(network.nodes["relay-2"].source, network.now_ns)  # type: ignore[arg-type]
    assert report["followers"] == 3
    assert report["age_ms"] == network.nodes["relay-2"].follower.table_age_ms(network.now_ns)


def test_a_relay_redirects_followers_of_scopes_that_it_does_not_hold() -> None:
    network = SimulatedNetwork(1, (0.001, 0.02))
    network.add("control-a0", "a", is_control=True)
    network.add("relay-a", "a", ["control-a0"], is_relay=True)
    network.add("server-b", "b", ["relay-a", "control-a0"])
    network.run(8)
    assert upstream_of(network, "server-b") == "control-a0"
    assert not network.outdated_nodes()


# Invalid and replayed messages, and bounds.


def source_and_follower() -> tuple[Source, Follower]:
    source_replica, follower_replica = (
        empty_replica(None),
        Replica(ConfigTable(("", "a")), [SIGNING_KEY]),
    )
    source = Source(
        source_replica,
        "source",
        INCARNATION,
        (SEALING_KEY,),
        ReplicationSettings(),
        Random(1),
        NOW_NS,
        lambda now_ns: 0,
    )
    follower = Follower(
        follower_replica,
        "server",
        INCARNATION,
        "a",
        [Upstream("source", "a", ADDRESS)],
        (SEALING_KEY,),
        ReplicationSettings(),
        Random(1),
        NOW_NS,
    )
    return source, follower


def exchange(source: Source, follower: Follower, now_ns: int) -> list[bytes]:
    """Delivers messages until there are no more; returns all of them."""
    datagrams = []
    follower.tick(now_ns)
    while follower.outbox or source.outbox:
        while follower.outbox:
            datagrams.append(follower.outbox.popleft()[1])
            source.receive(now_ns, datagrams[-1], ADDRESS)
        while source.outbox:
            datagrams.append(source.outbox.popleft()[1])
            follower.receive(now_ns, datagrams[-1], ADDRESS)
    return datagrams


def test_invalid_messages_have_no_effect_and_are_counted_by_reason() -> None:
    source, follower = source_and_follower()
    exchange(source, follower, NOW_NS)
    assert follower.state is State.CURRENT
    before = follower.replica.head, follower.replica.table.digest(), follower.state
    valid_datagram = seal(
        Sender("source", INCARNATION, 0), messages.PushedChange(make_chain(1)[0]), SEALING_KEY
    )
    text = msgpack.packb([0, 9, "n", 1, 1])
    for data, reason in [
        (
            seal(
                Sender("source", INCARNATION, 0),
                messages.PushedChange(make_chain(1)[0]),
                b"another key" * 2,
            ),
            "not sealed with our key",
        ),
        (codec.compute_seal(SEALING_KEY, text) + text, "older protocol version"),
        (valid_datagram + b"x" * 1400, "datagram too long"),
        (valid_datagram[:-1], "not sealed with our key"),
        (b"", "datagram too short"),
        (
            seal(Sender("source", INCARNATION, 0), messages.PullRequest(1, 1, 1), SEALING_KEY),
            "message kind not handled by a follower",
        ),
        (
            seal(
                Sender("source", INCARNATION, 5),
                messages.HeadStatus(initial_head(9, 0), 0, False, 0),
                SEALING_KEY,
            ),
            "HEAD that was not requested",
        ),
        (
            seal(
                Sender("other", INCARNATION, 5),
                messages.HeadStatus(initial_head(9, 0), 0, False, 0),
                SEALING_KEY,
            ),
            "HEAD from another server than the upstream",
        ),
        (
            seal(Sender("source", INCARNATION, 5), messages.Redirect("full"), SEALING_KEY),
            "REDIRECT that was not requested",
        ),
        (
            seal(Sender("source", INCARNATION - 1, 0), messages.Redirect("leaving"), SEALING_KEY),
            "REDIRECT that was not requested",
        ),
        (
            seal(
                Sender("source", INCARNATION, 5),
                messages.DigestsResponse(initial_head(9, 0), 0, (0,) * 128),
                SEALING_KEY,
            ),
            "DIGESTS that were not requested",
        ),
        (
            seal(
                Sender("source", INCARNATION, 0),
                messages.PushedChange(make_chain(1, epoch=2)[0]),
                SEALING_KEY,
            ),
            "change of another epoch",
        ),
    ]:
        previous_count = follower.counts.refused.get(reason, 0)
        follower.receive(NOW_NS, data, ADDRESS)
        assert follower.counts.refused.get(reason) == previous_count + 1
        assert follower.refusals[-1] == (
            reason,
            ADDRESS,
        )
        assert (follower.replica.head, follower.replica.table.digest(), follower.state) == before
    follower.receive(NOW_NS, valid_datagram, ADDRESS)
    assert follower.replica.head == head_after(make_chain(1)[0])


def test_replayed_requests_are_refused() -> None:
    source, follower = source_and_follower()
    requests = [data for data in exchange(source, follower, NOW_NS) if is_for_source(data)]
    for data in requests:
        source.receive(NOW_NS, data, ("10.9.9.9", 9))
    assert not source.outbox
    assert sum(source.counts.refused.values()) == len(requests)
    assert source.followers["server"].address == ADDRESS
    stranger = Sender("nobody", INCARNATION, 1)
    for body in (
        messages.PullRequest(1, 0, 32),
        messages.DigestsRequest(),
        messages.PagesRequest(0, None, 4),
        messages.Leave(),
    ):
        source.receive(NOW_NS, seal(stranger, body, SEALING_KEY), ADDRESS)
    source.receive(
        NOW_NS,
        seal(Sender("server", INCARNATION - 1, 1), messages.Report(None, 1, 1, 1), SEALING_KEY),
        ADDRESS,
    )
    assert not source.outbox
    assert source.counts.refused["older incarnation of the follower"] == 1
    assert "server" in source.followers


def test_answers_to_an_earlier_incarnation_are_ignored() -> None:
    source, follower = source_and_follower()
    answers = [data for data in exchange(source, follower, NOW_NS) if not is_for_source(data)]
    later = Follower(
        Replica(ConfigTable(("", "a")), [SIGNING_KEY]),
        "server",
        INCARNATION + 5,
        "a",
        [Upstream("source", "a", ADDRESS)],
        (SEALING_KEY,),
        ReplicationSettings(),
        Random(1),
        NOW_NS,
    )
    later.tick(NOW_NS)
    for data in answers:
        later.receive(NOW_NS, data, ADDRESS)
    assert later.state is State.EMPTY
    assert later.table_age_ms(NOW_NS) is None


def test_queues_and_counters_are_bounded() -> None:
    source, follower = source_and_follower()
    exchange(source, follower, NOW_NS)
    for change in make_chain(1000)[1:]:
        follower.receive(
            NOW_NS,
            seal(Sender("source", INCARNATION, 0), messages.PushedChange(change), SEALING_KEY),
            ADDRESS,
        )
    assert len(follower.early_changes) == 256
    assert follower.state is State.BEHIND
    for number in range(200):
        follower.count_refusal(f"reason {number}", ADDRESS)
        source.count_refusal(f"reason {number}", ADDRESS)
    assert len(follower.counts.refused) <= 65
    assert len(source.counts.refused) <= 65
    assert len(follower.refusals) == 32
    for number in range(1000):
        source.receive(
            NOW_NS,
            seal(Sender(f"s{number}", INCARNATION, 1), messages.Report(None, 1, 1, 1), SEALING_KEY),
            ADDRESS,
        )
    assert len(source.followers) == 400
    for number in range(40):
        follower.pull_sent_at = -1
        follower.pull_changes(NOW_NS)
        for _ in range(20):
            follower.send_report(NOW_NS)
    assert len(follower.outbox) <= 256
    assert len(follower.reports) <= 4
    assert follower.counts.dropped


def test_pages_are_limited_to_their_byte_rate() -> None:
    source, _ = source_and_follower()
    source.settings = ReplicationSettings(page_bytes_per_s=10_000, page_burst_bytes=5000)
    source.page_tokens = 5000.0
    source.replica.table.put(
        [
            ConfigItem("", "tenant", f"t{item_number}", msgpack.packb({"x": "y" * 400}))
            for item_number in range(250)
        ]
    )
    source.receive(
        NOW_NS,
        seal(Sender("s", INCARNATION, 1), messages.Report(None, 0, 0, 0), SEALING_KEY),
        ADDRESS,
    )
    received_bytes = 0
    for number in range(300):
        source.followers["s"].expires_at = NOW_NS + 10**12
        source.receive(
            NOW_NS + number * 10 * NS_PER_MS,
            seal(
                Sender("s", INCARNATION, 2 + number),
                messages.PagesRequest(number % 256, None, 4),
                SEALING_KEY,
            ),
            ADDRESS,
        )
        while source.outbox:
            received_bytes += len(source.outbox.popleft()[1])
    assert received_bytes < 5000 + 10_000 * 3 + 1400
    assert source.counts.held_back


def test_invalid_settings_and_missing_upstreams_are_refused() -> None:
    assert ReplicationSettings().faults() == []
    assert ReplicationSettings(request_retry_ns=3000 * NS_PER_MS, heartbeat_ns=0).faults() == [
        "heartbeat_ns: 0, must be at least 1",
        "request_retry_ns: must be less than upstream_timeout_ns",
    ]
    with pytest.raises(ValueError, match="0 upstreams"):
        Follower(
            empty_replica(),
            "s",
            INCARNATION,
            "a",
            [],
            (SEALING_KEY,),
            ReplicationSettings(),
            Random(1),
            NOW_NS,
        )


def replaying_follower(has_revision: bool) -> tuple[Source, Follower]:
    """Returns a source and a follower in state REPLAYING.

    The follower has a page of a later revision than the sync's base and lacks the changes between
    them. It is a new one, or (`has_revision`) one whose revision is no longer in the source's log.
    """
    source, follower = source_and_follower()
    if has_revision:
        follower.replica.load(initial_head(1, 0))
        source.replica.log.max_changes = 0
    changes = make_chain(3)
    assert source.replica.apply_change(changes[0]) is None
    source.replica.log.max_changes = 4096
    source.push_changes(NOW_NS)
    follower.tick(NOW_NS)
    while follower.outbox or source.outbox:
        while follower.outbox:
            data = follower.outbox.popleft()[1]
            if type(
                unseal(data, (SEALING_KEY,)).body
            ) is messages.PagesRequest and source.replica.head == head_after(changes[0]):
                assert source.replica.apply_change(changes[1]) is None
                assert source.replica.apply_change(changes[2]) is None
            source.receive(NOW_NS, data, ADDRESS)
        while source.outbox:
            data = source.outbox.popleft()[1]
            if type(unseal(data, (SEALING_KEY,)).body) is not messages.PushedChange:
                follower.receive(NOW_NS, data, ADDRESS)
    assert follower.state is State.REPLAYING
    assert follower.sync is not None
    assert follower.replica.head == (initial_head(1, 0) if has_revision else None)
    assert follower.sync.base == head_after(changes[0])
    assert follower.sync.target_revision == 3
    return source, follower


@pytest.mark.parametrize("has_revision", [False, True])
def test_a_sync_ends_at_a_revision_not_before_any_page(has_revision: bool) -> None:
    source, follower = replaying_follower(has_revision)
    before = follower.replica.head
    second_change, third_change = make_chain(3)[1:]
    follower.receive(
        NOW_NS,
        seal(Sender("source", INCARNATION, 0), messages.PushedChange(second_change), SEALING_KEY),
        ADDRESS,
    )
    assert follower.state is State.REPLAYING
    assert follower.replica.head == before
    follower.receive(
        NOW_NS,
        seal(Sender("source", INCARNATION, 0), messages.PushedChange(third_change), SEALING_KEY),
        ADDRESS,
    )
    assert follower.state is State.CURRENT
    assert follower.replica.head == head_after(third_change)
    assert follower.replica.table.digest() == source.replica.table.digest_of(("", "a"))


@pytest.mark.parametrize("has_revision", [False, True])
def test_a_sync_interrupted_by_its_source_is_repeated_without_going_back(
    has_revision: bool,
) -> None:
    """A follower without a revision in force may end the repeated sync at a revision before that of
    the pages it has; a follower with one must wait for a later revision.
    """
    source, follower = replaying_follower(has_revision)
    source.drain()
    follower.receive(NOW_NS, source.outbox.popleft()[1], ADDRESS)
    assert follower.state is State.ALONE
    assert follower.newest_page_revision == (1, 3)
    digest = follower.replica.table.digest()
    outdated_replica = Replica(ConfigTable(None), [SIGNING_KEY])
    outdated_replica.load(initial_head(1, 0))
    assert outdated_replica.apply_change(make_chain(1)[0]) is None
    restarted_source = Source(
        outdated_replica,
        "source",
        INCARNATION + 9,
        (SEALING_KEY,),
        ReplicationSettings(),
        Random(1),
        NOW_NS,
        lambda now_ns: None,
    )
    exchange(restarted_source, follower, NOW_NS + NS_PER_SECOND)
    if has_revision:
        assert follower.state is State.ALONE
        assert follower.replica.table.digest() == digest
        assert follower.counts.refused == {"sync base older than the revision in force": 1}
    else:
        assert follower.state is State.CURRENT
        assert follower.replica.head == outdated_replica.head
    assert outdated_replica.apply_change(make_chain(3)[1]) is None
    assert outdated_replica.apply_change(make_chain(3)[2]) is None
    restarted_source.push_changes(NOW_NS + 2 * NS_PER_SECOND)
    exchange(restarted_source, follower, NOW_NS + 2 * NS_PER_SECOND)
    assert follower.state is State.CURRENT
    assert follower.replica.head == head_after(make_chain(3)[2])
    assert follower.replica.table.digest() == outdated_replica.table.digest_of(("", "a"))


def test_every_transition_is_reached_and_every_state_handles_head_and_loss() -> None:
    """Every state has transitions for HEAD and LOST, and a simulated network takes every pair of
    state and input in the table.
    """
    for state in State:
        assert (state, Input.HEAD) in RULES
        assert (state, Input.LOST) in RULES
    reached = set()
    network = SimulatedNetwork(5, (0.001, 0.15), 0.1, max_logged_changes=8)
    for number in range(400):
        network.store.put(0, "", [("tenant", f"old-{number}", numbered_value(number))])
    add_fleet(network, 6)
    original = Follower.handle

    def record_and_handle(self: Follower, now_ns: int, received: Input) -> None:
        reached.add((self.state, received))
        original(self, now_ns, received)

    Follower.handle = record_and_handle  # type: ignore[method-assign]
    try:
        for _ in range(200):
            put_random_change(network)
            apply_random_event(network, network.random.choice(list(network.nodes.values())))
            network.run(network.random.choice([0.1, 0.3, 1, 2]))
        for has_revision in (False, True):
            test_a_sync_interrupted_by_its_source_is_repeated_without_going_back(has_revision)
        heal(network)
        for _ in range(20):  # new followers during many changes, and control machines that stop
            node, control = (
                network.nodes["server-0"],
                network.nodes[f"control-{network.random.choice(['a0', 'b1', 'c2'])}"],
            )
            node.start()
            control.is_running = network.random.random() < 0.5
            if control.is_running:
                control.start()
            for _ in range(60):
                put_random_change(network)
                network.run(0.05)
    finally:
        Follower.handle = original  # type: ignore[method-assign]
    assert reached >= set(RULES), set(RULES) - reached
