"""JSON encoding of the stored rollout state and the stored reports of servers.

The keys of the JSON objects are those of the first release that wrote them, so that old and new
programs can read each other's data. Only this module maps them to the names of the fields.
"""

from collections.abc import Mapping
from functools import partial

from pydantic import ConfigDict, TypeAdapter, ValidationError, with_config

from ...errors import BurlloomError
from ..group import DisruptionBudget, InstanceGroup
from ..instance import Instance
from ..liveness import ServerReport
from ..release import OutcomeRates, Release
from ..state import FORMAT_VERSION, RolloutState

__all__ = ["StateDecodeError", "decode_report", "decode_state", "encode_report", "encode_state"]

_STORED_NAMES: dict[type, Mapping[str, str]] = {
    RolloutState: {
        "leader": "holder",
        "step": "steps",
        "stable_version": "good",
        "release": "plan",
        "history": "notes",
        "format_version": "form",
    },
    DisruptionBudget: {"max_out": "most", "max_out_share": "share"},
    InstanceGroup: {"instances": "units"},
    Instance: {
        "incarnation": "life",
        "left_incarnation": "left",
        "since_step": "since",
        "next_version": "to",
        "release_number": "moved",
        "drain_ticket": "asked",
        "drain_ms": "span_ms",
    },
    Release: {
        "target_version": "version",
        "previous_version": "former",
        "is_restart": "restart",
        "wave_index": "wave",
        "is_rollback": "backing",
        "auto_rollback": "auto",
        "since_step": "since",
        "reason": "why",
        "baseline": "reference",
        "lost_count": "lost",
    },
    OutcomeRates: {"rejected": "declined", "failed": "voided", "requests": "asked"},
    ServerReport: {
        "incarnation": "life",
        "heartbeat": "beat",
        "phase": "says",
        "is_healthy": "well",
        "acknowledged_step": "heeded",
        "downstream": "below",
        "previous_incarnation": "former",
    },
}


class StateDecodeError(BurlloomError):
    """Stored text that this program cannot decode.

    Attributes:
        field: Dotted name of the first invalid stored field; empty if the whole text is invalid.
        reason: Why the field or the text is invalid.
    """

    def __init__(self, message: str, field: str = "", reason: str = "") -> None:
        """Stores `field` and `reason` as attributes next to the full message."""
        super().__init__(message)
        self.field = field
        self.reason = reason


def _stored_name(names: Mapping[str, str], field: str) -> str:
    return names.get(field, field)


for _type, _names in _STORED_NAMES.items():
    with_config(ConfigDict(alias_generator=partial(_stored_name, _names)))(_type)

_STATE_ADAPTER = TypeAdapter(RolloutState)
_REPORT_ADAPTER = TypeAdapter(ServerReport)


def encode_state(state: RolloutState) -> str:
    """Returns the state as a JSON object."""
    return _STATE_ADAPTER.dump_json(state, by_alias=True).decode()


def encode_report(report: ServerReport) -> str:
    """Returns the report as a JSON object."""
    return _REPORT_ADAPTER.dump_json(report, by_alias=True).decode()


def decode_state(text: str) -> RolloutState:
    """Decodes text that `encode_state` of this or an earlier release wrote.

    Raises:
        StateDecodeError: The text is not a rollout state, or has a newer format.
    """
    try:
        state = _STATE_ADAPTER.validate_json(text)
    except ValidationError as error:
        first = error.errors()[0]
        field, reason = ".".join(map(str, first["loc"])), first["msg"]
        raise StateDecodeError(
            f"stored rollout state cannot be decoded: {field or 'the whole text'}: {reason}",
            field,
            reason,
        ) from error
    if state.format_version > FORMAT_VERSION:
        reason = (
            f"stored rollout state has format {state.format_version}, written by a newer program;"
            f" this program reads formats up to {FORMAT_VERSION}"
        )
        raise StateDecodeError(reason, "form", reason)
    return state


def decode_report(text: str) -> ServerReport:
    """Decodes text that `encode_report` of this or an earlier release wrote.

    Raises:
        StateDecodeError: The text is not a report.
    """
    try:
        return _REPORT_ADAPTER.validate_json(text)
    except ValidationError as error:
        reason = error.errors()[0]["msg"]
        raise StateDecodeError(
            f"stored server report cannot be decoded: {reason}", reason=reason
        ) from error
