"""Checks four safety rules from outside: the checker shares no code with the server.

The rules: a request that must not run twice does not; each request that was read is answered by its
deadline; an answer is true to what ran; and a node stays within its CPU and memory, and the fleet
within the downstream service's capacity. The driver of a simulation, or of a run over sockets,
reports each event in the order of time. Times are in s.
"""

from collections import Counter
from dataclasses import dataclass, field

TOLERANCE_S = 0.05  # added to each time limit
LOAD_AVERAGE_S = 3.0  # time constant of the average of runnable jobs per core


@dataclass(slots=True)
class AttemptState:
    """State of an attempt that a node has read.

    Attributes:
        node: Name of the node.
        incarnation: Incarnation of the node.
        idempotency_key: Key of the request; empty for one without.
        received_at_s: Time in s at which the node received it.
        due_at_s: Time in s by which it must be answered.
        window_s: Time in s after `received_at_s` within which the key must not run again.
        runs_once: Whether the request must not run again although it has no key.
        answer: "settled", "declined" or "voided"; empty before an answer.
        has_run: Whether it was started.
    """

    node: str
    incarnation: int
    idempotency_key: str
    received_at_s: float
    due_at_s: float
    window_s: float = 0.0
    runs_once: bool = False
    answer: str = ""
    has_run: bool = False


@dataclass(slots=True)
class IncarnationState:
    """State of one incarnation of a node.

    Attributes:
        drained_at_s: Time in s at which its drain began; below 0: it has not.
        has_ended: Whether its process has ended.
        unanswered: Ids of attempts that were read and are not answered.
        load: Runnable jobs per core, averaged over `LOAD_AVERAGE_S`.
    """

    drained_at_s: float = -1.0
    has_ended: bool = False
    unanswered: set[str] = field(default_factory=set)
    load: float = 0.0


