"""The part of the operator's file on the distribution of configuration."""

from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

from pydantic import Field

from ..time_units import NS_PER_MS
from .fleet import SocketAddress, read_keys
from .part import Part

if TYPE_CHECKING:
    from ..distribution.settings import ReplicationSettings
    from ..distribution.upstreams import Upstream as FollowedUpstream

MIN_SIGNING_KEY_BYTES, MAX_KEYS_PER_FILE = 16, 8
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Region = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,32}$")]


class UpstreamPart(Part):
    """A control machine or a relay that may be followed.

    Attributes:
        name: The node's name.
        region: The node's region.
        address: The node's UDP address.
    """

    name: Name
    region: Region
    address: SocketAddress


class DistributionPart(Part):
    """The upstreams that a server, relay or control machine follows, and the keys.

    Attributes:
        listen: UDP address to listen on; port 0 takes any free port.
        advertise: Address under which others reach this node; by default `listen`.
        region: This node's region.
        upstreams: Nodes that may be followed; those of the own region are preferred. At a control
            machine these are its peers, which it follows while the store is unavailable.
        key_file: Path of the keys, one in hex a line: the first seals datagrams, all open them.
        signing_key_file: Path of the signing keys, one in hex a line: the first chains changes, any
            of them verifies changes.
        beat_ms: Time between two reports of a follower, ms; other times follow in proportion.
        followers_most: Followers that a control machine accepts.
        page_rate: Bytes a second that a control machine sends for transfers of whole tables.
        wait_ms: How long a server waits for its first sync before it listens, ms; it then serves
            with the tenants of its own configuration.
        state_file: Path of the node's state, which is written each second.
    """

    listen: SocketAddress
    advertise: SocketAddress | None = None
    region: Region
    upstreams: Annotated[list[UpstreamPart], Field(max_length=64)] = []
    key_file: str
    signing_key_file: str
    beat_ms: Annotated[int, Field(ge=20, le=60_000)] = 1000
    followers_most: Annotated[int, Field(ge=1, le=10_000)] = 400
    page_rate: Annotated[int, Field(ge=10_000, le=1_000_000_000)] = 4_000_000
    wait_ms: Annotated[int, Field(ge=0, le=3_600_000)] = 10_000
    state_file: str | None = None

    def find_faults(self) -> list[str]:
        """Returns the faults that pydantic does not find, each with the path of the key."""
        faults = self._address_faults() + self._key_faults()
        if self.state_file is not None and not Path(self.state_file).parent.is_dir():
            faults.append(f"state_file: the folder {Path(self.state_file).parent} does not exist")
        return faults

    def _address_faults(self) -> list[str]:
        from ..fleet.messages import parse_address

        faults = []
        if parse_address(self.listen) is None and not (
            self.listen.endswith(":0") and parse_address(self.listen + "1")
        ):
            # Port 0, for which the system chooses a port, is allowed here.
            faults.append(f"listen: {self.listen!r} is not an IPv4 address with a port")
        if self.advertise is not None and parse_address(self.advertise) is None:
            faults.append(f"advertise: {self.advertise!r} is not an IPv4 address with a port")
        names: dict[str, int] = {}
        addresses: dict[str, int] = {}
        for index, upstream in enumerate(self.upstreams):
            place = f"upstreams[{index}]"
            if parse_address(upstream.address) is None:
                faults.append(
                    f"{place}.address: {upstream.address!r} is not an IPv4 address with a port"
                )
            for key, value, seen in (
                ("name", upstream.name, names),
                ("address", upstream.address, addresses),
            ):
                if value in seen:
                    faults.append(f"{place}.{key}: {value} is also in upstreams[{seen[value]}]")
                seen.setdefault(value, index)
        return faults

    def _key_faults(self) -> list[str]:
        from ..fleet.messages import MIN_KEY_BYTES

        faults = []
        for name, file, min_bytes in (
            ("key_file", self.key_file, MIN_KEY_BYTES),
            ("signing_key_file", self.signing_key_file, MIN_SIGNING_KEY_BYTES),
        ):
            try:
                keys = read_keys(Path(file))
                if (
                    not keys
                    or len(keys) > MAX_KEYS_PER_FILE
                    or any(not min_bytes <= len(key) <= 64 for key in keys)
                ):
                    faults.append(
                        f"{name}: {file}: each line must be a key of {min_bytes} to 64 bytes"
                        f" in hex, with at most {MAX_KEYS_PER_FILE} keys;"
                        " `burlloom distribution key` makes one"
                    )
            except OSError as error:
                faults.append(
                    f"{name}: {file}: {error.strerror}; `burlloom distribution key` makes one"
                )
            except ValueError as error:
                faults.append(f"{name}: {file}: {error}")
        return faults

    def load_keys(self) -> tuple[bytes, ...]:
        """Returns the keys that seal datagrams.

        Raises:
            OSError: The file can't be read.
            ValueError: A line is not a key in hex.
        """
        return read_keys(Path(self.key_file))

    def load_signing_keys(self) -> tuple[bytes, ...]:
        """Returns the keys that sign changes.

        Raises:
            OSError: The file can't be read.
            ValueError: A line is not a key in hex.
        """
        return read_keys(Path(self.signing_key_file))

    def replication_settings(self) -> "ReplicationSettings":
        """Returns the replication settings; times without a key scale with `beat_ms`."""
        from ..distribution.settings import ReplicationSettings

        default, heartbeat_ns = ReplicationSettings(), self.beat_ms * NS_PER_MS
        factor = heartbeat_ns / default.heartbeat_ns
        return replace(
            default,
            heartbeat_ns=heartbeat_ns,
            upstream_timeout_ns=int(default.upstream_timeout_ns * factor),
            first_answer_timeout_ns=int(default.first_answer_timeout_ns * factor),
            request_retry_ns=int(default.request_retry_ns * factor),
            preferred_retry_ns=int(default.preferred_retry_ns * factor),
            stale_after_ns=int(default.stale_after_ns * factor),
            sync_stall_timeout_ns=int(default.sync_stall_timeout_ns * factor),
            lease_ns=int(default.lease_ns * factor),
            max_followers=self.followers_most,
            page_bytes_per_s=self.page_rate,
            page_burst_bytes=max(1, self.page_rate // 10),
        )

    def allowed_upstreams(self) -> "list[FollowedUpstream]":
        """Returns the upstreams that this node may follow."""
        from ..distribution.upstreams import Upstream as FollowedUpstream
        from ..fleet.messages import parse_address

        return [
            FollowedUpstream(upstream.name, upstream.region, address)
            for upstream in self.upstreams
            if (address := parse_address(upstream.address)) is not None
        ]
