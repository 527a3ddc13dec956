"""One member of the fleet: membership, share of the downstream calls, messages. No I/O.

A host gives it the time of a clock that never steps back, the datagrams that come (`receive`) and
what is in use (`set_usage`), calls `tick` several times a round, and sends what lies in `outbox`.
"""

from collections import deque
from collections.abc import Callable, Mapping
from random import Random

from .allocator import Allocator
from .gossip import GossipSender
from .lease_holder import LeaseHolder
from .membership import (
    MembershipInput,
    MembershipView,
    MemberState,
    MemberUpdate,
    Transition,
    find_due_inputs,
)
from .messages import Message, MessageDecodeError, MessageKind, decode
from .probing import Prober
from .quota import QuotaProtocol
from .settings import MILLICALLS_PER_CALL, NS_PER_MS, GossipSettings, QuotaSettings
from .synchronization import ViewSynchronizer

__all__ = ["Fleet", "summarize"]

# Without a tick for so many rounds this process stood still.
_PAUSE_ROUNDS = 5
_LONG_AGO_NS = 3600 * 1000 * NS_PER_MS
_MAX_LEAVE_MESSAGES = 50
# Suspicion lasts longer in a large fleet, where a refutation has a longer way: by a quarter of a
# probe's interval for each bit of the fleet's size.
_SUSPICION_INTERVALS_DIVISOR = 4


class Fleet:
    """This member's part in the fleet.

    Attributes:
        quota_settings: The same on each member.
        gossip_settings: Of the membership protocol.
        view: Who else is there.
        prober: Finds out who answers.
        quota: Reports and grants.
        outbox: Addresses and datagrams, for the host to send.
        counters: Since the start.
        transitions: Steps of members, until the host takes them.
        previous_incarnation: The latest one of our name before this, Unix ms, that others knew and
            that did not leave; 0 where there is none.
    """

    def __init__(
        self,
        own: MemberUpdate,
        seeds: tuple[str, ...],
        keys: tuple[bytes, ...],
        quota_settings: QuotaSettings,
        gossip_settings: GossipSettings,
        random: Random,
        now: int,
    ) -> None:
        """Begins alone and without a share.

        Args:
            own: This member, alive.
            seeds: Addresses where others may be; our own may be among them.
            keys: Of the fleet; the first seals, all open.
            quota_settings: The same on each member.
            gossip_settings: Of the membership protocol.
            random: For the order of probes and the choice of receivers.
            now: ns on a clock that nobody sets.
        """
        never_ns = now - _LONG_AGO_NS
        seeds = tuple(seed for seed in seeds if seed != own.address)
        self.quota_settings = quota_settings
        self.gossip_settings = gossip_settings
        self.random = random
        self.view = MembershipView(own, now)
        self.sender = GossipSender(self.view, keys)
        self.synchronizer = ViewSynchronizer(
            self.view, self.sender, gossip_settings, quota_settings, never_ns
        )
        self.prober = Prober(
            self.view, self.sender, self.synchronizer, gossip_settings, seeds, random, never_ns
        )
        self.quota = QuotaProtocol(self.view, self.sender, quota_settings, now, never_ns)
        self.outbox: deque[tuple[str, bytes]] = self.sender.outbox
        self.counters = self.sender.counters
        self.transitions: list[Transition] = []
        self.previous_incarnation = 0
        self._round_at_ns = never_ns
        self._ticked_at_ns = now
        self._handlers = self._make_handlers()

    def _make_handlers(self) -> dict[MessageKind, Callable[[int, Message], None]]:
        return {
            MessageKind.PING: self.prober.process_ping,
            MessageKind.ACK: self.prober.process_ack,
            MessageKind.PING_REQUEST: self.prober.process_ping_request,
            MessageKind.SYNC: self.synchronizer.process_sync,
            MessageKind.PAGE: self.synchronizer.process_page,
            MessageKind.REPORT: self.quota.process_report,
            MessageKind.GRANT: self.quota.process_grant,
            MessageKind.LEAVE: self._process_leave,
            MessageKind.PREVIOUS_INCARNATION: self._process_previous_incarnation,
            MessageKind.REDIRECT: self.quota.process_redirect,
            MessageKind.RELEASE: self.quota.process_release,
        }

    @property
    def own(self) -> MemberUpdate:
        """What this member says of itself."""
        return self.view.own

    @property
    def share(self) -> int:
        """Millicalls that may be in progress downstream."""
        return self.quota.lease_holder.share

    @property
    def allocator(self) -> Allocator:
        """Idle while another member allocates."""
        return self.quota.allocator

    @property
    def lease_holder(self) -> LeaseHolder:
        """The lease of this member's share."""
        return self.quota.lease_holder

    @property
    def allocator_name(self) -> str:
        """The member that allocates, as we see it; empty before the first round."""
        return self.quota.allocator_name

    @property
    def settings_mismatches(self) -> int:
        """Messages from members whose quota settings are not ours."""
        return self.synchronizer.settings_mismatches

    def set_keys(self, keys: tuple[bytes, ...]) -> None:
        """Changes the fleet's keys; the first seals, all open."""
        self.sender.keys = keys

    @property
    def keys(self) -> tuple[bytes, ...]:
        """The fleet's keys."""
        return self.sender.keys

    def set_weight(self, weight: int) -> None:
        """Sets this member's weight against the others, in thousandths."""
        self.quota.weight = weight

    def set_usage(self, demand: int, in_use: int) -> None:
        """Sets what could be used now and what is, in millicalls."""
        self.quota.demand = demand
        self.quota.in_use = in_use

    def is_current(self, now: int) -> bool:
        """Whether the share may still be acted on: else `tick` comes first.

        Guards against a process that stood still and wakes with what was allocated to others
        meanwhile.
        """
        return now - self._ticked_at_ns <= self.quota_settings.lease_ns

    def tick(self, now: int) -> None:
        """Does what is due by time."""
        gap_ns = now - self._ticked_at_ns
        interval_ns = self.quota_settings.report_interval_ns
        was_paused = gap_ns > _PAUSE_ROUNDS * interval_ns
        if was_paused:
            self.resume_after_pause(gap_ns)
        self._ticked_at_ns = now
        self.prober.run(now)
        is_round_due = self.quota.is_round_wanted or now - self._round_at_ns >= interval_ns
        if is_round_due or was_paused:
            self._round_at_ns = now
            self._run_round(now, gap_ns)
        self._collect_transitions()

    def receive(self, now: int, data: bytes) -> None:
        """Takes in a datagram; one that is no message of the fleet is counted and dropped."""
        try:
            message = decode(data, self.sender.keys)
        except MessageDecodeError:
            self.counters.unreadable += 1
            return
        self.counters.heard += 1
        sender, own = message.sender, self.own
        if sender.name == own.name and sender.incarnation == own.incarnation:
            return  # our own, led back to us
        for update in (sender, *message.updates):
            is_known = update.name in self.view.by_name
            if is_known or len(self.view.by_name) < self.view.MAX_MEMBERS:
                self.view.process_update(now, update)
        self.counters.refuted += self.own is not own
        self._handlers[message.kind](now, message)
        self._collect_transitions()

    def leave(self, now: int) -> None:
        """Queues our last messages: to all in a small fleet, to some who pass it on in a large."""
        self.view.leave(now)
        present = [member.update for member in self.view.present_members()]
        some = self.random.sample(present, min(_MAX_LEAVE_MESSAGES, len(present)))
        for update in {self.view.oldest_present(), *some}:
            self.sender.send(update.address, MessageKind.LEAVE, 0)

    def resume_after_pause(self, gap_ns: int) -> None:
        """What we did not receive meanwhile says nothing of the others."""
        self.prober.reset()
        for member in self.view:
            if member.state is MemberState.SUSPECT:
                member.since_ns += gap_ns
                self.view.changed_names.add(member.update.name)

    def _run_round(self, now: int, gap_ns: int) -> None:
        for name, due in find_due_inputs(
            self.view.not_alive.values(),
            now,
            self._suspicion_timeout_ns(),
            self.gossip_settings.forget_after_ns,
        ):
            # With few present nobody is forgotten: the majority may be on the other side.
            if due is not MembershipInput.FORGET_DUE or self._has_majority_present():
                self.view.apply_input(now, name, due)
        self.quota.run_round(now, gap_ns)

    def _suspicion_timeout_ns(self) -> int:
        settings = self.gossip_settings
        size_bits = len(self.view.by_name).bit_length()
        extra_ns = settings.probe_interval_ns * size_bits // _SUSPICION_INTERVALS_DIVISOR
        return settings.suspicion_timeout_ns + extra_ns

    def _has_majority_present(self) -> bool:
        size = max(self.view.count_not_left(), self.quota_settings.min_members)
        return 2 * len(self.view.present_members()) > size

    def _collect_transitions(self) -> None:
        transitions, self.view.transitions = self.view.transitions, []
        self.sender.note_transitions(transitions)
        self.transitions = (self.transitions + transitions)[-self.view.MAX_MEMBERS :]

    def _process_leave(self, now: int, message: Message) -> None:
        """Needs nothing more: the sender's own update has said it."""

    def _process_previous_incarnation(self, now: int, message: Message) -> None:
        if len(message.values) == 1 and message.values[0] < self.own.incarnation:
            self.previous_incarnation = max(self.previous_incarnation, message.values[0])


