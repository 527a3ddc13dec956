"""The server's configuration: read at its start and again at each reload."""

import json
import os
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from ..admission.model import ServerSettings
from ..errors import BurlloomError
from ..settings import parse_server_settings
from ..sockets import NS_PER_MS
from .configuration_schema import MAX_PORT, ConfigurationFault, find_faults

Address = tuple[str, int]

CONFIGURATION_VARIABLE = "EDGE_CONFIG"
NAME_VARIABLE = "EDGE_NAME"
LISTEN_VARIABLE = "EDGE_LISTEN"
# Fields of the file that the environment may give in its place.
VARIABLES_BY_FIELD = {"name": NAME_VARIABLE, "listen": LISTEN_VARIABLE}
DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
BYTES_PER_MB = 1 << 20


class ConfigurationError(BurlloomError):
    """The server can't start, or reload, with what it is configured to do.

    Attributes:
        place: The file, address or setting that can't be used; empty where the message names it.
        faults: What is wrong with a file, all at once.

    Args:
        message: What is wrong; made of the faults where it is empty.
        place: The file, address or setting that can't be used.
        faults: What is wrong with a file.
    """

    def __init__(
        self, message: str = "", *, place: str = "", faults: Sequence[ConfigurationFault] = ()
    ) -> None:
        message = message or "; ".join(str(fault) for fault in faults)
        super().__init__(f"{place}: {message}" if place else message)
        self.place = place
        self.faults = tuple(faults)


@dataclass(frozen=True, slots=True)
class ServerConfig:
    """What one server is and may use.

    Attributes:
        name: The server's name in the fleet.
        listen_address: Where balancers connect; port 0 has the system choose one.
        executor_address: The executor that runs requests.
        discovery_address: The name service that is told whether this server takes requests.
        downstream_address: What runs call; None at servers that call nothing.
        seed: Of all random draws.
        stop_ns: Time from the notice to leave until the process is killed.
        settings: What the decisions read.
        max_sockets: File descriptors that the process may hold.
        memory_bytes: Memory that the process may hold.
        class_names: Names of the request classes, in the order of `settings.request_classes`.
        tenant_portions: Each tenant's portion of the service; relative to one another.
        gauge_names: The executor's gauges, in the order in which it sends their values.
    """

    name: str
    listen_address: Address
    executor_address: Address
    discovery_address: Address
    downstream_address: Address | None
    seed: int
    stop_ns: int
    settings: ServerSettings
    max_sockets: int
    memory_bytes: int
    class_names: tuple[str, ...]
    tenant_portions: dict[str, float]
    gauge_names: tuple[str, ...]


def parse_address(text: Any) -> Address:
    """Returns host and port of an address as `10.0.0.4:10080`.

    Raises:
        ValueError: It is no address.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


def read_config() -> ServerConfig:
    """Reads the file that the environment names; name and address may come from the environment.

    Raises:
        ConfigurationError: It can't be read, or holds faults, which are all named.
    """
    path = os.environ.get(CONFIGURATION_VARIABLE, "")
    if not path:
        raise ConfigurationError(f"{CONFIGURATION_VARIABLE} is not set")
    try:
        with open(path, encoding="utf-8") as file:
            configuration: dict[str, Any] = json.load(file)
        given = frozenset(
            field for field, variable in VARIABLES_BY_FIELD.items() if os.environ.get(variable)
        )
        if faults := find_faults(configuration, given):
            raise ConfigurationError(place=path, faults=faults)
        return decode_config(configuration)
    except OSError as error:
        raise ConfigurationError(str(error.strerror), place=path) from error
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(str(error), place=path) from error


def decode_config(configuration: dict[str, Any]) -> ServerConfig:
    """Maps the keys of a configuration without faults to the server's terms."""
    settings, gauge_names = parse_server_settings(configuration["settings"])
    limits = configuration.get("limits") or {}
    memory_mb = float(limits.get("memory_mb", DEFAULT_MEMORY_MB))
    downstream = configuration.get("catalog")
    classes = configuration["settings"]["categories"]
    tenants = configuration["settings"].get("tenants") or ()
    return ServerConfig(
        name=os.environ.get(NAME_VARIABLE) or str(configuration["name"]),
        listen_address=parse_address(os.environ.get(LISTEN_VARIABLE) or configuration["listen"]),
        executor_address=parse_address(configuration["executor"]),
        discovery_address=parse_address(configuration["naming"]),
        downstream_address=parse_address(downstream) if downstream else None,
        seed=int(configuration["seed"], 16),
        stop_ns=int(configuration["stop_ms"]) * NS_PER_MS,
        settings=settings,
        max_sockets=int(limits.get("sockets", DEFAULT_MAX_SOCKETS)),
        memory_bytes=int(memory_mb * BYTES_PER_MB),
        class_names=tuple(str(request_class["name"]) for request_class in classes),
        tenant_portions={
            str(tenant["name"]): float(tenant.get("portion") or 1.0) for tenant in tenants
        },
        gauge_names=gauge_names,
    )
