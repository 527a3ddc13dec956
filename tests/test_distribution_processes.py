"""Configuration changes from control machines to servers as processes, with failures of processes,
the network and the store.

After each scenario every server must have exactly the items put in force, and must have applied
them in the store's order (`Cluster.assert_applied_in_order`, a checker outside of the program).
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
from distribution_rig import (
    SEALING_KEY,
    SIGNING_KEY,
    Cluster,
    ControlMachine,
    Server,
    tenant_change,
    tenant_deletion,
    wait_for,
)
from rig import ROOT, within_timeout
from test_command import burlloom

from burlloom.operator import OperatorFileError, load

# A datagram has a seal of 16 bytes, the array's header, the version, and the message kind. A control
# machine handles it as a request if the kind is that of a request; it drops others without counting
# them unless it follows another machine.
KIND_OFFSET = 18
REPORT_KIND = 0
UNREADABLE_REASONS = ("datagram too short", "datagram too long", "not sealed with our key")

BASE = [
    tenant_change("acme"),
    tenant_change("blue", portion=2.5),
    {
        "entries": [
            {"kind": "route", "key": "a/b", "value": {"to": "x"}},
            {"kind": "setting", "key": "s", "value": {"n": 1}},
        ]
    },
    tenant_change("only-north", scope="north"),
    tenant_change("only-south", scope="south"),
]


def with_cluster(
    control_machines: int,
    servers: int,
    regions: tuple[str, ...] = ("north",),
    postgres: bool = False,
    operator_parts: dict[str, Any] | None = None,
    **settings: Any,
) -> Callable[[Callable[[Cluster], Awaitable[None]]], Callable[[Path], None]]:
    """Makes a test of a scenario, which starts once `BASE` is in force on all servers."""

    def wrap(scenario: Callable[[Cluster], Awaitable[None]]) -> Callable[[Path], None]:
        def test(tmp_path: Path) -> None:
            async def run() -> None:
                async with Cluster(tmp_path, postgres, operator_parts) as cluster:
                    await cluster.add_control_machines(control_machines, regions)
                    await cluster.put(*BASE)
                    await cluster.add_servers(servers, regions, **settings)
                    await cluster.wait_until_in_force()
                    await scenario(cluster)
                    await cluster.wait_until_in_force()
                    cluster.assert_applied_in_order()

            asyncio.run(run())

        test.__name__, test.__doc__ = scenario.__name__, scenario.__doc__
        return test

    return wrap


def upstream_names(cluster: Cluster) -> dict[str, str]:
    return {server.name: server.state().get("upstream", "") for server in cluster.servers}


@with_cluster(2, 4, regions=("north", "south"))
async def test_a_change_reaches_all_servers_of_its_scope(cluster: Cluster) -> None:
    """An added tenant is served without a restart, a removed one is refused, and a tenant of a
    region is served only there.
    """
    north, south = cluster.servers[0], cluster.servers[1]
    assert await north.serves("acme")
    assert not await north.serves("new")
    assert await north.serves("only-north")
    assert not await south.serves("only-north")
    assert await south.serves("only-south")
    assert "1 changes taken" in await cluster.put(tenant_change("new", portion=1))
    await cluster.wait_until_in_force()
    assert all([await server.serves("new") for server in cluster.servers])
    await cluster.put(tenant_deletion("acme"), tenant_change("blue", scope="north", portion=9))
    await cluster.wait_until_in_force()
    assert not any([await server.serves("acme") for server in cluster.servers])
    # Each server follows the control machine of its region.
    await wait_for(
        lambda: upstream_names(cluster) == {"n0": "c0", "n1": "c1", "n2": "c0", "n3": "c1"},
        lambda: upstream_names(cluster),
    )

    output = await cluster.command(north, "show")
    assert "n0 (server, north): epoch" in output
    assert "current, surely the newest" in output
    assert "follows c0" in output
    await wait_for(lambda: cluster.control_machines[0].state()["behind"] == 0)
    output = await cluster.command(cluster.control_machines[0], "show")
    assert (
        "c0 (control, north): epoch" in output
        and "2 of at most 400 follow, 0 of them behind" in output
    ), output
    assert (
        json.loads(await cluster.command(cluster.control_machines[0], "show", "--json"))[
            "lowest_revision"
        ]
        == cluster.head()[1]
    )
    # `explain` asks the upstreams of a server, and the store of a control machine. The command has
    # no address in the relay, so it is given the control machine's own address.
    path = north.folder / "operator.jsonnet"
    path.write_text(
        path.read_text().replace(
            cluster.relay_addresses["c0"],
            "%s:%d" % (cluster.relay.endpoints["c0"].target or ("", 0)),
        )
    )
    for process in (north, cluster.control_machines[0]):
        output = await cluster.command(process, "explain", "tenant", "blue")
        assert (
            'tenant blue: {"portion": 9}, of north' in output
            and "in force" in output.splitlines()[1]
        ), output
        assert 'tenant blue: {"portion": 2.5}, of everywhere' in output
        assert "hidden by the region's own" in output
        assert "tenant acme: not in force in north" in await cluster.command(
            process, "explain", "tenant", "acme"
        )


@with_cluster(control_machines=1, servers=0)
async def test_a_control_machine_ends_on_signals_that_its_parent_blocks(cluster: Cluster) -> None:
    """A process inherits its parent's signal mask; if SIGTERM and SIGINT stayed blocked, a control
    machine could not be stopped. `Cluster` asserts at its end that each one ended by itself.
    """
    blocked = {signal.SIGTERM, signal.SIGINT}
    before = signal.pthread_sigmask(signal.SIG_BLOCK, blocked)
    try:
        await cluster.add_control_machines(2, ("north",))
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
    first, second = cluster.control_machines[1:]
    first.signal(signal.SIGTERM)
    second.signal(signal.SIGINT)
    assert [await within_timeout(machine.process.wait()) for machine in (first, second)] == [0, 0]


@with_cluster(1, 1)
async def test_a_file_with_any_fault_is_refused_completely(cluster: Cluster) -> None:
    before = cluster.head()
    output = await cluster.put(
        tenant_change("good"),
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
        "line 6: entries: 0, 1 to",
        "nothing was taken",
    ):
        assert part in output, (part, output)
    output = await cluster.put(
        {"entries": [{"kind": "tenant", "key": "p", "value": {"portion": -1}}]}, status=2
    )
    assert "line 1: entries[0].value.portion: -1 is no number over 0" in output
    assert cluster.head() == before
    assert not await cluster.servers[0].serves("good")


@with_cluster(1, 0)
async def test_a_server_without_a_first_sync_starts_with_its_own_configuration(
    cluster: Cluster,
) -> None:
    """A server cut off from the start serves the tenants of its configuration file; once the cut is
    healed it serves those of the table.
    """
    cluster.relay.cut({"n0"}, {"c0"})
    (server,) = await cluster.add_servers(1, wait_ms=300)
    assert "event=distribution_not_in_force" in server.log()
    assert "tenants=1" in server.log()
    assert await server.serves("acme")
    assert not await server.serves("blue")
    await wait_for(lambda: server.state().get("state") == "alone")
    assert server.state()["age_ms"] is None
    assert server.state()["revision"] is None
    cluster.relay.heal()
    await cluster.wait_until_in_force()
    assert await server.serves("blue")


@with_cluster(1, 0)
async def test_a_server_that_waits_for_its_first_sync_can_be_stopped(cluster: Cluster) -> None:
    cluster.relay.cut({"n0"}, {"c0"})
    with pytest.raises(AssertionError):  # the server ends before it is ready
        starting = asyncio.create_task(cluster.add_servers(1, wait_ms=60_000))
        log = cluster.folder / "n0" / "log"
        await wait_for(lambda: log.exists() and "event=distribution_opened" in log.read_text())
        cluster.servers[0].signal(signal.SIGTERM)
        await starting
    server = cluster.servers.pop()
    assert await within_timeout(server.process.wait()) == 0, server.log()
    assert "event=stopped" in server.log()
    assert "level=error" not in server.log()


@with_cluster(3, 4)
async def test_followers_of_killed_and_paused_control_machines_miss_no_change(
    cluster: Cluster,
) -> None:
    """The followers switch to another control machine while changes go on. The paused and the
    restarted control machine then catch up.
    """
    killed = next(
        machine
        for machine in cluster.control_machines
        if machine.name == upstream_names(cluster)["n0"]
    )
    remaining = [
        index for index, machine in enumerate(cluster.control_machines) if machine is not killed
    ]
    await killed.kill()
    for n in range(3):
        await cluster.put(tenant_change(f"k{n}"), machine_index=remaining[n % 2])
    await cluster.wait_until_in_force()
    assert all(upstream != killed.name for upstream in upstream_names(cluster).values())
    paused = cluster.control_machines[remaining[0]]
    paused.signal(signal.SIGSTOP)
    await cluster.put(tenant_change("asleep"), tenant_deletion("k0"), machine_index=remaining[1])
    await cluster.wait_until_in_force()
    paused.signal(signal.SIGCONT)
    await killed.start()
    await cluster.put(tenant_change("awake"), machine_index=remaining[0])
    await cluster.wait_until_in_force()
    await wait_for(
        lambda: all(
            machine.state().get("revision") == cluster.head()[1]
            for machine in cluster.control_machines
        )
    )


@with_cluster(2, 4)
async def test_killed_and_paused_servers_catch_up(cluster: Cluster) -> None:
    killed, paused = cluster.servers[0], cluster.servers[1]
    await killed.kill()
    paused.signal(signal.SIGSTOP)
    await cluster.put(tenant_change("while-away"), tenant_deletion("acme"))
    await cluster.wait_until_in_force(*cluster.servers[2:])
    await killed.begin()
    await cluster.wait_until_in_force(killed)
    assert await killed.serves("while-away")
    paused.signal(signal.SIGCONT)
    await cluster.wait_until_in_force(paused)
    assert await paused.serves("while-away")
    assert not await paused.serves("acme")
    assert paused.log().count("event=config_synced") == 1, (
        "the paused server caught up by a sync instead of by changes"
    )


@with_cluster(2, 4, regions=("north", "south"))
async def test_a_region_that_was_cut_off_catches_up_in_order(cluster: Cluster) -> None:
    """The region keeps its table in force and reports its age; first with a cut in both directions,
    then in one direction only.
    """
    north = {
        process.name
        for process in (*cluster.servers, *cluster.control_machines)
        if process.region == "north"
    }
    south = {process.name for process in (*cluster.servers, *cluster.control_machines)} - north
    isolated = [server for server in cluster.servers if server.region == "south"]
    for is_both_ways in (True, False):
        cluster.relay.cut(south, {"c0"})
        # The region's own control machine is cut off from its servers as well, so that no change
        # reaches them.
        cluster.relay.cut({"c1"}, {server.name for server in isolated}, is_both_ways)
        before = isolated[0].state()["revision"]
        await cluster.put(
            tenant_change(f"cut-{is_both_ways}"),
            tenant_change("south-too", scope="south", at=is_both_ways),
        )
        await cluster.put(tenant_change("more", both=is_both_ways))
        await cluster.wait_until_in_force(
            *(server for server in cluster.servers if server not in isolated)
        )
        await wait_for(
            lambda: all(
                server.state()["state"] == "alone" and server.state()["age_ms"] > 2000
                for server in isolated
            ),
            lambda: [server.state() for server in isolated],
        )
        assert all(server.state()["revision"] == before for server in isolated)
        assert await isolated[0].serves("acme")
        assert not await isolated[0].serves(f"cut-{is_both_ways}")
        cluster.relay.heal()
        await cluster.wait_until_in_force()
        await wait_for(
            lambda: all(
                server.state()["state"] == "current" and server.state()["age_ms"] < 2000
                for server in isolated
            ),
            lambda: [server.state() for server in isolated],
        )
        assert await isolated[0].serves(f"cut-{is_both_ways}")
        assert await isolated[0].serves("south-too")
    assert all(server.log().count("event=config_synced") == 1 for server in isolated)


@with_cluster(2, 3, postgres=True)
async def test_an_unavailable_store_delays_changes_and_loses_none(cluster: Cluster) -> None:
    """While the store is unavailable the table stays in force and its age grows; a put waits until
    the store is back. A put whose commit is not acknowledged is written once.
    """
    assert cluster.postgres is not None
    address = cluster.postgres.address
    await cluster.postgres.stop()
    await wait_for(
        lambda: all(machine.state()["store_away"] for machine in cluster.control_machines)
    )
    await wait_for(
        lambda: all(machine.state()["follows"] is not None for machine in cluster.control_machines)
    )
    await wait_for(
        lambda: all(server.state()["age_ms"] > 3000 for server in cluster.servers),
        lambda: [server.state() for server in cluster.servers],
    )
    assert all([await server.serves("acme") for server in cluster.servers])
    pending_put = asyncio.create_task(
        cluster.put(tenant_change("late"))
    )  # it retries while the store is unavailable
    await asyncio.sleep(0.5)
    assert not pending_put.done()
    await cluster.postgres.start(address)
    assert "1 changes taken" in await pending_put
    await cluster.wait_until_in_force()
    await wait_for(
        lambda: all(
            machine.state()["follows"] is None and not machine.state()["store_away"]
            for machine in cluster.control_machines
        )
    )
    await wait_for(lambda: all(server.state()["age_ms"] < 2000 for server in cluster.servers))
    cluster.postgres.faults.reset_after_commit = 1  # committed, but the reply is lost
    revision = cluster.head()[1]
    await cluster.put(tenant_change("once"))
    assert cluster.head()[1] == revision + 1
    cluster.postgres.faults.hang = True
    await wait_for(
        lambda: all(machine.state()["store_away"] for machine in cluster.control_machines)
    )
    cluster.postgres.faults.hang = False


@with_cluster(3, 3)
async def test_a_control_machine_without_a_store_follows_its_peers(cluster: Cluster) -> None:
    """Its followers get every change by way of its peers, and an age that is still low."""
    machine = cluster.control_machines[0]
    await machine.stop()
    machine.has_store = False
    await machine.start()
    cluster.relay.cut({server.name for server in cluster.servers}, {"c1", "c2"})
    await wait_for(
        lambda: set(upstream_names(cluster).values()) == {"c0"}, lambda: upstream_names(cluster)
    )
    await cluster.put(tenant_change("by-peers"), machine_index=1)
    await cluster.wait_until_in_force()
    assert machine.state()["role"] == "relay"
    assert all(server.state()["age_ms"] < 5000 for server in cluster.servers)
    await wait_for(lambda: machine.state()["followers"] == 3)
    cluster.relay.heal()


@with_cluster(2, 2)
async def test_concurrent_and_killed_puts_write_each_revision_once(cluster: Cluster) -> None:
    """Two concurrent puts write each revision once; of the file of a killed put the first changes
    were written.
    """
    files = []
    for name, count in (("one", 300), ("two", 300), ("three", 1500)):
        files.append(cluster.folder / f"{name}.jsonl")
        files[-1].write_text(
            "".join(json.dumps(tenant_change(f"{name}-{n}")) + "\n" for n in range(count))
        )
    before = cluster.head()[1]

    async def put(file: Path, machine_index: int) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "burlloom.command",
            "distribution",
            "put",
            str(file),
            "-o",
            str(cluster.control_machines[machine_index].folder / "operator.jsonnet"),
            cwd=ROOT,
            stdout=asyncio.subprocess.DEVNULL,
        )

    first, second, killed = await asyncio.gather(
        put(files[0], 0), put(files[1], 1), put(files[2], 0)
    )

    def item_count(name: str) -> int:
        ((count,),) = cluster.rows(
            f"SELECT count(*) FROM distribution_entry WHERE CAST(key AS TEXT) GLOB '{name}-*'"
        )
        return int(count)

    await wait_for(lambda: item_count("three") > 10)
    killed.kill()
    await killed.wait()
    assert await within_timeout(first.wait()) == 0 == await within_timeout(second.wait())
    assert item_count("one") == item_count("two") == 300
    written = item_count("three")
    assert 10 < written < 1500
    assert cluster.head()[1] == before + 600 + written
    revisions = [
        revision
        for (revision,) in cluster.rows(
            "SELECT revision FROM distribution_change ORDER BY revision"
        )
    ]
    assert revisions == list(range(1, cluster.head()[1] + 1))
    for name, count in (("one", 300), ("two", 300), ("three", written)):
        cluster.expected_items.update({("", "tenant", f"{name}-{n}"): {} for n in range(count)})


@with_cluster(1, 1, operator_parts={"levels": {}, "metrics": {"every_ms": 200}})
async def test_service_levels_and_metrics_use_the_table(cluster: Cluster) -> None:
    """Service levels run with the table's tenant shares, and metrics report the table."""
    server = cluster.servers[0]
    for _ in range(20):
        assert await server.serves("blue")
        assert not await server.serves("nobody")
    await cluster.put(tenant_deletion("blue"))
    await cluster.wait_until_in_force()
    assert not await server.serves("blue")
    assert await server.serves("acme")
    revision, metrics_file = cluster.head()[1], server.folder / "metrics"
    await wait_for(
        lambda: f"burlloom_distribution_revision {float(revision)}\n" in metrics_file.read_text(),
        metrics_file.read_text,
    )
    output = metrics_file.read_text()
    assert "burlloom_distribution_in_force 1.0" in output
    assert "burlloom_distribution_tenants 2.0" in output
    assert "burlloom_levels_level" in output
    assert "burlloom_distribution_taken_total 1.0" in output
    (age_seconds,) = re.findall(r"^burlloom_distribution_age_seconds (\S+)$", output, re.MULTILINE)
    assert 0 <= float(age_seconds) < 5


