"""The part of the operator's file on the fleet: membership and the shared call quota."""

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Self

from pydantic import Field, model_validator

from ..time_units import NS_PER_MS
from .part import Part

if TYPE_CHECKING:
    from ..fleet import GossipSettings, QuotaSettings

# An IPv4 address with a port; host names are not looked up.
SocketAddress = Annotated[str, Field(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]
DurationMs = Annotated[int, Field(ge=1, le=86_400_000)]


class FleetPart(Part):
    """Servers that share a call quota. Times are in ms.

    Attributes:
        listen: UDP address to listen on; port 0 takes any free port.
        advertise: Address under which other servers reach this one; by default `listen`.
        seeds: Addresses of some other servers.
        key_file: Path of the keys, one in hex a line: the first seals datagrams, all open them.
        calls: Calls in progress that the downstream services can handle from all servers together.
        least: Smallest fleet size assumed; it must be more than half of the usual number.
        weight: Weight of this server relative to the others.
        services: Downstream addresses, in place of the one in the platform's configuration.
        subset: Least number of these addresses that this server calls.
        round_ms: Time between two reports of a server.
        lease_ms: Validity of a grant, from the report that it answers.
        turn_ms: Time between two allocations.
        cut_ms: Time without a confirmed grant after which a server decays to its minimum share.
        redeal_ms: Time after which the share of a dead server is allocated to others.
        floor: Part of an equal share that an isolated server keeps.
        probe_ms: Time between two probes of members.
        ack_ms: Time without an answer after which other members are asked to probe.
        suspicion_ms: Time in which a suspected member can refute the suspicion, in a small fleet.
        forget_ms: Time for which a dead or departed member stays in the view.
        state_file: Path of the server's state, which `burlloom fleet` reads.
    """

    listen: SocketAddress
    advertise: SocketAddress | None = None
    seeds: Annotated[list[SocketAddress], Field(max_length=64)] = []
    key_file: str
    calls: Annotated[float, Field(gt=0, le=1e6)]
    least: Annotated[int, Field(ge=1, le=1000)]
    weight: Annotated[float, Field(ge=0.01, le=100)] = 1.0
    services: Annotated[list[SocketAddress], Field(max_length=1000)] = []
    subset: Annotated[int, Field(ge=1, le=1000)] = 8
    round_ms: DurationMs = 200
    lease_ms: DurationMs = 2000
    turn_ms: DurationMs = 2000
    cut_ms: DurationMs = 8000
    redeal_ms: DurationMs = 14_000
    floor: Annotated[float, Field(ge=0, le=0.05)] = 0.04
    probe_ms: DurationMs = 500
    ack_ms: DurationMs = 200
    suspicion_ms: DurationMs = 2000
    forget_ms: Annotated[int, Field(ge=1, le=30 * 86_400_000)] = 3_600_000
    state_file: str | None = None

    @model_validator(mode="after")
    def validate_part(self) -> Self:
        """Rejects invalid values and combinations; reports all faults at once."""
        faults = self.find_faults()
        if faults:
            raise ValueError("; ".join(faults))
        return self

    def find_faults(self) -> list[str]:
        """Returns the faults that pydantic does not find, each with the path of the key."""
        from ..fleet.messages import MIN_KEY_BYTES, parse_address

        faults = []
        # Port 0, for which the system chooses a port, is allowed only where the server listens.
        for key, address in (
            ("listen", self.listen),
            ("advertise", self.advertise),
            *(("seeds", seed) for seed in self.seeds),
            *(("services", service) for service in self.services),
        ):
            if (
                address is not None
                and parse_address(address) is None
                and not (
                    key == "listen"
                    and parse_address(address + "1") is not None
                    and address.endswith(":0")
                )
            ):
                faults.append(f"{key}: {address!r} is not an IPv4 address with a port")
        if len(set(self.services)) < len(self.services):
            faults.append("services: the addresses must be distinct")
        faults += self.quota_settings().find_faults() + self.gossip_settings().find_faults()
        try:
            if any(len(key) < MIN_KEY_BYTES for key in self.load_keys()) or not self.load_keys():
                faults.append(
                    f"key_file: {self.key_file}: each line must be a key of at least"
                    f" {MIN_KEY_BYTES} bytes in hex; `burlloom fleet key` makes one"
                )
        except OSError as error:
            faults.append(
                f"key_file: {self.key_file}: {error.strerror}; `burlloom fleet key` makes one"
            )
        except ValueError as error:
            faults.append(f"key_file: {self.key_file}: {error}")
        if self.state_file is not None and not Path(self.state_file).parent.is_dir():
            faults.append(f"state_file: the folder {Path(self.state_file).parent} does not exist")
        return faults

    def load_keys(self) -> tuple[bytes, ...]:
        """Returns the keys of the key file.

        Raises:
            OSError: The file can't be read.
            ValueError: A line is not a key in hex.
        """
        return read_keys(Path(self.key_file))

    def quota_settings(self) -> "QuotaSettings":
        """Returns the settings of the shared call quota."""
        from ..fleet import MILLICALLS_PER_CALL, QuotaSettings

        return QuotaSettings(
            int(self.calls * MILLICALLS_PER_CALL),
            self.least,
            self.round_ms * NS_PER_MS,
            self.lease_ms * NS_PER_MS,
            self.turn_ms * NS_PER_MS,
            self.cut_ms * NS_PER_MS,
            self.redeal_ms * NS_PER_MS,
            self.floor,
        )

    def gossip_settings(self) -> "GossipSettings":
        """Returns the settings of the membership protocol."""
        from ..fleet import GossipSettings

        return GossipSettings(
            self.probe_ms * NS_PER_MS,
            self.ack_ms * NS_PER_MS,
            self.suspicion_ms * NS_PER_MS,
            self.forget_ms * NS_PER_MS,
        )


def read_keys(path: Path) -> tuple[bytes, ...]:
    """Returns the keys of a file with one key in hex a line; empty lines and comments are skipped.

    Raises:
        OSError: The file can't be read.
        ValueError: A line is not a key in hex; the message has the line's number.
    """
    keys = []
    for number, line in enumerate(path.read_text(encoding="ascii").splitlines(), 1):
        if line.strip() and not line.startswith("#"):
            try:
                keys.append(bytes.fromhex(line))
            except ValueError:
                raise ValueError(f"line {number} is not a key in hex") from None
    return tuple(keys)
