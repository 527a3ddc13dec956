"""The side that is followed: of a control machine, or of a relay (a Follower beside it on the same
Replica). No I/O.

A host gives it the time (`tick`, once a beat or so) and what datagrams come (`hear`), calls `push`
after anything that may have moved the copy, and sends what lies in `out`. A change is sealed once
for all followers: nothing in it is of one of them. Times are ns of a clock that never steps back.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from .changes import Change
from .messages import (
    HALF,
    PAGE_BYTES,
    Body,
    Bye,
    Digests,
    DigestsAsk,
    Message,
    Paged,
    PagesAsk,
    Pull,
    Pushed,
    Redirect,
    Report,
    Sender,
    Told,
    Unreadable,
    Window,
    seal,
    unseal,
)
from .refusals import REFUSALS_MOST, counted
from .replica import Replica
from .terms import MS, Terms

PUSH_MOST = 64  # changes that are pushed at once; who misses more pulls
SEALED_MOST = 512  # changes kept sealed, with and without bodies: 1.2 MB at most
JUDGED_MOST = 64  # revisions back that a report's digest is still compared
OUT_MOST = 32_768  # datagrams that wait for the host

Address = tuple[str, int]


@dataclass(slots=True)
class Lease:
    """One that follows. `until`: ns."""

    life: int
    address: Address
    scopes: tuple[str, ...] | None
    until: int
    window: Window
    epoch: int = 0
    revision: int = 0


@dataclass(slots=True)
class Counts:
    """For whoever reads metrics."""

    sent: int = 0
    sent_bytes: int = 0
    heard: int = 0
    heard_bytes: int = 0
    pushed: int = 0  # changes to followers, each to each
    pulled: int = 0
    pages: int = 0
    held_back: int = 0  # pages that were over the rate
    redirects: int = 0
    differing: int = 0
    dropped: int = 0
    refused: dict[str, int] = field(default_factory=dict)  # by reason


class Source:
    """`age`: ms since the copy was surely the newest, at a time; None: never. The first key
    seals.
    """

    def __init__(
        self,
        replica: Replica,
        name: str,
        life: int,
        keys: tuple[bytes, ...],
        terms: Terms,
        chance: Random,
        now: int,
        age: Callable[[int], int | None],
    ) -> None:
        self.replica, self.name, self.life, self.keys = replica, name, life, keys
        self.terms, self.chance = terms, chance
        self.age = age
        self.out: deque[tuple[Address, bytes]] = deque()
        self.counts = Counts()
        self.refusals: deque[tuple[str, Address]] = deque(
            maxlen=REFUSALS_MOST
        )  # until the host takes them
        self.followers: dict[str, Lease] = {}
        self.pushed = (
            (replica.head.epoch, replica.head.revision) if replica.head is not None else (0, 0)
        )
        self.sealed: dict[tuple[int, int, bool], bytes] = {}
        self.tokens, self.filled_at = float(terms.page_burst), now
        self.leaving = False

    # Once in a while.

    def tick(self, now: int) -> None:
        for name in [name for name, lease in self.followers.items() if lease.until <= now]:
            del self.followers[name]
        self.push(now)

    def push(self, now: int) -> None:
        """What is new goes to all who follow. After a sync, or where it is very much, they pull."""
        head = self.replica.head
        if head is None or not self.replica.whole or self.pushed == head[:2]:
            return
        epoch, revision = self.pushed
        changes = None
        if epoch == head.epoch and head.revision - revision <= PUSH_MOST:
            changes = self.replica.log.since(revision, PUSH_MOST)
        self.pushed = head.epoch, head.revision
        for change in changes or ():
            full, bare = self.sealed_of(change, True), b""
            for lease in self.followers.values():
                if lease.until <= now:
                    continue
                if lease.scopes is None or change.scope in lease.scopes:
                    self.post(lease.address, full)
                else:
                    bare = bare or self.sealed_of(change, False)
                    self.post(lease.address, bare)
                self.counts.pushed += 1

    def sealed_of(self, change: Change, full: bool) -> bytes:
        key = change.epoch, change.revision, full
        data = self.sealed.get(key)
        if data is None:
            if len(self.sealed) >= SEALED_MOST:
                del self.sealed[next(iter(self.sealed))]
            data = self.sealed[key] = seal(
                Sender(self.name, self.life, 0),
                Pushed(change if full else change.without_body()),
                self.keys[0],
            )
        return data

    # What comes.

    def hear(self, now: int, data: bytes, source: Address) -> None:
        self.counts.heard += 1
        self.counts.heard_bytes += len(data)
        try:
            message = unseal(data, self.keys)
        except Unreadable as error:
            self.refuse(str(error), source)
            return
        does = HEARD.get(type(message.body))
        reason = does(self, now, message, source) if does else "nothing for who is followed"
        if reason:
            self.refuse(reason, source)

    def refuse(self, reason: str, source: Address) -> None:
        self.refusals.append((counted(self.counts.refused, reason), source))

    def reported(self, now: int, message: Message, source: Address) -> str:
        sender, body, head = message.sender, message.body, self.replica.head
        assert isinstance(body, Report)
        lease = self.followers.get(sender.name)
        if lease is not None and lease.until <= now and lease.life != sender.life:
            lease = None
        if lease is not None and sender.life < lease.life:
            return "an older life"
        if lease is not None and sender.life == lease.life and not lease.window.new(sender.number):
            return "a number that was there"
        no = self.unfit(body) or ("full" if lease is None and self.crowded(now) else "")
        if head is None or no:
            self.counts.redirects += 1
            self.followers.pop(sender.name, None)
            self.send(source, sender.number, Redirect(no))
            return ""
        if lease is None or sender.life > lease.life:
            lease = self.followers[sender.name] = Lease(
                sender.life, source, body.scopes, 0, Window()
            )
            lease.window.new(sender.number)
        lease.address, lease.scopes, lease.until = source, body.scopes, now + self.terms.lease
        lease.epoch, lease.revision = body.epoch, body.revision
        self.tell(now, sender.number, source, self.differs(body))
        return ""

    def unfit(self, body: Report) -> str:
        """Why we can't be followed by that one; empty where we can."""
        held = self.replica.table.scopes
        if self.leaving:
            return "leaving"
        if self.replica.head is None:
            return "nothing here yet"
        if held is not None and (body.scopes is None or not set(body.scopes) <= set(held)):
            return "scopes that are not held here"
        return ""

    def crowded(self, now: int) -> bool:
        if len(self.followers) >= self.terms.followers_most:
            for name in [name for name, lease in self.followers.items() if lease.until <= now]:
                del self.followers[name]
        return len(self.followers) >= self.terms.followers_most

    def differs(self, body: Report) -> bool:
        head = self.replica.head
        if (
            head is None
            or body.epoch != head.epoch
            or not 0 <= head.revision - body.revision <= JUDGED_MOST
        ):
            return False
        digest = self.replica.digest_at(body.revision, body.scopes)
        found = digest is not None and digest != body.digest
        self.counts.differing += found
        return found

    def tell(self, now: int, number: int, to: Address, differs: bool) -> None:
        assert self.replica.head is not None
        # A copy on its way to a later revision is nothing to pull from or sync with, and says no
        # other head.
        self.send(
            to, number, Told(self.replica.head, self.age(now), differs, self.replica.log.base)
        )

    def lease_of(self, now: int, message: Message) -> Lease | None:
        """Who asked, where that is one that follows, and did not ask with that number before."""
        sender = message.sender
        lease = self.followers.get(sender.name)
        if (
            lease is None
            or lease.until <= now
            or lease.life != sender.life
            or not lease.window.new(sender.number)
        ):
            return None
        return lease

    def pulled(self, now: int, message: Message, source: Address) -> str:
        lease, body, head = self.lease_of(now, message), message.body, self.replica.head
        assert isinstance(body, Pull)
        if lease is None or head is None:
            return "a PULL of none that follows, or played again"
        changes = (
            self.replica.log.since(body.after, body.most) if body.epoch == head.epoch else None
        )
        if changes is None:
            self.tell(now, message.sender.number, lease.address, False)
        for change in changes or ():
            self.counts.pulled += 1
            full = lease.scopes is None or change.scope in lease.scopes
            self.post(lease.address, self.sealed_of(change, full))
        return ""

    def digests_asked(self, now: int, message: Message, source: Address) -> str:
        lease, head = self.lease_of(now, message), self.replica.head
        if lease is None:
            return "a DIGESTS_ASK of none that follows, or played again"
        if head is None or not self.replica.whole:
            return "a DIGESTS_ASK while there is no whole revision here"
        digests = self.replica.digests_of(lease.scopes)
        for half in (0, 1):
            self.send(
                lease.address,
                message.sender.number,
                Digests(head, half, tuple(digests[half * HALF : (half + 1) * HALF])),
            )
        return ""

    def pages_asked(self, now: int, message: Message, source: Address) -> str:
        lease, body, head = self.lease_of(now, message), message.body, self.replica.head
        assert isinstance(body, PagesAsk)
        if lease is None:
            return "a PAGES_ASK of none that follows, or played again"
        if head is None or not self.replica.whole:
            return "a PAGES_ASK while there is no whole revision here"
        self.tokens = min(
            float(self.terms.page_burst),
            self.tokens + (now - self.filled_at) * self.terms.page_rate / (1000 * MS),
        )
        self.filled_at = now
        after = body.after
        for place in range(body.pages):
            if self.tokens <= 0:
                self.counts.held_back += 1
                return ""
            page = self.replica.table.page(body.bucket, after, lease.scopes, PAGE_BYTES)
            self.tokens -= self.send(
                lease.address,
                message.sender.number,
                Paged(head.epoch, head.revision, body.bucket, place, after, page),
            )
            self.counts.pages += 1
            after = page.last
            if page.done:
                break
        return ""

    def left(self, now: int, message: Message, source: Address) -> str:
        if self.lease_of(now, message) is not None:
            del self.followers[message.sender.name]
        return ""

    # What leaves.

    def leave(self) -> None:
        """Sends all followers on; whoever reports later is sent on too."""
        self.leaving = True
        for lease in self.followers.values():
            self.send(lease.address, 0, Redirect("leaving"))
        self.followers.clear()

    def send(self, to: Address, number: int, body: Body) -> int:
        """The bytes that it took."""
        data = seal(Sender(self.name, self.life, number), body, self.keys[0])
        self.post(to, data)
        return len(data)

    def post(self, to: Address, data: bytes) -> None:
        if len(self.out) >= OUT_MOST:
            self.counts.dropped += 1
            return
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.out.append((to, data))


def summary(source: Source, now: int) -> Mapping[str, object]:
    """For an operator's eyes; plain values."""
    head, counts = source.replica.head, source.counts
    return {
        "name": source.name,
        "epoch": head.epoch if head else None,
        "revision": head.revision if head else None,
        "age_ms": source.age(now),
        "whole": source.replica.whole,
        "log": len(source.replica.log),
        "followers": len(source.followers),
        "followers_most": source.terms.followers_most,
        "behind": sum(
            1
            for lease in source.followers.values()
            if head and (lease.epoch, lease.revision) < head[:2]
        ),
        "counts": {name: getattr(counts, name) for name in counts.__slots__},
    }


HEARD: dict[type[Body], Callable[[Source, int, Message, Address], str]] = {
    Report: Source.reported,
    Pull: Source.pulled,
    DigestsAsk: Source.digests_asked,
    PagesAsk: Source.pages_asked,
    Bye: Source.left,
}