def count_unreadable_datagrams(member: ControlMachine | Server) -> int:
    """Returns how many datagrams a member refused for their size or seal; replays do not count."""
    refused = member.state()["counts"]["refused"]
    return sum(refused.get(reason, 0) for reason in UNREADABLE_REASONS)


@with_cluster(2, 3)
async def test_lost_late_duplicated_replayed_and_random_datagrams_lose_no_change(
    cluster: Cluster,
) -> None:
    cluster.relay.loss_share, cluster.relay.duplicate_share, cluster.relay.delay_range_s = (
        0.05,
        0.2,
        (0.0, 0.03),
    )
    for n in range(4):
        await cluster.put(
            *(tenant_change(f"t{n}-{index}", n=n) for index in range(20)),
            *(tenant_deletion(f"t{n - 1}-{index}") for index in range(10) if n),
        )
    await cluster.wait_until_in_force()
    cluster.relay.loss_share = cluster.relay.duplicate_share = 0.0
    cluster.relay.resend_recent()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        for size in (0, 1, 16, 17, 100, 1400, 1500, 9000):
            for endpoint in cluster.relay.endpoints.values():
                stranger.sendto(secrets.token_bytes(size), endpoint.target or ("", 0))
        for size in (19, 32, 100, 500, 1400, 1500, 9000):
            for endpoint in cluster.relay.endpoints.values():
                datagram = bytearray(secrets.token_bytes(size))
                datagram[KIND_OFFSET] = REPORT_KIND
                stranger.sendto(datagram, endpoint.target or ("", 0))
    await cluster.put(tenant_change("after"))
    await cluster.wait_until_in_force()
    for member in (*cluster.servers, *cluster.control_machines):
        await wait_for(lambda: count_unreadable_datagrams(member) > 5)


