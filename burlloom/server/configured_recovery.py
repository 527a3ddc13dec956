"""A server's recovery from a restart, with its state file; imported only where it is on."""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from .. import recovery as decisions
from ..dispatcher import Dispatcher
from ..sockets import NS_PER_MS, NS_PER_SECOND

if TYPE_CHECKING:
    from ..recovery import RecoveryPolicy
    from .membership import FleetMembership

log = logging.getLogger(__name__)

WRITE_INTERVAL_NS = NS_PER_SECOND
# What an infinite cap is logged as.
MAX_LOGGED_CALLS = 1e9


class ConfiguredRestartRecovery:
    """The recovery that an operator's file configures.

    Attributes:
        incarnation: Unix ms of this start.
        known_members: Addresses of members that the last incarnation knew.
        recovery: What decides, without I/O.

    Args:
        policy: The operator's.
        name: The server's.
        clock: Unix ns.
        membership: Returns the server's membership; called once there is one.
        calls_without_fleet: Calls that the server may have where there is no fleet.
        is_alone: Whether neither a fleet nor a record could prove what the file says.
        state_file: What an incarnation leaves to the next; None where nothing is left.
    """

    def __init__(
        self,
        policy: RecoveryPolicy,
        name: str,
        clock: Callable[[], int],
        membership: Callable[[], FleetMembership],
        calls_without_fleet: float,
        is_alone: bool,
        state_file: Path | None,
    ) -> None:
        self.name = name
        self.clock = clock
        self.membership = membership
        self.calls_without_fleet = calls_without_fleet
        self.state_file = state_file
        self.incarnation = time.time_ns() // NS_PER_MS
        found = decisions.parse_snapshot(self._read_state_file())
        self.recovery = decisions.RecoveryController(
            policy, found, name, clock(), self.incarnation, is_alone
        )
        # Old addresses do no harm: whoever is there answers with a sealed message.
        snapshot = self.recovery.snapshot
        self.known_members = snapshot.peer_addresses if snapshot is not None else ()
        self._dispatcher: Dispatcher | None = None
        self._record_incarnation = -1
        self._written_ns = 0
        self._holds_back = False
        # Once the last state is written, rounds may follow, and must not write over it.
        self._is_closed = False
        log.info(
            "event=recovery_started state_file=%s previous_incarnation=%d known_members=%d",
            self.recovery.validity.name.lower(),
            snapshot.incarnation if snapshot is not None else 0,
            len(self.known_members),
        )

    def attach_dispatcher(self, dispatcher: Dispatcher, record_incarnation: int) -> None:
        """Begins the recovery, with the first request that may come.

        Args:
            dispatcher: Whose calls and retries are bound meanwhile.
            record_incarnation: The server's in the store of record; -1 where there is none.
        """
        self._dispatcher = dispatcher
        self._record_incarnation = record_incarnation
        if record_incarnation >= 0:
            self.recovery.handle_record_opened(record_incarnation, self.clock())
        self._holds_back = True
        dispatcher.set_recovering(True)
        self.update()

    def previous_incarnation_seen(self, incarnation: int) -> None:
        """Notes which incarnation of this server the fleet knew before this one."""
        self.recovery.handle_peer_report(incarnation, self.clock())
        self._log_effects()

    def call_cap(self) -> float:
        """Returns how many calls are allowed so far, besides the fleet's share."""
        return self.recovery.call_cap

    def holds_back_retry(self, is_retry: bool) -> bool:
        """Counts an attempt; returns whether it is a retry past what is taken for now."""
        return self.recovery.should_reject_retry(self.clock(), is_retry)

    def is_fenced(self) -> bool:
        """Returns whether unknown keyed retries must be neither run nor rejected."""
        return self.recovery.is_fenced(self.clock())

    def call_ended(self, succeeded: bool) -> None:
        """Counts the end of a call."""
        self.recovery.record_call(succeeded)

    def update(self) -> None:
        """Takes a round: raises the cap, ends the recovery, writes the state file."""
        now = self.clock()
        dispatcher = self._dispatcher
        if dispatcher is None:
            return
        shares = self.membership().call_shares()
        equal, own = shares or (self.calls_without_fleet, self.calls_without_fleet)
        if self.recovery.tick(now, equal, own):
            cap = self.recovery.call_cap
            log.info(
                "event=recovery_call_cap calls=%.2f equal_share=%.2f elapsed_ms=%d",
                min(cap, MAX_LOGGED_CALLS),
                equal,
                self._elapsed_ms(now),
            )
            if shares is None:
                dispatcher.set_call_quota(min(cap, self.calls_without_fleet))
        if self.recovery.is_complete and self._holds_back:
            self._holds_back = False
            dispatcher.set_recovering(False)
            log.warning(
                "event=recovery_completed elapsed_ms=%d held_back=%d",
                self._elapsed_ms(now),
                self.recovery.retry_budget.rejected,
            )
        self._log_effects()
        if now - self._written_ns >= WRITE_INTERVAL_NS and not self._is_closed:
            self._written_ns = now
            self._write_state_file(own, clean=False)

    def is_complete(self) -> bool:
        """Returns whether the recovery is over."""
        return self.recovery.is_complete

    def close(self) -> None:
        """Writes the state file a last time, marked as left by a clean shutdown."""
        self._is_closed = True
        shares = self.membership().call_shares()
        own = shares[1] if shares is not None else self.calls_without_fleet
        self._write_state_file(own, clean=True)

    def _elapsed_ms(self, now: int) -> int:
        return (now - self.recovery.started_at_ns) // NS_PER_MS

    def _log_effects(self) -> None:
        for cause, effect in self.recovery.pending_log_entries:
            # A few for each start, in the very moment in which info lines are dropped by the
            # hundred.
            log.warning(
                "event=recovery_state_changed input=%s effect=%s state=%s",
                cause,
                effect,
                self.recovery.bootstrap.state.name.lower(),
            )
        self.recovery.pending_log_entries = []

    def _read_state_file(self) -> str | None:
        """Returns the file's text: None where there is none, empty where it can't be read."""
        if self.state_file is None:
            return None
        try:
            return self.state_file.read_text(encoding="utf-8")
        except FileNotFoundError:
            return None
        except (OSError, UnicodeDecodeError) as error:
            log.warning("event=recovery_state_unreadable detail=%r", str(error))
            return ""

    def _write_state_file(self, share: float, clean: bool) -> None:
        if self.state_file is None:
            return
        snapshot = decisions.RecoverySnapshot(
            self.name,
            self.incarnation,
            time.time_ns() // NS_PER_MS,
            self._record_incarnation,
            share,
            clean,
            decisions.limit_peer_addresses(self.membership().peer_addresses()),
        )
        temporary = self.state_file.with_name(self.state_file.name + ".part")
        try:
            temporary.write_text(decisions.serialize_snapshot(snapshot), encoding="utf-8")
            os.replace(temporary, self.state_file)
        except OSError as error:
            log.warning("event=state_file_not_written detail=%r", str(error))
