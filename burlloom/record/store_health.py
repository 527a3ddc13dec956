"""Runs the circuit breaker's probes of the store, and logs when the breaker opens or closes."""

import logging
from collections.abc import Callable

from ..time_units import NS_PER_MS
from .circuit_breaker import BreakerEffect, CircuitBreaker
from .store import RecordStore

__all__ = ["StoreHealth"]

log = logging.getLogger(__name__)


class StoreHealth:
    """Executes the effects of the circuit breaker.

    Attributes:
        breaker: The circuit breaker around the store.
    """

    def __init__(
        self, store: RecordStore, breaker: CircuitBreaker, clock: Callable[[], int]
    ) -> None:
        """Creates the health check of a store.

        Args:
            store: The store to probe.
            breaker: The circuit breaker around the store.
            clock: Returns the wall-clock time in nanoseconds.
        """
        self.breaker = breaker
        self._store = store
        self._clock = clock
        self._is_probing = False

    def tick(self, now_ns: int) -> None:
        """Handles the passing of time; call it periodically."""
        self._apply(self.breaker.tick(now_ns))

    def finish_write(self, number: int, now_ns: int, succeeded: bool) -> None:
        """Records the store's answer to a write."""
        self._apply(self.breaker.finish_write(number, now_ns, succeeded))

    def _finish_probe(self, succeeded: bool) -> None:
        self._is_probing = False
        self._apply(self.breaker.finish_probe(self._clock(), succeeded))

    def _apply(self, effect: BreakerEffect) -> None:
        if effect in (BreakerEffect.OPEN, BreakerEffect.OPEN_LONGER):
            log.warning(
                "event=record_breaker_opened writes_in_flight=%d pause_ms=%d",
                len(self.breaker.in_flight),
                self.breaker.pause_ns // NS_PER_MS,
            )
        elif effect is BreakerEffect.CLOSE:
            log.info("event=record_breaker_closed times_opened=%d", self.breaker.times_opened)
        elif effect in (BreakerEffect.PROBE, BreakerEffect.PROBE_AGAIN) and not self._is_probing:
            self._is_probing = True
            self._store.probe(self._finish_probe)
