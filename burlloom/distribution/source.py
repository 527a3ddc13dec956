"""The serving side of replication, in a control machine or a relay. Does no I/O.

A relay also has a `Follower` on the same `Replica`. The host calls `tick` about once per heartbeat
interval, passes datagrams to `receive`, calls `push_changes` after anything that may have changed
the replica's head, and sends the datagrams in `outbox`. The datagram of a change depends on no
follower, so a change is sealed once for all of them. All times are ns of a monotonic clock.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ..time_units import NS_PER_MS
from .changes import Change
from .codec import MessageDecodeError, seal, unseal
from .counters import export_counters
from .messages import (
    HALF_BUCKETS,
    MAX_PAGE_BYTES,
    Body,
    DigestsRequest,
    DigestsResponse,
    HeadStatus,
    Leave,
    Message,
    PageResponse,
    PagesRequest,
    PullRequest,
    PushedChange,
    Redirect,
    Report,
    Sender,
)
from .refusals import MAX_PENDING_REFUSALS, count_refusal
from .replay_window import ReplayWindow
from .replica import Replica
from .settings import ReplicationSettings

MAX_PUSH_CHANGES = 64  # new changes pushed at once; if there are more, followers pull them
MAX_SEALED_CHANGES = 512  # cached datagrams of changes, with and without bodies; at most 1.2 MB
MAX_COMPARED_REVISIONS = 64  # a follower further behind than this is not checked for differences
MAX_OUTBOX_DATAGRAMS = 32_768  # datagrams queued for the host; further ones are dropped

Address = tuple[str, int]


@dataclass(slots=True)
class Lease:
    """A follower's lease, with the revision that it reported last; `expires_at` is in ns."""

    incarnation: int
    address: Address
    scopes: tuple[str, ...] | None
    expires_at: int
    replay_window: ReplayWindow
    epoch: int = 0
    revision: int = 0


@dataclass(slots=True)
class SourceCounters:
    """Counters of a source since its start.

    Attributes:
        sent: Datagrams sent.
        sent_bytes: Bytes sent.
        received: Datagrams received.
        received_bytes: Bytes received.
        pushed: Changes pushed, counted once per follower.
        pulled: Changes sent in answer to PULL.
        pages: Pages sent.
        held_back: Page requests cut short because the byte rate was exceeded.
        redirects: Reports answered with REDIRECT.
        differing: Reports whose digest differed at the same revision.
        dropped: Datagrams dropped because the outbox was full.
        refused: Refused messages by reason.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    pushed: int = 0
    pulled: int = 0
    pages: int = 0
    held_back: int = 0
    redirects: int = 0
    differing: int = 0
    dropped: int = 0
    refused: dict[str, int] = field(default_factory=dict)

    def exported(self) -> dict[str, Any]:
        """Returns the counters under their names in metrics and state files."""
        return export_counters(self)


class Source:
    """Serves followers from a replica.

    Args:
        replica: The replica to serve.
        name: This process's name.
        incarnation: Unix ms of the process's start.
        keys: Keys of the messages' seals; the first seals messages, any may have sealed a received
            one.
        settings: Intervals, timeouts and limits.
        random: Source of randomness; not used at present.
        now_ns: Current monotonic time in ns.
        table_age_ms: Returns, for a time in ns, the ms since the replica was last confirmed as the
            newest; None if it never was.

    Attributes:
        outbox: Address and content of the datagrams to send; the host empties it.
        refusals: Reason and source of refused messages, for the host's log; the host empties it.
        followers: Leases by the followers' names.
        last_pushed: Epoch and revision up to which changes were pushed.
    """

    def __init__(
        self,
        replica: Replica,
        name: str,
        incarnation: int,
        keys: tuple[bytes, ...],
        settings: ReplicationSettings,
        random: Random,
        now_ns: int,
        table_age_ms: Callable[[int], int | None],
    ) -> None:
        self.replica, self.name, self.incarnation, self.keys = replica, name, incarnation, keys
        self.settings, self.random = settings, random
        self.table_age_ms = table_age_ms
        self.outbox: deque[tuple[Address, bytes]] = deque()
        self.counts = SourceCounters()
        self.refusals: deque[tuple[str, Address]] = deque(maxlen=MAX_PENDING_REFUSALS)
        self.followers: dict[str, Lease] = {}
        self.last_pushed = (
            (replica.head.epoch, replica.head.revision) if replica.head is not None else (0, 0)
        )
        self.sealed_changes: dict[tuple[int, int, bool], bytes] = {}
        self.page_tokens, self.page_tokens_refilled_at = float(settings.page_burst_bytes), now_ns
        self.is_draining = False

    # Timers and pushes.

    def tick(self, now_ns: int) -> None:
        """Drops followers whose lease has expired, and pushes new changes."""
        for name in [name for name, lease in self.followers.items() if lease.expires_at <= now_ns]:
            del self.followers[name]
        self.push_changes(now_ns)

    def push_changes(self, now_ns: int) -> None:
        """Pushes new changes to all followers.

        After a sync, or if there are more than `MAX_PUSH_CHANGES`, nothing is pushed and the
        followers pull.
        """
        head = self.replica.head
        if head is None or not self.replica.is_complete or self.last_pushed == head[:2]:
            return
        epoch, revision = self.last_pushed
        changes = None
        if epoch == head.epoch and head.revision - revision <= MAX_PUSH_CHANGES:
            changes = self.replica.log.changes_since(revision, MAX_PUSH_CHANGES)
        self.last_pushed = head.epoch, head.revision
        for change in changes or ():
            with_body, without_body = self.sealed_change(change, True), b""
            for lease in self.followers.values():
                if lease.expires_at <= now_ns:
                    continue
                if lease.scopes is None or change.scope in lease.scopes:
                    self.enqueue(lease.address, with_body)
                else:
                    without_body = without_body or self.sealed_change(change, False)
                    self.enqueue(lease.address, without_body)
                self.counts.pushed += 1

    def sealed_change(self, change: Change, with_body: bool) -> bytes:
        """Returns the sealed datagram of a change, with or without its body, from a cache."""
        key = change.epoch, change.revision, with_body
        data = self.sealed_changes.get(key)
        if data is None:
            if len(self.sealed_changes) >= MAX_SEALED_CHANGES:
                del self.sealed_changes[next(iter(self.sealed_changes))]
            data = self.sealed_changes[key] = seal(
                Sender(self.name, self.incarnation, 0),
                PushedChange(change if with_body else change.without_body()),
                self.keys[0],
            )
        return data

    # Received messages.

    def receive(self, now_ns: int, data: bytes, source: Address) -> None:
        """Handles one received datagram; a refused one is counted by its reason."""
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        try:
            message = unseal(data, self.keys)
        except MessageDecodeError as error:
            self.count_refusal(str(error), source)
            return
        handler = HANDLERS.get(type(message.body))
        reason = (
            handler(self, now_ns, message, source)
            if handler
            else "message kind not handled by a source"
        )
        if reason:
            self.count_refusal(reason, source)

    def count_refusal(self, reason: str, source: Address) -> None:
        """Counts a refused message and keeps it for the host's log."""
        self.refusals.append((count_refusal(self.counts.refused, reason), source))

    def on_report(self, now_ns: int, message: Message, source: Address) -> str:
        """Handles REPORT by a lease or a REDIRECT; returns why the report is refused, or ""."""
        sender, body, head = message.sender, message.body, self.replica.head
        assert isinstance(body, Report)
        lease = self.followers.get(sender.name)
        if (
            lease is not None
            and lease.expires_at <= now_ns
            and lease.incarnation != sender.incarnation
        ):
            lease = None
        if lease is not None and sender.incarnation < lease.incarnation:
            return "older incarnation of the follower"
        if (
            lease is not None
            and sender.incarnation == lease.incarnation
            and not lease.replay_window.accept(sender.number)
        ):
            return "message number seen before"
        redirect_reason = self.reason_not_to_serve(body) or (
            "full" if lease is None and self.is_full(now_ns) else ""
        )
        if head is None or redirect_reason:
            self.counts.redirects += 1
            self.followers.pop(sender.name, None)
            self.send(source, sender.number, Redirect(redirect_reason))
            return ""
        if lease is None or sender.incarnation > lease.incarnation:
            lease = self.followers[sender.name] = Lease(
                sender.incarnation, source, body.scopes, 0, ReplayWindow()
            )
            lease.replay_window.accept(sender.number)
        lease.address, lease.scopes, lease.expires_at = (
            source,
            body.scopes,
            now_ns + self.settings.lease_ns,
        )
        lease.epoch, lease.revision = body.epoch, body.revision
        self.send_head(now_ns, sender.number, source, self.differs(body))
        return ""

    def reason_not_to_serve(self, body: Report) -> str:
        """Returns the reason for redirecting a follower with that report; "" if it is served."""
        held_scopes = self.replica.table.scopes
        if self.is_draining:
            return "leaving"
        if self.replica.head is None:
            return "nothing here yet"
        if held_scopes is not None and (
            body.scopes is None or not set(body.scopes) <= set(held_scopes)
        ):
            return "scopes that are not held here"
        return ""

    def is_full(self, now_ns: int) -> bool:
        """Returns whether no further follower is accepted; drops expired leases first."""
        if len(self.followers) >= self.settings.max_followers:
            for name in [
                name for name, lease in self.followers.items() if lease.expires_at <= now_ns
            ]:
                del self.followers[name]
        return len(self.followers) >= self.settings.max_followers

    def differs(self, body: Report) -> bool:
        """Returns whether a follower's digest differs from the replica's; counts it if so."""
        head = self.replica.head
        if (
            head is None
            or body.epoch != head.epoch
            or not 0 <= head.revision - body.revision <= MAX_COMPARED_REVISIONS
        ):
            return False
        digest = self.replica.digest_at(body.revision, body.scopes)
        is_different = digest is not None and digest != body.digest
        self.counts.differing += is_different
        return is_different

    def send_head(self, now_ns: int, number: int, to: Address, differs: bool) -> None:
        """Sends the replica's head in answer to the message with that number."""
        assert self.replica.head is not None
        # While a sync of a relay's own replica runs, the replica still reports its old head; it
        # serves neither digests nor pages of the later revision.
        self.send(
            to,
            number,
            HeadStatus(
                self.replica.head,
                self.table_age_ms(now_ns),
                differs,
                self.replica.log.base_revision,
            ),
        )

    def lease_of(self, now_ns: int, message: Message) -> Lease | None:
        """Returns the sender's lease; None if it has none, or if the message is a replay."""
        sender = message.sender
        lease = self.followers.get(sender.name)
        if (
            lease is None
            or lease.expires_at <= now_ns
            or lease.incarnation != sender.incarnation
            or not lease.replay_window.accept(sender.number)
        ):
            return None
        return lease

    def on_pull(self, now_ns: int, message: Message, source: Address) -> str:
        """Handles PULL by sending the changes; returns why the request is refused, or ""."""
        lease, body, head = self.lease_of(now_ns, message), message.body, self.replica.head
        assert isinstance(body, PullRequest)
        if lease is None or head is None:
            return "PULL replayed or without a lease"
        changes = (
            self.replica.log.changes_since(body.after_revision, body.max_changes)
            if body.epoch == head.epoch
            else None
        )
        if changes is None:
            self.send_head(now_ns, message.sender.number, lease.address, False)
        for change in changes or ():
            self.counts.pulled += 1
            with_body = lease.scopes is None or change.scope in lease.scopes
            self.enqueue(lease.address, self.sealed_change(change, with_body))
        return ""

    def on_digests_request(self, now_ns: int, message: Message, source: Address) -> str:
        """Handles DIGESTS_REQUEST by sending both halves; returns why it is refused, or ""."""
        lease, head = self.lease_of(now_ns, message), self.replica.head
        if lease is None:
            return "DIGESTS_ASK replayed or without a lease"
        if head is None or not self.replica.is_complete:
            return "DIGESTS_ASK while no complete revision is held"
        digests = self.replica.digests_of(lease.scopes)
        for half in (0, 1):
            self.send(
                lease.address,
                message.sender.number,
                DigestsResponse(
                    head, half, tuple(digests[half * HALF_BUCKETS : (half + 1) * HALF_BUCKETS])
                ),
            )
        return ""

    def on_pages_request(self, now_ns: int, message: Message, source: Address) -> str:
        """Handles PAGES_REQUEST by sending pages within the byte rate.

        Returns why the request is refused, or "". If the byte rate is exceeded, the remaining pages
        are not sent; the follower repeats its request.
        """
        lease, body, head = self.lease_of(now_ns, message), message.body, self.replica.head
        assert isinstance(body, PagesRequest)
        if lease is None:
            return "PAGES_ASK replayed or without a lease"
        if head is None or not self.replica.is_complete:
            return "PAGES_ASK while no complete revision is held"
        self.page_tokens = min(
            float(self.settings.page_burst_bytes),
            self.page_tokens
            + (now_ns - self.page_tokens_refilled_at)
            * self.settings.page_bytes_per_s
            / (1000 * NS_PER_MS),
        )
        self.page_tokens_refilled_at = now_ns
        after = body.after
        for page_index in range(body.page_count):
            if self.page_tokens <= 0:
                self.counts.held_back += 1
                return ""
            page = self.replica.table.page(body.bucket, after, lease.scopes, MAX_PAGE_BYTES)
            self.page_tokens -= self.send(
                lease.address,
                message.sender.number,
                PageResponse(head.epoch, head.revision, body.bucket, page_index, after, page),
            )
            self.counts.pages += 1
            after = page.last_position
            if page.is_last:
                break
        return ""

    def on_leave(self, now_ns: int, message: Message, source: Address) -> str:
        """Handles BYE by ending the sender's lease; never refused."""
        if self.lease_of(now_ns, message) is not None:
            del self.followers[message.sender.name]
        return ""

    # Sent messages.

    def drain(self) -> None:
        """Redirects all followers, and from now on every follower that reports."""
        self.is_draining = True
        for lease in self.followers.values():
            self.send(lease.address, 0, Redirect("leaving"))
        self.followers.clear()

    def send(self, to: Address, number: int, body: Body) -> int:
        """Sends a message and returns its size in bytes."""
        data = seal(Sender(self.name, self.incarnation, number), body, self.keys[0])
        self.enqueue(to, data)
        return len(data)

    def enqueue(self, to: Address, data: bytes) -> None:
        """Queues a datagram; beyond `MAX_OUTBOX_DATAGRAMS` it is dropped and counted."""
        if len(self.outbox) >= MAX_OUTBOX_DATAGRAMS:
            self.counts.dropped += 1
            return
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.outbox.append((to, data))


def summary(source: Source, now_ns: int) -> Mapping[str, object]:
    """Returns the source's part of the state file, as plain values."""
    head, counts = source.replica.head, source.counts
    return {
        "name": source.name,
        "epoch": head.epoch if head else None,
        "revision": head.revision if head else None,
        "age_ms": source.table_age_ms(now_ns),
        "whole": source.replica.is_complete,
        "log": len(source.replica.log),
        "followers": len(source.followers),
        "followers_most": source.settings.max_followers,
        "behind": sum(
            1
            for lease in source.followers.values()
            if head and (lease.epoch, lease.revision) < head[:2]
        ),
        "counts": counts.exported(),
    }


HANDLERS: dict[type[Body], Callable[[Source, int, Message, Address], str]] = {
    Report: Source.on_report,
    PullRequest: Source.on_pull,
    DigestsRequest: Source.on_digests_request,
    PagesRequest: Source.on_pages_request,
    Leave: Source.on_leave,
}
