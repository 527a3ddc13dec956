"""Reports the server's health to the name service."""

from .health_reporter import HealthReporter

__all__ = ["HealthReporter"]
