"""What a record costs: charges a second at 64 open, and what it adds to each at a steady rate.

    python benchmarks/record_rates.py store     claims and ends on the stores alone, 64 charges open at a time
    python benchmarks/record_rates.py program   the whole program on loopback: 140 charges a second, Poisson arrivals
    python benchmarks/record_rates.py start     time to listen with 10 thousand and a million records read back
    python benchmarks/record_rates.py slow      the store slowed past the SLA time, charges and balance views at full load

Latencies count from the moment that a charge was to be sent. Histograms by HdrHistogram.
"""

import asyncio
import os
import random
import sqlite3
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from rig import Rig  # noqa: E402

from burlloom.fakes.parts import Balancer, fields  # noqa: E402
from burlloom.fakes.postgres import Postgres as StandIn  # noqa: E402
from burlloom.record.authentication import RowAuthenticator, load_key  # noqa: E402
from burlloom.record.postgres import PostgresStore  # noqa: E402
from burlloom.record.postgres_database import PostgresDatabase  # noqa: E402
from burlloom.record.request_lifecycle import RequestEvent  # noqa: E402
from burlloom.record.rows import (
    ROW_COMPLETED,
    ROW_STARTED,
    RecordRow,
    RecordWrite,
    WriteKind,
    WriteResult,
)  # noqa: E402
from burlloom.record.sqlite import SqliteStore  # noqa: E402

SEALER = RowAuthenticator(b"k" * 32)
RESULT = b"r" * 200


def sync_ms(folder: Path) -> float:
    """The median of a 4 KiB write and its sync here."""
    times = []
    with open(folder / "probe", "wb") as file:
        for _ in range(200):
            began = time.perf_counter()
            file.write(b"x" * 4096)
            file.flush()
            os.fsync(file.fileno())
            times.append(time.perf_counter() - began)
    return statistics.median(times) * 1e3


async def ask(store: Any, kind: WriteKind, row: RecordRow) -> WriteResult:
    future: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
    store.submit(RecordWrite(kind, row._replace(mac=SEALER.compute_mac(row))), future.set_result)
    return await future


class Slower(SqliteStore):
    """On a disk whose sync takes two milliseconds, as many a server's does: slept before each
    COMMIT.
    """

    def hit_failpoint(self, batch: Any, name: str) -> None:
        if name == "commit":
            time.sleep(0.002)


async def rate(store: Any, seconds: float, opened: int = 64) -> tuple[float, HdrHistogram]:
    """Charges a second, each a durable claim and a durable end with its result."""
    told = HdrHistogram(1, 60_000_000, 3)
    done, until = 0, time.perf_counter() + seconds

    async def one() -> None:
        nonlocal done
        while time.perf_counter() < until:
            row = RecordRow(
                os.urandom(16),
                ROW_STARTED,
                store.node,
                store.incarnation,
                1,
                "0" * 16,
                1,
                time.time_ns() + 18 * 10**9,
            )
            began = time.perf_counter()
            assert (await ask(store, WriteKind.CLAIM, row)).outcome is RequestEvent.WRITE_APPLIED
            told.record_value(int((time.perf_counter() - began) * 1e6))
            assert (
                await ask(store, WriteKind.FINISH, row._replace(state=ROW_COMPLETED, result=RESULT))
            ).outcome is RequestEvent.WRITE_APPLIED
            done += 1

    await asyncio.gather(*(one() for _ in range(opened)))
    return done / seconds, told


