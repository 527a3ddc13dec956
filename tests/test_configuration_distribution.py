"""What a control machine makes of its store, and what a copy is logged as, without processes."""

import asyncio
import logging
import os
from pathlib import Path
from typing import Any

import msgpack
import pytest

from burlloom.distribution.change_log import MAX_LOGGED_CHANGES
from burlloom.distribution.changes import (
    Change,
    ConfigItem,
    Head,
    encode_items,
    initial_head,
    next_change,
)
from burlloom.distribution.replica import Replica
from burlloom.distribution.status_report import HeadLogger, KeyFile
from burlloom.distribution.stores.sqlite import SqliteChangeStore
from burlloom.distribution.stores.store_follower import StoreFollower, StoreInconsistentError
from burlloom.distribution.table import ConfigTable

SIGNING = b"s" * 32
SECOND = 1_000_000_000


def tenant(name: str, **value: Any) -> ConfigItem:
    return ConfigItem("", "tenant", name, msgpack.packb(value))


def replica(*entries: ConfigItem) -> Replica:
    made = Replica(ConfigTable(("", "north")), (SIGNING,))
    made.load(initial_head(1, 0), entries)
    return made


def change(before: Head, *entries: ConfigItem) -> Change:
    return next_change(before, "", encode_items(entries), 1, SIGNING)


class Told:
    def __init__(self) -> None:
        self.loads, self.renewals = 0, 0

    def on_table_loaded(self, head: Head) -> None:
        self.loads += 1

    def on_epoch_begun(self, seen: Head, own: Head) -> None:
        self.renewals += 1


def test_a_store_is_followed(tmp_path: Path) -> None:
    async def play() -> None:
        store, held, told = (
            SqliteChangeStore(tmp_path / "changes.db"),
            Replica(ConfigTable(None), (SIGNING,)),
            Told(),
        )
        await store.open()

        async def put(*entries: ConfigItem, key: bytes = SIGNING) -> None:
            assert await store.append(
                next_change(await store.head(), "", encode_items(entries), 1, key)
            )

        await put(tenant("a"))
        reading = StoreFollower(store, held, lambda: ConfigTable(None), told)
        await reading.poll()
        assert held.head == await store.head()
        assert held.table.has("tenant", "a")
        assert told.loads == 1
        for n in range(100):
            await put(tenant(f"t{n}"))
        await reading.poll()
        assert held.head == await store.head()
        assert held.table.count("tenant") == 101
        assert told.loads == 1
        assert len(held.log) == 100

        # A sync with a peer was under way as the store came back.
        held.is_partial = True
        await reading.poll()
        assert held.is_complete
        assert told.loads == 2

        # Away for longer than the log reaches.
        far = held.head
        assert far is not None
        await store.execute(
            "UPDATE distribution_head SET revision = revision + $1::bigint", 2 * MAX_LOGGED_CHANGES
        )
        await put(tenant("far"))
        await reading.poll()
        assert told.loads == 3
        assert held.head == await store.head()
        assert held.table.has("tenant", "far")

        # Put back, and written to past where we are, before we looked.
        await store.execute("UPDATE distribution_head SET revision = 1, tag = $1::bytea", b"t" * 16)
        await store.execute("DELETE FROM distribution_change WHERE revision > $1::bigint", 0)
        await store.execute("DELETE FROM distribution_entry WHERE key = $1::bytea", b"far")
        before = held.head
        for n in range(3):
            await put(tenant(f"other{n}"))
        await reading.poll()  # it is behind
        assert told.renewals == 1
        await reading.poll()
        assert told.loads == 4
        assert held.head is not None
        assert held.head.epoch > before.epoch
        assert held.table.has("tenant", "other0")
        assert not held.table.has("tenant", "far")
        await put(tenant("x"))
        await reading.poll()
        mark = held.head
        saved = await store.execute("SELECT revision, tag FROM distribution_head WHERE id = 1")
        await put(tenant("y"))
        await reading.poll()
        await store.execute(
            "DELETE FROM distribution_change WHERE revision = $1::bigint", mark.revision + 1
        )
        await store.execute(
            "UPDATE distribution_head SET revision = $1::bigint, tag = $2::bytea", *saved[0]
        )
        for name in ("z", "zz"):
            await put(tenant(name))
        assert (await store.head()).revision > held.head.revision, "ahead of us, on another way"
        await reading.poll()
        assert told.renewals == 2
        await reading.poll()
        assert held.head == await store.head()
        assert held.table.has("tenant", "zz")

        # Chained with another key: not believed, and no epoch begun for it.
        await put(tenant("evil"), key=b"e" * 32)
        with pytest.raises(StoreInconsistentError, match="tag does not continue the chain"):
            await reading.poll()
        assert told.renewals == 2
        assert not held.table.has("tenant", "evil")
        await store.close()

    asyncio.run(play())


def test_lines_tell_what_was_applied(caplog: pytest.LogCaptureFixture) -> None:
    held = Replica(ConfigTable(("", "north")), (SIGNING,))
    telling = HeadLogger(held)
    with caplog.at_level(logging.INFO):
        telling.log_moves()
        held.load(initial_head(7, 0))
        for n in range(3):
            assert held.head is not None
            assert held.apply_change(change(held.head, tenant(f"t{n}"))) is None
        telling.log_moves()
        telling.log_moves()
        assert held.head is not None
        assert held.apply_change(change(held.head, tenant("u"))) is None
        telling.log_moves()
        held.complete_at(held.head._replace(revision=20))
        telling.log_moves()
    lines = [line.getMessage().split(" tag=")[0] for line in caplog.records]
    assert lines == [
        "event=config_synced epoch=7 revision=0",
        "event=config_changes_applied epoch=7 from=1 to=3",
        "event=config_changes_applied epoch=7 from=4 to=4",
        "event=config_synced epoch=7 revision=20",
    ]


def test_a_key_file_that_can_not_be_used_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "key"
    path.write_text("aa" * 16)
    keys = KeyFile(
        path, lambda: tuple(bytes.fromhex(line) for line in path.read_text().split()), "seals"
    )
    assert not keys.reload_if_changed()
    for at, (text, changed, count) in enumerate(
        (
            ("bb" * 16 + "\n" + "aa" * 16, True, 2),
            ("no hex", False, 2),
            ("", False, 2),
            ("cc" * 16, True, 1),
        )
    ):
        path.write_text(text)

        os.utime(path, (at, at))
        assert keys.reload_if_changed() == changed
        assert len(keys.keys) == count
