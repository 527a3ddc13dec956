"""What a log line costs: the formatter of burlloom/server/logs.py against structlog's, in time and
resident memory.

python benchmarks/log_lines.py
"""

import io
import logging
import subprocess
import sys
import time

LINES = 100_000
SAY = "event=connection_closed side=balancer peer=%s reason=%s requests=%d responses=%d bad_requests=%d unanswered=%d detail=%r"
VALUES = ("127.0.0.1:4711", "idle_timeout", 12, 12, 0, 0, "")


def resident() -> int:
    with open("/proc/self/status") as file:
        return int(file.read().split("VmRSS:")[1].split()[0])


def ours() -> float:
    from burlloom.server.logs import KeyValueFormatter

    handler = logging.StreamHandler(io.StringIO())
    handler.setFormatter(KeyValueFormatter())
    log = logging.getLogger("burlloom.bench")
    log.addHandler(handler)
    log.setLevel(logging.INFO)
    log.propagate = False
    began = time.perf_counter()
    for _ in range(LINES):
        log.info(SAY, *VALUES)
    return time.perf_counter() - began


def structlogs() -> float:
    import structlog

    out = io.StringIO()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", key="ts"),
            structlog.processors.LogfmtRenderer(key_order=["ts", "level", "event"]),
        ],
        logger_factory=structlog.PrintLoggerFactory(out),
        cache_logger_on_first_use=True,
    )
    log = structlog.get_logger()
    began = time.perf_counter()
    for _ in range(LINES):
        log.info(
            "connection_closed",
            side="balancer",
            peer=VALUES[0],
            reason=VALUES[1],
            requests=12,
            responses=12,
            bad_requests=0,
            unanswered=0,
            detail="",
        )
    return time.perf_counter() - began


def main() -> None:
    if len(sys.argv) == 1:
        for name in ("ours", "structlog"):
            subprocess.run([sys.executable, __file__, name], check=True)
        return
    before = resident()
    took = ours() if sys.argv[1] == "ours" else structlogs()
    print(
        f"{sys.argv[1]}: {took / LINES * 1e6:.2f} us a line, {(resident() - before) / 1024:.1f} MiB with the lines"
    )
    began = time.perf_counter()
    code = "import logging" if sys.argv[1] == "ours" else "import logging, structlog"
    out = subprocess.run(
        [
            sys.executable,
            "-c",
            f"{code}\nprint(open('/proc/self/status').read().split('VmRSS:')[1].split()[0])",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    print(
        f"    imports: {int(out.stdout) / 1024:.1f} MiB resident, {(time.perf_counter() - began) * 1e3:.0f} ms"
    )


if __name__ == "__main__":
    main()
