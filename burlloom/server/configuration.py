"""What the server is told, read at its start and again at each reload."""

import json
import os
from dataclasses import dataclass
from typing import Any

from ..interface import ServerSettings
from ..settings import facts
from ..sockets import NS_PER_MS
from .checked import faults

Address = tuple[str, int]
SOCKETS, MEMORY_MB = 1024, 192  # where no limit is told


class Broken(Exception):
    """The configuration can't be used."""


@dataclass(frozen=True, slots=True)
class Orders:
    name: str
    listen: Address
    executor: Address
    naming: Address
    catalogue: Address | None  # None at servers that call nothing below: they are told no address
    seed: int
    stop: int
    facts: ServerSettings
    sockets: int
    memory: int
    products: tuple[str, ...]
    tenants: dict[str, float]  # each with its portion of the service
    meters: tuple[str, ...]


def address(text: Any) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


def read() -> Orders:
    path = os.environ.get("EDGE_CONFIG", "")
    if not path:
        raise Broken("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as source:
            got: dict[str, Any] = json.load(source)
        elsewhere = {"name": "EDGE_NAME", "listen": "EDGE_LISTEN"}
        if lines := faults(
            got, frozenset(name for name, told in elsewhere.items() if os.environ.get(told))
        ):
            raise Broken(f"{path}: " + "; ".join(lines))
        known, meters = facts(got["settings"])
        limits = got.get("limits") or {}
        return Orders(
            name=os.environ.get("EDGE_NAME") or str(got["name"]),
            listen=address(os.environ.get("EDGE_LISTEN") or got["listen"]),
            executor=address(got["executor"]),
            naming=address(got["naming"]),
            catalogue=address(got["catalog"]) if got.get("catalog") else None,
            seed=int(got["seed"], 16),
            stop=int(got["stop_ms"]) * NS_PER_MS,
            sockets=int(limits.get("sockets", SOCKETS)),
            memory=int(float(limits.get("memory_mb", MEMORY_MB)) * (1 << 20)),
            facts=known,
            products=tuple(str(product["name"]) for product in got["settings"]["categories"]),
            tenants={
                str(tenant["name"]): float(tenant.get("portion") or 1.0)
                for tenant in got["settings"].get("tenants") or ()
            },
            meters=meters,
        )
    except OSError as error:
        raise Broken(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise Broken(f"{path}: {error}") from error
