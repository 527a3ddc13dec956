"""The network of one server is silent for some seconds, while balancers use resting connections."""

import asyncio
import contextlib
import secrets
import sys
import time
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common_2"))

from world import (  # noqa: E402
    Balancer,
    Catalogue,
    Executor,
    Journal,
    NameService,
    Server,
    Try,
    World,
    configuration,
    main,
    new_folder,
    now_ms,
    settings,
)

HERE = Path(__file__).resolve().parent
BALANCERS = 80
MEAN_PAUSE_S = 2.5  # between two requests of one balancer
DEADLINE_MS = 6000
LASTS_S = 40.0
SILENT_AT_S, SILENT_FOR_S = (14.0, 28.0), 4.0  # two silences
ALLOWED_SHARE = 0.003
# Only requests that were written at least so long before their connection was closed are judged.
BEFORE_CLOSE_MS = 200
# Only requests with at least so much time left when the network is back are judged.
TIME_LEFT_MS = 500


class Network:
    """Carries the balancers' connections; while silent it holds all bytes, in both directions.

    Attributes:
        is_sound: Set while bytes are carried.
        count: How many connections the server has not closed.
        closed_ms: By the balancer's port, when the server closed the connection.
    """

    def __init__(self, target: str, journal: Journal) -> None:
        self.host, port = target.rsplit(":", 1)
        self.port = int(port)
        self.journal = journal
        self.is_sound = asyncio.Event()
        self.is_sound.set()
        self.count = 0
        self.closed_ms: dict[int, int] = {}

    async def listen(self) -> str:
        """Listens on a free port; returns the address."""
        server = await asyncio.start_server(self.carry, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carries one connection."""
        port = writer.get_extra_info("peername")[1]
        await self.is_sound.wait()
        try:
            server_reader, server_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        self.count += 1

        def note_close() -> None:
            self.count -= 1
            self.closed_ms[port] = now_ms()
            self.journal.write("server closed the connection of port", port)

        await asyncio.gather(
            self.forward(reader, server_writer, lambda: None),
            self.forward(server_reader, writer, note_close),
        )
        writer.close()
        server_writer.close()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_end: Callable[[], None],
    ) -> None:
        """Forwards one direction; what comes during a silence is held and carried afterwards."""
        held: asyncio.Queue[bytes] = asyncio.Queue()

        async def receive() -> None:
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(65536):
                    held.put_nowait(data)
            on_end()
            held.put_nowait(b"")

        receiver = asyncio.create_task(receive())
        while data := await held.get():
            await self.is_sound.wait()
            writer.write(data)
        await self.is_sound.wait()
        with contextlib.suppress(OSError):
            writer.write_eof()
        await receiver

    async def fall_silent(self, pause_s: float) -> int:
        """Holds all bytes for a while; returns when it is sound again."""
        self.journal.write("the network falls silent")
        self.is_sound.clear()
        await asyncio.sleep(pause_s)
        self.is_sound.set()
        self.journal.write("the network is sound again")
        return now_ms()


async def ask(world: World, balancer: Balancer, until: float, ports: dict[str, int]) -> None:
    """Sends the requests of one balancer, one now and then."""
    await asyncio.sleep(world.random.random() * MEAN_PAUSE_S)
    while time.monotonic() < until:
        if world.random.random() < 0.4:
            attempt = Try("charge", secrets.token_bytes(8), secrets.token_hex(16), DEADLINE_MS)
        else:
            attempt = Try("balance-view", secrets.token_bytes(8), "", DEADLINE_MS)
        await balancer.submit(attempt)
        for link in balancer.links:
            if attempt in link.waiting.values():
                ports[attempt.id] = link.writer.get_extra_info("sockname")[1]
        await asyncio.sleep(MEAN_PAUSE_S * (0.5 + world.random.random()))


async def play(has_trouble: bool) -> int:
    """Plays the case; returns the exit status."""
    journal = Journal(HERE / "record.txt")
    world = World(journal, seed=8)
    executor = Executor(world, {"balance-view": [10, 10], "charge": [10, 10]})
    catalogue, naming = Catalogue(world, 5), NameService()
    addresses = await executor.listen(), await naming.listen(), await catalogue.listen()
    server = Server(new_folder(), "n1", configuration("n1", *addresses, settings()))
    try:
        await server.start()
        await server.wait_until_healthy(world)
        network = Network(server.address, journal)
        executor.links = lambda: network.count
        address = await network.listen()
        started = time.monotonic()
        ports: dict[str, int] = {}
        balancers = [Balancer(world, number, address) for number in range(1, BALANCERS + 1)]
        tasks = [
            asyncio.create_task(ask(world, balancer, started + LASTS_S, ports))
            for balancer in balancers
        ]
        sound_ms: list[tuple[int, int]] = []  # begin and end of each silence
        for silent_at_s in SILENT_AT_S if has_trouble else ():
            await asyncio.sleep(started + silent_at_s - time.monotonic())
            began_ms = now_ms()
            sound_ms.append((began_ms, await network.fall_silent(SILENT_FOR_S)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(DEADLINE_MS / 1000 + 1)
        lost = []
        for attempt in world.tries.values():
            if attempt.answer or attempt.is_excused:
                continue
            closed_ms = network.closed_ms.get(ports.get(attempt.id, 0), 0)
            back_ms = max((end for begin, end in sound_ms if begin <= attempt.at_ms), default=0)
            if (
                closed_ms - attempt.at_ms >= BEFORE_CLOSE_MS or not closed_ms
            ) and attempt.due_ms - max(back_ms, attempt.at_ms) >= TIME_LEFT_MS:
                lost.append(
                    f"{attempt.id} {attempt.request_class}: written {closed_ms - attempt.at_ms} ms "
                    f"before the server closed its connection, due {attempt.due_ms - back_ms} ms "
                    "after the network was back, never answered"
                )
        served = sum(attempt.answer == "served" for attempt in world.tries.values())
        if served < len(world.tries) / 2:
            raise RuntimeError(f"only {served} of {len(world.tries)} tries were served")
        unanswered = sum(not attempt.answer for attempt in world.tries.values())
        share = len(lost) / len(world.tries)
        text = (
            f"tries {len(world.tries)}, served {served}, unanswered {unanswered}, lost as judged "
            f"{len(lost)} ({share:.1%}; allowed {ALLOWED_SHARE:.1%})"
        )
        journal.write(text)
        print(text)
        for line in lost[:4]:
            journal.write(line)
            print("  ", line)
        return 1 if share > ALLOWED_SHARE else 0
    finally:
        await server.end()
        journal.close()


main(play)
