"""`burlloom record ...`: look after the store of record."""

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from .shared import operator_file, operator_option, told_plainly

if TYPE_CHECKING:
    from ..operator import Record
    from ..record.sqlite_admin import SqliteRecordAdmin

FLEET_ONLY = "this is for a record in PostgreSQL, which several nodes share; here it is SQLite"
FILE_ONLY = "this is for a record in SQLite; PostgreSQL has tools of its own for it"


@click.group()
def record() -> None:
    """Look after the store of record: look, resolve doubts, verify, copy, put back.

    All but `init`, `migrate`, `compact` and `restore` may be used while a server has the file.
    """


def section(operator: Path | None) -> "Record":
    found = operator_file(operator).record
    if found is None:
        raise click.UsageError(f"{operator} keeps no record: it has no `record` part")
    return found


def admin_of(operator: Path | None, make: bool = False) -> "SqliteRecordAdmin":
    from ..record.factory import load_authenticator
    from ..record.sqlite_admin import SqliteRecordAdmin

    told = section(operator)
    if told.sqlite is None:
        raise click.UsageError(FILE_ONLY)
    return SqliteRecordAdmin(told.sqlite.file_path(), load_authenticator(told, make))


@record.command()
@operator_option
def init(operator: Path | None) -> None:
    """Make an empty record and its key."""
    with told_plainly():
        admin = admin_of(operator, make=True)
        admin.create()
        click.echo(
            f"{admin.path}: made; keep its key with your secrets, a record without it proves nothing"
        )


@record.command()
@operator_option
@click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
def stats(operator: Path | None, as_json: bool) -> None:
    """What the record holds: nodes and their lives, marks by fate, doubts, sizes."""
    from dataclasses import asdict

    from ..record.sqlite_admin import format_time

    with told_plainly():
        told = section(operator)
        if told.sqlite is None:
            from ..record import postgres_admin

            got = asyncio.run(postgres_admin.collect_stats(told, time.time_ns()))
            click.echo(
                json.dumps(got)
                if as_json
                else "\n".join(f"{name:14} {value}" for name, value in got.items())
            )
            return
        found = admin_of(operator).collect_stats(time.time_ns())
    if as_json:
        click.echo(json.dumps(asdict(found)))
        return
    click.echo(f"schema         {found.schema}")
    click.echo(f"served now     {'yes' if found.served else 'no'}")
    click.echo(
        "nodes          "
        + (", ".join(f"{name} in life {life}" for name, life in found.nodes.items()) or "-")
    )
    for name, count in found.rows.items():
        click.echo(f"{name:14} {count}")
    click.echo(f"in doubt       {found.doubts}")
    click.echo(f"over           {found.over}")
    click.echo(f"windows end    {format_time(found.first_end)} to {format_time(found.last_end)}")
    click.echo(
        f"file           {found.file_bytes} bytes, {found.free_bytes} free, results {found.result_bytes}"
    )
    if found.closed_until > time.time_ns():
        click.echo(f"closed until   {format_time(found.closed_until)}, since it was restored")


@record.command()
@operator_option
@click.option("--json", "as_json", is_flag=True, help="As JSON lines.")
def doubts(operator: Path | None, as_json: bool) -> None:
    """List charges that were begun and of whose end nobody knows. Their repeats are voided till
    their window ends.
    """
    from ..record.sqlite_admin import format_time

    now = time.time_ns()
    with told_plainly():
        told = section(operator)
        if told.sqlite is None:
            from ..record import postgres_admin

            found = asyncio.run(postgres_admin.list_in_doubt(told, now))
        else:
            found = list(admin_of(operator).list_in_doubt(now))
    for row, verdict in found:
        if as_json:
            click.echo(
                json.dumps(
                    {
                        "mark": row.key_digest.hex(),
                        "id": row.request_id,
                        "node": row.node,
                        "life": row.incarnation,
                        "at": row.started_at_ns,
                        "until": row.expires_at_ns,
                        "verdict": verdict,
                    }
                )
            )
        else:
            click.echo(
                f"{row.key_digest.hex()}  id={row.request_id} node={row.node} life={row.incarnation} at={format_time(row.started_at_ns)}"
                f" until={format_time(row.expires_at_ns)}{f' verdict={verdict!r}' if verdict else ''}"
            )
    if not found and not as_json:
        click.echo("none")


def mark_of(text: str) -> bytes:
    try:
        found = bytes.fromhex(text)
    except ValueError:
        found = b""
    if len(found) != 16:
        raise click.BadParameter("a mark is 32 hex digits, as `burlloom record doubts` lists them")
    return found


@record.command()
@click.argument("mark")
@click.option("--ran", "ran", flag_value="ran", help="It ran: repeats stay voided.")
@click.option("--never-ran", "ran", flag_value="never", help="It never ran: a repeat may run.")
@click.option("--reason", required=True, help="How you know; it is kept with the verdict.")
@operator_option
def resolve(mark: str, ran: str | None, reason: str, operator: Path | None) -> None:
    """Say of a doubt whether the charge ran. Look it up at the executor first: never-ran lets it
    run again.
    """
    if ran is None:
        raise click.UsageError("say --ran or --never-ran")
    with told_plainly():
        told = section(operator)
        if told.sqlite is None:
            from ..record import postgres_admin

            said = asyncio.run(
                postgres_admin.resolve(told, mark_of(mark), ran == "ran", reason, time.time_ns())
            )
        else:
            said = admin_of(operator).resolve(mark_of(mark), ran == "ran", reason, time.time_ns())
        click.echo(f"{mark}: {'ran' if ran == 'ran' else 'never ran'}; {said}")


