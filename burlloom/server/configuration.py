"""What the server is told, read at its start and again at each reload."""

import json
import os
from dataclasses import dataclass
from typing import Any

from ..admission.model import ServerSettings
from ..settings import parse_server_settings
from ..sockets import NS_PER_MS
from .configuration_schema import faults

Address = tuple[str, int]
SOCKETS, MEMORY_MB = 1024, 192  # where no limit is told


class ConfigurationError(Exception):
    """The configuration can't be used."""


@dataclass(frozen=True, slots=True)
class ServerConfig:
    name: str
    listen_address: Address
    executor_address: Address
    discovery_address: Address
    downstream_address: (
        Address | None
    )  # None at servers that call nothing below: they are told no address
    seed: int
    stop_ns: int
    settings: ServerSettings
    max_sockets: int
    memory_bytes: int
    class_names: tuple[str, ...]
    tenant_portions: dict[str, float]  # each with its portion of the service
    gauge_names: tuple[str, ...]


def parse_address(text: Any) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


def read_config() -> ServerConfig:
    path = os.environ.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigurationError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as source:
            got: dict[str, Any] = json.load(source)
        elsewhere = {"name": "EDGE_NAME", "listen": "EDGE_LISTEN"}
        if lines := faults(
            got, frozenset(name for name, told in elsewhere.items() if os.environ.get(told))
        ):
            raise ConfigurationError(f"{path}: " + "; ".join(lines))
        known, meters = parse_server_settings(got["settings"])
        limits = got.get("limits") or {}
        return ServerConfig(
            name=os.environ.get("EDGE_NAME") or str(got["name"]),
            listen_address=parse_address(os.environ.get("EDGE_LISTEN") or got["listen"]),
            executor_address=parse_address(got["executor"]),
            discovery_address=parse_address(got["naming"]),
            downstream_address=parse_address(got["catalog"]) if got.get("catalog") else None,
            seed=int(got["seed"], 16),
            stop_ns=int(got["stop_ms"]) * NS_PER_MS,
            max_sockets=int(limits.get("sockets", SOCKETS)),
            memory_bytes=int(float(limits.get("memory_mb", MEMORY_MB)) * (1 << 20)),
            settings=known,
            class_names=tuple(str(product["name"]) for product in got["settings"]["categories"]),
            tenant_portions={
                str(tenant["name"]): float(tenant.get("portion") or 1.0)
                for tenant in got["settings"].get("tenants") or ()
            },
            gauge_names=meters,
        )
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"{path}: {error}") from error
