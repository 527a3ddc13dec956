"""`burlloom rollout ...`: releases, drains and who may be out, agreed across the fleet."""

import asyncio
import contextlib
import json
import os
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .shared import operator_file, operator_option, told_plainly

if TYPE_CHECKING:
    from ..operator import Operator, Rollout
    from ..rollout import Instance, InstanceGroup, RolloutState, ServerReport
    from ..rollout.stores import RolloutStore, StateSnapshot

MAX_WRITE_ATTEMPTS = 50  # while others write too
POLL_INTERVAL_S = 0.2
# A person waits for the lock rather than is told that others write just now.
ORDER_LOCK_TIMEOUT_S = 30.0
LEADER_LOCK_TIMEOUT_S = 2.0  # a leader looks again by itself
MAX_DRAIN_S = 30 * 86_400
MS_PER_S = 1000

reason_option = click.option(
    "--reason", default="", help="Kept with the step, for those who look later."
)


@click.group()
def rollout() -> None:
    """Releases and drains: waves, halt, way back; never more out at once than the budget has."""


def load_rollout_part(path: Path | None) -> "tuple[Operator, Rollout]":
    """Returns the operator's file and its `rollout` part; a usage error where it has none."""
    operator = operator_file(path)
    if operator.rollout is None:
        raise click.UsageError(f"{path} has no `rollout` part")
    return operator, operator.rollout


def run_with_store(
    path: Path | None,
    work: "Callable[[RolloutStore], Awaitable[Any]]",
    lock_timeout_s: float = ORDER_LOCK_TIMEOUT_S,
) -> Any:
    """Runs `work` with the opened store, and returns what it gives.

    Ends with one line and status 2 where the store can't be used, or an order is rejected.

    Args:
        path: Of the operator's file.
        work: What is done with the store.
        lock_timeout_s: For a lock that another process holds.
    """
    from ..rollout import OrderRejectedError
    from ..rollout.stores import StateDecodeError, StoreUnavailableError
    from ..rollout.stores.factory import create_rollout_store

    operator, _ = load_rollout_part(path)

    async def run() -> Any:
        store = create_rollout_store(operator, lock_timeout_s)
        try:
            await store.open()
            return await work(store)
        finally:
            await store.close()

    with told_plainly():
        try:
            return asyncio.run(run())
        except (OrderRejectedError, StoreUnavailableError, StateDecodeError) as error:
            click.echo(f"burlloom: {error}", err=True)
            sys.exit(2)


async def write_order(
    store: "RolloutStore", order: "Callable[[RolloutState], RolloutState]"
) -> "StateSnapshot":
    """Writes an order on the state as it stands then, however many others write.

    Raises:
        OrderRejectedError: It can't be carried out, or others were always faster.
        StoreUnavailableError: Nobody knows whether it was written.
    """
    from ..rollout import OrderRejectedError
    from ..rollout.stores import StateSnapshot

    for _ in range(MAX_WRITE_ATTEMPTS):
        snapshot = await store.read()
        state = order(snapshot.state)
        if await store.compare_and_swap(snapshot, state):
            return StateSnapshot(snapshot.revision + 1, snapshot.heartbeat, state)
    raise OrderRejectedError(
        f"others wrote before us {MAX_WRITE_ATTEMPTS} times in a row; try again"
    )


def run_order(path: Path | None, order: "Callable[[RolloutState], RolloutState]") -> None:
    """Writes an order, and shows in one line how things stand."""
    snapshot = run_with_store(path, lambda store: write_order(store, order))
    click.echo(format_headline(snapshot.state))


