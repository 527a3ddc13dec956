"""Reads the file by which an operator pins a server to a service level."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from pathlib import Path

from ..levels import LevelPin, LevelPlan

log = logging.getLogger(__name__)

# Longer reasons of a pin are cut to this many characters.
MAX_REASON_CHARACTERS = 200


class PinFile:
    """Reads changes of the pin file; a file that can't be used leaves the present pin in place.

    Args:
        path: Path of the pin file; if there is no such file, nothing is pinned.
        plan: The levels that may be pinned.
    """

    def __init__(self, path: Path, plan: LevelPlan) -> None:
        self.path = path
        self.plan = plan
        self._text = ""

    def read_change(self, now_ns: int, apply: Callable[[LevelPin | None], None]) -> None:
        """Reads the file and, if its text has changed, passes the pin to `apply`.

        Args:
            now_ns: Current time in Unix ns; a pin that ended before is passed as None.
            apply: Called with the pin; with None if there is no pin any more.
        """
        text = self._read_text()
        if text == self._text:
            return
        self._text = text
        try:
            pin = parse_pin(text, self.plan) if text else None
        except ValueError as error:
            log.warning("event=pin_rejected detail=%r", str(error))
            return
        apply(pin if pin is not None and pin.until_ns > now_ns else None)

    def _read_text(self) -> str:
        try:
            return self.path.read_text(encoding="utf-8")
        except FileNotFoundError:
            return ""
        except (OSError, UnicodeDecodeError) as error:
            # Not valid JSON, so that parsing fails and the logged rejection names the error.
            return f"! {error}"


def parse_pin(text: str, plan: LevelPlan) -> LevelPin:
    """Returns the pin that the text of a pin file describes.

    Raises:
        ValueError: The text is not a pin, or its level or its time is not valid.
    """
    document = json.loads(text)
    if not isinstance(document, dict):
        raise ValueError("a pin must be an object with level, until and reason")
    names = [level.name for level in plan.levels]
    level, until_ns = document.get("level"), document.get("until")
    if level not in names:
        raise ValueError(f"level {level!r} is not one of {', '.join(names)}")
    if type(until_ns) is not int or until_ns <= 0:
        raise ValueError(f"until {until_ns!r} is not a time in Unix nanoseconds")
    return LevelPin(str(level), until_ns, str(document.get("reason", ""))[:MAX_REASON_CHARACTERS])
