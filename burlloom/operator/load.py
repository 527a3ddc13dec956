"""Evaluates an operator's template and validates it.

All faults are reported at once, each with the path of the key.
"""

import json
from pathlib import Path
from typing import Any, TypeVar

import _jsonnet
from pydantic import BaseModel, ValidationError

from ..errors import BurlloomError
from .schema import Operator

# Size of a template; a larger file is rejected.
MAX_FILE_BYTES = 1 << 20
Model = TypeVar("Model", bound=BaseModel)


class OperatorFileError(BurlloomError):
    """An operator's file is invalid.

    Attributes:
        lines: One line for each fault, with the path of the file and that of the key.
    """

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


def load(path: Path) -> Operator:
    """Reads a template and returns the operator's settings.

    Imports in the template are looked up in its folder.

    Raises:
        OperatorFileError: The file is invalid; the error has a line for each fault.
    """
    operator = validate(Operator, evaluate_template(path), path)
    lines = (
        [f"levels.{line}" for line in operator.levels.find_faults()]
        if operator.levels is not None
        else []
    )
    if operator.distribution is not None:
        lines += [f"distribution.{line}" for line in operator.distribution.find_faults()]
    if lines:
        raise OperatorFileError([f"{path}: {line}" for line in lines])
    return operator


def evaluate_template(path: Path) -> Any:
    """Returns the JSON value that the template evaluates to.

    Raises:
        OperatorFileError: The file can't be read, is too large or is not valid Jsonnet.
    """
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise OperatorFileError([f"{path}: the file is larger than {MAX_FILE_BYTES} bytes"])
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise OperatorFileError([f"{path}: {error.strerror}"]) from error
    except UnicodeDecodeError as error:
        raise OperatorFileError([f"{path}: byte {error.start} is not UTF-8"]) from error
    try:
        return json.loads(_jsonnet.evaluate_snippet(str(path), text))
    except RuntimeError as error:
        raise OperatorFileError([" ".join(str(error).split())]) from error


def validate(model: type[Model], value: Any, path: Path) -> Model:
    """Validates a JSON value against a model.

    Args:
        model: The model.
        value: The value.
        path: The file that the value comes from, for the messages.

    Raises:
        OperatorFileError: The value does not fit; the error has a line for each fault.
    """
    try:
        return model.model_validate(value)
    except ValidationError as error:
        raise OperatorFileError(
            [
                f"{path}: {'.'.join(map(str, fault['loc'])) or 'the whole file'}: "
                + fault_text(fault["msg"])
                + ("" if isinstance(fault["input"], dict) else f" (got {fault['input']!r:.60})")
                for fault in error.errors()
            ]
        ) from error


def fault_text(message: str) -> str:
    """Returns a message of pydantic in the terms of the operators' documentation."""
    return {"Extra inputs are not permitted": "unknown key", "Field required": "is missing"}.get(
        message, message.removeprefix("Value error, ")
    )