async def stores() -> None:
    with tempfile.TemporaryDirectory(dir=os.environ.get("BENCH_DIR")) as name:
        folder = Path(name)
        print(f"one sync of this disk: {sync_ms(folder):.2f} ms (median of 200)")
        print(
            "| store | charges a second | claim p50 ms | claim p99 ms | writes a commit | bytes a charge |"
        )
        print("| --- | --- | --- | --- | --- | --- |")
        rates: dict[str, list[float]] = {}
        for turn in range(3):
            for disk, make in (("this disk", SqliteStore), ("2 ms a sync", Slower)):
                for label, batch in (("a commit for each", 1), ("group commit", 256)):
                    path = folder / f"{batch}-{turn}-{disk[0]}.db"
                    store = make(path, SEALER, "n1", max_batch=batch)
                    await store.open()
                    await store.start()
                    got, told = await rate(store, 3)
                    await store.close()
                    rates.setdefault(f"{disk} {batch}", []).append(got)
                    line(
                        f"SQLite, {disk}, {label}",
                        got,
                        told,
                        store,
                        path.stat().st_size / (got * 3),
                    )
        standin = await StandIn(folder).start()
        host, port = standin.address.split(":")
        pg = PostgresStore(
            PostgresDatabase(host, int(port), "b", "b", ""), SEALER, "n1", clock=lambda: 0
        )
        await pg.open()
        await pg.start()
        got, told = await rate(pg, 4)
        line("PostgreSQL stand-in (in the same process)", got, told, pg, 0)
        await pg.close()
        await standin.stop()
        middle = {name: statistics.median(one) for name, one in rates.items()}
        for disk in ("this disk", "2 ms a sync"):
            print(
                f"{disk}: group commit carries {middle[f'{disk} 256'] / middle[f'{disk} 1']:.1f} times what a commit"
                " for each does (medians of three)"
            )


def line(label: str, got: float, told: HdrHistogram, store: Any, size: float) -> None:
    print(
        f"| {label} | {got:.0f} | {told.get_value_at_percentile(50) / 1e3:.1f} |"
        f" {told.get_value_at_percentile(99) / 1e3:.1f} | {store.write_count / max(1, store.commits):.1f} |"
        f" {size:.0f} |",
        flush=True,
    )


