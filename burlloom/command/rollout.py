"""`burlloom rollout ...`: gives and shows the fleet's releases, drains and disruption budgets."""

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

from .shared import exit_on_store_refusal, load_operator_file, operator_option

if TYPE_CHECKING:
    from ..operator import Operator, Rollout
    from ..rollout import Instance, InstanceGroup, RolloutState, ServerReport
    from ..rollout.stores import RolloutStore, StateSnapshot

MAX_WRITE_ATTEMPTS = 50  # of an order whose writes conflict with those of other processes
POLL_INTERVAL_S = 0.2
# An operator would rather wait for the lock than repeat a command that failed because of it.
ORDER_LOCK_TIMEOUT_S = 30.0
LEADER_LOCK_TIMEOUT_S = 2.0  # the leader retries in its next round
MAX_DRAIN_S = 30 * 86_400
MS_PER_S = 1000

reason_option = click.option("--reason", default="", help="Stored with the step in the history.")


@click.group()
def rollout() -> None:
    """Releases and drains, within a budget of instances that may be out of service at once."""


def load_rollout_part(path: Path | None) -> "tuple[Operator, Rollout]":
    """Returns the operator's file and its `rollout` part.

    Raises:
        click.UsageError: The file has no such part.
    """
    operator = load_operator_file(path)
    if operator.rollout is None:
        raise click.UsageError(f"{path} has no `rollout` part")
    return operator, operator.rollout


def run_with_store(
    path: Path | None,
    work: "Callable[[RolloutStore], Awaitable[Any]]",
    lock_timeout_s: float = ORDER_LOCK_TIMEOUT_S,
) -> Any:
    """Runs `work` with the opened store and returns its result.

    Prints one line on standard error and exits with status 2 if the store can't be used or an
    order is rejected.

    Args:
        path: The operator's file.
        work: Called with the store, which is closed afterwards.
        lock_timeout_s: How long to wait for a lock that another process holds.
    """
    from ..rollout import OrderRejectedError
    from ..rollout.stores import StateDecodeError, StoreUnavailableError
    from ..rollout.stores.factory import create_rollout_store

    operator, _ = load_rollout_part(path)

    async def run() -> Any:
        """Opens the store, runs `work` and closes the store."""
        store = create_rollout_store(operator, lock_timeout_s)
        try:
            await store.open()
            return await work(store)
        finally:
            await store.close()

    with exit_on_store_refusal():
        try:
            return asyncio.run(run())
        except (OrderRejectedError, StoreUnavailableError, StateDecodeError) as error:
            click.echo(f"burlloom: {error}", err=True)
            sys.exit(2)


async def write_order(
    store: "RolloutStore", order: "Callable[[RolloutState], RolloutState]"
) -> "StateSnapshot":
    """Applies an order to the current state and writes it; retries on conflicting writes.

    Args:
        store: Open.
        order: Returns the state after the order; called again after a conflicting write.

    Returns:
        The state as it was written.

    Raises:
        OrderRejectedError: The order can't be carried out, or `MAX_WRITE_ATTEMPTS` writes in a row
            conflicted with writes of other processes.
        StoreUnavailableError: The store was lost; it is unknown whether the order was written.
    """
    from ..rollout import OrderRejectedError
    from ..rollout.stores import StateSnapshot

    for _ in range(MAX_WRITE_ATTEMPTS):
        snapshot = await store.read()
        state = order(snapshot.state)
        if await store.compare_and_swap(snapshot, state):
            return StateSnapshot(snapshot.revision + 1, snapshot.heartbeat, state)
    raise OrderRejectedError(
        f"{MAX_WRITE_ATTEMPTS} writes in a row conflicted with other writes; try again"
    )


def run_order(path: Path | None, order: "Callable[[RolloutState], RolloutState]") -> None:
    """Writes an order, and prints a line with the resulting state."""
    snapshot = run_with_store(path, lambda store: write_order(store, order))
    click.echo(format_headline(snapshot.state))


def format_headline(state: "RolloutState") -> str:
    """Returns a line with the servers out of service and the release in progress."""
    from ..rollout import SERVERS_GROUP, ReleasePhase

    release, servers = state.release, state.groups[SERVERS_GROUP]
    size = len(servers.instances)
    counts = f"{size} servers, {servers.out_count} out of {servers.limit} allowed; "
    if release.phase is ReleasePhase.IDLE:
        stable = f"; good is {state.stable_version}" if state.stable_version else ""
        return f"{counts}nothing under way{stable}"
    done_count = sum(state.is_up_to_date(server) for server in servers.instances.values())
    if release.is_rollback:
        progress = f"back to {release.previous_version}"
    else:
        goal = "restart" if release.is_restart else f"to {release.target_version}"
        progress = f"{goal}, wave {release.wave_index + 1} of {len(release.waves)}"
    reason = f" ({release.reason})" if release.reason else ""
    return (
        f"{counts}change {release.number} {progress}: {release.phase.label},"
        f" {done_count} of {size} done{reason}"
    )


