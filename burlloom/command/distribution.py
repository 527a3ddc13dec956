"""`burlloom distribution ...`: control machines, changes, what is in force where, keys."""

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
from .shared import operator_file, operator_option, state_told, told_plainly

if TYPE_CHECKING:
    from ..distribution.changes import ConfigItem
    from ..distribution.stores import ChangeStore
    from ..operator import Distribution, Operator

MS, SECOND = 1_000_000, 1_000_000_000
STALE_S = 5  # a state told longer ago is one of a process that is gone or stuck
FILE_MOST = 64 << 20
FAULTS_MOST = 1000  # lines that are told of one file
TRIES, TRY_EVERY = 20, 0.5  # of a store that is away, s between: ten seconds
KINDS = ("tenant", "route", "setting")


@click.group()
def distribution() -> None:
    """Configuration that is distributed: run a control machine, put changes, see what is in
    force.
    """


def part_of(operator: Path | None) -> tuple["Operator", "Distribution"]:
    found = operator_file(operator)
    if found.distribution is None:
        raise click.UsageError(f"{operator} has no `distribution` part")
    return found, found.distribution


def store_of(told: "Operator") -> "ChangeStore":
    from ..distribution.stores.factory import create_change_store

    place = told.distribution_store()
    if place is None:
        raise click.UsageError(
            "distribution.store is missing, and there is no record: changes are kept by control machines"
        )
    with told_plainly():
        return create_change_store(place)


@distribution.command()
@operator_option
@click.option(
    "--name", default=None, help="This machine's name in the others' `upstreams`; else the host's."
)
def serve(operator: Path | None, name: str | None) -> None:
    """Be a control machine, in the foreground, until SIGTERM; without a store, a relay.

    It follows the store each 200 ms, and its peers in `upstreams` while the store is away.
    """
    from ..distribution.control_node import ControlNode
    from ..distribution.endpoint import bind_datagram_socket
    from ..distribution.status_report import KeyFile
    from ..server.logs import configure_logging

    told, part = part_of(operator)
    store = store_of(told) if told.distribution_store() is not None else None
    if store is None and not part.upstreams:
        raise click.UsageError("neither a store nor upstreams: there is nothing to follow")
    try:
        sock = bind_datagram_socket(part.listen)
        exposed = None
        if told.metrics is not None:
            from ..metrics import MetricsExporter

            listen = told.metrics.listen.rsplit(":", 1) if told.metrics.listen is not None else None
            exposed = MetricsExporter(
                Path(told.metrics.file) if told.metrics.file is not None else None,
                told.metrics.every_ms / 1000,
                (listen[0], int(listen[1])) if listen else None,
            )
    except OSError as error:
        click.echo(f"burlloom: distribution.listen or metrics.listen: {error.strerror}", err=True)
        sys.exit(2)
    configure_logging()

    async def run() -> None:
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
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # files are looked at each second anyway
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, control.stop)
        unblock_signals()  # whoever started us may have blocked them, and a start hands that on
        await control.run()
        if exposed is not None:
            exposed.close()

    import uvloop

    uvloop.run(run())


# Changes.


def read_changes(text: str) -> tuple[list[tuple[int, str, list["ConfigItem"]]], list[str]]:
    """Line, scope and entries of each change, and all faults, each with line and place."""
    from ..distribution.changes import InvalidChangeError, initial_head
    from ..distribution.proposal import propose

    found: list[tuple[int, str, list[ConfigItem]]] = []
    faults: list[str] = []
    for at, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        try:
            got = json.loads(line)
        except (ValueError, RecursionError) as error:
            faults.append(f"line {at}: no JSON: {error}")
            continue
        scope, entries, wrong = change_of(got)
        if not wrong:
            try:  # as it will be, whatever stands before it
                propose(initial_head(1, 0), scope, entries, 0, b"-" * 16, meaning)
            except InvalidChangeError as refused:
                wrong = refused.faults
        faults += [f"line {at}: {one}" for one in wrong]
        found.append((at, scope, entries))
    if not found and not faults:
        faults.append("line 1: no change in the file")
    return found, faults


