"""Anti-entropy: members with different views exchange them page by page. Does no I/O."""

from itertools import islice

from .gossip import GossipSender
from .membership import MembershipView
from .messages import MAX_UPDATES, Message, MessageKind
from .settings import GossipSettings, QuotaSettings

__all__ = ["PAGE_UPDATES", "ViewSynchronizer"]

PAGE_UPDATES = MAX_UPDATES
_DIGEST_VALUES = 2


class ViewSynchronizer:
    """Compares views by digest and requests the other view if the digests differ.

    Attributes:
        view: Membership view of this member.
        sender: Queues the messages of this member.
        settings: Settings of the membership protocol.
        settings_mismatches: Number of messages from members whose quota settings differ from this
            member's.
    """

    def __init__(
        self,
        view: MembershipView,
        sender: GossipSender,
        gossip_settings: GossipSettings,
        quota_settings: QuotaSettings,
        never_ns: int,
    ) -> None:
        """Initializes a synchronizer without a pending request.

        Args:
            view: Membership view of this member.
            sender: Queues the messages of this member.
            gossip_settings: Settings of the membership protocol.
            quota_settings: Settings of the allocation. They must be equal on all members, so their
                digest is compared too.
            never_ns: A monotonic time before any message.
        """
        self.view = view
        self.sender = sender
        self.settings = gossip_settings
        self.settings_mismatches = 0
        self._settings_digest = quota_settings.digest()
        self._requested_at_ns = never_ns

    def digests(self) -> tuple[int, int]:
        """Returns the values of PING and ACK: the digests of the view and of the quota settings."""
        return self.view.digest >> 1, self._settings_digest

    def compare(self, now_ns: int, message: Message) -> None:
        """Requests the view of the sender of a PING or ACK if its digest differs.

        The sender does the same when it receives the next PING or ACK of this member.
        """
        if len(message.values) != _DIGEST_VALUES:
            return
        view_digest, settings_digest = message.values
        self.settings_mismatches += settings_digest != self._settings_digest
        if view_digest == self.view.digest >> 1:
            return
        if now_ns - self._requested_at_ns >= self.settings.ack_timeout_ns:
            self._requested_at_ns = now_ns
            self.sender.send(message.sender.address, MessageKind.SYNC, message.sequence)

    def process_sync(self, now_ns: int, message: Message) -> None:
        """Sends a page of this member's view.

        Dead and departed members are sent only for the first half of the time for which they stay
        in the view. Otherwise members would send each other forgotten members indefinitely.
        """
        by_name = self.view.by_name
        recent_ns = self.settings.forget_after_ns // 2
        names_to_send = (
            name
            for name in self.view.names_after(message.name)
            if by_name[name].is_present or now_ns - by_name[name].since_ns < recent_ns
        )
        names = list(islice(names_to_send, PAGE_UPDATES + 1))
        updates = tuple(by_name[name].update for name in names[:PAGE_UPDATES])
        next_page_after = names[PAGE_UPDATES - 1] if len(names) > PAGE_UPDATES else ""
        own = self.view.own
        page = Message(MessageKind.PAGE, own, message.sequence, (), next_page_after, updates)
        self.sender.enqueue(message.sender.address, page)

    def process_page(self, now_ns: int, message: Message) -> None:
        """Requests the next page, if any; this page's updates are already processed."""
        if message.name and len(message.updates) == PAGE_UPDATES:
            address = message.sender.address
            self.sender.send(address, MessageKind.SYNC, message.sequence, name=message.name)
