"""The operator's part on the fleet: membership and the shared call quota."""

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Self

from pydantic import Field, model_validator

from .part import Part

if TYPE_CHECKING:
    from ..fleet import GossipSettings, QuotaSettings

MS = 1_000_000
Host = Annotated[
    str, Field(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")
]  # names are not looked up
Span = Annotated[int, Field(ge=1, le=86_400_000)]


class FleetPart(Part):
    """Servers that share a call quota.

    `listen` is the UDP address; `advertise` is where others reach it, if elsewhere. `seeds` are
    addresses of some other servers. `key_file` has one key in hex a line: the first seals
    datagrams, all open them.

    `calls` is how many calls in progress the downstream services bear from all servers together.
    `least` is more than half of the usual number of servers. `weight` is this one's against the
    others'. `services` are downstream addresses in place of the platform's one; this server calls
    `subset` of them or more.
    """

    listen: Host
    advertise: Host | None = None
    seeds: Annotated[list[Host], Field(max_length=64)] = []
    key_file: str
    calls: Annotated[float, Field(gt=0, le=1e6)]
    least: Annotated[int, Field(ge=1, le=1000)]
    weight: Annotated[float, Field(ge=0.01, le=100)] = 1.0
    services: Annotated[list[Host], Field(max_length=1000)] = []
    subset: Annotated[int, Field(ge=1, le=1000)] = 8
    round_ms: Span = 200
    lease_ms: Span = 2000
    turn_ms: Span = 2000
    cut_ms: Span = 8000
    redeal_ms: Span = 14_000
    floor: Annotated[float, Field(ge=0, le=0.05)] = 0.04
    probe_ms: Span = 500
    ack_ms: Span = 200
    suspicion_ms: Span = 2000
    forget_ms: Annotated[int, Field(ge=1, le=30 * 86_400_000)] = 3_600_000
    state_file: str | None = None

    @model_validator(mode="after")
    def validate_part(self) -> Self:
        """Refuse values that can't be used together; all faults at once."""
        wrong = self.faults()
        if wrong:
            raise ValueError("; ".join(wrong))
        return self

    def faults(self) -> list[str]:
        """Return what no single value can tell, each with its place."""
        from ..fleet.messages import MIN_KEY_BYTES, parse_address

        wrong = []
        # A port of 0 is one that the system gives.
        for what, address in (
            ("listen", self.listen),
            ("advertise", self.advertise),
            *(("seeds", seed) for seed in self.seeds),
            *(("services", service) for service in self.services),
        ):
            if (
                address is not None
                and parse_address(address) is None
                and not (
                    what == "listen"
                    and parse_address(address + "1") is not None
                    and address.endswith(":0")
                )
            ):
                wrong.append(f"{what}: {address!r} is no IPv4 address with a port")
        if len(set(self.services)) < len(self.services):
            wrong.append("services: an address stands twice")
        wrong += self.quota_settings().find_faults() + self.gossip_settings().find_faults()
        try:
            if any(len(key) < MIN_KEY_BYTES for key in self.keys()) or not self.keys():
                wrong.append(
                    f"key_file: {self.key_file}: each line wants a key of at least"
                    f" {MIN_KEY_BYTES} bytes, in hex; `burlloom fleet key` makes one"
                )
        except OSError as error:
            wrong.append(
                f"key_file: {self.key_file}: {error.strerror}; `burlloom fleet key` makes one"
            )
        except ValueError as error:
            wrong.append(f"key_file: {self.key_file}: {error}")
        if self.state_file is not None and not Path(self.state_file).parent.is_dir():
            wrong.append(f"state_file: the folder {Path(self.state_file).parent} does not exist")
        return wrong

    def keys(self) -> tuple[bytes, ...]:
        """Return the keys of the key file. Raises `OSError` or `ValueError`."""
        return read_keys(Path(self.key_file))

    def quota_settings(self) -> "QuotaSettings":
        """Return the settings of the shared call quota."""
        from ..fleet import MILLICALLS_PER_CALL, QuotaSettings

        return QuotaSettings(
            int(self.calls * MILLICALLS_PER_CALL),
            self.least,
            self.round_ms * MS,
            self.lease_ms * MS,
            self.turn_ms * MS,
            self.cut_ms * MS,
            self.redeal_ms * MS,
            self.floor,
        )

    def gossip_settings(self) -> "GossipSettings":
        """Return the settings of the membership protocol."""
        from ..fleet import GossipSettings

        return GossipSettings(
            self.probe_ms * MS, self.ack_ms * MS, self.suspicion_ms * MS, self.forget_ms * MS
        )


def read_keys(path: Path) -> tuple[bytes, ...]:
    """Return the keys of a file, one in hex a line.

    Raises:
        OSError: the file can't be read.
        ValueError: a line is no key; its number is named.
    """
    found = []
    for at, line in enumerate(path.read_text(encoding="ascii").splitlines(), 1):
        if line.strip() and not line.startswith("#"):
            try:
                found.append(bytes.fromhex(line))
            except ValueError:
                raise ValueError(f"line {at} is no key in hex") from None
    return tuple(found)