class Drive:
    """Arrivals at a rate; the executor ends each run after `work` seconds."""

    def __init__(self, rig: Rig, work: float, seed: int) -> None:
        self.rig, self.work, self.chance = rig, work, random.Random(seed)
        self.told = {"pay": HdrHistogram(1, 60_000_000, 3), "look": HdrHistogram(1, 60_000_000, 3)}
        self.count: dict[tuple[str, str], int] = {}
        self.ends: set[asyncio.Task[None]] = set()

    async def execute(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            _, id, *_ = await self.rig.executor.commands.get()
            loop.call_later(self.work, self.rig.executor.exit, id, "PASS", RESULT)

    async def play(self, seconds: float, rates: dict[str, float]) -> None:
        working = asyncio.create_task(self.execute())
        balancers = [await self.rig.balancer() for _ in range(4)]
        began, total = time.perf_counter(), sum(rates.values())
        at = 0.0
        asks = []
        while (at := at + self.chance.expovariate(total)) < seconds:
            await asyncio.sleep(max(0, began + at - time.perf_counter()))
            product = self.chance.choices(list(rates), list(rates.values()))[0]
            asks.append(
                asyncio.create_task(self.one(self.chance.choice(balancers), product, began + at))
            )
        await asyncio.wait(asks, timeout=10)
        for task in asks:
            if not task.done():
                self.count["?", "unanswered"] = self.count.get(("?", "unanswered"), 0) + 1
        working.cancel()

    async def one(self, balancer: Balancer, product: str, intended: float) -> None:
        more = {"once": os.urandom(16).hex()} if product == "pay" else {}
        error, _ = await balancer.ask(product, fields(cost="5", **more))
        took = time.perf_counter() - intended
        how = (
            "settled"
            if error is None
            else {"Backoff": "declined", "Voided": "voided"}.get(error[0], error[0])
        )
        self.count[product, how] = self.count.get((product, how), 0) + 1
        if took > 6.05:
            self.count[product, "past its due time"] = (
                self.count.get((product, "past its due time"), 0) + 1
            )
        if error is None:
            self.told[product].record_value(int(took * 1e6))

    def line(self, label: str, product: str) -> str:
        told = self.told[product]
        counts = ", ".join(
            f"{how} {count}" for (one, how), count in sorted(self.count.items()) if one == product
        )
        return (
            f"| {label} | {product} | {told.get_value_at_percentile(50) / 1e3:.1f} |"
            f" {told.get_value_at_percentile(99) / 1e3:.1f} | {counts} |"
        )


async def program() -> None:
    print("| record | product | p50 ms | p99 ms | answers |")
    print("| --- | --- | --- | --- | --- |")
    for label in (
        "none",
        "SQLite, a commit for each",
        "SQLite, group commit",
        "PostgreSQL stand-in",
    ):
        with tempfile.TemporaryDirectory(dir=os.environ.get("BENCH_DIR")) as name:
            folder = Path(name)
            standin = await StandIn(folder).start()
            load_key(folder / "key", True)
            record: dict[str, Any] | None = {
                "sqlite": {"path": str(folder / "record.db"), "batch_most": 256}
            }
            if "each" in label:
                record = {"sqlite": {"path": str(folder / "record.db"), "batch_most": 1}}
            if "PostgreSQL" in label:
                record = {"postgres": {"address": standin.address, "key_file": str(folder / "key")}}
            if label == "none":
                record = None
            rig = Rig(
                folder,
                operator={"record": record} if record else None,
                n_cores=32,
                memory_kb=400000,
            )
            async with rig:
                drive = Drive(rig, 0.02, 3)
                await drive.play(20, {"pay": 140})
                print(drive.line(label, "pay"), flush=True)
            await standin.stop()


async def start() -> None:
    for count in (10_000, 1_000_000):
        with tempfile.TemporaryDirectory(dir=os.environ.get("BENCH_DIR")) as name:
            folder = Path(name)
            sealer = RowAuthenticator(load_key(folder / "record.db.key", True))
            store = SqliteStore(folder / "record.db", sealer, "n1")
            store.open_without_event_loop()
            assert store.db is not None
            until = time.time_ns() + 600 * 10**9
            rows = (
                row._replace(mac=sealer.compute_mac(row))
                for row in (
                    RecordRow(os.urandom(16), ROW_COMPLETED, "n1", 1, 1, "0" * 16, 1, until, RESULT)
                    for _ in range(count)
                )
            )
            store.db.execute("BEGIN")
            store.db.executemany("INSERT INTO fate VALUES (?,?,?,?,?,?,?,?,?,?)", rows)
            store.db.execute("COMMIT")
            store.release()
            size = (folder / "record.db").stat().st_size
            took, resident = [], 0
            for _ in range(3):
                rig = Rig(
                    folder, operator={"record": {"sqlite": {"path": str(folder / "record.db")}}}
                )
                began = time.perf_counter()
                async with rig:
                    took.append(time.perf_counter() - began)
                    status = Path(f"/proc/{rig.process.pid}/status").read_text()
                    resident = int(status.split("VmRSS:")[1].split()[0])
                    found = rig.log().split("event=record_opened")[1].split("\n")[0]
            print(
                f"{count} records, {size >> 20} MiB: up after {statistics.median(took):.2f} s (median of 3, the"
                f" interpreter's start with it), resident {resident >> 10} MiB;{found}"
            )


async def slow() -> None:
    """Rates of bergen-hall's kind: balance views ten to each charge, near what 32 runs at a time
    carry.
    """
    for label, delay in (
        ("no record", None),
        ("store at ease", 0.0),
        ("each commit takes 2 s", 2.0),
    )[int(sys.argv[2]) if len(sys.argv) > 2 else 0 :]:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            standin = await StandIn(folder).start()
            load_key(folder / "key", True)
            operator = (
                None
                if delay is None
                else {
                    "record": {
                        "postgres": {
                            "address": standin.address,
                            "key_file": str(folder / "key"),
                            "hang_ms": 10_000,
                        }
                    }
                }
            )
            rig = Rig(folder, operator=operator, n_cores=8, memory_kb=400000)
            async with rig:
                standin.faults.commit_delay_s = delay or 0.0
                drive = Drive(rig, 0.04, 3)
                await drive.play(20, {"look": 160, "pay": 30})
                for product in ("look", "pay"):
                    print(drive.line(label, product), flush=True)
                for (product, how), count in drive.count.items():
                    if product == "?":
                        print(f"{how}: {count}")
                standin.faults.commit_delay_s = 0.0
            await standin.stop()


if __name__ == "__main__":
    assert sqlite3.sqlite_version_info >= (3, 35)
    asyncio.run({"store": stores, "program": program, "start": start, "slow": slow}[sys.argv[1]]())
