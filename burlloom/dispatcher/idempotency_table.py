"""The idempotency table: the requests that were seen before, and their results.

An attempt claims its key digest. Until the window of the key ends, another attempt with the same
digest is a repeat: it waits for the original attempt or is answered with the original's result,
and never runs.
"""

from collections import OrderedDict

from ..time_units import NS_PER_MS
from .key_digests import PackedKeyDigests
from .timer_wheel import TimerWheel

NO_ORIGINAL = -1
FORMER_INCARNATION = -2  # the reference of any attempt that ran before this process started


class KeyRecord:
    """The record of one key.

    Attributes:
        ref: The attempt that claimed the key.
        window_end_ns: Until when a repeat is recognised.
        forget_at_ns: When the record is dropped.
        has_ended: Whether the attempt has ended.
        has_succeeded: Whether it ended with a result.
        result: The result; None before the end, without a result, or once the result was dropped.
        waiting_repeats: The repeats that wait for the end of the attempt.
    """

    __slots__ = (
        "forget_at_ns",
        "has_ended",
        "has_succeeded",
        "ref",
        "result",
        "waiting_repeats",
        "window_end_ns",
    )

    def __init__(self, ref: int) -> None:
        self.ref = ref
        self.window_end_ns = self.forget_at_ns = 0
        self.has_ended = self.has_succeeded = False
        self.result: bytes | None = None
        self.waiting_repeats: list[int] = []


class IdempotencyTable:
    """Records by key digest; keys that previous incarnations ended are held in a packed set.

    Attributes:
        records: The records by key digest, oldest first.
        digests_by_ref: The key digest that an attempt has claimed.
        former_digests: The keys whose requests previous incarnations ended.
        restored_digests: Those of them that have a record again; the record takes precedence.
        result_bytes: The total size of all results.
    """

    def __init__(self, retention_ns: int, deadline_slack_ns: int, max_result_bytes: int) -> None:
        """Creates an empty table.

        Args:
            retention_ns: For how long after its window a key is kept. An attempt that was sent
                within the window may be read as late as its deadline.
            deadline_slack_ns: The tolerance that is added to windows.
            max_result_bytes: The maximum total size of results; the oldest are dropped first. The
                admission controller limits the number of keys.
        """
        self.retention_ns, self.deadline_slack_ns = retention_ns, deadline_slack_ns
        self.max_result_bytes = max_result_bytes
        self.records: OrderedDict[bytes, KeyRecord] = OrderedDict()
        self.digests_by_ref: dict[int, bytes] = {}
        self.former_digests = PackedKeyDigests()
        self.restored_digests: set[bytes] = set()
        self.timer_wheel = TimerWheel()
        self.result_bytes = 0

    def find_original(self, key_digest: bytes, sent_at_ns: int, is_shared: bool = False) -> int:
        """Returns the attempt that an attempt sent at this time repeats, or `NO_ORIGINAL`.

        In doubt a keyed request is treated as a repeat, so that it runs only once. In doubt an
        idempotent request that would share a result (`is_shared`) is not, so that it never gets a
        result that is too old: arrival times are rounded down to whole milliseconds.
        """
        record = self.records.get(key_digest)
        if (
            record is None
            and (window_end_ns := self.former_window_end_ns(key_digest))
            and sent_at_ns <= window_end_ns + self.deadline_slack_ns
        ):
            return FORMER_INCARNATION
        slack_ns = -NS_PER_MS if is_shared else self.deadline_slack_ns
        if record is not None and sent_at_ns <= record.window_end_ns + slack_ns:
            return record.ref
        return NO_ORIGINAL

    def former_window_end_ns(self, key_digest: bytes) -> int:
        """Returns when the window of a key that a previous incarnation ended is over; 0 if none."""
        if len(self.former_digests) and key_digest not in self.restored_digests:
            return self.former_digests.window_end_ns(key_digest)
        return 0

    def restore_open_key(self, key_digest: bytes, window_end_ns: int, has_ended: bool) -> None:
        """Restores a key of a previous incarnation without a recorded end.

        Must be called after `restore_ended_keys`.

        Args:
            key_digest: The key digest.
            window_end_ns: When its window ends.
            has_ended: Whether no end of the request is expected any more.
        """
        if self.former_digests.window_end_ns(key_digest):
            self.restored_digests.add(key_digest)
        record = self.records[key_digest] = KeyRecord(FORMER_INCARNATION)
        record.window_end_ns = window_end_ns
        record.forget_at_ns = window_end_ns + self.retention_ns
        record.has_ended = has_ended
        self.timer_wheel.add(key_digest, record.forget_at_ns)

    def restore_ended_keys(self, key_digests: PackedKeyDigests) -> None:
        """Sets the keys whose requests previous incarnations ended."""
        self.former_digests = key_digests

    def claim(self, key_digest: bytes, ref: int, window_end_ns: int) -> list[int]:
        """Claims a key for an attempt, or moves the end of its window.

        Returns:
            The repeats that waited for the attempt from which the key is taken.
        """
        record = self.records.get(key_digest)
        orphaned_refs: list[int] = []
        if record is None or record.ref != ref:
            orphaned_refs = self.remove(key_digest)
            record = self.records[key_digest] = KeyRecord(ref)
            self.digests_by_ref[ref] = key_digest
            self.timer_wheel.add(key_digest, window_end_ns + self.retention_ns)
        record.window_end_ns = window_end_ns
        record.forget_at_ns = window_end_ns + self.retention_ns
        return orphaned_refs

    def remove(self, key_digest: bytes) -> list[int]:
        """Forgets a key; returns the repeats that waited for the end of its attempt."""
        record = self.records.pop(key_digest, None)
        if record is None:
            return []
        self.digests_by_ref.pop(record.ref, None)
        self.result_bytes -= len(record.result or b"")
        return record.waiting_repeats

    def find_by_ref(self, ref: int) -> KeyRecord | None:
        """Returns the record of the key that an attempt has claimed; None without one."""
        key_digest = self.digests_by_ref.get(ref)
        return self.records[key_digest] if key_digest is not None else None

    def complete(self, record: KeyRecord, result: bytes | None) -> None:
        """Records the end of a record's attempt; `result` is None if there is none to return."""
        record.has_ended, record.result = True, result
        record.has_succeeded = result is not None
        self.result_bytes += len(result or b"")
        if self.result_bytes > self.max_result_bytes:
            self.drop_oldest_results(record)

    def drop_oldest_results(self, newest: KeyRecord) -> None:
        """Drops the oldest results, except that of `newest`, until `max_result_bytes` is met.

        The keys are kept, so that a repeat fails instead of running.
        """
        for record in self.records.values():
            if record is not newest and record.result is not None:
                self.result_bytes -= len(record.result)
                record.result = None
                if self.result_bytes <= self.max_result_bytes:
                    break

    def forget_expired(self, now: int) -> None:
        """Drops expired keys; a key whose window was moved meanwhile is kept."""
        former = self.former_digests
        if len(former) and former.last_window_end_ns + self.retention_ns <= now:
            self.former_digests = PackedKeyDigests()
            self.restored_digests.clear()
        for key_digest in self.timer_wheel.take_due(now):
            record = self.records.get(key_digest)
            if record is not None and record.forget_at_ns > now:
                self.timer_wheel.add(key_digest, record.forget_at_ns)
            elif record is not None:
                self.remove(key_digest)
