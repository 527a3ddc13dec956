"""The table of what is in force, held against a plain model over random histories."""

from collections.abc import Iterable

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from burlloom.distribution import leaves
from burlloom.distribution.changes import (
    ITEM_KINDS,
    MAX_KEY_BYTES,
    MAX_SCOPE_BYTES,
    MAX_VALUE_BYTES,
    ConfigItem,
)
from burlloom.distribution.table import (
    BUCKET_COUNT,
    MAX_ITEM_BYTES,
    MAX_PUT_ITEMS,
    MAX_TABLE_SCOPES,
    ConfigTable,
    Page,
    bucket_of,
    item_digest,
)
from burlloom.distribution.tenant_shares import TenantShares

REGION = "north"
SCOPES = ("", REGION)


def keys_of_bucket(bucket: int, count: int) -> list[str]:
    """Keys that share a bucket as tenants, so that leaves part and join."""
    found: list[str] = []
    number = 0
    while len(found) < count:
        if bucket_of("tenant", key := f"t{number}") == bucket:
            found.append(key)
        number += 1
    return found


CROWDED = keys_of_bucket(7, 200)


class Model:
    """A plain dict by (scope, kind, key)."""

    def __init__(self, scopes: tuple[str, ...]) -> None:
        self.rows: dict[tuple[str, str, str], bytes] = {}
        self.scopes = scopes

    def put(self, entries: Iterable[ConfigItem]) -> None:
        for entry in entries:
            if entry.value is None:
                self.rows.pop(entry[:3], None)
            else:
                self.rows[entry[:3]] = entry.value

    def get(self, kind: str, key: str) -> bytes | None:
        for scope in sorted(self.scopes, reverse=True):  # the region before ""
            if (scope, kind, key) in self.rows:
                return self.rows[scope, kind, key]
        return None

    def bucket(self, bucket: int, scopes: Iterable[str]) -> list[ConfigItem]:
        return [
            ConfigItem(*place, value)
            for place, value in sorted(self.rows.items())
            if place[0] in set(scopes) and bucket_of(*place[1:]) == bucket
        ]

    def digests(self, scopes: Iterable[str]) -> tuple[int, ...]:
        whole = [0] * BUCKET_COUNT
        for place, value in self.rows.items():
            if place[0] in set(scopes):
                whole[bucket_of(*place[1:])] ^= item_digest(*place, value)
        return tuple(whole)


def whole(
    table: ConfigTable, bucket: int, scopes: Iterable[str] | None, most: int = MAX_ITEM_BYTES
) -> list[ConfigItem]:
    found: list[ConfigItem] = []
    after = None
    while True:
        page = table.page(bucket, after, scopes, most)
        assert page.last_position == (page.items[-1][:3] if page.items else None)
        assert sum(len(msgpack.packb(entry)) for entry in page.items) <= most
        assert (
            after is None or page.last_position is None or page.last_position > after
        )  # or a test would never end
        found += page.items
        if page.is_last:
            return found
        assert page.items
        after = page.last_position


def same(table: ConfigTable, model: Model) -> None:
    assert table.item_count() == len(model.rows)
    for kind in ITEM_KINDS:
        seen = {place[2] for place in model.rows if place[1] == kind}
        assert table.count(kind) == len(seen)
        assert sorted(table.keys(kind)) == sorted(seen)
    for scopes in ((), ("",), (REGION,), SCOPES):
        assert table.digests_of(scopes) == model.digests(scopes)
        whole_digest = 0
        for digest in model.digests(scopes):
            whole_digest ^= digest
        assert table.digest_of(scopes) == whole_digest
    assert table.digests() == model.digests(SCOPES) == table.digests_of(None)
    assert table.digest() == table.digest_of(SCOPES) == table.digest_of(None)


key = st.one_of(
    st.sampled_from(CROWDED), st.text(st.characters(codec="utf-8"), min_size=1, max_size=8)
)
value = st.one_of(
    st.none(), st.binary(max_size=40), st.just(b"\xfft1\xff"), st.just(b"x" * MAX_VALUE_BYTES)
)
entry = st.builds(ConfigItem, st.sampled_from(SCOPES), st.sampled_from(ITEM_KINDS), key, value)
crowd = st.builds(
    lambda scope, start, count, value: [
        ConfigItem(scope, "tenant", one, value) for one in CROWDED[start : start + count]
    ],
    st.sampled_from(SCOPES),
    st.integers(0, 199),
    st.integers(1, 200),
    st.one_of(st.none(), st.binary(max_size=9)),
)
puts = st.one_of(st.lists(entry, max_size=64), crowd)


