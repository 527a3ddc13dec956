"""Groups of instances that share a disruption budget. No I/O."""

from dataclasses import dataclass, field

from .instance import Instance

__all__ = ["SERVERS_GROUP", "DisruptionBudget", "InstanceGroup"]

# The group of the fleet's own servers. Each other group is a downstream service.
SERVERS_GROUP = "servers"

# Added before rounding down, so that a floating-point error does not turn 0.1 of 30 into 2.
_ROUNDING_ERROR = 1e-9


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """Limits how many instances of a group may be out of service at once; never allows all.

    Attributes:
        max_out: Number of instances that may be out; used if `max_out_share` is 0.
        max_out_share: Share of the group that may be out, from 0 to less than 1. The number of
            instances is rounded down, but is at least 1.
    """

    max_out: int = 1
    max_out_share: float = 0.0

    def compute_limit(self, size: int) -> int:
        """Returns how many of `size` instances may be out of service at once."""
        if self.max_out_share:
            allowed = max(1, int(self.max_out_share * size + _ROUNDING_ERROR))
        else:
            allowed = self.max_out
        return max(0, min(allowed, size - 1))


@dataclass(frozen=True, slots=True)
class InstanceGroup:
    """The servers of the fleet, or the instances of one downstream service.

    Attributes:
        budget: Limits how many instances may be out of service at once.
        instances: Instances by name; the name of a downstream instance is its address.
    """

    budget: DisruptionBudget = DisruptionBudget()
    instances: dict[str, Instance] = field(default_factory=dict)

    @property
    def limit(self) -> int:
        """How many instances may be out of service at once."""
        return self.budget.compute_limit(len(self.instances))

    @property
    def out_count(self) -> int:
        """How many instances count against the budget."""
        return sum(instance.is_out for instance in self.instances.values())

    def count_free_permits(self, unhealthy_count: int = 0) -> int:
        """Returns how many permits may be granted; negative if crashes exceed the budget.

        Args:
            unhealthy_count: Instances in state IN that do not report to be healthy. They count
                against the budget too.
        """
        return self.limit - self.out_count - unhealthy_count
