"""The part of the operator's file on service levels."""

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
from ..time_units import NS_PER_MS
from .part import Part

Share = Annotated[float, Field(ge=0, le=1)]
DurationMs = Annotated[int, Field(ge=0, le=3_600_000)]


class SignalBoundPart(Part):
    """Bounds on a signal.

    Attributes:
        enter: The level is entered when the signal is at or above this value. By default no signal
            reaches it, and the bound only limits when the level may be left.
        leave: The level may be left when the signal is at or below this value.
    """

    enter: Annotated[float, Field(gt=0)] = 1e9
    leave: Annotated[float, Field(ge=0)]


class LevelDefinitionPart(Part):
    """One service level.

    Attributes:
        name: The level's name.
        when: Bounds by signal. A level without bounds is entered only by an emergency or a pin.
        gives_up: How many of the request classes' distinct values are rejected, lowest first;
            "all-but-highest" or "all".
        products: Names of further request classes that are rejected.
        kept: Names of request classes that are answered only from cached results.
        skips: Names of request classes that are answered without downstream calls.
        repeats: Whether marked retries and copies of idempotent requests are rejected.
        over_share: Whether requests over their tenant's share are rejected.
        hold: Share of the admission queue that may be used, from 0 to 1.
        optional: Whether the node's own optional work continues.
    """

    name: str = Field(min_length=1, max_length=32)
    when: dict[str, SignalBoundPart] = {}
    gives_up: Annotated[int, Field(ge=0, le=64)] | Literal["all-but-highest", "all"] = 0
    products: list[str] = []
    kept: list[str] = []
    skips: list[str] = []
    repeats: bool = False
    over_share: bool = False
    hold: float = 1.0
    optional: bool = True

    def build_definition(self) -> LevelDefinition:
        """Returns the level that this part describes."""
        dropped_values = {"all": DROP_ALL_VALUES, "all-but-highest": DROP_ALL_VALUES - 1}.get(
            str(self.gives_up), self.gives_up
        )
        assert isinstance(dropped_values, int)
        return LevelDefinition(
            self.name,
            {name: SignalBounds(bound.enter, bound.leave) for name, bound in self.when.items()},
            dropped_values,
            tuple(self.products),
            tuple(self.kept),
            tuple(self.skips),
            self.repeats,
            self.over_share,
            self.hold,
            self.optional,
        )


class EmergencyPart(Part):
    """A bound on a signal that enters a level at once.

    Attributes:
        enter: The level is entered when the signal is at or above this value.
        level: Name of the level.
    """

    enter: Annotated[float, Field(gt=0)]
    level: str


class LevelsPart(Part):
    """Levels of reduced service. Times are in ms.

    Attributes:
        levels: The levels, least restrictive first; by default the shipped ones, which work without
            tuning.
        emergencies: By signal, the level that is entered at once; by default the shipped ones if
            `levels` is absent, else none.
        cold: Name of the level at which a cold node starts; by default the shipped one if `levels`
            is absent, else the first level.
        dwell_ms: Minimum time between the last transition and a step down.
        stay_ms: Minimum time at a level before a trial of the level above; it doubles with each
            relapse or failed trial.
        stay_most_ms: Upper bound of the doubled stay.
        relapse_ms: Time after a step up within which a step down counts as a relapse.
        trial_ms: Minimum time between two steps of a trial.
        changes_a_minute: Cap on the changes of level in any minute; by default the number of
            automatic levels, at least 4.
        kept_ms: By product, the highest age of a cached result with which a level may answer.
        pin_file: Path of the pin, which is read each second; `burlloom levels` writes it.
        state_file: Path of the node's state, which is written at each change and each 5 s;
            `burlloom levels` reads it.
    """

    levels: list[LevelDefinitionPart] | None = None
    emergencies: dict[str, EmergencyPart] | None = None
    cold: str | None = None
    dwell_ms: DurationMs = 1000
    stay_ms: DurationMs = 5000
    stay_most_ms: DurationMs = 160_000
    relapse_ms: DurationMs = 20_000
    trial_ms: DurationMs = 2000
    changes_a_minute: Annotated[int, Field(ge=1, le=60)] | None = None
    kept_ms: dict[str, Annotated[int, Field(gt=0, le=86_400_000)]] = {}
    pin_file: str | None = None
    state_file: str | None = None

    @model_validator(mode="after")
    def validate_folders(self) -> Self:
        """Rejects a pin file or state file whose folder does not exist."""
        for key, path in (("pin_file", self.pin_file), ("state_file", self.state_file)):
            if path is not None and not Path(path).parent.is_dir():
                raise ValueError(f"{key}: the folder {Path(path).parent} does not exist")
        return self

    def build_plan(self) -> LevelPlan:
        """Returns the plan of the levels: the file's, or the default one."""
        if self.levels is None:
            levels, emergencies, cold = (
                DEFAULT_PLAN.levels,
                DEFAULT_PLAN.emergencies,
                DEFAULT_PLAN.cold_start_level,
            )
        else:
            levels, emergencies, cold = (
                tuple(level.build_definition() for level in self.levels),
                {},
                "",
            )
        if self.emergencies is not None:
            emergencies = {
                signal: (emergency.enter, emergency.level)
                for signal, emergency in self.emergencies.items()
            }
        return LevelPlan(levels, emergencies, self.cold if self.cold is not None else cold)

    def hysteresis_policy(self) -> HysteresisPolicy:
        """Returns the parameters of the state machine.

        Raises:
            ValueError: `changes_a_minute` is too low; `find_faults` reports that at the load.
        """
        level_count = self.build_plan().automatic_level_count
        max_changes = (
            self.changes_a_minute if self.changes_a_minute is not None else max(4, level_count)
        )
        return HysteresisPolicy(
            level_count,
            self.dwell_ms * NS_PER_MS,
            self.stay_ms * NS_PER_MS,
            self.stay_most_ms * NS_PER_MS,
            self.relapse_ms * NS_PER_MS,
            self.trial_ms * NS_PER_MS,
            max_changes,
        )

    def find_faults(self) -> list[str]:
        """Returns the faults that the operator's file alone shows, each with the path of the key.

        `burlloom check` and the start of a server check the names of request classes against the
        platform's configuration.
        """
        faults = find_plan_faults(self.build_plan(), (), SIGNAL_NAMES)
        if not faults:
            try:
                self.hysteresis_policy()
            except ValueError as error:
                faults.append(f"changes_a_minute: {error}")
        if self.stay_most_ms < self.stay_ms:
            faults.append(
                f"stay_most_ms: {self.stay_most_ms} must be at least stay_ms ({self.stay_ms})"
            )
        return faults
