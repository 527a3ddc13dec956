"""What a process reports of its replica: log lines, key files, the state file."""

import json
import logging
import os
from collections.abc import Callable, Mapping
from pathlib import Path

from .changes import Head
from .replica import Replica

log = logging.getLogger(__name__)


class HeadLogger:
    """Logs a line whenever the head moved.

    `from` is the revision after the last line's `to`: the line covers all that was applied in
    between, in the chain's order, and `tag` is the chain's end. A sync has a line of its own.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica, self.head = replica, replica.head

    def log_moves(self) -> None:
        """Log what was applied since the last call."""
        head, before = self.replica.head, self.head
        if head == before or head is None:
            return
        self.head, log_ = head, self.replica.log
        if before is None or before.epoch != head.epoch or log_.base_revision > before.revision:
            # Of a sync that ended, and of what was applied after it: one line each.
            at = log_.base_revision
            log.info("event=config_synced epoch=%d revision=%d", head.epoch, at)
            if at == head.revision:
                return
            before = Head(head.epoch, at, b"", 0)
        log.info(
            "event=config_changes_applied epoch=%d from=%d to=%d tag=%s time_ms=%d",
            head.epoch,
            before.revision + 1,
            head.revision,
            head.tag.hex(),
            head.time_ms,
        )


class KeyFile:
    """The keys of a file, polled once a second; an unusable file leaves the keys as they are."""

    def __init__(self, path: Path, read: Callable[[], tuple[bytes, ...]], what: str) -> None:
        self.path, self.read, self.what = path, read, what
        self.keys = read()
        self.seen_mtime = self.modified()

    def modified(self) -> float:
        """Return the file's time of change, in s; 0 where there is none."""
        try:
            return self.path.stat().st_mtime
        except OSError:
            return 0.0

    def reload_if_changed(self) -> bool:
        """Read the file if it was changed; returns whether other keys are in force now."""
        seen = self.modified()
        if seen == self.seen_mtime:
            return False
        self.seen_mtime = seen
        try:
            keys = self.read()
            if not keys:
                raise ValueError("no key")
        except (OSError, ValueError) as error:
            log.warning("event=config_keys_rejected what=%s detail=%r", self.what, str(error))
            return False
        if keys == self.keys:
            return False
        self.keys = keys
        log.info("event=config_keys_reloaded what=%s count=%d", self.what, len(keys))
        return True


def write_state(path: str, state: Mapping[str, object]) -> None:
    """Replace the state file at once; a failure is logged."""
    part = path + ".part"
    try:
        with open(part, "w", encoding="utf-8") as file:
            file.write(json.dumps(state) + "\n")
        os.replace(part, path)
    except OSError as error:
        log.warning("event=state_file_not_written detail=%r", str(error))


def replica_summary(replica: Replica) -> dict[str, object]:
    """Return a replica's digest and counts, for the state file."""
    table = replica.table
    return {
        "digest": f"{table.digest():016x}",
        "entries": {kind: table.count(kind) for kind in ("tenant", "route", "setting")},
    }
