"""Sends the messages of a member, with membership updates piggybacked on each. Does no I/O.

Each update is passed on with several messages, so that it reaches all members with high
probability.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from .membership import MembershipView, MemberState, MemberUpdate, Transition
from .messages import Message, MessageKind, encode

__all__ = ["GossipSender", "MemberCounters"]

# Maximum number of queued updates in one message.
MAX_PIGGYBACKED_UPDATES = 6
# Messages beyond this queue length are dropped and counted.
MAX_OUTBOX_MESSAGES = 4096
# The number of sends of each update is this factor times the bit length of the fleet size.
_DISSEMINATION_FACTOR = 3
# Number of messages that tell a restarted member its previous incarnation, since some may get lost.
_PREVIOUS_INCARNATION_SENDS = 4


@dataclass(slots=True)
class MemberCounters:
    """Counters since the start of this member.

    The field names are written out in the metrics, in the state file and in the log line at
    shutdown.

    Attributes:
        sent: Messages queued for sending.
        heard: Messages received and decoded.
        unreadable: Received datagrams that were rejected.
        dropped: Messages not sent because the outbox was full.
        suspected: Transitions of members to SUSPECT.
        buried: Transitions of members to DEAD.
        refuted: Messages whose claims about this member it refuted.
        dealers: Changes of the allocator.
        grants: Grants received.
        lapses: Expired leases of this member.
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
    """Builds, authenticates and queues the messages of one member.

    Attributes:
        view: Membership view of this member.
        keys: Keys of the fleet; the first one authenticates sent messages.
        outbox: Addresses and datagrams that the host must send.
        counters: Counters of the whole member, not only of the sender.
        pending_updates: Names of members whose updates are still passed on, with the number of
            sends so far.
        sequence: The last sequence number used.
    """

    def __init__(self, view: MembershipView, keys: tuple[bytes, ...]) -> None:
        """Initializes a sender with an empty outbox.

        Args:
            view: Membership view of this member.
            keys: Keys of the fleet; the first one authenticates sent messages.
        """
        self.view = view
        self.keys = keys
        self.outbox: deque[tuple[str, bytes]] = deque()
        self.counters = MemberCounters()
        self.pending_updates: dict[str, int] = {}
        self.sequence = 0
        # By name of a restarted member: its previous incarnation and the number of sends left.
        self._previous_incarnations: dict[str, tuple[int, int]] = {}

    def next_sequence(self) -> int:
        """Returns a sequence number that no message of this member has used."""
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
        """Queues a message with piggybacked updates on other members.

        Args:
            address: Address of the recipient.
            kind: Kind of the message.
            sequence: Sequence number of the message, or of the message that it answers.
            values: Integers, as defined by the kind.
            name: Name of a member, as defined by the kind.
            recipient: Name of the member at `address`; empty if unknown. If this view does not hold
                the recipient as ALIVE, that update is sent first, so that the recipient can refute
                it.
        """
        updates = self._updates_to_refute(recipient) + self.select_updates(recipient)
        self.enqueue(address, Message(kind, self.view.own, sequence, values, name, tuple(updates)))
        if recipient in self._previous_incarnations:
            self._send_previous_incarnation(address, recipient)

    def enqueue(self, address: str, message: Message) -> None:
        """Authenticates and queues a message as it is; drops it if the outbox is full."""
        if len(self.outbox) >= MAX_OUTBOX_MESSAGES:
            self.counters.dropped += 1
            return
        self.counters.sent += 1
        self.outbox.append((address, encode(message, self.keys[0])))

    def select_updates(self, recipient: str) -> list[MemberUpdate]:
        """Returns the pending updates with the fewest sends so far, and counts this send."""
        max_sends = _DISSEMINATION_FACTOR * len(self.view.by_name).bit_length()
        updates = []
        for name in sorted(self.pending_updates, key=self.pending_updates.__getitem__)[
            :MAX_PIGGYBACKED_UPDATES
        ]:
            self.pending_updates[name] += 1
            member = self.view.by_name.get(name)
            if member is not None and name != recipient:
                updates.append(member.update)
            if self.pending_updates[name] >= max_sends:
                del self.pending_updates[name]
        return updates

    def queue_transitions(self, transitions: Sequence[Transition]) -> None:
        """Queues the changes of the view to be passed on, and counts suspicions and deaths."""
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
        incarnation, sends_left = self._previous_incarnations.pop(recipient)
        if sends_left > 1:
            self._previous_incarnations[recipient] = incarnation, sends_left - 1
        kind = MessageKind.PREVIOUS_INCARNATION
        self.enqueue(address, Message(kind, self.view.own, 0, (incarnation,)))


def _is_restart_without_leaving(before: MemberUpdate, after: MemberUpdate) -> bool:
    return before.incarnation < after.incarnation and before.state is not MemberState.LEFT
