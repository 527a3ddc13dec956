"""`burlloom distribution ...`: runs control machines, writes changes and shows what is in force."""

import asyncio
import json
import os
import secrets
import signal
import socket
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..signals import unblock_signals
from ..time_units import NS_PER_MS, NS_PER_SECOND
from .shared import exit_on_store_refusal, load_operator_file, operator_option, read_state_file

if TYPE_CHECKING:
    from ..distribution.changes import ConfigItem
    from ..distribution.stores import ChangeStore
    from ..operator import Distribution, Operator

# A process rewrites its state file while it runs: if the state is older than this, the process has
# ended or hangs.
STALE_AFTER_S = 5
MAX_FILE_BYTES = 64 << 20  # a larger file of changes is rejected
MAX_SHOWN_FAULTS = 1000  # of one file; further faults are only counted
# A store that is unavailable is retried for ten seconds in all.
MAX_STORE_ATTEMPTS, STORE_RETRY_INTERVAL_S = 20, 0.5
ITEM_KINDS = ("tenant", "route", "setting")


@click.group()
def distribution() -> None:
    """Distributed configuration: run a control machine, write changes, show what is in force."""


def load_distribution_part(path: Path | None) -> tuple["Operator", "Distribution"]:
    """Returns the operator's file and its `distribution` part.

    Raises:
        click.UsageError: The file has no such part.
    """
    settings = load_operator_file(path)
    if settings.distribution is None:
        raise click.UsageError(f"{path} has no `distribution` part")
    return settings, settings.distribution


def create_store(settings: "Operator") -> "ChangeStore":
    """Returns the store of changes that the operator's file names; it is not opened yet.

    Raises:
        click.UsageError: The file names no store.
    """
    from ..distribution.stores.factory import create_change_store

    location = settings.distribution_store()
    if location is None:
        raise click.UsageError(
            "distribution.store is not set and there is no record; only control machines with a"
            " store accept changes"
        )
    with exit_on_store_refusal():
        return create_change_store(location)


@distribution.command()
@operator_option
@click.option(
    "--name",
    default=None,
    help="This machine's name in the `upstreams` of other files; by default the host's name.",
)
def serve(operator: Path | None, name: str | None) -> None:
    """Run a control machine in the foreground until SIGTERM.

    It reads new changes from the store every 200 ms, and follows its peers in `upstreams` while
    the store is unavailable. Without a store it is a relay, which only follows its peers.
    """
    from ..distribution.control_node import ControlNode
    from ..distribution.endpoint import bind_datagram_socket
    from ..distribution.status_report import KeyFile
    from ..server.logs import configure_logging

    settings, part = load_distribution_part(operator)
    store = create_store(settings) if settings.distribution_store() is not None else None
    if store is None and not part.upstreams:
        raise click.UsageError(
            "neither a store nor distribution.upstreams is set: there is nothing to follow"
        )
    try:
        sock = bind_datagram_socket(part.listen)
        exposed = None
        if settings.metrics is not None:
            from ..metrics import MetricsExporter

            listen = (
                settings.metrics.listen.rsplit(":", 1)
                if settings.metrics.listen is not None
                else None
            )
            exposed = MetricsExporter(
                Path(settings.metrics.file) if settings.metrics.file is not None else None,
                settings.metrics.every_ms / 1000,
                (listen[0], int(listen[1])) if listen else None,
            )
    except OSError as error:
        click.echo(f"burlloom: distribution.listen or metrics.listen: {error.strerror}", err=True)
        sys.exit(2)
    configure_logging()

    async def run() -> None:
        """Runs the control machine until a signal stops it."""
        control = ControlNode(
            name or socket.gethostname(),
            part.region,
            sock,
            KeyFile(Path(part.key_file), part.load_keys, "seals"),
            KeyFile(Path(part.signing_key_file), part.load_signing_keys, "signing"),
            part.replication_settings(),
            part.allowed_upstreams(),
            store,
            part.state_file,
        )
        if exposed is not None:
            exposed.add_numbers("burlloom_distribution", control.metrics, control.gauges)
        # SIGHUP needs no reload: the key files are checked every second anyway.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, control.stop)
        # The parent process may have blocked these signals, and a child inherits the signal mask.
        unblock_signals()
        await control.run()
        if exposed is not None:
            exposed.close()

    import uvloop

    uvloop.run(run())


