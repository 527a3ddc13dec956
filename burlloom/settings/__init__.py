"""What a server is told of itself, decoded once for whichever host runs the decisions."""

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
