"""What all parts of the operator's file share: nothing unknown, nothing changed once read."""

from pydantic import BaseModel, ConfigDict


class Part(BaseModel):
    """A part of the operator's file: unknown keys are refused, and it is read-only."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)
