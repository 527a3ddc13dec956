"""What the server's configuration must hold: finds all its faults at once, each with its place."""

import math
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from ..settings import IDEMPOTENCY_KINDS, LOAD_REPORT_KINDS

ADDRESS_FORM = re.compile(r"[^\s:]+:([0-9]{1,5})")
HEXADECIMAL_FORM = re.compile("[0-9a-fA-F]+")
MAX_PORT = 65535
# The process itself holds fifteen descriptors, its connection to the executor among them.
MIN_SOCKETS = 24
# A list that may be left out although each of its elements has required values.
OPTIONAL_LISTS = ("settings.tenants",)


@dataclass(frozen=True, slots=True)
class ConfigurationFault:
    """One fault of a configuration.

    Attributes:
        place: Where it stands, as `settings.tenants[0].name`; empty for the whole file.
        message: What is wrong with it.
    """

    place: str
    message: str

    def __str__(self) -> str:
        """Returns the place and what is wrong there, in one line."""
        return f"{self.place}: {self.message}" if self.place else self.message


class ValueRule(Protocol):
    """What one value must be."""

    def check(self, value: Any) -> str:
        """Returns what is wrong with the value, or nothing."""


@dataclass(frozen=True, slots=True)
class NumberRule:
    """A finite number within bounds.

    Attributes:
        minimum: The least number allowed, or the bound itself with `exclusive`.
        maximum: The largest number allowed.
        exclusive: Whether the minimum itself is too little.
        integer: Whether it must be whole.
    """

    minimum: float
    maximum: float = math.inf
    exclusive: bool = False
    integer: bool = False

    def check(self, value: Any) -> str:
        """Returns what is wrong with the value, or nothing."""
        if not self._is_number(value):
            return f"{value!r:.60} is no {'whole ' if self.integer else ''}number"
        if value < self.minimum or self.exclusive and value == self.minimum:
            bound = "over" if self.exclusive else "at least"
            return f"{value:g} is not {bound} {self.minimum:g}"
        return f"{value:g} is over {self.maximum:g}" if value > self.maximum else ""

    def _is_number(self, value: Any) -> bool:
        if type(value) not in (int, float) or not math.isfinite(value):
            return False
        return not self.integer or value == int(value)


@dataclass(frozen=True, slots=True)
class TextRule:
    """A text that is not empty.

    Attributes:
        choices: The texts allowed; all are where it is empty.
        hexadecimal: Whether it must consist of hexadecimal digits.
    """

    choices: tuple[str, ...] = ()
    hexadecimal: bool = False

    def check(self, value: Any) -> str:
        """Returns what is wrong with the value, or nothing."""
        if type(value) is not str or not value:
            return f"{value!r:.60} is no text"
        if self.choices and value not in self.choices:
            return f"{value!r:.60} is none of {', '.join(self.choices)}"
        if self.hexadecimal and not HEXADECIMAL_FORM.fullmatch(value):
            return f"{value!r:.60} is not hexadecimal"
        return ""


class AddressRule:
    """A host and a port, as `10.0.0.4:10080`."""

    def check(self, value: Any) -> str:
        """Returns what is wrong with the value, or nothing."""
        found = ADDRESS_FORM.fullmatch(value) if type(value) is str else None
        return "" if found and int(found[1]) <= MAX_PORT else f"{value!r:.60} is no address"


@dataclass(frozen=True, slots=True)
class Field:
    """One place of a configuration.

    Attributes:
        place: Names from the outermost object to the value; `[]` stands for each of a list.
        rule: What the value must be.
        required: Whether it may not be left out.
    """

    place: str
    rule: ValueRule
    required: bool = False


SHARE = NumberRule(0, 1)
POSITIVE_TIME = NumberRule(0, 1e12, exclusive=True)
TIME = NumberRule(0, 1e12)

