"""`burlloom fleet ...`: keys, what a server sees of the fleet, what a change of it would move,
members who are gone.
"""

import json
import os
import secrets
import socket
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .shared import operator_file, operator_option, state_told

if TYPE_CHECKING:
    from ..operator import FleetPart

SECOND = 1_000_000_000
STALE_S = 5  # a state told longer ago is one of a server that is gone or stuck


@click.group()
def fleet() -> None:
    """The fleet: make its key, show a server's view, try a change of the subsets, forget
    members.
    """


def part_of(operator: Path | None) -> "FleetPart":
    found = operator_file(operator).fleet
    if found is None:
        raise click.UsageError(f"{operator} has no `fleet` part")
    return found


def state_of(part: "FleetPart") -> dict[str, Any]:
    return state_told(part.state_file, "fleet.state_file", "its view")


@fleet.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def key(file: Path) -> None:
    """Add a new key as the last line of FILE, which is made if there is none (mode 600).

    To change keys while the fleet runs: add it on all servers, then move it to the first line on
    all, then take the old one away. Each server looks at its file once a second.
    """
    made = secrets.token_hex(32)
    handle = os.open(file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
    with os.fdopen(handle, "a", encoding="ascii") as out:
        out.write(made + "\n")
    click.echo(
        f"{file}: {len(file.read_text(encoding='ascii').split())} keys; all servers want the same file"
    )


@fleet.command()
@operator_option
@click.option(
    "--json", "as_json", is_flag=True, help="The state as the server wrote it, one JSON object."
)
def show(operator: Path | None, as_json: bool) -> None:
    """What this server holds, who deals, whom it sees in which state, and which services it
    calls.
    """
    state = state_of(part_of(operator))
    if as_json:
        click.echo(json.dumps(state))
        return
    old = (time.time_ns() - state["told_at"]) / SECOND
    click.echo(
        f"{state['name']}: share {state['share']:g} of {state['total']:g} calls, {state['state']}; dealt by"
        f" {state['dealt_by'] or 'nobody yet'}"
        + (f", itself ({state['deals']})" if state["deals"] != "idle" else "")
        + (f"; told {old:.0f} s ago: it does not serve" if old > STALE_S else "")
    )
    for member in state["members"]:
        bound = (
            f"  bound {member['bound']:g}" if state["deals"] != "idle" and "bound" in member else ""
        )
        click.echo(
            f"  {member['name']:20} {member['state']:8} for {member['since_ms'] / 1000:7.0f} s  {member['address']:22}"
            f" life {member['life']} incarnation {member['incarnation']}{bound}"
        )
    for service, part in sorted(state["subset"].items(), key=lambda one: -one[1]):
        click.echo(f"  calls {service:22} {part:6.1%}")
    if state["subset"]:
        click.echo(f"  the most loaded service has {state['worst']:.2f} times the mean")
    if state["strangers"]:
        click.echo(
            f"  {state['strangers']} letters came from members with other terms: their files differ from this one"
        )


@fleet.command()
@operator_option
@click.option("--servers", type=click.IntRange(1, 1000), required=True, help="How many there are.")
@click.option("--join", type=click.IntRange(0, 1000), default=0, help="How many come.")
@click.option("--leave", type=click.IntRange(0, 999), default=0, help="How many go.")
def plan(operator: Path | None, servers: int, join: int, leave: int) -> None:
    """What the subsets would be with so many servers, and how many pairs a change would move."""
    from ..fleet import assign_subsets

    part = part_of(operator)
    if not part.services:
        raise click.UsageError("fleet.services is empty: all call the platform's one address")
    if leave >= servers + join:
        raise click.UsageError(f"--leave {leave}: of {servers + join} servers one must stay")
    names = [f"server-{at}" for at in range(servers)]
    before = assign_subsets(names, part.services, part.subset)
    click.echo(
        f"{servers} servers, {len(part.services)} services: each server calls {before.mean_size:.1f} on average; the most loaded"
        f" service has {before.max_load_ratio:.3f} times the mean; {part.calls / servers:.2f} calls in hand a server"
    )
    if join or leave:
        after = assign_subsets(
            [*names, *(f"more-{at}" for at in range(join))][leave:], part.services, part.subset
        )
        moved, pairs = len(after.pairs() ^ before.pairs()), len(before.pairs())
        click.echo(
            f"{join} come and {leave} go: {moved} of {pairs} pairs move ({moved / pairs:.1%}); the most loaded service has"
            f" then {after.max_load_ratio:.3f} times the mean"
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
    from ..fleet import MemberState, MemberUpdate
    from ..fleet.messages import Message, MessageKind, encode

    part = part_of(operator)
    state = state_of(part)
    known = {member["name"]: member for member in state["members"]}
    faults = [
        f"{name}: {state['name']} knows no such member" for name in names if name not in known
    ]
    faults += [
        f"{name}: is {known[name]['state']} to {state['name']}; say --force if it surely calls nothing"
        for name in names
        if name in known and known[name]["state"] not in ("dead", "left") and not force
    ]
    if faults:
        for fault in faults:
            click.echo(f"burlloom: {fault}", err=True)
        sys.exit(2)
    words = [
        MemberUpdate(
            name,
            known[name]["address"],
            known[name]["life"],
            known[name]["incarnation"],
            MemberState.LEFT,
        )
        for name in names
    ]
    own = known[state["name"]]["address"]
    # Nobody is there under this name: it has left as it is first heard of.
    sender = MemberUpdate(
        "operator", "127.0.0.1:9", time.time_ns() // 1_000_000, 0, MemberState.LEFT
    )
    host, port = own.rsplit(":", 1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for at in range(0, len(words), 6):
            data = encode(
                Message(MessageKind.LEAVE, sender, 0, (), "", tuple(words[at : at + 6])),
                part.keys()[0],
            )
            sock.sendto(data, (host, int(port)))
    for _ in range(50):
        time.sleep(0.1)
        now = {member["name"]: member["state"] for member in state_of(part)["members"]}
        if all(now.get(name, "left") == "left" for name in names):
            click.echo(f"forgotten: {', '.join(names)}; {state['name']} passes it on")
            return
    click.echo(f"burlloom: {state['name']} did not take it within 5 s; does it serve?", err=True)
    sys.exit(1)
