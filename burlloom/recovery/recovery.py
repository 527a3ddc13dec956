"""One server's way back, whole: what was kept is judged, the ramp rises, retries are held, the
fence stands. No I/O.
"""

from dataclasses import dataclass

from .kept import Kept, Verdict, judge
from .ramp import Input as Push
from .ramp import Ramp
from .retries import Retries
from .start import OF_VERDICT, Input, Start, State

MS = 1_000_000
CALLS_MIN = 3  # in a step, to judge by
PUSHED_FROM = 0.25  # of the calls of a step, refused, failed or late


@dataclass(frozen=True, slots=True)
class Terms:
    """ns. `step` of the ramp; `begin`: the part of an equal share that it begins with;
    `begin_warm`: of what was held last, where what was kept is used; `least`: calls, the cap is
    never lower. `ask`: for how long peers and the store may say something of a later life.
    `age_most` of what was kept. `retry_part`, `retry_few` a second, over `retry_span`.
    """

    window: int
    step: int = 500 * MS
    begin: float = 0.25
    begin_warm: float = 0.5
    least: float = 1.0
    ask: int = 2000 * MS
    age_most: int = 600_000 * MS
    retry_part: float = 0.2
    retry_few: float = 2.0
    retry_span: int = 2000 * MS
    fence: str = "retries"  # "off": marks of the last life are thought never to matter
    durable: bool = False  # no run begins before its mark is in the store of record


class Recovery:
    def __init__(
        self, terms: Terms, found: Kept | Verdict, node: str, now: int, wall: int, lonely: bool
    ) -> None:
        """`now` in ns on the host's clock, `wall` in Unix ms. `lonely`: neither peers nor a store
        to ask.
        """
        self.terms = terms
        self.kept = found if isinstance(found, Kept) else None
        self.verdict = judge(found, node, wall, terms.age_most // MS)
        # What a crash left is in the store, if there is one; whether that is the same store, it
        # says itself.
        stored = self.kept is not None and terms.durable and self.kept.record_life >= 0
        self.start = Start(
            lonely, self.kept is not None and (self.kept.clean or stored), terms.window
        )
        self.retries = Retries(terms.retry_part, terms.retry_few, terms.retry_span)
        self.began = now
        self.ramp: Ramp | None = None
        self.good = self.bad = 0
        self.stepped = now
        self.warmed = False
        self.effects: list[tuple[str, str]] = []  # input and effect, until the host takes them
        self.told(OF_VERDICT[self.verdict], now)

    def told(self, what: Input, now: int) -> None:
        effect = self.start.meet(what, now)
        if effect:
            self.effects.append((what.name.lower(), effect))

    # What others know.

    def peer(self, life: int, now: int) -> None:
        """A peer says that a life of ours, Unix ms, was there before this one."""
        if self.kept is None:
            self.told(Input.SAID_LIVED, now)
        else:
            self.told(Input.SAID_LATER if life > self.kept.life else Input.SAID_SAME, now)

    def store(self, life: int, now: int) -> None:
        """The store of record was opened and counts this as our life of that number, from 1."""
        if self.kept is None:
            return  # the store's own marks hold, and nothing says that there are others
        if self.kept.record_life < 0:
            return
        expected = self.kept.record_life + 1
        self.told(
            Input.SAID_SAME
            if life == expected
            else Input.SAID_LATER
            if life > expected
            else Input.SAID_EARLIER,
            now,
        )

    # Rounds.

    def called(self, well: bool) -> None:
        self.good += well
        self.bad += not well

    def round(self, now: int, equal: float, share: float) -> bool:
        """`equal`: an equal share, `share` what we may have now, calls. Whether the cap changed."""
        if now - self.began >= self.terms.ask and self.start.state is State.ASKING:
            self.told(Input.SILENT, now)
        if self.ramp is None:
            if equal <= 0:
                return False
            self.ramp = Ramp(
                self.terms.begin * equal, min(self.terms.least, equal), self.terms.step, now
            )
            self.stepped, self.good, self.bad = now, 0, 0
            return True
        if self.start.used and not self.warmed:
            self.warmed = True
            hint = self.terms.begin_warm * min(
                equal, self.kept.share if self.kept is not None else 0.0
            )
            if self.ramp.warm(hint):
                return True
        if self.ramp.full or now - self.stepped < self.terms.step:
            return False
        calls = self.good + self.bad
        what = (
            Push.QUIET
            if calls < min(CALLS_MIN, self.ramp.cap)
            else Push.PUSHED
            if self.bad >= PUSHED_FROM * calls
            else Push.WELL
        )
        changed = self.ramp.round(now, what, max(share, equal))
        self.stepped, self.good, self.bad = now, 0, 0
        return changed

    @property
    def cap(self) -> float:
        """Calls in hand, that the start allows; without bound once it is over."""
        return 0.0 if self.ramp is None else self.ramp.cap

    @property
    def over(self) -> bool:
        """Whether service is back: no cap, and nothing is asked any more."""
        return self.ramp is not None and self.ramp.full

    def holds_back(self, now: int, retry: bool) -> bool:
        """A try was read; whether it is a retry past the budget."""
        return not self.over and self.retries.over(now, retry)

    def fenced(self, now: int) -> bool:
        """Whether a marked retry that nothing is known of may have run in a life whose marks are
        lost.
        """
        return self.terms.fence != "off" and now < self.start.fenced_until