@rollout.command()
@operator_option
@click.option("--json", "as_json", is_flag=True, help="The stored state, one JSON object.")
@click.option(
    "--notes", type=click.IntRange(0, 40), default=8, help="Number of the last steps to show."
)
def show(operator: Path | None, as_json: bool, notes: int) -> None:
    """Show the release in progress, instances out of service, the leader and the last steps."""
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
    """Prints a group's budget, and its instances that are out, draining or of another version.

    Args:
        name: Name of the group.
        group: The group.
        stable_version: The version that the fleet runs outside of releases.
    """
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
    """Returns an instance's next version and its drain request; empty if it has neither."""
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
    help="A number of servers, or a share such as 10%; the last is 100%. "
    "By default the waves of the operator's file.",
)
@click.option(
    "--auto-back/--no-auto-back",
    default=None,
    help="Whether a wave that fails is rolled back automatically.",
)
@click.option(
    "--restart", is_flag=True, help="Restart all servers, also those that run this version."
)
def start(
    operator: Path | None,
    version: str,
    waves: tuple[str, ...],
    auto_back: bool | None,
    restart: bool,
) -> None:
    """Release VERSION to the whole fleet in waves; VERSION is optional with --restart."""
    if not version and not restart:
        raise click.UsageError("VERSION is missing; it is optional only with --restart")
    from ..rollout.release import parse_wave

    _, part = load_rollout_part(operator)
    try:
        parsed = tuple(parse_wave(wave) for wave in waves) or part.plan_waves()
    except ValueError:
        raise click.UsageError(
            f"--wave: {', '.join(waves)}: each must be a number such as 3, or a share such as 25%"
        ) from None
    auto_rollback = part.auto_back if auto_back is None else auto_back
    run_order(operator, lambda state: state.start_release(version, parsed, auto_rollback, restart))


def make_release_order(name: str, help_text: str) -> click.Command:
    """Returns the command that applies the order of this name to the release."""

    @operator_option
    @reason_option
    def run(operator: Path | None, reason: str) -> None:
        """Applies the order."""
        from ..rollout.release import ReleaseInput

        run_order(operator, lambda state: state.apply_order(ReleaseInput[name.upper()], reason))

    return click.command(name, help=help_text)(run)


rollout.add_command(
    make_release_order(
        "halt", "Halt the release: no more servers leave, and unused permits are revoked."
    )
)
rollout.add_command(
    make_release_order("resume", "Resume a halted release with the wave that it was halted in.")
)
rollout.add_command(
    make_release_order(
        "rollback", "Return all servers to the last stable version, within the budget."
    )
)


@rollout.command()
@operator_option
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--for-s",
    type=click.IntRange(0, MAX_DRAIN_S),
    default=0,
    help="Seconds until a server that is out counts as missing; 0: the same as in a release.",
)
def drain(operator: Path | None, names: tuple[str, ...], for_s: int) -> None:
    """Drain and stop servers as the budget allows.

    You have to start them again yourself.
    """
    from ..rollout import SERVERS_GROUP

    def order(state: "RolloutState") -> "RolloutState":
        """Requests a drain of each server."""
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
    help="Seconds until servers call the instance again.",
)
@click.option(
    "--wait-s",
    type=click.IntRange(1, 86_400),
    default=600,
    help="Seconds to wait until the budget allows it.",
)
def take(operator: Path | None, service: str, address: str, for_s: int, wait_s: int) -> None:
    """Take an instance of a downstream service out, and wait until no server calls it.

    Exits with status 1 if the budget did not allow it in time.
    """

    async def work(store: "RolloutStore") -> bool:
        """Returns whether the budget allowed the drain; then no server calls the instance."""
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
        f"{address}: no server calls it; it is called again after `burlloom rollout give`, or when"
        f" {for_s} s are over"
    )


