"""What a configuration must hold before anything of it is used: all its faults at once, each with
its place.
"""

import math
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from ..settings import IDEMPOTENCY_KINDS, LOAD_REPORT_KINDS

ADDRESS = re.compile(r"[^\s:]+:([0-9]{1,5})")
SOCKETS_LEAST = 24  # the process itself holds fifteen, its link among them
NEEDED = "needed"
MAY_LACK = ("settings.tenants",)
NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class Number:
    least: float
    most: float = NEVER
    over: bool = False  # the least itself is too little
    whole: bool = False

    def fault(self, value: Any) -> str:
        if (
            type(value) not in (int, float)
            or not math.isfinite(value)
            or self.whole
            and value != int(value)
        ):
            return f"{value!r:.60} is no {'whole ' if self.whole else ''}number"
        if value < self.least or self.over and value == self.least:
            return f"{value:g} is not {'over' if self.over else 'at least'} {self.least:g}"
        return f"{value:g} is over {self.most:g}" if value > self.most else ""


@dataclass(frozen=True, slots=True)
class Text:
    form: str = ""
    known: tuple[str, ...] = ()

    def fault(self, value: Any) -> str:
        if type(value) is not str or not value:
            return f"{value!r:.60} is no text"
        if self.known and value not in self.known:
            return f"{value!r:.60} is none of {', '.join(self.known)}"
        return (
            f"{value!r:.60} is not {self.form}"
            if self.form == "hexadecimal" and not re.fullmatch("[0-9a-fA-F]+", value)
            else ""
        )


class Address:
    def fault(self, value: Any) -> str:
        found = ADDRESS.fullmatch(value) if type(value) is str else None
        return "" if found and int(found[1]) <= 65535 else f"{value!r:.60} is no address"


SHARE = Number(0, 1)
# place -> what stands there, and whether it is needed; `[]` is each of a list. What no line names
# is not read.
PLACES: tuple[tuple[str, Number | Text | Address, str], ...] = (
    ("executor", Address(), NEEDED),
    ("naming", Address(), NEEDED),
    ("catalog", Address(), ""),
    ("seed", Text("hexadecimal"), NEEDED),
    ("stop_ms", Number(0, 1e9), NEEDED),
    ("limits.sockets", Number(SOCKETS_LEAST, 1e7, whole=True), ""),
    ("limits.memory_mb", Number(0, 1e9, over=True), ""),
    ("settings.categories[].name", Text(), NEEDED),
    ("settings.categories[].aim", Number(0, 1e12, over=True), NEEDED),
    ("settings.categories[].deadline", Number(0, 1e12, over=True), NEEDED),
    ("settings.categories[].worth", Number(0, 1e12), NEEDED),
    ("settings.categories[].idempotency", Text(known=tuple(IDEMPOTENCY_KINDS)), NEEDED),
    ("settings.categories[].window", Number(0, 1e12), ""),
    ("settings.categories[].late_share", SHARE, ""),
    ("settings.categories[].aim_stretch", Number(0, 1e6), ""),
    ("settings.extra.n_cores", Number(1, 1e6), NEEDED),
    ("settings.extra.memory_kb", Number(0, 1e15, over=True), NEEDED),
    ("settings.extra.blowup", Number(0, 1e9, over=True), NEEDED),
    ("settings.extra.key_kb", Number(0, 1e15), ""),
    ("settings.extra.calls_out", Number(0, 1e9), ""),
    ("settings.extra.calls_over", Number(0, 1e12), ""),
    ("settings.extra.lingers", Number(0, 1e12), ""),
    ("settings.extra.fresh_for", Number(0, 1e12), ""),
    ("settings.extra.idle", Number(0, 1e12), ""),
    ("settings.extra.say", Text(known=tuple(LOAD_REPORT_KINDS)), ""),
    ("settings.extra.depends_on", Text(), ""),
    ("settings.extra.meters[]", Text(), ""),
    ("settings.extra.class_skip_worth[]", SHARE, ""),
    ("settings.rules.tip_multiple", Number(0, 1e9, over=True), NEEDED),
    ("settings.rules.cold_from", SHARE, NEEDED),
    ("settings.rules.warm_up", Number(0, 1e12), NEEDED),
    ("settings.rules.drain_grace", Number(0, 1e12), NEEDED),
    ("settings.limits.max_retry_after", Number(0, 1e12), ""),
    ("settings.tenants[].name", Text(), NEEDED),
    ("settings.tenants[].portion", Number(0, 1e9), ""),
)


class Missing(Exception):
    pass


def found(value: Any, names: list[str], place: str = "") -> Iterator[tuple[str, Any]]:
    """Each value of a place, with where exactly it stands. A part or a list that is left out holds
    nothing.
    """
    if not names:
        yield place, value
        return
    name, many = names[0].removesuffix("[]"), names[0].endswith("[]")
    if not isinstance(value, Mapping):
        yield place, Missing("is no object")
        return
    here = f"{place}.{name}" if place else name
    inner = value.get(name)
    if inner is None:
        yield here, None
    elif not many:
        yield from found(inner, names[1:], here)
    elif not isinstance(inner, list):
        yield here, Missing("is no list")
    else:
        for at, one in enumerate(inner):
            yield from found(one, names[1:], f"{here}[{at}]")


def faults(got: Any, told: frozenset[str] = frozenset()) -> list[str]:
    """`told`: names of addresses and texts that come from elsewhere."""
    if not isinstance(got, Mapping):
        return ["is no object"]
    lines: dict[str, str] = {}
    own = tuple(
        (name, kind, NEEDED)
        for name, kind in (("name", Text()), ("listen", Address()))
        if name not in told
    )
    for place, kind, needed in own + PLACES:
        for here, value in found(got, place.split(".")):
            if isinstance(value, Missing):
                lines.setdefault(here, str(value))
            elif value is not None:
                if line := kind.fault(value):
                    lines.setdefault(here, line)
            elif (
                needed
                and here not in MAY_LACK
                and not any(here.startswith((f"{one}.", f"{one}[")) for one in lines)
            ):
                lines.setdefault(here, "is missing")  # once for a part that is left out as a whole
    lines.update(() if lines else together(got["settings"], got))
    return [f"{place}: {line}" if place else line for place, line in lines.items()]


def together(settings: Any, got: Any) -> Iterator[tuple[str, str]]:
    """What each value may be by itself, but not beside the others."""
    names = [one["name"] for one in settings["categories"]]
    if not names:
        yield "settings.categories", "is empty"
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield "settings.categories", f"{name!r} stands there more than once"
    extra = settings["extra"]
    below = extra.get("depends_on") or "off"
    if below != "off" and not got.get("catalog"):
        yield (
            "catalog",
            f"is missing, though calls go below (settings.extra.depends_on is {below!r})",
        )
    if (
        below == "one_for_all"
        and any(extra.get("class_calls") or ())
        and not extra.get("calls_out")
    ):
        yield "settings.extra.calls_out", "is 0, though classes call what all servers share"
