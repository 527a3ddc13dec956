"""`burlloom rollout ...`: releases, drains and who may be out, agreed across the fleet."""

import asyncio
import json
import os
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .shared import operator_file, operator_option, told_plainly

if TYPE_CHECKING:
    from ..operator import Operator, Rollout
    from ..rollout import Instance, RolloutState
    from ..rollout.stores import RolloutStore, StateSnapshot

TRIES = 50  # at a step while others write too
LOOK_S = 0.2
LOCK_S = 30.0  # a person waits rather than is told that others write just now
DRIVE_LOCK_S = 2.0  # who leads looks again by itself
reason_option = click.option(
    "--reason", default="", help="Kept with the step, for those who look later."
)


@click.group()
def rollout() -> None:
    """Releases and drains: waves, halt, way back; never more out at once than the budget has."""


def part_of(operator: Path | None) -> "tuple[Operator, Rollout]":
    found = operator_file(operator)
    if found.rollout is None:
        raise click.UsageError(f"{operator} has no `rollout` part")
    return found, found.rollout


def with_shelf(
    operator: Path | None, work: "Callable[[RolloutStore], Awaitable[Any]]", wait: float = LOCK_S
) -> Any:
    """`wait`: s for a lock that another holds. Ends with one line and status 2 where the store
    can't be used, or says no.
    """
    from ..rollout import OrderRejectedError
    from ..rollout.stores import StateDecodeError, StoreUnavailableError
    from ..rollout.stores.opening import create_rollout_store

    told, _ = part_of(operator)

    async def whole() -> Any:
        shelf = create_rollout_store(told, wait)
        try:
            await shelf.open()
            return await work(shelf)
        finally:
            await shelf.close()

    with told_plainly():
        try:
            return asyncio.run(whole())
        except (OrderRejectedError, StoreUnavailableError, StateDecodeError) as error:
            click.echo(f"burlloom: {error}", err=True)
            sys.exit(2)


async def step(
    shelf: "RolloutStore", order: "Callable[[RolloutState], RolloutState]"
) -> "StateSnapshot":
    """Written on the book as it stands then, however many others write. Raises `Denied`, or `Away`
    where nobody knows whether it was taken.
    """
    from ..rollout import OrderRejectedError
    from ..rollout.stores import StateSnapshot

    for _ in range(TRIES):
        page = await shelf.read()
        book = order(page.state)
        if await shelf.compare_and_swap(page, book):
            return StateSnapshot(page.revision + 1, page.heartbeat, book)
    raise OrderRejectedError(f"others wrote before us {TRIES} times in a row; try again")


def ordered(operator: Path | None, order: "Callable[[RolloutState], RolloutState]") -> None:
    page = with_shelf(operator, lambda shelf: step(shelf, order))
    click.echo(headline(page.state))


def headline(book: "RolloutState") -> str:
    from ..rollout import SERVERS_GROUP, ReleasePhase

    plan, servers = book.release, book.groups[SERVERS_GROUP]
    bound = servers.budget.limit(len(servers.instances))
    said = f"{len(servers.instances)} servers, {servers.out_count} out of {bound} allowed; "
    if plan.phase is ReleasePhase.IDLE:
        return said + (
            f"nothing under way; good is {book.stable_version}"
            if book.stable_version
            else "nothing under way"
        )
    done = sum(book.is_done(unit) for unit in servers.instances.values())
    way = (
        f"back to {plan.previous_version}"
        if plan.is_rollback
        else f"{'restart' if plan.is_restart else 'to ' + plan.target_version}, wave {plan.wave_index + 1} of {len(plan.waves)}"
    )
    return (
        said
        + f"change {plan.number} {way}: {plan.phase.label}, {done} of {len(servers.instances)} done"
        + (f" ({plan.reason})" if plan.reason else "")
    )


@rollout.command()
@operator_option
@click.option("--json", "as_json", is_flag=True, help="The book as it stands, one JSON object.")
@click.option("--notes", type=click.IntRange(0, 40), default=8, help="How many of the last steps.")
def show(operator: Path | None, as_json: bool, notes: int) -> None:
    """What is under way, who is out, who leads, and the last steps."""
    from ..rollout import InstanceState
    from ..rollout.stores import encode_state

    book = with_shelf(operator, lambda shelf: shelf.read()).state
    if as_json:
        click.echo(encode_state(book))
        return
    click.echo(headline(book))
    click.echo(f"led by {book.leader or 'nobody'}, epoch {book.epoch}, step {book.step}")
    for group, one in book.groups.items():
        share = f" ({one.budget.max_out_share:.0%})" if one.budget.max_out_share else ""
        click.echo(
            f"{group}: {one.out_count} out of {one.budget.limit(len(one.instances))}{share} allowed,"
            f" of {len(one.instances)}"
        )
        for name, unit in sorted(one.instances.items()):
            if (
                unit.state is not InstanceState.IN
                or unit.drain_ticket
                or unit.version not in ("", book.stable_version)
            ):
                click.echo(f"  {name:24} {unit.state.label:8} {unit.version or '-'}" + detail(unit))
    for at, said in book.history[len(book.history) - notes :] if notes else ():
        click.echo(f"  step {at:6} {said}")


