"""Simulated peers and a client for one burlloom server, at the addresses in configuration.json.

    python examples/toy.py world     runs an executor, a downstream service and a name service
                                     until Ctrl-C
    python examples/toy.py ask 5     sends five requests, then repeats the last one

Each run of the executor makes one downstream call and takes 100 ms after it; its result is the body
in capitals.
"""

import asyncio
import json
import secrets
import sys
from pathlib import Path

from burlloom.fakes.parts import Balancer, Catalogue, Executor, NameService, Reply, fields

CONFIGURATION = json.loads((Path(__file__).parent / "configuration.json").read_text())


async def answer_call(id: str) -> Reply:
    """Answers a downstream call after 20 ms."""
    await asyncio.sleep(0.02)
    print(f"downstream: a call for {id}")
    return 200, False, b"fetched"


async def execute(executor: Executor) -> None:
    """Runs the server's commands as its executor would."""
    bodies: dict[str, bytes] = {}

    async def finish_run(id: str) -> None:
        """Ends a run 100 ms from now."""
        await asyncio.sleep(0.1)
        print(f"executor: {id} is done")
        executor.exit(id, result=bodies.pop(id).upper())

    tasks: set[asyncio.Task[None]] = set()
    while True:
        command, id, *_ = await executor.commands.get()
        print(f"executor: {command} {id}")
        if command == "EXEC":
            bodies[id] = executor.bodies[id]
            executor.callout(id, b"what goes with " + bodies[id])
        else:
            tasks.add(asyncio.create_task(finish_run(id)))
        tasks = {task for task in tasks if not task.done()}


async def run_peers() -> None:
    """Runs the server's peers, and prints each load report that differs from the last one."""
    executor = await Executor().start(CONFIGURATION["executor"])
    await Catalogue(answer_call).start(CONFIGURATION["catalog"])
    name_service = await NameService().start(CONFIGURATION["naming"])
    print("the simulated peers are ready; start the server now", flush=True)
    execution = asyncio.create_task(execute(executor))
    last_report = ""
    while not execution.done():
        report = await name_service.reports.get()
        if report != last_report:
            print(f"name service: {report}")
        last_report = report


async def send_requests(count: int) -> None:
    """Sends this many requests, then repeats the last one, which must not run again.

    Only the last request and its repeat carry an idempotency key.
    """
    balancer = await Balancer(CONFIGURATION["listen"]).open()
    _, (is_healthy, description) = await balancer.health()
    print(f"health: {is_healthy} {description}")
    idempotency_key = secrets.token_hex(16)
    for index in range(count + 1):
        has_key = index >= count - 1
        headers = fields(cost="100", **({"once": idempotency_key} if has_key else {}))
        body = f"txn {min(index, count - 1) + 1}".encode()
        error, result = await balancer.ask("pay" if has_key else "look", headers, body)
        print(f"{headers['id']} {body.decode()}: {error or result}")
    balancer.close()


def main() -> None:
    """Runs the subcommand in the arguments, or prints the usage."""
    try:
        if sys.argv[1:] == ["world"]:
            asyncio.run(run_peers())
        elif (
            len(sys.argv) == 3
            and sys.argv[1] == "ask"
            and sys.argv[2].isdigit()
            and int(sys.argv[2])
        ):
            asyncio.run(send_requests(int(sys.argv[2])))
        else:
            sys.exit(__doc__)
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
