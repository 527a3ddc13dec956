"""What is told of a copy: a line where its head moved, the keys' files, the state's file."""

import json
import logging
import os
from collections.abc import Callable, Mapping
from pathlib import Path

from .changes import Head
from .replica import Replica

log = logging.getLogger(__name__)


class HeadLogger:
    """Looked at some times a second. From line to line `from` is the revision after the last `to`:
    all that was applied in between, in the chain's order, of which `tag` is the end; or else a sync
    set all at once.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica, self.head = replica, replica.head

    def log_moves(self) -> None:
        head, before = self.replica.head, self.head
        if head == before or head is None:
            return
        self.head, log_ = head, self.replica.log
        if before is None or before.epoch != head.epoch or log_.base_revision > before.revision:
            # Of a sync that ended, and of what was applied after it: one line each.
            at = log_.base_revision
            log.info("event=distribution-synced epoch=%d revision=%d", head.epoch, at)
            if at == head.revision:
                return
            before = Head(head.epoch, at, b"", 0)
        log.info(
            "event=distribution-applied epoch=%d from=%d to=%d tag=%s time_ms=%d",
            head.epoch,
            before.revision + 1,
            head.revision,
            head.tag.hex(),
            head.time_ms,
        )


class KeyFile:
    """The keys of a file, looked at once a second. A file that can't be used leaves them as they
    are.
    """

    def __init__(self, path: Path, read: Callable[[], tuple[bytes, ...]], what: str) -> None:
        self.path, self.read, self.what = path, read, what
        self.keys = read()
        self.seen_mtime = self.modified()

    def modified(self) -> float:
        try:
            return self.path.stat().st_mtime
        except OSError:
            return 0.0

    def reload_if_changed(self) -> bool:
        seen = self.modified()
        if seen == self.seen_mtime:
            return False
        self.seen_mtime = seen
        try:
            keys = self.read()
            if not keys:
                raise ValueError("no key")
        except (OSError, ValueError) as error:
            log.warning("event=distribution-keys-refused what=%s detail=%r", self.what, str(error))
            return False
        if keys == self.keys:
            return False
        self.keys = keys
        log.info("event=distribution-keys what=%s count=%d", self.what, len(keys))
        return True


def write_state(path: str, told: Mapping[str, object]) -> None:
    part = path + ".part"
    try:
        with open(part, "w", encoding="utf-8") as file:
            file.write(json.dumps(told) + "\n")
        os.replace(part, path)
    except OSError as error:
        log.warning("event=state-not-written detail=%r", str(error))


def replica_summary(replica: Replica) -> dict[str, object]:
    """Of a copy, for the state's file."""
    table = replica.table
    return {
        "digest": f"{table.digest():016x}",
        "entries": {kind: table.count(kind) for kind in ("tenant", "route", "setting")},
    }
