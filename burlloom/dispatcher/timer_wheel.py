"""A timer wheel: holds key digests by the second in which they expire."""

SLOT_NS = 1_000_000_000


class TimerWheel:
    """Entries in slots of one second; removing the due entries costs no more than their number.

    An entry whose time was moved stays in its slot: the code that removes it checks whether it is
    due, and adds it again if not.
    """

    __slots__ = ("next_slot", "slots")

    def __init__(self) -> None:
        self.slots: dict[int, list[bytes]] = {}
        self.next_slot = 0

    def add(self, key_digest: bytes, due_ns: int) -> None:
        """Adds an entry that is due at `due_ns`."""
        slot = due_ns // SLOT_NS + 1
        if not self.slots:
            self.next_slot = slot
        self.next_slot = min(self.next_slot, slot)
        self.slots.setdefault(slot, []).append(key_digest)

    def take_due(self, now: int) -> list[bytes]:
        """Removes and returns the entries of all elapsed slots."""
        due: list[bytes] = []
        last_elapsed_slot = now // SLOT_NS
        if self.slots and self.next_slot <= last_elapsed_slot:
            for slot in sorted(slot for slot in self.slots if slot <= last_elapsed_slot):
                due += self.slots.pop(slot)
            self.next_slot = min(self.slots, default=last_elapsed_slot + 1)
        return due