@with_cluster(1, 2, wait_ms=500)
async def test_messages_and_changes_with_foreign_keys_are_refused_and_counted(
    cluster: Cluster,
) -> None:
    """A server with another sealing key gets no answer, and a change signed with another key is
    refused.
    """
    sealing_key_path = cluster.sealing_key_path
    cluster.sealing_key_path = cluster.folder / "other"
    cluster.sealing_key_path.write_text("aa" * 32 + "\n")
    (stranger,) = await cluster.add_servers(1, wait_ms=500)
    cluster.sealing_key_path = sealing_key_path
    reason = "not sealed with our key"
    await wait_for(
        lambda: cluster.control_machines[0].state()["counts"]["refused"].get(reason, 0) > 2
    )
    assert "event=distribution_not_in_force" in stranger.log()
    assert f"reason='{reason}'" in cluster.control_machines[0].log()
    assert "n2" not in cluster.control_machines[0].log()
    assert stranger.state()["revision"] is None
    await wait_for(lambda: stranger.state()["state"] == "alone", stranger.state)
    assert f": {reason}" in await cluster.command(cluster.control_machines[0], "show")
    cluster.servers.remove(stranger)
    for task in stranger.tasks:
        task.cancel()
    await stranger.__aexit__(None)

    # A change sealed with the right key but signed with another one, encoded here without the
    # program's code.
    import msgpack

    server = cluster.servers[0]
    epoch, revision = cluster.head()
    body = msgpack.packb([["tenant", "evil", msgpack.packb({})]])
    ((before,),) = cluster.rows(f"SELECT tag FROM distribution_change WHERE revision = {revision}")
    digest = hashlib.blake2b(body, digest_size=16).digest()
    time_ms = 4_000_000_000_000
    tag_input = bytes(before) + b"%d %d %d " % (epoch, revision + 1, time_ms) + digest
    for key, is_foreign in ((b"\xaa" * 32, True), (bytes.fromhex(SIGNING_KEY), False)):
        tag = hashlib.blake2b(tag_input, key=key, digest_size=16).digest()
        text = msgpack.packb(
            [1, 2, "c0", 1, 0, epoch, revision + 1, time_ms, "", body, tag, digest]
        )
        datagram = (
            hashlib.blake2b(text, key=bytes.fromhex(SEALING_KEY), digest_size=16).digest() + text
        )
        if not is_foreign:
            break  # a holder of both keys may write changes, so this one is not sent
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(datagram, cluster.relay.endpoints[server.name].target or ("", 0))
        await wait_for(
            lambda: (
                server.state()["counts"]["refused"].get("tag does not continue the chain", 0) == 1
            ),
            lambda: server.state(),
        )
    assert not await server.serves("evil")
    assert server.state()["revision"] == revision


