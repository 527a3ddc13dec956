"""JSON of what a store keeps: the rollout state and the servers' reports.

The names that stand in the JSON objects are those of the first release that wrote them, so that old
and new programs read each other's. They are mapped to the fields' names here and nowhere else.
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
    """Stored text that this program can't read.

    Attributes:
        field: Dotted name of the first stored field that is wrong; empty for the text as a whole.
        reason: What is wrong with it.
    """

    def __init__(self, message: str, field: str = "", reason: str = "") -> None:
        """Keeps the operator's `message` beside its parts."""
        super().__init__(message)
        self.field = field
        self.reason = reason


def _stored_name(names: Mapping[str, str], field: str) -> str:
    return names.get(field, field)


for _type, _names in _STORED_NAMES.items():
    with_config(ConfigDict(alias_generator=partial(_stored_name, _names)))(_type)

_STATE = TypeAdapter(RolloutState)
_REPORT = TypeAdapter(ServerReport)


def encode_state(state: RolloutState) -> str:
    """Returns one JSON object."""
    return _STATE.dump_json(state, by_alias=True).decode()


def encode_report(report: ServerReport) -> str:
    """Returns one JSON object."""
    return _REPORT.dump_json(report, by_alias=True).decode()


def decode_state(text: str) -> RolloutState:
    """Reads what `encode_state` wrote, of this release or one before.

    Raises:
        StateDecodeError: The text is no rollout state, or one of a newer format.
    """
    try:
        state = _STATE.validate_json(text)
    except ValidationError as error:
        first = error.errors()[0]
        field, reason = ".".join(map(str, first["loc"])), first["msg"]
        raise StateDecodeError(
            f"the book can't be read: {field or 'the whole'}: {reason}", field, reason
        ) from error
    if state.format_version > FORMAT_VERSION:
        reason = (
            f"the book has form {state.format_version}, written by a newer program;"
            f" this one knows {FORMAT_VERSION}"
        )
        raise StateDecodeError(reason, "form", reason)
    return state


def decode_report(text: str) -> ServerReport:
    """Reads what `encode_report` wrote, of this release or one before.

    Raises:
        StateDecodeError: The text is no server's report.
    """
    try:
        return _REPORT.validate_json(text)
    except ValidationError as error:
        reason = error.errors()[0]["msg"]
        raise StateDecodeError(f"a server's word can't be read: {reason}", reason=reason) from error
