"""`burlloom fleet ...`: makes keys, shows a server's view, plans subsets and forgets members."""

import json
import os
import secrets
import socket
import sys
import time
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..time_units import NS_PER_MS, NS_PER_SECOND
from .shared import load_operator_file, operator_option, read_state_file

if TYPE_CHECKING:
    from ..fleet import MemberUpdate
    from ..operator import FleetPart

MS_PER_S = 1000
KEY_BYTES = 32
KEY_FILE_MODE = 0o600
# A server rewrites its state file while it runs: if the state is older than this, the server has
# ended or hangs.
STALE_AFTER_S = 5
# In one message; the protocol allows MAX_UPDATES (burlloom/fleet/messages.py).
UPDATES_PER_DATAGRAM = 6
FORGET_TIMEOUT_S = 5
POLL_INTERVAL_S = 0.1
# The sender of the operator's updates is no member. Its first message says that it has left, so no
# server adds it to its view.
OPERATOR_NAME = "operator"
OPERATOR_ADDRESS = "127.0.0.1:9"


@click.group()
def fleet() -> None:
    """The fleet: make its key, show a view, plan a change of the subsets, forget members."""


def load_fleet_part(path: Path | None) -> "FleetPart":
    """Returns the `fleet` part of the operator's file.

    Raises:
        click.UsageError: The file has no such part.
    """
    part = load_operator_file(path).fleet
    if part is None:
        raise click.UsageError(f"{path} has no `fleet` part")
    return part


def read_state(part: "FleetPart") -> dict[str, Any]:
    """Returns what the server wrote to its state file."""
    return read_state_file(part.state_file, "fleet.state_file", "its view")


@fleet.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def key(file: Path) -> None:
    """Add a new key as the last line of FILE, which is created with mode 600 if it is missing.

    To change the key while the fleet runs, add the new one on all servers, then make it the first
    line on all servers, then delete the old one. Each server checks its file once a second.
    """
    new_key = secrets.token_hex(KEY_BYTES)
    handle = os.open(file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, KEY_FILE_MODE)
    with os.fdopen(handle, "a", encoding="ascii") as out:
        out.write(new_key + "\n")
    count = len(file.read_text(encoding="ascii").split())
    click.echo(f"{file}: {count} keys; all servers need the same file")


@fleet.command()
@operator_option
@click.option(
    "--json", "as_json", is_flag=True, help="The state as the server wrote it, one JSON object."
)
def show(operator: Path | None, as_json: bool) -> None:
    """Show the server's share of the calls, the allocator, the members and the called services."""
    state = read_state(load_fleet_part(operator))
    if as_json:
        click.echo(json.dumps(state))
        return
    click.echo(format_share(state))
    for member in state["members"]:
        click.echo(format_member(member, shows_bound=state["deals"] != "idle"))
    for service, share in sorted(state["subset"].items(), key=lambda item: -item[1]):
        click.echo(f"  calls {service:22} {share:6.1%}")
    if state["subset"]:
        click.echo(f"  the most loaded service has {state['worst']:.2f} times the mean")
    if state["strangers"]:
        click.echo(
            f"  {state['strangers']} messages came from members with other settings: their files"
            " differ from this one"
        )


def format_share(state: Mapping[str, Any]) -> str:
    """Returns a line with the server's share of the calls and who allocates the shares."""
    age_s = (time.time_ns() - state["told_at"]) / NS_PER_SECOND
    line = (
        f"{state['name']}: share {state['share']:g} of {state['total']:g} calls, {state['state']};"
        f" dealt by {state['dealt_by'] or 'nobody yet'}"
    )
    if state["deals"] != "idle":
        line += f", itself ({state['deals']})"
    if age_s > STALE_AFTER_S:
        line += f"; written {age_s:.0f} s ago: the server has stopped or hangs"
    return line


def format_member(member: Mapping[str, Any], shows_bound: bool) -> str:
    """Returns a line with the state of a member in the server's view.

    Args:
        member: The member's entry in the state file.
        shows_bound: Whether to add the limit of the member's share, where it is known.
    """
    since_s = member["since_ms"] / MS_PER_S
    line = (
        f"  {member['name']:20} {member['state']:8} for {since_s:7.0f} s  {member['address']:22}"
        f" life {member['life']} incarnation {member['incarnation']}"
    )
    if shows_bound and "bound" in member:
        line += f"  bound {member['bound']:g}"
    return line


