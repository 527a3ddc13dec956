"""Evaluates a template and checks it, all faults at once, each with its place."""

import json
from pathlib import Path
from typing import Any, TypeVar

import _jsonnet
from pydantic import BaseModel, ValidationError

from ..errors import BurlloomError
from .schema import Operator

FILE_MOST = 1 << 20
Model = TypeVar("Model", bound=BaseModel)


class OperatorFileError(BurlloomError):
    """An operator's file that can't be used.

    Attributes:
        lines: a line for each fault, with its place.
    """

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


def load(path: Path) -> Operator:
    """Raises `OperatorFileError`. Imports in the template are looked up beside it."""
    found = validate(Operator, evaluate_template(path), path)
    lines = [f"levels.{line}" for line in found.levels.faults()] if found.levels is not None else []
    if found.distribution is not None:
        lines += [f"distribution.{line}" for line in found.distribution.faults()]
    if lines:
        raise OperatorFileError([f"{path}: {line}" for line in lines])
    return found


def evaluate_template(path: Path) -> Any:
    """What the template makes. Raises `OperatorFileError`."""
    try:
        if path.stat().st_size > FILE_MOST:
            raise OperatorFileError([f"{path}: over {FILE_MOST} bytes"])
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise OperatorFileError([f"{path}: {error.strerror}"]) from error
    except UnicodeDecodeError as error:
        raise OperatorFileError([f"{path}: byte {error.start} is not UTF-8"]) from error
    try:
        return json.loads(_jsonnet.evaluate_snippet(str(path), text))
    except RuntimeError as error:
        raise OperatorFileError([" ".join(str(error).split())]) from error


def validate(model: type[Model], got: Any, path: Path) -> Model:
    """Raises `OperatorFileError`."""
    try:
        return model.model_validate(got)
    except ValidationError as error:
        raise OperatorFileError(
            [
                f"{path}: {'.'.join(map(str, fault['loc'])) or 'the whole file'}: {said(fault['msg'])}"
                + ("" if isinstance(fault["input"], dict) else f" (got {fault['input']!r:.60})")
                for fault in error.errors()
            ]
        ) from error


def said(message: str) -> str:
    return {"Extra inputs are not permitted": "unknown key", "Field required": "is missing"}.get(
        message, message.removeprefix("Value error, ")
    )
