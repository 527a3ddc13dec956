"""Recovery from a restart, with a state file; imported only if the operator's file enables it."""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from .. import recovery as decisions
from ..dispatcher import Dispatcher
from ..time_units import NS_PER_MS, NS_PER_SECOND

if TYPE_CHECKING:
    from ..recovery import RecoveryPolicy
    from .membership import FleetMembership

log = logging.getLogger(__name__)

# Time between two writes of the state file.
WRITE_INTERVAL_NS = NS_PER_SECOND
# Largest call cap that is logged, in calls; an infinite cap is logged as this number.
MAX_LOGGED_CALLS = 1e9


class ConfiguredRestartRecovery:
    """The recovery that an operator's file configures.

    Attributes:
        incarnation: Time of this start in Unix ms.
        known_members: Addresses of the fleet members that the previous incarnation knew.
        recovery: The recovery logic; does no I/O.

    Args:
        policy: The operator's settings of the recovery.
        name: The server's name.
        clock: Returns Unix ns.
        membership: Returns the server's fleet membership; called only after the membership exists.
        calls_without_fleet: Concurrent calls that the server may have if there is no fleet.
        is_alone: Whether there is neither a fleet nor a request record to verify the state file
            against.
        state_file: File by which an incarnation passes its state to the next one; None if no state
            is passed on.
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
        parsed = decisions.parse_snapshot(self._read_state_file())
        self.recovery = decisions.RecoveryController(
            policy, parsed, name, clock(), self.incarnation, is_alone
        )
        # Addresses that another process uses by now are harmless: messages are authenticated, and
        # those that the fleet's keys did not seal are dropped.
        snapshot = self.recovery.snapshot
        self.known_members = snapshot.peer_addresses if snapshot is not None else ()
        self._dispatcher: Dispatcher | None = None
        self._record_incarnation = -1
        self._written_ns = 0
        self._is_holding_back_retries = False
        # Set by `close`, after which rounds may still follow; they must not overwrite the final
        # state file.
        self._is_closed = False
        log.info(
            "event=recovery_started state_file=%s previous_incarnation=%d known_members=%d",
            self.recovery.validity.name.lower(),
            snapshot.incarnation if snapshot is not None else 0,
            len(self.known_members),
        )

    def attach_dispatcher(self, dispatcher: Dispatcher, record_incarnation: int) -> None:
        """Begins the recovery, before the server takes its first request.

        Args:
            dispatcher: The dispatcher whose calls and retries are limited during the recovery.
            record_incarnation: Number of this incarnation in the request record's store; -1 if
                there is no record.
        """
        self._dispatcher = dispatcher
        self._record_incarnation = record_incarnation
        if record_incarnation >= 0:
            self.recovery.handle_record_opened(record_incarnation, self.clock())
        self._is_holding_back_retries = True
        dispatcher.set_recovering(True)
        self.update()

    def previous_incarnation_seen(self, incarnation: int) -> None:
        """Handles the incarnation of this server that the fleet knew before this one."""
        self.recovery.handle_peer_report(incarnation, self.clock())
        self._log_effects()

    def call_cap(self) -> float:
        """Returns the concurrent calls that the recovery allows, besides the fleet's limit."""
        return self.recovery.call_cap

    def should_reject_retry(self, is_retry: bool) -> bool:
        """Counts an attempt; returns whether it is a retry over the recovery's retry budget."""
        return self.recovery.should_reject_retry(self.clock(), is_retry)

    def is_fenced(self) -> bool:
        """Returns whether keyed retries that are unknown here must be neither run nor rejected."""
        return self.recovery.is_fenced(self.clock())

    def call_ended(self, succeeded: bool) -> None:
        """Counts the end of a call."""
        self.recovery.record_call(succeeded)

    def update(self) -> None:
        """Raises the call cap, ends the recovery and writes the state file, each when due."""
        now_ns = self.clock()
        dispatcher = self._dispatcher
        if dispatcher is None:
            return
        shares = self.membership().call_shares()
        equal_share, own_share = shares or (self.calls_without_fleet, self.calls_without_fleet)
        if self.recovery.tick(now_ns, equal_share, own_share):
            cap = self.recovery.call_cap
            log.info(
                "event=recovery_call_cap calls=%.2f equal_share=%.2f elapsed_ms=%d",
                min(cap, MAX_LOGGED_CALLS),
                equal_share,
                self._elapsed_ms(now_ns),
            )
            if shares is None:
                dispatcher.set_call_quota(min(cap, self.calls_without_fleet))
        if self.recovery.is_complete and self._is_holding_back_retries:
            self._is_holding_back_retries = False
            dispatcher.set_recovering(False)
            log.warning(
                "event=recovery_completed elapsed_ms=%d held_back=%d",
                self._elapsed_ms(now_ns),
                self.recovery.retry_budget.rejected,
            )
        self._log_effects()
        if now_ns - self._written_ns >= WRITE_INTERVAL_NS and not self._is_closed:
            self._written_ns = now_ns
            self._write_state_file(own_share, clean=False)

    def is_complete(self) -> bool:
        """Returns whether the recovery is over."""
        return self.recovery.is_complete

    def close(self) -> None:
        """Writes the final state file, marked as written by a clean shutdown."""
        self._is_closed = True
        shares = self.membership().call_shares()
        own_share = shares[1] if shares is not None else self.calls_without_fleet
        self._write_state_file(own_share, clean=True)

    def _elapsed_ms(self, now_ns: int) -> int:
        return (now_ns - self.recovery.started_at_ns) // NS_PER_MS

    def _log_effects(self) -> None:
        for cause, effect in self.recovery.pending_log_entries:
            # Logged as warnings, because info lines are rate-limited, and many are dropped during a
            # start. There are only a few of these lines for each start.
            log.warning(
                "event=recovery_state_changed input=%s effect=%s state=%s",
                cause,
                effect,
                self.recovery.bootstrap.state.name.lower(),
            )
        self.recovery.pending_log_entries = []

    def _read_state_file(self) -> str | None:
        """Returns the state file's text; None if it does not exist, empty if it is unreadable."""
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
