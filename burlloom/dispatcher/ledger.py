"""Marks by which a repeat is known, and the results kept for it."""

import hashlib
from collections import OrderedDict

from .marks import MARK_BYTES, Packed, Wheel

MS = 1_000_000
FORMER = -2  # whoever holds a mark that this life was never given


def mark_of(kind: str, name: str, body: bytes) -> bytes:
    """What all tries of one txn share: 16 bytes of BLAKE2b (RFC 7693) over its product, its name
    and its body.

    The body is part of it: with another one it is another txn, for the executor to know or not.
    """
    digest = hashlib.blake2b(f"{kind}\0{name}\0".encode(), digest_size=MARK_BYTES)
    digest.update(body)
    return digest.digest()


class Record:
    """The try that holds a mark. `result` is None until its run ended `well`; `waiting` are its
    repeats.
    """

    __slots__ = ("ref", "until", "forget_at", "over", "well", "result", "waiting")

    def __init__(self, ref: int) -> None:
        self.ref = ref
        self.until = self.forget_at = 0
        self.over = self.well = False
        self.result: bytes | None = None
        self.waiting: list[int] = []


class Ledger:
    def __init__(self, linger: int, slack: int, most: int) -> None:
        self.linger, self.slack = linger, slack
        self.most = most  # bytes of kept results in all; the decisions bound the marks
        self.records: OrderedDict[bytes, Record] = OrderedDict()
        self.marks: dict[int, bytes] = {}
        self.former = Packed()  # what former lives laid
        self.planted: set[bytes] = (
            set()
        )  # those of it whose end was not known: their records alone count
        self.wheel = Wheel()
        self.bytes = 0

    def holder(self, mark: bytes, at: int, shared: bool = False) -> int:
        """The try whose repeat one of this arrival is, or -1.

        In doubt a keyed one counts as a repeat, so that it runs once; a read that would share
        (`shared`) an answer does not, so that it gets none that is too old. Arrivals are told in
        whole milliseconds, cut off.
        """
        record = self.records.get(mark)
        if record is None and (until := self.ended_before(mark)) and at <= until + self.slack:
            return FORMER
        slack = -MS if shared else self.slack
        return record.ref if record is not None and at <= record.until + slack else -1

    def ended_before(self, mark: bytes) -> int:
        """When the window of what a former life ended is over; 0 where there is none of this
        mark.
        """
        return self.former.until(mark) if len(self.former) and mark not in self.planted else 0

    def plant(self, mark: bytes, until: int, over: bool) -> None:
        """A mark of a former life whose end is in doubt (`over`), or may still be told; after
        `plant_ended`.
        """
        if self.former.until(mark):
            self.planted.add(mark)
        record = self.records[mark] = Record(FORMER)
        record.until, record.forget_at, record.over = until, until + self.linger, over
        self.wheel.add(mark, record.forget_at)

    def plant_ended(self, marks: Packed) -> None:
        """Marks of former lives that ended, each with the end of its window."""
        self.former = marks

    def keep(self, mark: bytes, ref: int, until: int) -> list[int]:
        """Lays or prolongs the mark; the repeats that waited for a try it is taken from are given
        back.
        """
        record = self.records.get(mark)
        stranded: list[int] = []
        if record is None or record.ref != ref:
            stranded = self.drop(mark)
            record = self.records[mark] = Record(ref)
            self.marks[ref] = mark
            self.wheel.add(mark, until + self.linger)
        record.until = until
        # A try that came while the mark held may be read only after: it is known for as long as one
        # can live.
        record.forget_at = until + self.linger
        return stranded

    def drop(self, mark: bytes) -> list[int]:
        record = self.records.pop(mark, None)
        if record is None:
            return []
        self.marks.pop(record.ref, None)
        self.bytes -= len(record.result or b"")
        return record.waiting

    def of(self, ref: int) -> Record | None:
        mark = self.marks.get(ref)
        return self.records[mark] if mark is not None else None

    def settle(self, record: Record, result: bytes | None) -> None:
        record.over, record.result, record.well = True, result, result is not None
        self.bytes += len(result or b"")
        for old in self.records.values() if self.bytes > self.most else ():
            # Only the result goes: the mark stays, so that a repeat is voided but never run.
            if old is not record and old.result is not None:
                self.bytes -= len(old.result)
                old.result = None
                if self.bytes <= self.most:
                    break

    def sweep(self, now: int) -> None:
        """Forgets what is over; a record whose time was moved meanwhile is put back."""
        if len(self.former) and self.former.last + self.linger <= now:
            self.former = Packed()
            self.planted.clear()
        for mark in self.wheel.due(now):
            record = self.records.get(mark)
            if record is not None and record.forget_at > now:
                self.wheel.add(mark, record.forget_at)
            elif record is not None:
                self.drop(mark)