# What no line names is not read.
FIELDS = (
    Field("executor", AddressRule(), required=True),
    Field("naming", AddressRule(), required=True),
    Field("catalog", AddressRule()),
    Field("seed", TextRule(hexadecimal=True), required=True),
    Field("stop_ms", NumberRule(0, 1e9), required=True),
    Field("limits.sockets", NumberRule(MIN_SOCKETS, 1e7, integer=True)),
    Field("limits.memory_mb", NumberRule(0, 1e9, exclusive=True)),
    Field("settings.categories[].name", TextRule(), required=True),
    Field("settings.categories[].aim", POSITIVE_TIME, required=True),
    Field("settings.categories[].deadline", POSITIVE_TIME, required=True),
    Field("settings.categories[].worth", NumberRule(0, 1e12), required=True),
    Field("settings.categories[].idempotency", TextRule(tuple(IDEMPOTENCY_KINDS)), required=True),
    Field("settings.categories[].window", TIME),
    Field("settings.categories[].late_share", SHARE),
    Field("settings.categories[].aim_stretch", NumberRule(0, 1e6)),
    Field("settings.extra.n_cores", NumberRule(1, 1e6), required=True),
    Field("settings.extra.memory_kb", NumberRule(0, 1e15, exclusive=True), required=True),
    Field("settings.extra.blowup", NumberRule(0, 1e9, exclusive=True), required=True),
    Field("settings.extra.key_kb", NumberRule(0, 1e15)),
    Field("settings.extra.calls_out", NumberRule(0, 1e9)),
    Field("settings.extra.calls_over", TIME),
    Field("settings.extra.lingers", TIME),
    Field("settings.extra.fresh_for", TIME),
    Field("settings.extra.idle", TIME),
    Field("settings.extra.say", TextRule(tuple(LOAD_REPORT_KINDS))),
    Field("settings.extra.depends_on", TextRule()),
    Field("settings.extra.meters[]", TextRule()),
    Field("settings.extra.class_skip_worth[]", SHARE),
    Field("settings.rules.tip_multiple", NumberRule(0, 1e9, exclusive=True), required=True),
    Field("settings.rules.cold_from", SHARE, required=True),
    Field("settings.rules.warm_up", TIME, required=True),
    Field("settings.rules.drain_grace", TIME, required=True),
    Field("settings.limits.max_retry_after", TIME),
    Field("settings.tenants[].name", TextRule(), required=True),
    Field("settings.tenants[].portion", NumberRule(0, 1e9)),
)
# What the environment may give in the file's place.
OWN_FIELDS = (
    Field("name", TextRule(), required=True),
    Field("listen", AddressRule(), required=True),
)


@dataclass(frozen=True, slots=True)
class WrongContainer:
    """Stands for a value that can't be reached: what should hold it is something else."""

    message: str


def values_at(value: Any, names: list[str], place: str = "") -> Iterator[tuple[str, Any]]:
    """Yields each value of a place, with where exactly it stands.

    An object or a list that is left out yields None at its own place.

    Args:
        value: The object to begin at.
        names: The names on the way, outermost first; one that ends in `[]` is a list.
        place: Where `value` itself stands.
    """
    if not names:
        yield place, value
        return
    name, is_list = names[0].removesuffix("[]"), names[0].endswith("[]")
    if not isinstance(value, Mapping):
        yield place, WrongContainer("is no object")
        return
    here = f"{place}.{name}" if place else name
    inner = value.get(name)
    if inner is None:
        yield here, None
    elif not is_list:
        yield from values_at(inner, names[1:], here)
    elif not isinstance(inner, list):
        yield here, WrongContainer("is no list")
    else:
        for index, element in enumerate(inner):
            yield from values_at(element, names[1:], f"{here}[{index}]")


def find_faults(
    configuration: Any, given_elsewhere: frozenset[str] = frozenset()
) -> list[ConfigurationFault]:
    """Returns all faults of a configuration, in the order of its fields.

    Args:
        configuration: What the JSON file holds.
        given_elsewhere: Names of `OWN_FIELDS` that the environment gives.
    """
    if not isinstance(configuration, Mapping):
        return [ConfigurationFault("", "is no object")]
    messages: dict[str, str] = {}
    own = tuple(field for field in OWN_FIELDS if field.place not in given_elsewhere)
    for field in own + FIELDS:
        for place, value in values_at(configuration, field.place.split(".")):
            if message := field_fault(field, place, value, messages):
                messages.setdefault(place, message)
    if not messages:
        messages.update(contradictions(configuration))
    return [ConfigurationFault(place, message) for place, message in messages.items()]


def field_fault(field: Field, place: str, value: Any, known: Mapping[str, str]) -> str:
    """Returns what is wrong with one value of a field, or nothing.

    Args:
        field: The field that it belongs to.
        place: Where exactly it stands.
        value: The value, None where it is left out.
        known: Faults found so far, by place: one stands for all that is inside of it.
    """
    if isinstance(value, WrongContainer):
        return value.message
    if value is not None:
        return field.rule.check(value)
    if not field.required or place in OPTIONAL_LISTS:
        return ""
    is_inside = any(place.startswith((f"{outer}.", f"{outer}[")) for outer in known)
    return "" if is_inside else "is missing"


def contradictions(configuration: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    """Yields place and message of what each value may be by itself, but not beside the others."""
    settings = configuration["settings"]
    names = [request_class["name"] for request_class in settings["categories"]]
    if not names:
        yield "settings.categories", "is empty"
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield "settings.categories", f"{name!r} stands there more than once"
    extra = settings["extra"]
    depends_on = extra.get("depends_on") or "off"
    if depends_on != "off" and not configuration.get("catalog"):
        yield (
            "catalog",
            f"is missing, though calls go below (settings.extra.depends_on is {depends_on!r})",
        )
    shares_calls = depends_on == "one_for_all" and any(extra.get("class_calls") or ())
    if shares_calls and not extra.get("calls_out"):
        yield "settings.extra.calls_out", "is 0, though classes call what all servers share"
