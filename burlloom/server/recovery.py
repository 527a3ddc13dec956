"""Between the server and its way back from a restart: the file that a life leaves, the ramp, the
retries held back.

Where it is off, `NoRecovery` stands here, and nothing of it is imported.
"""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from ..dispatcher import Desk
from ..sockets import MS, SECOND

if TYPE_CHECKING:
    from pathlib import Path

    from ..recovery import Recovery, Terms
    from .membership import FleetMembership

log = logging.getLogger(__name__)

TELL_EVERY = SECOND
FREE = float("inf")


class RestartRecovery(Protocol):
    """What the server tells its recovery, and asks of it."""

    incarnation: int  # of this process, Unix ms; the fleet knows it by the same
    known_members: tuple[str, ...]  # addresses of others, of the last life

    def attach_dispatcher(self, desk: Desk, record_life: int) -> None: ...
    def previous_incarnation_seen(self, life: int) -> None: ...
    def call_cap(self) -> float: ...
    def holds_back_retry(self, retry: bool) -> bool: ...
    def is_fenced(self) -> bool: ...
    def call_ended(self, well: bool) -> None: ...
    def update(self) -> None: ...
    def is_complete(self) -> bool:
        """Whether its way back is over."""

    def close(self) -> None: ...


class NoRestartRecovery:
    """A start is like any other moment."""

    known_members: tuple[str, ...] = ()

    def __init__(self) -> None:
        self.incarnation = time.time_ns() // MS

    def attach_dispatcher(self, desk: Desk, record_life: int) -> None:
        pass

    def previous_incarnation_seen(self, life: int) -> None:
        pass

    def call_cap(self) -> float:
        return FREE

    def holds_back_retry(self, retry: bool) -> bool:
        return False

    def is_fenced(self) -> bool:
        return False

    def call_ended(self, well: bool) -> None:
        pass

    def update(self) -> None:
        pass

    def is_complete(self) -> bool:
        return True

    def close(self) -> None:
        pass


class ConfiguredRestartRecovery:
    """`fleet` gives the server's fleet once there is one; `alone`: calls that we may have where
    there is none.
    """

    def __init__(
        self,
        terms: Terms,
        name: str,
        clock: Callable[[], int],
        fleet: Callable[[], FleetMembership],
        alone: float,
        lonely: bool,
        state_file: Path | None,
    ) -> None:
        from .. import recovery

        self.of, self.name, self.clock, self.fleet, self.alone, self.state_file = (
            recovery,
            name,
            clock,
            fleet,
            alone,
            state_file,
        )
        self.incarnation = time.time_ns() // MS
        found = recovery.read(self.text())
        self.recovery: Recovery = recovery.Recovery(
            terms, found, name, clock(), self.incarnation, lonely
        )
        # Old addresses do no harm: whoever is there answers with a sealed letter.
        kept = self.recovery.kept
        self.known_members = kept.members if kept is not None else ()
        self.desk: Desk | None = None
        self.record_life = -1
        self.told_at = 0
        self.holding = self.closed = (
            False  # closed: the last word is written, and rounds may follow
        )
        log.info(
            "event=recovery kept=%s life=%d members=%d",
            self.recovery.verdict.name.lower(),
            kept.life if kept is not None else 0,
            len(self.known_members),
        )

    def text(self) -> str | None:
        if self.state_file is None:
            return None
        try:
            return self.state_file.read_text(encoding="utf-8")
        except FileNotFoundError:
            return None
        except (OSError, UnicodeDecodeError) as error:
            log.warning("event=recovery-unread detail=%r", str(error))
            return ""

    def attach_dispatcher(self, desk: Desk, record_life: int) -> None:
        self.desk, self.record_life = desk, record_life
        if record_life >= 0:
            self.recovery.store(record_life, self.clock())
        self.holding = True
        desk.hold_back(True)
        self.update()

    def previous_incarnation_seen(self, life: int) -> None:
        self.recovery.peer(life, self.clock())
        self.say()

    def call_cap(self) -> float:
        return self.recovery.cap

    def holds_back_retry(self, retry: bool) -> bool:
        return self.recovery.holds_back(self.clock(), retry)

    def is_fenced(self) -> bool:
        return self.recovery.fenced(self.clock())

    def call_ended(self, well: bool) -> None:
        self.recovery.called(well)

    def update(self) -> None:
        now = self.clock()
        if self.desk is None:
            return
        shared = self.fleet().call_shares()
        equal, share = shared if shared is not None else (self.alone, self.alone)
        if self.recovery.round(now, equal, share):
            cap = self.recovery.cap
            log.info(
                "event=recovery-cap calls=%.2f equal=%.2f ms=%d",
                min(cap, 1e9),
                equal,
                (now - self.recovery.began) // MS,
            )
            if shared is None:
                self.desk.share_calls(min(cap, self.alone))
        if self.recovery.over and self.holding:
            self.holding = False
            self.desk.hold_back(False)
            log.warning(
                "event=recovery-over ms=%d held_back=%d",
                (now - self.recovery.began) // MS,
                self.recovery.retries.refused,
            )
        self.say()
        if now - self.told_at >= TELL_EVERY and not self.closed:
            self.told_at = now
            self.write(share, clean=False)

    def is_complete(self) -> bool:
        return self.recovery.over

    def say(self) -> None:
        for what, effect in self.recovery.effects:
            # A few a life, in the very moment in which info lines are left out by the hundred.
            log.warning(
                "event=recovery-start input=%s effect=%s state=%s",
                what,
                effect,
                self.recovery.start.state.name.lower(),
            )
        self.recovery.effects = []

    def write(self, share: float, clean: bool) -> None:
        if self.state_file is None:
            return
        kept = self.of.Kept(
            self.name,
            self.incarnation,
            time.time_ns() // MS,
            self.record_life,
            share,
            clean,
            self.of.kept.members(self.fleet().peer_addresses()),
        )
        part = self.state_file.with_name(self.state_file.name + ".part")
        try:
            part.write_text(self.of.write(kept), encoding="utf-8")
            os.replace(part, self.state_file)
        except OSError as error:
            log.warning("event=state-not-written detail=%r", str(error))

    def close(self) -> None:
        self.closed = True
        shared = self.fleet().call_shares()
        self.write(shared[1] if shared is not None else self.alone, clean=True)
