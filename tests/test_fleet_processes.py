"""Several processes of the program share out the calls below, while processes and the network
between them fail.

What is asserted is seen by the services below: calls that are open there at once, looked at every 5
ms.
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
from fleet_rig import KEY, QUICK, Fleet, Server
from rig import wait_until
from test_command import burlloom

from burlloom.operator import OperatorFileError, load

CALLS = 24
WITHIN = 1.05  # of the share below


def fleet(
    count: int, **told: Any
) -> Callable[[Callable[[Fleet], Awaitable[None]]], Callable[[Path], None]]:
    """Makes a test of a story told with so many servers, more than half of whom are the least."""

    def wrap(story: Callable[[Fleet], Awaitable[None]]) -> Callable[[Path], None]:
        def test(tmp_path: Path) -> None:
            async def play() -> None:
                async with Fleet(
                    tmp_path, **{"calls": CALLS, "alone": CALLS, "least": count // 2 + 1, **told}
                ) as made:
                    await made.add(count)
                    await story(made)

            asyncio.run(play())

        test.__name__, test.__doc__ = story.__name__, story.__doc__
        return test

    return wrap


def full(made: Fleet) -> Callable[[], bool]:
    """All of the share is in use, and no more."""
    return lambda: 0.95 * made.calls <= made.mean and made.worst <= WITHIN * made.calls


def held(made: Fleet, servers: list[Server], share: float) -> Callable[[], bool]:
    return lambda: (
        made.worst <= WITHIN * made.calls
        and all(abs(server.state().get("share", 0) - share) <= 0.1 * share for server in servers)
    )


async def within(made: Fleet, seconds: float) -> None:
    made.again()
    await asyncio.sleep(seconds)
    assert made.worst <= WITHIN * made.calls, made.worst


@fleet(3, on=False)
async def test_alone_each_takes_all(made: Fleet) -> None:
    await made.settles(lambda: made.worst >= 2.5 * made.calls)


@fleet(4)
async def test_letters_lost_late_doubled_and_played_again(made: Fleet) -> None:
    await made.settles(full(made))
    made.relay.loss, made.relay.doubles, made.relay.delay = 0.15, 0.2, (0.0, 0.02)
    await within(made, 1)
    await made.settles(full(made))
    made.relay.loss = 0.0
    made.relay.again()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        for size in (0, 1, 16, 17, 100, 1400, 1500, 9000):
            for server in made.servers:
                stranger.sendto(
                    secrets.token_bytes(size), made.relay.doors[server.name].target or ("", 0)
                )
    await within(made, 0.5)
    await made.settles(full(made))
    await wait_until(
        lambda: all(server.state()["counts"]["unreadable"] > 0 for server in made.servers)
    )


@fleet(4)
async def test_a_server_is_paused_and_wakes(made: Fleet) -> None:
    """Its share is dealt anew meanwhile; what it held when it fell asleep counts for nothing
    then.
    """
    await made.settles(full(made))
    paused = made.servers[1]
    made.again()
    paused.signal(signal.SIGSTOP)
    await made.settles(held(made, [one for one in made.servers if one is not paused], CALLS / 3))
    made.again()
    paused.signal(signal.SIGCONT)
    await asyncio.sleep(0.5)
    assert made.worst <= WITHIN * CALLS
    await made.settles(held(made, made.servers, CALLS / 4))


@fleet(4)
async def test_who_deals_is_killed_and_started_again(made: Fleet) -> None:
    await made.settles(full(made))
    dealer = next(server for server in made.servers if server.state()["deals"] == "dealing")
    made.again()
    await dealer.kill()
    await made.settles(held(made, [one for one in made.servers if one is not dealer], CALLS / 3))
    await dealer.begin()
    await made.settles(held(made, made.servers, CALLS / 4))
    # Killed twice in a row, each new life takes the place of the old one at once.
    for _ in range(2):
        await made.servers[0].kill()
        await made.servers[0].begin()
    await within(made, 1)
    await made.settles(held(made, made.servers, CALLS / 4))


@fleet(5, calls=30)
async def test_cuts_and_their_healing(made: Fleet) -> None:
    """Two of five: they sink to their floor before the others take what they had. Then one who only
    hears.
    """
    await made.settles(full(made))
    few, most = {"n0", "n1"}, {"n2", "n3", "n4"}
    made.relay.cut(few, most)
    await made.settles(held(made, [one for one in made.servers if one.name in most], 10))
    await healed(made, few)
    made.relay.cut({"n4"}, {"n0", "n1", "n2", "n3"}, both=False)
    await made.settles(held(made, made.servers[:4], 7.5))
    await healed(made, {"n4"})


async def healed(made: Fleet, few: set[str]) -> None:
    """From the moment at which those few are at their floor until all hold the same again."""
    assert all(one.state()["share"] < 0.5 for one in made.servers if one.name in few)
    made.part_time = few
    made.relay.heal()
    await within(made, 1)
    assert made.mean <= WITHIN * made.calls, made.mean
    made.part_time = set()
    await made.settles(held(made, made.servers, 6))


@fleet(3, calls=48)
async def test_shares_are_fair_as_the_fleet_grows_and_shrinks(made: Fleet) -> None:
    await made.settles(held(made, made.servers, 16))
    made.again()
    more = await made.add(5, open_most=20)
    assert made.worst <= WITHIN * made.calls
    await made.settles(held(made, made.servers, 6))
    await made.settles(full(made))
    made.again()
    for server in more:
        server.open_most = 0
    await asyncio.gather(*(server.leaves() for server in more))
    await made.settles(held(made, made.servers, 16))
    await made.settles(full(made))


@fleet(3, calls=30, services=5, call_s=0.05)
async def test_services_below_have_the_same_load(made: Fleet) -> None:
    made.part = {"services": [service.address for service in made.services]}
    await made.add(2)  # these know five services, the first three only one
    two = made.servers[3:]

    def even(services: list[Any]) -> bool:
        counts = [len(service.calls) for service in services]
        return min(counts) > 0 and max(counts) <= 1.1 * sum(counts) / len(counts)

    def anew() -> None:
        for service in made.services:
            service.calls.clear()

    for server in made.servers[:3]:
        server.open_most = 0
    await made.settles(lambda: all(server.settled > 20 for server in two))
    anew()
    await made.settles(lambda: sum(len(service.calls) for service in made.services) > 200)
    assert even(made.services), [len(service.calls) for service in made.services]
    gone = made.services.pop()
    await gone.stop()
    settled = [server.settled for server in two]
    await made.settles(
        lambda: all(
            server.settled > before + 20 for server, before in zip(two, settled, strict=True)
        )
    )
    anew()
    await made.settles(lambda: sum(len(service.calls) for service in made.services) > 200)
    assert even(made.services), [len(service.calls) for service in made.services]


@fleet(3)
async def test_keys_change_while_it_runs(made: Fleet) -> None:
    """The new one is opened by all before the first seals with it; who has another key is
    nobody.
    """
    await made.settles(full(made))
    for keys in ((KEY, "aa" * 32), ("aa" * 32, KEY), ("aa" * 32,)):
        made.key.write_text("\n".join(keys) + "\n")
        await wait_until(
            lambda: all(
                f"event=membership_keys_loaded count={len(keys)}" in server.log()
                for server in made.servers
            )
        )
        await within(made, 1.2)
    made.key.write_text("not hex\n")
    await wait_until(
        lambda: all("event=membership_keys_rejected" in server.log() for server in made.servers)
    )
    await made.settles(full(made))
    assert not any("state=dead" in server.log() for server in made.servers)
    made.key = made.folder / "other"
    made.key.write_text("bb" * 32 + "\n")
    stranger = (await made.add(1))[0]
    await wait_until(lambda: stranger.state().get("counts", {}).get("sent", 0) > 5)
    await made.settles(full(made))
    assert all(len(server.state()["members"]) == 3 for server in made.servers[:3])


@fleet(4, least=2)
async def test_an_operator_looks_and_forgets(made: Fleet) -> None:
    """Half of the fleet is lost: the rest may not tell that from a cut, until somebody who knows
    says so.
    """
    await made.settles(full(made))
    gone, here = made.servers[:2], made.servers[2:]

    async def command(*words: str, status: int = 0) -> str:
        return await asyncio.to_thread(
            burlloom, "fleet", *words, "-o", here[0].folder / "operator.jsonnet", status=status
        )

    said = await command("show")
    assert f"{here[0].name}: share 6 of 24 calls, holding; dealt by n" in said
    assert said.count(" alive ") == 4
    assert "n1: is alive to n2; say --force" in await command("forget", "n1", "nobody", status=2)
    for server in gone:
        await server.kill()
    await wait_until(
        lambda: all(said.count("state=dead") >= 2 for said in (server.log() for server in here))
    )
    await asyncio.sleep(QUICK["redeal_ms"] / 1000)
    assert held(made, here, 6)(), made.shares()
    assert "forgotten: n0, n1" in await command("forget", "n0", "n1")
    await made.settles(held(made, here, 12))
    for server in gone:  # they were not gone for good after all
        await server.begin()
    await made.settles(held(made, made.servers, 6))


def test_a_key_is_made_and_a_change_planned(tmp_path: Path) -> None:
    key, path = tmp_path / "key", tmp_path / "operator.jsonnet"
    assert "1 keys" in burlloom("fleet", "key", key)
    assert "2 keys" in burlloom("fleet", "key", key)
    assert key.stat().st_mode & 0o777 == 0o600
    part = {
        "listen": "127.0.0.1:7946",
        "key_file": str(key),
        "calls": 120,
        "least": 20,
        "services": [f"10.0.0.{at}:80" for at in range(1, 21)],
    }
    path.write_text(json.dumps({"fleet": part}))
    said = burlloom("fleet", "plan", "-o", path, "--servers", "60", "--leave", "1")
    assert (
        "each server calls 8.0 on average" in said
        and "0 come and 1 go: 8 of 480 pairs move (1.7%)" in said
    ), said
    assert "state_file is not set" in burlloom("fleet", "show", "-o", path, status=2)


@pytest.mark.parametrize(
    ("told", "said"),
    [
        (
            {"cut_ms": 9000, "redeal_ms": 9000},
            "fleet: redeal 9000 ms is under cut and two leases, 13000 ms",
        ),
        ({"lease_ms": 1000}, "fleet: lease 1000 ms is under eight rounds of 200 ms"),
        ({"seeds": ["10.0.0.1:0"]}, "fleet: seeds: '10.0.0.1:0' is no IPv4 address with a port"),
        ({"services": ["10.0.0.1:80", "10.0.0.1:80"]}, "fleet: services: an address stands twice"),
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
def test_files_that_can_not_be(tmp_path: Path, told: dict[str, Any], said: str) -> None:
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
                    **told,
                }
            }
        )
    )
    with pytest.raises(OperatorFileError) as refused:
        load(path)
    assert any(said in line for line in refused.value.lines), refused.value.lines
