"""The names that state files and metrics have for the counters of replication. No I/O."""

from typing import Any

# Counters whose name outside differs from that of the field.
EXPORTED_NAMES = {
    "received": "heard",
    "received_bytes": "heard_bytes",
    "applied": "taken",
    "finished_syncs": "settled",
}


def export_counters(counters: Any) -> dict[str, Any]:
    """Return all fields of a slotted dataclass by their names outside."""
    return {EXPORTED_NAMES.get(name, name): getattr(counters, name) for name in counters.__slots__}
