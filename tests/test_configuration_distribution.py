"""A control machine's replica of its store, its log lines and its key files, without processes."""

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

SIGNING_KEY = b"s" * 32


def tenant(name: str, **value: Any) -> ConfigItem:
    return ConfigItem("", "tenant", name, msgpack.packb(value))


def make_replica(*entries: ConfigItem) -> Replica:
    replica = Replica(ConfigTable(("", "north")), (SIGNING_KEY,))
    replica.load(initial_head(1, 0), entries)
    return replica


def make_change(head: Head, *items: ConfigItem) -> Change:
    return next_change(head, "", encode_items(items), 1, SIGNING_KEY)


class EventCounter:
    def __init__(self) -> None:
        self.loads, self.renewals = 0, 0

    def on_table_loaded(self, head: Head) -> None:
        self.loads += 1

    def on_epoch_begun(self, store_head: Head, own_head: Head) -> None:
        self.renewals += 1


def test_a_replica_follows_its_store_through_gaps_and_restores(tmp_path: Path) -> None:
    async def run() -> None:
        store, replica, events = (
            SqliteChangeStore(tmp_path / "changes.db"),
            Replica(ConfigTable(None), (SIGNING_KEY,)),
            EventCounter(),
        )
        await store.open()

        async def put(*entries: ConfigItem, key: bytes = SIGNING_KEY) -> None:
            assert await store.append(
                next_change(await store.head(), "", encode_items(entries), 1, key)
            )

        await put(tenant("a"))
        store_follower = StoreFollower(store, replica, lambda: ConfigTable(None), events)
        await store_follower.poll()
        assert replica.head == await store.head()
        assert replica.table.has("tenant", "a")
        assert events.loads == 1
        for n in range(100):
            await put(tenant(f"t{n}"))
        await store_follower.poll()
        assert replica.head == await store.head()
        assert replica.table.count("tenant") == 101
        assert events.loads == 1
        assert len(replica.log) == 100

        # The store becomes available during a sync with a peer.
        replica.is_partial = True
        await store_follower.poll()
        assert replica.is_complete
        assert events.loads == 2

        # The store's log no longer contains the next change.
        head = replica.head
        assert head is not None
        await store.execute(
            "UPDATE distribution_head SET revision = revision + $1::bigint", 2 * MAX_LOGGED_CHANGES
        )
        await put(tenant("far"))
        await store_follower.poll()
        assert events.loads == 3
        assert replica.head == await store.head()
        assert replica.table.has("tenant", "far")

        # The store is restored to an earlier state and written to between two polls.
        await store.execute("UPDATE distribution_head SET revision = 1, tag = $1::bytea", b"t" * 16)
        await store.execute("DELETE FROM distribution_change WHERE revision > $1::bigint", 0)
        await store.execute("DELETE FROM distribution_entry WHERE key = $1::bytea", b"far")
        previous_head = replica.head
        for n in range(3):
            await put(tenant(f"other{n}"))
        await store_follower.poll()  # the store is behind the replica
        assert events.renewals == 1
        await store_follower.poll()
        assert events.loads == 4
        assert replica.head is not None
        assert replica.head.epoch > previous_head.epoch
        assert replica.table.has("tenant", "other0")
        assert not replica.table.has("tenant", "far")
        await put(tenant("x"))
        await store_follower.poll()
        head_before_restore = replica.head
        saved = await store.execute("SELECT revision, tag FROM distribution_head WHERE id = 1")
        await put(tenant("y"))
        await store_follower.poll()
        await store.execute(
            "DELETE FROM distribution_change WHERE revision = $1::bigint",
            head_before_restore.revision + 1,
        )
        await store.execute(
            "UPDATE distribution_head SET revision = $1::bigint, tag = $2::bytea", *saved[0]
        )
        for name in ("z", "zz"):
            await put(tenant(name))
        assert (await store.head()).revision > replica.head.revision, (
            "the store is ahead of the replica, with a different history"
        )
        await store_follower.poll()
        assert events.renewals == 2
        await store_follower.poll()
        assert replica.head == await store.head()
        assert replica.table.has("tenant", "zz")

        # A change signed with another key is refused, and no epoch is begun because of it.
        await put(tenant("evil"), key=b"e" * 32)
        with pytest.raises(StoreInconsistentError, match="tag does not continue the chain"):
            await store_follower.poll()
        assert events.renewals == 2
        assert not replica.table.has("tenant", "evil")
        await store.close()

    asyncio.run(run())


def test_applied_changes_and_syncs_are_logged_without_gaps(
    caplog: pytest.LogCaptureFixture,
) -> None:
    replica = Replica(ConfigTable(("", "north")), (SIGNING_KEY,))
    head_logger = HeadLogger(replica)
    with caplog.at_level(logging.INFO):
        head_logger.log_moves()
        replica.load(initial_head(7, 0))
        for n in range(3):
            assert replica.head is not None
            assert replica.apply_change(make_change(replica.head, tenant(f"t{n}"))) is None
        head_logger.log_moves()
        head_logger.log_moves()
        assert replica.head is not None
        assert replica.apply_change(make_change(replica.head, tenant("u"))) is None
        head_logger.log_moves()
        replica.complete_at(replica.head._replace(revision=20))
        head_logger.log_moves()
    lines = [line.getMessage().split(" tag=")[0] for line in caplog.records]
    assert lines == [
        "event=config_synced epoch=7 revision=0",
        "event=config_changes_applied epoch=7 from=1 to=3",
        "event=config_changes_applied epoch=7 from=4 to=4",
        "event=config_synced epoch=7 revision=20",
    ]


def test_an_unusable_key_file_leaves_the_keys_unchanged(tmp_path: Path) -> None:
    path = tmp_path / "key"
    path.write_text("aa" * 16)
    keys = KeyFile(
        path, lambda: tuple(bytes.fromhex(line) for line in path.read_text().split()), "seals"
    )
    assert not keys.reload_if_changed()
    for modified_at_s, (text, changed, count) in enumerate(
        (
            ("bb" * 16 + "\n" + "aa" * 16, True, 2),
            ("no hex", False, 2),
            ("", False, 2),
            ("cc" * 16, True, 1),
        )
    ):
        path.write_text(text)

        os.utime(path, (modified_at_s, modified_at_s))
        assert keys.reload_if_changed() == changed
        assert len(keys.keys) == count
