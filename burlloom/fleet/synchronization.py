"""Anti-entropy: members whose views differ send each other theirs, page by page. No I/O."""

from itertools import islice

from .gossip import GossipSender
from .membership import MembershipView
from .messages import MAX_UPDATES, Message, MessageKind
from .settings import GossipSettings, QuotaSettings

__all__ = ["PAGE_UPDATES", "ViewSynchronizer"]

PAGE_UPDATES = MAX_UPDATES
_DIGEST_VALUES = 2


class ViewSynchronizer:
    """Compares views by digest, and asks for the other's where they differ.

    Attributes:
        settings_mismatches: Messages from members whose quota settings are not ours.
    """

    def __init__(
        self,
        view: MembershipView,
        sender: GossipSender,
        gossip_settings: GossipSettings,
        quota_settings: QuotaSettings,
        never_ns: int,
    ) -> None:
        """Begins with no page asked for.

        Args:
            view: What this member knows of the others.
            sender: Of this member's messages.
            gossip_settings: Of the membership protocol.
            quota_settings: Must be equal on all members; their digest is compared too.
            never_ns: A time before any message.
        """
        self.view = view
        self.sender = sender
        self.settings = gossip_settings
        self.settings_mismatches = 0
        self._settings_digest = quota_settings.digest()
        self._requested_at_ns = never_ns

    def digests(self) -> tuple[int, int]:
        """Returns the values of PING and ACK."""
        return self.view.digest >> 1, self._settings_digest

    def compare(self, now: int, message: Message) -> None:
        """Asks the sender of a PING or ACK for its view where that is not ours.

        The other does the same on our next message.
        """
        if len(message.values) != _DIGEST_VALUES:
            return
        view_digest, settings_digest = message.values
        self.settings_mismatches += settings_digest != self._settings_digest
        if view_digest == self.view.digest >> 1:
            return
        if now - self._requested_at_ns >= self.settings.ack_timeout_ns:
            self._requested_at_ns = now
            self.sender.send(message.sender.address, MessageKind.SYNC, message.sequence)

    def process_sync(self, now: int, message: Message) -> None:
        """Sends a page of our view.

        The dead and departed are sent for half of the time that they are kept: else views would
        hand them back and forth for ever.
        """
        by_name = self.view.by_name
        recent_ns = self.settings.forget_after_ns // 2
        sent = (
            name
            for name in self.view.names_after(message.name)
            if by_name[name].is_present or now - by_name[name].since_ns < recent_ns
        )
        names = list(islice(sent, PAGE_UPDATES + 1))
        updates = tuple(by_name[name].update for name in names[:PAGE_UPDATES])
        more_after = names[PAGE_UPDATES - 1] if len(names) > PAGE_UPDATES else ""
        own = self.view.own
        page = Message(MessageKind.PAGE, own, message.sequence, (), more_after, updates)
        self.sender.enqueue(message.sender.address, page)

    def process_page(self, now: int, message: Message) -> None:
        """Asks for the next page; what this one says has been taken in."""
        if message.name and len(message.updates) == PAGE_UPDATES:
            address = message.sender.address
            self.sender.send(address, MessageKind.SYNC, message.sequence, name=message.name)
