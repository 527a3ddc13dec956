"""Tests of several server processes that share downstream calls while processes and network fail.

The assertions use the calls that are open at the downstream services at the same time, sampled
every 5 ms.
"""

import asyncio
import json
import secrets
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from fleet_rig import KEY, SHORT_INTERVALS, Fleet, Server
from rig import wait_until
from test_command import burlloom

from burlloom.operator import OperatorFileError, load

TOTAL_CALLS = 24
MAX_TOTAL_RATIO = 1.05  # allowed ratio of the open calls to the total


def fleet_test(
    count: int, **options: Any
) -> Callable[[Callable[[Fleet], Awaitable[None]]], Callable[[Path], None]]:
    """Returns a decorator that makes a test of a scenario with `count` servers.

    The configured minimum fleet size is more than half of `count` unless `options` sets it.
    """

    def wrap(scenario: Callable[[Fleet], Awaitable[None]]) -> Callable[[Path], None]:
        def test(tmp_path: Path) -> None:
            async def run_scenario() -> None:
                async with Fleet(
                    tmp_path,
                    **{
                        "total_calls": TOTAL_CALLS,
                        "standalone_calls": TOTAL_CALLS,
                        "min_members": count // 2 + 1,
                        **options,
                    },
                ) as fleet:
                    await fleet.add_servers(count)
                    await scenario(fleet)

            asyncio.run(run_scenario())

        test.__name__, test.__doc__ = scenario.__name__, scenario.__doc__
        return test

    return wrap


def uses_all_calls(fleet: Fleet) -> Callable[[], bool]:
    """Returns a condition: the servers use at least 95% and at most 105% of the total."""
    return lambda: (
        0.95 * fleet.total_calls <= fleet.mean_open_calls
        and fleet.max_open_calls <= MAX_TOTAL_RATIO * fleet.total_calls
    )


def have_share(fleet: Fleet, servers: list[Server], share: float) -> Callable[[], bool]:
    """Returns a condition: each server has `share` calls, give or take 10%, within the total."""
    return lambda: (
        fleet.max_open_calls <= MAX_TOTAL_RATIO * fleet.total_calls
        and all(
            abs(server.read_state().get("share", 0) - share) <= 0.1 * share for server in servers
        )
    )


async def check_total_for(fleet: Fleet, seconds: float) -> None:
    fleet.reset_samples()
    await asyncio.sleep(seconds)
    assert fleet.max_open_calls <= MAX_TOTAL_RATIO * fleet.total_calls, fleet.max_open_calls


@fleet_test(3, is_enabled=False)
async def test_servers_without_a_fleet_each_use_all_calls(fleet: Fleet) -> None:
    await fleet.wait_for(lambda: fleet.max_open_calls >= 2.5 * fleet.total_calls)


@fleet_test(4)
async def test_datagrams_may_be_lost_delayed_duplicated_and_replayed(fleet: Fleet) -> None:
    await fleet.wait_for(uses_all_calls(fleet))
    fleet.relay.loss_share, fleet.relay.duplicate_share, fleet.relay.delay_range_s = (
        0.15,
        0.2,
        (0.0, 0.02),
    )
    await check_total_for(fleet, 1)
    await fleet.wait_for(uses_all_calls(fleet))
    fleet.relay.loss_share = 0.0
    fleet.relay.resend_recent()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unauthenticated_sender:
        for size in (0, 1, 16, 17, 100, 1400, 1500, 9000):
            for server in fleet.servers:
                unauthenticated_sender.sendto(
                    secrets.token_bytes(size), fleet.relay.endpoints[server.name].target or ("", 0)
                )
    await check_total_for(fleet, 0.5)
    await fleet.wait_for(uses_all_calls(fleet))
    await wait_until(
        lambda: all(server.read_state()["counts"]["unreadable"] > 0 for server in fleet.servers)
    )


@fleet_test(4)
async def test_a_suspended_server_loses_its_share_and_resumes(fleet: Fleet) -> None:
    """Checks that the share of a suspended server is allocated to the others.

    After the server resumes it must not use the share that it held before the suspension.
    """
    await fleet.wait_for(uses_all_calls(fleet))
    paused = fleet.servers[1]
    fleet.reset_samples()
    paused.send_signal(signal.SIGSTOP)
    await fleet.wait_for(
        have_share(
            fleet, [server for server in fleet.servers if server is not paused], TOTAL_CALLS / 3
        )
    )
    fleet.reset_samples()
    paused.send_signal(signal.SIGCONT)
    await asyncio.sleep(0.5)
    assert fleet.max_open_calls <= MAX_TOTAL_RATIO * TOTAL_CALLS
    await fleet.wait_for(have_share(fleet, fleet.servers, TOTAL_CALLS / 4))


