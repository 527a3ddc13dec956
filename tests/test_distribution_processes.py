"""Changes of configuration go from control machines to real servers, while processes, the network
and the store fail.

What is asserted at the end of each story: every server has in force exactly what was put, and
applied it in the store's order (`World.in_order`, a checker outside of the program).
"""

import asyncio
import hashlib
import json
import re
import secrets
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from distribution_rig import KEY, SIGNING, World, patiently, tenant, without
from rig import ROOT, within_timeout
from test_command import burlloom

from burlloom.operator import OperatorFileError, load

BASE = [
    tenant("acme"),
    tenant("blue", portion=2.5),
    {
        "entries": [
            {"kind": "route", "key": "a/b", "value": {"to": "x"}},
            {"kind": "setting", "key": "s", "value": {"n": 1}},
        ]
    },
    tenant("only-north", scope="north"),
    tenant("only-south", scope="south"),
]


def world(
    control: int,
    servers: int,
    regions: tuple[str, ...] = ("north",),
    postgres: bool = False,
    parts: dict[str, Any] | None = None,
    **more: Any,
) -> Callable[[Callable[[World], Awaitable[None]]], Callable[[Path], None]]:
    """Makes a test of a story told with so many, all of which have what was put first."""

    def wrap(story: Callable[[World], Awaitable[None]]) -> Callable[[Path], None]:
        def test(tmp_path: Path) -> None:
            async def play() -> None:
                async with World(tmp_path, postgres, parts) as made:
                    await made.control(control, regions)
                    await made.put(*BASE)
                    await made.add(servers, regions, **more)
                    await made.reaches()
                    await story(made)
                    await made.reaches()
                    made.in_order()

            asyncio.run(play())

        test.__name__, test.__doc__ = story.__name__, story.__doc__
        return test

    return wrap


def follows(made: World) -> dict[str, str]:
    return {node.name: node.state().get("upstream", "") for node in made.nodes}


@world(2, 4, regions=("north", "south"))
async def test_a_change_reaches_all(made: World) -> None:
    """A tenant that is added is served without a restart, one that is removed is refused; a
    region's own only there.
    """
    north, south = made.nodes[0], made.nodes[1]
    assert await north.serves("acme")
    assert not await north.serves("new")
    assert await north.serves("only-north")
    assert not await south.serves("only-north")
    assert await south.serves("only-south")
    assert "1 changes taken" in await made.put(tenant("new", portion=1))
    await made.reaches()
    assert all([await node.serves("new") for node in made.nodes])
    await made.put(without("acme"), tenant("blue", scope="north", portion=9))
    await made.reaches()
    assert not any([await node.serves("acme") for node in made.nodes])
    # Control machines of the own region are followed.
    await patiently(
        lambda: follows(made) == {"n0": "c0", "n1": "c1", "n2": "c0", "n3": "c1"},
        lambda: follows(made),
    )

    said = await made.command(north, "show")
    assert "n0 (server, north): epoch" in said
    assert "current, surely the newest" in said
    assert "follows c0" in said
    await patiently(lambda: made.machines[0].state()["behind"] == 0)
    said = await made.command(made.machines[0], "show")
    assert (
        "c0 (control, north): epoch" in said and "2 of at most 400 follow, 0 of them behind" in said
    ), said
    assert (
        json.loads(await made.command(made.machines[0], "show", "--json"))["lowest_revision"]
        == made.head()[1]
    )
    # A server asks whom it follows, a control machine its store. Who asks has no door in the relay.
    path = north.folder / "operator.jsonnet"
    path.write_text(
        path.read_text().replace(
            made.doors["c0"], "%s:%d" % (made.relay.endpoints["c0"].target or ("", 0))
        )
    )
    for asked in (north, made.machines[0]):
        said = await made.command(asked, "explain", "tenant", "blue")
        assert (
            'tenant blue: {"portion": 9}, of north' in said and "in force" in said.splitlines()[1]
        ), said
        assert 'tenant blue: {"portion": 2.5}, of everywhere' in said
        assert "hidden by the region's own" in said
        assert "tenant acme: not in force in north" in await made.command(
            asked, "explain", "tenant", "acme"
        )


