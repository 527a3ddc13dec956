"""The operator's part on service levels."""

from pathlib import Path
from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from ..levels import (
    DEFAULT_PLAN,
    SIGNAL_NAMES,
    HysteresisPolicy,
    LevelDefinition,
    LevelPlan,
    SignalBounds,
)
from ..levels.plan import DROP_ALL_VALUES, find_plan_faults
from .part import Part

MS = 1_000_000
Share = Annotated[float, Field(ge=0, le=1)]
Span = Annotated[int, Field(ge=0, le=3_600_000)]


class Bound(Part):
    """A signal's entry and exit; `enter` left out: it only says when the level may be left."""

    enter: Annotated[float, Field(gt=0)] = 1e9
    leave: Annotated[float, Field(ge=0)]


class OneLevel(Part):
    """One service level.

    `gives_up` is how many of the lowest values of request classes are rejected, "all-but-highest"
    or "all".
    """

    name: str = Field(min_length=1, max_length=32)
    when: dict[str, Bound] = {}
    gives_up: Annotated[int, Field(ge=0, le=64)] | Literal["all-but-highest", "all"] = 0
    products: list[str] = []
    kept: list[str] = []
    skips: list[str] = []
    repeats: bool = False
    over_share: bool = False
    hold: float = 1.0
    optional: bool = True

    def level(self) -> LevelDefinition:
        """Return the level that this part describes."""
        gone = {"all": DROP_ALL_VALUES, "all-but-highest": DROP_ALL_VALUES - 1}.get(
            str(self.gives_up), self.gives_up
        )
        assert isinstance(gone, int)
        return LevelDefinition(
            self.name,
            {name: SignalBounds(bound.enter, bound.leave) for name, bound in self.when.items()},
            gone,
            tuple(self.products),
            tuple(self.kept),
            tuple(self.skips),
            self.repeats,
            self.over_share,
            self.hold,
            self.optional,
        )


class Emergency(Part):
    """A signal's value from which a level is entered at once."""

    enter: Annotated[float, Field(gt=0)]
    level: str


class LevelsPart(Part):
    """Levels of reduced service. `levels` left out: the shipped ones, which work without tuning.

    `kept_ms`: by product, for how long a kept result may stand in where a level says so. `pin_file`
    is read each second, `state_file` written at each step and each 5 s; `burlloom levels` reads and
    writes them.
    """

    levels: list[OneLevel] | None = None
    emergencies: dict[str, Emergency] | None = None
    cold: str | None = None
    dwell_ms: Span = 1000
    stay_ms: Span = 5000
    stay_most_ms: Span = 160_000
    relapse_ms: Span = 20_000
    trial_ms: Span = 2000
    changes_a_minute: Annotated[int, Field(ge=1, le=60)] | None = None
    kept_ms: dict[str, Annotated[int, Field(gt=0, le=86_400_000)]] = {}
    pin_file: str | None = None
    state_file: str | None = None

    @model_validator(mode="after")
    def validate_folders(self) -> Self:
        """Refuse files whose folder does not exist."""
        for what, place in (("pin_file", self.pin_file), ("state_file", self.state_file)):
            if place is not None and not Path(place).parent.is_dir():
                raise ValueError(f"{what}: the folder {Path(place).parent} does not exist")
        return self

    def plan(self) -> LevelPlan:
        """Return the plan of levels: the file's, or the default one."""
        if self.levels is None:
            levels, emergencies, cold = (
                DEFAULT_PLAN.levels,
                DEFAULT_PLAN.emergencies,
                DEFAULT_PLAN.cold_start_level,
            )
        else:
            levels, emergencies, cold = tuple(one.level() for one in self.levels), {}, ""
        if self.emergencies is not None:
            emergencies = {
                signal: (emergency.enter, emergency.level)
                for signal, emergency in self.emergencies.items()
            }
        return LevelPlan(levels, emergencies, self.cold if self.cold is not None else cold)

    def hysteresis_policy(self) -> HysteresisPolicy:
        """Raises `ValueError`, which `faults` has told by then."""
        automatic = self.plan().automatic_level_count
        most = self.changes_a_minute if self.changes_a_minute is not None else max(4, automatic)
        return HysteresisPolicy(
            automatic,
            self.dwell_ms * MS,
            self.stay_ms * MS,
            self.stay_most_ms * MS,
            self.relapse_ms * MS,
            self.trial_ms * MS,
            most,
        )

    def faults(self) -> list[str]:
        """Return what the file alone can tell.

        Classes are checked against the platform's configuration by `burlloom check` and at a start.
        """
        found = find_plan_faults(self.plan(), (), SIGNAL_NAMES)
        if not found:
            try:
                self.hysteresis_policy()
            except ValueError as error:
                found.append(f"changes_a_minute: {error}")
        if self.stay_most_ms < self.stay_ms:
            found.append(f"stay_most_ms: {self.stay_most_ms} is under stay_ms, {self.stay_ms}")
        return found
