"""Carrying configuration without I/O: the chain, messages, the copy, the follower's states, and whole networks in
simulated time."""

from collections.abc import Iterator
from itertools import permutations
from random import Random
from typing import Any

import msgpack
import pytest
from distribution_world import MS, SEAL, SECOND, SIGN, Node, World, change, fleet, value
from hypothesis import given, settings
from hypothesis import strategies as st

from burlloom.distribution import (
    Change, Copy, Entry, Follower, Head, Refused, Source, Table, Terms, Upstream, first_head, propose, to_source)
from burlloom.distribution import messages as m
from burlloom.distribution.changes import (
    BODY_MOST, ENTRIES_MOST, KEY_MOST, NUMBER_MOST, VALUE_MOST, chained, decode, encode, faults, head_of)
from burlloom.distribution.follower import RULES, Input, State, preferred, summary
from burlloom.distribution.log import Log
from burlloom.distribution.messages import Sender, Unreadable, Window, seal, unseal
from burlloom.distribution.source import summary as summary_of_source
from burlloom.distribution.table import Page

HEALED = 30.0  # s after which all agree, once a network of up to 20% loss is whole again
NOW = 10**12
HERE = ("10.0.0.1", 7000)
LIFE = 1_700_000_000_000


def history(count: int, scope: str = "", epoch: int = 1) -> list[Change]:
    head, found = first_head(epoch, 0), []
    for number in range(1, count + 1):
        found.append(propose(head, scope, [Entry(scope, "tenant", f"t{number % 5}", value(number))], number, SIGN))
        head = head_of(found[-1])
    return found


def empty(scopes: tuple[str, ...] | None = ("", "a"), epoch: int = 1) -> Copy:
    copy = Copy(Table(scopes), [SIGN])
    copy.begin(first_head(epoch, 0))
    return copy


# The chain.


def test_a_chain_is_taken_in_order_and_in_no_other() -> None:
    listed = history(4)
    for order in permutations(listed):
        copy = empty()
        taken = [one.revision for one in order if copy.take(one) is None]
        assert taken == list(range(1, len(taken) + 1))
        for one in listed[len(taken):]:
            assert copy.take(one) is None
        assert copy.head == head_of(listed[-1])


@pytest.mark.parametrize(("what", "reason"), [
    ({"epoch": 2}, "another epoch"), ({"revision": 3}, "a gap before it"), ({"revision": 1}, "an older revision"),
    ({"time_ms": 0}, "its time steps back"), ({"time_ms": 3}, "its tag does not follow"),
    ({"scope": "a"}, "its tag does not follow"), ({"tag": bytes(16)}, "its tag does not follow"),
    ({"body_digest": bytes(16)}, "its body was altered"), ({"body": b"\x91\x93"}, "its body was altered"),
    ({"body": None}, "body: left out, and the scope is held here"),
    ({"body": None, "body_digest": bytes(16)}, "its tag does not follow")])
def test_an_altered_change_is_refused_whole(what: dict[str, Any], reason: str) -> None:
    copy, (first, then) = empty(), history(2)
    assert copy.take(first) is None
    before = copy.head, copy.table.digest(), len(copy.log)
    assert copy.take(then._replace(**what)) == reason
    assert (copy.head, copy.table.digest(), len(copy.log)) == before
    assert copy.take(then) is None


