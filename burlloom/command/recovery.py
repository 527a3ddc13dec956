"""`burlloom recovery ...`: what a server's last life left, and whether the next one would believe
it.
"""

import sys
import time
from pathlib import Path

import click

from .shared import operator_file, operator_option

MEANS = {
    "good": "peers and the store are asked; then its hints are used",
    "missing": "a cold start",
    "torn": "a cold start, and the fence",
    "foreign": "of another name: a cold start, and the fence",
    "future": "told later than now, a clock was stepped: a cold start, and the fence",
    "old": "a cold start; the fence, unless it drained",
}


@click.group()
def recovery() -> None:
    """Coming back: what the last life left to the next."""


@recovery.command()
@operator_option
@click.option("--node", help="The server's name; by default the one in the file.")
def show(operator: Path | None, node: str | None) -> None:
    """What stands in the state file, and what a start now would make of it. Status 1 if it would
    not be believed.
    """
    from ..recovery import RecoverySnapshot, SnapshotValidity, parse_snapshot, validate_snapshot

    part = operator_file(operator).recovery
    if part is None or part.state_file is None:
        raise click.UsageError(f"{operator} has no recovery.state_file: each start is cold")
    path = Path(part.state_file)
    try:
        found = parse_snapshot(path.read_text(encoding="utf-8") if path.exists() else None)
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"burlloom: {path}: {error}", err=True)
        sys.exit(2)
    now = time.time_ns() // 1_000_000
    verdict = validate_snapshot(
        found, node or (found.node if isinstance(found, RecoverySnapshot) else ""), now, part.age_ms
    )
    if isinstance(found, RecoverySnapshot):
        click.echo(
            f"{found.node}: life {found.incarnation}, told {(now - found.written_at_ms) / 1000:.1f} s ago,"
            f" {'drained' if found.was_drained else 'serving when it was told'}; share {found.call_share:g},"
            f" record life {found.record_incarnation}, {len(found.peer_addresses)} addresses"
        )
    click.echo(f"{path}: {verdict.name.lower()}: {MEANS[verdict.name.lower()]}")
    sys.exit(0 if verdict is SnapshotValidity.GOOD else 1)
