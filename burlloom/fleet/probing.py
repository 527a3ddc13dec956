"""Probes of the other members: direct, through others, and join requests. No I/O."""

from dataclasses import dataclass
from random import Random

from .gossip import GossipSender
from .membership import MembershipInput, MembershipView, MemberState, MemberUpdate
from .messages import Message, MessageKind
from .settings import GossipSettings
from .synchronization import ViewSynchronizer

__all__ = ["IndirectProbe", "Probe", "Prober"]

MAX_JOIN_REQUESTS = 4  # at once


@dataclass(slots=True)
class Probe:
    """The probe that is under way.

    Attributes:
        target: The member's name.
        sequence: Of its PING.
        sent_at_ns: When that left.
        is_indirect: Whether others were asked to probe too.
    """

    target: str
    sequence: int
    sent_at_ns: int
    is_indirect: bool = False


@dataclass(slots=True)
class IndirectProbe:
    """A probe that another member asked for, and that it is owed an ACK for.

    Attributes:
        requester_address: Where the ACK goes.
        request_sequence: The number that it carries.
        sent_at_ns: When our own PING left.
    """

    requester_address: str
    request_sequence: int
    sent_at_ns: int


class Prober:
    """Finds out which members answer.

    Attributes:
        probe: The probe under way; None between two.
    """

    def __init__(
        self,
        view: MembershipView,
        sender: GossipSender,
        synchronizer: ViewSynchronizer,
        settings: GossipSettings,
        seeds: tuple[str, ...],
        random: Random,
        never_ns: int,
    ) -> None:
        """Begins with a probe at the first call of `run`.

        Args:
            view: What this member knows of the others.
            sender: Of this member's messages.
            synchronizer: Its digests go with PING and ACK.
            settings: Of the membership protocol.
            seeds: Addresses where others may be.
            random: For the order of probes and the choice of helpers.
            never_ns: A time before any probe.
        """
        self.view = view
        self.sender = sender
        self.synchronizer = synchronizer
        self.settings = settings
        self.seeds = seeds
        self.random = random
        self.probe: Probe | None = None
        self._probed_at_ns = never_ns
        self._targets: list[str] = []  # still to be probed in this round of all
        self._indirect_probes: dict[int, IndirectProbe] = {}  # by sequence number of our PING

    def run(self, now: int) -> None:
        """Sends what is due: indirect probes, join requests, the next probe."""
        probe = self.probe
        if probe is not None and self._is_ack_overdue(probe, now):
            self._request_indirect_probes(probe)
        if now - self._probed_at_ns >= self.settings.probe_interval_ns:
            self._begin_next_probe(now)
        self._drop_old_indirect_probes(now)

    def reset(self) -> None:
        """Drops all probes under way: this process stood still and may have missed the answers."""
        self.probe = None
        self._indirect_probes.clear()

    def process_ping(self, now: int, message: Message) -> None:
        """Answers a PING."""
        sender = message.sender
        digests = self.synchronizer.digests()
        self.sender.send(
            sender.address, MessageKind.ACK, message.sequence, digests, recipient=sender.name
        )
        self.synchronizer.compare(now, message)

    def process_ack(self, now: int, message: Message) -> None:
        """Ends the probe that the ACK answers, our own or one that we were asked for."""
        if self.probe is not None and message.sequence == self.probe.sequence:
            self.probe = None
        request = self._indirect_probes.pop(message.sequence, None)
        if request is not None:
            digests = self.synchronizer.digests()
            self.sender.send(
                request.requester_address, MessageKind.ACK, request.request_sequence, digests
            )
        self.synchronizer.compare(now, message)

    def process_ping_request(self, now: int, message: Message) -> None:
        """Probes a member in another one's place."""
        member = self.view.by_name.get(message.name)
        if member is None or len(self._indirect_probes) >= self.view.MAX_MEMBERS:
            return
        sequence = self.sender.next_sequence()
        self._indirect_probes[sequence] = IndirectProbe(
            message.sender.address, message.sequence, now
        )
        self._ping(member.update, sequence)

    def next_target(self) -> str | None:
        """Returns the next member to probe, and None where nobody else is present.

        All present members come one after the other in an order that is drawn anew for each round
        of them: none waits for long.
        """
        for _ in range(2):
            while self._targets:
                name = self._targets.pop()
                member = self.view.by_name.get(name)
                if member is not None and member.is_present and name != self.view.own.name:
                    return name
            self._targets = sorted(member.update.name for member in self.view.present_members())
            self.random.shuffle(self._targets)
        return None

    def _is_ack_overdue(self, probe: Probe, now: int) -> bool:
        age_ns = now - probe.sent_at_ns
        return not probe.is_indirect and age_ns >= self.settings.ack_timeout_ns

    def _request_indirect_probes(self, probe: Probe) -> None:
        probe.is_indirect = True
        others = [
            member.update
            for member in self.view.present_members()
            if member.update.name not in (probe.target, self.view.own.name)
        ]
        count = min(self.settings.indirect_probe_count, len(others))
        for other in self.random.sample(others, count):
            self.sender.send(
                other.address, MessageKind.PING_REQUEST, probe.sequence, name=probe.target
            )

    def _begin_next_probe(self, now: int) -> None:
        if self.probe is not None:
            self.view.apply_input(now, self.probe.target, MembershipInput.PROBE_FAILED)
            self.probe = None
        self._probed_at_ns = now
        self._send_join_requests()
        name = self.next_target()
        if name is not None:
            sequence = self.sender.next_sequence()
            self.probe = Probe(name, sequence, now)
            self._ping(self.view.by_name[name].update, sequence)

    def _send_join_requests(self) -> None:
        """Pings some dead members, and seeds where nobody is known.

        So a partition that heals is noticed, and members that were all started anew hear of those
        that lived on before they allocate among themselves.
        """
        dead = [
            member.update.address
            for member in self.view.not_alive.values()
            if member.state is MemberState.DEAD
        ]
        unknown = [
            address for address in {*self.seeds, *dead} if address not in self.view.addresses
        ]
        count = min(MAX_JOIN_REQUESTS, len(unknown))
        for address in self.random.sample(sorted(unknown), count):
            sequence = self.sender.next_sequence()
            self.sender.send(address, MessageKind.PING, sequence, self.synchronizer.digests())

    def _ping(self, target: MemberUpdate, sequence: int) -> None:
        digests = self.synchronizer.digests()
        self.sender.send(target.address, MessageKind.PING, sequence, digests, recipient=target.name)

    def _drop_old_indirect_probes(self, now: int) -> None:
        self._indirect_probes = {
            sequence: request
            for sequence, request in self._indirect_probes.items()
            if now - request.sent_at_ns < self.settings.probe_interval_ns
        }
