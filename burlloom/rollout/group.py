"""Groups of instances that share a disruption budget. No I/O."""

from dataclasses import dataclass, field

from .instance import Instance

__all__ = ["SERVERS_GROUP", "DisruptionBudget", "InstanceGroup"]

SERVERS_GROUP = "servers"  # our own servers; all other groups are downstream services

# A share such as 0.1 of 30 must not be rounded down to 2.
_ROUNDING_ERROR = 1e-9


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """How many of a group may be out of service at once; never all of them.

    Attributes:
        max_out: So many, where `max_out_share` is 0.
        max_out_share: Such a part of all, rounded down, but one at least.
    """

    max_out: int = 1
    max_out_share: float = 0.0

    def limit(self, size: int) -> int:
        """Returns how many of a group of `size` may be out at once."""
        if self.max_out_share:
            allowed = max(1, int(self.max_out_share * size + _ROUNDING_ERROR))
        else:
            allowed = self.max_out
        return max(0, min(allowed, size - 1))


@dataclass(frozen=True, slots=True)
class InstanceGroup:
    """The servers of the fleet, or the instances of one downstream service.

    Attributes:
        budget: How many may be out at once.
        instances: By name; a downstream instance's name is its address.
    """

    budget: DisruptionBudget = DisruptionBudget()
    instances: dict[str, Instance] = field(default_factory=dict)

    @property
    def limit(self) -> int:
        """How many may be out at once."""
        return self.budget.limit(len(self.instances))

    @property
    def out_count(self) -> int:
        """How many count against the budget."""
        return sum(instance.is_out for instance in self.instances.values())

    def free_permits(self, unhealthy: int = 0) -> int:
        """Returns how many permits may be granted; below 0 where crashes took more.

        Args:
            unhealthy: Instances that are in service and can't be seen to serve.
        """
        return self.limit - self.out_count - unhealthy
