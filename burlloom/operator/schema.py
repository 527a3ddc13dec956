"""The schema of the operator's file, part by part."""

from pathlib import Path
from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from .distribution import DistributionPart
from .fleet import FleetPart
from .levels import LevelsPart
from .part import Part
from .recovery import RecoveryPart
from .rollout import RolloutPart

Share = Annotated[float, Field(gt=0, le=1)]
Address = Annotated[str, Field(pattern=r"^[^\s:]+:[0-9]{1,5}$")]
NodeName = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class Sqlite(Part):
    """One SQLite file on a disk that lasts; `max_mb` bounds it, 0 leaves that to the disk."""

    path: str
    key_file: str | None = None
    max_mb: int = Field(default=0, ge=0, le=1 << 20)
    batch_most: int = Field(default=256, ge=1, le=4096)

    def place(self) -> Path:
        """Return the file's path."""
        return Path(self.path)

    def key_place(self) -> Path:
        """Return the key file's path."""
        return Path(self.key_file or self.path + ".key")

    @model_validator(mode="after")
    def validate_folders(self) -> Self:
        """Refuse files whose folder does not exist."""
        for what, place in (("path", self.place()), ("key_file", self.key_place())):
            if not place.parent.is_dir():
                raise ValueError(f"{what}: the folder {place.parent} does not exist")
        return self


class Postgres(Part):
    """One PostgreSQL database for several nodes; the password stands in a file of its own."""

    address: Address
    database: str = Field(default="burlloom", min_length=1, max_length=63)
    user: str = Field(default="burlloom", min_length=1, max_length=63)
    password_file: str | None = None
    key_file: str
    connect_ms: int = Field(default=2000, ge=10, le=60_000)
    hang_ms: int = Field(default=5000, ge=10, le=600_000)
    batch_most: int = Field(default=128, ge=1, le=4096)

    def key_place(self) -> Path:
        """Return the key file's path."""
        return Path(self.key_file)

    @model_validator(mode="after")
    def validate_files(self) -> Self:
        """Refuse key or password files that do not exist."""
        if self.password_file is not None and not Path(self.password_file).is_file():
            raise ValueError(f"password_file: {self.password_file} does not exist")
        if not Path(self.key_file).is_file():
            raise ValueError(
                f"key_file: {self.key_file} does not exist; all nodes share one, made once by"
                " `burlloom record key`"
            )
        return self


class Place(Part):
    """A store of record: its file, or its database."""

    sqlite: Sqlite | None = None
    postgres: Postgres | None = None

    @model_validator(mode="after")
    def validate_one_store(self) -> Self:
        """Refuse none and both of the stores."""
        if (self.sqlite is None) == (self.postgres is None):
            raise ValueError("one store is wanted: either sqlite or postgres")
        return self


class Record(Place):
    """The store of record.

    `mode`: where the store is slow or gone, "require" declines charges before they run, "prefer"
    runs them on memory's marks alone. `claim_share` of the SLA time may pass before a run begins,
    `hold_share` of it before an answer leaves without its result being durable.
    """

    node: NodeName | None = None
    mode: Literal["require", "prefer"] = "require"
    claim_share: Share = 0.25
    hold_share: Share = 0.1
    open_most: int = Field(default=256, ge=1, le=65_536)
    doubt_wait_ms: int = Field(default=8000, ge=0, le=3_600_000)

    @model_validator(mode="after")
    def validate_time_shares(self) -> Self:
        """Refuse shares that leave no time for the run."""
        if self.claim_share + self.hold_share > 1:
            raise ValueError(
                f"claim_share and hold_share together are {self.claim_share + self.hold_share:g}"
                " of the SLA time: nothing is left for the run"
            )
        return self


class Metrics(Part):
    """Counters and histograms in the Prometheus text format: a file, or a listener."""

    file: str | None = None
    every_ms: int = Field(default=5000, ge=100, le=3_600_000)
    listen: Address | None = None

    @model_validator(mode="after")
    def validate_reader(self) -> Self:
        """Refuse metrics that nobody reads."""
        if self.file is None and self.listen is None:
            raise ValueError("nobody reads them: name a file, or an address to listen on")
        if self.file is not None and not Path(self.file).parent.is_dir():
            raise ValueError(f"file: the folder {Path(self.file).parent} does not exist")
        return self


class Rollout(RolloutPart):
    """Releases and drains.

    `store` is where the fleet agrees, the same for all; without it, where the record is.
    """

    store: Place | None = None


class Distribution(DistributionPart):
    """The distribution of configuration.

    `store` is where control machines keep the changes, the same for all; without it, where the
    record is.
    """

    store: Place | None = None


class Operator(Part):
    """The whole file; a part that is left out is off."""

    record: Record | None = None
    metrics: Metrics | None = None
    levels: LevelsPart | None = None
    fleet: FleetPart | None = None
    recovery: RecoveryPart | None = None
    rollout: Rollout | None = None
    distribution: Distribution | None = None

    def distribution_store(self) -> Place | None:
        """Return the store of changes; None at servers and relays, which follow others alone."""
        store = self.distribution.store if self.distribution is not None else None
        return store if store is not None else self.record

    def rollout_store(self) -> Place:
        """Return the store of a checked file."""
        place = (
            self.rollout.store
            if self.rollout is not None and self.rollout.store is not None
            else self.record
        )
        assert place is not None
        return place

    @model_validator(mode="after")
    def validate_rollout(self) -> Self:
        """Refuse a rollout without a store, or with services that are not called."""
        if self.rollout is None:
            return self
        if self.rollout.store is None and self.record is None:
            raise ValueError(
                "rollout.store: is missing, and there is no record: name the store that all share"
            )
        called = set(self.fleet.services) if self.fleet is not None else set()
        for name, service in self.rollout.below.items():
            if strange := [address for address in service.addresses if address not in called]:
                raise ValueError(
                    f"rollout.below.{name}: {', '.join(strange)} not in fleet.services: this"
                    " server does not call it, and could not leave it out"
                )
        return self

    @model_validator(mode="after")
    def validate_metrics(self) -> Self:
        """Refuse metrics where nothing would be exposed."""
        if (
            self.metrics is not None
            and self.record is None
            and self.levels is None
            and self.fleet is None
            and self.rollout is None
            and self.distribution is None
        ):
            raise ValueError(
                "metrics: there is nothing to expose without a record, levels, a fleet, a"
                " rollout or a distribution"
            )
        return self