@with_cluster(1, 2)
async def test_keys_are_rotated_without_a_restart(cluster: Cluster) -> None:
    new_key = "bb" * 32
    for keys in ((SEALING_KEY, new_key), (new_key, SEALING_KEY), (new_key,)):
        cluster.sealing_key_path.write_text("\n".join(keys) + "\n")
        await wait_for(
            lambda: all(
                f"event=config_keys_reloaded what=seals count={len(keys)}" in process.log()
                or len(keys) == 2
                and keys[0] == new_key
                for process in (*cluster.servers, *cluster.control_machines)
            )
        )
        if keys[0] == new_key and len(keys) == 2:
            await asyncio.sleep(
                1.2
            )  # key files are read each second, and a change of the keys' order alone shows in no log line
        await cluster.put(tenant_change(f"{len(keys)}-{keys[0][:2]}"))
        await cluster.wait_until_in_force()


@with_cluster(2, 2)
async def test_a_restored_store_begins_a_new_epoch(cluster: Cluster) -> None:
    """A restored store would assign revisions a second time. A new epoch makes all servers sync, and
    the changes lost by the restore are gone everywhere.
    """
    await cluster.put(tenant_change("kept"))
    await cluster.wait_until_in_force()
    expected_items = dict(cluster.expected_items)
    copy = cluster.folder / "copy.db"
    cluster.rows("PRAGMA wal_checkpoint(TRUNCATE)")
    cluster.rows(f"VACUUM INTO '{copy}'")
    await cluster.put(tenant_change("lost"), tenant_change("lost-too"))
    await cluster.wait_until_in_force()
    epoch, _ = cluster.head()
    for (
        machine
    ) in cluster.control_machines:  # no process polls the store while the files are replaced
        machine.signal(signal.SIGSTOP)
    for suffix in ("-wal", "-shm"):
        Path(str(cluster.store_file()) + suffix).unlink(missing_ok=True)
    cluster.store_file().unlink()
    copy.rename(cluster.store_file())
    cluster.expected_items = expected_items
    for machine in cluster.control_machines:
        machine.signal(signal.SIGCONT)
    await wait_for(lambda: cluster.head()[0] > epoch)
    await cluster.wait_until_in_force()
    assert not await cluster.servers[0].serves("lost")
    assert await cluster.servers[0].serves("kept")
    await cluster.put(tenant_change("new"))


