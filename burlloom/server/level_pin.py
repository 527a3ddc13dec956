"""The file by which an operator pins a server to a service level."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from pathlib import Path

from ..levels import LevelPin, LevelPlan

log = logging.getLogger(__name__)

MAX_REASON_CHARACTERS = 200


class PinFile:
    """Reads a pin's file where it changed; one that can't be used changes nothing.

    Args:
        path: The file; without it there is no pin.
        plan: Has the levels that may be pinned.
    """

    def __init__(self, path: Path, plan: LevelPlan) -> None:
        self.path = path
        self.plan = plan
        self._text = ""

    def read_change(self, now: int, apply: Callable[[LevelPin | None], None]) -> None:
        """Reads the file; where its text is another than before, hands on the pin.

        Args:
            now: Unix ns; a pin that ended before counts as none.
            apply: Called with the pin, None where there is none any more.
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
        apply(pin if pin is not None and pin.until_ns > now else None)

    def _read_text(self) -> str:
        try:
            return self.path.read_text(encoding="utf-8")
        except FileNotFoundError:
            return ""
        except (OSError, UnicodeDecodeError) as error:
            # No pin: what is logged as rejected names the error.
            return f"! {error}"


def parse_pin(text: str, plan: LevelPlan) -> LevelPin:
    """Returns the pin that a file's text holds.

    Raises:
        ValueError: It holds none, or one that names no level of the plan or no time.
    """
    found = json.loads(text)
    if not isinstance(found, dict):
        raise ValueError("a pin is an object with level, until and reason")
    names = [level.name for level in plan.levels]
    level, until = found.get("level"), found.get("until")
    if level not in names:
        raise ValueError(f"level {level!r} is none of {', '.join(names)}")
    if type(until) is not int or until <= 0:
        raise ValueError(f"until {until!r} is no time in Unix nanoseconds")
    return LevelPin(str(level), until, str(found.get("reason", ""))[:MAX_REASON_CHARACTERS])
