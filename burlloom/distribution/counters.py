"""Maps replication counters to their names in state files and metrics. Does no I/O."""

from typing import Any

# Fields whose name in state files and metrics differs from the field's own name.
EXPORTED_NAMES = {
    "received": "heard",
    "received_bytes": "heard_bytes",
    "applied": "taken",
    "finished_syncs": "settled",
}


def export_counters(counters: Any) -> dict[str, Any]:
    """Returns all fields of a slotted dataclass under their exported names."""
    return {EXPORTED_NAMES.get(name, name): getattr(counters, name) for name in counters.__slots__}