@world(control=1, servers=0)
async def test_a_control_machine_ends_though_its_parent_blocks_the_signals(made: World) -> None:
    """A mask is handed on to whoever is started; `World` asserts at its end that each ended by
    itself.
    """
    heard = {signal.SIGTERM, signal.SIGINT}
    before = signal.pthread_sigmask(signal.SIG_BLOCK, heard)
    try:
        await made.control(2, ("north",))
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
    first, second = made.machines[1:]
    first.signal(signal.SIGTERM)
    second.signal(signal.SIGINT)
    assert [await within_timeout(one.process.wait()) for one in (first, second)] == [0, 0]


@world(1, 1)
async def test_a_bad_file_is_refused_whole(made: World) -> None:
    before = made.head()
    said = await made.put(
        tenant("good"),
        {"scope": 3, "entries": [{"kind": "tenant", "key": "x", "value": [1]}]},
        {
            "entries": [
                {"kind": "nothing", "key": "", "value": {}},
                {"kind": "tenant", "key": "p", "value": {"portion": -1}},
            ]
        },
        {"entries": [{"kind": "tenant", "key": "q", "value": {"portion": "many"}}], "more": 1},
        {"entries": [{"kind": "setting", "key": "s", "value": {"long": "x" * 600}}]},
        {"entries": []},
        status=2,
    )
    for part in (
        "line 2: scope: no text",
        "line 2: entries[0].value: no object",
        "line 3: entries[0].kind:",
        "line 3: entries[0].key:",
        "line 4: more: unknown key",
        "line 5: entries[0].value: ",
        "line 6: entries: 0, of 1",
        "nothing was taken",
    ):
        assert part in said, (part, said)
    said = await made.put(
        {"entries": [{"kind": "tenant", "key": "p", "value": {"portion": -1}}]}, status=2
    )
    assert "line 1: entries[0].value.portion: -1 is no number over 0" in said
    assert made.head() == before
    assert not await made.nodes[0].serves("good")


@world(1, 0)
async def test_a_server_waits_for_its_first_sync_and_then_says_so(made: World) -> None:
    """Cut off from the start, it serves its configuration's tenants; healed, those of the table."""
    made.relay.cut({"n0"}, {"c0"})
    (node,) = await made.add(1, wait_ms=300)
    assert "event=distribution_not_in_force" in node.log()
    assert "tenants=1" in node.log()
    assert await node.serves("acme")
    assert not await node.serves("blue")
    await patiently(lambda: node.state().get("state") == "alone")
    assert node.state()["age_ms"] is None
    assert node.state()["revision"] is None
    made.relay.heal()
    await made.reaches()
    assert await node.serves("blue")


@world(1, 0)
async def test_a_server_that_waits_for_its_first_sync_can_leave(made: World) -> None:
    made.relay.cut({"n0"}, {"c0"})
    with pytest.raises(AssertionError):  # it leaves before it is ready
        starting = asyncio.create_task(made.add(1, wait_ms=60_000))
        log = made.folder / "n0" / "log"
        await patiently(lambda: log.exists() and "event=distribution_opened" in log.read_text())
        made.nodes[0].signal(signal.SIGTERM)
        await starting
    node = made.nodes.pop()
    assert await within_timeout(node.process.wait()) == 0, node.log()
    assert "event=stopped" in node.log()
    assert "level=error" not in node.log()