def summarize(fleet: Fleet, now: int) -> Mapping[str, object]:
    """Returns the state of a member for operators, as plain values under the state file's keys."""
    return {
        "name": fleet.own.name,
        "life": fleet.own.incarnation,
        "incarnation": fleet.own.refutation,
        "share": fleet.share / MILLICALLS_PER_CALL,
        "state": fleet.lease_holder.state.label,
        "dealt_by": fleet.allocator_name,
        "deals": fleet.allocator.phase.label,
        "total": fleet.quota_settings.total_millicalls / MILLICALLS_PER_CALL,
        "strangers": fleet.settings_mismatches,
        "members": [_summarize_member(fleet, name, now) for name in sorted(fleet.view.by_name)],
        "counts": {name: getattr(fleet.counters, name) for name in fleet.counters.__slots__},
    }


def _summarize_member(fleet: Fleet, name: str, now: int) -> Mapping[str, object]:
    member = fleet.view.by_name[name]
    summary: dict[str, object] = {
        "name": name,
        "address": member.update.address,
        "life": member.update.incarnation,
        "incarnation": member.update.refutation,
        "state": member.state.name.lower(),
        "since_ms": (now - member.since_ns) // NS_PER_MS,
    }
    account = fleet.allocator.accounts.get(name)
    if account is not None:
        summary["bound"] = account.bound / MILLICALLS_PER_CALL
    return summary