def read_changes(text: str) -> tuple[list[tuple[int, str, list["ConfigItem"]]], list[str]]:
    """Reads a file of changes, one JSON object per line; empty lines are skipped.

    Returns:
        The line number, scope and entries of each change; then all faults, each with line and
        place.
    """
    from ..distribution.changes import InvalidChangeError, initial_head
    from ..distribution.proposal import propose

    changes: list[tuple[int, str, list[ConfigItem]]] = []
    faults: list[str] = []
    for line_number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        try:
            value = json.loads(line)
        except (ValueError, RecursionError) as error:
            faults.append(f"line {line_number}: no JSON: {error}")
            continue
        scope, entries, line_faults = parse_change(value)
        if not line_faults:
            # The checks of a change do not depend on the changes before it, so any head will do.
            try:
                propose(initial_head(1, 0), scope, entries, 0, b"-" * 16, find_value_faults)
            except InvalidChangeError as error:
                line_faults = error.faults
        faults += [f"line {line_number}: {fault}" for fault in line_faults]
        changes.append((line_number, scope, entries))
    if not changes and not faults:
        faults.append("line 1: the file contains no change")
    return changes, faults


def parse_change(value: Any) -> tuple[str, list["ConfigItem"], list[str]]:
    """Returns the scope, the entries and the faults of a change.

    Args:
        value: A decoded line, for example `{"scope": "", "entries": [{"kind": "tenant", "key":
            "acme", "value": {"portion": 2}}]}`. A missing scope is all regions.
    """
    import msgpack

    from ..distribution.changes import ConfigItem

    if not isinstance(value, dict):
        return "", [], ["no object"]
    faults = [f"{name}: unknown key" for name in value if name not in ("scope", "entries")]
    scope, raw_entries = value.get("scope", ""), value.get("entries")
    if not isinstance(scope, str):
        faults.append("scope: no text")
    if not isinstance(raw_entries, list):
        return "", [], [*faults, "entries: no list"]
    entries: list[ConfigItem] = []
    for index, raw_entry in enumerate(raw_entries):
        place = f"entries[{index}]"
        if not isinstance(raw_entry, dict):
            faults.append(f"{place}: no object")
            continue
        faults += [
            f"{place}.{name}: unknown key"
            for name in raw_entry
            if name not in ("kind", "key", "value")
        ]
        faults += [
            f"{place}.{name}: is missing"
            for name in ("kind", "key", "value")
            if name not in raw_entry
        ]
        entry_value, packed = raw_entry.get("value"), None
        if isinstance(entry_value, dict):
            try:
                packed = msgpack.packb(entry_value)
            except (ValueError, OverflowError, RecursionError) as error:
                faults.append(f"{place}.value: can't be packed: {error}")
        elif entry_value is not None:
            faults.append(f"{place}.value: no object, and not null, which deletes")
        entries.append(
            ConfigItem(scope, raw_entry.get("kind", ""), raw_entry.get("key", ""), packed)
        )
    return scope, entries, faults


def find_value_faults(entry: "ConfigItem") -> list[str]:
    """Returns the faults in the value of an entry; only values of tenants are checked."""
    import msgpack

    if entry.kind != "tenant" or entry.value is None:
        return []
    portion = msgpack.unpackb(entry.value).get("portion", 1)
    if isinstance(portion, bool) or not isinstance(portion, int | float) or not 0 < portion <= 1e9:
        return [f"value.portion: {portion!r:.40} is no number over 0 and up to 1e9"]
    return []


