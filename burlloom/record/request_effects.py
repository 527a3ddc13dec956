"""The effects that the request's state machine names, one method each."""

import logging

from . import failpoints
from .policy import RecordCounters, RecordListener
from .request_lifecycle import RULES, DurableRequest
from .request_registry import RequestRegistry
from .request_writer import RequestWriter
from .rows import WriteKind

__all__ = ["RequestEffects"]

log = logging.getLogger(__name__)


class RequestEffects:
    """Each public method is an effect of `request_lifecycle.TABLE`, named as there."""

    def __init__(
        self,
        writer: RequestWriter,
        registry: RequestRegistry,
        listener: RecordListener,
        counters: RecordCounters,
    ) -> None:
        """Takes what the effects act on."""
        self._writer = writer
        self._registry = registry
        self._listener = listener
        self._counters = counters

    def decide_without_store(self, request: DurableRequest) -> None:
        """Runs or rejects a request whose claim may not go to the store; not in the table."""
        if request.may_run_unrecorded:
            self._counters.unrecorded_runs += 1
            self._listener.start_run(request.request_id)
        else:
            self.reject(request)

    def claim(self, request: DurableRequest) -> None:
        """Sends the claim."""
        self._counters.claims += 1
        self._registry.start_claim_timer(request)
        self._writer.write(request, WriteKind.CLAIM)
        failpoints.hit("claim-posted")

    def retry_claim(self, request: DurableRequest) -> None:
        """Sends the claim again after a pause."""
        self._writer.write_later(request, WriteKind.CLAIM)

    def look_up(self, request: DurableRequest) -> None:
        """Asks whose the key is."""
        self._registry.start_claim_timer(request)
        self._writer.write(request, WriteKind.LOOK)

    def poll(self, request: DurableRequest) -> None:
        """Asks again after a pause how another's claim ended."""
        self._writer.write_later(request, WriteKind.LOOK)

    def register(self, request: DurableRequest) -> None:
        """Makes a key known here that another claimed."""
        self._registry.cancel_claim_timer(request)
        self._counters.claimed_elsewhere += 1
        self._registry.by_key_digest[request.key_digest] = request
        self._listener.register(request.key_digest, request.expires_at_ns)

    def follow(self, request: DurableRequest) -> None:
        """Has the attempt wait for another's claim."""
        self._registry.cancel_claim_timer(request)
        self._counters.claimed_elsewhere += 1
        self._listener.report_claimed_elsewhere(request.request_id)

    def forget(self, request: DurableRequest) -> None:
        """Tells that the attempt that waited is gone."""
        self._listener.forget(request.key_digest)

    def start_run(self, request: DurableRequest) -> None:
        """Has the run begin."""
        self._registry.cancel_claim_timer(request)
        self._listener.start_run(request.request_id)
        failpoints.hit_after_send("executed")

    def start_run_unrecorded(self, request: DurableRequest) -> None:
        """Has the run begin although its claim is not durable."""
        self._counters.unrecorded_runs += 1
        self.start_run(request)

    def reject(self, request: DurableRequest) -> None:
        """Has the attempt rejected."""
        self._counters.rejected += 1
        self._listener.reject(request.request_id)

    def report_never_ran(self, request: DurableRequest) -> None:
        """Tells that the abandoned attempt never ran."""
        self._listener.report_never_ran(request.request_id)

    def withdraw(self, request: DurableRequest) -> None:
        """Deletes the claim."""
        self._registry.cancel_claim_timer(request)
        self._writer.write(request, WriteKind.WITHDRAW)

    def retry_withdraw(self, request: DurableRequest) -> None:
        """Deletes the claim after a pause."""
        self._writer.write_later(request, WriteKind.WITHDRAW)

    def finish(self, request: DurableRequest) -> None:
        """Stores the end."""
        self._writer.write(request, WriteKind.FINISH)
        failpoints.hit("finish-posted")

    def retry_finish(self, request: DurableRequest) -> None:
        """Stores the end after a pause."""
        self._writer.write_later(request, WriteKind.FINISH)

    def insert(self, request: DurableRequest) -> None:
        """Stores claim and end in one row, as there is none."""
        self._writer.write(request, WriteKind.INSERT)

    def report_conflict(self, request: DurableRequest) -> None:
        """Logs that another's row stands where ours should; what ran stays answered."""
        self._counters.conflicts += 1
        log.error(
            "event=record_conflict request_id=%s key_digest=%s state=%s",
            request.request_id,
            request.key_digest.hex(),
            request.state.name.lower(),
        )

    def deliver_result(self, request: DurableRequest) -> None:
        """Tells the key's result."""
        self._listener.complete(request.key_digest, request.result)

    def fail(self, request: DurableRequest) -> None:
        """Tells that the key ended without a result."""
        self._listener.complete(request.key_digest, None)

    def release(self, request: DurableRequest) -> None:
        """Tells that the key is free again."""
        self._listener.release(request.key_digest)

    def mark_in_doubt(self, request: DurableRequest) -> None:
        """Tells repeats that the key has no result, as nobody knows whether it ran."""
        self._counters.doubts += 1
        self._listener.complete(request.key_digest, None)

    def resolve_as_succeeded(self, request: DurableRequest) -> None:
        """Tells the result of a request that was in doubt, and stores it."""
        self._counters.resolved += 1
        self._listener.complete(request.key_digest, request.result)
        self._writer.write(request, WriteKind.FINISH)

    def resolve_as_failed(self, request: DurableRequest) -> None:
        """Tells that a request in doubt ended without a result, and stores that."""
        self._counters.resolved += 1
        self._listener.complete(request.key_digest, None)
        self._writer.write(request, WriteKind.FINISH)

    def resolve_as_never_ran(self, request: DurableRequest) -> None:
        """Frees the key of a request that was in doubt and never ran."""
        self._counters.resolved += 1
        self._listener.release(request.key_digest)
        self._writer.write(request, WriteKind.WITHDRAW)


# A misspelt effect is found at import, not at the first request that meets it.
assert all(
    hasattr(RequestEffects, effect)
    for rules in RULES.values()
    for _, _, effects in rules
    for effect in effects
)
