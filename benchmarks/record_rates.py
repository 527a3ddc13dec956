"""Measures what a record costs: its throughput, and the latency that it adds at a steady rate.

    python benchmarks/record_rates.py store     claims and ends on the stores alone, 64 charges open at a time
    python benchmarks/record_rates.py program   the whole server on loopback: 140 charges a second, Poisson arrivals
    python benchmarks/record_rates.py start     time to listen with 10 thousand and a million records read back
    python benchmarks/record_rates.py slow      store slower than the latency objective, charges and balance views at full load

A charge is a keyed request (`pay`), a balance view one without a key (`look`). Latencies count from
the moment at which a request was due to be sent. Histograms are HdrHistograms in us.
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
from burlloom.fakes.postgres import Postgres as FakePostgres  # noqa: E402
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

AUTHENTICATOR = RowAuthenticator(b"k" * 32)
RESULT = b"r" * 200


def sync_ms(folder: Path) -> float:
    """Returns the median time in ms of a 4 KiB write with its fsync in the folder."""
    durations_s = []
    with open(folder / "probe", "wb") as file:
        for _ in range(200):
            started_at_s = time.perf_counter()
            file.write(b"x" * 4096)
            file.flush()
            os.fsync(file.fileno())
            durations_s.append(time.perf_counter() - started_at_s)
    return statistics.median(durations_s) * 1e3


async def write_row(store: Any, kind: WriteKind, row: RecordRow) -> WriteResult:
    """Submits a write of the row with its MAC, and waits for its result."""
    future: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
    store.submit(
        RecordWrite(kind, row._replace(mac=AUTHENTICATOR.compute_mac(row))), future.set_result
    )
    return await future


class SlowSyncStore(SqliteStore):
    """Sleeps 2 ms before each COMMIT, to stand for a disk whose sync takes that long.

    Many servers have such a disk.
    """

    def hit_failpoint(self, batch: Any, name: str) -> None:
        """Sleeps at the failpoint before a COMMIT."""
        if name == "commit":
            time.sleep(0.002)


async def measure_rate(
    store: Any, duration_s: float, concurrency: int = 64
) -> tuple[float, HdrHistogram]:
    """Measures charges on a store, each a durable claim and a durable end with its result.

    Args:
        store: The opened and started store.
        duration_s: For how long charges are started, in seconds.
        concurrency: The number of charges that are open at a time.

    Returns:
        The charges per second, and the histogram of the claims' latencies in us.
    """
    claim_latency = HdrHistogram(1, 60_000_000, 3)
    done, until = 0, time.perf_counter() + duration_s

    async def write_charges() -> None:
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
            started_at_s = time.perf_counter()
            assert (
                await write_row(store, WriteKind.CLAIM, row)
            ).outcome is RequestEvent.WRITE_APPLIED
            claim_latency.record_value(int((time.perf_counter() - started_at_s) * 1e6))
            assert (
                await write_row(
                    store, WriteKind.FINISH, row._replace(state=ROW_COMPLETED, result=RESULT)
                )
            ).outcome is RequestEvent.WRITE_APPLIED
            done += 1

    await asyncio.gather(*(write_charges() for _ in range(concurrency)))
    return done / duration_s, claim_latency


async def measure_stores() -> None:
    """Prints the charges per second and the claim latency of each store and batch size."""
    with tempfile.TemporaryDirectory(dir=os.environ.get("BENCH_DIR")) as name:
        folder = Path(name)
        print(f"one sync of this disk: {sync_ms(folder):.2f} ms (median of 200)")
        print(
            "| store | charges a second | claim p50 ms | claim p99 ms | writes a commit | bytes a charge |"
        )
        print("| --- | --- | --- | --- | --- | --- |")
        rates: dict[str, list[float]] = {}
        for repetition in range(3):
            for disk, make_store in (("this disk", SqliteStore), ("2 ms a sync", SlowSyncStore)):
                for label, batch in (("a commit for each", 1), ("group commit", 256)):
                    path = folder / f"{batch}-{repetition}-{disk[0]}.db"
                    store = make_store(path, AUTHENTICATOR, "n1", max_batch=batch)
                    await store.open()
                    await store.start()
                    rate, claim_latency = await measure_rate(store, 3)
                    await store.close()
                    rates.setdefault(f"{disk} {batch}", []).append(rate)
                    print_store_row(
                        f"SQLite, {disk}, {label}",
                        rate,
                        claim_latency,
                        store,
                        path.stat().st_size / (rate * 3),
                    )
        fake_postgres = await FakePostgres(folder).start()
        host, port = fake_postgres.address.split(":")
        postgres_store = PostgresStore(
            PostgresDatabase(host, int(port), "b", "b", ""), AUTHENTICATOR, "n1", clock=lambda: 0
        )
        await postgres_store.open()
        await postgres_store.start()
        rate, claim_latency = await measure_rate(postgres_store, 4)
        print_store_row(
            "PostgreSQL stand-in (in the same process)", rate, claim_latency, postgres_store, 0
        )
        await postgres_store.close()
        await fake_postgres.stop()
        median_rates = {name: statistics.median(values) for name, values in rates.items()}
        for disk in ("this disk", "2 ms a sync"):
            print(
                f"{disk}: group commit carries {median_rates[f'{disk} 256'] / median_rates[f'{disk} 1']:.1f} times what a commit"
                " for each does (medians of three)"
            )


def print_store_row(
    label: str, rate: float, claim_latency: HdrHistogram, store: Any, bytes_per_charge: float
) -> None:
    """Prints one row of the table of stores."""
    print(
        f"| {label} | {rate:.0f} | {claim_latency.get_value_at_percentile(50) / 1e3:.1f} |"
        f" {claim_latency.get_value_at_percentile(99) / 1e3:.1f} | {store.write_count / max(1, store.commits):.1f} |"
        f" {bytes_per_charge:.0f} |",
        flush=True,
    )


class LoadGenerator:
    """Sends requests with Poisson arrivals, and executes their runs.

    Args:
        rig: The rig of the server.
        run_s: How long each run takes, in seconds.
        seed: The seed of arrivals, products and connections.
    """

    def __init__(self, rig: Rig, run_s: float, seed: int) -> None:
        self.rig, self.run_s, self.random = rig, run_s, random.Random(seed)
        self.latency = {
            "pay": HdrHistogram(1, 60_000_000, 3),
            "look": HdrHistogram(1, 60_000_000, 3),
        }
        self.count: dict[tuple[str, str], int] = {}
        self.ends: set[asyncio.Task[None]] = set()

    async def execute(self) -> None:
        """Acts as the executor: ends each run after `run_s` seconds."""
        loop = asyncio.get_running_loop()
        while True:
            _, id, *_ = await self.rig.executor.commands.get()
            loop.call_later(self.run_s, self.rig.executor.exit, id, "PASS", RESULT)

    async def run(self, duration_s: float, rates: dict[str, float]) -> None:
        """Sends requests for `duration_s` seconds, then waits up to 10 s for their answers.

        Args:
            duration_s: For how long requests are sent, in seconds.
            rates: The requests per second of each product.
        """
        executor_task = asyncio.create_task(self.execute())
        balancers = [await self.rig.balancer() for _ in range(4)]
        started_at_s, total_rate = time.perf_counter(), sum(rates.values())
        offset_s = 0.0
        request_tasks = []
        while (offset_s := offset_s + self.random.expovariate(total_rate)) < duration_s:
            await asyncio.sleep(max(0, started_at_s + offset_s - time.perf_counter()))
            product = self.random.choices(list(rates), list(rates.values()))[0]
            request_tasks.append(
                asyncio.create_task(
                    self.send_request(
                        self.random.choice(balancers), product, started_at_s + offset_s
                    )
                )
            )
        await asyncio.wait(request_tasks, timeout=10)
        for task in request_tasks:
            if not task.done():
                self.count["?", "unanswered"] = self.count.get(("?", "unanswered"), 0) + 1
        executor_task.cancel()

    async def send_request(self, balancer: Balancer, product: str, due_at_s: float) -> None:
        """Sends a request, and records its outcome and its latency since it was due."""
        key_header = {"once": os.urandom(16).hex()} if product == "pay" else {}
        error, _ = await balancer.ask(product, fields(cost="5", **key_header))
        latency_s = time.perf_counter() - due_at_s
        outcome = (
            "settled"
            if error is None
            else {"Backoff": "declined", "Voided": "voided"}.get(error[0], error[0])
        )
        self.count[product, outcome] = self.count.get((product, outcome), 0) + 1
        if latency_s > 6.05:
            self.count[product, "past its due time"] = (
                self.count.get((product, "past its due time"), 0) + 1
            )
        if error is None:
            self.latency[product].record_value(int(latency_s * 1e6))

    def format_row(self, label: str, product: str) -> str:
        """Returns the table row of a product: its latency and the count of each outcome."""
        latency = self.latency[product]
        counts = ", ".join(
            f"{outcome} {count}"
            for (counted_product, outcome), count in sorted(self.count.items())
            if counted_product == product
        )
        return (
            f"| {label} | {product} | {latency.get_value_at_percentile(50) / 1e3:.1f} |"
            f" {latency.get_value_at_percentile(99) / 1e3:.1f} | {counts} |"
        )


async def measure_program() -> None:
    """Prints the latency of charges through the whole server, for each kind of record."""
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
            fake_postgres = await FakePostgres(folder).start()
            load_key(folder / "key", True)
            record: dict[str, Any] | None = {
                "sqlite": {"path": str(folder / "record.db"), "batch_most": 256}
            }
            if "each" in label:
                record = {"sqlite": {"path": str(folder / "record.db"), "batch_most": 1}}
            if "PostgreSQL" in label:
                record = {
                    "postgres": {"address": fake_postgres.address, "key_file": str(folder / "key")}
                }
            if label == "none":
                record = None
            rig = Rig(
                folder,
                operator={"record": record} if record else None,
                n_cores=32,
                memory_kb=400000,
            )
            async with rig:
                generator = LoadGenerator(rig, 0.02, 3)
                await generator.run(20, {"pay": 140})
                print(generator.format_row(label, "pay"), flush=True)
            await fake_postgres.stop()


async def measure_start() -> None:
    """Prints the time until a server listens that reads many records back, and its memory."""
    for count in (10_000, 1_000_000):
        with tempfile.TemporaryDirectory(dir=os.environ.get("BENCH_DIR")) as name:
            folder = Path(name)
            authenticator = RowAuthenticator(load_key(folder / "record.db.key", True))
            store = SqliteStore(folder / "record.db", authenticator, "n1")
            store.open_without_event_loop()
            assert store.db is not None
            until = time.time_ns() + 600 * 10**9
            rows = (
                row._replace(mac=authenticator.compute_mac(row))
                for row in (
                    RecordRow(os.urandom(16), ROW_COMPLETED, "n1", 1, 1, "0" * 16, 1, until, RESULT)
                    for _ in range(count)
                )
            )
            store.db.execute("BEGIN")
            store.db.executemany("INSERT INTO fate VALUES (?,?,?,?,?,?,?,?,?,?)", rows)
            store.db.execute("COMMIT")
            store.release()
            size_bytes = (folder / "record.db").stat().st_size
            start_s, resident_kb = [], 0
            for _ in range(3):
                rig = Rig(
                    folder, operator={"record": {"sqlite": {"path": str(folder / "record.db")}}}
                )
                started_at_s = time.perf_counter()
                async with rig:
                    start_s.append(time.perf_counter() - started_at_s)
                    status = Path(f"/proc/{rig.process.pid}/status").read_text()
                    resident_kb = int(status.split("VmRSS:")[1].split()[0])
                    log_fields = rig.log().split("event=record_opened")[1].split("\n")[0]
            print(
                f"{count} records, {size_bytes >> 20} MiB: up after {statistics.median(start_s):.2f} s (median of 3, the"
                f" interpreter's start with it), resident {resident_kb >> 10} MiB;{log_fields}"
            )


async def measure_slow_store() -> None:
    """Prints the latency of charges and balance views while the store is slow.

    The load is modelled on that of bergen-hall, which has ten balance views to each charge, and
    comes near what 32 concurrent runs carry. An optional argument skips that many rows.
    """
    for label, commit_delay_s in (
        ("no record", None),
        ("store at ease", 0.0),
        ("each commit takes 2 s", 2.0),
    )[int(sys.argv[2]) if len(sys.argv) > 2 else 0 :]:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            fake_postgres = await FakePostgres(folder).start()
            load_key(folder / "key", True)
            operator = (
                None
                if commit_delay_s is None
                else {
                    "record": {
                        "postgres": {
                            "address": fake_postgres.address,
                            "key_file": str(folder / "key"),
                            "hang_ms": 10_000,
                        }
                    }
                }
            )
            rig = Rig(folder, operator=operator, n_cores=8, memory_kb=400000)
            async with rig:
                fake_postgres.faults.commit_delay_s = commit_delay_s or 0.0
                generator = LoadGenerator(rig, 0.04, 3)
                await generator.run(20, {"look": 160, "pay": 30})
                for product in ("look", "pay"):
                    print(generator.format_row(label, product), flush=True)
                for (product, outcome), count in generator.count.items():
                    if product == "?":
                        print(f"{outcome}: {count}")
                fake_postgres.faults.commit_delay_s = 0.0
            await fake_postgres.stop()


if __name__ == "__main__":
    assert sqlite3.sqlite_version_info >= (3, 35)
    asyncio.run(
        {
            "store": measure_stores,
            "program": measure_program,
            "start": measure_start,
            "slow": measure_slow_store,
        }[sys.argv[1]]()
    )
