"""`burlloom fleet ...`: keys, a server's view, trials of the subsets, members who are gone."""

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

from .shared import operator_file, operator_option, state_told

if TYPE_CHECKING:
    from ..fleet import MemberUpdate
    from ..operator import FleetPart

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
MS_PER_S = 1000
KEY_BYTES = 32
KEY_FILE_MODE = 0o600
STALE_AFTER_S = 5  # a state written longer ago is one of a server that is gone or stuck
UPDATES_PER_DATAGRAM = 6
FORGET_TIMEOUT_S = 5
POLL_INTERVAL_S = 0.1
# A sender that nobody has in the view: it has left as it is first heard of.
OPERATOR_NAME = "operator"
OPERATOR_ADDRESS = "127.0.0.1:9"


@click.group()
def fleet() -> None:
    """The fleet: make its key, show a view, try a change of the subsets, forget members."""


def load_fleet_part(path: Path | None) -> "FleetPart":
    """Returns the `fleet` part of the operator's file; a usage error where it has none."""
    part = operator_file(path).fleet
    if part is None:
        raise click.UsageError(f"{path} has no `fleet` part")
    return part


def read_state(part: "FleetPart") -> dict[str, Any]:
    """Returns what the server wrote to its state file."""
    return state_told(part.state_file, "fleet.state_file", "its view")


@fleet.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def key(file: Path) -> None:
    """Add a new key as the last line of FILE, which is made if there is none (mode 600).

    To change keys while the fleet runs: add it on all servers, then move it to the first line on
    all, then take the old one away. Each server looks at its file once a second.
    """
    made = secrets.token_hex(KEY_BYTES)
    handle = os.open(file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, KEY_FILE_MODE)
    with os.fdopen(handle, "a", encoding="ascii") as out:
        out.write(made + "\n")
    count = len(file.read_text(encoding="ascii").split())
    click.echo(f"{file}: {count} keys; all servers want the same file")


@fleet.command()
@operator_option
@click.option(
    "--json", "as_json", is_flag=True, help="The state as the server wrote it, one JSON object."
)
def show(operator: Path | None, as_json: bool) -> None:
    """What this server holds, who deals, whom it sees how, and which services it calls."""
    state = read_state(load_fleet_part(operator))
    if as_json:
        click.echo(json.dumps(state))
        return
    click.echo(format_share(state))
    for member in state["members"]:
        click.echo(format_member(member, shows_bound=state["deals"] != "idle"))
    for service, part in sorted(state["subset"].items(), key=lambda one: -one[1]):
        click.echo(f"  calls {service:22} {part:6.1%}")
    if state["subset"]:
        click.echo(f"  the most loaded service has {state['worst']:.2f} times the mean")
    if state["strangers"]:
        click.echo(
            f"  {state['strangers']} letters came from members with other terms: their files differ"
            " from this one"
        )


def format_share(state: Mapping[str, Any]) -> str:
    """Returns in one line what the server holds, and by whom."""
    age_s = (time.time_ns() - state["told_at"]) / NS_PER_S
    line = (
        f"{state['name']}: share {state['share']:g} of {state['total']:g} calls, {state['state']};"
        f" dealt by {state['dealt_by'] or 'nobody yet'}"
    )
    if state["deals"] != "idle":
        line += f", itself ({state['deals']})"
    if age_s > STALE_AFTER_S:
        line += f"; told {age_s:.0f} s ago: it does not serve"
    return line


def format_member(member: Mapping[str, Any], shows_bound: bool) -> str:
    """Returns in one line how the server sees a member."""
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
@click.option("--servers", type=click.IntRange(1, 1000), required=True, help="How many there are.")
@click.option("--join", type=click.IntRange(0, 1000), default=0, help="How many come.")
@click.option("--leave", type=click.IntRange(0, 999), default=0, help="How many go.")
def plan(operator: Path | None, servers: int, join: int, leave: int) -> None:
    """What the subsets would be with so many servers, and how many pairs a change would move."""
    from ..fleet import assign_subsets

    part = load_fleet_part(operator)
    if not part.services:
        raise click.UsageError("fleet.services is empty: all call the platform's one address")
    if leave >= servers + join:
        raise click.UsageError(f"--leave {leave}: of {servers + join} servers one must stay")
    names = [f"server-{at}" for at in range(servers)]
    before = assign_subsets(names, part.services, part.subset)
    click.echo(
        f"{servers} servers, {len(part.services)} services: each server calls"
        f" {before.mean_size:.1f} on average; the most loaded service has"
        f" {before.max_load_ratio:.3f} times the mean;"
        f" {part.calls / servers:.2f} calls in hand a server"
    )
    if not join and not leave:
        return
    joined = [*names, *(f"more-{at}" for at in range(join))]
    after = assign_subsets(joined[leave:], part.services, part.subset)
    moved, pairs = len(after.pairs() ^ before.pairs()), len(before.pairs())
    click.echo(
        f"{join} come and {leave} go: {moved} of {pairs} pairs move ({moved / pairs:.1%});"
        f" the most loaded service has then {after.max_load_ratio:.3f} times the mean"
    )


@fleet.command()
@operator_option
@click.argument("names", nargs=-1, required=True)
@click.option("--force", is_flag=True, help="Also members that are not dead to this server.")
def forget(operator: Path | None, names: tuple[str, ...], force: bool) -> None:
    """Say of NAMES that they left and will not come back: what they held is dealt anew at once.

    Only for servers that surely call nothing below any more: one that lives says so and is back.
    For when more than half of the fleet was lost for good, so that the rest may not deal its calls
    by itself.
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
        f"burlloom: {state['name']} did not take it within {FORGET_TIMEOUT_S} s; does it serve?",
        err=True,
    )
    sys.exit(1)


def find_forget_faults(
    names: Sequence[str], own_name: str, members: Mapping[str, Any], force: bool
) -> Iterator[str]:
    """Yields why members can't be forgotten: first those not known, then those not dead."""
    for name in names:
        if name not in members:
            yield f"{name}: {own_name} knows no such member"
    for name in names:
        if name in members and members[name]["state"] not in ("dead", "left") and not force:
            yield (
                f"{name}: is {members[name]['state']} to {own_name}; say --force if it surely calls"
                " nothing"
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
        for at in range(0, len(updates), UPDATES_PER_DATAGRAM):
            some = tuple(updates[at : at + UPDATES_PER_DATAGRAM])
            message = Message(MessageKind.LEAVE, sender, 0, (), "", some)
            sock.sendto(encode(message, fleet_key), (host, int(port)))
