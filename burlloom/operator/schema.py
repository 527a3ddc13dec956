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
    """A store of record in one SQLite file.

    Attributes:
        path: Path of the file, which must be on a persistent disk.
        key_file: Path of the key that authenticates rows; by default `path` with ".key" added.
        max_mb: Highest size of the file, MiB; 0 for no limit but the disk's.
        batch_most: Writes in one transaction.
    """

    path: str
    key_file: str | None = None
    max_mb: int = Field(default=0, ge=0, le=1 << 20)
    batch_most: int = Field(default=256, ge=1, le=4096)

    def file_path(self) -> Path:
        """Returns the file's path."""
        return Path(self.path)

    def key_file_path(self) -> Path:
        """Returns the key file's path."""
        return Path(self.key_file or self.path + ".key")

    @model_validator(mode="after")
    def validate_folders(self) -> Self:
        """Rejects a database or key file whose folder does not exist."""
        for key, path in (("path", self.file_path()), ("key_file", self.key_file_path())):
            if not path.parent.is_dir():
                raise ValueError(f"{key}: the folder {path.parent} does not exist")
        return self


class Postgres(Part):
    """A store of record in one PostgreSQL database that several nodes share.

    Attributes:
        address: Host and port of the database server.
        database: Name of the database.
        user: Name of the database user.
        password_file: Path of the password; by default there is none.
        key_file: Path of the key that authenticates rows; all nodes share it.
        connect_ms: Timeout of a connection attempt, ms.
        hang_ms: Timeout of a statement, ms.
        batch_most: Writes in one transaction.
    """

    address: Address
    database: str = Field(default="burlloom", min_length=1, max_length=63)
    user: str = Field(default="burlloom", min_length=1, max_length=63)
    password_file: str | None = None
    key_file: str
    connect_ms: int = Field(default=2000, ge=10, le=60_000)
    hang_ms: int = Field(default=5000, ge=10, le=600_000)
    batch_most: int = Field(default=128, ge=1, le=4096)

    def key_file_path(self) -> Path:
        """Returns the key file's path."""
        return Path(self.key_file)

    @model_validator(mode="after")
    def validate_files(self) -> Self:
        """Rejects key or password files that do not exist."""
        if self.password_file is not None and not Path(self.password_file).is_file():
            raise ValueError(f"password_file: {self.password_file} does not exist")
        if not Path(self.key_file).is_file():
            raise ValueError(
                f"key_file: {self.key_file} does not exist; `burlloom record key` makes the key,"
                " which all nodes share"
            )
        return self


class StorePart(Part):
    """A store: either a file or a database.

    Attributes:
        sqlite: The SQLite file.
        postgres: The PostgreSQL database.
    """

    sqlite: Sqlite | None = None
    postgres: Postgres | None = None

    @model_validator(mode="after")
    def validate_one_store(self) -> Self:
        """Rejects a part with no store or with both."""
        if (self.sqlite is None) == (self.postgres is None):
            raise ValueError("exactly one store is required: either sqlite or postgres")
        return self


class Record(StorePart):
    """The store of record.

    Attributes:
        node: This node's name in the store; by default the server's name.
        mode: What happens while the store is slow or unavailable: "require" rejects requests with a
            key before they run, "prefer" runs them with idempotency keys in memory only.
        claim_share: Share of the latency objective that a claim may take before the run begins.
        hold_share: Share of the latency objective that an answer may wait for its result to become
            durable; it is then sent without that.
        open_most: Unanswered writes to the store at once.
        doubt_wait_ms: How long after a restart the executor may still report the ends of runs
            before their requests count as in doubt, ms.
    """

    node: NodeName | None = None
    mode: Literal["require", "prefer"] = "require"
    claim_share: Share = 0.25
    hold_share: Share = 0.1
    open_most: int = Field(default=256, ge=1, le=65_536)
    doubt_wait_ms: int = Field(default=8000, ge=0, le=3_600_000)

    @model_validator(mode="after")
    def validate_time_shares(self) -> Self:
        """Rejects shares whose sum exceeds the latency objective."""
        if self.claim_share + self.hold_share > 1:
            raise ValueError(
                f"claim_share plus hold_share is {self.claim_share + self.hold_share:g} of the"
                " latency objective and must be at most 1: nothing is left for the run"
            )
        return self


class Metrics(Part):
    """Metrics in the Prometheus text format.

    Attributes:
        file: Path of the file to which the metrics are written.
        every_ms: Time between two writes of the file, ms.
        listen: Host and port at which the metrics are served over HTTP.
    """

    file: str | None = None
    every_ms: int = Field(default=5000, ge=100, le=3_600_000)
    listen: Address | None = None

    @model_validator(mode="after")
    def validate_reader(self) -> Self:
        """Rejects metrics that are neither written nor served, and a missing folder of `file`."""
        if self.file is None and self.listen is None:
            raise ValueError("at least one of file and listen is required")
        if self.file is not None and not Path(self.file).parent.is_dir():
            raise ValueError(f"file: the folder {Path(self.file).parent} does not exist")
        return self


class Rollout(RolloutPart):
    """Releases and drains, with their store.

    Attributes:
        store: The store through which the fleet coordinates, the same for all servers; by default
            the store of record.
    """

    store: StorePart | None = None


class Distribution(DistributionPart):
    """The distribution of configuration, with its store.

    Attributes:
        store: The store of the changes, the same for all control machines; by default the store of
            record.
    """

    store: StorePart | None = None


class Operator(Part):
    """The whole operator's file; a part that is left out is off."""

    record: Record | None = None
    metrics: Metrics | None = None
    levels: LevelsPart | None = None
    fleet: FleetPart | None = None
    recovery: RecoveryPart | None = None
    rollout: Rollout | None = None
    distribution: Distribution | None = None

    def distribution_store(self) -> StorePart | None:
        """Returns the store of changes; None for servers and relays, which only follow others."""
        store = self.distribution.store if self.distribution is not None else None
        return store if store is not None else self.record

    def rollout_store(self) -> StorePart:
        """Returns the store of the rollouts; the file must be valid and have a rollout part."""
        store = (
            self.rollout.store
            if self.rollout is not None and self.rollout.store is not None
            else self.record
        )
        assert store is not None
        return store

    @model_validator(mode="after")
    def validate_rollout(self) -> Self:
        """Rejects a rollout without a store, or with services that this server does not call."""
        if self.rollout is None:
            return self
        if self.rollout.store is None and self.record is None:
            raise ValueError(
                "rollout.store: is missing, and there is no record: set the store that all servers"
                " share"
            )
        called_addresses = set(self.fleet.services) if self.fleet is not None else set()
        for name, service in self.rollout.below.items():
            if unknown_addresses := [
                address for address in service.addresses if address not in called_addresses
            ]:
                raise ValueError(
                    f"rollout.below.{name}: {', '.join(unknown_addresses)} not in fleet.services:"
                    " this server does not call these addresses, so it could not drain them"
                )
        return self

    @model_validator(mode="after")
    def validate_metrics(self) -> Self:
        """Rejects metrics if no part of the file exposes any."""
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