def change_of(got: Any) -> tuple[str, list["ConfigItem"], list[str]]:
    """Of a line `{"scope": "", "entries": [{"kind": "tenant", "key": "acme", "value": {"portion":
    2}}]}`.
    """
    import msgpack

    from ..distribution.changes import ConfigItem

    if not isinstance(got, dict):
        return "", [], ["no object"]
    wrong = [f"{name}: unknown key" for name in got if name not in ("scope", "entries")]
    scope, told = got.get("scope", ""), got.get("entries")
    if not isinstance(scope, str):
        wrong.append("scope: no text")
    if not isinstance(told, list):
        return "", [], [*wrong, "entries: no list"]
    entries: list[ConfigItem] = []
    for at, one in enumerate(told):
        place = f"entries[{at}]"
        if not isinstance(one, dict):
            wrong.append(f"{place}: no object")
            continue
        wrong += [
            f"{place}.{name}: unknown key" for name in one if name not in ("kind", "key", "value")
        ]
        wrong += [
            f"{place}.{name}: is missing" for name in ("kind", "key", "value") if name not in one
        ]
        value, packed = one.get("value"), None
        if isinstance(value, dict):
            try:
                packed = msgpack.packb(value)
            except (ValueError, OverflowError, RecursionError) as error:
                wrong.append(f"{place}.value: can't be packed: {error}")
        elif value is not None:
            wrong.append(f"{place}.value: no object, and not null, which deletes")
        entries.append(ConfigItem(scope, one.get("kind", ""), one.get("key", ""), packed))
    return scope, entries, wrong


def meaning(entry: "ConfigItem") -> list[str]:
    """Faults of what an entry says."""
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
    """Put the changes of FILE, a line of JSON each, into the store, in order.

    {"scope": "", "entries": [{"kind": "tenant", "key": "acme", "value": {"portion": 2}}, ...]}; a
    value of null deletes. Of a file with any fault nothing is taken: all are told, each with its
    line and place.
    """
    told, part = part_of(operator)
    try:
        if file.stat().st_size > FILE_MOST:
            raise click.UsageError(f"{file}: over {FILE_MOST} bytes")
        changes, faults = read_changes(file.read_text(encoding="utf-8"))
    except UnicodeDecodeError as error:
        changes, faults = [], [f"byte {error.start} is not UTF-8"]
    if faults:
        for fault in faults[:FAULTS_MOST]:
            click.echo(f"{file}: {fault}", err=True)
        if len(faults) > FAULTS_MOST:
            click.echo(f"{file}: and {len(faults) - FAULTS_MOST} more", err=True)
        click.echo(f"{file}: nothing was taken", err=True)
        sys.exit(2)
    taken, last, away = asyncio.run(
        append_all(store_of(told), changes, part.load_signing_keys()[0])
    )
    if taken < len(changes):
        click.echo(
            f"burlloom: {away}; {taken} of {len(changes)} changes were taken, up to line"
            f" {changes[taken - 1][0] if taken else 0}. Put the file again once the store is back: a change"
            " that is there already does no harm",
            err=True,
        )
        sys.exit(1)
    click.echo(f"{taken} changes taken; the last is revision {last}")


async def append_all(
    store: "ChangeStore", changes: list[tuple[int, str, list["ConfigItem"]]], key: bytes
) -> tuple[int, int, str]:
    """How many were taken, the last revision, and why not more."""
    from ..distribution.stores import StoreUnavailableError

    taken = last = tries = 0
    opened, sent, said = False, None, ""
    try:
        while taken < len(changes):
            _, scope, entries = changes[taken]
            try:
                if not opened:
                    await store.open()
                    opened = True
                if sent is not None and await store.change_at(sent.revision) == sent:
                    held = True  # the answer was lost, and it was taken
                else:
                    sent = await propose_next(store, scope, entries, key)
                    held = await store.append(sent)
                if held:
                    taken, last, tries = taken + 1, sent.revision, 0
                sent = None
            except StoreUnavailableError as error:
                opened, tries, said = False, tries + 1, str(error)
                if tries >= TRIES:
                    break
                await asyncio.sleep(TRY_EVERY)
    finally:
        await store.close()
    return taken, last, said