def test_the_key_command_appends_keys_to_a_private_file(tmp_path: Path) -> None:
    path = tmp_path / "key"
    assert "1 keys" in burlloom("distribution", "key", path)
    assert "2 keys" in burlloom("distribution", "key", path)
    assert path.stat().st_mode & 0o777 == 0o600


@pytest.mark.parametrize(
    ("settings", "expected"),
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
                "distribution.listen: '127.0.0.1:70000' is not an IPv4",
                "distribution.advertise: '1.1.1.1:0'",
                "distribution.upstreams[1].name: a is also in upstreams[0]",
                "distribution.upstreams[1].address: 10.0.0.1:1",
                "distribution.upstreams[2].address: '10.0.0.300:1'",
                "distribution.key_file: none: No such file",
                "distribution.signing_key_file: ",
                "distribution.state_file: the folder /none does not exist",
            ],
        ),
        ({"store": {}}, ["distribution.store: exactly one store is required"]),
    ],
)
def test_an_invalid_operator_file_is_refused_with_all_faults(
    tmp_path: Path, settings: dict[str, Any], expected: list[str]
) -> None:
    """All faults are reported at once, each with its place."""
    for name, key in (("key", SEALING_KEY), ("signing", SIGNING_KEY), ("short", "aa")):
        (tmp_path / name).write_text(key)
    path = tmp_path / "operator.jsonnet"
    settings = {
        **settings,
        **(
            {"signing_key_file": str(tmp_path / "short")}
            if settings.get("signing_key_file") == "short"
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
                    **settings,
                }
            }
        )
    )
    with pytest.raises(OperatorFileError) as caught:
        load(path)
    for part in expected:
        assert any(part in line for line in caught.value.lines), (part, caught.value.lines)
    assert len(caught.value.lines) >= len(expected)
