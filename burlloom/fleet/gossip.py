"""Sending: each message carries news of other members along, until all have it. No I/O."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from .membership import MembershipView, MemberState, MemberUpdate, Transition
from .messages import Message, MessageKind, encode

__all__ = ["GossipSender", "MemberCounters"]

MAX_PIGGYBACKED_UPDATES = 6
MAX_OUTBOX_MESSAGES = 4096
# An update is passed on so many times the logarithm of the fleet's size.
_DISSEMINATION_FACTOR = 3
# A restarted member is told so often of its previous incarnation: messages are lost.
_PREVIOUS_INCARNATION_SENDS = 4


@dataclass(slots=True)
class MemberCounters:
    """Counts since the start of this member.

    The fields' names are those of the metrics, of the state file and of the closing log line.

    Attributes:
        sent: Messages.
        heard: Messages received and decoded.
        unreadable: Datagrams refused.
        dropped: Messages not sent, as the outbox was full.
        suspected: Members that came to be suspected.
        buried: Members that came to be held dead.
        refuted: Suspicions of this member that it refuted.
        dealers: Changes of the allocator.
        grants: Received.
        lapses: Leases that ran out.
    """

    sent: int = 0
    heard: int = 0
    unreadable: int = 0
    dropped: int = 0
    suspected: int = 0
    buried: int = 0
    refuted: int = 0
    dealers: int = 0
    grants: int = 0
    lapses: int = 0


class GossipSender:
    """Builds, seals and queues the messages of one member.

    Attributes:
        keys: Of the fleet; the first seals.
        outbox: Addresses and datagrams, for the host to send.
        counters: Of the whole member.
        pending_updates: Members to pass on, each with how often that was done.
    """

    def __init__(self, view: MembershipView, keys: tuple[bytes, ...]) -> None:
        """Begins with an empty outbox.

        Args:
            view: What this member knows of the others.
            keys: Of the fleet; the first seals.
        """
        self.view = view
        self.keys = keys
        self.outbox: deque[tuple[str, bytes]] = deque()
        self.counters = MemberCounters()
        self.pending_updates: dict[str, int] = {}
        self.sequence = 0
        # Of members that were started again: the incarnation before, and how often to tell it.
        self._previous_incarnations: dict[str, tuple[int, int]] = {}

    def next_sequence(self) -> int:
        """Returns a number that no message of this member has had."""
        self.sequence += 1
        return self.sequence

    def send(
        self,
        address: str,
        kind: MessageKind,
        sequence: int,
        values: tuple[int, ...] = (),
        name: str = "",
        recipient: str = "",
    ) -> None:
        """Queues a message, with news of other members.

        Args:
            address: Where to.
            kind: What it is for.
            sequence: Its number, or that of the message that it answers.
            values: By the kind.
            name: By the kind.
            recipient: The member there, if known. What is held against it goes first, so that it
                may refute that.
        """
        updates = self._updates_to_refute(recipient) + self.select_updates(recipient)
        self.enqueue(address, Message(kind, self.view.own, sequence, values, name, tuple(updates)))
        if recipient in self._previous_incarnations:
            self._send_previous_incarnation(address, recipient)

    def enqueue(self, address: str, message: Message) -> None:
        """Seals and queues a message as it is."""
        if len(self.outbox) >= MAX_OUTBOX_MESSAGES:
            self.counters.dropped += 1
            return
        self.counters.sent += 1
        self.outbox.append((address, encode(message, self.keys[0])))

    def select_updates(self, recipient: str) -> list[MemberUpdate]:
        """Returns the updates that were passed on least often so far, and counts them."""
        most = _DISSEMINATION_FACTOR * len(self.view.by_name).bit_length()
        selected = []
        for name in sorted(self.pending_updates, key=self.pending_updates.__getitem__)[
            :MAX_PIGGYBACKED_UPDATES
        ]:
            self.pending_updates[name] += 1
            member = self.view.by_name.get(name)
            if member is not None and name != recipient:
                selected.append(member.update)
            if self.pending_updates[name] >= most:
                del self.pending_updates[name]
        return selected

    def note_transitions(self, transitions: Sequence[Transition]) -> None:
        """Queues what changed in the view to be passed on, and counts it."""
        for before, after in transitions:
            if after is None:
                if before is not None:
                    self.pending_updates.pop(before.name, None)
                    self._previous_incarnations.pop(before.name, None)
                continue
            if before is not None and _is_restart_without_leaving(before, after):
                previous = before.incarnation, _PREVIOUS_INCARNATION_SENDS
                self._previous_incarnations[after.name] = previous
            self.pending_updates[after.name] = 0
            self.counters.suspected += after.state is MemberState.SUSPECT
            self.counters.buried += after.state is MemberState.DEAD

    def _updates_to_refute(self, recipient: str) -> list[MemberUpdate]:
        member = self.view.by_name.get(recipient)
        if member is None or member.state is MemberState.ALIVE:
            return []
        return [member.update]

    def _send_previous_incarnation(self, address: str, recipient: str) -> None:
        incarnation, times = self._previous_incarnations.pop(recipient)
        if times > 1:
            self._previous_incarnations[recipient] = incarnation, times - 1
        kind = MessageKind.PREVIOUS_INCARNATION
        self.enqueue(address, Message(kind, self.view.own, 0, (incarnation,)))


def _is_restart_without_leaving(before: MemberUpdate, after: MemberUpdate) -> bool:
    return before.incarnation < after.incarnation and before.state is not MemberState.LEFT