async def propose_next(
    store: "ChangeStore", scope: str, entries: list["ConfigItem"], key: bytes
) -> Any:
    from ..distribution.proposal import propose

    return propose(await store.head(), scope, entries, time.time_ns() // MS, key, meaning)


# Looks.


def ms_told(ms: int | None) -> str:
    return "never" if ms is None else f"{ms / 1000:.1f} s"


@distribution.command()
@operator_option
@click.option(
    "--json", "as_json", is_flag=True, help="The state as the process wrote it, one JSON object."
)
def show(operator: Path | None, as_json: bool) -> None:
    """What is in force here, how old that is, and, at a control machine, how far its followers
    are.
    """
    _, part = part_of(operator)
    state = state_told(part.state_file, "distribution.state_file", "what is in force")
    if as_json:
        click.echo(json.dumps(state))
        return
    old = (time.time_ns() - state["told_at"]) / SECOND
    stands = state.get("state", state["role"])
    click.echo(
        f"{state['name']} ({state['role']}, {state['region']}): "
        + (
            f"epoch {state['epoch']} revision {state['revision']}"
            if state["revision"] is not None
            else "nothing in force"
        )
        + f", {stands}, surely the newest {ms_told(state['age_ms'])} ago"
        + (f"; told {old:.0f} s ago: it does not serve" if old > STALE_S else "")
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
            f"  {state['followers']} of at most {state['followers_most']} follow, {state['behind']} of them"
            " behind"
            + (
                f"; the lowest has revision {state['lowest_revision']}, and lacks a change that is"
                f" {ms_told(state['lacking_ms'])} old"
                if state["behind"]
                else ""
            )
        )
        if state["store_away"]:
            click.echo(f"  the store is away: {state['store_away']}")
        if state["follows"] is not None:
            click.echo(f"  follows {state['follows']['upstream']}, {state['follows']['state']}")
    refused = state["counts"]["refused"]
    for reason, count in sorted(refused.items(), key=lambda one: -one[1]):
        click.echo(f"  refused {count}: {reason}")


@distribution.command()
@operator_option
@click.argument("kind", type=click.Choice(KINDS))
@click.argument("key")
def explain(operator: Path | None, kind: str, key: str) -> None:
    """The value in force of KIND KEY, in which scope, and the revision that wrote it: of the store,
    or, where this file names none, of the first upstream that answers.
    """
    import msgpack

    told, part = part_of(operator)
    if told.distribution_store() is not None:
        found, where = asyncio.run(of_store(store_of(told), part.region, kind, key))
    else:
        from ..distribution.config_query import query

        found, where = asyncio.run(
            query(part.allowed_upstreams(), part.region, part.load_keys()[0], kind, key)
        )
    if found is None:
        click.echo(f"burlloom: {where}", err=True)
        sys.exit(1)
    click.echo(where)
    if not found:
        click.echo(f"{kind} {key}: not in force in {part.region}")
    for at, (scope, value, written) in enumerate(found):
        click.echo(
            f"{kind} {key}: {json.dumps(msgpack.unpackb(value))}, of {scope or 'everywhere'}{written}"
            + (", in force" if not at else ", hidden by the region's own")
        )


Found = list[tuple[str, bytes, str]]  # scope, value, when it was written; the one in force first


async def of_store(
    store: "ChangeStore", region: str, kind: str, key: str
) -> tuple[Found | None, str]:
    from ..distribution.stores import StoreUnavailableError

    try:
        await store.open()
        head = await store.head()
        found: Found = []
        for scope in (region, ""):
            stored = await store.item(scope, kind, key)
            if stored is not None:
                assert stored.item.value is not None
                change = (
                    await store.change_at(stored.revision) if stored.epoch == head.epoch else None
                )
                old = (
                    f", {ms_told(time.time_ns() // MS - change.time_ms)} ago"
                    if change is not None
                    else ""
                )
                found.append(
                    (
                        scope,
                        stored.item.value,
                        f", epoch {stored.epoch} revision {stored.revision}{old}",
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
    """Add a new key as the last line of FILE, which is made if there is none (mode 600); for
    `key_file` and for `signing_key_file`, one file each.

    To change keys while all runs: add it everywhere, then move it to the first line everywhere,
    then take the old one away. Each process looks at its files once a second.
    """
    made = secrets.token_hex(32)
    handle = os.open(file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
    with os.fdopen(handle, "a", encoding="ascii") as out:
        out.write(made + "\n")
    click.echo(
        f"{file}: {len(file.read_text(encoding='ascii').split())} keys; all want the same file"
    )