def format_headline(state: "RolloutState") -> str:
    """Returns in one line who is out and what is under way."""
    from ..rollout import SERVERS_GROUP, ReleasePhase

    release, servers = state.release, state.groups[SERVERS_GROUP]
    size = len(servers.instances)
    head = f"{size} servers, {servers.out_count} out of {servers.limit} allowed; "
    if release.phase is ReleasePhase.IDLE:
        stable = f"; good is {state.stable_version}" if state.stable_version else ""
        return f"{head}nothing under way{stable}"
    done = sum(state.is_up_to_date(server) for server in servers.instances.values())
    if release.is_rollback:
        way = f"back to {release.previous_version}"
    else:
        goal = "restart" if release.is_restart else f"to {release.target_version}"
        way = f"{goal}, wave {release.wave_index + 1} of {len(release.waves)}"
    reason = f" ({release.reason})" if release.reason else ""
    return (
        f"{head}change {release.number} {way}: {release.phase.label}, {done} of {size} done{reason}"
    )


@rollout.command()
@operator_option
@click.option("--json", "as_json", is_flag=True, help="The book as it stands, one JSON object.")
@click.option("--notes", type=click.IntRange(0, 40), default=8, help="How many of the last steps.")
def show(operator: Path | None, as_json: bool, notes: int) -> None:
    """What is under way, who is out, who leads, and the last steps."""
    from ..rollout.stores import encode_state

    state: RolloutState = run_with_store(operator, lambda store: store.read()).state
    if as_json:
        click.echo(encode_state(state))
        return
    click.echo(format_headline(state))
    click.echo(f"led by {state.leader or 'nobody'}, epoch {state.epoch}, step {state.step}")
    for name, group in state.groups.items():
        show_group(name, group, state.stable_version)
    for step, text in state.history[len(state.history) - notes :] if notes else ():
        click.echo(f"  step {step:6} {text}")


def show_group(name: str, group: "InstanceGroup", stable_version: str) -> None:
    """Shows a group's budget, and those of its instances that are not as usual."""
    from ..rollout import InstanceState

    share = f" ({group.budget.max_out_share:.0%})" if group.budget.max_out_share else ""
    size = len(group.instances)
    click.echo(f"{name}: {group.out_count} out of {group.limit}{share} allowed, of {size}")
    for instance_name, instance in sorted(group.instances.items()):
        is_stable = instance.version in ("", stable_version)
        if instance.state is InstanceState.IN and not instance.drain_ticket and is_stable:
            continue
        click.echo(
            f"  {instance_name:24} {instance.state.label:8} {instance.version or '-'}"
            f"{format_plans(instance)}"
        )


def format_plans(instance: "Instance") -> str:
    """Returns what is to become of an instance; empty where nothing is."""
    plans = ""
    if instance.next_version and instance.next_version != instance.version:
        plans += f", next {instance.next_version}"
    if instance.drain_ticket:
        plans += ", asked for"
    return plans


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

    _, part = load_rollout_part(operator)
    try:
        parsed = tuple(parse_wave(wave) for wave in waves) or part.plan_waves()
    except ValueError:
        raise click.UsageError(
            f"--wave: {', '.join(waves)}: each is a number such as 3, or a part such as 25%"
        ) from None
    auto_rollback = part.auto_back if auto_back is None else auto_back
    run_order(operator, lambda state: state.start_release(version, parsed, auto_rollback, restart))


def make_release_order(name: str, help_text: str) -> click.Command:
    """Returns the command that gives the release an order of this name."""

    @operator_option
    @reason_option
    def run(operator: Path | None, reason: str) -> None:
        from ..rollout.release import ReleaseInput

        run_order(operator, lambda state: state.apply_order(ReleaseInput[name.upper()], reason))

    return click.command(name, help=help_text)(run)


rollout.add_command(
    make_release_order(
        "halt", "Send nobody out any more; take back permits that nobody has begun on."
    )
)
rollout.add_command(
    make_release_order("resume", "Go on with what was halted, with the wave it stood at.")
)
rollout.add_command(
    make_release_order(
        "rollback", "Bring all back to the version that was good, within the budget."
    )
)


