"""Emulated load balancers, which send requests to the nodes and retry them at other nodes.

A balancer goes on to the next node of its list after a rejection. Some follow the servers' load
reports and retry delays, some ignore them.
"""

from typing import TYPE_CHECKING

from ..rpc import IncomingRequest
from .load import ClientRequest

if TYPE_CHECKING:
    from .emulator import Emulator
    from .node import Node

PRIORITY_FLOOR_LIFETIME_S = 1.0  # for which a reported priority floor is followed
SECONDS_PER_MS = 1e-3


class Attempt:
    """One attempt of a request, in place of the caller's connection at the server.

    The server sends its answer through this object, as through an `rpc.Responder`.

    Attributes:
        caller: The balancer that sent it.
        node: The node that it is sent to.
        request: The client's request.
        id: The attempt's id, unique in a simulation.
        message_id: Identifies the answer on the connection; each attempt has a connection of its
            own.
        is_retry: Whether it is marked as a retry.
        incoming: The request as handed to the server; None before the node has read it.
        answer: "settled", "declined" or "voided"; empty before an answer.
        is_cut: Whether the connection is lost.
    """

    __slots__ = (
        "caller",
        "node",
        "request",
        "id",
        "message_id",
        "is_retry",
        "incoming",
        "answer",
        "is_cut",
    )

    def __init__(
        self, caller: "Balancer", node: "Node", request: ClientRequest, id: str, is_retry: bool
    ) -> None:
        """Creates an attempt that is not sent yet; the arguments are its attributes."""
        self.caller, self.node, self.request, self.id, self.is_retry = (
            caller,
            node,
            request,
            id,
            is_retry,
        )
        self.message_id = 1
        self.incoming: IncomingRequest | None = None
        self.answer, self.is_cut = "", False

    def complete(self, message_id: int, result: bytes) -> None:
        """Answers with a result."""
        self.send_answer("settled", 0, False, result)

    def reject(self, message_id: int, retry_after_ns: int, is_final: bool) -> None:
        """Answers that the request is not served."""
        self.send_answer("declined", retry_after_ns, is_final)

    def fail(self, message_id: int) -> None:
        """Answers with an error."""
        self.send_answer("voided", 0, False)

    def report_fault(self, fault: str) -> None:
        """Does nothing: balancers send no malformed requests."""

    # Used by a draining server, as of a connection.

    is_idle = False

    def request_shutdown(self, now: int) -> None:
        """Does nothing: the connection ends with the attempt."""

    def send_answer(
        self, answer: str, retry_after_ns: int, is_final: bool, result: bytes = b""
    ) -> None:
        """Sends an answer with the server's load report to the balancer."""
        if self.is_cut:
            self.node.discard_attempt(self)
            return
        node, emulator = self.node, self.caller.emulator
        server = node.server
        load_report = server.requests.load_report(self.caller.name) if server is not None else ""
        node.record_answer(self, answer, result)
        self.answer = answer
        if emulator.is_connected(self.caller, node):
            emulator.loop.call_later(
                emulator.draw_network_delay_s(),
                self.caller.receive_answer,
                self,
                answer,
                retry_after_ns / 1e9,
                is_final,
                load_report,
            )

    def break_connection(self) -> None:
        """Loses the connection because the node's process ended."""
        self.is_cut = True
        emulator = self.caller.emulator
        emulator.rules.record_disconnect(self.id)
        if emulator.is_connected(self.caller, self.node):
            emulator.loop.call_later(
                emulator.draw_network_delay_s(),
                self.caller.receive_answer,
                self,
                "broken",
                0.0,
                False,
                "",
            )


