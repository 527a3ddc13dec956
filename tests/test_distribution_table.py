"""The configuration table, compared with a plain dict over random histories, and its bounds."""

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
    """Returns tenant keys that share a bucket, so that its leaves split and merge."""
    keys: list[str] = []
    number = 0
    while len(keys) < count:
        if bucket_of("tenant", key := f"t{number}") == bucket:
            keys.append(key)
        number += 1
    return keys


BUCKET_7_KEYS = keys_of_bucket(7, 200)


class Model:
    """Model of the table: a plain dict by (scope, kind, key)."""

    def __init__(self, scopes: tuple[str, ...]) -> None:
        self.values_by_position: dict[tuple[str, str, str], bytes] = {}
        self.scopes = scopes

    def put(self, items: Iterable[ConfigItem]) -> None:
        for item in items:
            if item.value is None:
                self.values_by_position.pop(item[:3], None)
            else:
                self.values_by_position[item[:3]] = item.value

    def get(self, kind: str, key: str) -> bytes | None:
        for scope in sorted(self.scopes, reverse=True):  # the region before ""
            if (scope, kind, key) in self.values_by_position:
                return self.values_by_position[scope, kind, key]
        return None

    def bucket(self, bucket: int, scopes: Iterable[str]) -> list[ConfigItem]:
        return [
            ConfigItem(*position, value)
            for position, value in sorted(self.values_by_position.items())
            if position[0] in set(scopes) and bucket_of(*position[1:]) == bucket
        ]

    def digests(self, scopes: Iterable[str]) -> tuple[int, ...]:
        digests = [0] * BUCKET_COUNT
        for position, value in self.values_by_position.items():
            if position[0] in set(scopes):
                digests[bucket_of(*position[1:])] ^= item_digest(*position, value)
        return tuple(digests)


def all_items_of_bucket(
    table: ConfigTable, bucket: int, scopes: Iterable[str] | None, max_bytes: int = MAX_ITEM_BYTES
) -> list[ConfigItem]:
    items: list[ConfigItem] = []
    after = None
    while True:
        page = table.page(bucket, after, scopes, max_bytes)
        assert page.last_position == (page.items[-1][:3] if page.items else None)
        assert sum(len(msgpack.packb(item)) for item in page.items) <= max_bytes
        assert (
            after is None or page.last_position is None or page.last_position > after
        )  # otherwise a test would never end
        items += page.items
        if page.is_last:
            return items
        assert page.items
        after = page.last_position


def assert_equal(table: ConfigTable, model: Model) -> None:
    assert table.item_count() == len(model.values_by_position)
    for kind in ITEM_KINDS:
        expected_keys = {
            position[2] for position in model.values_by_position if position[1] == kind
        }
        assert table.count(kind) == len(expected_keys)
        assert sorted(table.keys(kind)) == sorted(expected_keys)
    for scopes in ((), ("",), (REGION,), SCOPES):
        assert table.digests_of(scopes) == model.digests(scopes)
        whole_digest = 0
        for digest in model.digests(scopes):
            whole_digest ^= digest
        assert table.digest_of(scopes) == whole_digest
    assert table.digests() == model.digests(SCOPES) == table.digests_of(None)
    assert table.digest() == table.digest_of(SCOPES) == table.digest_of(None)


any_key = st.one_of(
    st.sampled_from(BUCKET_7_KEYS), st.text(st.characters(codec="utf-8"), min_size=1, max_size=8)
)
any_value = st.one_of(
    st.none(), st.binary(max_size=40), st.just(b"\xfft1\xff"), st.just(b"x" * MAX_VALUE_BYTES)
)
item = st.builds(
    ConfigItem, st.sampled_from(SCOPES), st.sampled_from(ITEM_KINDS), any_key, any_value
)
bucket_items = st.builds(
    lambda scope, start, count, value: [
        ConfigItem(scope, "tenant", key, value) for key in BUCKET_7_KEYS[start : start + count]
    ],
    st.sampled_from(SCOPES),
    st.integers(0, 199),
    st.integers(1, 200),
    st.one_of(st.none(), st.binary(max_size=9)),
)
put_items = st.one_of(st.lists(item, max_size=64), bucket_items)