def test_each_bit_of_a_change_is_under_the_chain() -> None:
    copy, (one,) = empty(), history(1)
    assert one.body is not None
    for field in ("body", "tag", "body_digest"):
        held = getattr(one, field)
        for bit in range(8 * len(held)):
            other = bytearray(held)
            other[bit // 8] ^= 1 << bit % 8
            assert copy.take(one._replace(**{field: bytes(other)}))
    assert copy.head is not None and copy.head.revision == 0 and copy.take(one) is None


def test_a_foreign_signing_key_is_refused_and_a_second_one_of_ours_is_not() -> None:
    foreign = propose(first_head(1, 0), "", [Entry("", "tenant", "t", value(1))], 1, b"another key" * 2)
    assert empty().take(foreign) == "its tag does not follow"
    copy = Copy(Table(None), [SIGN, b"another key" * 2])
    copy.begin(first_head(1, 0))
    assert copy.take(foreign) is None
    assert copy.take(propose(head_of(foreign), "", [Entry("", "tenant", "t", value(2))], 1, SIGN)) is None


def test_the_body_of_another_scope_may_be_left_out_and_the_chain_holds() -> None:
    copy, listed, head = empty(("", "a")), [], first_head(1, 0)
    for number, scope in enumerate(["", "b", "a", "b", ""]):
        listed.append(propose(head, scope, [Entry(scope, "tenant", "t", value(number))], number, SIGN))
        head = head_of(listed[-1])
    for one in listed:
        assert copy.take(one.without_body() if one.scope == "b" else one) is None
    assert copy.table.get("tenant", "t") == value(2) and copy.head == head
    with_bodies = empty(("", "a"))
    assert [with_bodies.take(one) for one in listed] == [None] * 5
    assert with_bodies.table.digest() == copy.table.digest()


# Bad changes.


def bad(entries: list[Any], scope: str = "") -> list[str]:
    with pytest.raises(Refused) as refused:
        propose(first_head(1, 0), scope, entries, 1, SIGN)
    return refused.value.faults


def test_a_bad_change_is_refused_whole_with_all_faults_and_places() -> None:
    good = Entry("", "tenant", "t", value(1))
    assert bad([good, Entry("a", "tennant", "", b"\xc1"), Entry("", "route", "x" * 129, b"x" * 513), good,
        Entry("", "setting", "s", msgpack.packb([1]))]) == [
        "entries[1].scope: 'a', and the change's is ''", "entries[1].kind: 'tennant', of tenant, route, setting",
        "entries[1].key: not text of 1 to 128 bytes", "entries[1].value: no MessagePack: ",
        "entries[2].key: not text of 1 to 128 bytes", "entries[2].value: 513 bytes, 512 at most",
        "entries[3].key: set by entries[0] already", "entries[4].value: no map"]
    assert bad([]) == ["entries: 0, of 1 to 64"]
    assert bad([Entry("", "tenant", f"{at}", None) for at in range(65)]) == ["entries: 65, of 1 to 64"]
    assert bad([Entry("r" * 65, "tenant", "t", None)], "r" * 65) == ["scope: not text of 64 bytes at most"]
    assert bad([Entry("", "tenant", "\ud800", None)]) == ["entries[0].key: not text of 1 to 128 bytes"]
    assert bad([Entry("", "tenant", f"{at}", msgpack.packb({"x": "y" * 400})) for at in range(3)]) == [
        "body: 1258 bytes, 1000 at most"]

    def check(entry: Entry) -> list[str]:
        return ["value.n: not under 2"] if entry.value == value(2) else []
    with pytest.raises(Refused) as refused:
        propose(first_head(1, 0), "", [good, Entry("", "tenant", "u", value(2))], 1, SIGN, check)
    assert refused.value.faults == ["entries[1].value.n: not under 2"]


@pytest.mark.parametrize(("body", "fault"), [
    (b"", "body: no MessagePack"), (b"\xc1", "body: no MessagePack"), (msgpack.packb(1), "body: no list"),
    (msgpack.packb([]), "entries: 0"), (msgpack.packb([[1, 2]]), "entries[0]: not of kind, key and value"),
    (msgpack.packb([["tenant", "t", value(1)], ["x", "t", value(1)]]), "entries[1].kind: 'x'"),
    (msgpack.packb([["tenant", 7, value(1)]]), "entries[0].key"), (msgpack.packb([["tenant", "t", "x"]]), "entries[0].value"),
    (b"\xdc\xff\xff", "body: no MessagePack"), (b"\x91" * 900, "body: no MessagePack"),
    (msgpack.packb([["tenant", "t", value(1)]]) + b"\x00", "body: no MessagePack"), (b"x" * 1001, "body: 1001 bytes")])
def test_a_bad_body_is_refused_whole_at_a_copy_though_its_chain_holds(body: bytes, fault: str) -> None:
    copy = empty()
    one = chained(first_head(1, 0), "", body, 1, SIGN)
    before = copy.table.digest()
    assert (copy.take(one) or "").startswith(fault)
    assert copy.table.digest() == before and copy.head == first_head(1, 0) and len(copy.log) == 0


def test_a_table_that_refuses_leaves_the_copy_as_it_was(monkeypatch: pytest.MonkeyPatch) -> None:
    def refuses(entries: Any) -> None:
        raise ValueError("full")
    copy, (one,) = empty(), history(1)
    monkeypatch.setattr(copy.table, "put", refuses)
    assert copy.take(one) == "the table refuses: full"
    assert copy.head == first_head(1, 0) and len(copy.log) == 0


def test_times_never_step_back_along_the_chain() -> None:
    first = propose(first_head(1, 50), "", [Entry("", "tenant", "t", None)], 7, SIGN)
    assert first.time_ms == 50


@given(st.lists(st.tuples(st.sampled_from(["tenant", "route", "setting"]), st.text(min_size=1, max_size=40),
    st.none() | st.dictionaries(st.text(max_size=5), st.integers(0, 9), max_size=3)), min_size=1, max_size=9,
    unique_by=lambda one: one[:2]))
@settings(max_examples=200, deadline=None)
def test_what_is_proposed_is_read_the_same(listed: list[Any]) -> None:
    entries = [Entry("a", kind, key, None if held is None else msgpack.packb(held)) for kind, key, held in listed]
    if faults("a", entries) or len(encode(entries)) > BODY_MOST:
        return
    one = propose(first_head(1, 0), "a", entries, 1, SIGN)
    assert one.body is not None and decode("a", one.body) == entries


# The log.


def test_the_log_tells_earlier_digests_and_forgets_the_oldest() -> None:
    copy, chance, told = Copy(Table(None), [SIGN], 10), Random(1), {}
    copy.begin(first_head(1, 0))
    for number in range(1, 41):
        scope = chance.choice(["", "a", "b"])
        assert copy.head is not None
        assert copy.take(propose(copy.head, scope, [Entry(scope, "route", f"r{chance.randrange(4)}",
            value(number) if chance.random() < 0.8 else None)], number, SIGN)) is None
        told[number] = [copy.digest_of(scopes) for scopes in (("", "a"), ("b",), None)]
    for number in range(1, 41):
        for at, scopes in enumerate([("", "a"), ("b",), None]):
            assert copy.digest_at(number, scopes) == (told[number][at] if number >= 30 else None)
    assert copy.digest_at(41, None) is None
    assert [one.revision for one in copy.log.since(30, 4) or ()] == [31, 32, 33, 34]
    assert copy.log.since(29, 4) is None and copy.log.since(40, 4) == [] == copy.log.since(99, 4)
    assert len(copy.log) == 10 and Log(5).since(5, 1) == []


# Messages.

LONG = "n" * 64
ENTRY = Entry("r" * 64, "setting", "k" * KEY_MOST, b"x" * VALUE_MOST)
HEAD = Head(NUMBER_MOST, NUMBER_MOST, b"t" * 16, NUMBER_MOST)
BODIES: list[m.Body] = [
    m.Report(("", "a"), 1, 7, (1 << 64) - 1), m.Report(None, 0, 0, 0), m.Report(tuple(f"{at:064}" for at in range(16)), 1, 1, 1),
    m.Told(HEAD, None, True, 0), m.Told(HEAD, 12, False, NUMBER_MOST), m.Pushed(history(1)[0]),
    m.Pushed(history(1)[0].without_body()),
    m.Pushed(Change(NUMBER_MOST, NUMBER_MOST, NUMBER_MOST, "r" * 64, b"x" * BODY_MOST, b"t" * 16, b"d" * 16)),
    m.Pull(1, 2, 32), m.DigestsAsk(), m.Digests(HEAD, 1, tuple((1 << 64) - 1 - at for at in range(128))),
    m.PagesAsk(255, ENTRY[:3], 4), m.PagesAsk(0, None, 1),
    m.Paged(NUMBER_MOST, NUMBER_MOST, 255, 3, ENTRY._replace(kind="route")[:3], Page((ENTRY,), ENTRY[:3], False)),
    m.Paged(1, 1, 0, 0, None, Page((), None, True)), m.Redirect("full"), m.Bye()]


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_messages_are_read_as_they_were_sealed(body: m.Body) -> None:
    sender = Sender(LONG, NUMBER_MOST, NUMBER_MOST)
    data = seal(sender, body, SEAL)
    assert len(data) <= m.MESSAGE_MOST and unseal(data, (b"another key" * 2, SEAL)) == m.Message(sender, body)
    assert to_source(data) == (type(body) in (m.Report, m.Pull, m.DigestsAsk, m.PagesAsk, m.Bye))
    with pytest.raises(Unreadable, match="not sealed with our key"):
        unseal(data, (b"another key" * 2,))
    for length in range(len(data)):
        with pytest.raises(Unreadable):
            unseal(data[:length], (SEAL,))
    for bit in range(0, 8 * len(data), 7):
        other = bytearray(data)
        other[bit // 8] ^= 1 << bit % 8
        with pytest.raises(Unreadable):
            unseal(bytes(other), (SEAL,))


def test_a_full_page_fits_the_datagram() -> None:
    table = Table(None)
    table.put([Entry("r" * 64, "setting", f"{at:0128}", bytes([0x81, 0xa1, 0x78, 0xd9, at % 200]) + b"y" * (at % 200))
               for at in range(200)])
    for bucket in range(256):
        after: Any = ("r" * 64, "route", "k" * 128)
        while True:
            page = table.page(bucket, after, None, m.PAGE_BYTES)
            data = seal(Sender(LONG, NUMBER_MOST, NUMBER_MOST), m.Paged(NUMBER_MOST, NUMBER_MOST, bucket, 3, after, page), SEAL)
            assert len(data) <= m.MESSAGE_MOST
            if page.done:
                break
            after = page.last


def sealed(got: Any) -> bytes:
    text = msgpack.packb(got)
    return m.mark_of(SEAL, text) + text


@pytest.mark.parametrize(("got", "reason"), [
    ([0, 9, "n", 1, 1], "an older version"), ([2, 9, "n", 1, 1], "another version"), ([1, 10, "n", 1, 1], "of no kind"),
    ([1, True, "n", 1, 1], "of no kind"), ([1, 9, "", 1, 1], "a sender that is none"), ([1, 9, "n", -1, 1], "a sender that is none"),
    ([1, 9, "n", 1, 1 << 63], "a sender that is none"), ([1, 9, "n", 1, 1, 1], "no BYE"), ([1, 9, "n", 1], "no message"), (7, "no message"),
    ([1, 0, "n", 1, 1, ["x"] * 17, 1, 1, 1], "no scopes"),
    ([1, 0, "n", 1, 1, None, 1, 1, -1], "no report"), ([1, 1, "n", 1, 1, 0, 1, b"t" * 16, 1, 1, False, 0], "no head"),
    ([1, 1, "n", 1, 1, 1, 1, b"t" * 15, 1, 1, False, 0], "no head"), ([1, 1, "n", 1, 1, 1, 1, b"t" * 16, 1, -1, False, 0], "no HEAD"),
    ([1, 2, "n", 1, 1, 1, 0, 1, "", b"", b"t" * 16, b"t" * 16], "no change"), ([1, 2, "n", 1, 1, 1, 1, 1, "", b"x" * 1001, b"t" * 16, b"t" * 16], "no change"),
    ([1, 3, "n", 1, 1, 1, 1, 33], "no PULL"), ([1, 3, "n", 1, 1, 1, 1, 0], "no PULL"), ([1, 5, "n", 1, 1, 1, 1, b"t" * 16, 1, 2, b"x" * 1024], "no DIGESTS"),
    ([1, 5, "n", 1, 1, 1, 1, b"t" * 16, 1, 1, b"x" * 1023], "no DIGESTS"), ([1, 6, "n", 1, 1, 256, None, 1], "no PAGES_ASK"),
    ([1, 6, "n", 1, 1, 1, ["", "x", "y"], 1], "no place"), ([1, 6, "n", 1, 1, 1, None, 5], "no PAGES_ASK"),
    ([1, 7, "n", 1, 1, 1, 1, 1, 0, None, [], False], "no PAGE"), ([1, 7, "n", 1, 1, 1, 1, 1, 0, None, [["", "tenant", "t", None]], True], "no entry"),
    ([1, 7, "n", 1, 1, 1, 1, 1, 0, None, [["", "tenant", "t", b""], ["", "tenant", "t", b""]], True], "no order"),
    ([1, 7, "n", 1, 1, 1, 1, 1, 0, ["", "tenant", "t"], [["", "tenant", "s", b""]], True], "no order"), ([1, 8, "n", 1, 1, 7], "no REDIRECT"),
    ([1, 9, "n", {}, 1], "no MessagePack|a sender"), ([1, 9, ["n"] * 300, 1, 1], "no MessagePack")])
def test_what_nobody_of_ours_would_send_is_refused_with_a_reason(got: Any, reason: str) -> None:
    with pytest.raises(Unreadable, match=reason):
        unseal(sealed(got), (SEAL,))


def test_only_unreadable_is_ever_raised() -> None:
    chance = Random(1)
    for _ in range(20_000):
        text = chance.randbytes(chance.randrange(40)) if chance.random() < 0.3 else mutated(chance)
        try:
            unseal(m.mark_of(SEAL, text) + text, (SEAL,))
        except Unreadable:
            pass
    for data in (b"", b"x" * 16, b"x" * 1401):
        with pytest.raises(Unreadable, match="too short|too long"):
            unseal(data, (SEAL,))


def mutated(chance: Random) -> bytes:
    text = bytearray(seal(Sender("n", 1, 1), chance.choice(BODIES), SEAL)[16:])
    for _ in range(chance.randint(1, 3)):
        text[chance.randrange(min(len(text), 60))] = chance.choice([0, 1, 0x7f, 0x90, 0xc0, 0xc1, 0xd9, 0xff, chance.randrange(256)])
    return bytes(text)


def test_each_number_counts_once_though_some_overtake_others() -> None:
    chance, window, taken = Random(1), Window(), set[int]()
    for number in range(5000):
        one = max(0, number - chance.randrange(100))
        new = window.new(one)
        assert not (new and one in taken) and (new or one in taken or max(taken) - one >= 64)
        taken |= {one} if new else set()