def detail(unit: "Instance") -> str:
    return (
        f", next {unit.next_version}"
        if unit.next_version and unit.next_version != unit.version
        else ""
    ) + (", asked for" if unit.drain_ticket else "")


@rollout.command()
@operator_option
@click.argument("version", required=False, default="")
@click.option(
    "--wave",
    "waves",
    multiple=True,
    help="A number of servers, or a part such as 10%; the last is 100%. "
    "Else those of the operator's file.",
)
@click.option(
    "--auto-back/--no-auto-back", default=None, help="Whether a bad wave is taken back by itself."
)
@click.option("--restart", is_flag=True, help="Start all anew, also those that run this version.")
def start(
    operator: Path | None,
    version: str,
    waves: tuple[str, ...],
    auto_back: bool | None,
    restart: bool,
) -> None:
    """Bring VERSION to the whole fleet, in waves. With --restart it may be left out."""
    if not version and not restart:
        raise click.UsageError("which VERSION? Only with --restart may it be left out")
    from ..rollout.release import parse_wave

    _, part = part_of(operator)
    try:
        told = tuple(parse_wave(wave) for wave in waves) or part.plan_waves()
    except ValueError:
        raise click.UsageError(
            f"--wave: {', '.join(waves)}: each is a number such as 3, or a part such as 25%"
        ) from None
    auto = part.auto_back if auto_back is None else auto_back
    ordered(operator, lambda book: book.start_release(version, told, auto, restart))


def order(name: str, said: str) -> click.Command:
    @operator_option
    @reason_option
    def run(operator: Path | None, reason: str) -> None:
        from ..rollout.release import ReleaseInput

        ordered(operator, lambda book: book.order(ReleaseInput[name.upper()], reason))

    return click.command(name, help=said)(run)


rollout.add_command(
    order("halt", "Send nobody out any more; take back permits that nobody has begun on.")
)
rollout.add_command(order("resume", "Go on with what was halted, with the wave it stood at."))
rollout.add_command(
    order("rollback", "Bring all back to the version that was good, within the budget.")
)


@rollout.command()
@operator_option
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--for-s",
    type=click.IntRange(0, 30 * 86_400),
    default=0,
    help="How long each may be away before it counts as missing; 0: as after a release.",
)
def drain(operator: Path | None, names: tuple[str, ...], for_s: int) -> None:
    """Have servers leave, as the budget has room; what starts them again is yours."""
    from ..rollout import SERVERS_GROUP

    def order(book: "RolloutState") -> "RolloutState":
        for name in names:
            book = book.request_drain(SERVERS_GROUP, name, for_s * 1000)
        return book

    ordered(operator, order)


@rollout.command()
@operator_option
@click.argument("service")
@click.argument("address")
@click.option(
    "--for-s",
    type=click.IntRange(1, 30 * 86_400),
    required=True,
    help="When it is over, servers call the instance again.",
)
@click.option(
    "--wait-s", type=click.IntRange(1, 86_400), default=600, help="For room in the budget."
)
def take(operator: Path | None, service: str, address: str, for_s: int, wait_s: int) -> None:
    """Take an instance of a service below out: waits until no server calls it any more. Status 1 if
    there was no room.
    """
    _, part = part_of(operator)

    async def work(shelf: "RolloutStore") -> bool:
        from ..rollout import InstanceState, OrderRejectedError
        from ..rollout.instance import InstanceInput

        page = await step(shelf, lambda book: book.request_drain(service, address, for_s * 1000))
        ticket, until = (
            page.state.groups[service].instances[address].drain_ticket,
            time.monotonic() + wait_s,
        )
        while True:
            page = await shelf.read(page)
            unit = page.state.groups[service].instances.get(address)
            if unit is None or unit.drain_ticket != ticket:
                raise OrderRejectedError(f"{address}: the order was taken back")
            if unit.state is InstanceState.GRANTED:
                book, effect = page.state.apply_input(
                    service,
                    address,
                    InstanceInput.BEGIN,
                    incarnation=unit.incarnation,
                    ticket=ticket,
                )
                if effect and await shelf.compare_and_swap(page, book):
                    break
            if time.monotonic() > until:
                await step(shelf, lambda book: book.end_drain(service, address))
                return False
            await asyncio.sleep(LOOK_S)
        while not emptied(page, await shelf.reports(), book.step):
            page = await shelf.read(page)
            if page.state.groups[service].instances[address].state is not InstanceState.OUT:
                raise OrderRejectedError(
                    f"{address}: its time was over before all servers had left it"
                )
            await asyncio.sleep(LOOK_S)
        return True

    if not with_shelf(operator, work):
        click.echo(
            f"burlloom: {address}: no room in the budget of {service} within {wait_s} s", err=True
        )
        sys.exit(1)
    click.echo(
        f"{address}: no server calls it; give it back within {for_s} s, or they will all the same"
    )


