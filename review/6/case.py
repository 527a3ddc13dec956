"""Bad clients send messages that never end, beside the usual balancers."""

import asyncio
import contextlib
import secrets
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
    find_lost,
    main,
    new_folder,
    settings,
)

HERE = Path(__file__).resolve().parent
RATE = 100.0  # first tries a second
DEADLINE_MS = 6000
BAD_CLIENTS = 120
QUIET_S, BAD_S, AFTER_S = 4.0, 16.0, 4.0
ALLOWED_SHARE = 0.003  # of the tries, without a final answer in their time
PIECE_BYTES = 1024
PIECE_PAUSE_S = 0.1

# A request whose parameters are an array of 64 arrays of 64 maps of 64 pairs of empty strings: over
# half a megabyte, of which a client never gets to send the end.
PAIRS = b"\xde\x00\x40" + b"\xa0\xa0" * 64
ENDLESS = b"\x94\x00\x01\xa6charge" + b"\xdc\x00\x40" + (b"\xdc\x00\x40" + PAIRS * 64) * 64
FIRST_BYTES = 40 << 10


async def send_endlessly(world: World, server: Server, until: float) -> None:
    """Sends a message that never ends; again on a new connection as soon as it is turned away."""
    host, port = server.address.rsplit(":", 1)
    while time.monotonic() < until:
        world.journal.write("bad client connects")
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            ended = asyncio.create_task(reader.read())
            position = FIRST_BYTES
            writer.write(ENDLESS[:position])
            while time.monotonic() < until and not ended.done():
                await asyncio.wait({ended}, timeout=PIECE_PAUSE_S)
                writer.write(ENDLESS[position : position + PIECE_BYTES])
                position += PIECE_BYTES
            ended.cancel()
            await asyncio.gather(ended, return_exceptions=True)
            writer.transport.abort()
        await asyncio.sleep(0.01)


async def play(has_trouble: bool) -> int:
    """Plays the case; returns the exit status."""
    journal = Journal(HERE / "record.txt")
    world = World(journal, seed=6)
    executor = Executor(world, {"balance-view": [15, 15], "charge": [15, 15]})
    catalogue, naming = Catalogue(world, 10), NameService()
    addresses = await executor.listen(), await naming.listen(), await catalogue.listen()
    server = Server(new_folder(), "n1", configuration("n1", *addresses, settings()))
    try:
        await server.start()
        await server.wait_until_healthy(world)
        balancers = [Balancer(world, number, server.address) for number in range(1, 5)]
        started = time.monotonic()
        bad: list[asyncio.Task[None]] = []
        count = 0
        while time.monotonic() < started + QUIET_S + BAD_S + AFTER_S:
            await asyncio.sleep(world.random.expovariate(RATE))
            if has_trouble and not bad and time.monotonic() > started + QUIET_S:
                bad = [
                    asyncio.create_task(send_endlessly(world, server, started + QUIET_S + BAD_S))
                    for _ in range(BAD_CLIENTS)
                ]
            count += 1
            balancer = world.random.choice(balancers)
            if world.random.random() < 0.4:
                attempt = Try("charge", b"charge %d" % count, secrets.token_hex(16), DEADLINE_MS)
            else:
                attempt = Try("balance-view", b"view %d" % count, "", DEADLINE_MS)
            await balancer.submit(attempt)
        await asyncio.gather(*bad)
        await asyncio.sleep(DEADLINE_MS / 1000 + 1)
        is_running = server.process is not None and server.process.returncode is None
        lost = find_lost(world)
        served = sum(attempt.answer == "served" for attempt in world.tries.values())
        share = len(lost) / len(world.tries)
        journal.write(f"tries {len(world.tries)}, served {served}, lost {len(lost)} ({share:.4f})")
        print(
            f"tries {len(world.tries)}, served {served}, without a final answer in their time "
            f"{len(lost)} ({share:.1%}; allowed {ALLOWED_SHARE:.1%}), runs {is_running}"
        )
        for line in lost[:5]:
            print("  ", line)
        return 1 if share > ALLOWED_SHARE or not is_running else 0
    finally:
        await server.end()
        journal.close()


main(play)