@record.command()
@operator_option
def verify(operator: Path | None) -> None:
    """Look at the file's structure and at each record's seal; status 1 if anything is wrong."""
    with told_plainly():
        found = admin_of(operator).verify()
    for fault in found.faults:
        click.echo(fault, err=True)
    click.echo(f"{found.row_count} records, {len(found.faults)} faults")
    sys.exit(1 if found.faults else 0)


@record.command()
@operator_option
def compact(operator: Path | None) -> None:
    """Give all free space back to the disk. Wants the file alone."""
    with told_plainly():
        before, after = admin_of(operator).compact()
        click.echo(f"{before} bytes before, {after} after")


@record.command()
@click.argument("to", type=click.Path(dir_okay=False, path_type=Path))
@operator_option
def snapshot(to: Path, operator: Path | None) -> None:
    """Copy the record to a file, whole and verified, also while it is served. The key is not
    copied.
    """
    from ..record.sqlite_snapshot import take_snapshot

    with told_plainly():
        found = take_snapshot(admin_of(operator), to)
        click.echo(f"{to}: {found.row_count} records, verified")


@record.command()
@click.argument("source", type=click.Path(dir_okay=False, exists=True, path_type=Path))
@click.option(
    "--window-s",
    type=click.FloatRange(0, 86_400),
    required=True,
    help="The longest window of a product: so long the record stays closed for charges, as what ran since"
    " the snapshot is not in it, and would run again.",
)
@click.option(
    "--nothing-lost",
    is_flag=True,
    help="You know that no charge ran since the snapshot: open at once.",
)
@operator_option
def restore(source: Path, window_s: float, nothing_lost: bool, operator: Path | None) -> None:
    """Put a snapshot in place. Wants the file alone; what was there is kept beside it under another
    name.
    """
    from ..record.sqlite_admin import format_time
    from ..record.sqlite_snapshot import restore_snapshot

    with told_plainly():
        admin = admin_of(operator, make=False)
        closed = restore_snapshot(admin, source, int(window_s * 1e9), nothing_lost, time.time_ns())
        click.echo(
            f"{admin.path}: restored; "
            + (
                f"closed for charges until {format_time(closed)}"
                if closed
                else "open at once, on your word that nothing ran since"
            )
        )


@record.command()
@click.argument("source", type=click.Path(dir_okay=False, exists=True, path_type=Path))
@operator_option
def merge(source: Path, operator: Path | None) -> None:
    """Add what a snapshot has and the record lacks, also while it is served; what stands is left as
    it is.
    """
    from ..record.sqlite_snapshot import merge_snapshot

    with told_plainly():
        added, looked_at = merge_snapshot(admin_of(operator), source, time.time_ns())
        click.echo(f"{added} records added of {looked_at} whose window is not over")


@record.command()
@click.option(
    "--to", type=click.Path(dir_okay=False, path_type=Path), help="A file; else standard output."
)
@operator_option
def export(to: Path | None, operator: Path | None) -> None:
    """Write each record as a line of JSON; bytes as hex, times in Unix nanoseconds."""
    with told_plainly():
        admin = admin_of(operator)
        with click.open_file(str(to) if to is not None else "-", "w") as out:
            for one in admin.export_rows():
                out.write(json.dumps(one) + "\n")


@record.command()
@operator_option
def migrate(operator: Path | None) -> None:
    """Take the schema's missing steps; a server does so too when it starts."""
    with told_plainly():
        taken = admin_of(operator).migrate()
        click.echo(f"steps taken: {', '.join(map(str, taken)) or 'none'}")


@record.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def key(file: Path) -> None:
    """Make the key that the nodes of one PostgreSQL record share; give each node a copy, readable
    to its owner.
    """
    from ..record.authentication import create_key

    if file.exists():
        click.echo(f"burlloom: {file}: exists already", err=True)
        sys.exit(2)
    try:
        create_key(file)
    except OSError as error:
        click.echo(f"burlloom: {file}: {error.strerror}", err=True)
        sys.exit(2)
    click.echo(f"{file}: made")


@record.command()
@click.argument("node")
@operator_option
def fence(node: str, operator: Path | None) -> None:
    """Shut a node out of the shared record: it writes nothing any more, and what it had begun is in
    doubt.
    """
    fencing(node, operator, True)


@record.command()
@click.argument("node")
@operator_option
def unfence(node: str, operator: Path | None) -> None:
    """Let a fenced node back in, with its next start."""
    fencing(node, operator, False)


def fencing(node: str, operator: Path | None, out: bool) -> None:
    with told_plainly():
        told = section(operator)
        if told.postgres is None:
            raise click.UsageError(FLEET_ONLY)
        from ..record import postgres_admin

        asyncio.run(postgres_admin.set_fence(told, node, out))
        click.echo(f"{node}: {'fenced off' if out else 'may start again'}")