@rollout.command()
@operator_option
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--for-s",
    type=click.IntRange(0, MAX_DRAIN_S),
    default=0,
    help="How long each may be away before it counts as missing; 0: as after a release.",
)
def drain(operator: Path | None, names: tuple[str, ...], for_s: int) -> None:
    """Have servers leave, as the budget has room; what starts them again is yours."""
    from ..rollout import SERVERS_GROUP

    def order(state: "RolloutState") -> "RolloutState":
        for name in names:
            state = state.request_drain(SERVERS_GROUP, name, for_s * MS_PER_S)
        return state

    run_order(operator, order)


@rollout.command()
@operator_option
@click.argument("service")
@click.argument("address")
@click.option(
    "--for-s",
    type=click.IntRange(1, MAX_DRAIN_S),
    required=True,
    help="When it is over, servers call the instance again.",
)
@click.option(
    "--wait-s", type=click.IntRange(1, 86_400), default=600, help="For room in the budget."
)
def take(operator: Path | None, service: str, address: str, for_s: int, wait_s: int) -> None:
    """Take an instance of a service below out, and wait until no server calls it.

    Status 1 if there was no room.
    """

    async def work(store: "RolloutStore") -> bool:
        snapshot = await begin_drain(store, service, address, for_s, wait_s)
        if snapshot is None:
            return False
        await wait_until_unused(store, snapshot, service, address)
        return True

    if not run_with_store(operator, work):
        click.echo(
            f"burlloom: {address}: no room in the budget of {service} within {wait_s} s", err=True
        )
        sys.exit(1)
    click.echo(
        f"{address}: no server calls it; give it back within {for_s} s, or they will all the same"
    )


async def begin_drain(
    store: "RolloutStore", service: str, address: str, drain_s: int, wait_s: int
) -> "StateSnapshot | None":
    """Takes a downstream instance out as soon as the budget allows.

    Returns:
        The state as it was written; None where the budget did not allow it within `wait_s`.

    Raises:
        OrderRejectedError: The order can't be carried out, or was taken back.
        StoreUnavailableError: The store was lost on the way.
    """
    from ..rollout import InstanceState, OrderRejectedError
    from ..rollout.instance import InstanceInput
    from ..rollout.stores import StateSnapshot

    snapshot = await write_order(
        store, lambda state: state.request_drain(service, address, drain_s * MS_PER_S)
    )
    ticket = snapshot.state.groups[service].instances[address].drain_ticket
    deadline_s = time.monotonic() + wait_s
    while True:
        snapshot = await store.read(snapshot)
        instance = snapshot.state.groups[service].instances.get(address)
        if instance is None or instance.drain_ticket != ticket:
            raise OrderRejectedError(f"{address}: the order was taken back", service, address)
        if instance.state is InstanceState.GRANTED:
            state, effect = snapshot.state.apply_input(
                service,
                address,
                InstanceInput.BEGIN,
                incarnation=instance.incarnation,
                ticket=ticket,
            )
            if effect and await store.compare_and_swap(snapshot, state):
                return StateSnapshot(snapshot.revision + 1, snapshot.heartbeat, state)
        if time.monotonic() > deadline_s:
            await write_order(store, lambda state: state.end_drain(service, address))
            return None
        await asyncio.sleep(POLL_INTERVAL_S)


async def wait_until_unused(
    store: "RolloutStore", begun: "StateSnapshot", service: str, address: str
) -> None:
    """Waits until all servers have acted on the drain.

    Raises:
        OrderRejectedError: Its time was over before.
        StoreUnavailableError: The store was lost on the way.
    """
    from ..rollout import InstanceState, OrderRejectedError

    snapshot = begun
    while not have_all_acknowledged(snapshot.state, await store.read_reports(), begun.state.step):
        snapshot = await store.read(snapshot)
        if snapshot.state.groups[service].instances[address].state is not InstanceState.OUT:
            raise OrderRejectedError(
                f"{address}: its time was over before all servers had left it", service, address
            )
        await asyncio.sleep(POLL_INTERVAL_S)


