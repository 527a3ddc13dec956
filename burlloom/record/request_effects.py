"""The effects of the request state machine, one method each."""

import logging

from . import failpoints
from .policy import RecordCounters, RecordListener
from .request_lifecycle import TRANSITION_RULES, DurableRequest
from .request_registry import RequestRegistry
from .request_writer import RequestWriter
from .rows import WriteKind

__all__ = ["RequestEffects"]

log = logging.getLogger(__name__)


class RequestEffects:
    """Executes effects; each public method is named after its effect in the transition table."""

    def __init__(
        self,
        writer: RequestWriter,
        registry: RequestRegistry,
        listener: RecordListener,
        counters: RecordCounters,
    ) -> None:
        """Creates the effects.

        Args:
            writer: Sends the requests' writes to the store.
            registry: Holds the requests and their claim timers.
            listener: The server, which is notified of outcomes.
            counters: The counters that the effects increment.
        """
        self._writer = writer
        self._registry = registry
        self._listener = listener
        self._counters = counters

    def decide_without_store(self, request: DurableRequest) -> None:
        """Runs or rejects a request whose claim can't be sent to the store; not in the table."""
        if request.may_run_unrecorded:
            self._counters.unrecorded_runs += 1
            self._listener.start_run(request.request_id)
        else:
            self.reject(request)

    def claim(self, request: DurableRequest) -> None:
        """Sends the claim to the store and starts the claim timer."""
        self._counters.claims += 1
        self._registry.start_claim_timer(request)
        self._writer.write(request, WriteKind.CLAIM)
        failpoints.hit("claim-posted")

    def retry_claim(self, request: DurableRequest) -> None:
        """Sends the claim again after a pause."""
        self._writer.write_later(request, WriteKind.CLAIM)

    def look_up(self, request: DurableRequest) -> None:
        """Asks the store which claim holds the key, and starts the claim timer."""
        self._registry.start_claim_timer(request)
        self._writer.write(request, WriteKind.LOOK)

    def poll(self, request: DurableRequest) -> None:
        """Asks the store again, after a pause, how the other claim ended."""
        self._writer.write_later(request, WriteKind.LOOK)

    def register(self, request: DurableRequest) -> None:
        """Registers a key that is claimed elsewhere with the listener."""
        self._registry.cancel_claim_timer(request)
        self._counters.claimed_elsewhere += 1
        self._registry.by_key_digest[request.key_digest] = request
        self._listener.register(request.key_digest, request.expires_at_ns)

    def follow(self, request: DurableRequest) -> None:
        """Reports that the attempt must wait for another claim of its key."""
        self._registry.cancel_claim_timer(request)
        self._counters.claimed_elsewhere += 1
        self._listener.report_claimed_elsewhere(request.request_id)

    def forget(self, request: DurableRequest) -> None:
        """Reports that the attempt waiting for another claim has ended."""
        self._listener.forget(request.key_digest)

    def start_run(self, request: DurableRequest) -> None:
        """Starts the run."""
        self._registry.cancel_claim_timer(request)
        self._listener.start_run(request.request_id)
        failpoints.hit_after_send("executed")

    def start_run_unrecorded(self, request: DurableRequest) -> None:
        """Starts the run without a durable claim."""
        self._counters.unrecorded_runs += 1
        self.start_run(request)

    def reject(self, request: DurableRequest) -> None:
        """Rejects the attempt."""
        self._counters.rejected += 1
        self._listener.reject(request.request_id)

    def report_never_ran(self, request: DurableRequest) -> None:
        """Reports that the abandoned attempt never ran."""
        self._listener.report_never_ran(request.request_id)

    def withdraw(self, request: DurableRequest) -> None:
        """Sends the deletion of the claim."""
        self._registry.cancel_claim_timer(request)
        self._writer.write(request, WriteKind.WITHDRAW)

    def retry_withdraw(self, request: DurableRequest) -> None:
        """Sends the deletion of the claim again after a pause."""
        self._writer.write_later(request, WriteKind.WITHDRAW)

    def finish(self, request: DurableRequest) -> None:
        """Sends the end of the run to the store."""
        self._writer.write(request, WriteKind.FINISH)
        failpoints.hit("finish-posted")

    def retry_finish(self, request: DurableRequest) -> None:
        """Sends the end of the run again after a pause."""
        self._writer.write_later(request, WriteKind.FINISH)

    def insert(self, request: DurableRequest) -> None:
        """Inserts claim and end as one complete row, as the store holds no row for the key."""
        self._writer.write(request, WriteKind.INSERT)

    def report_conflict(self, request: DurableRequest) -> None:
        """Logs that the store holds another claim's row; the answer already given stands."""
        self._counters.conflicts += 1
        log.error(
            "event=record_conflict request_id=%s key_digest=%s state=%s",
            request.request_id,
            request.key_digest.hex(),
            request.state.name.lower(),
        )

    def deliver_result(self, request: DurableRequest) -> None:
        """Delivers the key's result."""
        self._listener.complete(request.key_digest, request.result)

    def fail(self, request: DurableRequest) -> None:
        """Reports that the key's run ended without a result."""
        self._listener.complete(request.key_digest, None)

    def release(self, request: DurableRequest) -> None:
        """Reports that the key may be claimed again."""
        self._listener.release(request.key_digest)

    def mark_in_doubt(self, request: DurableRequest) -> None:
        """Fails repeats of the key, as it is unknown whether the request ran."""
        self._counters.doubts += 1
        self._listener.complete(request.key_digest, None)

    def resolve_as_succeeded(self, request: DurableRequest) -> None:
        """Delivers and stores the result of a request that was in doubt."""
        self._counters.resolved += 1
        self._listener.complete(request.key_digest, request.result)
        self._writer.write(request, WriteKind.FINISH)

    def resolve_as_failed(self, request: DurableRequest) -> None:
        """Reports and stores that a request in doubt ended without a result."""
        self._counters.resolved += 1
        self._listener.complete(request.key_digest, None)
        self._writer.write(request, WriteKind.FINISH)

    def resolve_as_never_ran(self, request: DurableRequest) -> None:
        """Releases the key of a request in doubt that never ran, and deletes its claim."""
        self._counters.resolved += 1
        self._listener.release(request.key_digest)
        self._writer.write(request, WriteKind.WITHDRAW)


# Fails at import, rather than at the first affected request, if the table names an unknown effect.
assert all(
    hasattr(RequestEffects, effect)
    for rules in TRANSITION_RULES.values()
    for _, _, effects in rules
    for effect in effects
)
