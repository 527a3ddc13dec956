"""A checker of the four rules, which knows nothing of the program: it is told what came, ran and
was answered.

Whoever plays a world (in simulated time or on sockets) hands it each thing as it happens, in order.
Times are s.
"""

from collections import Counter
from dataclasses import dataclass, field

SLACK = 0.05  # by which each time limit is longer
CROWD_FOR = 3.0  # s over which the cores' crowd is averaged


@dataclass(slots=True)
class Try:
    node: str
    life: int
    mark: str  # empty where it may run again
    at: float
    due: float
    window: float = 0.0
    once: bool = False
    answer: str = ""
    ran: bool = False


@dataclass(slots=True)
class Life:
    drained_at: float = -1.0
    ended: bool = False
    open: set[str] = field(default_factory=set)
    crowd: float = 0.0  # mean of what wants a core, each


class Rules:
    """`remembers`: the nodes keep a record, so that a mark counts over their lives."""

    def __init__(
        self, grace: float, tip_multiple: float, calls_most: float, remembers: bool = False
    ) -> None:
        self.grace, self.tip_multiple, self.calls_most, self.remembers = (
            grace,
            tip_multiple,
            calls_most,
            remembers,
        )
        self.tries: dict[str, Try] = {}
        self.lives: dict[tuple[str, int], Life] = {}
        self.marks: dict[
            tuple[str, int, str], tuple[float, str]
        ] = {}  # when the try that ran came, and its id
        self.results: dict[str, bytes] = {}
        self.faults: list[str] = []
        self.count: Counter[str] = Counter()

    def fault(self, at: float, what: str) -> None:
        self.count["faults"] += 1
        if len(self.faults) < 100:
            self.faults.append(f"{at:.3f}: {what}")

    def life(self, node: str, life: int) -> Life:
        return self.lives.setdefault((node, life), Life())

    def read(
        self,
        at: float,
        node: str,
        life: int,
        id: str,
        expiry: float,
        mark: str = "",
        window: float = 0.0,
        once: bool = False,
    ) -> None:
        """A node has a try; its answer is due `expiry` after it came."""
        if id in self.tries:
            self.fault(at, f"{id} was sent twice")  # a fault of the rig's
        self.tries[id] = Try(node, life, mark, at, at + expiry + SLACK, window, once)
        self.life(node, life).open.add(id)
        self.count["read"] += 1

    def key(self, one: Try) -> tuple[str, int, str]:
        return one.node, 0 if self.remembers else one.life, one.mark

    def runs(self, at: float, id: str) -> None:
        one = self.tries.get(id)
        if one is None:
            self.fault(at, f"{id} runs and never came")
            return
        self.count["runs"] += 1
        life = self.life(one.node, one.life)
        if one.ran:
            self.fault(at, f"{id} runs twice")
        if life.ended:
            self.fault(at, f"{id} runs on {one.node}, which is over")
        if 0 <= life.drained_at < one.at - self.grace - SLACK:
            self.fault(
                at,
                f"{id} came {one.at - life.drained_at:.3f} s into a drain of {one.node} and runs",
            )
        one.ran = True
        if one.mark:
            before, first = self.marks.get(self.key(one), (-1e9, ""))
            if one.at <= before + one.window and first != id:
                self.fault(at, f"{one.mark[-8:]} runs twice on {one.node}: as {first} and as {id}")
            self.marks[self.key(one)] = one.at, id

    def makes(self, id: str, result: bytes) -> None:
        self.results[id] = result

    def answers(self, at: float, id: str, answer: str, result: bytes = b"") -> None:
        """`answer`: settled, declined or voided."""
        one = self.tries.get(id)
        if one is None:
            self.fault(at, f"{id} is {answer} and never came")
            return
        self.count[answer] += 1
        if one.answer:
            self.fault(at, f"{id} is {answer} and was {one.answer}")
        one.answer = answer
        self.life(one.node, one.life).open.discard(id)
        if at > one.due:
            self.fault(at, f"{id} is {answer} {at - one.due:.3f} s past its due time")
        ran_at, ran = self.marks.get(self.key(one), (-1e9, "")) if one.mark else (-1e9, "")
        if answer == "settled":
            made = self.results.get(id, self.results.get(ran) if one.mark else None)
            if made != result:
                self.fault(at, f"{id} is settled with what no run made for it")
        if answer == "declined":
            if one.ran and (one.mark or one.once):
                self.fault(at, f"{id} ran and is declined")
            elif ran and one.at <= ran_at + one.window:
                self.fault(at, f"{id} is declined, and {one.mark[-8:]} ran as {ran}")

    def drained(self, at: float, node: str, life: int) -> None:
        self.life(node, life).drained_at = at

    def stopped(self, at: float, node: str, life: int, killed: bool) -> None:
        """Its process is over: of its own, or `killed` without a word."""
        known = self.life(node, life)
        known.ended = True
        if not killed and known.open:
            self.fault(
                at,
                f"{node} stops and leaves {len(known.open)} unanswered, {min(known.open)} among them",
            )
        known.open.clear()

    def gone(self, id: str) -> None:
        """Its connection went at the caller's side, or before it was read: nobody waits for it."""
        one = self.tries.get(id)
        if one is not None:
            self.life(one.node, one.life).open.discard(id)

    def sees(
        self,
        at: float,
        span: float,
        node: str,
        life: int,
        wanting: float,
        cores: int,
        memory_share: float,
    ) -> None:
        """A look at a node, `span` s after the one before it."""
        known = self.life(node, life)
        known.crowd += (wanting / cores - known.crowd) * min(1.0, span / CROWD_FOR)
        if known.crowd > self.tip_multiple:
            self.fault(at, f"{node} has {known.crowd:.1f} wanting each core")
        if memory_share > 1:
            self.fault(at, f"{node} needs {memory_share:.2f} of its memory")
        for id in [id for id in known.open if at > self.tries[id].due]:
            known.open.discard(id)
            self.fault(at, f"{id} at {node} was never answered")

    def sees_calls(self, at: float, mean: float) -> None:
        if mean > self.calls_most:
            self.fault(at, f"{mean:.0f} calls in hand below, which survives {self.calls_most:.0f}")

    def forget(self, before: float) -> None:
        """Drops what can't matter any more, so that long plays take no more memory than short
        ones.
        """
        for id, one in list(self.tries.items()):
            if max(one.due, one.at + one.window) + 10 < before:
                del self.tries[id]
                self.results.pop(id, None)
        for key, (at, id) in list(self.marks.items()):
            if id not in self.tries:
                del self.marks[key]