@distribution.command()
@operator_option
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def put(operator: Path | None, file: Path) -> None:
    """Write the changes in FILE to the store, in order; each line is a change in JSON.

    Example: {"scope": "", "entries": [{"kind": "tenant", "key": "acme", "value": {"portion": 2}},
    ...]}. A value of null deletes the item. If the file has any fault, no change is written, and
    all faults are listed, each with its line and place.
    """
    settings, part = load_distribution_part(operator)
    try:
        if file.stat().st_size > MAX_FILE_BYTES:
            raise click.UsageError(f"{file}: the file is larger than {MAX_FILE_BYTES} bytes")
        changes, faults = read_changes(file.read_text(encoding="utf-8"))
    except UnicodeDecodeError as error:
        changes, faults = [], [f"byte {error.start} is not UTF-8"]
    if faults:
        for fault in faults[:MAX_SHOWN_FAULTS]:
            click.echo(f"{file}: {fault}", err=True)
        if len(faults) > MAX_SHOWN_FAULTS:
            click.echo(f"{file}: and {len(faults) - MAX_SHOWN_FAULTS} more", err=True)
        click.echo(f"{file}: nothing was taken", err=True)
        sys.exit(2)
    written_count, last_revision, store_error = asyncio.run(
        append_changes(create_store(settings), changes, part.load_signing_keys()[0])
    )
    if written_count < len(changes):
        click.echo(
            f"burlloom: {store_error}; {written_count} of {len(changes)} changes were taken, up to"
            f" line {changes[written_count - 1][0] if written_count else 0}. Run the command again"
            " once the store is available: changes that are already in the store do no harm",
            err=True,
        )
        sys.exit(1)
    click.echo(f"{written_count} changes taken; the last is revision {last_revision}")


async def append_changes(
    store: "ChangeStore", changes: list[tuple[int, str, list["ConfigItem"]]], key: bytes
) -> tuple[int, int, str]:
    """Appends the changes to the store in order; retries while the store is unavailable.

    Args:
        store: Not opened yet; closed on return.
        changes: The line number, scope and entries of each.
        key: Signs the changes.

    Returns:
        The number of changes written, the last revision, and the last error of the store. Fewer
        changes are written than given if `MAX_STORE_ATTEMPTS` attempts in a row failed.
    """
    from ..distribution.stores import StoreUnavailableError

    written_count = last_revision = failed_attempts = 0
    is_open, sent, store_error = False, None, ""
    try:
        while written_count < len(changes):
            _, scope, entries = changes[written_count]
            try:
                if not is_open:
                    await store.open()
                    is_open = True
                if sent is not None and await store.change_at(sent.revision) == sent:
                    # The store was lost after it had written the change and before it answered.
                    is_written = True
                else:
                    sent = await propose_next(store, scope, entries, key)
                    is_written = await store.append(sent)
                if is_written:
                    written_count, last_revision, failed_attempts = (
                        written_count + 1,
                        sent.revision,
                        0,
                    )
                sent = None
            except StoreUnavailableError as error:
                is_open, failed_attempts, store_error = False, failed_attempts + 1, str(error)
                if failed_attempts >= MAX_STORE_ATTEMPTS:
                    break
                await asyncio.sleep(STORE_RETRY_INTERVAL_S)
    finally:
        await store.close()
    return written_count, last_revision, store_error


async def propose_next(
    store: "ChangeStore", scope: str, entries: list["ConfigItem"], key: bytes
) -> Any:
    """Returns the change that would follow the newest one in the store.

    Args:
        store: Open.
        scope: A region, or empty for all.
        entries: The items to set or delete.
        key: Signs the change.

    Raises:
        StoreUnavailableError: The store could not be read.
    """
    from ..distribution.proposal import propose

    return propose(
        await store.head(), scope, entries, time.time_ns() // NS_PER_MS, key, find_value_faults
    )


def format_duration(duration_ms: int | None) -> str:
    """Returns a duration in seconds, or "never" for None."""
    return "never" if duration_ms is None else f"{duration_ms / 1000:.1f} s"


