"""The idempotency table: which requests were seen before, and their results.

An attempt claims its key digest. Until the window of the key is over, another attempt with the same
digest is a duplicate: it waits for the original attempt, or is answered with its result, and never
runs.
"""

from collections import OrderedDict

from ..sockets import NS_PER_MS
from .key_digests import PackedKeyDigests
from .timer_wheel import TimerWheel

NO_ORIGINAL = -1
FORMER_INCARNATION = -2  # stands for an attempt that ran before this process started


class KeyRecord:
    """What is known of one key.

    Attributes:
        ref: The attempt that claimed it.
        window_end_ns: Until when a duplicate is recognised.
        forget_at_ns: When the record is dropped.
        has_ended: Whether the attempt has ended.
        has_succeeded: Whether it ended with a result.
        result: The result; None before the end, without one, or once it was dropped.
        waiting_duplicates: Duplicates that wait for the end.
    """

    __slots__ = (
        "forget_at_ns",
        "has_ended",
        "has_succeeded",
        "ref",
        "result",
        "waiting_duplicates",
        "window_end_ns",
    )

    def __init__(self, ref: int) -> None:
        self.ref = ref
        self.window_end_ns = self.forget_at_ns = 0
        self.has_ended = self.has_succeeded = False
        self.result: bytes | None = None
        self.waiting_duplicates: list[int] = []


class IdempotencyTable:
    """Records by key digest; those that former incarnations ended are packed.

    Attributes:
        records: By key digest, the oldest first.
        digests_by_ref: The key digest that an attempt has claimed.
        former_digests: Keys that former incarnations ended.
        restored_digests: Those of them that have a record again, which alone counts.
        result_bytes: The size of all results.
    """

    def __init__(self, retention_ns: int, deadline_slack_ns: int, max_result_bytes: int) -> None:
        """Makes an empty table.

        Args:
            retention_ns: How long past its window a key is known. An attempt that was sent within
                the window may be read as late as its deadline.
            deadline_slack_ns: By how much windows are longer than told.
            max_result_bytes: Bound on the results' size; the oldest are dropped first. The
                admission controller bounds the number of keys.
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
        """Returns the attempt that an attempt sent at this time duplicates, or `NO_ORIGINAL`.

        In doubt a keyed request is a duplicate, so that it runs once. A read that would share a
        result (`is_shared`) is none, so that it gets no result that is too old: times of arrival
        are whole milliseconds, rounded down.
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
        """Returns when the window of a key that a former incarnation ended is over; 0 for none."""
        if len(self.former_digests) and key_digest not in self.restored_digests:
            return self.former_digests.window_end_ns(key_digest)
        return 0

    def restore_open_key(self, key_digest: bytes, window_end_ns: int, has_ended: bool) -> None:
        """Adds a key of a former incarnation that has no recorded end.

        Call it after `restore_ended_keys`.

        Args:
            key_digest: The key.
            window_end_ns: When its window ends.
            has_ended: Whether no end is to be expected any more.
        """
        if self.former_digests.window_end_ns(key_digest):
            self.restored_digests.add(key_digest)
        record = self.records[key_digest] = KeyRecord(FORMER_INCARNATION)
        record.window_end_ns = window_end_ns
        record.forget_at_ns = window_end_ns + self.retention_ns
        record.has_ended = has_ended
        self.timer_wheel.add(key_digest, record.forget_at_ns)

    def restore_ended_keys(self, key_digests: PackedKeyDigests) -> None:
        """Sets the keys that former incarnations ended."""
        self.former_digests = key_digests

    def claim(self, key_digest: bytes, ref: int, window_end_ns: int) -> list[int]:
        """Claims a key for an attempt, or moves the end of its window.

        Returns:
            The duplicates that waited for the attempt which the key is taken from.
        """
        record = self.records.get(key_digest)
        stranded: list[int] = []
        if record is None or record.ref != ref:
            stranded = self.remove(key_digest)
            record = self.records[key_digest] = KeyRecord(ref)
            self.digests_by_ref[ref] = key_digest
            self.timer_wheel.add(key_digest, window_end_ns + self.retention_ns)
        record.window_end_ns = window_end_ns
        record.forget_at_ns = window_end_ns + self.retention_ns
        return stranded

    def remove(self, key_digest: bytes) -> list[int]:
        """Forgets a key; returns the duplicates that waited for its end."""
        record = self.records.pop(key_digest, None)
        if record is None:
            return []
        self.digests_by_ref.pop(record.ref, None)
        self.result_bytes -= len(record.result or b"")
        return record.waiting_duplicates

    def find_by_ref(self, ref: int) -> KeyRecord | None:
        """Returns the record of the key that an attempt has claimed."""
        key_digest = self.digests_by_ref.get(ref)
        return self.records[key_digest] if key_digest is not None else None

    def complete(self, record: KeyRecord, result: bytes | None) -> None:
        """Sets the end of a record's attempt; `result` is None where there is none to give."""
        record.has_ended, record.result = True, result
        record.has_succeeded = result is not None
        self.result_bytes += len(result or b"")
        if self.result_bytes > self.max_result_bytes:
            self.drop_oldest_results(record)

    def drop_oldest_results(self, newest: KeyRecord) -> None:
        """Drops results but that of `newest` until the rest is within the bound.

        The keys stay, so that a duplicate fails and does not run.
        """
        for record in self.records.values():
            if record is not newest and record.result is not None:
                self.result_bytes -= len(record.result)
                record.result = None
                if self.result_bytes <= self.max_result_bytes:
                    break

    def forget_expired(self, now: int) -> None:
        """Drops the keys that are over; one whose window moved meanwhile stays."""
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