@settings(max_examples=150, deadline=None)
@given(st.lists(puts, max_size=14))
def test_any_history_is_as_a_plain_dict(history: list[list[ConfigItem]]) -> None:
    table, model = ConfigTable(SCOPES), Model(SCOPES)
    for entries in history:
        table.put(entries)
        model.put(entries)
    same(table, model)
    named = {one[1:3] for entries in history for one in entries}
    for one in named | {("tenant", one) for one in CROWDED[:9]}:
        assert table.get(*one) == model.get(*one)
        assert table.has(*one) == (model.get(*one) is not None)
        assert table.items_of_key(*one) == [
            ConfigItem(scope, *one, model.rows[scope, *one])
            for scope in SCOPES
            if (scope, *one) in model.rows
        ]
    for bucket in {7} | {bucket_of(*place[1:]) for place in model.rows}:
        for scopes in (("",), (REGION,), SCOPES):
            assert whole(table, bucket, scopes) == model.bucket(bucket, scopes)
    assert whole(table, 7, SCOPES, 1_300) == whole(table, 7, None) == model.bucket(7, SCOPES)


@settings(max_examples=100, deadline=None)
@given(st.lists(puts, max_size=8), st.lists(puts, max_size=8), st.integers(MAX_ITEM_BYTES, 3_000))
def test_pages_of_another_table_make_it_the_same(
    ours: list[list[ConfigItem]], theirs: list[list[ConfigItem]], most: int
) -> None:
    """Only the buckets that differ are laid anew, and the count is of the entries that differed."""
    there, here, model = ConfigTable(None), ConfigTable(SCOPES), Model(SCOPES)
    for entries in theirs:
        there.put(entries)
    there.put(
        [ConfigItem("south", "tenant", one, b"\x80") for one in CROWDED[:9]]
    )  # a scope not held here
    for entries in ours:
        here.put(entries)
        model.put(entries)
    before, differed, after_all = dict(model.rows), 0, Model(SCOPES)
    for bucket in range(BUCKET_COUNT):
        if here.digests()[bucket] != there.digests_of(SCOPES)[bucket]:
            after = None
            while True:
                page = there.page(bucket, after, SCOPES, most)
                differed += here.replace(bucket, after, page)
                assert here.replace(bucket, after, page) == 0
                if page.is_last:
                    break
                assert page.last_position is not None
                assert after is None or page.last_position > after
                after = page.last_position
    for bucket in range(BUCKET_COUNT):
        after_all.put(whole(there, bucket, SCOPES))
    same(here, after_all)
    assert differed == len(
        {
            place
            for place in {*before, *after_all.rows}
            if before.get(place) != after_all.rows.get(place)
        }
    )


@settings(max_examples=60, deadline=None)
@given(crowd, crowd, st.integers(0, 199))
def test_a_page_touches_nothing_outside_of_its_range(
    ours: list[ConfigItem], theirs: list[ConfigItem], start: int
) -> None:
    here, there, model = ConfigTable(SCOPES), ConfigTable(SCOPES), Model(SCOPES)
    for table, entries in ((here, ours), (there, theirs)):
        table.put(entries)
    model.put(ours)
    after = ("", "tenant", sorted(CROWDED)[start])
    page = there.page(7, after, SCOPES, MAX_ITEM_BYTES)
    here.replace(7, after, page)
    outside = [
        one
        for one in model.bucket(7, SCOPES)
        if one[:3] <= after
        or not page.is_last
        and page.last_position is not None
        and one[:3] > page.last_position
    ]
    expected = sorted([*outside, *page.items])
    assert whole(here, 7, SCOPES) == expected


def test_the_own_region_comes_before_everywhere() -> None:
    table = ConfigTable(SCOPES)
    table.put(
        [
            ConfigItem("", "tenant", "a", b"1"),
            ConfigItem(REGION, "tenant", "a", b"2"),
            ConfigItem("", "tenant", "b", b"3"),
        ]
    )
    assert (table.get("tenant", "a"), table.get("tenant", "b")) == (b"2", b"3")
    assert (table.count("tenant"), table.item_count()) == (2, 3)
    table.put([ConfigItem(REGION, "tenant", "a", None)])
    assert (table.get("tenant", "a"), table.count("tenant"), table.item_count()) == (b"1", 2, 2)


def test_a_control_machine_holds_every_scope() -> None:
    table = ConfigTable(None)
    table.put(
        [
            ConfigItem("", "route", "a", b"1"),
            *(ConfigItem(f"r{n}", "route", "a", b"2") for n in range(6)),
        ]
    )
    assert (table.get("route", "a"), table.count("route")) == (b"1", 1)
    assert (table.item_count(), len(table.items_of_key("route", "a"))) == (7, 7)
    with pytest.raises(ValueError, match="scopes: over"):
        table.put([ConfigItem(f"x{n}", "route", "a", b"2") for n in range(MAX_TABLE_SCOPES)])
    assert table.item_count() == 7


