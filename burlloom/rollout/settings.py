"""Settings of rollouts and of the canary evaluation between two waves."""

from dataclasses import dataclass

from ..time_units import NS_PER_SECOND

__all__ = ["CanarySettings", "RolloutSettings"]


@dataclass(frozen=True, slots=True)
class CanarySettings:
    """Decides when the changed servers count as unhealthy.

    Attributes:
        window_ns: Shortest time over which the changed servers are compared with the others.
        min_requests: Number of requests that the changed servers must answer before they can
            count as healthy.
        min_difference: Smallest difference of two outcome shares at which the larger counts as
            worse.
        min_sigmas: Smallest difference of two outcome shares, in standard deviations, that is not
            attributed to chance.
        max_rate: Share of the changed servers' requests with one bad outcome from which on they
            count as unhealthy, unless the unchanged servers reach this share too. Also the share of
            unhealthy samples of the changed servers that counts as unhealthy.
    """

    window_ns: int = 30 * NS_PER_SECOND
    min_requests: int = 100
    min_difference: float = 0.03
    min_sigmas: float = 4.0
    max_rate: float = 0.5


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Times and limits of rollouts.

    Attributes:
        heartbeat_ttl_ns: Time after its last heartbeat at which a server counts as silent.
        leader_timeout_ns: Time after its last heartbeat at which a leader may be replaced.
        permit_ttl_ns: Time after which an unused permit is revoked.
        return_timeout_ns: Time after which an instance that is out of service and has not returned
            counts as missing.
        settle_ns: How long an instance must be healthy after its return to count as in service.
        write_off_ns: Time after which a missing instance is retired; 0 retires an instance only by
            an operator's order.
        low_traffic_timeout_ns: How long a wave waits for enough requests to the changed servers.
        max_lost: Number of servers that the release may lose before it is halted or rolled back.
        pause_rate: The release sends out no server while more than this share of the fleet's
            requests is rejected or failed.
        low_traffic_passes: Whether a wave with too few requests counts as healthy.
        canary: When the changed servers count as unhealthy.
    """

    heartbeat_ttl_ns: int = 5 * NS_PER_SECOND
    leader_timeout_ns: int = 5 * NS_PER_SECOND
    permit_ttl_ns: int = 10 * NS_PER_SECOND
    return_timeout_ns: int = 120 * NS_PER_SECOND
    settle_ns: int = 5 * NS_PER_SECOND
    write_off_ns: int = 900 * NS_PER_SECOND
    low_traffic_timeout_ns: int = 600 * NS_PER_SECOND
    max_lost: int = 0
    pause_rate: float = 0.5
    low_traffic_passes: bool = False
    canary: CanarySettings = CanarySettings()

    def find_faults(self) -> list[str]:
        """Returns what makes the settings unusable, with the key names of the operator's file."""
        faults = []
        if self.return_timeout_ns <= self.settle_ns:
            faults.append("back_ms must be greater than settle_ms")
        min_write_off_ns = max(self.return_timeout_ns, self.heartbeat_ttl_ns)
        if self.write_off_ns and self.write_off_ns <= min_write_off_ns:
            faults.append("write_off_ms must be 0, or greater than back_ms and fresh_ms")
        if self.low_traffic_timeout_ns < self.canary.window_ns:
            faults.append(
                "quiet_ms must be at least judge_ms, so that a wave is evaluated before it halts"
            )
        return faults