@world(3, 4)
async def test_a_control_machine_is_killed_and_another_stands_still(made: World) -> None:
    """Their followers go to another; changes go on meanwhile. What was asleep wakes, and misses
    nothing.
    """
    gone = next(one for one in made.machines if one.name == follows(made)["n0"])
    rest = [at for at, one in enumerate(made.machines) if one is not gone]
    await gone.kill()
    for n in range(3):
        await made.put(tenant(f"k{n}"), by=rest[n % 2])
    await made.reaches()
    assert all(whom != gone.name for whom in follows(made).values())
    sleeper = made.machines[rest[0]]
    sleeper.signal(signal.SIGSTOP)
    await made.put(tenant("asleep"), without("k0"), by=rest[1])
    await made.reaches()
    sleeper.signal(signal.SIGCONT)
    await gone.start()
    await made.put(tenant("awake"), by=rest[0])
    await made.reaches()
    await patiently(
        lambda: all(one.state().get("revision") == made.head()[1] for one in made.machines)
    )


@world(2, 4)
async def test_servers_are_killed_paused_and_woken(made: World) -> None:
    killed, paused = made.nodes[0], made.nodes[1]
    await killed.kill()
    paused.signal(signal.SIGSTOP)
    await made.put(tenant("while-away"), without("acme"))
    await made.reaches(*made.nodes[2:])
    await killed.begin()
    await made.reaches(killed)
    assert await killed.serves("while-away")
    paused.signal(signal.SIGCONT)
    await made.reaches(paused)
    assert await paused.serves("while-away")
    assert not await paused.serves("acme")
    assert paused.log().count("event=config_synced") == 1, "it was to catch up by changes"


@world(2, 4, regions=("north", "south"))
async def test_a_region_is_cut_off_and_catches_up_in_order(made: World) -> None:
    """It serves on with what it has, and knows how old that is; first a full cut, then one way
    only.
    """
    north = {one.name for one in (*made.nodes, *made.machines) if one.region == "north"}
    south = {one.name for one in (*made.nodes, *made.machines)} - north
    cut = [node for node in made.nodes if node.region == "south"]
    for both in (True, False):
        made.relay.cut(south, {"c0"})
        # Its own control machine is cut from it as well, so that nobody tells it anything.
        made.relay.cut({"c1"}, {node.name for node in cut}, both)
        before = cut[0].state()["revision"]
        await made.put(tenant(f"cut-{both}"), tenant("south-too", scope="south", at=both))
        await made.put(tenant("more", both=both))
        await made.reaches(*(node for node in made.nodes if node not in cut))
        await patiently(
            lambda: all(
                node.state()["state"] == "alone" and node.state()["age_ms"] > 2000 for node in cut
            ),
            lambda: [node.state() for node in cut],
        )
        assert all(node.state()["revision"] == before for node in cut)
        assert await cut[0].serves("acme")
        assert not await cut[0].serves(f"cut-{both}")
        made.relay.heal()
        await made.reaches()
        await patiently(
            lambda: all(
                node.state()["state"] == "current" and node.state()["age_ms"] < 2000 for node in cut
            ),
            lambda: [node.state() for node in cut],
        )
        assert await cut[0].serves(f"cut-{both}")
        assert await cut[0].serves("south-too")
    assert all(node.log().count("event=config_synced") == 1 for node in cut)


@world(2, 3, postgres=True)
async def test_the_store_is_away_for_a_while(made: World) -> None:
    """What is in force stays, and its age grows; nothing is put, and that is said. Then it goes
    on.
    """
    assert made.postgres is not None
    address = made.postgres.address
    await made.postgres.stop()
    await patiently(lambda: all(one.state()["store_away"] for one in made.machines))
    await patiently(lambda: all(one.state()["follows"] is not None for one in made.machines))
    await patiently(
        lambda: all(node.state()["age_ms"] > 3000 for node in made.nodes),
        lambda: [node.state() for node in made.nodes],
    )
    assert all([await node.serves("acme") for node in made.nodes])
    putting = asyncio.create_task(made.put(tenant("late")))  # tries for a while
    await asyncio.sleep(0.5)
    assert not putting.done()
    await made.postgres.start(address)
    assert "1 changes taken" in await putting
    await made.reaches()
    await patiently(
        lambda: all(
            one.state()["follows"] is None and not one.state()["store_away"]
            for one in made.machines
        )
    )
    await patiently(lambda: all(node.state()["age_ms"] < 2000 for node in made.nodes))
    made.postgres.faults.reset_after_commit = 1  # taken, and nobody is told
    revision = made.head()[1]
    await made.put(tenant("once"))
    assert made.head()[1] == revision + 1
    made.postgres.faults.hang = True
    await patiently(lambda: all(one.state()["store_away"] for one in made.machines))
    made.postgres.faults.hang = False


