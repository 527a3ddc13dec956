"""Metrics in the Prometheus text format."""

from .exposed import Exposed

__all__ = ["Exposed"]