@pytest.mark.parametrize(
    ("wrong", "reason"),
    [
        (
            ConfigItem("", "tenant", "k" * (MAX_KEY_BYTES + 1), b""),
            "key: 129 bytes, 1 to 128 allowed",
        ),
        (ConfigItem("", "tenant", "é" * 65, b""), "key: 130 bytes"),
        (ConfigItem("", "tenant", "", b""), "key: 0 bytes"),
        (ConfigItem("", "tenant", "\ud800", b""), "key: not text of UTF-8"),
        (ConfigItem("", "tenant", 7, b""), "key: not text of UTF-8"),  # type: ignore[arg-type]
        (
            ConfigItem("", "tenant", "k", b"v" * (MAX_VALUE_BYTES + 1)),
            "value: 513 bytes, at most 512 allowed",
        ),
        (ConfigItem("", "tenant", "k", "text"), "value: not bytes"),  # type: ignore[arg-type]
        (ConfigItem("", ["route"], "k", b""), "kind: ['route'] is none of"),  # type: ignore[arg-type]
        (ConfigItem("", "caller", "k", b""), "kind: 'caller' is none of route, setting, tenant"),
        (ConfigItem("s" * (MAX_SCOPE_BYTES + 1), "tenant", "k", b""), "scope: 65 bytes"),
        (ConfigItem("south", "tenant", "k", b""), "scope: 'south' is not held here"),
    ],
)
def test_what_cant_be_held_is_refused_whole_with_its_place(wrong: ConfigItem, reason: str) -> None:
    table = ConfigTable(SCOPES)
    with pytest.raises(ValueError) as caught:
        table.put([ConfigItem("", "tenant", "good", b""), wrong])
    assert f"entries[1].{reason}" in str(caught.value)
    assert table.item_count() == 0
    assert table.digest() == 0


def test_all_faults_are_told_at_once() -> None:
    with pytest.raises(
        ValueError, match=r"entries\[0\]\.key: .*entries\[0\]\.value: .*entries\[2\]\.kind: "
    ):
        ConfigTable(None).put(
            [
                ConfigItem("", "tenant", "", b"v" * 600),
                ConfigItem("", "tenant", "k", b""),
                ConfigItem("", "x", "k", b""),
            ]
        )


def test_more_entries_than_a_put_may_have() -> None:
    table = ConfigTable(None)
    with pytest.raises(ValueError, match=f"over {MAX_PUT_ITEMS} entries"):
        table.put(ConfigItem("", "tenant", f"k{n}", b"") for n in range(10**9))
    assert table.item_count() == 0


def test_the_largest_entries_fill_a_leaf_and_a_page() -> None:
    table, model = ConfigTable(None), Model(("",))
    names = (f"{n}".ljust(MAX_KEY_BYTES, "z") for n in range(60_000))
    keys = [one for one in names if bucket_of("tenant", one) == 3][:150]
    entries = [ConfigItem("", "tenant", one, b"\xff" * MAX_VALUE_BYTES) for one in keys]
    table.put(entries)
    model.put(entries)
    assert whole(table, 3, ("",)) == model.bucket(3, ("",))
    assert len(table.page(3, None, ("",), 1_400).items) == 2


@pytest.mark.parametrize(
    ("page", "reason"),
    [
        (
            Page((ConfigItem("", "tenant", CROWDED[0], None),), ("", "tenant", CROWDED[0]), True),
            "deletes",
        ),
        (
            Page((ConfigItem("", "tenant", CROWDED[0], b""),), None, True),
            "last: is not the last entry",
        ),
        (Page((), None, False), "done: a page of nothing"),
        (Page((), ("", "tenant", "a"), False), "last: is not the last entry"),
        (
            Page(
                tuple(
                    ConfigItem("", "tenant", one, b"") for one in sorted(CROWDED[:3], reverse=True)
                ),
                ("", "tenant", min(CROWDED[:3])),
                True,
            ),
            "is not behind the one before",
        ),
        (
            Page((ConfigItem("", "tenant", "elsewhere", b""),), ("", "tenant", "elsewhere"), True),
            "is of another bucket",
        ),
        (
            Page(
                (ConfigItem("south", "tenant", CROWDED[0], b""),),
                ("south", "tenant", CROWDED[0]),
                True,
            ),
            "is not held here",
        ),
    ],
)
def test_a_page_that_contradicts_itself_is_refused_whole(page: Page, reason: str) -> None:
    table = ConfigTable(SCOPES)
    table.put([ConfigItem("", "tenant", one, b"kept") for one in CROWDED[:20]])
    before = table.digests()
    with pytest.raises(ValueError, match=reason):
        table.replace(7, None, page)
    assert table.digests() == before