@world(3, 3)
async def test_one_control_machine_has_no_way_to_the_store(made: World) -> None:
    """It follows its peers; who follows it gets every change, and an age that is told."""
    lost = made.machines[0]
    await lost.stop()
    lost.has_store = False
    await lost.start()
    made.relay.cut({node.name for node in made.nodes}, {"c1", "c2"})
    await patiently(lambda: set(follows(made).values()) == {"c0"}, lambda: follows(made))
    await made.put(tenant("by-peers"), by=1)
    await made.reaches()
    assert lost.state()["role"] == "relay"
    assert all(node.state()["age_ms"] < 5000 for node in made.nodes)
    await patiently(lambda: lost.state()["followers"] == 3)
    made.relay.heal()


@world(2, 2)
async def test_two_put_at_once_and_one_is_killed(made: World) -> None:
    """Each revision is written once, whoever writes; of a file whose put is killed a beginning was
    taken.
    """
    files = []
    for name, count in (("one", 300), ("two", 300), ("three", 1500)):
        files.append(made.folder / f"{name}.jsonl")
        files[-1].write_text(
            "".join(json.dumps(tenant(f"{name}-{n}")) + "\n" for n in range(count))
        )
    before = made.head()[1]

    async def put(file: Path, by: int) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "burlloom.command",
            "distribution",
            "put",
            str(file),
            "-o",
            str(made.machines[by].folder / "operator.jsonnet"),
            cwd=ROOT,
            stdout=asyncio.subprocess.DEVNULL,
        )

    first, second, killed = await asyncio.gather(
        put(files[0], 0), put(files[1], 1), put(files[2], 0)
    )

    def taken(name: str) -> int:
        ((count,),) = made.rows(
            f"SELECT count(*) FROM distribution_entry WHERE CAST(key AS TEXT) GLOB '{name}-*'"
        )
        return int(count)

    await patiently(lambda: taken("three") > 10)
    killed.kill()
    await killed.wait()
    assert await within_timeout(first.wait()) == 0 == await within_timeout(second.wait())
    assert taken("one") == taken("two") == 300
    part = taken("three")
    assert 10 < part < 1500
    assert made.head()[1] == before + 600 + part
    revisions = [
        one for (one,) in made.rows("SELECT revision FROM distribution_change ORDER BY revision")
    ]
    assert revisions == list(range(1, made.head()[1] + 1))
    for name, count in (("one", 300), ("two", 300), ("three", part)):
        made.model.update({("", "tenant", f"{name}-{n}"): {} for n in range(count)})


@world(1, 1, parts={"levels": {}, "metrics": {"every_ms": 200}})
async def test_levels_and_metrics_know_of_it(made: World) -> None:
    """Reads are held against the shares of the table; what is in force stands in the metrics."""
    node = made.nodes[0]
    for _ in range(20):
        assert await node.serves("blue")
        assert not await node.serves("nobody")
    await made.put(without("blue"))
    await made.reaches()
    assert not await node.serves("blue")
    assert await node.serves("acme")
    revision, text = made.head()[1], node.folder / "metrics"
    await patiently(
        lambda: f"burlloom_distribution_revision {float(revision)}\n" in text.read_text(),
        text.read_text,
    )
    said = text.read_text()
    assert "burlloom_distribution_in_force 1.0" in said
    assert "burlloom_distribution_tenants 2.0" in said
    assert "burlloom_levels_level" in said
    assert "burlloom_distribution_taken_total 1.0" in said
    (age,) = re.findall(r"^burlloom_distribution_age_seconds (\S+)$", said, re.MULTILINE)
    assert 0 <= float(age) < 5


