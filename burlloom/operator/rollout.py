"""The part of the operator's file on releases and drains."""

from typing import TYPE_CHECKING, Annotated, Self

from pydantic import Field, model_validator

from ..time_units import NS_PER_MS
from .fleet import SocketAddress
from .part import Part

if TYPE_CHECKING:
    from ..rollout import DisruptionBudget, RolloutSettings, release

DurationMs = Annotated[int, Field(ge=1, le=86_400_000)]
Share = Annotated[float, Field(gt=0, lt=1)]
Wave = int | Annotated[str, Field(pattern=r"^[0-9]{1,3}(\.[0-9]+)?%$")]
MaxInstances = Annotated[int, Field(ge=1, le=100_000)]


class DownstreamServicePart(Part):
    """A downstream service and its instances.

    Attributes:
        addresses: The instances' addresses, as in `fleet.services`.
        out_most: Instances that may be out of service at once; used if `out_share` is absent.
        out_share: Share of the instances that may be out of service at once.
    """

    addresses: Annotated[list[SocketAddress], Field(min_length=2, max_length=1000)]
    out_most: MaxInstances = 1
    out_share: Share | None = None


class RolloutPart(Part):
    """Releases and drains over the fleet. Times are in ms; see docs/rollout.md.

    Attributes:
        version: The version that this server runs, unless `BURLLOOM_RELEASE` is set.
        leads: Whether this server may lead the fleet's rollouts.
        release_file: Path to which the version to start next is written before a drain.
        out_most: Servers that may be out of service at once; used if `out_share` is absent.
        out_share: Share of the servers that may be out of service at once.
        below: Downstream services by name.
        waves: The waves: numbers of servers, then shares of all such as "10%"; the last is "100%".
        auto_back: Whether an unhealthy release is rolled back without an operator.
        poll_ms: Time between two reads of the store.
        beat_ms: Time between two heartbeats of a server.
        fresh_ms: Time after its last heartbeat at which a server counts as silent.
        lead_ms: Time after its last heartbeat at which a leader may be replaced.
        permit_ms: Time after which an unused permit is revoked.
        back_ms: Time after which an instance that has not returned counts as missing.
        settle_ms: How long an instance must be healthy after its return to count as in service.
        write_off_ms: Time after which a missing instance is retired; 0 for never.
        lost_most: Servers that a release may lose before it is halted or rolled back.
        pause_at: Share of the fleet's requests rejected or failed above which no server leaves.
        judge_ms: Shortest time over which changed and unchanged servers are compared.
        judge_least: Requests to the changed servers that a comparison requires.
        judge_margin: Smallest difference of two outcome shares that counts as worse.
        judge_sigmas: Smallest difference in standard deviations that is not attributed to chance.
        judge_worst: Share of one bad outcome from which the changed servers count as unhealthy,
            unless the unchanged servers reach the share too.
        quiet_ms: How long a wave waits for `judge_least` requests.
        quiet_passes: Whether a wave with fewer requests counts as healthy.
    """

    version: Annotated[str, Field(max_length=200)] = ""
    leads: bool = True
    release_file: str | None = None
    out_most: MaxInstances = 1
    out_share: Share | None = None
    below: dict[
        Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")], DownstreamServicePart
    ] = {}
    waves: Annotated[list[Wave], Field(max_length=100)] = [1, "10%", "50%", "100%"]
    auto_back: bool = False
    poll_ms: DurationMs = 500
    beat_ms: DurationMs = 1000
    fresh_ms: DurationMs = 5000
    lead_ms: DurationMs = 5000
    permit_ms: DurationMs = 10_000
    back_ms: DurationMs = 120_000
    settle_ms: DurationMs = 5000
    write_off_ms: Annotated[int, Field(ge=0, le=30 * 86_400_000)] = 900_000
    lost_most: Annotated[int, Field(ge=0, le=1000)] = 0
    pause_at: Annotated[float, Field(gt=0, le=1)] = 0.5
    judge_ms: DurationMs = 30_000
    judge_least: Annotated[int, Field(ge=1, le=10**9)] = 100
    judge_margin: Annotated[float, Field(ge=0, le=1)] = 0.03
    judge_sigmas: Annotated[float, Field(ge=0, le=100)] = 4.0
    judge_worst: Annotated[float, Field(gt=0, le=1)] = 0.5
    quiet_ms: DurationMs = 600_000
    quiet_passes: bool = False

    @model_validator(mode="after")
    def validate_part(self) -> Self:
        """Rejects invalid combinations of values; reports all faults at once."""
        from ..rollout import release

        faults = [
            *release.find_wave_faults(self.plan_waves()),
            *self.rollout_settings().find_faults(),
        ]
        if self.fresh_ms < 3 * max(self.beat_ms, self.poll_ms):
            faults.append(
                f"fresh_ms ({self.fresh_ms}) must be at least three times beat_ms and poll_ms:"
                " otherwise a healthy server would count as silent"
            )
        if "servers" in self.below:
            faults.append("below: the name `servers` is reserved for the fleet's own group")
        service_by_address: dict[str, str] = {}
        for name, service in self.below.items():
            for address in service.addresses:
                if address in service_by_address:
                    faults.append(
                        f"below.{name}: {address} is also in below.{service_by_address[address]}"
                    )
                service_by_address[address] = name
            if service.out_share is None and service.out_most >= len(service.addresses):
                faults.append(
                    f"below.{name}: out_most ({service.out_most}) must be less than the number of"
                    f" addresses ({len(service.addresses)})"
                )
        if faults:
            raise ValueError("; ".join(faults))
        return self

    def plan_waves(self) -> "tuple[release.Wave, ...]":
        """Returns the waves of a release."""
        from ..rollout import release

        return tuple(release.parse_wave(wave) for wave in self.waves)

    def budgets(self) -> "dict[str, DisruptionBudget]":
        """Returns how many instances of each group may be out of service at once."""
        from ..rollout import SERVERS_GROUP, DisruptionBudget

        limits = {
            SERVERS_GROUP: (self.out_most, self.out_share),
            **{name: (service.out_most, service.out_share) for name, service in self.below.items()},
        }
        return {
            name: DisruptionBudget(max_out, max_out_share or 0.0)
            for name, (max_out, max_out_share) in limits.items()
        }

    def services(self) -> dict[str, list[str]]:
        """Returns the addresses of each downstream service."""
        return {name: list(service.addresses) for name, service in self.below.items()}

    def rollout_settings(self) -> "RolloutSettings":
        """Returns the settings of releases and drains."""
        from ..rollout import CanarySettings, RolloutSettings

        canary = CanarySettings(
            self.judge_ms * NS_PER_MS,
            self.judge_least,
            self.judge_margin,
            self.judge_sigmas,
            self.judge_worst,
        )
        return RolloutSettings(
            self.fresh_ms * NS_PER_MS,
            self.lead_ms * NS_PER_MS,
            self.permit_ms * NS_PER_MS,
            self.back_ms * NS_PER_MS,
            self.settle_ms * NS_PER_MS,
            self.write_off_ms * NS_PER_MS,
            self.quiet_ms * NS_PER_MS,
            self.lost_most,
            self.pause_at,
            self.quiet_passes,
            canary,
        )