async def begin_drain(
    store: "RolloutStore", service: str, address: str, drain_s: int, wait_s: int
) -> "StateSnapshot | None":
    """Takes a downstream instance out as soon as the budget allows.

    Args:
        store: Open.
        service: Name of the downstream service.
        address: Address of the instance.
        drain_s: How long the instance stays out.
        wait_s: How long to wait for the budget.

    Returns:
        The state as it was written; None if the budget did not allow it within `wait_s`.

    Raises:
        OrderRejectedError: The order can't be carried out, or was withdrawn.
        StoreUnavailableError: The store was lost meanwhile.
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
            raise OrderRejectedError(f"{address}: the order was withdrawn", service, address)
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
    """Waits until all servers have acknowledged the drain of an instance.

    Args:
        store: Open.
        begun: The state with the begun drain.
        service: Name of the downstream service.
        address: Address of the instance.

    Raises:
        OrderRejectedError: The drain's time was over before.
        StoreUnavailableError: The store was lost meanwhile.
    """
    from ..rollout import InstanceState, OrderRejectedError

    snapshot = begun
    while not have_all_acknowledged(snapshot.state, await store.read_reports(), begun.state.step):
        snapshot = await store.read(snapshot)
        if snapshot.state.groups[service].instances[address].state is not InstanceState.OUT:
            raise OrderRejectedError(
                f"{address}: its time was over before all servers stopped calling it",
                service,
                address,
            )
        await asyncio.sleep(POLL_INTERVAL_S)


def have_all_acknowledged(
    state: "RolloutState", reports: "Iterable[ServerReport]", step: int
) -> bool:
    """Returns whether all servers that may make downstream calls have acknowledged a step.

    A missing server may still make calls, so it has to return or be retired first.

    Args:
        state: The current state.
        reports: The servers' newest reports.
        step: Number of the step.
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
    """Allow calls to a downstream instance again.

    The instance counts as out until calls to it have succeeded for a while.
    """
    run_order(operator, lambda state: state.end_drain(service, address))


@rollout.command()
@operator_option
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--group", default="servers", help="Name of a downstream service; by default the servers."
)
def retire(operator: Path | None, names: tuple[str, ...], group: str) -> None:
    """Remove servers or downstream instances that will not return; they no longer count."""

    def order(state: "RolloutState") -> "RolloutState":
        """Removes each instance."""
        for name in names:
            state = state.retire(group, name)
        return state

    run_order(operator, order)


@rollout.command()
@operator_option
@click.option(
    "--group", default="servers", help="Name of a downstream service; by default the servers."
)
@click.option("--most", type=click.IntRange(1), help="Maximum number of instances out at once.")
@click.option(
    "--share",
    type=click.FloatRange(0, 1, min_open=True, max_open=True),
    help="Maximum share of the group's instances out at once.",
)
def budget(operator: Path | None, group: str, most: int | None, share: float | None) -> None:
    """Change how many instances of a group may be out at once.

    The operator's files only set the initial budget of a group.
    """
    from ..rollout import DisruptionBudget

    if (most is None) == (share is None):
        raise click.UsageError("name either --most or --share")
    changed = DisruptionBudget(most or 1, share or 0.0)
    run_order(operator, lambda state: state.set_budget(group, changed))


@rollout.command()
@operator_option
@click.argument("name")
def version(operator: Path | None, name: str) -> None:
    """Print the version that server NAME must start with now, for the program that starts it.

    If the store is unavailable, prints the version in the release file; exits with status 2 if
    there is no such file.
    """
    loaded, part = load_rollout_part(operator)

    async def read_version() -> str:
        """Returns the version that the rollout state has for the server."""
        from ..rollout.stores.factory import create_rollout_store

        store = create_rollout_store(loaded)
        try:
            await store.open()
            return (await store.read()).state.find_next_version(name)
        finally:
            await store.close()

    from ..rollout.stores import StateDecodeError, StoreUnavailableError

    with exit_on_store_refusal():
        try:
            found = asyncio.run(read_version())
        except (StoreUnavailableError, StateDecodeError) as error:
            found = read_release_file(part.release_file, error)
        click.echo(found or part.version)


def read_release_file(path: str | None, error: Exception) -> str:
    """Returns the version in the release file; prints a warning.

    Exits with status 2 if there is no such file.

    Args:
        path: The release file; None if the setting is missing.
        error: The error of the store.
    """
    if path is None or not os.path.exists(path):
        click.echo(f"burlloom: {error}", err=True)
        sys.exit(2)
    click.echo(f"burlloom: {error}; the version is from {path}", err=True)
    return Path(path).read_text(encoding="utf-8").strip()


@rollout.command()
@operator_option
@click.option("--name", default=f"driver-{os.getpid()}", help="Name as a leader.")
def drive(operator: Path | None, name: str) -> None:
    """Run a leader of the fleet's rollouts in the foreground, where servers are not to lead.

    Any number may run at once: one leads, the others take over if it fails.
    """
    _, part = load_rollout_part(operator)

    async def lead(store: "RolloutStore") -> None:
        """Runs rounds of the leader until cancelled."""
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
