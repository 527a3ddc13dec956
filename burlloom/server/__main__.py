"""`python -m burlloom.server`: runs one server as its environment says."""

import asyncio
import gc
import os
import signal
import socket
import sys
from concurrent.futures import ThreadPoolExecutor
from types import FrameType

from ..signals import HANDLED_SIGNALS, block_signals, unblock_signals

# Before the slow imports: a signal that comes while the program starts waits for its handler, and
# doesn't end the process.
block_signals()

import uvloop  # noqa: E402

from .configuration import ConfigurationError, ServerConfig, read_config  # noqa: E402
from .logs import configure_logging  # noqa: E402
from .server import Server  # noqa: E402
from .subsystems import SubsystemFactory  # noqa: E402

# Names the operator's own file; what it does not switch on is not imported.
OPERATOR_VARIABLE = "BURLLOOM_OPERATOR"
CONFIGURATION_EXIT_STATUS = 2


async def serve(
    listener: socket.socket, config: ServerConfig, factory: SubsystemFactory | None
) -> None:
    """Runs one server until it has shut down.

    Raises:
        ConfigurationError: The store of record can't be used.
    """
    server = Server(config, listener, factory)
    loop = asyncio.get_running_loop()

    def handle_signal(number: int, _: FrameType | None) -> None:
        """Has the loop reload or shut down; the handler itself runs between any two steps."""
        if number == signal.SIGHUP:
            loop.call_soon_threadsafe(server.reload)
        else:
            loop.call_soon_threadsafe(server.begin_shutdown, server.clock.last_ns)

    # Not by the loop's handlers: the loop would restore the defaults as it closes, and a signal
    # then would end the process with another status. Ours stay until signals are ignored for good.
    for number in HANDLED_SIGNALS:
        signal.signal(number, handle_signal)
    # Its other threads block them for good: libuv's, which it starts at its first look-up (this one
    # asks nobody), and ours.
    await loop.getnameinfo(("127.0.0.1", 0), socket.NI_NUMERICHOST | socket.NI_NUMERICSERV)
    workers = ThreadPoolExecutor(thread_name_prefix="work", initializer=block_signals)
    loop.set_default_executor(workers)
    unblock_signals()
    try:
        await server.run()
    finally:
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)


def bind_listener(config: ServerConfig) -> socket.socket:
    """Binds the address for balancers.

    It does not listen yet: a connection is met only by a server that can serve it.

    Raises:
        ConfigurationError: The address can't be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(config.listen_address)
    except OSError as error:
        host, port = config.listen_address
        raise ConfigurationError(str(error.strerror), place=f"{host}:{port}") from error
    return listener


def main() -> int:
    """Runs the program; returns its exit status."""
    try:
        config = read_config()
        listener = bind_listener(config)
        factory: SubsystemFactory | None = None
        if path := os.environ.get(OPERATOR_VARIABLE, ""):
            from .operator_subsystems import load_subsystems

            config, factory = load_subsystems(path, config)
        configure_logging()
        # What is there by now stays for good: left out, each full collection looks at the rest.
        gc.collect()
        gc.freeze()
        uvloop.run(serve(listener, config, factory))
    except ConfigurationError as error:
        print(f"burlloom.server: {error}", file=sys.stderr)
        return CONFIGURATION_EXIT_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