@settings(max_examples=150, deadline=None)
@given(st.lists(put_items, max_size=14))
def test_the_table_equals_a_plain_dict_after_any_history(history: list[list[ConfigItem]]) -> None:
    table, model = ConfigTable(SCOPES), Model(SCOPES)
    for items in history:
        table.put(items)
        model.put(items)
    assert_equal(table, model)
    used_keys = {kind_and_key[1:3] for items in history for kind_and_key in items}
    for kind_and_key in used_keys | {
        ("tenant", kind_and_key) for kind_and_key in BUCKET_7_KEYS[:9]
    }:
        assert table.get(*kind_and_key) == model.get(*kind_and_key)
        assert table.has(*kind_and_key) == (model.get(*kind_and_key) is not None)
        assert table.items_of_key(*kind_and_key) == [
            ConfigItem(scope, *kind_and_key, model.values_by_position[scope, *kind_and_key])
            for scope in SCOPES
            if (scope, *kind_and_key) in model.values_by_position
        ]
    for bucket in {7} | {bucket_of(*position[1:]) for position in model.values_by_position}:
        for scopes in (("",), (REGION,), SCOPES):
            assert all_items_of_bucket(table, bucket, scopes) == model.bucket(bucket, scopes)
    assert (
        all_items_of_bucket(table, 7, SCOPES, 1_300)
        == all_items_of_bucket(table, 7, None)
        == model.bucket(7, SCOPES)
    )


@settings(max_examples=100, deadline=None)
@given(
    st.lists(put_items, max_size=8),
    st.lists(put_items, max_size=8),
    st.integers(MAX_ITEM_BYTES, 3_000),
)
def test_pages_of_another_table_make_a_table_equal_to_it(
    own_items: list[list[ConfigItem]], other_items: list[list[ConfigItem]], max_bytes: int
) -> None:
    """Only the buckets that differ are replaced, and the count is that of the items that differed."""
    other_table, table, model = ConfigTable(None), ConfigTable(SCOPES), Model(SCOPES)
    for items in other_items:
        other_table.put(items)
    other_table.put(
        [ConfigItem("south", "tenant", key, b"\x80") for key in BUCKET_7_KEYS[:9]]
    )  # a scope that the table does not hold
    for items in own_items:
        table.put(items)
        model.put(items)
    before, differed, expected = dict(model.values_by_position), 0, Model(SCOPES)
    for bucket in range(BUCKET_COUNT):
        if table.digests()[bucket] != other_table.digests_of(SCOPES)[bucket]:
            after = None
            while True:
                page = other_table.page(bucket, after, SCOPES, max_bytes)
                differed += table.replace(bucket, after, page)
                assert table.replace(bucket, after, page) == 0
                if page.is_last:
                    break
                assert page.last_position is not None
                assert after is None or page.last_position > after
                after = page.last_position
    for bucket in range(BUCKET_COUNT):
        expected.put(all_items_of_bucket(other_table, bucket, SCOPES))
    assert_equal(table, expected)
    assert differed == len(
        {
            position
            for position in {*before, *expected.values_by_position}
            if before.get(position) != expected.values_by_position.get(position)
        }
    )


@settings(max_examples=60, deadline=None)
@given(bucket_items, bucket_items, st.integers(0, 199))
def test_a_page_changes_nothing_outside_of_its_range(
    own_items: list[ConfigItem], other_items: list[ConfigItem], start: int
) -> None:
    table, other_table, model = ConfigTable(SCOPES), ConfigTable(SCOPES), Model(SCOPES)
    for each_table, items in ((table, own_items), (other_table, other_items)):
        each_table.put(items)
    model.put(own_items)
    after = ("", "tenant", sorted(BUCKET_7_KEYS)[start])
    page = other_table.page(7, after, SCOPES, MAX_ITEM_BYTES)
    table.replace(7, after, page)
    outside = [
        item
        for item in model.bucket(7, SCOPES)
        if item[:3] <= after
        or not page.is_last
        and page.last_position is not None
        and item[:3] > page.last_position
    ]
    expected = sorted([*outside, *page.items])
    assert all_items_of_bucket(table, 7, SCOPES) == expected