class Balancer:
    """A load balancer, which the servers see as one caller.

    Attributes:
        index: Its index among all balancers.
        zone: Its zone.
        heeds_reports: Whether it follows priority floors, retry delays and final rejections.
        checks_health: Whether it checks the servers' health.
        position: Place in the list of the node that was chosen last.
        restarts: How often it was restarted.
        priority_floors: By node index, the reported priority floor and the simulated time in s until
            which it is followed.
        avoid_until_s: By node index, the simulated time in s until which no request is sent to it.
        unhealthy_nodes: Indexes of the nodes that failed their last health check.
        open_attempts: Attempts without an answer, by id.
    """

    def __init__(
        self,
        emulator: "Emulator",
        index: int,
        zone: int,
        heeds_reports: bool,
        checks_health: bool,
        position: int,
    ) -> None:
        """Creates a balancer without open attempts; the arguments are its attributes."""
        (
            self.emulator,
            self.index,
            self.zone,
            self.heeds_reports,
            self.checks_health,
            self.position,
        ) = (
            emulator,
            index,
            zone,
            heeds_reports,
            checks_health,
            position,
        )
        self.restarts = 0
        self.priority_floors: dict[int, tuple[float, float]] = {}
        self.avoid_until_s: dict[int, float] = {}
        self.unhealthy_nodes: set[int] = set()
        self.open_attempts: dict[str, Attempt] = {}

    @property
    def name(self) -> str:
        """Name that it sends to the servers; each restart gives a new one."""
        return str(self.index + len(self.emulator.balancers) * self.restarts)

    def restart(self) -> None:
        """Loses all open attempts and reports; resets its connections."""
        self.restarts += 1
        for attempt in list(self.open_attempts.values()):
            attempt.is_cut = True
            self.emulator.loop.call_later(
                self.emulator.draw_network_delay_s(), attempt.node.disconnect, attempt
            )
            attempt.request.is_finished = True
            self.emulator.record_missed(attempt.request, "restarted")
        self.open_attempts.clear()
        self.priority_floors.clear()
        self.avoid_until_s.clear()
        self.unhealthy_nodes.clear()

    def may_send(self, node: int, request: ClientRequest) -> bool:
        """Whether a request may be sent to the node of this index now."""
        now_s = self.emulator.loop.now_s
        if node in request.tried_nodes or node in self.unhealthy_nodes:
            return False
        if not self.heeds_reports:
            return True
        floor, until_s = self.priority_floors.get(node, (0.0, 0.0))
        return self.avoid_until_s.get(node, 0.0) <= now_s and (
            until_s <= now_s or request.priority >= floor
        )

    def choose_node(self, request: ClientRequest) -> "Node | None":
        """Returns the next node of the list, in turn, to which a request may be sent."""
        listed = self.emulator.listed_nodes
        for step in range(1, len(listed) + 1):
            place = (self.position + step) % len(listed)
            if self.may_send(listed[place], request):
                self.position = place
                return self.emulator.nodes[listed[place]]
        return None

    def start_attempt(self, request: ClientRequest, is_retry: bool = False) -> None:
        """Sends an attempt; counts the request as missed if no node or no attempt is left."""
        settings = self.emulator.scenario.callers
        if settings.tries and request.attempt_count >= settings.tries:
            self.emulator.record_missed(request, "tries")
            return
        node = self.choose_node(request)
        if node is None:
            self.emulator.record_missed(request, "nobody")
            return
        request.tried_nodes.add(node.index)
        self.send_attempt(node, request, is_retry)

    def send_attempt(self, node: "Node", request: ClientRequest, is_retry: bool) -> None:
        """Sends an attempt to a node."""
        emulator, settings = self.emulator, self.emulator.scenario.callers
        request.attempt_count += 1
        attempt = Attempt(self, node, request, emulator.next_attempt_id(), is_retry)
        self.open_attempts[attempt.id] = attempt
        emulator.counts["tries"] += 1
        if emulator.is_connected(self, node):
            emulator.loop.call_later(emulator.draw_network_delay_s(), self.deliver_attempt, attempt)
        else:
            emulator.loop.call_later(
                settings.patience_ms * SECONDS_PER_MS,
                self.receive_answer,
                attempt,
                "unreached",
                0.0,
                False,
                "",
            )
        if settings.copies_after_ms and not is_retry and emulator.may_run_again(request):
            emulator.loop.call_later(
                settings.copies_after_ms * SECONDS_PER_MS, self.send_copy, attempt
            )

    def send_copy(self, attempt: Attempt) -> None:
        """Sends a second copy of a request whose first attempt is not answered yet."""
        if attempt.id in self.open_attempts and not attempt.request.is_finished:
            self.start_attempt(attempt.request, True)

    def deliver_attempt(self, attempt: Attempt) -> None:
        """Hands an attempt to its node, or learns that nothing listens there."""
        node = attempt.node
        if attempt.is_cut:
            return
        if not node.is_listening:
            self.emulator.loop.call_later(
                self.emulator.draw_network_delay_s(),
                self.receive_answer,
                attempt,
                "unreached",
                0.0,
                False,
                "",
            )
        else:
            node.receive_attempt(attempt)

    def receive_answer(
        self,
        attempt: Attempt,
        answer: str,
        retry_after_s: float,
        is_final: bool,
        load_report: str,
    ) -> None:
        """Ends an attempt; retries its request, or counts it as completed or missed.

        Args:
            attempt: The attempt that ended.
            answer: "settled", "declined", "voided", "broken" for a lost connection or "unreached"
                for none.
            retry_after_s: Time in s for which the server asks for no further requests.
            is_final: Whether the server asks not to retry the request at all.
            load_report: The server's priority floor as a number; empty without one.
        """
        if self.open_attempts.pop(attempt.id, None) is None:
            return  # the balancer was restarted after it had sent the attempt
        emulator, request, index = self.emulator, attempt.request, attempt.node.index
        now_s = emulator.loop.now_s
        if load_report:
            self.priority_floors[index] = float(load_report), now_s + PRIORITY_FLOOR_LIFETIME_S
        if retry_after_s and answer == "declined":
            self.avoid_until_s[index] = now_s + retry_after_s
        if answer == "settled":
            emulator.record_completed(request)
        elif request.is_finished:
            return
        elif answer == "voided" and not emulator.may_run_again(request):
            emulator.record_missed(request, "voided")
        elif answer == "broken" and not emulator.may_run_again(request):
            # The request may have run, and only the same node could detect a duplicate.
            emulator.record_missed(request, "broken")
        elif answer == "declined" and is_final and self.heeds_reports:
            emulator.record_missed(request, "final")
        elif now_s - request.arrived_at_s > emulator.get_deadline_s(request):
            emulator.record_missed(request, "expired")
        else:
            self.start_attempt(request, answer != "unreached" or attempt.is_retry)

    def check_health(self) -> None:
        """Checks the health of all listed nodes; one that cannot be reached is unhealthy."""
        for index in self.emulator.listed_nodes:
            node = self.emulator.nodes[index]
            server = node.server
            is_healthy = (
                self.emulator.is_connected(self, node)
                and server is not None
                and server.is_healthy()
            )
            (self.unhealthy_nodes.discard if is_healthy else self.unhealthy_nodes.add)(index)
