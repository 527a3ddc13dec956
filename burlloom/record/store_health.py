"""Watches over the store with the circuit breaker: probes it while it is cut off."""

import logging
from collections.abc import Callable

from .circuit_breaker import BreakerEffect, CircuitBreaker
from .store import RecordStore

__all__ = ["StoreHealth"]

log = logging.getLogger(__name__)

MS = 1_000_000


class StoreHealth:
    """Does what the circuit breaker says: log lines and probes.

    Attributes:
        breaker: The circuit breaker.
    """

    def __init__(
        self, store: RecordStore, breaker: CircuitBreaker, clock: Callable[[], int]
    ) -> None:
        """Takes the store, its breaker, and the wall clock in nanoseconds."""
        self.breaker = breaker
        self._store = store
        self._clock = clock
        self._is_probing = False

    def tick(self, now_ns: int) -> None:
        """Lets time pass."""
        self._apply(self.breaker.tick(now_ns))

    def write_finished(self, number: int, now_ns: int, succeeded: bool) -> None:
        """Notes the store's answer to a write."""
        self._apply(self.breaker.write_finished(number, now_ns, succeeded))

    def _probe_finished(self, succeeded: bool) -> None:
        self._is_probing = False
        self._apply(self.breaker.probe_finished(self._clock(), succeeded))

    def _apply(self, effect: BreakerEffect) -> None:
        if effect in (BreakerEffect.OPEN, BreakerEffect.OPEN_LONGER):
            log.warning(
                "event=record_breaker_opened writes_in_flight=%d pause_ms=%d",
                len(self.breaker.in_flight),
                self.breaker.pause_ns // MS,
            )
        elif effect is BreakerEffect.CLOSE:
            log.info("event=record_breaker_closed times_opened=%d", self.breaker.times_opened)
        elif effect in (BreakerEffect.PROBE, BreakerEffect.PROBE_AGAIN) and not self._is_probing:
            self._is_probing = True
            self._store.probe(self._probe_finished)