@world(2, 3)
async def test_letters_lost_late_doubled_and_played_again(made: World) -> None:
    made.relay.loss_share, made.relay.duplicate_share, made.relay.delay_range_s = (
        0.05,
        0.2,
        (0.0, 0.03),
    )
    for n in range(4):
        await made.put(
            *(tenant(f"t{n}-{at}", n=n) for at in range(20)),
            *(without(f"t{n - 1}-{at}") for at in range(10) if n),
        )
    await made.reaches()
    made.relay.loss_share = made.relay.duplicate_share = 0.0
    made.relay.resend_recent()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        for size in (0, 1, 16, 17, 100, 1400, 1500, 9000):
            for door in made.relay.endpoints.values():
                stranger.sendto(secrets.token_bytes(size), door.target or ("", 0))
    await made.put(tenant("after"))
    await made.reaches()
    for one in (*made.nodes, *made.machines):
        await patiently(lambda: sum(one.state()["counts"]["refused"].values()) > 5)


@world(1, 2, wait_ms=500)
async def test_foreign_keys_are_refused_and_counted(made: World) -> None:
    """A server with another key is not told anything; a change that is chained with another is not
    believed.
    """
    right = made.key
    made.key = made.folder / "other"
    made.key.write_text("aa" * 32 + "\n")
    (stranger,) = await made.add(1, wait_ms=500)
    made.key = right
    reason = "not sealed with our key"
    await patiently(lambda: made.machines[0].state()["counts"]["refused"].get(reason, 0) > 2)
    assert "event=distribution_not_in_force" in stranger.log()
    assert f"reason='{reason}'" in made.machines[0].log()
    assert "n2" not in made.machines[0].log()
    assert stranger.state()["revision"] is None
    await patiently(lambda: stranger.state()["state"] == "alone", stranger.state)
    assert f": {reason}" in await made.command(made.machines[0], "show")
    made.nodes.remove(stranger)
    for task in stranger.working:
        task.cancel()
    await stranger.__aexit__(None)

    # Sealed with the right key, but chained with another: by the protocol's letter, without the
    # program's code.
    import msgpack

    node = made.nodes[0]
    epoch, revision = made.head()
    body = msgpack.packb([["tenant", "evil", msgpack.packb({})]])
    ((before,),) = made.rows(f"SELECT tag FROM distribution_change WHERE revision = {revision}")
    digest = hashlib.blake2b(body, digest_size=16).digest()
    time_ms = 4_000_000_000_000
    chained = bytes(before) + b"%d %d %d " % (epoch, revision + 1, time_ms) + digest
    for key, refused in ((b"\xaa" * 32, True), (bytes.fromhex(SIGNING), False)):
        tag = hashlib.blake2b(chained, key=key, digest_size=16).digest()
        text = msgpack.packb(
            [1, 2, "c0", 1, 0, epoch, revision + 1, time_ms, "", body, tag, digest]
        )
        letter = hashlib.blake2b(text, key=bytes.fromhex(KEY), digest_size=16).digest() + text
        if not refused:
            break  # whoever has both keys is one of us: it is not sent
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(letter, made.relay.endpoints[node.name].target or ("", 0))
        await patiently(
            lambda: node.state()["counts"]["refused"].get("its tag does not follow", 0) == 1,
            lambda: node.state(),
        )
    assert not await node.serves("evil")
    assert node.state()["revision"] == revision


@world(1, 2)
async def test_keys_change_while_all_runs(made: World) -> None:
    new = "bb" * 32
    for keys in ((KEY, new), (new, KEY), (new,)):
        made.key.write_text("\n".join(keys) + "\n")
        await patiently(
            lambda: all(
                f"event=config_keys_reloaded what=seals count={len(keys)}" in one.log()
                or len(keys) == 2
                and keys[0] == new
                for one in (*made.nodes, *made.machines)
            )
        )
        if keys[0] == new and len(keys) == 2:
            await asyncio.sleep(1.2)  # read each second, and the order alone is not told
        await made.put(tenant(f"{len(keys)}-{keys[0][:2]}"))
        await made.reaches()


