"""The part of the operator's file on the recovery of a server after a restart."""

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Literal, Self

from pydantic import Field, model_validator

from ..time_units import NS_PER_MS
from .part import Part

if TYPE_CHECKING:
    from ..recovery import RecoveryPolicy

DurationMs = Annotated[int, Field(ge=1, le=86_400_000)]
Share = Annotated[float, Field(gt=0, le=1)]


class RecoveryPart(Part):
    """Recovery after a restart. Times are in ms.

    Attributes:
        state_file: Path of the snapshot for the next incarnation, which is written each second;
            without one each start is cold.
        step_ms: Length of a step of the slow start; while calls succeed, the cap on concurrent
            calls doubles with each step.
        begin: Initial cap of a cold start, as a part of an equal share of the fleet's calls.
        begin_warm: Initial cap with a valid snapshot, as a part of the snapshot's call share.
        ask_ms: How long to wait for peers and the store of record to report a later incarnation.
        age_ms: Highest age of a snapshot; an older one is not used.
        retries: Marked retries that are read for each first attempt during the recovery.
        retries_few: Marked retries a second that are read whatever the first attempts are.
        fence: "retries" fails, for one idempotency window, retries that may have run in an
            incarnation whose keys are lost; "off" takes them for new requests.
    """

    state_file: str | None = None
    step_ms: DurationMs = 500
    begin: Share = 0.25
    begin_warm: Share = 0.5
    ask_ms: DurationMs = 2000
    age_ms: DurationMs = 600_000
    retries: Annotated[float, Field(ge=0, le=10)] = 0.2
    retries_few: Annotated[float, Field(ge=0, le=1000)] = 2.0
    fence: Literal["retries", "off"] = "retries"

    @model_validator(mode="after")
    def validate_part(self) -> Self:
        """Rejects a missing folder of `state_file` and a `begin_warm` below `begin`."""
        if self.state_file is not None and not Path(self.state_file).parent.is_dir():
            raise ValueError(
                f"state_file: the folder {Path(self.state_file).parent} does not exist"
            )
        if self.begin_warm < self.begin:
            raise ValueError(
                f"begin_warm ({self.begin_warm:g}) must be at least begin ({self.begin:g})"
            )
        return self

    def recovery_policy(self, window_ns: int, is_durable: bool) -> "RecoveryPolicy":
        """Returns the parameters of the recovery.

        Args:
            window_ns: The longest idempotency window of the request classes, ns.
            is_durable: Whether a run begins only after its key is in the store of record.
        """
        from ..recovery import RecoveryPolicy

        return RecoveryPolicy(
            window_ns,
            self.step_ms * NS_PER_MS,
            self.begin,
            self.begin_warm,
            verification_timeout_ns=self.ask_ms * NS_PER_MS,
            max_snapshot_age_ns=self.age_ms * NS_PER_MS,
            retry_ratio=self.retries,
            min_retries_per_second=self.retries_few,
            fence=self.fence,
            requires_record=is_durable,
        )
