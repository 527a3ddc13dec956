"""The operator's word on how a server comes back."""

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Literal, Self

from pydantic import Field, model_validator

from .part import Part

if TYPE_CHECKING:
    from ..recovery import RecoveryPolicy

MS = 1_000_000
Span = Annotated[int, Field(ge=1, le=86_400_000)]
Share = Annotated[float, Field(gt=0, le=1)]


class RecoveryPart(Part):
    """How service comes back after a restart.

    `state_file` is the snapshot for the next incarnation, written each second; without one each
    start is cold. `begin` is the part of an equal share of the calls that a start begins with,
    doubled each `step_ms` while calls succeed; `begin_warm` likewise of the last share, if the
    snapshot is trusted. `ask_ms` is how long peers and the store are waited for; a snapshot older
    than `age_ms` is not trusted. `retries` is how many marked retries are read for each first
    attempt meanwhile. `fence` "retries": those that may have run in an incarnation whose keys are
    lost are failed for one window; "off": they are taken for new.
    """

    state_file: str | None = None
    step_ms: Span = 500
    begin: Share = 0.25
    begin_warm: Share = 0.5
    ask_ms: Span = 2000
    age_ms: Span = 600_000
    retries: Annotated[float, Field(ge=0, le=10)] = 0.2
    retries_few: Annotated[float, Field(ge=0, le=1000)] = 2.0
    fence: Literal["retries", "off"] = "retries"

    @model_validator(mode="after")
    def validate_part(self) -> Self:
        """Refuse values that can't be used together."""
        if self.state_file is not None and not Path(self.state_file).parent.is_dir():
            raise ValueError(
                f"state_file: the folder {Path(self.state_file).parent} does not exist"
            )
        if self.begin_warm < self.begin:
            raise ValueError(f"begin_warm {self.begin_warm:g} is under begin, {self.begin:g}")
        return self

    def recovery_policy(self, window: int, durable: bool) -> "RecoveryPolicy":
        """Return the policy of recovery.

        Args:
            window: the longest idempotency window of the request classes, in ns.
            durable: no run begins before its key is in the record.
        """
        from ..recovery import RecoveryPolicy

        return RecoveryPolicy(
            window,
            self.step_ms * MS,
            self.begin,
            self.begin_warm,
            verification_timeout_ns=self.ask_ms * MS,
            max_snapshot_age_ns=self.age_ms * MS,
            retry_ratio=self.retries,
            min_retries_per_second=self.retries_few,
            fence=self.fence,
            requires_record=durable,
        )