def have_all_acknowledged(
    state: "RolloutState", reports: "Iterable[ServerReport]", step: int
) -> bool:
    """Whether all servers that may call downstream have acted on this step.

    One that is missing may be calling still: it holds this up until it is back, or retired.
    """
    from ..rollout import InstanceState

    acknowledged = {report.name: report.acknowledged_step for report in reports}
    return all(
        acknowledged.get(name, 0) >= step
        for name, server in state.servers.items()
        if server.state is not InstanceState.OUT
    )


@rollout.command()
@operator_option
@click.argument("service")
@click.argument("address")
def give(operator: Path | None, service: str, address: str) -> None:
    """An instance below may be called again.

    It counts as out until calls to it have gone well for a while.
    """
    run_order(operator, lambda state: state.end_drain(service, address))


@rollout.command()
@operator_option
@click.argument("names", nargs=-1, required=True)
@click.option("--group", default="servers", help="A service below, for instances of it.")
def retire(operator: Path | None, names: tuple[str, ...], group: str) -> None:
    """Servers, or instances below, that will not come back: they count for nothing any more."""

    def order(state: "RolloutState") -> "RolloutState":
        for name in names:
            state = state.retire(group, name)
        return state

    run_order(operator, order)


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
    changed = DisruptionBudget(most or 1, share or 0.0)
    run_order(operator, lambda state: state.set_budget(group, changed))


@rollout.command()
@operator_option
@click.argument("name")
def version(operator: Path | None, name: str) -> None:
    """Print the version that server NAME is to start with now; what starts servers asks this.

    Where the store can't be reached, what the release file has; status 2 if there is none either.
    """
    loaded, part = load_rollout_part(operator)

    async def read_version() -> str:
        from ..rollout.stores.factory import create_rollout_store

        store = create_rollout_store(loaded)
        try:
            await store.open()
            return (await store.read()).state.find_next_version(name)
        finally:
            await store.close()

    from ..rollout.stores import StateDecodeError, StoreUnavailableError

    with told_plainly():
        try:
            found = asyncio.run(read_version())
        except (StoreUnavailableError, StateDecodeError) as error:
            found = read_release_file(part.release_file, error)
        click.echo(found or part.version)


def read_release_file(path: str | None, error: Exception) -> str:
    """Returns what the release file has, in place of a store that failed with `error`.

    Ends with status 2 where there is no such file.
    """
    if path is None or not os.path.exists(path):
        click.echo(f"burlloom: {error}", err=True)
        sys.exit(2)
    click.echo(f"burlloom: {error}; from {path}", err=True)
    return Path(path).read_text(encoding="utf-8").strip()


@rollout.command()
@operator_option
@click.option("--name", default=f"driver-{os.getpid()}", help="Under which it leads.")
def drive(operator: Path | None, name: str) -> None:
    """Lead the fleet's changes from here, in the foreground, where servers are not to.

    Any number may run.
    """
    _, part = load_rollout_part(operator)

    async def lead(store: "RolloutStore") -> None:
        from ..rollout import RolloutLeader
        from ..rollout.stores import StoreUnavailableError
        from ..rollout.stores.leader_round import run_leader_round

        leader = RolloutLeader(name, part.rollout_settings(), part.budgets(), part.services())
        snapshot = None
        while True:
            try:
                snapshot = await store.read(snapshot)
                now_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
                for step, text in await run_leader_round(leader, store, snapshot, now_ns):
                    click.echo(json.dumps({"step": step, "said": text}))
            except StoreUnavailableError as error:
                click.echo(json.dumps({"away": str(error)}))
                snapshot = None
            await asyncio.sleep(part.poll_ms / MS_PER_S)

    with contextlib.suppress(KeyboardInterrupt):
        run_with_store(operator, lead, LEADER_LOCK_TIMEOUT_S)
