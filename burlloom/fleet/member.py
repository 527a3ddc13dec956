"""One member of the fleet: membership, share of the downstream calls, messages. Does no I/O.

The host program passes monotonic times, the received datagrams (`receive`) and the calls in use
(`set_usage`), calls `tick` several times per round, and sends the datagrams in `outbox`.
"""

from collections import deque
from collections.abc import Callable, Mapping
from random import Random

from ..time_units import NS_PER_MS
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
from .settings import MILLICALLS_PER_CALL, GossipSettings, QuotaSettings
from .synchronization import ViewSynchronizer

__all__ = ["FleetMember", "summarize"]

# A longer gap between two ticks, in report intervals, means that this process was suspended.
_PAUSE_ROUNDS = 5
# Age of the initial timestamps: longer than any interval, so that everything is due at once.
_LONG_AGO_NS = 3600 * 1000 * NS_PER_MS
# Maximum number of random members that are told of a leave directly; they pass it on.
_MAX_LEAVE_MESSAGES = 50
# The suspicion timeout grows by a quarter of the probe interval per bit of the fleet size, because
# a refutation takes longer to spread in a large fleet.
_SUSPICION_INTERVALS_DIVISOR = 4


class FleetMember:
    """A member of the fleet, as its own process runs it.

    Attributes:
        quota_settings: Settings of the allocation; equal on all members.
        gossip_settings: Settings of the membership protocol.
        random: Random generator of this member.
        view: Membership view of this member.
        sender: Builds and queues the messages of this member.
        synchronizer: Compares and exchanges views with other members.
        prober: Failure detector.
        quota: Reports, grants and changes of the allocator.
        outbox: Addresses and datagrams that the host must send.
        counters: Counters since the start.
        transitions: State changes of members that the host has not consumed yet.
        previous_incarnation: Unix time in ms of the latest earlier incarnation with this member's
            name that other members knew and that did not leave; 0 if there is none.
    """

    def __init__(
        self,
        own: MemberUpdate,
        seeds: tuple[str, ...],
        keys: tuple[bytes, ...],
        quota_settings: QuotaSettings,
        gossip_settings: GossipSettings,
        random: Random,
        now_ns: int,
    ) -> None:
        """Initializes a member that knows no other member and has no share.

        Args:
            own: This member's update on itself, in state ALIVE.
            seeds: Addresses at which other members may be; this member's own address is ignored.
            keys: Keys of the fleet; the first one authenticates sent messages, all of them verify
                received ones.
            quota_settings: Settings of the allocation; equal on all members.
            gossip_settings: Settings of the membership protocol.
            random: Determines the order of probes and the choice of recipients.
            now_ns: Monotonic time in ns.
        """
        never_ns = now_ns - _LONG_AGO_NS
        seeds = tuple(seed for seed in seeds if seed != own.address)
        self.quota_settings = quota_settings
        self.gossip_settings = gossip_settings
        self.random = random
        self.view = MembershipView(own, now_ns)
        self.sender = GossipSender(self.view, keys)
        self.synchronizer = ViewSynchronizer(
            self.view, self.sender, gossip_settings, quota_settings, never_ns
        )
        self.prober = Prober(
            self.view, self.sender, self.synchronizer, gossip_settings, seeds, random, never_ns
        )
        self.quota = QuotaProtocol(self.view, self.sender, quota_settings, now_ns, never_ns)
        self.outbox: deque[tuple[str, bytes]] = self.sender.outbox
        self.counters = self.sender.counters
        self.transitions: list[Transition] = []
        self.previous_incarnation = 0
        self._round_at_ns = never_ns
        self._ticked_at_ns = now_ns
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
        """This member's update on itself."""
        return self.view.own

    @property
    def share(self) -> int:
        """Millicalls that this member may have in progress downstream."""
        return self.quota.lease_holder.share

    @property
    def allocator(self) -> Allocator:
        """The allocator of this member; idle while another member allocates."""
        return self.quota.allocator

    @property
    def lease_holder(self) -> LeaseHolder:
        """The lease of this member's share."""
        return self.quota.lease_holder

    @property
    def allocator_name(self) -> str:
        """Name of the allocating member in this member's view; empty before the first round."""
        return self.quota.allocator_name

    @property
    def settings_mismatches(self) -> int:
        """Number of messages from members whose quota settings differ from this member's."""
        return self.synchronizer.settings_mismatches

    def set_keys(self, keys: tuple[bytes, ...]) -> None:
        """Replaces the keys of the fleet.

        Args:
            keys: The first key authenticates sent messages, all keys verify received ones.
        """
        self.sender.keys = keys

    @property
    def keys(self) -> tuple[bytes, ...]:
        """Keys of the fleet, the sending key first."""
        return self.sender.keys

    def set_weight(self, weight: int) -> None:
        """Sets this member's weight relative to the others, in thousandths."""
        self.quota.weight = weight

    def set_usage(self, demand: int, in_use: int) -> None:
        """Sets the demand and the calls in progress of this member, both in millicalls."""
        self.quota.demand = demand
        self.quota.in_use = in_use

    def is_current(self, now_ns: int) -> bool:
        """Returns whether the share may still be used; if not, `tick` must be called first.

        This protects against a process that resumes after a suspension and uses a share that was
        allocated to other members in the meantime.
        """
        return now_ns - self._ticked_at_ns <= self.quota_settings.lease_ns

    def tick(self, now_ns: int) -> None:
        """Runs what is due at `now_ns`: probes, the round, and recovery from a suspension."""
        gap_ns = now_ns - self._ticked_at_ns
        interval_ns = self.quota_settings.report_interval_ns
        was_paused = gap_ns > _PAUSE_ROUNDS * interval_ns
        if was_paused:
            self.resume_after_pause(gap_ns)
        self._ticked_at_ns = now_ns
        self.prober.run(now_ns)
        is_round_due = self.quota.is_round_wanted or now_ns - self._round_at_ns >= interval_ns
        if is_round_due or was_paused:
            self._round_at_ns = now_ns
            self._run_round(now_ns, gap_ns)
        self._collect_transitions()

    def receive(self, now_ns: int, data: bytes) -> None:
        """Processes a datagram; counts and drops a datagram that is not a valid fleet message."""
        try:
            message = decode(data, self.sender.keys)
        except MessageDecodeError:
            self.counters.unreadable += 1
            return
        self.counters.heard += 1
        sender, own = message.sender, self.own
        if sender.name == own.name and sender.incarnation == own.incarnation:
            return  # this member's own message, sent back to it
        for update in (sender, *message.updates):
            is_known = update.name in self.view.by_name
            if is_known or len(self.view.by_name) < self.view.MAX_MEMBERS:
                self.view.process_update(now_ns, update)
        self.counters.refuted += self.own is not own
        self._handlers[message.kind](now_ns, message)
        self._collect_transitions()

    def leave(self, now_ns: int) -> None:
        """Marks this member as left and queues the last messages of this member.

        In a small fleet all present members get one. In a large fleet only the oldest member and a
        random sample get one, and pass the update on.
        """
        self.view.leave(now_ns)
        present = [member.update for member in self.view.present_members()]
        recipients = self.random.sample(present, min(_MAX_LEAVE_MESSAGES, len(present)))
        for update in {self.view.oldest_present(), *recipients}:
            self.sender.send(update.address, MessageKind.LEAVE, 0)

    def resume_after_pause(self, gap_ns: int) -> None:
        """Discards probes and extends suspicions after this process was suspended.

        Missing answers during the suspension do not indicate that other members failed.

        Args:
            gap_ns: Time since the last tick.
        """
        self.prober.reset()
        for member in self.view:
            if member.state is MemberState.SUSPECT:
                member.since_ns += gap_ns
                self.view.changed_names.add(member.update.name)

    def _run_round(self, now_ns: int, gap_ns: int) -> None:
        for name, due_input in find_due_inputs(
            self.view.not_alive.values(),
            now_ns,
            self._suspicion_timeout_ns(),
            self.gossip_settings.forget_after_ns,
        ):
            # Without a majority of present members no member is forgotten: the majority may be on
            # the other side of a network partition.
            if due_input is not MembershipInput.FORGET_DUE or self._has_majority_present():
                self.view.apply_input(now_ns, name, due_input)
        self.quota.run_round(now_ns, gap_ns)

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
        self.sender.queue_transitions(transitions)
        self.transitions = (self.transitions + transitions)[-self.view.MAX_MEMBERS :]

    def _process_leave(self, now_ns: int, message: Message) -> None:
        """Does nothing: `receive` has already processed the sender's own update, in state LEFT."""

    def _process_previous_incarnation(self, now_ns: int, message: Message) -> None:
        if len(message.values) == 1 and message.values[0] < self.own.incarnation:
            self.previous_incarnation = max(self.previous_incarnation, message.values[0])


