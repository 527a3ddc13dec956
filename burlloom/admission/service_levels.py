"""Applies the service level in force to requests.

Inputs: the level, the trial of the level above it, and each request's class, sampling draw and
marks. Rule: a request whose sampling draw is below the trial share is served at the level on trial,
any other at the level in force.
"""

from .lifecycle import TrackedRequest
from .model import Degradation, ServiceLevel

__all__ = ["ServiceLevels"]


class ServiceLevels:
    """The service level in force.

    Attributes:
        level: The level in force and the one on trial.
    """

    __slots__ = ("level",)

    def __init__(self) -> None:
        """Starts at full service."""
        self.level = ServiceLevel()

    def degradation_for(self, tracked: TrackedRequest) -> Degradation:
        """Returns the restrictions that apply to this request."""
        level = self.level
        if tracked.request.sampling_draw < level.trial_share:
            return level.trial_degradation
        return level.degradation

    def rejects(self, tracked: TrackedRequest) -> bool:
        """Returns whether the level excludes this request; the request must not have run."""
        degradation = self.degradation_for(tracked)
        if not degradation.name:
            return False
        request = tracked.request
        class_index = request.request_class
        return (
            degradation.rejected_classes[class_index]
            or degradation.cached_only_classes[class_index]
            or (degradation.rejects_over_share and request.is_over_share)
            or (degradation.retry_rejecting_classes[class_index] and request.is_retry)
        )

    def skips_call(self, tracked: TrackedRequest) -> bool:
        """Returns whether the level skips this request's call."""
        degradation = self.degradation_for(tracked)
        return (
            bool(degradation.name)
            and degradation.call_skipping_classes[tracked.request.request_class]
        )
