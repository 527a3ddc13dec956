"""Some good replies of the catalogue are followed by a second copy of themselves."""

import asyncio
import secrets
import socket
import sys
import time
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
    settings,
)

HERE = Path(__file__).resolve().parent
RATE = 120.0  # tries a second
DEADLINE_MS = 6000
LASTS_S = 60.0
COPIED_SHARE = 0.03  # of the replies, that are followed by a copy
COPY_AFTER_MS = 1.0, 3.0  # from a reply to its copy
WORK_MS = {"balance-view": [10.0, 10.0], "charge": [10.0, 10.0]}


class CopyingCatalogue(Catalogue):
    """Answers each call well, and some replies twice on the same connection."""

    def __init__(self, world: World, delay_ms: float, copied_share: float) -> None:
        super().__init__(world, delay_ms)
        self.copied_share = copied_share
        self.copies = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        world, draw = self.world, self.world.random.random
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = dict(
                    line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
                )
                body = await reader.readexactly(int(headers["content-length"]))
                self.call_count += 1
                await asyncio.sleep(self.delay_ms * (0.5 + draw()) / 1000)
                world.replies[body] = reply = b"reply to " + body
                message = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(reply) + reply
                world.journal.write("reply", body)
                writer.write(message)
                if draw() < self.copied_share:
                    self.copies += 1
                    first, last = COPY_AFTER_MS
                    await asyncio.sleep((first + (last - first) * draw()) / 1000)
                    world.journal.write("copy of reply", body)
                    writer.write(message)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


async def play(has_trouble: bool) -> int:
    """Plays the case; returns the exit status."""
    journal = Journal(HERE / "record.txt")
    world = World(journal, seed=7)
    executor, naming = Executor(world, WORK_MS), NameService()
    catalogue = CopyingCatalogue(world, 5, COPIED_SHARE if has_trouble else 0.0)
    addresses = await executor.listen(), await naming.listen(), await catalogue.listen()
    server = Server(new_folder(), "n1", configuration("n1", *addresses, settings()))
    try:
        await server.start()
        await server.wait_until_healthy(world)
        balancers = [Balancer(world, number, server.address) for number in range(1, 5)]
        started = time.monotonic()
        count = 0
        while time.monotonic() < started + LASTS_S:
            await asyncio.sleep(world.random.expovariate(RATE))
            count += 1
            if world.random.random() < 0.4:
                attempt = Try("charge", b"charge %d" % count, secrets.token_hex(16), DEADLINE_MS)
            else:
                attempt = Try("balance-view", b"view %d" % count, "", DEADLINE_MS)
            await world.random.choice(balancers).submit(attempt)
        await asyncio.sleep(DEADLINE_MS / 1000 + 1)
        served = [attempt for attempt in world.tries.values() if attempt.answer == "served"]
        if len(served) < len(world.tries) / 2:
            raise RuntimeError(f"only {len(served)} of {len(world.tries)} tries were served")
        foreign = [
            f"{attempt.id} was answered: {attempt.result.decode()}"
            for attempt in served
            if attempt.id.encode() not in attempt.result.split(b"reply to")[-1]
        ]
        text = (
            f"tries {len(world.tries)}, served {len(served)}, calls {catalogue.call_count}, copies "
            f"{catalogue.copies}, replies of another call {len(world.wrong_replies)}, callers "
            f"answered with another's data {len(foreign)}"
        )
        journal.write(text)
        print(text)
        for line in foreign[:3]:
            print("  ", line)
        return 1 if world.wrong_replies else 0
    finally:
        await server.end()
        journal.close()


main(play)