def summarize(fleet_member: FleetMember, now_ns: int) -> Mapping[str, object]:
    """Returns the state of a member as plain values, under the keys of the state file."""
    return {
        "name": fleet_member.own.name,
        "life": fleet_member.own.incarnation,
        "incarnation": fleet_member.own.refutation,
        "share": fleet_member.share / MILLICALLS_PER_CALL,
        "state": fleet_member.lease_holder.state.label,
        "dealt_by": fleet_member.allocator_name,
        "deals": fleet_member.allocator.phase.label,
        "total": fleet_member.quota_settings.total_millicalls / MILLICALLS_PER_CALL,
        "strangers": fleet_member.settings_mismatches,
        "members": [
            _summarize_member(fleet_member, name, now_ns)
            for name in sorted(fleet_member.view.by_name)
        ],
        "counts": {
            name: getattr(fleet_member.counters, name) for name in fleet_member.counters.__slots__
        },
    }


def _summarize_member(fleet_member: FleetMember, name: str, now_ns: int) -> Mapping[str, object]:
    member = fleet_member.view.by_name[name]
    summary: dict[str, object] = {
        "name": name,
        "address": member.update.address,
        "life": member.update.incarnation,
        "incarnation": member.update.refutation,
        "state": member.state.name.lower(),
        "since_ms": (now_ns - member.since_ns) // NS_PER_MS,
    }
    account = fleet_member.allocator.accounts.get(name)
    if account is not None:
        summary["bound"] = account.max_held / MILLICALLS_PER_CALL
    return summary
