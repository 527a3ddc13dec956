"""`burlloom recovery ...`: shows a server's state file and whether a restart would use it."""

import sys
import time
from pathlib import Path

import click

from .shared import load_operator_file, operator_option

# Describes how a server starts, by the validity of its state file.
START_BY_VALIDITY = {
    "good": "peers and the store are asked; then its hints are used",
    "missing": "a cold start",
    "torn": "a cold start, and the fence",
    "foreign": "written by a server of another name: a cold start, and the fence",
    "future": "written later than now, so a clock was set: a cold start, and the fence",
    "old": "a cold start; the fence, unless the server had drained",
}


@click.group()
def recovery() -> None:
    """Recovery after a restart: the state that an incarnation leaves to the next."""


@recovery.command()
@operator_option
@click.option("--node", help="The server's name; by default the one in the state file.")
def show(operator: Path | None, node: str | None) -> None:
    """Show the state file, and what a server that starts now would do with it.

    Exits with status 1 if the server would not use it.
    """
    from ..recovery import RecoverySnapshot, SnapshotValidity, parse_snapshot, validate_snapshot

    part = load_operator_file(operator).recovery
    if part is None or part.state_file is None:
        raise click.UsageError(f"{operator} has no recovery.state_file: each start is cold")
    path = Path(part.state_file)
    try:
        snapshot = parse_snapshot(path.read_text(encoding="utf-8") if path.exists() else None)
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"burlloom: {path}: {error}", err=True)
        sys.exit(2)
    now_ms = time.time_ns() // 1_000_000
    validity = validate_snapshot(
        snapshot,
        node or (snapshot.node if isinstance(snapshot, RecoverySnapshot) else ""),
        now_ms,
        part.age_ms,
    )
    if isinstance(snapshot, RecoverySnapshot):
        click.echo(
            f"{snapshot.node}: life {snapshot.incarnation},"
            f" told {(now_ms - snapshot.written_at_ms) / 1000:.1f} s ago,"
            f" {'drained' if snapshot.was_drained else 'serving when it was written'};"
            f" share {snapshot.call_share:g}, record life {snapshot.record_incarnation},"
            f" {len(snapshot.peer_addresses)} addresses"
        )
    click.echo(f"{path}: {validity.name.lower()}: {START_BY_VALIDITY[validity.name.lower()]}")
    sys.exit(0 if validity is SnapshotValidity.GOOD else 1)
