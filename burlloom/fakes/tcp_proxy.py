"""A way for TCP between one client and one server that a story can cut: what is on it hangs until
it is healed, as where packets are dropped on the way.
"""

import asyncio


class Pipe:
    """`target`: where connections go on to."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.open = asyncio.Event()
        self.open.set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> "Pipe":
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    def cut(self) -> None:
        self.open.clear()

    def heal(self) -> None:
        self.open.set()

    async def stop(self) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            await self.open.wait()
            host, port = self.target.split(":")
            beyond, back = await asyncio.open_connection(host, int(port))
            try:
                async with asyncio.TaskGroup() as both:
                    both.create_task(self.pass_on(reader, back))
                    both.create_task(self.pass_on(beyond, writer))
            finally:
                back.close()
        except (OSError, ExceptionGroup):
            pass
        finally:
            writer.close()

    async def pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            await self.open.wait()
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError  # one side is over: so is the other
