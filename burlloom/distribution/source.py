"""The side of replication that is followed: a control machine, or a relay. No I/O.

A relay has a `Follower` beside it on the same `Replica`. A host calls `tick` about once a
heartbeat, passes datagrams to `receive`, calls `push_changes` after anything that may have moved
the replica, and sends what lies in `out`. A change is sealed once for all followers, since nothing
in it depends on one of them. Times are ns of a clock that never goes back.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

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
from .settings import MS, ReplicationSettings

MAX_PUSH_CHANGES = 64  # changes that are pushed at once; who misses more pulls
MAX_SEALED_CHANGES = 512  # changes kept sealed, with and without bodies: 1.2 MB at most
MAX_COMPARED_REVISIONS = 64  # revisions back that a report's digest is still compared
MAX_OUT_DATAGRAMS = 32_768  # datagrams that wait for the host

Address = tuple[str, int]


@dataclass(slots=True)
class Lease:
    """A follower's lease; `expires_at` is in ns."""

    incarnation: int
    address: Address
    scopes: tuple[str, ...] | None
    expires_at: int
    replay_window: ReplayWindow
    epoch: int = 0
    revision: int = 0


@dataclass(slots=True)
class Counts:
    """Counters since the start; `exported` gives them for metrics and the state file."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    pushed: int = 0  # changes to followers, each to each
    pulled: int = 0
    pages: int = 0
    held_back: int = 0  # pages that were over the rate
    redirects: int = 0
    differing: int = 0
    dropped: int = 0
    refused: dict[str, int] = field(default_factory=dict)  # by reason

    def exported(self) -> dict[str, Any]:
        """Return the counters by the names that state files and metrics have for them."""
        return export_counters(self)


class Source:
    """Serves followers from a replica.

    Args:
        replica: the table that is served.
        name: this server's name.
        incarnation: Unix ms of the process's start.
        keys: the first seals messages, any opens them.
        settings: intervals and limits.
        random: source of jitter.
        now: current time in ns.
        age_ms: given a time, returns how many ms ago the replica was confirmed to be the newest;
            None: never.
    """

    def __init__(
        self,
        replica: Replica,
        name: str,
        incarnation: int,
        keys: tuple[bytes, ...],
        settings: ReplicationSettings,
        random: Random,
        now: int,
        age: Callable[[int], int | None],
    ) -> None:
        self.replica, self.name, self.incarnation, self.keys = replica, name, incarnation, keys
        self.settings, self.random = settings, random
        self.age_ms = age
        self.out: deque[tuple[Address, bytes]] = deque()
        self.counts = Counts()
        self.refusals: deque[tuple[str, Address]] = deque(
            maxlen=MAX_PENDING_REFUSALS
        )  # until the host takes them
        self.followers: dict[str, Lease] = {}
        self.pushed_up_to = (
            (replica.head.epoch, replica.head.revision) if replica.head is not None else (0, 0)
        )
        self.sealed_changes: dict[tuple[int, int, bool], bytes] = {}
        self.tokens, self.tokens_filled_at = float(settings.page_burst_bytes), now
        self.is_draining = False

    # Once in a while.

    def tick(self, now: int) -> None:
        """Forget followers whose lease is over, and push what is new."""
        for name in [name for name, lease in self.followers.items() if lease.expires_at <= now]:
            del self.followers[name]
        self.push_changes(now)

    def push_changes(self, now: int) -> None:
        """Push new changes to all followers; after a sync or too many changes they pull instead."""
        head = self.replica.head
        if head is None or not self.replica.is_complete or self.pushed_up_to == head[:2]:
            return
        epoch, revision = self.pushed_up_to
        changes = None
        if epoch == head.epoch and head.revision - revision <= MAX_PUSH_CHANGES:
            changes = self.replica.log.changes_since(revision, MAX_PUSH_CHANGES)
        self.pushed_up_to = head.epoch, head.revision
        for change in changes or ():
            full, bare = self.sealed_change(change, True), b""
            for lease in self.followers.values():
                if lease.expires_at <= now:
                    continue
                if lease.scopes is None or change.scope in lease.scopes:
                    self.post(lease.address, full)
                else:
                    bare = bare or self.sealed_change(change, False)
                    self.post(lease.address, bare)
                self.counts.pushed += 1

    def sealed_change(self, change: Change, full: bool) -> bytes:
        """Return the datagram of a change, sealed once for all followers; `full`: with its body."""
        key = change.epoch, change.revision, full
        data = self.sealed_changes.get(key)
        if data is None:
            if len(self.sealed_changes) >= MAX_SEALED_CHANGES:
                del self.sealed_changes[next(iter(self.sealed_changes))]
            data = self.sealed_changes[key] = seal(
                Sender(self.name, self.incarnation, 0),
                PushedChange(change if full else change.without_body()),
                self.keys[0],
            )
        return data

    # What comes.

    def receive(self, now: int, data: bytes, source: Address) -> None:
        """Handle one datagram; what is refused is counted by its reason."""
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        try:
            message = unseal(data, self.keys)
        except MessageDecodeError as error:
            self.count_refusal(str(error), source)
            return
        does = HANDLERS.get(type(message.body))
        reason = does(self, now, message, source) if does else "nothing for who is followed"
        if reason:
            self.count_refusal(reason, source)

    def count_refusal(self, reason: str, source: Address) -> None:
        """Count a refused message and keep it for the host's log."""
        self.refusals.append((count_refusal(self.counts.refused, reason), source))

    def on_report(self, now: int, message: Message, source: Address) -> str:
        """Grant or renew a lease, or redirect; returns why the report is refused, else ""."""
        sender, body, head = message.sender, message.body, self.replica.head
        assert isinstance(body, Report)
        lease = self.followers.get(sender.name)
        if (
            lease is not None
            and lease.expires_at <= now
            and lease.incarnation != sender.incarnation
        ):
            lease = None
        if lease is not None and sender.incarnation < lease.incarnation:
            return "an older life"
        if (
            lease is not None
            and sender.incarnation == lease.incarnation
            and not lease.replay_window.accept(sender.number)
        ):
            return "a number that was there"
        no = self.reason_not_to_serve(body) or (
            "full" if lease is None and self.is_full(now) else ""
        )
        if head is None or no:
            self.counts.redirects += 1
            self.followers.pop(sender.name, None)
            self.send(source, sender.number, Redirect(no))
            return ""
        if lease is None or sender.incarnation > lease.incarnation:
            lease = self.followers[sender.name] = Lease(
                sender.incarnation, source, body.scopes, 0, ReplayWindow()
            )
            lease.replay_window.accept(sender.number)
        lease.address, lease.scopes, lease.expires_at = (
            source,
            body.scopes,
            now + self.settings.lease_ns,
        )
        lease.epoch, lease.revision = body.epoch, body.revision
        self.send_head(now, sender.number, source, self.differs(body))
        return ""

    def reason_not_to_serve(self, body: Report) -> str:
        """Return why that follower can't be served here; "" if it can."""
        held = self.replica.table.scopes
        if self.is_draining:
            return "leaving"
        if self.replica.head is None:
            return "nothing here yet"
        if held is not None and (body.scopes is None or not set(body.scopes) <= set(held)):
            return "scopes that are not held here"
        return ""

    def is_full(self, now: int) -> bool:
        """Whether no further follower is taken; leases that are over are dropped first."""
        if len(self.followers) >= self.settings.max_followers:
            for name in [name for name, lease in self.followers.items() if lease.expires_at <= now]:
                del self.followers[name]
        return len(self.followers) >= self.settings.max_followers

    def differs(self, body: Report) -> bool:
        """Whether a follower's digest differs from ours at the same revision; counted."""
        head = self.replica.head
        if (
            head is None
            or body.epoch != head.epoch
            or not 0 <= head.revision - body.revision <= MAX_COMPARED_REVISIONS
        ):
            return False
        digest = self.replica.digest_at(body.revision, body.scopes)
        found = digest is not None and digest != body.digest
        self.counts.differing += found
        return found

    def send_head(self, now: int, number: int, to: Address, differs: bool) -> None:
        """Send our head, in answer to the message of that number."""
        assert self.replica.head is not None
        # A copy on its way to a later revision is nothing to pull from or sync with, and says no
        # other head.
        self.send(
            to,
            number,
            HeadStatus(
                self.replica.head, self.age_ms(now), differs, self.replica.log.base_revision
            ),
        )

    def lease_of(self, now: int, message: Message) -> Lease | None:
        """Return the sender's lease; None if it has none, or its number was seen before."""
        sender = message.sender
        lease = self.followers.get(sender.name)
        if (
            lease is None
            or lease.expires_at <= now
            or lease.incarnation != sender.incarnation
            or not lease.replay_window.accept(sender.number)
        ):
            return None
        return lease

    def on_pull(self, now: int, message: Message, source: Address) -> str:
        """Send the changes that a follower asks for; returns why it is refused, else ""."""
        lease, body, head = self.lease_of(now, message), message.body, self.replica.head
        assert isinstance(body, PullRequest)
        if lease is None or head is None:
            return "a PULL of none that follows, or played again"
        changes = (
            self.replica.log.changes_since(body.after_revision, body.max_changes)
            if body.epoch == head.epoch
            else None
        )
        if changes is None:
            self.send_head(now, message.sender.number, lease.address, False)
        for change in changes or ():
            self.counts.pulled += 1
            full = lease.scopes is None or change.scope in lease.scopes
            self.post(lease.address, self.sealed_change(change, full))
        return ""

    def on_digests_request(self, now: int, message: Message, source: Address) -> str:
        """Send both halves of the digests; returns why the request is refused, else ""."""
        lease, head = self.lease_of(now, message), self.replica.head
        if lease is None:
            return "a DIGESTS_ASK of none that follows, or played again"
        if head is None or not self.replica.is_complete:
            return "a DIGESTS_ASK while there is no whole revision here"
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

    def on_pages_request(self, now: int, message: Message, source: Address) -> str:
        """Send pages within the byte rate; returns why the request is refused, else ""."""
        lease, body, head = self.lease_of(now, message), message.body, self.replica.head
        assert isinstance(body, PagesRequest)
        if lease is None:
            return "a PAGES_ASK of none that follows, or played again"
        if head is None or not self.replica.is_complete:
            return "a PAGES_ASK while there is no whole revision here"
        self.tokens = min(
            float(self.settings.page_burst_bytes),
            self.tokens
            + (now - self.tokens_filled_at) * self.settings.page_bytes_per_s / (1000 * MS),
        )
        self.tokens_filled_at = now
        after = body.after
        for place in range(body.page_count):
            if self.tokens <= 0:
                self.counts.held_back += 1
                return ""
            page = self.replica.table.page(body.bucket, after, lease.scopes, MAX_PAGE_BYTES)
            self.tokens -= self.send(
                lease.address,
                message.sender.number,
                PageResponse(head.epoch, head.revision, body.bucket, place, after, page),
            )
            self.counts.pages += 1
            after = page.last_position
            if page.is_last:
                break
        return ""

    def on_leave(self, now: int, message: Message, source: Address) -> str:
        """End a follower's lease; always accepted."""
        if self.lease_of(now, message) is not None:
            del self.followers[message.sender.name]
        return ""

    # What leaves.

    def drain(self) -> None:
        """Redirect all followers, and from now on whoever reports."""
        self.is_draining = True
        for lease in self.followers.values():
            self.send(lease.address, 0, Redirect("leaving"))
        self.followers.clear()

    def send(self, to: Address, number: int, body: Body) -> int:
        """Send a message and return its size in bytes."""
        data = seal(Sender(self.name, self.incarnation, number), body, self.keys[0])
        self.post(to, data)
        return len(data)

    def post(self, to: Address, data: bytes) -> None:
        """Queue a datagram for the host; over `MAX_OUT_DATAGRAMS` it is dropped and counted."""
        if len(self.out) >= MAX_OUT_DATAGRAMS:
            self.counts.dropped += 1
            return
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.out.append((to, data))


def summary(source: Source, now: int) -> Mapping[str, object]:
    """Return plain values for an operator, as the state file has them."""
    head, counts = source.replica.head, source.counts
    return {
        "name": source.name,
        "epoch": head.epoch if head else None,
        "revision": head.revision if head else None,
        "age_ms": source.age_ms(now),
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
