"""Exports metrics in the Prometheus text format."""

from .exporter import MetricsExporter

__all__ = ["MetricsExporter"]
