"""Schema of the server's configuration file; finds all faults of a file, each with its place."""

import math
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from ..settings import IDEMPOTENCY_KINDS, LOAD_REPORT_KINDS

ADDRESS_PATTERN = re.compile(r"[^\s:]+:([0-9]{1,5})")
HEXADECIMAL_PATTERN = re.compile("[0-9a-fA-F]+")
MAX_PORT = 65535
# Smallest limit on file descriptors. The process itself holds 15, its connection to the executor
# included.
MIN_SOCKETS = 24
# Lists that may be left out although their elements have required fields.
OPTIONAL_LISTS = ("settings.tenants",)


@dataclass(frozen=True, slots=True)
class ConfigurationFault:
    """One fault of a configuration file.

    Attributes:
        place: Path of the faulty value, such as `settings.tenants[0].name`; empty for the whole
            file.
        message: What is wrong with the value.
    """

    place: str
    message: str

    def __str__(self) -> str:
        """Returns place and message in one line."""
        return f"{self.place}: {self.message}" if self.place else self.message


class ValueRule(Protocol):
    """A condition on one value."""

    def check(self, value: Any) -> str:
        """Returns what is wrong with the value; empty if it is valid."""


@dataclass(frozen=True, slots=True)
class NumberRule:
    """Requires a finite number within bounds.

    Attributes:
        minimum: The lower bound.
        maximum: The largest number allowed.
        exclusive: Whether the number must be greater than `minimum`, not equal to it.
        integer: Whether the number must be whole.
    """

    minimum: float
    maximum: float = math.inf
    exclusive: bool = False
    integer: bool = False

    def check(self, value: Any) -> str:
        """Returns what is wrong with the value; empty if it is valid."""
        if not self._is_number(value):
            return f"{value!r:.60} is not a {'whole ' if self.integer else ''}number"
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
    """Requires a string that is not empty.

    Attributes:
        choices: The strings allowed; empty allows any.
        hexadecimal: Whether the string must consist of hexadecimal digits.
    """

    choices: tuple[str, ...] = ()
    hexadecimal: bool = False

    def check(self, value: Any) -> str:
        """Returns what is wrong with the value; empty if it is valid."""
        if type(value) is not str or not value:
            return f"{value!r:.60} is not a non-empty string"
        if self.choices and value not in self.choices:
            return f"{value!r:.60} is not one of {', '.join(self.choices)}"
        if self.hexadecimal and not HEXADECIMAL_PATTERN.fullmatch(value):
            return f"{value!r:.60} is not hexadecimal"
        return ""


class AddressRule:
    """Requires a host and a port, such as `10.0.0.4:10080`."""

    def check(self, value: Any) -> str:
        """Returns what is wrong with the value; empty if it is valid."""
        match = ADDRESS_PATTERN.fullmatch(value) if type(value) is str else None
        return "" if match and int(match[1]) <= MAX_PORT else f"{value!r:.60} is not a host:port"


@dataclass(frozen=True, slots=True)
class Field:
    """One field of the configuration file.

    Attributes:
        place: Path from the outermost object to the field; `[]` marks each element of a list.
        rule: The condition on the field's value.
        required: Whether the field must be present.
    """

    place: str
    rule: ValueRule
    required: bool = False


SHARE_RULE = NumberRule(0, 1)
# Times in the settings, in microseconds.
POSITIVE_TIME_RULE = NumberRule(0, 1e12, exclusive=True)
TIME_RULE = NumberRule(0, 1e12)

# Fields that are read from the file alone; the server ignores fields that are not listed.
FIELDS = (
    Field("executor", AddressRule(), required=True),
    Field("naming", AddressRule(), required=True),
    Field("catalog", AddressRule()),
    Field("seed", TextRule(hexadecimal=True), required=True),
    Field("stop_ms", NumberRule(0, 1e9), required=True),
    Field("limits.sockets", NumberRule(MIN_SOCKETS, 1e7, integer=True)),
    Field("limits.memory_mb", NumberRule(0, 1e9, exclusive=True)),
    Field("settings.categories[].name", TextRule(), required=True),
    Field("settings.categories[].aim", POSITIVE_TIME_RULE, required=True),
    Field("settings.categories[].deadline", POSITIVE_TIME_RULE, required=True),
    Field("settings.categories[].worth", NumberRule(0, 1e12), required=True),
    Field("settings.categories[].idempotency", TextRule(tuple(IDEMPOTENCY_KINDS)), required=True),
    Field("settings.categories[].window", TIME_RULE),
    Field("settings.categories[].late_share", SHARE_RULE),
    Field("settings.categories[].aim_stretch", NumberRule(0, 1e6)),
    Field("settings.extra.n_cores", NumberRule(1, 1e6), required=True),
    Field("settings.extra.memory_kb", NumberRule(0, 1e15, exclusive=True), required=True),
    Field("settings.extra.blowup", NumberRule(0, 1e9, exclusive=True), required=True),
    Field("settings.extra.key_kb", NumberRule(0, 1e15)),
    Field("settings.extra.calls_out", NumberRule(0, 1e9)),
    Field("settings.extra.calls_over", TIME_RULE),
    Field("settings.extra.lingers", TIME_RULE),
    Field("settings.extra.fresh_for", TIME_RULE),
    Field("settings.extra.idle", TIME_RULE),
    Field("settings.extra.say", TextRule(tuple(LOAD_REPORT_KINDS))),
    Field("settings.extra.depends_on", TextRule()),
    Field("settings.extra.meters[]", TextRule()),
    Field("settings.extra.class_skip_worth[]", SHARE_RULE),
    Field("settings.rules.tip_multiple", NumberRule(0, 1e9, exclusive=True), required=True),
    Field("settings.rules.cold_from", SHARE_RULE, required=True),
    Field("settings.rules.warm_up", TIME_RULE, required=True),
    Field("settings.rules.drain_grace", TIME_RULE, required=True),
    Field("settings.limits.max_retry_after", TIME_RULE),
    Field("settings.tenants[].name", TextRule(), required=True),
    Field("settings.tenants[].portion", NumberRule(0, 1e9)),
)
# Fields that an environment variable may override.
OVERRIDABLE_FIELDS = (
    Field("name", TextRule(), required=True),
    Field("listen", AddressRule(), required=True),
)


