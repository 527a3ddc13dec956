"""Reports to the name service."""

from .health_reporter import HealthReporter

__all__ = ["HealthReporter"]