def test_items_of_the_own_region_hide_those_of_all_regions() -> None:
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


def test_a_table_of_all_scopes_looks_up_the_empty_scope_only() -> None:
    table = ConfigTable(None)
    table.put(
        [
            ConfigItem("", "route", "a", b"1"),
            *(ConfigItem(f"r{n}", "route", "a", b"2") for n in range(6)),
        ]
    )
    assert (table.get("route", "a"), table.count("route")) == (b"1", 1)
    assert (table.item_count(), len(table.items_of_key("route", "a"))) == (7, 7)
    with pytest.raises(ValueError, match="scopes: more than 64"):
        table.put([ConfigItem(f"x{n}", "route", "a", b"2") for n in range(MAX_TABLE_SCOPES)])
    assert table.item_count() == 7


@pytest.mark.parametrize(
    ("invalid_item", "reason"),
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
def test_an_invalid_item_is_refused_with_its_place_and_without_effect(
    invalid_item: ConfigItem, reason: str
) -> None:
    table = ConfigTable(SCOPES)
    with pytest.raises(ValueError) as caught:
        table.put([ConfigItem("", "tenant", "good", b""), invalid_item])
    assert f"entries[1].{reason}" in str(caught.value)
    assert table.item_count() == 0
    assert table.digest() == 0


def test_all_faults_of_a_put_are_reported_at_once() -> None:
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


def test_a_put_of_too_many_items_is_refused() -> None:
    table = ConfigTable(None)
    with pytest.raises(ValueError, match=f"more than {MAX_PUT_ITEMS} entries"):
        table.put(ConfigItem("", "tenant", f"k{n}", b"") for n in range(10**9))
    assert table.item_count() == 0


def test_items_of_the_largest_size_are_stored_and_paged() -> None:
    table, model = ConfigTable(None), Model(("",))
    names = (f"{n}".ljust(MAX_KEY_BYTES, "z") for n in range(60_000))
    keys = [key for key in names if bucket_of("tenant", key) == 3][:150]
    items = [ConfigItem("", "tenant", key, b"\xff" * MAX_VALUE_BYTES) for key in keys]
    table.put(items)
    model.put(items)
    assert all_items_of_bucket(table, 3, ("",)) == model.bucket(3, ("",))
    assert len(table.page(3, None, ("",), 1_400).items) == 2


@pytest.mark.parametrize(
    ("page", "reason"),
    [
        (
            Page(
                (ConfigItem("", "tenant", BUCKET_7_KEYS[0], None),),
                ("", "tenant", BUCKET_7_KEYS[0]),
                True,
            ),
            "has no value",
        ),
        (
            Page((ConfigItem("", "tenant", BUCKET_7_KEYS[0], b""),), None, True),
            "last_position: not the position of the last entry",
        ),
        (Page((), None, False), "is_last: False for a page without entries"),
        (Page((), ("", "tenant", "a"), False), "last_position: not the position of the last entry"),
        (
            Page(
                tuple(
                    ConfigItem("", "tenant", key, b"")
                    for key in sorted(BUCKET_7_KEYS[:3], reverse=True)
                ),
                ("", "tenant", min(BUCKET_7_KEYS[:3])),
                True,
            ),
            "is not after the previous position",
        ),
        (
            Page((ConfigItem("", "tenant", "elsewhere", b""),), ("", "tenant", "elsewhere"), True),
            "belongs to another bucket",
        ),
        (
            Page(
                (ConfigItem("south", "tenant", BUCKET_7_KEYS[0], b""),),
                ("south", "tenant", BUCKET_7_KEYS[0]),
                True,
            ),
            "is not held here",
        ),
    ],
)
def test_an_inconsistent_page_is_refused_without_effect(page: Page, reason: str) -> None:
    table = ConfigTable(SCOPES)
    table.put([ConfigItem("", "tenant", key, b"kept") for key in BUCKET_7_KEYS[:20]])
    before = table.digests()
    with pytest.raises(ValueError, match=reason):
        table.replace(7, None, page)
    assert table.digests() == before


def test_invalid_buckets_positions_page_sizes_and_scopes_are_refused() -> None:
    table = ConfigTable(SCOPES)
    for bucket, max_bytes in ((-1, 2000), (BUCKET_COUNT, 2000), (0, MAX_ITEM_BYTES - 1)):
        with pytest.raises(ValueError):
            table.page(bucket, None, SCOPES, max_bytes)
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


def test_leaves_split_and_merge_within_their_bounds() -> None:
    """A bucket of 3,000 items, of which most are then deleted: more than random histories reach."""
    keys = keys_of_bucket(9, 3_000)
    table = ConfigTable(None)
    for start in range(0, 3_000, 50):
        table.put([ConfigItem("", "tenant", key, b"v") for key in keys[start : start + 50]])
    bucket = table.scope_tables_by_name[""].buckets[9]
    sizes = [len(leaves.unpack_leaf(leaf)[0]) for leaf in bucket.leaves]
    assert max(sizes) <= leaves.MAX_LEAF_ITEMS
    assert min(sizes) >= leaves.MIN_LEAF_ITEMS
    for start in range(0, 2_950, 50):
        table.put([ConfigItem("", "tenant", key, None) for key in keys[start : start + 50]])
    assert len(bucket.leaves) <= 50 // leaves.MIN_LEAF_ITEMS + 1
    assert sorted(table.keys("tenant")) == sorted(keys[2_950:])
    table.put([ConfigItem("", "tenant", key, None) for key in keys[2_950:]])
    assert (len(bucket.leaves), table.digest(), table.digests()) == (1, 0, (0,) * BUCKET_COUNT)


def test_keys_yields_permanent_keys_once_while_the_table_changes() -> None:
    table = ConfigTable(SCOPES)
    table.put([ConfigItem("", "tenant", key, b"v") for key in BUCKET_7_KEYS])
    seen = []
    for number, key in enumerate(table.keys("tenant")):
        seen.append(key)
        table.put(
            [
                ConfigItem("", "tenant", f"new{number}", b"v"),
                ConfigItem("", "tenant", BUCKET_7_KEYS[number % 100], None),
            ]
        )
        if number > 5_000:
            pytest.fail("the iteration does not end")
    assert [key for key in seen if key in BUCKET_7_KEYS[100:]] == sorted(BUCKET_7_KEYS[100:])


def test_tenant_shares_of_the_table() -> None:
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


def test_a_key_inside_a_value_is_not_found_as_an_item() -> None:
    """Keys of a leaf are found by a byte search, which must not match bytes inside of values."""
    table, absent_key = ConfigTable(None), BUCKET_7_KEYS[1]
    misleading_value = b"\xfft" + absent_key.encode() + b"\xff"
    table.put([ConfigItem("", "tenant", BUCKET_7_KEYS[0], misleading_value)])
    assert (table.get("tenant", absent_key), table.has("tenant", absent_key)) == (None, False)
    assert table.count("tenant") == 1
    table.put([ConfigItem("", "tenant", absent_key, None)])
    assert table.get("tenant", BUCKET_7_KEYS[0]) == misleading_value
    table.put([ConfigItem("", "tenant", absent_key, b"true")])
    assert (table.get("tenant", absent_key), table.get("tenant", BUCKET_7_KEYS[0])) == (
        b"true",
        misleading_value,
    )
    assert table.count("tenant") == 2
