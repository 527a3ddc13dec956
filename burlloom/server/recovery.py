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

from ..dispatcher import Dispatcher
from ..sockets import NS_PER_MS, NS_PER_SECOND

if TYPE_CHECKING:
    from pathlib import Path

    from ..recovery import RecoveryController, RecoveryPolicy
    from .membership import FleetMembership

log = logging.getLogger(__name__)

TELL_EVERY = NS_PER_SECOND
FREE = float("inf")


class RestartRecovery(Protocol):
    """What the server tells its recovery, and asks of it."""

    incarnation: int  # of this process, Unix ms; the fleet knows it by the same
    known_members: tuple[str, ...]  # addresses of others, of the last life

    def attach_dispatcher(self, desk: Dispatcher, record_life: int) -> None: ...
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
        self.incarnation = time.time_ns() // NS_PER_MS

    def attach_dispatcher(self, desk: Dispatcher, record_life: int) -> None:
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
        terms: RecoveryPolicy,
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
        self.incarnation = time.time_ns() // NS_PER_MS
        found = recovery.parse_snapshot(self.text())
        self.recovery: RecoveryController = recovery.RecoveryController(
            terms, found, name, clock(), self.incarnation, lonely
        )
        # Old addresses do no harm: whoever is there answers with a sealed letter.
        kept = self.recovery.snapshot
        self.known_members = kept.peer_addresses if kept is not None else ()
        self.desk: Dispatcher | None = None
        self.record_life = -1
        self.told_at = 0
        self.holding = self.closed = (
            False  # closed: the last word is written, and rounds may follow
        )
        log.info(
            "event=recovery kept=%s life=%d members=%d",
            self.recovery.validity.name.lower(),
            kept.incarnation if kept is not None else 0,
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

    def attach_dispatcher(self, desk: Dispatcher, record_life: int) -> None:
        self.desk, self.record_life = desk, record_life
        if record_life >= 0:
            self.recovery.record_opened(record_life, self.clock())
        self.holding = True
        desk.set_recovering(True)
        self.update()

    def previous_incarnation_seen(self, life: int) -> None:
        self.recovery.peer_reported_incarnation(life, self.clock())
        self.say()

    def call_cap(self) -> float:
        return self.recovery.call_cap

    def holds_back_retry(self, retry: bool) -> bool:
        return self.recovery.should_hold_back_retry(self.clock(), retry)

    def is_fenced(self) -> bool:
        return self.recovery.is_fenced(self.clock())

    def call_ended(self, well: bool) -> None:
        self.recovery.record_call(well)

    def update(self) -> None:
        now = self.clock()
        if self.desk is None:
            return
        shared = self.fleet().call_shares()
        equal, share = shared if shared is not None else (self.alone, self.alone)
        if self.recovery.tick(now, equal, share):
            cap = self.recovery.call_cap
            log.info(
                "event=recovery-cap calls=%.2f equal=%.2f ms=%d",
                min(cap, 1e9),
                equal,
                (now - self.recovery.started_at_ns) // NS_PER_MS,
            )
            if shared is None:
                self.desk.set_call_quota(min(cap, self.alone))
        if self.recovery.is_complete and self.holding:
            self.holding = False
            self.desk.set_recovering(False)
            log.warning(
                "event=recovery-over ms=%d held_back=%d",
                (now - self.recovery.started_at_ns) // NS_PER_MS,
                self.recovery.retry_budget.rejected,
            )
        self.say()
        if now - self.told_at >= TELL_EVERY and not self.closed:
            self.told_at = now
            self.write(share, clean=False)

    def is_complete(self) -> bool:
        return self.recovery.is_complete

    def say(self) -> None:
        for what, effect in self.recovery.pending_log_entries:
            # A few a life, in the very moment in which info lines are left out by the hundred.
            log.warning(
                "event=recovery-start input=%s effect=%s state=%s",
                what,
                effect,
                self.recovery.bootstrap.state.name.lower(),
            )
        self.recovery.pending_log_entries = []

    def write(self, share: float, clean: bool) -> None:
        if self.state_file is None:
            return
        kept = self.of.RecoverySnapshot(
            self.name,
            self.incarnation,
            time.time_ns() // NS_PER_MS,
            self.record_life,
            share,
            clean,
            self.of.limit_members(self.fleet().peer_addresses()),
        )
        part = self.state_file.with_name(self.state_file.name + ".part")
        try:
            part.write_text(self.of.serialize_snapshot(kept), encoding="utf-8")
            os.replace(part, self.state_file)
        except OSError as error:
            log.warning("event=state-not-written detail=%r", str(error))

    def close(self) -> None:
        self.closed = True
        shared = self.fleet().call_shares()
        self.write(shared[1] if shared is not None else self.alone, clean=True)
