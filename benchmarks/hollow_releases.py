"""Runs the rollout part of many servers in one process, without the servers.

They write their reports to the rollout's store, and drain and return as the shared state permits.
The reports of a round are written in one transaction.
"""

import asyncio
import time
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from typing import Any

import uvloop

from burlloom.rollout import DrainAgent, RequestCounts, ServerPhase, ServerReport
from burlloom.rollout.stores import StoreUnavailableError
from burlloom.rollout.stores.sqlite import SqliteRolloutStore

ROUND_S = 0.5  # interval at which the store is read
REPORT_INTERVAL_S = 1.0
DOWN_S = 2.0  # time from leaving until the next incarnation serves
FORMER_VERSION, NEXT_VERSION = "v1", "v2"
REQUESTS_PER_REPORT = 100  # requests that each server settles between two reports


def part_of(folder: Path) -> dict[str, Any]:
    """Returns the rollout section of the operator's file of the leading server.

    That server runs the next version already.
    """
    return {
        "version": NEXT_VERSION,
        "store": {"sqlite": {"path": str(folder / "agreed.db")}},
        "out_most": 1,
        "out_share": 0.1,
        "waves": ["100%"],
    }


class HollowServer:
    """A server of which only the reports and the drain agent exist."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name, self.incarnation, self.version, self.beat = name, incarnation, FORMER_VERSION, 0
        self.drain_agent, self.down_until_s = DrainAgent(name, incarnation), 0.0

    def next_report(self) -> ServerReport:
        """Returns the next report."""
        self.beat += 1
        return ServerReport(
            self.name,
            self.incarnation,
            self.beat,
            ServerPhase.SERVING,
            True,
            self.version,
            0,
            RequestCounts(REQUESTS_PER_REPORT * self.beat),
        )


async def run_rounds(pipe: Pipe, path: Path, servers: list[HollowServer]) -> None:
    """Runs rounds of all servers, and executes commands from the pipe, until told to end."""
    store = SqliteRolloutStore(path)
    await store.open()
    snapshot, reported_at_s, over = None, 0.0, False
    while not over:
        now_s = time.monotonic()
        try:
            if now_s - reported_at_s >= REPORT_INTERVAL_S:
                reported_at_s = now_s
                await store.execute("BEGIN IMMEDIATE")
                for server in servers:
                    if now_s >= server.down_until_s:
                        await store.write_report(server.next_report())
                await store.execute("COMMIT")
            snapshot = await store.read(snapshot)
            while pipe.poll():
                match pipe.recv():
                    case "start":
                        pipe.send(
                            await store.compare_and_swap(
                                snapshot, snapshot.state.start_release(NEXT_VERSION, (1.0,), False)
                            )
                        )
                    case "see":
                        pipe.send(
                            (
                                len(snapshot.state.servers),
                                snapshot.state.release.phase.name,
                                snapshot.state.leader,
                            )
                        )
                    case "over":
                        over = True
                snapshot = await store.read(snapshot)
            for server in servers:
                if (
                    now_s >= server.down_until_s
                    and server.drain_agent.process_state(snapshot.state) == "begin"
                ):
                    new_state = server.drain_agent.begin_drain(snapshot.state)
                    if new_state is not None and await store.compare_and_swap(snapshot, new_state):
                        server.version, server.down_until_s = (
                            new_state.find_next_version(server.name),
                            now_s + DOWN_S,
                        )
                        server.incarnation, server.beat = server.incarnation + 1, 0
                        server.drain_agent = DrainAgent(server.name, server.incarnation)
                    else:
                        server.drain_agent = DrainAgent(server.name, server.incarnation)
                    snapshot = await store.read(snapshot)
        except StoreUnavailableError:
            snapshot = None  # another process held the store for long; this round is skipped
        await asyncio.sleep(ROUND_S)
    await store.close()


def run_servers(pipe: Pipe, path: str, names: list[str]) -> None:
    """Runs the named servers in a process, until the command "over" arrives."""
    incarnation = time.time_ns() // 1_000_000
    uvloop.run(run_rounds(pipe, Path(path), [HollowServer(name, incarnation) for name in names]))