@fleet_test(4)
async def test_the_allocator_is_killed_and_restarted(fleet: Fleet) -> None:
    await fleet.wait_for(uses_all_calls(fleet))
    allocator = next(
        server for server in fleet.servers if server.read_state()["deals"] == "dealing"
    )
    fleet.reset_samples()
    await allocator.kill()
    await fleet.wait_for(
        have_share(
            fleet, [server for server in fleet.servers if server is not allocator], TOTAL_CALLS / 3
        )
    )
    await allocator.begin()
    await fleet.wait_for(have_share(fleet, fleet.servers, TOTAL_CALLS / 4))
    # After two kills in a row each new incarnation replaces the previous one immediately.
    for _ in range(2):
        await fleet.servers[0].kill()
        await fleet.servers[0].begin()
    await check_total_for(fleet, 1)
    await fleet.wait_for(have_share(fleet, fleet.servers, TOTAL_CALLS / 4))


@fleet_test(5, total_calls=30)
async def test_network_partitions_and_their_end(fleet: Fleet) -> None:
    """Isolates two of five servers, then one that still receives messages.

    The isolated servers must decay to their minimum before the others use their shares.
    """
    await fleet.wait_for(uses_all_calls(fleet))
    minority, majority = {"n0", "n1"}, {"n2", "n3", "n4"}
    fleet.relay.cut(minority, majority)
    await fleet.wait_for(
        have_share(fleet, [server for server in fleet.servers if server.name in majority], 10)
    )
    await heal_and_check(fleet, minority)
    fleet.relay.cut({"n4"}, {"n0", "n1", "n2", "n3"}, both=False)
    await fleet.wait_for(have_share(fleet, fleet.servers[:4], 7.5))
    await heal_and_check(fleet, {"n4"})


async def heal_and_check(fleet: Fleet, minority: set[str]) -> None:
    """Heals the network while `minority` is at its minimum, and waits for equal shares."""
    assert all(
        server.read_state()["share"] < 0.5 for server in fleet.servers if server.name in minority
    )
    fleet.fractional_share_servers = minority
    fleet.relay.heal()
    await check_total_for(fleet, 1)
    assert fleet.mean_open_calls <= MAX_TOTAL_RATIO * fleet.total_calls, fleet.mean_open_calls
    fleet.fractional_share_servers = set()
    await fleet.wait_for(have_share(fleet, fleet.servers, 6))


@fleet_test(3, total_calls=48)
async def test_shares_are_fair_as_the_fleet_grows_and_shrinks(fleet: Fleet) -> None:
    await fleet.wait_for(have_share(fleet, fleet.servers, 16))
    fleet.reset_samples()
    added_servers = await fleet.add_servers(5, max_open_requests=20)
    assert fleet.max_open_calls <= MAX_TOTAL_RATIO * fleet.total_calls
    await fleet.wait_for(have_share(fleet, fleet.servers, 6))
    await fleet.wait_for(uses_all_calls(fleet))
    fleet.reset_samples()
    for server in added_servers:
        server.max_open_requests = 0
    await asyncio.gather(*(server.drain_and_stop() for server in added_servers))
    await fleet.wait_for(have_share(fleet, fleet.servers, 16))
    await fleet.wait_for(uses_all_calls(fleet))


@fleet_test(3, total_calls=30, services=5, call_duration_s=0.05)
async def test_downstream_services_have_equal_load(fleet: Fleet) -> None:
    fleet.config_overrides = {"services": [service.address for service in fleet.services]}
    await fleet.add_servers(2)  # the new servers know five services, the first three only one
    servers_with_all_services = fleet.servers[3:]

    def is_balanced(services: list[Any]) -> bool:
        counts = [len(service.calls) for service in services]
        return min(counts) > 0 and max(counts) <= 1.1 * sum(counts) / len(counts)

    def clear_call_records() -> None:
        for service in fleet.services:
            service.calls.clear()

    for server in fleet.servers[:3]:
        server.max_open_requests = 0
    await fleet.wait_for(
        lambda: all(server.settled_requests > 20 for server in servers_with_all_services)
    )
    clear_call_records()
    await fleet.wait_for(lambda: sum(len(service.calls) for service in fleet.services) > 200)
    assert is_balanced(fleet.services), [len(service.calls) for service in fleet.services]
    stopped = fleet.services.pop()
    await stopped.stop()
    settled_requests = [server.settled_requests for server in servers_with_all_services]
    await fleet.wait_for(
        lambda: all(
            server.settled_requests > before + 20
            for server, before in zip(servers_with_all_services, settled_requests, strict=True)
        )
    )
    clear_call_records()
    await fleet.wait_for(lambda: sum(len(service.calls) for service in fleet.services) > 200)
    assert is_balanced(fleet.services), [len(service.calls) for service in fleet.services]