@distribution.command()
@operator_option
@click.option(
    "--json", "as_json", is_flag=True, help="The state as the process wrote it, one JSON object."
)
def show(operator: Path | None, as_json: bool) -> None:
    """Show what is in force on this machine and how old it is.

    On a control machine, also show how many followers it has and how far they are behind.
    """
    _, part = load_distribution_part(operator)
    state = read_state_file(part.state_file, "distribution.state_file", "what is in force")
    if as_json:
        click.echo(json.dumps(state))
        return
    age_s = (time.time_ns() - state["told_at"]) / NS_PER_SECOND
    sync_state = state.get("state", state["role"])
    click.echo(
        f"{state['name']} ({state['role']}, {state['region']}): "
        + (
            f"epoch {state['epoch']} revision {state['revision']}"
            if state["revision"] is not None
            else "nothing in force"
        )
        + f", {sync_state}, surely the newest {format_duration(state['age_ms'])} ago"
        + (
            f"; written {age_s:.0f} s ago: the process has stopped or hangs"
            if age_s > STALE_AFTER_S
            else ""
        )
    )
    click.echo(
        "  "
        + ", ".join(f"{count} {kind}s" for kind, count in state["entries"].items())
        + f"; digest {state['digest']}"
    )
    if state["role"] == "server":
        click.echo(f"  follows {state['upstream']}")
    else:
        click.echo(
            f"  {state['followers']} of at most {state['followers_most']} follow,"
            f" {state['behind']} of them behind"
            + (
                f"; the lowest has revision {state['lowest_revision']} and lacks a change that is"
                f" {format_duration(state['lacking_ms'])} old"
                if state["behind"]
                else ""
            )
        )
        if state["store_away"]:
            click.echo(f"  the store is unavailable: {state['store_away']}")
        if state["follows"] is not None:
            click.echo(f"  follows {state['follows']['upstream']}, {state['follows']['state']}")
    refused = state["counts"]["refused"]
    for reason, count in sorted(refused.items(), key=lambda item: -item[1]):
        click.echo(f"  refused {count}: {reason}")


@distribution.command()
@operator_option
@click.argument("kind", type=click.Choice(ITEM_KINDS))
@click.argument("key")
def explain(operator: Path | None, kind: str, key: str) -> None:
    """Show the value in force of KIND KEY, its scope, and the revision that wrote it.

    Reads the store, or asks the first upstream that answers if the operator's file names no store.
    """
    import msgpack

    settings, part = load_distribution_part(operator)
    if settings.distribution_store() is not None:
        found, source = asyncio.run(find_in_store(create_store(settings), part.region, kind, key))
    else:
        from ..distribution.config_query import query

        found, source = asyncio.run(
            query(part.allowed_upstreams(), part.region, part.load_keys()[0], kind, key)
        )
    if found is None:
        click.echo(f"burlloom: {source}", err=True)
        sys.exit(1)
    click.echo(source)
    if not found:
        click.echo(f"{kind} {key}: not in force in {part.region}")
    for index, (scope, value, written) in enumerate(found):
        click.echo(
            f"{kind} {key}: {json.dumps(msgpack.unpackb(value))},"
            f" of {scope or 'everywhere'}{written}"
            + (", in force" if not index else ", hidden by the region's own")
        )


# Scope, packed value, and a text with the revision and age of each item; the one in force first.
FoundItems = list[tuple[str, bytes, str]]


async def find_in_store(
    store: "ChangeStore", region: str, kind: str, key: str
) -> tuple[FoundItems | None, str]:
    """Returns the items of that key in the region's scope and in the scope of all regions.

    Args:
        store: Not opened yet; closed on return.
        region: Name of the region.
        kind: Kind of the item.
        key: Key of the item.

    Returns:
        The items, or None if the store could not be read; then the store's revision, or the error.
    """
    from ..distribution.stores import StoreUnavailableError

    try:
        await store.open()
        head = await store.head()
        found: FoundItems = []
        for scope in (region, ""):
            stored = await store.item(scope, kind, key)
            if stored is not None:
                assert stored.item.value is not None
                change = (
                    await store.change_at(stored.revision) if stored.epoch == head.epoch else None
                )
                age = (
                    f", {format_duration(time.time_ns() // NS_PER_MS - change.time_ms)} ago"
                    if change is not None
                    else ""
                )
                found.append(
                    (
                        scope,
                        stored.item.value,
                        f", epoch {stored.epoch} revision {stored.revision}{age}",
                    )
                )
        return found, f"store: epoch {head.epoch} revision {head.revision}"
    except StoreUnavailableError as error:
        return None, str(error)
    finally:
        await store.close()


@distribution.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def key(file: Path) -> None:
    """Add a new key as the last line of FILE, which is created with mode 600 if it is missing.

    `key_file` and `signing_key_file` need a file each. To change a key without a restart, add the
    new one on all machines, then make it the first line on all machines, then delete the old one.
    Each process checks its files once a second.
    """
    new_key = secrets.token_hex(32)
    handle = os.open(file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
    with os.fdopen(handle, "a", encoding="ascii") as out:
        out.write(new_key + "\n")
    click.echo(
        f"{file}: {len(file.read_text(encoding='ascii').split())} keys;"
        " every machine needs the same file"
    )
