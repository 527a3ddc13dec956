"""Entry point of `python -m burlloom.server`: runs the server that `EDGE_CONFIG` configures."""

import asyncio
import gc
import os
import signal
import socket
import sys
from concurrent.futures import ThreadPoolExecutor
from types import FrameType

from ..signals import HANDLED_SIGNALS, block_signals, unblock_signals

# Blocked before the slow imports: a signal that arrives during startup stays pending until its
# handler is installed, and does not end the process.
block_signals()

import uvloop  # noqa: E402

from .configuration import ConfigurationError, ServerConfig, read_config  # noqa: E402
from .logs import configure_logging  # noqa: E402
from .server import Server  # noqa: E402
from .subsystems import SubsystemFactory  # noqa: E402

# Environment variable with the path of the operator's file. Subsystems that the file does not
# enable are not imported.
OPERATOR_VARIABLE = "BURLLOOM_OPERATOR"
CONFIGURATION_EXIT_STATUS = 2


async def serve(
    listener: socket.socket, config: ServerConfig, factory: SubsystemFactory | None
) -> None:
    """Runs one server until it has shut down.

    Args:
        listener: Bound to the address for callers, not listening yet.
        config: The server's configuration.
        factory: Creates the optional subsystems; None disables all of them.

    Raises:
        ConfigurationError: The store of record can't be used.
    """
    server = Server(config, listener, factory)
    loop = asyncio.get_running_loop()

    def handle_signal(signal_number: int, _: FrameType | None) -> None:
        """Schedules a reload or the shutdown; does no more, as it interrupts the main thread."""
        if signal_number == signal.SIGHUP:
            loop.call_soon_threadsafe(server.reload)
        else:
            loop.call_soon_threadsafe(server.begin_shutdown, server.clock.last_ns)

    # Installed with `signal.signal`, not with the loop's `add_signal_handler`: the loop restores
    # the default actions when it closes, and a signal after that would end the process with another
    # exit status. These handlers stay until the signals are ignored.
    for signal_number in HANDLED_SIGNALS:
        signal.signal(signal_number, handle_signal)
    # Signals must reach the main thread only, so all other threads are started while signals are
    # blocked, or block them themselves. libuv starts its threads at the first name lookup; this
    # numeric lookup starts them now and sends no query.
    await loop.getnameinfo(("127.0.0.1", 0), socket.NI_NUMERICHOST | socket.NI_NUMERICSERV)
    thread_pool = ThreadPoolExecutor(thread_name_prefix="work", initializer=block_signals)
    loop.set_default_executor(thread_pool)
    unblock_signals()
    try:
        await server.run()
    finally:
        for signal_number in HANDLED_SIGNALS:
            signal.signal(signal_number, signal.SIG_IGN)


def bind_listener(config: ServerConfig) -> socket.socket:
    """Returns a socket that is bound to the address for callers.

    The socket does not listen yet, so that no connection is accepted before the server can serve
    it.

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
    """Runs the server process and returns its exit status; 2 for a configuration error."""
    try:
        config = read_config()
        listener = bind_listener(config)
        factory: SubsystemFactory | None = None
        if path := os.environ.get(OPERATOR_VARIABLE, ""):
            from .operator_subsystems import load_subsystems

            config, factory = load_subsystems(path, config)
        configure_logging()
        # Objects of the startup live as long as the process. Freezing them exempts them from
        # garbage collection, which makes each full collection shorter.
        gc.collect()
        gc.freeze()
        uvloop.run(serve(listener, config, factory))
    except ConfigurationError as error:
        print(f"burlloom.server: {error}", file=sys.stderr)
        return CONFIGURATION_EXIT_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
