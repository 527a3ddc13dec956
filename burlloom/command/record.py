"""`burlloom record ...`: maintains the store of record."""

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from .shared import exit_on_store_refusal, load_operator_file, operator_option

if TYPE_CHECKING:
    from ..operator import Record
    from ..record.sqlite_admin import SqliteRecordAdmin

POSTGRES_ONLY_ERROR = (
    "this command is for a record in PostgreSQL, which several nodes share;"
    " this record is in SQLite"
)
SQLITE_ONLY_ERROR = (
    "this command is for a record in SQLite; this record is in PostgreSQL, which has its own tools"
)


@click.group()
def record() -> None:
    """Maintain the store of record: inspect, resolve doubts, verify, copy, restore.

    All commands except `init`, `migrate`, `compact` and `restore` may be used while a server uses
    the file.
    """


def load_record_part(path: Path | None) -> "Record":
    """Returns the `record` part of the operator's file.

    Raises:
        click.UsageError: The file has no such part.
    """
    part = load_operator_file(path).record
    if part is None:
        raise click.UsageError(f"{path} has no `record` part: no record is kept")
    return part


def create_admin(path: Path | None, creates_key: bool = False) -> "SqliteRecordAdmin":
    """Returns the administrator of the SQLite record that the operator's file names.

    Args:
        path: The operator's file.
        creates_key: Whether to create the record's key if it is missing.

    Raises:
        click.UsageError: The record is not in SQLite.
        StoreRefusedError: The key can't be used.
    """
    from ..record.factory import load_authenticator
    from ..record.sqlite_admin import SqliteRecordAdmin

    settings = load_record_part(path)
    if settings.sqlite is None:
        raise click.UsageError(SQLITE_ONLY_ERROR)
    return SqliteRecordAdmin(settings.sqlite.file_path(), load_authenticator(settings, creates_key))


@record.command()
@operator_option
def init(operator: Path | None) -> None:
    """Create an empty record and its key."""
    with exit_on_store_refusal():
        admin = create_admin(operator, creates_key=True)
        admin.create()
        click.echo(
            f"{admin.path}: created; store its key with your secrets: without it the record can't"
            " be verified"
        )


@record.command()
@operator_option
@click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
def stats(operator: Path | None, as_json: bool) -> None:
    """Show counts of the record: nodes and their incarnations, keys by state, doubts, sizes."""
    from dataclasses import asdict

    from ..record.sqlite_admin import format_time

    with exit_on_store_refusal():
        settings = load_record_part(operator)
        if settings.sqlite is None:
            from ..record import postgres_admin

            values = asyncio.run(postgres_admin.collect_stats(settings, time.time_ns()))
            click.echo(
                json.dumps(values)
                if as_json
                else "\n".join(f"{name:14} {value}" for name, value in values.items())
            )
            return
        summary = create_admin(operator).collect_stats(time.time_ns())
    if as_json:
        click.echo(json.dumps(asdict(summary)))
        return
    click.echo(f"schema         {summary.schema}")
    click.echo(f"served now     {'yes' if summary.served else 'no'}")
    click.echo(
        "nodes          "
        + (
            ", ".join(
                f"{name} in life {incarnation}" for name, incarnation in summary.nodes.items()
            )
            or "-"
        )
    )
    for name, count in summary.rows.items():
        click.echo(f"{name:14} {count}")
    click.echo(f"in doubt       {summary.doubts}")
    click.echo(f"over           {summary.over}")
    click.echo(
        f"windows end    {format_time(summary.first_end)} to {format_time(summary.last_end)}"
    )
    click.echo(
        f"file           {summary.file_bytes} bytes, {summary.free_bytes} free,"
        f" results {summary.result_bytes}"
    )
    if summary.closed_until > time.time_ns():
        click.echo(f"closed until   {format_time(summary.closed_until)}, since it was restored")