class RuleChecker:
    """Records events and collects violations of the rules.

    Attributes:
        attempts: Attempts that were read, by id.
        incarnations: Incarnations by node name and number.
        last_runs: By node and key, when the last attempt that ran was received, in s, and its id.
        results: Results of runs, by attempt id.
        violations: Messages of the first 100 violations; later ones are only counted.
        counts: Number of runs, of answers by kind, and of violations ("faults").
    """

    def __init__(
        self,
        grace_s: float,
        tip_multiple: float,
        max_downstream_calls: float,
        has_records: bool = False,
    ) -> None:
        """Creates a checker without events.

        Args:
            grace_s: Time in s after the start of a drain in which received attempts may run.
            tip_multiple: Most runnable jobs per core, averaged over `LOAD_AVERAGE_S`.
            max_downstream_calls: Most calls in progress that the downstream service survives.
            has_records: Whether the nodes keep a durable record, so that a key must not run again
                in a later incarnation either.
        """
        self.grace_s, self.tip_multiple, self.max_downstream_calls, self.has_records = (
            grace_s,
            tip_multiple,
            max_downstream_calls,
            has_records,
        )
        self.attempts: dict[str, AttemptState] = {}
        self.incarnations: dict[tuple[str, int], IncarnationState] = {}
        self.last_runs: dict[tuple[str, int, str], tuple[float, str]] = {}
        self.results: dict[str, bytes] = {}
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()

    def add_violation(self, time_s: float, message: str) -> None:
        """Counts a violation and keeps its message."""
        self.counts["faults"] += 1
        if len(self.violations) < 100:
            self.violations.append(f"{time_s:.3f}: {message}")

    def get_incarnation(self, node: str, incarnation: int) -> IncarnationState:
        """Returns the state of a node's incarnation; creates it at the first use."""
        return self.incarnations.setdefault((node, incarnation), IncarnationState())

    def record_read(
        self,
        received_at_s: float,
        node: str,
        incarnation: int,
        attempt_id: str,
        deadline_s: float,
        idempotency_key: str = "",
        window_s: float = 0.0,
        runs_once: bool = False,
    ) -> None:
        """Records that a node has read an attempt.

        Args:
            received_at_s: Time in s at which its last byte came.
            node: Name of the node.
            incarnation: Incarnation of the node.
            attempt_id: The attempt.
            deadline_s: Time in s after `received_at_s` by which it must be answered.
            idempotency_key: Key of the request; empty for one without.
            window_s: Time in s after `received_at_s` within which the key must not run again.
            runs_once: Whether the request must not run again although it has no key.
        """
        if attempt_id in self.attempts:
            # An error of the test rig: ids are unique.
            self.add_violation(received_at_s, f"{attempt_id} was sent twice")
        self.attempts[attempt_id] = AttemptState(
            node,
            incarnation,
            idempotency_key,
            received_at_s,
            received_at_s + deadline_s + TOLERANCE_S,
            window_s,
            runs_once,
        )
        self.get_incarnation(node, incarnation).unanswered.add(attempt_id)
        self.counts["read"] += 1

    def get_key_scope(self, attempt: AttemptState) -> tuple[str, int, str]:
        """Returns the key of an attempt with the node and, without records, the incarnation."""
        return (
            attempt.node,
            0 if self.has_records else attempt.incarnation,
            attempt.idempotency_key,
        )

    def record_run(self, time_s: float, attempt_id: str) -> None:
        """Records that an attempt was started, and checks that it may run."""
        attempt = self.attempts.get(attempt_id)
        if attempt is None:
            self.add_violation(time_s, f"{attempt_id} was started but never read")
            return
        self.counts["runs"] += 1
        state = self.get_incarnation(attempt.node, attempt.incarnation)
        if attempt.has_run:
            self.add_violation(time_s, f"{attempt_id} was started twice")
        if state.has_ended:
            self.add_violation(
                time_s, f"{attempt_id} was started on {attempt.node}, whose process has ended"
            )
        if 0 <= state.drained_at_s < attempt.received_at_s - self.grace_s - TOLERANCE_S:
            self.add_violation(
                time_s,
                f"{attempt_id} was started on {attempt.node} although it was received"
                f" {attempt.received_at_s - state.drained_at_s:.3f} s after the drain began",
            )
        attempt.has_run = True
        if attempt.idempotency_key:
            last_received_at_s, last_id = self.last_runs.get(
                self.get_key_scope(attempt), (-1e9, "")
            )
            if (
                attempt.received_at_s <= last_received_at_s + attempt.window_s
                and last_id != attempt_id
            ):
                self.add_violation(
                    time_s,
                    f"key {attempt.idempotency_key[-8:]} was started twice on {attempt.node}:"
                    f" as {last_id} and as {attempt_id}",
                )
            self.last_runs[self.get_key_scope(attempt)] = attempt.received_at_s, attempt_id

    def record_result(self, attempt_id: str, result: bytes) -> None:
        """Records the result that the run of an attempt produced."""
        self.results[attempt_id] = result

    def record_answer(
        self, time_s: float, attempt_id: str, answer: str, result: bytes = b""
    ) -> None:
        """Records an answer, and checks that it is the first, in time and true.

        Args:
            time_s: Time of the answer in s.
            attempt_id: The attempt that is answered.
            answer: "settled", "declined" or "voided".
            result: Result of a settled attempt.
        """
        attempt = self.attempts.get(attempt_id)
        if attempt is None:
            self.add_violation(time_s, f"{attempt_id} was {answer} but never read")
            return
        self.counts[answer] += 1
        if attempt.answer:
            self.add_violation(
                time_s, f"{attempt_id} was answered twice: {attempt.answer}, then {answer}"
            )
        attempt.answer = answer
        self.get_incarnation(attempt.node, attempt.incarnation).unanswered.discard(attempt_id)
        if time_s > attempt.due_at_s:
            self.add_violation(
                time_s,
                f"{attempt_id} was {answer} {time_s - attempt.due_at_s:.3f} s past its due time",
            )
        last_received_at_s, last_id = (
            self.last_runs.get(self.get_key_scope(attempt), (-1e9, ""))
            if attempt.idempotency_key
            else (-1e9, "")
        )
        if answer == "settled":
            produced = self.results.get(
                attempt_id, self.results.get(last_id) if attempt.idempotency_key else None
            )
            if produced != result:
                self.add_violation(
                    time_s, f"{attempt_id} was settled with a result that no run produced for it"
                )
        if answer == "declined":
            if attempt.has_run and (attempt.idempotency_key or attempt.runs_once):
                self.add_violation(time_s, f"{attempt_id} was declined after it had run")
            elif last_id and attempt.received_at_s <= last_received_at_s + attempt.window_s:
                self.add_violation(
                    time_s,
                    f"{attempt_id} was declined although its key"
                    f" {attempt.idempotency_key[-8:]} ran as {last_id}",
                )

    def record_drain(self, time_s: float, node: str, incarnation: int) -> None:
        """Records that the drain of a node began."""
        self.get_incarnation(node, incarnation).drained_at_s = time_s

    def record_stop(self, time_s: float, node: str, incarnation: int, killed: bool) -> None:
        """Records the end of a process; one that was not killed must have answered all attempts."""
        state = self.get_incarnation(node, incarnation)
        state.has_ended = True
        if not killed and state.unanswered:
            self.add_violation(
                time_s,
                f"{node} stopped with {len(state.unanswered)} unanswered, among them"
                f" {min(state.unanswered)}",
            )
        state.unanswered.clear()

    def record_disconnect(self, attempt_id: str) -> None:
        """Records that the caller's connection is lost, so that no answer is expected any more."""
        attempt = self.attempts.get(attempt_id)
        if attempt is not None:
            self.get_incarnation(attempt.node, attempt.incarnation).unanswered.discard(attempt_id)

    def check_node(
        self,
        time_s: float,
        interval_s: float,
        node: str,
        incarnation: int,
        runnable_jobs: float,
        cores: int,
        memory_share: float,
    ) -> None:
        """Checks a node's CPU and memory, and that no answer is overdue.

        Args:
            time_s: Time of the check in s.
            interval_s: Time in s since the check before.
            node: Name of the node.
            incarnation: Incarnation of the node.
            runnable_jobs: Jobs that run or wait for a core.
            cores: Cores of the node.
            memory_share: Memory in use, as a share of the node's memory.
        """
        state = self.get_incarnation(node, incarnation)
        state.load += (runnable_jobs / cores - state.load) * min(1.0, interval_s / LOAD_AVERAGE_S)
        if state.load > self.tip_multiple:
            self.add_violation(time_s, f"{node} has {state.load:.1f} runnable jobs per core")
        if memory_share > 1:
            self.add_violation(time_s, f"{node} needs {memory_share:.2f} times its memory")
        for attempt_id in [
            attempt_id
            for attempt_id in state.unanswered
            if time_s > self.attempts[attempt_id].due_at_s
        ]:
            state.unanswered.discard(attempt_id)
            self.add_violation(time_s, f"{attempt_id} at {node} was never answered")

    def check_downstream_calls(self, time_s: float, mean_calls: float) -> None:
        """Checks the mean number of downstream calls in progress of an interval."""
        if mean_calls > self.max_downstream_calls:
            self.add_violation(
                time_s,
                f"{mean_calls:.0f} downstream calls in progress; the service survives"
                f" {self.max_downstream_calls:.0f}",
            )

    def discard_before(self, time_s: float) -> None:
        """Drops attempts that matter no more at a time in s, so that long runs take no more memory."""
        for attempt_id, attempt in list(self.attempts.items()):
            if max(attempt.due_at_s, attempt.received_at_s + attempt.window_s) + 10 < time_s:
                del self.attempts[attempt_id]
                self.results.pop(attempt_id, None)
        for key_scope, (_, attempt_id) in list(self.last_runs.items()):
            if attempt_id not in self.attempts:
                del self.last_runs[key_scope]
