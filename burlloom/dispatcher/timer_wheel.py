"""A timer wheel: key digests by the second in which they expire."""

SLOT_NS = 1_000_000_000


class TimerWheel:
    """Entries in slots of one second; taking what is due costs no more than what is due.

    An entry whose time has moved stays in its slot: whoever takes it out looks whether it is due,
    and adds it again if not.
    """

    __slots__ = ("next_slot", "slots")

    def __init__(self) -> None:
        self.slots: dict[int, list[bytes]] = {}
        self.next_slot = 0

    def add(self, key_digest: bytes, due_ns: int) -> None:
        """Adds an entry that is due at a time."""
        slot = due_ns // SLOT_NS + 1
        if not self.slots:
            self.next_slot = slot
        self.next_slot = min(self.next_slot, slot)
        self.slots.setdefault(slot, []).append(key_digest)

    def take_due(self, now: int) -> list[bytes]:
        """Removes and returns the entries of all slots that are over."""
        due: list[bytes] = []
        last = now // SLOT_NS
        if self.slots and self.next_slot <= last:
            for slot in sorted(slot for slot in self.slots if slot <= last):
                due += self.slots.pop(slot)
            self.next_slot = min(self.slots, default=last + 1)
        return due
