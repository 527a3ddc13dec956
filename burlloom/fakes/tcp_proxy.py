"""A TCP proxy for tests of network partitions.

While the proxy is cut, data that it receives is held back until it is healed, as on a network that
drops packets, and connections stay open.
"""

import asyncio


class TcpProxy:
    """Forwards connections to one server.

    Attributes:
        target: Address of the server.
        address: Address of the proxy, once it is started.
        is_open: Set while data is forwarded.
        tasks: The tasks of the open connections.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> "TcpProxy":
        """Starts to listen on a port that the system assigns; returns the proxy."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    def cut(self) -> None:
        """Holds back all data from now on."""
        self.is_open.clear()

    def heal(self) -> None:
        """Forwards the held-back data, and all data from now on."""
        self.is_open.set()

    async def stop(self) -> None:
        """Stops listening and ends all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connects a client to the server, and forwards until either side ends."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            await self.is_open.wait()
            host, port = self.target.split(":")
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self.forward(reader, server_writer))
                    group.create_task(self.forward(server_reader, writer))
            finally:
                server_writer.close()
        except (OSError, ExceptionGroup):
            pass
        finally:
            writer.close()

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forwards one direction of a connection.

        Raises:
            ConnectionResetError: The sender closed its side; this ends the other direction too.
        """
        while data := await reader.read(65536):
            await self.is_open.wait()
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError
