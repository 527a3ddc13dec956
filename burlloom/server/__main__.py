"""`python -m burlloom.server`: one real server, told what it is by its environment."""

import asyncio
import gc
import os
import signal
import socket
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from types import FrameType

from ..signals import HANDLED_SIGNALS, block_signals, unblock_signals

# Before the slow imports: a signal that comes while the program starts waits for its handler, and
# doesn't end it.
block_signals()

import uvloop  # noqa: E402

from .configuration import ConfigurationError, ServerConfig, read_config  # noqa: E402
from .configuration_distribution import ConfigurationDistribution  # noqa: E402
from .logs import configure_logging  # noqa: E402
from .membership import FleetMembership  # noqa: E402
from .recovery import RestartRecovery  # noqa: E402
from .request_record import RequestRecord  # noqa: E402
from .rollout import RolloutParticipation  # noqa: E402
from .server import Server  # noqa: E402
from .service_levels import ServiceLevels  # noqa: E402

OPERATOR = (
    "BURLLOOM_OPERATOR"  # the operator's own file; what it does not switch on is not imported
)
Fitted = tuple[
    ServerConfig,
    Callable[[Server], RequestRecord] | None,
    Callable[[Server], ServiceLevels] | None,
    Callable[[Server], FleetMembership] | None,
    Callable[[Server], RestartRecovery] | None,
    Callable[[Server], RolloutParticipation] | None,
    Callable[[Server], ConfigurationDistribution] | None,
]


async def serve(listener: socket.socket, fitted: Fitted) -> None:
    orders, keeping, leveling, fleeting, recovering, rolling, distributing = fitted
    server = Server(
        orders, listener, keeping, leveling, fleeting, recovering, rolling, distributing
    )
    loop = asyncio.get_running_loop()

    def heard(number: int, _: FrameType | None) -> None:
        if number == signal.SIGHUP:
            loop.call_soon_threadsafe(server.reload)
        else:
            loop.call_soon_threadsafe(server.begin_shutdown, server.clock.last_ns)

    # Not by the loop's handlers: the loop would restore the defaults as it closes, and a signal
    # then would end what has gone well with another status. Ours stay until the signals are ignored
    # for good.
    for number in HANDLED_SIGNALS:
        signal.signal(number, heard)
    # Its other threads block them for good: libuv's, which it starts at its first look-up (this one
    # asks nobody), and ours.
    await loop.getnameinfo(("127.0.0.1", 0), socket.NI_NUMERICHOST | socket.NI_NUMERICSERV)
    loop.set_default_executor(
        ThreadPoolExecutor(thread_name_prefix="work", initializer=block_signals)
    )
    unblock_signals()
    try:
        await server.run()
    finally:
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)


def switched_on(orders: ServerConfig, path: str) -> Fitted:
    """What the operator's file asks for. Raises `Broken`, with a line for each fault."""
    from ..operator import Faults
    from .subsystems import (
        StoreRefusedError,
        distributed,
        fleeted,
        leveled,
        load_operator,
        recorded,
        recovered,
        rolled,
        spanned,
        stale,
    )

    try:
        operator = load_operator(path)
        orders = spanned(operator, stale(operator, orders))
        return (
            orders,
            recorded(operator, orders),
            leveled(operator, orders),
            fleeted(operator, orders),
            recovered(operator, orders),
            rolled(operator, orders),
            distributed(operator, orders),
        )
    except Faults as faults:
        raise ConfigurationError("\nburlloom.server: ".join(faults.lines)) from faults
    except StoreRefusedError as refused:
        raise ConfigurationError(str(refused)) from refused


def bind_listener(orders: ServerConfig) -> socket.socket:
    """Bound, but not yet listening: a connection is met only by a server that can serve it."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(orders.listen_address)
    except OSError as error:
        raise ConfigurationError(
            f"{orders.listen_address[0]}:{orders.listen_address[1]}: {error.strerror}"
        ) from error
    return listener


def main() -> int:
    try:
        orders = read_config()
        listener = bind_listener(orders)
        fitted: Fitted = orders, None, None, None, None, None, None
        if path := os.environ.get(OPERATOR, ""):
            fitted = switched_on(orders, path)
    except ConfigurationError as error:
        print(f"burlloom.server: {error}", file=sys.stderr)
        return 2
    configure_logging()
    # What is there by now stays for good: left out, each full collection looks at the rest alone.
    gc.collect()
    gc.freeze()
    try:
        uvloop.run(serve(listener, fitted))
    except ConfigurationError as error:
        print(f"burlloom.server: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
