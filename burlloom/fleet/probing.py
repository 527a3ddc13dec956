"""Failure detector: direct probes, indirect probes and join requests. Does no I/O."""

from dataclasses import dataclass
from random import Random

from .gossip import GossipSender
from .membership import MembershipInput, MembershipView, MemberState, MemberUpdate
from .messages import Message, MessageKind
from .settings import GossipSettings
from .synchronization import ViewSynchronizer

__all__ = ["IndirectProbe", "Probe", "Prober"]

MAX_JOIN_REQUESTS = 4  # per probe interval


@dataclass(slots=True)
class Probe:
    """A probe whose ACK is pending.

    Attributes:
        target: Name of the probed member.
        sequence: Sequence number of the PING.
        sent_at_ns: Monotonic time at which the PING was queued.
        is_indirect: Whether other members were asked to probe the target too.
    """

    target: str
    sequence: int
    sent_at_ns: int
    is_indirect: bool = False


@dataclass(slots=True)
class IndirectProbe:
    """A probe on behalf of another member, to which the ACK must be forwarded.

    Attributes:
        requester_address: Address to which the ACK is forwarded.
        request_sequence: Sequence number of the forwarded ACK.
        sent_at_ns: Monotonic time at which this member's own PING was queued.
    """

    requester_address: str
    request_sequence: int
    sent_at_ns: int


class Prober:
    """Detects members that do not answer.

    Attributes:
        view: Membership view of this member.
        sender: Queues the messages of this member.
        synchronizer: Compares the digests in PING and ACK messages.
        settings: Settings of the membership protocol.
        seeds: Addresses at which other members may be.
        random: Determines the order of probes and the choice of helpers.
        probe: The probe whose ACK is pending; None if there is none.
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
        """Initializes a prober that sends its first probe at the first call of `run`.

        Args:
            view: Membership view of this member.
            sender: Queues the messages of this member.
            synchronizer: Provides the digests for PING and ACK messages.
            settings: Settings of the membership protocol.
            seeds: Addresses at which other members may be.
            random: Determines the order of probes and the choice of helpers.
            never_ns: A monotonic time before any probe.
        """
        self.view = view
        self.sender = sender
        self.synchronizer = synchronizer
        self.settings = settings
        self.seeds = seeds
        self.random = random
        self.probe: Probe | None = None
        self._probed_at_ns = never_ns
        self._targets: list[str] = []  # not yet probed in the current cycle
        self._indirect_probes: dict[int, IndirectProbe] = {}  # by sequence number of the PING

    def run(self, now_ns: int) -> None:
        """Sends the indirect probes, join requests and the next probe that are due."""
        probe = self.probe
        if probe is not None and self._is_ack_overdue(probe, now_ns):
            self._request_indirect_probes(probe)
        if now_ns - self._probed_at_ns >= self.settings.probe_interval_ns:
            self._begin_next_probe(now_ns)
        self._drop_old_indirect_probes(now_ns)

    def reset(self) -> None:
        """Drops all pending probes.

        Called after this process was suspended, because it may have missed the answers.
        """
        self.probe = None
        self._indirect_probes.clear()

    def process_ping(self, now_ns: int, message: Message) -> None:
        """Answers a PING and compares its digests."""
        sender = message.sender
        digests = self.synchronizer.digests()
        self.sender.send(
            sender.address, MessageKind.ACK, message.sequence, digests, recipient=sender.name
        )
        self.synchronizer.compare(now_ns, message)

    def process_ack(self, now_ns: int, message: Message) -> None:
        """Ends the probe that the ACK answers, and forwards the ACK of a requested probe."""
        if self.probe is not None and message.sequence == self.probe.sequence:
            self.probe = None
        request = self._indirect_probes.pop(message.sequence, None)
        if request is not None:
            digests = self.synchronizer.digests()
            self.sender.send(
                request.requester_address, MessageKind.ACK, request.request_sequence, digests
            )
        self.synchronizer.compare(now_ns, message)

    def process_ping_request(self, now_ns: int, message: Message) -> None:
        """Probes a member on behalf of the sender of a PING_REQUEST."""
        member = self.view.by_name.get(message.name)
        if member is None or len(self._indirect_probes) >= self.view.MAX_MEMBERS:
            return
        sequence = self.sender.next_sequence()
        self._indirect_probes[sequence] = IndirectProbe(
            message.sender.address, message.sequence, now_ns
        )
        self._ping(member.update, sequence)

    def next_target(self) -> str | None:
        """Returns the name of the next member to probe; None if no other member is present.

        Each cycle visits all present members once, in a new random order. This bounds the time
        between two probes of the same member.
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

    def _is_ack_overdue(self, probe: Probe, now_ns: int) -> bool:
        age_ns = now_ns - probe.sent_at_ns
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

    def _begin_next_probe(self, now_ns: int) -> None:
        if self.probe is not None:
            self.view.apply_input(now_ns, self.probe.target, MembershipInput.PROBE_FAILED)
            self.probe = None
        self._probed_at_ns = now_ns
        self._send_join_requests()
        name = self.next_target()
        if name is not None:
            sequence = self.sender.next_sequence()
            self.probe = Probe(name, sequence, now_ns)
            self._ping(self.view.by_name[name].update, sequence)

    def _send_join_requests(self) -> None:
        """Pings some dead members, and some seeds at whose address no present member is known.

        This detects the end of a network partition. It also makes sure that members that were all
        restarted learn of the members that kept running before they allocate among themselves.
        """
        dead_addresses = [
            member.update.address
            for member in self.view.not_alive.values()
            if member.state is MemberState.DEAD
        ]
        unconnected_addresses = [
            address
            for address in {*self.seeds, *dead_addresses}
            if address not in self.view.addresses
        ]
        count = min(MAX_JOIN_REQUESTS, len(unconnected_addresses))
        for address in self.random.sample(sorted(unconnected_addresses), count):
            sequence = self.sender.next_sequence()
            self.sender.send(address, MessageKind.PING, sequence, self.synchronizer.digests())

    def _ping(self, target: MemberUpdate, sequence: int) -> None:
        digests = self.synchronizer.digests()
        self.sender.send(target.address, MessageKind.PING, sequence, digests, recipient=target.name)

    def _drop_old_indirect_probes(self, now_ns: int) -> None:
        self._indirect_probes = {
            sequence: request
            for sequence, request in self._indirect_probes.items()
            if now_ns - request.sent_at_ns < self.settings.probe_interval_ns
        }
