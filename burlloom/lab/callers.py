"""Balancers with their habits: they go on down their list after a decline, heed or ignore what they
are told.
"""

from typing import TYPE_CHECKING

from ..rpc import IncomingRequest
from .load import Order

if TYPE_CHECKING:
    from .emulator import Emulator
    from .node import Node

HEARD_FOR = 1.0  # s that a level is remembered
MS = 1e-3


class Attempt:
    """One try: what the server answers to comes out here (`rpc.Way`)."""

    __slots__ = ("caller", "node", "order", "id", "number", "retry", "asked", "answer", "cut")

    def __init__(
        self, caller: "Balancer", node: "Node", order: Order, id: str, retry: bool
    ) -> None:
        self.caller, self.node, self.order, self.id, self.retry = caller, node, order, id, retry
        self.number = 1
        self.asked: IncomingRequest | None = None
        self.answer, self.cut = "", False

    def complete(self, number: int, result: bytes) -> None:
        self.said("settled", 0, False, result)

    def reject(self, number: int, stay_away: int, final: bool) -> None:
        self.said("declined", stay_away, final)

    def fail(self, number: int) -> None:
        self.said("voided", 0, False)

    def report_fault(self, what: str) -> None: ...

    # What a draining server asks of the connection that it came on.

    is_idle = False

    def request_shutdown(self, now: int) -> None: ...

    def said(self, answer: str, stay_away: int, final: bool, result: bytes = b"") -> None:
        if self.cut:
            self.node.forget(self)
            return
        node, fleet = self.node, self.caller.fleet
        server = node.server
        told = server.requests.load_report(self.caller.name) if server is not None else ""
        node.answered(self, answer, result)
        self.answer = answer
        if fleet.hears(self.caller, node):
            fleet.loop.call_later(
                fleet.net(), self.caller.heard, self, answer, stay_away / 1e9, final, told
            )

    def broken(self) -> None:
        """The machine's side of its connection went."""
        self.cut = True
        fleet = self.caller.fleet
        fleet.rules.gone(self.id)
        if fleet.hears(self.caller, self.node):
            fleet.loop.call_later(fleet.net(), self.caller.heard, self, "broken", 0.0, False, "")


class Balancer:
    def __init__(
        self, fleet: "Emulator", index: int, zone: int, heeds: bool, checks: bool, at: int
    ) -> None:
        self.fleet, self.index, self.zone, self.heeds, self.checks, self.at = (
            fleet,
            index,
            zone,
            heeds,
            checks,
            at,
        )
        self.life = 0
        self.levels: dict[int, tuple[float, float]] = {}
        self.away: dict[int, float] = {}
        self.ill: set[int] = set()
        self.open: dict[str, Attempt] = {}

    @property
    def name(self) -> str:
        """As it names itself: anew with each start."""
        return str(self.index + len(self.fleet.balancers) * self.life)

    def restart(self) -> None:
        """All that it had open and had heard is gone; its connections are reset."""
        self.life += 1
        for attempt in list(self.open.values()):
            attempt.cut = True
            self.fleet.loop.call_later(self.fleet.net(), attempt.node.cut, attempt)
            attempt.order.over = True
            self.fleet.missed(attempt.order, "restarted")
        self.open.clear()
        self.levels.clear()
        self.away.clear()
        self.ill.clear()

    def willing(self, node: int, order: Order) -> bool:
        now = self.fleet.loop.now
        if node in order.tried or node in self.ill:
            return False
        if not self.heeds:
            return True
        level, until = self.levels.get(node, (0.0, 0.0))
        return self.away.get(node, 0.0) <= now and (until <= now or order.rank >= level)

    def choose(self, order: Order) -> "Node | None":
        """The next of its list, in turn, that is willing to take it."""
        listed = self.fleet.list
        for step in range(1, len(listed) + 1):
            place = (self.at + step) % len(listed)
            if self.willing(listed[place], order):
                self.at = place
                return self.fleet.nodes[listed[place]]
        return None

    def ask(self, order: Order, retry: bool = False) -> None:
        told = self.fleet.world.callers
        if told.tries and order.tries >= told.tries:
            self.fleet.missed(order, "tries")
            return
        node = self.choose(order)
        if node is None:
            self.fleet.missed(order, "nobody")
            return
        order.tried.add(node.index)
        self.send(node, order, retry)

    def send(self, node: "Node", order: Order, retry: bool) -> None:
        fleet, told = self.fleet, self.fleet.world.callers
        order.tries += 1
        attempt = Attempt(self, node, order, fleet.new_id(), retry)
        self.open[attempt.id] = attempt
        fleet.count["tries"] += 1
        if fleet.hears(self, node):
            fleet.loop.call_later(fleet.net(), self.arrive, attempt)
        else:
            fleet.loop.call_later(
                told.patience_ms * MS, self.heard, attempt, "unreached", 0.0, False, ""
            )
        if told.copies_after_ms and not retry and fleet.inquiry(order):
            fleet.loop.call_later(told.copies_after_ms * MS, self.copy, attempt)

    def copy(self, attempt: Attempt) -> None:
        if attempt.id in self.open and not attempt.order.over:
            self.ask(attempt.order, True)

    def arrive(self, attempt: Attempt) -> None:
        node = attempt.node
        if attempt.cut:
            return
        if not node.open:
            self.fleet.loop.call_later(
                self.fleet.net(), self.heard, attempt, "unreached", 0.0, False, ""
            )
        else:
            node.reach(attempt)

    def heard(
        self, attempt: Attempt, answer: str, stay_away: float, final: bool, level: str
    ) -> None:
        if self.open.pop(attempt.id, None) is None:
            return  # it has started anew since
        fleet, order, index = self.fleet, attempt.order, attempt.node.index
        now = fleet.loop.now
        if level:
            self.levels[index] = float(level), now + HEARD_FOR
        if stay_away and answer == "declined":
            self.away[index] = now + stay_away
        if answer == "settled":
            fleet.settled(order)
        elif order.over:
            return
        elif answer == "voided" and not fleet.inquiry(order):
            fleet.missed(order, "voided")
        elif answer == "broken" and not fleet.inquiry(order):
            # It may have run: only the same machine could know it again.
            fleet.missed(order, "broken")
        elif answer == "declined" and final and self.heeds:
            fleet.missed(order, "final")
        elif now - order.at > fleet.expiry(order):
            fleet.missed(order, "expired")
        else:
            self.ask(order, answer != "unreached" or attempt.retry)

    def check(self) -> None:
        """Asks all on its list whether they are good; what hears nothing is ill."""
        for index in self.fleet.list:
            node = self.fleet.nodes[index]
            server = node.server
            good = self.fleet.hears(self, node) and server is not None and server.is_healthy()
            (self.ill.discard if good else self.ill.add)(index)
