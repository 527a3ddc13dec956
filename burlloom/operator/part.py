"""The base of all parts of the operator's file."""

from pydantic import BaseModel, ConfigDict


class Part(BaseModel):
    """A part of the operator's file: rejects unknown keys, converts no types and is read-only."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)
