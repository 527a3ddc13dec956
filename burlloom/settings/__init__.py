"""Parses the settings of a server for all hosts that run the admission decisions."""

from .parser import (
    IDEMPOTENCY_KINDS,
    LOAD_REPORT_KINDS,
    NS_PER_US,
    SettingsDocument,
    parse_gauges,
    parse_server_settings,
)

__all__ = [
    "IDEMPOTENCY_KINDS",
    "LOAD_REPORT_KINDS",
    "NS_PER_US",
    "SettingsDocument",
    "parse_gauges",
    "parse_server_settings",
]
