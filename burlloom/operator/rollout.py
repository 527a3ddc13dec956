"""The operator's part on releases and drains."""

from typing import TYPE_CHECKING, Annotated, Self

from pydantic import Field, model_validator

from .fleet import Host
from .part import Part

if TYPE_CHECKING:
    from ..rollout import DisruptionBudget, RolloutSettings, release

MS = 1_000_000
Span = Annotated[int, Field(ge=1, le=86_400_000)]
Share = Annotated[float, Field(gt=0, lt=1)]
Wave = int | Annotated[str, Field(pattern=r"^[0-9]{1,3}(\.[0-9]+)?%$")]
Most = Annotated[int, Field(ge=1, le=100_000)]


class Below(Part):
    """A downstream service and its instances, as in `fleet.services`.

    `out_most` of them, or the part `out_share`, may be out at once.
    """

    addresses: Annotated[list[Host], Field(min_length=2, max_length=1000)]
    out_most: Most = 1
    out_share: Share | None = None


class RolloutPart(Part):
    """Releases and drains over the fleet.

    `version` is what this server runs; without it, `BURLLOOM_RELEASE`. `leads` is whether it may
    lead the fleet's changes. `release_file` is written before a drain, with the version to start
    next.

    `out_most` servers, or the part `out_share`, may be out at once. `waves` are numbers of servers,
    then parts of all such as "10%"; the last is "100%". `auto_back` rolls a bad release back
    without an operator. `fresh_ms` is how long a report counts; `lead_ms` until another server
    leads; `permit_ms`, `back_ms`, `settle_ms` and `write_off_ms` (0: never) are in docs/rollout.md.
    `judge_ms` is the span that both sides are compared over; `judge_least` requests of the changed
    side are needed; `judge_margin` and `judge_sigmas` are by how much it may do worse;
    `judge_worst` is a share that is bad whatever the others do; `quiet_ms` is how long to wait for
    so many requests, and `quiet_passes` whether a wave without them passes.
    """

    version: Annotated[str, Field(max_length=200)] = ""
    leads: bool = True
    release_file: str | None = None
    out_most: Most = 1
    out_share: Share | None = None
    below: dict[Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")], Below] = {}
    waves: Annotated[list[Wave], Field(max_length=100)] = [1, "10%", "50%", "100%"]
    auto_back: bool = False
    poll_ms: Span = 500
    beat_ms: Span = 1000
    fresh_ms: Span = 5000
    lead_ms: Span = 5000
    permit_ms: Span = 10_000
    back_ms: Span = 120_000
    settle_ms: Span = 5000
    write_off_ms: Annotated[int, Field(ge=0, le=30 * 86_400_000)] = 900_000
    lost_most: Annotated[int, Field(ge=0, le=1000)] = 0
    pause_at: Annotated[float, Field(gt=0, le=1)] = 0.5
    judge_ms: Span = 30_000
    judge_least: Annotated[int, Field(ge=1, le=10**9)] = 100
    judge_margin: Annotated[float, Field(ge=0, le=1)] = 0.03
    judge_sigmas: Annotated[float, Field(ge=0, le=100)] = 4.0
    judge_worst: Annotated[float, Field(gt=0, le=1)] = 0.5
    quiet_ms: Span = 600_000
    quiet_passes: bool = False

    @model_validator(mode="after")
    def validate_part(self) -> Self:
        """Refuse values that can't be used together; all faults at once."""
        from ..rollout import release

        wrong = [
            *release.find_wave_faults(self.plan_waves()),
            *self.rollout_settings().find_faults(),
        ]
        if self.fresh_ms < 3 * max(self.beat_ms, self.poll_ms):
            wrong.append(
                f"fresh_ms {self.fresh_ms} is under three of beat_ms and poll_ms: a server that is"
                " well would be taken for silent"
            )
        if "servers" in self.below:
            wrong.append("below: `servers` is the name of the fleet's own group")
        seen: dict[str, str] = {}
        for name, service in self.below.items():
            for address in service.addresses:
                if address in seen:
                    wrong.append(f"below.{name}: {address} stands twice, also in {seen[address]}")
                seen[address] = name
            if service.out_share is None and service.out_most >= len(service.addresses):
                wrong.append(
                    f"below.{name}: out_most {service.out_most} of {len(service.addresses)} is"
                    " all of them"
                )
        if wrong:
            raise ValueError("; ".join(wrong))
        return self

    def plan_waves(self) -> "tuple[release.Wave, ...]":
        """Return the waves of a release."""
        from ..rollout import release

        return tuple(release.parse_wave(wave) for wave in self.waves)

    def budgets(self) -> "dict[str, DisruptionBudget]":
        """Return how many may be out of each group."""
        from ..rollout import SERVERS_GROUP, DisruptionBudget

        limits = {
            SERVERS_GROUP: (self.out_most, self.out_share),
            **{name: (one.out_most, one.out_share) for name, one in self.below.items()},
        }
        return {
            name: DisruptionBudget(most, share or 0.0) for name, (most, share) in limits.items()
        }

    def services(self) -> dict[str, list[str]]:
        """Return the addresses of each downstream service."""
        return {name: list(one.addresses) for name, one in self.below.items()}

    def rollout_settings(self) -> "RolloutSettings":
        """Return the settings of releases and drains."""
        from ..rollout import CanarySettings, RolloutSettings

        measure = CanarySettings(
            self.judge_ms * MS,
            self.judge_least,
            self.judge_margin,
            self.judge_sigmas,
            self.judge_worst,
        )
        return RolloutSettings(
            self.fresh_ms * MS,
            self.lead_ms * MS,
            self.permit_ms * MS,
            self.back_ms * MS,
            self.settle_ms * MS,
            self.write_off_ms * MS,
            self.quiet_ms * MS,
            self.lost_most,
            self.pause_at,
            self.quiet_passes,
            measure,
        )
