"""Reports the server's health to service discovery."""

from .health_reporter import HealthReporter

__all__ = ["HealthReporter"]