@fleet.command()
@operator_option
@click.option(
    "--servers", type=click.IntRange(1, 1000), required=True, help="Current number of servers."
)
@click.option(
    "--join", type=click.IntRange(0, 1000), default=0, help="Number of servers that join."
)
@click.option(
    "--leave", type=click.IntRange(0, 999), default=0, help="Number of servers that leave."
)
def plan(operator: Path | None, servers: int, join: int, leave: int) -> None:
    """Compute the subsets for a number of servers, and how many pairs a change would move.

    A pair is a server and a service that it calls.
    """
    from ..fleet import assign_subsets

    part = load_fleet_part(operator)
    if not part.services:
        raise click.UsageError(
            "fleet.services is empty: all servers call the platform's one address"
        )
    if leave >= servers + join:
        raise click.UsageError(
            f"--leave {leave}: at least one of {servers + join} servers must remain"
        )
    names = [f"server-{index}" for index in range(servers)]
    before = assign_subsets(names, part.services, part.subset)
    click.echo(
        f"{servers} servers, {len(part.services)} services: each server calls"
        f" {before.mean_size:.1f} on average; the most loaded service has"
        f" {before.max_load_ratio:.3f} times the mean;"
        f" {part.calls / servers:.2f} concurrent calls per server"
    )
    if not join and not leave:
        return
    joined = [*names, *(f"more-{index}" for index in range(join))]
    after = assign_subsets(joined[leave:], part.services, part.subset)
    moved, pairs = len(after.pairs() ^ before.pairs()), len(before.pairs())
    click.echo(
        f"{join} come and {leave} go: {moved} of {pairs} pairs move ({moved / pairs:.1%});"
        f" the most loaded service then has {after.max_load_ratio:.3f} times the mean"
    )


@fleet.command()
@operator_option
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--force", is_flag=True, help="Also forget members that this server does not see as dead."
)
def forget(operator: Path | None, names: tuple[str, ...], force: bool) -> None:
    """Declare that the members NAMES will not return; their shares are reallocated at once.

    Needed when more than half of the fleet will not return: the remaining servers may then not
    reallocate its shares by themselves. Use it only for servers that surely make no downstream
    calls any more; a server that still runs refutes the update and becomes a member again.
    """
    part = load_fleet_part(operator)
    state = read_state(part)
    members = {member["name"]: member for member in state["members"]}
    faults = list(find_forget_faults(names, state["name"], members, force))
    if faults:
        for fault in faults:
            click.echo(f"burlloom: {fault}", err=True)
        sys.exit(2)
    own_address = members[state["name"]]["address"]
    send_updates(
        own_address, part.load_keys()[0], [make_left_update(members[name]) for name in names]
    )
    for _ in range(int(FORGET_TIMEOUT_S / POLL_INTERVAL_S)):
        time.sleep(POLL_INTERVAL_S)
        states = {member["name"]: member["state"] for member in read_state(part)["members"]}
        if all(states.get(name, "left") == "left" for name in names):
            click.echo(f"forgotten: {', '.join(names)}; {state['name']} passes it on")
            return
    click.echo(
        f"burlloom: {state['name']} did not apply the update within {FORGET_TIMEOUT_S} s; does it"
        " run?",
        err=True,
    )
    sys.exit(1)


def find_forget_faults(
    names: Sequence[str], own_name: str, members: Mapping[str, Any], force: bool
) -> Iterator[str]:
    """Yields why members can't be forgotten: first the unknown ones, then those that are not dead.

    Args:
        names: The members to forget.
        own_name: Name of the server whose view is used.
        members: Entries of the state file by name.
        force: Whether members that are not dead may be forgotten.
    """
    for name in names:
        if name not in members:
            yield f"{name}: {own_name} knows no such member"
    for name in names:
        if name in members and members[name]["state"] not in ("dead", "left") and not force:
            yield (
                f"{name}: is {members[name]['state']} to {own_name}; say --force if it surely makes"
                " no downstream calls"
            )


def make_left_update(member: Mapping[str, Any]) -> "MemberUpdate":
    """Returns the update that a member left, from its entry in the state file."""
    from ..fleet import MemberState, MemberUpdate

    return MemberUpdate(
        member["name"],
        member["address"],
        member["life"],
        member["incarnation"],
        MemberState.LEFT,
    )


def send_updates(address: str, fleet_key: bytes, updates: "Sequence[MemberUpdate]") -> None:
    """Sends updates to the server at `address`, as a member that leaves."""
    from ..fleet import MemberState, MemberUpdate
    from ..fleet.messages import Message, MessageKind, encode

    incarnation = time.time_ns() // NS_PER_MS
    sender = MemberUpdate(OPERATOR_NAME, OPERATOR_ADDRESS, incarnation, 0, MemberState.LEFT)
    host, port = address.rsplit(":", 1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for first in range(0, len(updates), UPDATES_PER_DATAGRAM):
            batch = tuple(updates[first : first + UPDATES_PER_DATAGRAM])
            message = Message(MessageKind.LEAVE, sender, 0, (), "", batch)
            sock.sendto(encode(message, fleet_key), (host, int(port)))
