"""The operator's part on the distribution of configuration."""

from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

from pydantic import Field

from .fleet import Host, read_keys
from .part import Part

if TYPE_CHECKING:
    from ..distribution.settings import ReplicationSettings
    from ..distribution.upstreams import Upstream as Follows

MS = 1_000_000
SIGNING_LEAST, KEYS_MOST = 16, 8  # bytes; lines of a file
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Region = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,32}$")]


class Upstream(Part):
    """One that may be followed: a control machine, or a relay."""

    name: Name
    region: Region
    address: Host


class DistributionPart(Part):
    """Whom a server, relay or control machine follows, and with which keys.

    `listen` is the UDP address; `advertise` is where others reach it, if elsewhere. `upstreams` are
    whom it may follow, its own region's first; at a control machine its peers, for when the store
    is unavailable.

    `key_file` has one key in hex a line: the first seals datagrams, all open them.
    `signing_key_file` likewise: the first chains changes, any verifies them. `followers_most` and
    `page_rate` (bytes/s, for whole tables) bound a control machine. `wait_ms` is how long a server
    waits for its first sync before it listens; then it serves with its configuration's tenants.
    `state_file` is written each second.
    """

    listen: Host
    advertise: Host | None = None
    region: Region
    upstreams: Annotated[list[Upstream], Field(max_length=64)] = []
    key_file: str
    signing_key_file: str
    beat_ms: Annotated[int, Field(ge=20, le=60_000)] = 1000
    followers_most: Annotated[int, Field(ge=1, le=10_000)] = 400
    page_rate: Annotated[int, Field(ge=10_000, le=1_000_000_000)] = 4_000_000
    wait_ms: Annotated[int, Field(ge=0, le=3_600_000)] = 10_000
    state_file: str | None = None

    def faults(self) -> list[str]:
        """Return what no single value can tell, each with its place."""
        wrong = self._address_faults() + self._key_faults()
        if self.state_file is not None and not Path(self.state_file).parent.is_dir():
            wrong.append(f"state_file: the folder {Path(self.state_file).parent} does not exist")
        return wrong

    def _address_faults(self) -> list[str]:
        from ..fleet.messages import parse_address

        wrong = []
        if parse_address(self.listen) is None and not (
            self.listen.endswith(":0") and parse_address(self.listen + "1")
        ):
            wrong.append(
                f"listen: {self.listen!r} is no IPv4 address with a port"
            )  # 0: one that the system gives
        if self.advertise is not None and parse_address(self.advertise) is None:
            wrong.append(f"advertise: {self.advertise!r} is no IPv4 address with a port")
        names: dict[str, int] = {}
        addresses: dict[str, int] = {}
        for at, one in enumerate(self.upstreams):
            place = f"upstreams[{at}]"
            if parse_address(one.address) is None:
                wrong.append(f"{place}.address: {one.address!r} is no IPv4 address with a port")
            for what, value, seen in (
                ("name", one.name, names),
                ("address", one.address, addresses),
            ):
                if value in seen:
                    wrong.append(
                        f"{place}.{what}: {value} stands twice, also in upstreams[{seen[value]}]"
                    )
                seen.setdefault(value, at)
        return wrong

    def _key_faults(self) -> list[str]:
        from ..fleet.messages import MIN_KEY_BYTES

        wrong = []
        for what, file, least in (
            ("key_file", self.key_file, MIN_KEY_BYTES),
            ("signing_key_file", self.signing_key_file, SIGNING_LEAST),
        ):
            try:
                keys = read_keys(Path(file))
                if (
                    not keys
                    or len(keys) > KEYS_MOST
                    or any(not least <= len(key) <= 64 for key in keys)
                ):
                    wrong.append(
                        f"{what}: {file}: each line wants a key of {least} to 64 bytes, in hex,"
                        f" and there are at most {KEYS_MOST}; `burlloom distribution key` makes one"
                    )
            except OSError as error:
                wrong.append(
                    f"{what}: {file}: {error.strerror}; `burlloom distribution key` makes one"
                )
            except ValueError as error:
                wrong.append(f"{what}: {file}: {error}")
        return wrong

    def keys(self) -> tuple[bytes, ...]:
        """Raises `OSError` or `ValueError`."""
        return read_keys(Path(self.key_file))

    def signing_keys(self) -> tuple[bytes, ...]:
        """Raises `OSError` or `ValueError`."""
        return read_keys(Path(self.signing_key_file))

    def replication_settings(self) -> "ReplicationSettings":
        """What is not told follows the beat."""
        from ..distribution.settings import ReplicationSettings

        plain, heartbeat_ns = ReplicationSettings(), self.beat_ms * MS
        factor = heartbeat_ns / plain.heartbeat_ns
        return replace(
            plain,
            heartbeat_ns=heartbeat_ns,
            upstream_timeout_ns=int(plain.upstream_timeout_ns * factor),
            first_answer_timeout_ns=int(plain.first_answer_timeout_ns * factor),
            request_retry_ns=int(plain.request_retry_ns * factor),
            preferred_retry_ns=int(plain.preferred_retry_ns * factor),
            stale_after_ns=int(plain.stale_after_ns * factor),
            sync_stall_timeout_ns=int(plain.sync_stall_timeout_ns * factor),
            lease_ns=int(plain.lease_ns * factor),
            max_followers=self.followers_most,
            page_bytes_per_s=self.page_rate,
            page_burst_bytes=max(1, self.page_rate // 10),
        )

    def allowed_upstreams(self) -> "list[Follows]":
        """Whom this one may follow."""
        from ..distribution.upstreams import Upstream as Follows
        from ..fleet.messages import parse_address

        return [
            Follows(one.name, one.region, address)
            for one in self.upstreams
            if (address := parse_address(one.address)) is not None
        ]