@fleet_test(3)
async def test_keys_are_changed_at_run_time(fleet: Fleet) -> None:
    """Replaces the key in steps, so that all servers accept the new key before one sends with it.

    A server with an unknown key must not become a member.
    """
    await fleet.wait_for(uses_all_calls(fleet))
    for keys in ((KEY, "aa" * 32), ("aa" * 32, KEY), ("aa" * 32,)):
        fleet.key_path.write_text("\n".join(keys) + "\n")
        await wait_until(
            lambda: all(
                f"event=membership_keys_loaded count={len(keys)}" in server.log()
                for server in fleet.servers
            )
        )
        await check_total_for(fleet, 1.2)
    fleet.key_path.write_text("not hex\n")
    await wait_until(
        lambda: all("event=membership_keys_rejected" in server.log() for server in fleet.servers)
    )
    await fleet.wait_for(uses_all_calls(fleet))
    assert not any("state=dead" in server.log() for server in fleet.servers)
    fleet.key_path = fleet.folder / "other"
    fleet.key_path.write_text("bb" * 32 + "\n")
    server_with_other_key = (await fleet.add_servers(1))[0]
    await wait_until(
        lambda: server_with_other_key.read_state().get("counts", {}).get("sent", 0) > 5
    )
    await fleet.wait_for(uses_all_calls(fleet))
    assert all(len(server.read_state()["members"]) == 3 for server in fleet.servers[:3])


@fleet_test(4, min_members=2)
async def test_an_operator_shows_and_forgets_members(fleet: Fleet) -> None:
    """Kills half of the fleet, which the others cannot distinguish from a network partition.

    They must not use the shares of the killed servers until an operator declares these as gone.
    """
    await fleet.wait_for(uses_all_calls(fleet))
    stopped, remaining = fleet.servers[:2], fleet.servers[2:]

    async def command(*arguments: str, status: int = 0) -> str:
        return await asyncio.to_thread(
            burlloom,
            "fleet",
            *arguments,
            "-o",
            remaining[0].folder / "operator.jsonnet",
            status=status,
        )

    output = await command("show")
    assert f"{remaining[0].name}: share 6 of 24 calls, holding; dealt by n" in output
    assert output.count(" alive ") == 4
    assert "n1: is alive to n2; say --force" in await command("forget", "n1", "nobody", status=2)
    for server in stopped:
        await server.kill()
    await wait_until(
        lambda: all(
            output.count("state=dead") >= 2 for output in (server.log() for server in remaining)
        )
    )
    await asyncio.sleep(SHORT_INTERVALS["redeal_ms"] / 1000)
    assert have_share(fleet, remaining, 6)(), fleet.shares()
    assert "forgotten: n0, n1" in await command("forget", "n0", "n1")
    await fleet.wait_for(have_share(fleet, remaining, 12))
    for server in stopped:  # forgotten servers may start again
        await server.begin()
    await fleet.wait_for(have_share(fleet, fleet.servers, 6))


def test_the_commands_create_a_key_and_plan_a_change(tmp_path: Path) -> None:
    key, path = tmp_path / "key", tmp_path / "operator.jsonnet"
    assert "1 keys" in burlloom("fleet", "key", key)
    assert "2 keys" in burlloom("fleet", "key", key)
    assert key.stat().st_mode & 0o777 == 0o600
    fleet_config = {
        "listen": "127.0.0.1:7946",
        "key_file": str(key),
        "calls": 120,
        "least": 20,
        "services": [f"10.0.0.{index}:80" for index in range(1, 21)],
    }
    path.write_text(json.dumps({"fleet": fleet_config}))
    output = burlloom("fleet", "plan", "-o", path, "--servers", "60", "--leave", "1")
    assert (
        "each server calls 8.0 on average" in output
        and "0 come and 1 go: 8 of 480 pairs move (1.7%)" in output
    ), output
    assert "state_file is not set" in burlloom("fleet", "show", "-o", path, status=2)


@pytest.mark.parametrize(
    ("overrides", "expected_message"),
    [
        (
            {"cut_ms": 9000, "redeal_ms": 9000},
            "fleet: redeal_ms (9000) must be at least cut_ms plus two times lease_ms (13000)",
        ),
        ({"lease_ms": 1000}, "fleet: lease_ms (1000) must be at least eight times round_ms (200)"),
        (
            {"seeds": ["10.0.0.1:0"]},
            "fleet: seeds: '10.0.0.1:0' is not an IPv4 address with a port",
        ),
        (
            {"services": ["10.0.0.1:80", "10.0.0.1:80"]},
            "fleet: services: the addresses must be distinct",
        ),
        (
            {"key_file": "none"},
            "fleet: key_file: none: No such file or directory; `burlloom fleet key` makes one",
        ),
        ({"floor": 0.5}, "fleet.floor: "),
        ({"calls": 0}, "fleet.calls: "),
        ({"subsets": 3}, "fleet.subsets: unknown key"),
        ({"listen": "here:1"}, "fleet.listen: "),
    ],
)
def test_an_invalid_operator_file_is_rejected(
    tmp_path: Path, overrides: dict[str, Any], expected_message: str
) -> None:
    (tmp_path / "key").write_text(KEY)
    path = tmp_path / "operator.jsonnet"
    path.write_text(
        json.dumps(
            {
                "fleet": {
                    "listen": "127.0.0.1:7946",
                    "key_file": str(tmp_path / "key"),
                    "calls": 10,
                    "least": 2,
                    **overrides,
                }
            }
        )
    )
    with pytest.raises(OperatorFileError) as error_info:
        load(path)
    assert any(expected_message in line for line in error_info.value.lines), error_info.value.lines
