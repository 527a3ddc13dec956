"""Starts and controls the host processes of a scale run, which hold hollow servers.

Sends them commands and reads their reports, one JSON object a line, and reads their processor time
and memory from /proc. No process is left running: a host ends at the end of its input.
"""

import asyncio
import json
import os
import sys
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from burlloom.lab.distances import Place  # noqa: E402

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
HOST_TIMEOUT_S = 120.0  # limit for a host to open, to answer and to end; then it is killed
KEY = "6b" * 32


def usage(pid: int) -> tuple[float, int]:
    """Returns the processor time of a process in s, and its resident memory in bytes."""
    stat_fields = (
        Path(f"/proc/{pid}/stat")
        .read_text(encoding="ascii", errors="replace")
        .rpartition(")")[2]
        .split()
    )
    return (int(stat_fields[11]) + int(stat_fields[12])) / TICKS_PER_SECOND, int(
        stat_fields[21]
    ) * PAGE_BYTES


def row(place: Place) -> list[Any]:
    """Returns a place in the form that hosts read."""
    return [place.name, place.region, place.zone, place.rack]


@dataclass
class Host:
    """A host process.

    Attributes:
        name: The name of the host.
        servers: The places of the hollow servers that the host holds.
        cores: The settings of the cores of each server.
        record: The file to which the host writes its events.
        main: Arguments of the Python interpreter.
        process: The process, once it is open.
        addresses: The addresses of each server by kind, once it is open.
        seconds: The host's reports, one a second.
        faults: The faults that the host reported.
        costs: The answers to `ask`.
    """

    name: str
    servers: Sequence[Place]
    cores: dict[str, Any]
    record: Path
    main: Sequence[str] = ("-m", "burlloom.lab.hollow")
    process: asyncio.subprocess.Process | None = None
    addresses: dict[str, dict[str, str]] = field(default_factory=dict)
    seconds: list[dict[str, Any]] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    costs: asyncio.Queue[dict[str, list[int]]] = field(default_factory=asyncio.Queue)

    async def open(self, seed: int) -> None:
        """Starts the process, and waits until its servers have addresses."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.main,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 26,
        )
        self.order(
            "begin",
            seed=seed,
            cores=self.cores,
            servers=[row(place) for place in self.servers],
            record=str(self.record),
        )
        assert self.process.stdout is not None
        async with asyncio.timeout(HOST_TIMEOUT_S):
            report = json.loads(await self.process.stdout.readline())
        assert report["is"] == "open", report
        self.addresses = report["addresses"]
        self.reading = asyncio.create_task(self.read())

    async def read(self) -> None:
        """Reads reports until the host ends."""
        assert self.process is not None
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            report = json.loads(line)
            if report["is"] == "second":
                self.seconds.append(report)
            elif report["is"] == "costs":
                self.costs.put_nowait(report["costs"])
            else:
                self.faults.append(report["detail"])

    def order(self, do: str, **arguments: Any) -> None:
        """Sends a command, unless the process has ended."""
        assert self.process is not None
        assert self.process.stdin is not None
        if self.process.returncode is None:
            self.process.stdin.write(json.dumps({"do": do, **arguments}).encode() + b"\n")

    async def ask(self) -> dict[str, list[int]]:
        """Asks for the costs of each server, and returns them."""
        self.order("ask")
        async with asyncio.timeout(HOST_TIMEOUT_S):
            return await self.costs.get()

    async def close(self) -> None:
        """Ends the process, and kills it if it does not end in time."""
        if self.process is None:
            return
        assert self.process.stdin is not None
        self.order("end")
        self.process.stdin.close()
        try:
            async with asyncio.timeout(HOST_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        await self.reading


class Hosts:
    """All host processes of a run.

    Args:
        folder: The folder of the hosts' event files.
        groups: For each process, its servers and the settings of their cores.
        seed: The seed from which the seed of each host is derived.
        main: Arguments of the Python interpreter.
        opening: The number of processes that are started at a time.
    """

    def __init__(
        self,
        folder: Path,
        groups: Sequence[tuple[Sequence[Place], dict[str, Any]]],
        seed: int,
        main: Sequence[str] = ("-m", "burlloom.lab.hollow"),
        opening: int = 100,
    ) -> None:
        self.seed, self.opening = seed, asyncio.Semaphore(opening)
        self.hosts = [
            Host(f"host{index}", group, cores, folder / f"host{index}.jsonl", main)
            for index, (group, cores) in enumerate(groups)
        ]
        self.by_name = {place.name: (host, place) for host in self.hosts for place in host.servers}
        self.extra: list[list[Any]] = []  # addresses and places of servers outside of the hosts

    async def __aenter__(self) -> "Hosts":
        async def open_host(index: int, host: Host) -> None:
            async with self.opening:
                await host.open(self.seed * 1009 + index)

        await asyncio.gather(*(open_host(index, host) for index, host in enumerate(self.hosts)))
        return self

    async def __aexit__(self, *exception: Any) -> None:
        await asyncio.gather(*(host.close() for host in self.hosts))

    def places(self) -> list[list[Any]]:
        """Returns the place of each address of each server."""
        return [
            [address, *row(place)]
            for host in self.hosts
            for place in host.servers
            for address in host.addresses[place.name].values()
        ]

    def address(self, name: str, kind: str) -> str:
        """Returns the address of a server's core of a kind."""
        return self.by_name[name][0].addresses[name][kind]

    def tell(self, do: str, **arguments: Any) -> None:
        """Sends a command to all hosts."""
        for host in self.hosts:
            host.order(do, **arguments)

    def tell_names(self, do: str, names: Iterable[str], **arguments: Any) -> None:
        """Sends a command for the named servers to the hosts that hold them."""
        by_host: dict[str, list[str]] = {}
        for name in names:
            by_host.setdefault(self.by_name[name][0].name, []).append(name)
        for host in self.hosts:
            if host.name in by_host:
                host.order(do, names=by_host[host.name], **arguments)

    def lag(self, since: int) -> float:
        """Returns the longest lag of a host's event loop in ms, in reports since a time.

        Args:
            since: The time in ns, as `clock` returns it.
        """
        return max(
            (
                report["lag_ms"]
                for host in self.hosts
                for report in host.seconds
                if report["at"] >= since
            ),
            default=0.0,
        )

    def facts(self) -> dict[str, float]:
        """Returns the sum over all hosts of the facts of their last report."""
        sums: dict[str, float] = {}
        for host in self.hosts:
            for name, value in (host.seconds[-1]["facts"] if host.seconds else {}).items():
                sums[name] = sums.get(name, 0) + value
        return sums

    def up(self) -> int:
        """Returns the number of servers that run."""
        return sum(host.seconds[-1]["up"] for host in self.hosts if host.seconds)

    def views(self) -> int:
        """Returns the number of different views of the fleet."""
        return sum(name.startswith("view ") for name in self.facts())

    async def costs(self) -> dict[str, list[int]]:
        """Returns the costs of each server."""
        costs: dict[str, list[int]] = {}
        for host_costs in await asyncio.gather(*(host.ask() for host in self.hosts)):
            costs |= host_costs
        return costs


def clock() -> int:
    """Returns the time in ns of the clock that goes on while the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def spread(places: Sequence[Place], processes: int) -> list[list[Place]]:
    """Distributes the places evenly over at most `processes` groups."""
    return [list(places[first::processes]) for first in range(min(processes, len(places)))]
