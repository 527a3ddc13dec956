"""Marks by which a repeat is known, and the results kept for it."""

import hashlib
from collections import OrderedDict

from .key_digests import KEY_DIGEST_BYTES, PackedKeyDigests, TimerWheel

NS_PER_MS = 1_000_000
FORMER_INCARNATION = -2  # whoever holds a mark that this life was never given


def digest_key(kind: str, name: str, body: bytes) -> bytes:
    """What all tries of one txn share: 16 bytes of BLAKE2b (RFC 7693) over its product, its name
    and its body.

    The body is part of it: with another one it is another txn, for the executor to know or not.
    """
    digest = hashlib.blake2b(f"{kind}\0{name}\0".encode(), digest_size=KEY_DIGEST_BYTES)
    digest.update(body)
    return digest.digest()


class KeyRecord:
    """The try that holds a mark. `result` is None until its run ended `well`; `waiting` are its
    repeats.
    """

    __slots__ = (
        "ref",
        "window_end_ns",
        "forget_at_ns",
        "has_ended",
        "has_succeeded",
        "result",
        "waiting_duplicates",
    )

    def __init__(self, ref: int) -> None:
        self.ref = ref
        self.window_end_ns = self.forget_at_ns = 0
        self.has_ended = self.has_succeeded = False
        self.result: bytes | None = None
        self.waiting_duplicates: list[int] = []


class IdempotencyTable:
    def __init__(self, linger: int, slack: int, most: int) -> None:
        self.retention_ns, self.deadline_slack_ns = linger, slack
        self.max_result_bytes = most  # bytes of kept results in all; the decisions bound the marks
        self.records: OrderedDict[bytes, KeyRecord] = OrderedDict()
        self.digests_by_ref: dict[int, bytes] = {}
        self.former_digests = PackedKeyDigests()  # what former lives laid
        self.restored_digests: set[bytes] = (
            set()
        )  # those of it whose end was not known: their records alone count
        self.timer_wheel = TimerWheel()
        self.result_bytes = 0

    def find_original(self, mark: bytes, at: int, shared: bool = False) -> int:
        """The try whose repeat one of this arrival is, or -1.

        In doubt a keyed one counts as a repeat, so that it runs once; a read that would share
        (`shared`) an answer does not, so that it gets none that is too old. Arrivals are told in
        whole milliseconds, cut off.
        """
        record = self.records.get(mark)
        if (
            record is None
            and (until := self.former_window_end_ns(mark))
            and at <= until + self.deadline_slack_ns
        ):
            return FORMER_INCARNATION
        slack = -NS_PER_MS if shared else self.deadline_slack_ns
        return record.ref if record is not None and at <= record.window_end_ns + slack else -1

    def former_window_end_ns(self, mark: bytes) -> int:
        """When the window of what a former life ended is over; 0 where there is none of this
        mark.
        """
        return (
            self.former_digests.window_end_ns(mark)
            if len(self.former_digests) and mark not in self.restored_digests
            else 0
        )

    def restore_open_key(self, mark: bytes, until: int, over: bool) -> None:
        """A mark of a former life whose end is in doubt (`over`), or may still be told; after
        `plant_ended`.
        """
        if self.former_digests.window_end_ns(mark):
            self.restored_digests.add(mark)
        record = self.records[mark] = KeyRecord(FORMER_INCARNATION)
        record.window_end_ns, record.forget_at_ns, record.has_ended = (
            until,
            until + self.retention_ns,
            over,
        )
        self.timer_wheel.add(mark, record.forget_at_ns)

    def restore_ended_keys(self, marks: PackedKeyDigests) -> None:
        """Marks of former lives that ended, each with the end of its window."""
        self.former_digests = marks

    def claim(self, mark: bytes, ref: int, until: int) -> list[int]:
        """Lays or prolongs the mark; the repeats that waited for a try it is taken from are given
        back.
        """
        record = self.records.get(mark)
        stranded: list[int] = []
        if record is None or record.ref != ref:
            stranded = self.remove(mark)
            record = self.records[mark] = KeyRecord(ref)
            self.digests_by_ref[ref] = mark
            self.timer_wheel.add(mark, until + self.retention_ns)
        record.window_end_ns = until
        # A try that came while the mark held may be read only after: it is known for as long as one
        # can live.
        record.forget_at_ns = until + self.retention_ns
        return stranded

    def remove(self, mark: bytes) -> list[int]:
        record = self.records.pop(mark, None)
        if record is None:
            return []
        self.digests_by_ref.pop(record.ref, None)
        self.result_bytes -= len(record.result or b"")
        return record.waiting_duplicates

    def find_by_ref(self, ref: int) -> KeyRecord | None:
        mark = self.digests_by_ref.get(ref)
        return self.records[mark] if mark is not None else None

    def complete(self, record: KeyRecord, result: bytes | None) -> None:
        record.has_ended, record.result, record.has_succeeded = True, result, result is not None
        self.result_bytes += len(result or b"")
        for old in self.records.values() if self.result_bytes > self.max_result_bytes else ():
            # Only the result goes: the mark stays, so that a repeat is voided but never run.
            if old is not record and old.result is not None:
                self.result_bytes -= len(old.result)
                old.result = None
                if self.result_bytes <= self.max_result_bytes:
                    break

    def forget_expired(self, now: int) -> None:
        """Forgets what is over; a record whose time was moved meanwhile is put back."""
        if (
            len(self.former_digests)
            and self.former_digests.last_window_end_ns + self.retention_ns <= now
        ):
            self.former_digests = PackedKeyDigests()
            self.restored_digests.clear()
        for mark in self.timer_wheel.take_due(now):
            record = self.records.get(mark)
            if record is not None and record.forget_at_ns > now:
                self.timer_wheel.add(mark, record.forget_at_ns)
            elif record is not None:
                self.remove(mark)
