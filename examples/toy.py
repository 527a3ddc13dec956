"""A toy world for one burlloom server, with the addresses of configuration.json beside this file.

    python examples/toy.py world     an executor, a catalogue and a name service, until Ctrl-C
    python examples/toy.py ask 5     a balancer that asks for five txns, and once more for the last

The executor's runs make one call each and take a tenth of a second after it; their result is the
body in capitals.
"""

import asyncio
import json
import secrets
import sys
from pathlib import Path

from burlloom.fakes.parts import Balancer, Catalogue, Executor, NameService, Reply, fields

TOLD = json.loads((Path(__file__).parent / "configuration.json").read_text())


async def reply(id: str) -> Reply:
    await asyncio.sleep(0.02)
    print(f"catalogue: a call for {id}")
    return 200, False, b"fetched"


async def work(executor: Executor) -> None:
    bodies: dict[str, bytes] = {}

    async def end(id: str) -> None:
        await asyncio.sleep(0.1)
        print(f"executor: {id} is done")
        executor.exit(id, result=bodies.pop(id).upper())

    ends: set[asyncio.Task[None]] = set()
    while True:
        command, id, *_ = await executor.commands.get()
        print(f"executor: {command} {id}")
        if command == "EXEC":
            bodies[id] = executor.bodies[id]
            executor.callout(id, b"what goes with " + bodies[id])
        else:
            ends.add(asyncio.create_task(end(id)))
        ends = {task for task in ends if not task.done()}


async def world() -> None:
    executor = await Executor().start(TOLD["executor"])
    await Catalogue(reply).start(TOLD["catalog"])
    naming = await NameService().start(TOLD["naming"])
    print("the toy world is up; start the server now", flush=True)
    working = asyncio.create_task(work(executor))
    last = ""
    while not working.done():
        report = await naming.reports.get()
        if report != last:
            print(f"name service: {report}")
        last = report


async def ask(count: int) -> None:
    balancer = await Balancer(TOLD["listen"]).open()
    _, (good, said) = await balancer.health()
    print(f"health: {good} {said}")
    once = secrets.token_hex(16)
    for turn in range(count + 1):
        last = turn >= count - 1  # and one repeat of it, which must not run again
        told = fields(cost="100", **({"once": once} if last else {}))
        body = f"txn {min(turn, count - 1) + 1}".encode()
        error, result = await balancer.ask("pay" if last else "look", told, body)
        print(f"{told['id']} {body.decode()}: {error or result}")
    balancer.close()


def main() -> None:
    try:
        if sys.argv[1:] == ["world"]:
            asyncio.run(world())
        elif (
            len(sys.argv) == 3
            and sys.argv[1] == "ask"
            and sys.argv[2].isdigit()
            and int(sys.argv[2])
        ):
            asyncio.run(ask(int(sys.argv[2])))
        else:
            sys.exit(__doc__)
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
