"""The server's configuration file, read at startup and again at each reload."""

import json
import os
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from ..admission.model import ServerSettings
from ..errors import BurlloomError
from ..settings import parse_server_settings
from ..time_units import NS_PER_MS
from .configuration_schema import MAX_PORT, ConfigurationFault, find_faults

Address = tuple[str, int]

CONFIGURATION_VARIABLE = "EDGE_CONFIG"
NAME_VARIABLE = "EDGE_NAME"
LISTEN_VARIABLE = "EDGE_LISTEN"
# Fields of the configuration file that an environment variable may override.
VARIABLES_BY_FIELD = {"name": NAME_VARIABLE, "listen": LISTEN_VARIABLE}
DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
BYTES_PER_MB = 1 << 20


class ConfigurationError(BurlloomError):
    """The server can't start or reload with its present configuration.

    Attributes:
        place: The file, address or setting that can't be used; empty where the message names it.
        faults: All faults of the configuration file; empty where the error has another cause.

    Args:
        message: What is wrong; the joined faults if empty.
        place: The file, address or setting that can't be used.
        faults: All faults of the configuration file.
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
    """Identity, addresses, resource limits and settings of one server.

    Attributes:
        name: The server's name in the fleet.
        listen_address: Where callers connect; with port 0 the system chooses the port.
        executor_address: The executor that runs requests.
        discovery_address: The name service that receives the server's health reports.
        downstream_address: The downstream that runs call; None for a server without calls.
        seed: Seed of all random draws.
        stop_ns: Time from SIGTERM until the platform kills the process.
        settings: Settings of admission and dispatcher.
        max_sockets: File descriptors that the process may hold.
        memory_bytes: Memory that the process may hold.
        class_names: Names of the request classes, in the order of `settings.request_classes`.
        tenant_portions: Weight of each tenant, by name; a tenant's share of the service is its
            weight over the sum.
        gauge_names: Names of the executor's gauges, in the order in which it sends their values.
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
    """Returns host and port of an address such as `10.0.0.4:10080`.

    Raises:
        ValueError: The text is not an address of this form.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"{text!r} is not an address of the form host:port")
    return host, int(port)


def read_config() -> ServerConfig:
    """Returns the configuration in the file that `EDGE_CONFIG` names.

    `EDGE_NAME` and `EDGE_LISTEN` override the server's name and address.

    Raises:
        ConfigurationError: The file can't be read, or it has faults; the error lists all of them.
    """
    path = os.environ.get(CONFIGURATION_VARIABLE, "")
    if not path:
        raise ConfigurationError(f"{CONFIGURATION_VARIABLE} is not set")
    try:
        with open(path, encoding="utf-8") as file:
            configuration: dict[str, Any] = json.load(file)
        overridden = frozenset(
            field for field, variable in VARIABLES_BY_FIELD.items() if os.environ.get(variable)
        )
        if faults := find_faults(configuration, overridden):
            raise ConfigurationError(place=path, faults=faults)
        return decode_config(configuration)
    except OSError as error:
        raise ConfigurationError(str(error.strerror), place=path) from error
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(str(error), place=path) from error


def decode_config(configuration: dict[str, Any]) -> ServerConfig:
    """Converts a configuration file without faults to a `ServerConfig`.

    Args:
        configuration: The decoded JSON file, checked by `find_faults`.
    """
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