@world(2, 2)
async def test_a_store_that_is_put_back_begins_an_epoch(made: World) -> None:
    """Revisions that were given before are not believed a second time: all sync anew, and what was
    lost is gone.
    """
    await made.put(tenant("kept"))
    await made.reaches()
    model = dict(made.model)
    copy = made.folder / "copy.db"
    made.rows("PRAGMA wal_checkpoint(TRUNCATE)")
    made.rows(f"VACUUM INTO '{copy}'")
    await made.put(tenant("lost"), tenant("lost-too"))
    await made.reaches()
    epoch, _ = made.head()
    for one in made.machines:  # nobody looks while the files are moved
        one.signal(signal.SIGSTOP)
    for tail in ("-wal", "-shm"):
        Path(str(made.store_file()) + tail).unlink(missing_ok=True)
    made.store_file().unlink()
    copy.rename(made.store_file())
    made.model = model
    for one in made.machines:
        one.signal(signal.SIGCONT)
    await patiently(lambda: made.head()[0] > epoch)
    await made.reaches()
    assert not await made.nodes[0].serves("lost")
    assert await made.nodes[0].serves("kept")
    await made.put(tenant("new"))


def test_keys_are_made(tmp_path: Path) -> None:
    path = tmp_path / "key"
    assert "1 keys" in burlloom("distribution", "key", path)
    assert "2 keys" in burlloom("distribution", "key", path)
    assert path.stat().st_mode & 0o777 == 0o600


@pytest.mark.parametrize(
    ("told", "said"),
    [
        ({"listen": "here:1"}, ["distribution.listen: "]),
        ({"region": "a b"}, ["distribution.region: "]),
        ({"upstream": []}, ["distribution.upstream: unknown key"]),
        ({"beat_ms": 1}, ["distribution.beat_ms: "]),
        (
            {
                "listen": "127.0.0.1:70000",
                "advertise": "1.1.1.1:0",
                "key_file": "none",
                "signing_key_file": "short",
                "state_file": "/none/state",
                "upstreams": [
                    {"name": "a", "region": "r", "address": "10.0.0.1:1"},
                    {"name": "a", "region": "r", "address": "10.0.0.1:1"},
                    {"name": "b", "region": "r", "address": "10.0.0.300:1"},
                ],
            },
            [
                "distribution.listen: '127.0.0.1:70000' is no IPv4",
                "distribution.advertise: '1.1.1.1:0'",
                "distribution.upstreams[1].name: a stands twice, also in upstreams[0]",
                "distribution.upstreams[1].address: 10.0.0.1:1",
                "distribution.upstreams[2].address: '10.0.0.300:1'",
                "distribution.key_file: none: No such file",
                "distribution.signing_key_file: ",
                "distribution.state_file: the folder /none does not exist",
            ],
        ),
        ({"store": {}}, ["distribution.store: one store is wanted"]),
    ],
)
def test_files_that_can_not_be(tmp_path: Path, told: dict[str, Any], said: list[str]) -> None:
    """All faults at once, each with its place."""
    for name, key in (("key", KEY), ("signing", SIGNING), ("short", "aa")):
        (tmp_path / name).write_text(key)
    path = tmp_path / "operator.jsonnet"
    told = {
        **told,
        **(
            {"signing_key_file": str(tmp_path / "short")}
            if told.get("signing_key_file") == "short"
            else {}
        ),
    }
    path.write_text(
        json.dumps(
            {
                "distribution": {
                    "listen": "127.0.0.1:7950",
                    "region": "north",
                    "key_file": str(tmp_path / "key"),
                    "signing_key_file": str(tmp_path / "signing"),
                    **told,
                }
            }
        )
    )
    with pytest.raises(OperatorFileError) as refused:
        load(path)
    for part in said:
        assert any(part in line for line in refused.value.lines), (part, refused.value.lines)
    assert len(refused.value.lines) >= len(said)