def test_bounds_of_buckets_scopes_and_pages() -> None:
    table = ConfigTable(SCOPES)
    for bucket, most in ((-1, 2000), (BUCKET_COUNT, 2000), (0, MAX_ITEM_BYTES - 1)):
        with pytest.raises(ValueError):
            table.page(bucket, None, SCOPES, most)
    for after in (("", "caller", "k"), ("", "tenant", "\ud800"), ("", "tenant", "k" * 200)):
        with pytest.raises(ValueError, match=r"after\."):
            table.page(0, after, SCOPES, 2000)
        with pytest.raises(ValueError, match=r"after\."):
            table.replace(0, after, Page((), None, True))
    with pytest.raises(ValueError):
        table.replace(BUCKET_COUNT, None, Page((), None, True))
    for scopes in ((), tuple(str(n) for n in range(MAX_TABLE_SCOPES + 1))):
        with pytest.raises(ValueError):
            ConfigTable(scopes)


def test_leaves_stay_small_and_join_again() -> None:
    """Beyond what a history of a few puts reaches: a bucket of 3,000, then most of them deleted."""
    keys = keys_of_bucket(9, 3_000)
    table = ConfigTable(None)
    for start in range(0, 3_000, 50):
        table.put([ConfigItem("", "tenant", one, b"v") for one in keys[start : start + 50]])
    bucket = table.scope_tables_by_name[""].buckets[9]
    sizes = [len(leaves.unpack_leaf(leaf)[0]) for leaf in bucket.leaves]
    assert max(sizes) <= leaves.MAX_LEAF_ITEMS
    assert min(sizes) >= leaves.MIN_LEAF_ITEMS
    for start in range(0, 2_950, 50):
        table.put([ConfigItem("", "tenant", one, None) for one in keys[start : start + 50]])
    assert len(bucket.leaves) <= 50 // leaves.MIN_LEAF_ITEMS + 1
    assert sorted(table.keys("tenant")) == sorted(keys[2_950:])
    table.put([ConfigItem("", "tenant", one, None) for one in keys[2_950:]])
    assert (len(bucket.leaves), table.digest(), table.digests()) == (1, 0, (0,) * BUCKET_COUNT)


def test_keys_that_stay_come_once_while_the_table_changes() -> None:
    table = ConfigTable(SCOPES)
    table.put([ConfigItem("", "tenant", one, b"v") for one in CROWDED])
    seen = []
    for number, one in enumerate(table.keys("tenant")):
        seen.append(one)
        table.put(
            [
                ConfigItem("", "tenant", f"new{number}", b"v"),
                ConfigItem("", "tenant", CROWDED[number % 100], None),
            ]
        )
        if number > 5_000:
            pytest.fail("never ends")
    assert [one for one in seen if one in CROWDED[100:]] == sorted(CROWDED[100:])


def test_tenants_as_the_server_reads_them() -> None:
    table = ConfigTable(SCOPES)
    tenants = TenantShares(table)
    assert not tenants
    table.put(
        [
            ConfigItem("", "tenant", "a", msgpack.packb({"portion": 2})),
            ConfigItem(REGION, "tenant", "a", msgpack.packb({"portion": 0.5})),
            ConfigItem("", "tenant", "b", msgpack.packb({})),
            ConfigItem("", "route", "c", b"\x80"),
            ConfigItem("", "tenant", "bad", b"\xc1"),
            ConfigItem("", "tenant", "word", msgpack.packb({"portion": "much"})),
        ]
    )
    assert len(tenants) == 4
    assert sorted(tenants) == ["a", "b", "bad", "word"]
    assert (tenants["a"], tenants["b"], tenants.get("c")) == (0.5, 1.0, None)
    for name in ("c", None, 7, b"a", ["a"], {}, "\ud800", ""):
        assert name not in tenants
    for name in ("bad", "word"):
        with pytest.raises(ValueError):
            tenants[name]


def test_a_value_that_looks_like_a_key_is_none() -> None:
    """Keys of a leaf are found by one search; what stands in its values must never be taken for
    one.
    """
    table, hidden = ConfigTable(None), CROWDED[1]
    lie = b"\xfft" + hidden.encode() + b"\xff"
    table.put([ConfigItem("", "tenant", CROWDED[0], lie)])
    assert (table.get("tenant", hidden), table.has("tenant", hidden)) == (None, False)
    assert table.count("tenant") == 1
    table.put([ConfigItem("", "tenant", hidden, None)])
    assert table.get("tenant", CROWDED[0]) == lie
    table.put([ConfigItem("", "tenant", hidden, b"true")])
    assert (table.get("tenant", hidden), table.get("tenant", CROWDED[0])) == (b"true", lie)
    assert table.count("tenant") == 2