@record.command()
@operator_option
@click.option("--json", "as_json", is_flag=True, help="As JSON lines.")
def doubts(operator: Path | None, as_json: bool) -> None:
    """List requests in doubt: their runs were started, and no end of the run is recorded.

    Repeats of a request in doubt are voided until its window ends.
    """
    from ..record.sqlite_admin import format_time

    now_ns = time.time_ns()
    with exit_on_store_refusal():
        settings = load_record_part(operator)
        if settings.sqlite is None:
            from ..record import postgres_admin

            rows = asyncio.run(postgres_admin.list_in_doubt(settings, now_ns))
        else:
            rows = list(create_admin(operator).list_in_doubt(now_ns))
    for row, verdict in rows:
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
                f"{row.key_digest.hex()}  id={row.request_id} node={row.node}"
                f" life={row.incarnation} at={format_time(row.started_at_ns)}"
                f" until={format_time(row.expires_at_ns)}"
                f"{f' verdict={verdict!r}' if verdict else ''}"
            )
    if not rows and not as_json:
        click.echo("none")


def parse_key_digest(text: str) -> bytes:
    """Returns the key digest that an operator typed.

    Raises:
        click.BadParameter: The text is not 32 hex digits.
    """
    try:
        key_digest = bytes.fromhex(text)
    except ValueError:
        key_digest = b""
    if len(key_digest) != 16:
        raise click.BadParameter("a mark is 32 hex digits, as `burlloom record doubts` lists them")
    return key_digest


@record.command()
@click.argument("mark")
@click.option("--ran", "ran", flag_value="ran", help="It ran: repeats stay voided.")
@click.option("--never-ran", "ran", flag_value="never", help="It never ran: a repeat may run.")
@click.option("--reason", required=True, help="How you know; stored with the verdict.")
@operator_option
def resolve(mark: str, ran: str | None, reason: str, operator: Path | None) -> None:
    """Record whether a request in doubt ran; MARK is its key digest, as `doubts` lists it.

    Find out at the executor first: after --never-ran a repeat of the request runs.
    """
    if ran is None:
        raise click.UsageError("name either --ran or --never-ran")
    with exit_on_store_refusal():
        settings = load_record_part(operator)
        if settings.sqlite is None:
            from ..record import postgres_admin

            message = asyncio.run(
                postgres_admin.resolve(
                    settings, parse_key_digest(mark), ran == "ran", reason, time.time_ns()
                )
            )
        else:
            message = create_admin(operator).resolve(
                parse_key_digest(mark), ran == "ran", reason, time.time_ns()
            )
        click.echo(f"{mark}: {'ran' if ran == 'ran' else 'never ran'}; {message}")


@record.command()
@operator_option
def verify(operator: Path | None) -> None:
    """Check the file's structure and each row's seal; exit with status 1 if there is a fault."""
    with exit_on_store_refusal():
        verification = create_admin(operator).verify()
    for fault in verification.faults:
        click.echo(fault, err=True)
    click.echo(f"{verification.row_count} records, {len(verification.faults)} faults")
    sys.exit(1 if verification.faults else 0)


@record.command()
@operator_option
def compact(operator: Path | None) -> None:
    """Return all free space to the file system; requires that no server uses the file."""
    with exit_on_store_refusal():
        before_bytes, after_bytes = create_admin(operator).compact()
        click.echo(f"{before_bytes} bytes before, {after_bytes} after")


@record.command()
@click.argument("to", type=click.Path(dir_okay=False, path_type=Path))
@operator_option
def snapshot(to: Path, operator: Path | None) -> None:
    """Copy the whole record to a file and verify the copy, also while a server uses the record.

    The key is not copied.
    """
    from ..record.sqlite_snapshot import take_snapshot

    with exit_on_store_refusal():
        verification = take_snapshot(create_admin(operator), to)
        click.echo(f"{to}: {verification.row_count} records, verified")


