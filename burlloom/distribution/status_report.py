"""Status of a process's replica for operators: log lines, key reloads and the state file."""

import json
import logging
import os
from collections.abc import Callable, Mapping
from pathlib import Path

from .changes import Head
from .replica import Replica

log = logging.getLogger(__name__)


class HeadLogger:
    """Logs a line whenever the replica's head has moved.

    In a line about applied changes `from` is the revision after the previous line's `to`, so the
    line covers all changes applied in between, in the chain's order. `tag` is the tag of the last
    of them. A sync is logged by a line of its own.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica, self.head = replica, replica.head

    def log_moves(self) -> None:
        """Logs the syncs and changes since the last call."""
        head, previous = self.replica.head, self.head
        if head == previous or head is None:
            return
        self.head, changes = head, self.replica.log
        if (
            previous is None
            or previous.epoch != head.epoch
            or changes.base_revision > previous.revision
        ):
            # One line for the sync that ended, and one for the changes applied after it.
            synced_revision = changes.base_revision
            log.info("event=config_synced epoch=%d revision=%d", head.epoch, synced_revision)
            if synced_revision == head.revision:
                return
            previous = Head(head.epoch, synced_revision, b"", 0)
        log.info(
            "event=config_changes_applied epoch=%d from=%d to=%d tag=%s time_ms=%d",
            head.epoch,
            previous.revision + 1,
            head.revision,
            head.tag.hex(),
            head.time_ms,
        )


class KeyFile:
    """Keys read from a file, which is read again when its modification time changes.

    The host polls `reload_if_changed` once a second. A file that can't be read leaves the keys as
    they are.

    Args:
        path: The file.
        read: Returns the file's keys; raises `OSError` or `ValueError`.
        purpose: "seals" or "signing", for log lines.
    """

    def __init__(self, path: Path, read: Callable[[], tuple[bytes, ...]], purpose: str) -> None:
        self.path, self.read, self.purpose = path, read, purpose
        self.keys = read()
        self.seen_modified_at_s = self.modification_time_s()

    def modification_time_s(self) -> float:
        """Returns the file's modification time in Unix seconds; 0 if there is no file."""
        try:
            return self.path.stat().st_mtime
        except OSError:
            return 0.0

    def reload_if_changed(self) -> bool:
        """Reads the file if it was modified; returns whether the keys have changed."""
        modified_at_s = self.modification_time_s()
        if modified_at_s == self.seen_modified_at_s:
            return False
        self.seen_modified_at_s = modified_at_s
        try:
            keys = self.read()
            if not keys:
                raise ValueError("the file contains no key")
        except (OSError, ValueError) as error:
            log.warning("event=config_keys_rejected what=%s detail=%r", self.purpose, str(error))
            return False
        if keys == self.keys:
            return False
        self.keys = keys
        log.info("event=config_keys_reloaded what=%s count=%d", self.purpose, len(keys))
        return True


def write_state(path: str, state: Mapping[str, object]) -> None:
    """Replaces the state file atomically; a failure is logged."""
    temporary_path = path + ".part"
    try:
        with open(temporary_path, "w", encoding="utf-8") as file:
            file.write(json.dumps(state) + "\n")
        os.replace(temporary_path, path)
    except OSError as error:
        log.warning("event=state_file_not_written detail=%r", str(error))


def replica_summary(replica: Replica) -> dict[str, object]:
    """Returns a replica's digest and its number of items of each kind, for the state file."""
    table = replica.table
    return {
        "digest": f"{table.digest():016x}",
        "entries": {kind: table.count(kind) for kind in ("tenant", "route", "setting")},
    }
