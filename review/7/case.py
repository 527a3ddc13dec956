"""The link to the executor breaks now and then while runs make calls below."""

import asyncio
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
    main,
    new_folder,
    settings,
)

HERE = Path(__file__).resolve().parent
RATE = 180.0  # tries a second
DEADLINE_MS = 6000
LASTS_S = 96.0
MEAN_PAUSE_S = 1.5  # between two breaks of the link
# For each class the numbers of calls, one drawn for each run: 2 and 1.33 on average.
CALLS = {"balance-view": (1, 2, 3), "charge": (1, 1, 2)}
OUTER_WORK_MS, INNER_WORK_MS = 8.0, 3.0  # before the first call and after the last; between calls


class CallingExecutor(Executor):
    """An executor whose runs make a varying number of calls."""

    def work_of(self, request_class: str) -> list[float]:
        """Returns the work before, between and after the calls of one run, in ms."""
        calls = self.world.random.choice(CALLS[request_class])
        return [OUTER_WORK_MS, *[INNER_WORK_MS] * (calls - 1), OUTER_WORK_MS]


async def break_links(world: World, executor: Executor) -> None:
    """Resets the link to the executor now and then."""
    while True:
        await asyncio.sleep(MEAN_PAUSE_S * (0.5 + world.random.random()))
        executor.break_link()


async def play(has_trouble: bool) -> int:
    """Plays the case; returns the exit status."""
    journal = Journal(HERE / "record.txt")
    world = World(journal, seed=7)
    executor = CallingExecutor(world, {})
    catalogue, naming = Catalogue(world, 4), NameService()
    addresses = await executor.listen(), await naming.listen(), await catalogue.listen()
    server = Server(new_folder(), "n1", configuration("n1", *addresses, settings()))
    try:
        await server.start()
        await server.wait_until_healthy(world)
        balancers = [Balancer(world, number, server.address) for number in range(1, 5)]
        started = time.monotonic()
        trouble = asyncio.create_task(break_links(world, executor)) if has_trouble else None
        count = 0
        while time.monotonic() < started + LASTS_S:
            await asyncio.sleep(world.random.expovariate(RATE))
            count += 1
            if world.random.random() < 0.4:
                attempt = Try("charge", b"charge %d" % count, secrets.token_hex(16), DEADLINE_MS)
            else:
                attempt = Try("balance-view", b"view %d" % count, "", DEADLINE_MS)
            await world.random.choice(balancers).submit(attempt)
        if trouble is not None:
            trouble.cancel()
        await asyncio.sleep(DEADLINE_MS / 1000 + 1)
        served = sum(attempt.answer == "served" for attempt in world.tries.values())
        if served < len(world.tries) / 2:
            raise RuntimeError(f"only {served} of {len(world.tries)} tries were served")
        text = (
            f"tries {len(world.tries)}, served {served}, calls {catalogue.call_count}, links "
            f"{executor.link_count}, replies that are not the call's own {len(world.wrong_replies)}"
        )
        journal.write(text)
        print(text)
        for line in world.wrong_replies[:5]:
            print("  ", line)
        return 1 if world.wrong_replies else 0
    finally:
        await server.end()
        journal.close()


main(play)