@dataclass(frozen=True, slots=True)
class WrongContainer:
    """Placeholder for a value inside of a container of the wrong type.

    Attributes:
        message: What is wrong with the container.
    """

    message: str


def find_values(value: Any, names: list[str], place: str = "") -> Iterator[tuple[str, Any]]:
    """Yields each value that a path matches, after the exact path of that value.

    An object or a list that is missing yields None at its own path.

    Args:
        value: The object to start from.
        names: The components of the path, outermost first; one that ends in `[]` names a list.
        place: The path of `value` itself.
    """
    if not names:
        yield place, value
        return
    name, is_list = names[0].removesuffix("[]"), names[0].endswith("[]")
    if not isinstance(value, Mapping):
        yield place, WrongContainer("is not an object")
        return
    inner_place = f"{place}.{name}" if place else name
    inner = value.get(name)
    if inner is None:
        yield inner_place, None
    elif not is_list:
        yield from find_values(inner, names[1:], inner_place)
    elif not isinstance(inner, list):
        yield inner_place, WrongContainer("is not a list")
    else:
        for index, element in enumerate(inner):
            yield from find_values(element, names[1:], f"{inner_place}[{index}]")


def find_faults(
    configuration: Any, overridden: frozenset[str] = frozenset()
) -> list[ConfigurationFault]:
    """Returns all faults of a configuration, in the order of `FIELDS`.

    Args:
        configuration: The decoded JSON file.
        overridden: Names of the `OVERRIDABLE_FIELDS` that the environment overrides.
    """
    if not isinstance(configuration, Mapping):
        return [ConfigurationFault("", "is not an object")]
    messages: dict[str, str] = {}
    identity_fields = tuple(field for field in OVERRIDABLE_FIELDS if field.place not in overridden)
    for field in identity_fields + FIELDS:
        for place, value in find_values(configuration, field.place.split(".")):
            if message := find_field_fault(field, place, value, messages):
                messages.setdefault(place, message)
    if not messages:
        messages.update(find_contradictions(configuration))
    return [ConfigurationFault(place, message) for place, message in messages.items()]


def find_field_fault(field: Field, place: str, value: Any, known: Mapping[str, str]) -> str:
    """Returns what is wrong with one value of a field; empty if it is valid.

    Args:
        field: The field that the value belongs to.
        place: The exact path of the value.
        value: The value; None if it is missing.
        known: Messages of the faults found before, by place. A missing value inside of a faulty
            container is not reported again.
    """
    if isinstance(value, WrongContainer):
        return value.message
    if value is not None:
        return field.rule.check(value)
    if not field.required or place in OPTIONAL_LISTS:
        return ""
    is_inside = any(place.startswith((f"{outer}.", f"{outer}[")) for outer in known)
    return "" if is_inside else "is missing"


def find_contradictions(configuration: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    """Yields place and message of each conflict between fields that are valid by themselves."""
    settings = configuration["settings"]
    names = [request_class["name"] for request_class in settings["categories"]]
    if not names:
        yield "settings.categories", "is empty"
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield "settings.categories", f"{name!r} is listed more than once"
    extra = settings["extra"]
    depends_on = extra.get("depends_on") or "off"
    if depends_on != "off" and not configuration.get("catalog"):
        yield (
            "catalog",
            f"is missing, but runs make calls (settings.extra.depends_on is {depends_on!r})",
        )
    shares_calls = depends_on == "one_for_all" and any(extra.get("class_calls") or ())
    if shares_calls and not extra.get("calls_out"):
        yield (
            "settings.extra.calls_out",
            "is 0, but request classes call a downstream that all servers share",
        )