@record.command()
@click.argument("source", type=click.Path(dir_okay=False, exists=True, path_type=Path))
@click.option(
    "--window-s",
    type=click.FloatRange(0, 86_400),
    required=True,
    help="The longest window of a request class. The record stays closed for charges that long: the"
    " runs since the snapshot are not in it, so their repeats would run again.",
)
@click.option(
    "--nothing-lost",
    is_flag=True,
    help="Open the record at once; only if you know that no charge ran since the snapshot.",
)
@operator_option
def restore(source: Path, window_s: float, nothing_lost: bool, operator: Path | None) -> None:
    """Replace the record with a snapshot; requires that no server uses the file.

    The previous file is kept beside it under another name.
    """
    from ..record.sqlite_admin import format_time
    from ..record.sqlite_snapshot import restore_snapshot

    with exit_on_store_refusal():
        admin = create_admin(operator, creates_key=False)
        closed_until_ns = restore_snapshot(
            admin, source, int(window_s * 1e9), nothing_lost, time.time_ns()
        )
        click.echo(
            f"{admin.path}: restored; "
            + (
                f"closed for charges until {format_time(closed_until_ns)}"
                if closed_until_ns
                else "open at once, as --nothing-lost says that nothing ran since"
            )
        )


@record.command()
@click.argument("source", type=click.Path(dir_okay=False, exists=True, path_type=Path))
@operator_option
def merge(source: Path, operator: Path | None) -> None:
    """Add the rows of a snapshot that the record lacks, also while a server uses the record.

    Rows that are in the record stay as they are.
    """
    from ..record.sqlite_snapshot import merge_snapshot

    with exit_on_store_refusal():
        added_count, considered_count = merge_snapshot(
            create_admin(operator), source, time.time_ns()
        )
        click.echo(f"{added_count} records added of {considered_count} whose window is not over")


@record.command()
@click.option(
    "--to",
    type=click.Path(dir_okay=False, path_type=Path),
    help="File to write; by default standard output.",
)
@operator_option
def export(to: Path | None, operator: Path | None) -> None:
    """Write each row as a line of JSON, with bytes in hex and times in Unix nanoseconds."""
    with exit_on_store_refusal():
        admin = create_admin(operator)
        with click.open_file(str(to) if to is not None else "-", "w") as out:
            for row in admin.export_rows():
                out.write(json.dumps(row) + "\n")


@record.command()
@operator_option
def migrate(operator: Path | None) -> None:
    """Apply the pending steps of the schema; a server does so too when it starts."""
    with exit_on_store_refusal():
        steps = create_admin(operator).migrate()
        click.echo(f"steps taken: {', '.join(map(str, steps)) or 'none'}")


@record.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def key(file: Path) -> None:
    """Create the key that the nodes of one PostgreSQL record share.

    Copy it to each node, readable only by its owner.
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
    click.echo(f"{file}: created")


@record.command()
@click.argument("node")
@operator_option
def fence(node: str, operator: Path | None) -> None:
    """Fence a node off from the shared record.

    It can't write to the record any more, and its unfinished requests are in doubt.
    """
    set_node_fence(node, operator, True)


@record.command()
@click.argument("node")
@operator_option
def unfence(node: str, operator: Path | None) -> None:
    """Allow a fenced node to use the record again from its next start."""
    set_node_fence(node, operator, False)


def set_node_fence(node: str, operator: Path | None, is_fenced: bool) -> None:
    """Fences a node off from the shared record, or allows it again.

    Args:
        node: Name of the node.
        operator: The operator's file.
        is_fenced: Whether the node is to be fenced off.

    Raises:
        click.UsageError: The record is not in PostgreSQL.
    """
    with exit_on_store_refusal():
        settings = load_record_part(operator)
        if settings.postgres is None:
            raise click.UsageError(POSTGRES_ONLY_ERROR)
        from ..record import postgres_admin

        asyncio.run(postgres_admin.set_fence(settings, node, is_fenced))
        click.echo(f"{node}: {'fenced off' if is_fenced else 'may start again'}")