def emptied(page: "StateSnapshot", members: Any, step: int) -> bool:
    """All servers that may call below have acted on this step. One that is missing may be calling
    still: it holds this up until it is back, or retired.
    """
    heeded = {member.name: member.acknowledged_step for member in members}
    from ..rollout import InstanceState

    return all(
        heeded.get(name, 0) >= step
        for name, unit in page.state.servers.items()
        if unit.state is not InstanceState.OUT
    )


@rollout.command()
@operator_option
@click.argument("service")
@click.argument("address")
def give(operator: Path | None, service: str, address: str) -> None:
    """An instance below may be called again; it counts as out until calls to it have gone well for
    a while.
    """
    ordered(operator, lambda book: book.end_drain(service, address))


@rollout.command()
@operator_option
@click.argument("names", nargs=-1, required=True)
@click.option("--group", default="servers", help="A service below, for instances of it.")
def retire(operator: Path | None, names: tuple[str, ...], group: str) -> None:
    """Servers, or instances below, that will not come back: they count for nothing any more."""

    def order(book: "RolloutState") -> "RolloutState":
        for name in names:
            book = book.retire(group, name)
        return book

    ordered(operator, order)


@rollout.command()
@operator_option
@click.option("--group", default="servers", help="A service below, for instances of it.")
@click.option("--most", type=click.IntRange(1), help="So many out at once.")
@click.option(
    "--share", type=click.FloatRange(0, 1, min_open=True, max_open=True), help="Such a part of all."
)
def budget(operator: Path | None, group: str, most: int | None, share: float | None) -> None:
    """Change how many may be out at once; the files only say with what a group begins."""
    from ..rollout import DisruptionBudget

    if (most is None) == (share is None):
        raise click.UsageError("name either --most or --share")
    ordered(
        operator, lambda book: book.set_budget(group, DisruptionBudget(most or 1, share or 0.0))
    )


@rollout.command()
@operator_option
@click.argument("name")
def version(operator: Path | None, name: str) -> None:
    """Print the version that server NAME is to start with now; what starts servers asks this.

    Where the store can't be reached, what the release file has; status 2 if there is none either.
    """
    told, part = part_of(operator)

    async def ask() -> str:
        from ..rollout.stores import StateDecodeError, StoreUnavailableError
        from ..rollout.stores.opening import create_rollout_store

        shelf = create_rollout_store(told)
        try:
            await shelf.open()
            return (await shelf.read()).state.next_version_of(name)
        except (StoreUnavailableError, StateDecodeError) as error:
            if part.release_file is None or not os.path.exists(part.release_file):
                click.echo(f"burlloom: {error}", err=True)
                sys.exit(2)
            click.echo(f"burlloom: {error}; from {part.release_file}", err=True)
            return Path(part.release_file).read_text(encoding="utf-8").strip()
        finally:
            await shelf.close()

    with told_plainly():
        click.echo(asyncio.run(ask()) or part.version)


@rollout.command()
@operator_option
@click.option("--name", default=f"driver-{os.getpid()}", help="Under which it leads.")
def drive(operator: Path | None, name: str) -> None:
    """Lead the fleet's changes from here, in the foreground, where servers are not to; any number
    may run.
    """
    _, part = part_of(operator)

    async def work(shelf: "RolloutStore") -> None:
        from ..rollout import RolloutLeader
        from ..rollout.stores import StoreUnavailableError
        from ..rollout.stores.leader_round import run_leader_round

        lead = RolloutLeader(name, part.terms(), part.budgets(), part.services())
        page = None
        while True:
            try:
                page = await shelf.read(page)
                for at, said in await run_leader_round(
                    lead, shelf, page, time.clock_gettime_ns(time.CLOCK_BOOTTIME)
                ):
                    click.echo(json.dumps({"step": at, "said": said}))
            except StoreUnavailableError as error:
                click.echo(json.dumps({"away": str(error)}))
                page = None
            await asyncio.sleep(part.poll_ms / 1000)

    try:
        with_shelf(operator, work, DRIVE_LOCK_S)
    except KeyboardInterrupt:
        pass
