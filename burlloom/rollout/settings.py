"""Settings of rollouts and of the health gate between two waves."""

from dataclasses import dataclass

from .liveness import SECOND_NS

__all__ = ["CanarySettings", "RolloutSettings"]


@dataclass(frozen=True, slots=True)
class CanarySettings:
    """When changed servers are worse than the others.

    Attributes:
        window_ns: How much time is compared, at least.
        min_requests: To the changed servers, before they are healthy.
        min_difference: Of two shares, for the larger to be worse.
        min_sigmas: How far the difference is beyond chance, in standard deviations.
        max_rate: A share of the changed servers' requests that is unhealthy, unless the others do
            as badly.
    """

    window_ns: int = 30 * SECOND_NS
    min_requests: int = 100
    min_difference: float = 0.03
    min_sigmas: float = 4.0
    max_rate: float = 0.5


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Times and limits of rollouts.

    Attributes:
        heartbeat_ttl_ns: How long a heartbeat counts.
        leader_timeout_ns: A leader whose heartbeat does not rise for so long is gone.
        permit_ttl_ns: A permit that nobody begins on is revoked after.
        return_timeout_ns: Whoever is out is to be back in service after.
        settle_ns: How long one serves before it counts as back.
        write_off_ns: A missing one is gone for good after; 0: only by an operator's order.
        low_traffic_timeout_ns: How long enough requests to the changed servers are waited for.
        max_lost: Changed servers that may be lost before the release is halted.
        pause_rate: Share of the fleet's requests rejected or failed, from which on no server is
            sent out.
        low_traffic_passes: Whether a wave with too few requests counts as healthy.
        canary: When changed servers are worse than the others.
    """

    heartbeat_ttl_ns: int = 5 * SECOND_NS
    leader_timeout_ns: int = 5 * SECOND_NS
    permit_ttl_ns: int = 10 * SECOND_NS
    return_timeout_ns: int = 120 * SECOND_NS
    settle_ns: int = 5 * SECOND_NS
    write_off_ns: int = 900 * SECOND_NS
    low_traffic_timeout_ns: int = 600 * SECOND_NS
    max_lost: int = 0
    pause_rate: float = 0.5
    low_traffic_passes: bool = False
    canary: CanarySettings = CanarySettings()

    def find_faults(self) -> list[str]:
        """Returns what makes the settings unusable, in the words of the operator's file."""
        found = []
        if self.return_timeout_ns <= self.settle_ns:
            found.append("back_ms has to be more than settle_ms")
        min_write_off_ns = max(self.return_timeout_ns, self.heartbeat_ttl_ns)
        if self.write_off_ns and self.write_off_ns <= min_write_off_ns:
            found.append("write_off_ms has to be more than back_ms and fresh_ms, or 0")
        if self.low_traffic_timeout_ns < self.canary.window_ns:
            found.append("quiet_ms is under judge_ms: no wave could be told in time")
        return found
