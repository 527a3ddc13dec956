"""A network of control machines, relays and servers in simulated time, with a checker of invariants.

Messages are delayed, lost, duplicated and cut off at random from one seed; processes are paused,
killed and restarted. `StoreModel` has the changes that every process should apply. After each step
of a node the checker asserts:

- within an epoch the node's head never goes back, and moves by one revision unless a sync finished;
- a complete table equals the model's table at the node's head, for the node's scopes;
- no key goes back to an older value within an epoch, not even in the middle of a sync;
- the age of the table is never reported lower than it is.
"""

import heapq
from collections.abc import Callable, Iterable
from random import Random

import msgpack

from burlloom.distribution import (
    Change,
    ConfigItem,
    ConfigTable,
    Follower,
    Head,
    Replica,
    ReplicationSettings,
    Source,
    Upstream,
    initial_head,
    is_for_source,
    propose,
)
from burlloom.time_units import NS_PER_MS, NS_PER_SECOND

SIGNING_KEY, SEALING_KEY = b"signing key of a test", b"sealing key of a test"
STORE_POLL_INTERVAL_NS = 200 * NS_PER_MS  # between a control machine's polls of the store


def numbered_value(number: int) -> bytes:
    packed: bytes = msgpack.packb({"n": number})
    return packed


class StoreModel:
    """Model of the store: the changes of each epoch, and each revision's digests."""

    def __init__(self) -> None:
        self.epoch = 1
        self.heads: dict[tuple[int, int], Head] = {(1, 0): initial_head(1, 0)}
        self.changes: dict[tuple[int, int], Change] = {}
        self.table = ConfigTable(None)
        self.digests: dict[tuple[int, int], dict[str, int]] = {(1, 0): {}}
        self.created_at: dict[tuple[int, int], int] = {(1, 0): 0}
        self.epoch_ended_at: dict[int, int] = {}  # by epoch
        self.items: dict[tuple[str, str, str], bytes] = {}

    @property
    def head(self) -> Head:
        return max(self.heads.values())

    def put(
        self, now_ns: int, scope: str, values: Iterable[tuple[str, str, bytes | None]]
    ) -> Change:
        items = [ConfigItem(scope, *item) for item in values]
        head = self.heads[self.epoch, self.revision]
        change = propose(head, scope, items, now_ns // NS_PER_MS, SIGNING_KEY)
        key = change.epoch, change.revision
        self.heads[key] = Head(change.epoch, change.revision, change.tag, change.time_ms)
        self.changes[key] = change
        self.table.put(items)
        for item in items:
            position = item.scope, item.kind, item.key
            if item.value is None:
                self.items.pop(position, None)
            else:
                self.items[position] = item.value
        self.record_revision(key, now_ns)
        return change

    @property
    def revision(self) -> int:
        return max(revision for epoch, revision in self.heads if epoch == self.epoch)

    def record_revision(self, key: tuple[int, int], now_ns: int) -> None:
        self.digests[key] = {scope: self.table.digest_of((scope,)) for scope in ("", "a", "b", "c")}
        self.created_at[key] = now_ns

    def restore(self, now_ns: int, lost_count: int = 0) -> None:
        """Begins a new epoch; the table loses `lost_count` of its items."""
        self.epoch_ended_at[self.epoch] = now_ns
        self.epoch += 1
        for position in list(self.items)[:lost_count]:
            self.table.put([ConfigItem(*position, None)])
            del self.items[position]
        self.heads[self.epoch, 0] = initial_head(self.epoch, now_ns // NS_PER_MS)
        self.record_revision((self.epoch, 0), now_ns)

    def digest(self, key: tuple[int, int], scopes: tuple[str, ...] | None) -> int:
        combined = 0
        for scope, digest in self.digests[key].items():
            if scopes is None or scope in scopes:
                combined ^= digest
        return combined

    def load(self) -> list[ConfigItem]:
        return [ConfigItem(*position, value) for position, value in self.items.items()]

    def superseded_at(self, key: tuple[int, int]) -> int | None:
        """Returns the time until which a revision was the newest; None if it still is."""
        epoch, revision = key
        return self.created_at.get((epoch, revision + 1), self.epoch_ended_at.get(epoch))


class Node:
    """A process: a control machine that polls the store, a relay, or a server that only follows."""

    def __init__(
        self,
        network: "SimulatedNetwork",
        name: str,
        region: str,
        is_control: bool,
        is_relay: bool,
        upstreams: Callable[[], list[Upstream]],
    ) -> None:
        self.network, self.name, self.region, self.is_control, self.is_relay = (
            network,
            name,
            region,
            is_control,
            is_relay,
        )
        self.upstreams = upstreams
        self.address = name, 1
        self.is_running = self.is_paused = False
        self.inbox: list[tuple[bytes, tuple[str, int]]] = []
        self.has_store = True  # whether the store can be reached
        self.replica: Replica
        self.follower: Follower | None = None
        self.source: Source | None = None
        self.start_count = 0
        self.last_head: tuple[int, int] = (0, 0)
        self.finished_syncs_seen = 0
        self.watched_values: dict[str, int] = {}
        self.in_force_at: dict[tuple[int, int], int] = {}
        self.traffic = [
            0,
            0,
            0,
            0,
        ]  # datagrams sent, bytes sent, datagrams received, bytes received

    def start(self) -> None:
        network = self.network
        self.start_count += 1
        incarnation = 1_700_000_000_000 + network.now_ns // NS_PER_MS + self.start_count
        (
            self.is_running,
            self.is_paused,
            self.last_head,
            self.finished_syncs_seen,
            self.store_read_at,
        ) = True, False, (0, 0), 0, -1
        self.inbox, self.watched_values = [], {}
        self.follower = self.source = None
        self.replica = Replica(
            ConfigTable(None if self.is_control else tuple({"", self.region})),
            [SIGNING_KEY],
            network.max_logged_changes,
        )
        random = Random(network.random.random())
        if self.is_control:
            self.source = Source(
                self.replica,
                self.name,
                incarnation,
                (SEALING_KEY,),
                network.settings,
                random,
                network.now_ns,
                self.store_age_ms,
            )
        else:
            self.follower = Follower(
                self.replica,
                self.name,
                incarnation,
                self.region,
                self.upstreams(),
                (SEALING_KEY,),
                network.settings,
                random,
                network.now_ns,
            )
            if self.is_relay:
                self.source = Source(
                    self.replica,
                    self.name,
                    incarnation,
                    (SEALING_KEY,),
                    network.settings,
                    random,
                    network.now_ns,
                    self.follower.table_age_ms,
                )

    def store_age_ms(self, now_ns: int) -> int | None:
        return None if self.store_read_at < 0 else (now_ns - self.store_read_at) // NS_PER_MS

    def poll_store(self) -> None:
        store, replica = self.network.store, self.replica
        if not self.has_store:
            return
        if replica.head is None or replica.head.epoch != store.epoch:
            page = replica.table.page
            assert page is not None
            # Replaces the table's items, as a restart of the control machine would.
            current = store.load()
            deleted = [
                ConfigItem(*entry[:3], None)
                for entry in self.all_items(replica.table)
                if entry[:3] not in store.items
            ]
            for start in range(0, len(current), 64):
                replica.table.put(current[start : start + 64])
            for start in range(0, len(deleted), 64):
                replica.table.put(deleted[start : start + 64])
            replica.load(store.heads[store.epoch, store.revision])
        while (store.epoch, replica.head.revision + 1) in store.changes:
            reason = replica.apply_change(store.changes[store.epoch, replica.head.revision + 1])
            assert reason is None, reason
        self.store_read_at = self.network.now_ns

    @staticmethod
    def all_items(table: ConfigTable) -> list[ConfigItem]:
        items: list[ConfigItem] = []
        for bucket in range(256):
            after = None
            while True:
                page = table.page(bucket, after, table.scopes, 1050)
                items += page.items
                after = page.last_position
                if page.is_last:
                    break
        return items

    def tick(self) -> None:
        """Runs the node's timers."""
        now_ns = self.network.now_ns
        if not self.is_running or self.is_paused:
            return
        if self.is_control:
            self.poll_store()
        if self.follower is not None:
            self.follower.tick(now_ns)
        if self.source is not None:
            self.source.tick(now_ns)
        self.flush()

    def receive(self, data: bytes, source: tuple[str, int]) -> None:
        now_ns = self.network.now_ns
        if not self.is_running:
            return
        if self.is_paused:
            if len(self.inbox) < 200:  # the receive buffer of a socket is bounded
                self.inbox.append((data, source))
            return
        self.traffic[2] += 1
        self.traffic[3] += len(data)
        if is_for_source(data):
            if self.source is not None:
                self.source.receive(now_ns, data, source)
        elif self.follower is not None:
            self.follower.receive(now_ns, data, source)
        self.flush()

    def resume(self) -> None:
        self.is_paused = False
        inbox, self.inbox = self.inbox, []
        for data, source in inbox:
            self.receive(data, source)
        self.tick()

    def flush(self) -> None:
        if self.source is not None:
            self.source.push_changes(self.network.now_ns)
        for side in (self.follower, self.source):
            while side is not None and side.outbox:
                target, data = side.outbox.popleft()
                self.traffic[0] += 1
                self.traffic[1] += len(data)
                self.network.send(self, target, data)
        self.network.check(self)


class SimulatedNetwork:
    """Nodes and the datagrams in flight between them; time advances only in `run`."""

    def __init__(
        self,
        seed: int,
        delay: tuple[float, float] = (0.0005, 0.15),
        loss: float = 0.0,
        duplication: float = 0.0,
        settings: ReplicationSettings | None = None,
        max_logged_changes: int = 4096,
        step: int = 100 * NS_PER_MS,
    ) -> None:
        """Makes a network without nodes.

        Args:
            seed: Seed of all random draws.
            delay: Shortest and longest delay of a datagram, in s.
            loss: Share of datagrams that are lost.
            duplication: Share of datagrams that are delivered twice.
            settings: Settings of all nodes.
            max_logged_changes: Upper bound on the changes logged by each replica.
            step: Interval at which servers and relays run their timers, in ns.
        """
        self.random, self.now_ns, self.max_logged_changes = Random(seed), 10**12, max_logged_changes
        self.delay, self.loss, self.duplication, self.settings = (
            delay,
            loss,
            duplication,
            settings or ReplicationSettings(),
        )
        self.store = StoreModel()
        self.nodes: dict[str, Node] = {}
        self.cut_links: set[tuple[str, str]] = set()  # sender and receiver; one direction only
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.count, self.step = 0, step
        self.is_checking = True  # False once a test itself corrupts a table
        self.watched_keys: list[str] = []  # keys whose values must not go back

    def add(
        self,
        name: str,
        region: str,
        upstreams: Iterable[str] = (),
        is_control: bool = False,
        is_relay: bool = False,
    ) -> Node:
        upstream_names = list(upstreams)
        node = Node(
            self,
            name,
            region,
            is_control,
            is_relay,
            lambda: [
                Upstream(upstream, self.nodes[upstream].region, self.nodes[upstream].address)
                for upstream in upstream_names
            ],
        )
        self.nodes[name] = node
        node.start()
        self.schedule(int(self.step * self.random.random()), lambda: self.keep_ticking(node))
        return node

    def keep_ticking(self, node: Node) -> None:
        node.tick()
        self.schedule(
            STORE_POLL_INTERVAL_NS if node.is_control else self.step,
            lambda: self.keep_ticking(node),
        )

    def schedule(self, delay_ns: int, action: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now_ns + delay_ns, self.count, action))

    def send(self, node: Node, target: tuple[str, int], data: bytes) -> None:
        receiver = self.nodes.get(target[0])
        if receiver is None or (node.name, receiver.name) in self.cut_links:
            return
        for _ in range(1 + (self.random.random() < self.duplication)):
            if self.random.random() >= self.loss:
                min_delay_s, max_delay_s = self.delay
                self.schedule(
                    int(
                        NS_PER_SECOND
                        * (min_delay_s + (max_delay_s - min_delay_s) * self.random.random())
                    ),
                    lambda: receiver.receive(data, node.address),
                )

    def run(self, seconds: float) -> None:
        until = self.now_ns + int(seconds * NS_PER_SECOND)
        while self.queue and self.queue[0][0] <= until:
            self.now_ns, _, action = heapq.heappop(self.queue)
            action()
        self.now_ns = until

    def check(self, node: Node) -> None:
        replica, store, follower = node.replica, self.store, node.follower
        head = replica.head
        if head is None or not self.is_checking:
            return
        key = head.epoch, head.revision
        where = node.name, self.now_ns, key, node.last_head
        if key != node.last_head:
            assert key > node.last_head, ("the head went back", where)
            assert head == store.heads[key], ("a head that the store never had", where)
            if (
                key != (node.last_head[0], node.last_head[1] + 1)
                and node.last_head != (0, 0)
                and follower is not None
            ):
                # Several changes may be applied in one step; the chain guarantees that none of
                # them was skipped. Only an epoch may not change without a sync.
                has_synced = follower.counts.finished_syncs > node.finished_syncs_seen
                assert has_synced or key[0] == node.last_head[0], (
                    "a new epoch without a sync",
                    where,
                )
            if key[0] != node.last_head[0]:
                node.watched_values = {}
            node.last_head = key
            for revision in range(1, head.revision + 1):
                node.in_force_at.setdefault((head.epoch, revision), self.now_ns)
        if follower is not None:
            node.finished_syncs_seen = follower.counts.finished_syncs
        if replica.is_complete:
            assert replica.table.digest() == store.digest(key, replica.table.scopes), (
                "a complete table differs from the store's",
                where,
            )
        if (
            not replica.is_partial
            or follower is not None
            and follower.newest_page_revision[0] == key[0]
        ):
            for name in self.watched_keys:
                packed = replica.table.get("tenant", name)
                number = msgpack.unpackb(packed)["n"] if packed is not None else 0
                assert number >= node.watched_values.get(name, 0), ("a key went back", name, where)
                node.watched_values[name] = number
        if follower is not None:
            age_ms = follower.table_age_ms(self.now_ns)
            superseded_at = store.superseded_at(key)
            if superseded_at is not None and age_ms is not None and not replica.is_partial:
                assert age_ms >= (self.now_ns - superseded_at) // NS_PER_MS - 1, (
                    "age reported too low",
                    age_ms,
                    where,
                )

    def outdated_nodes(self, names: Iterable[str] | None = None) -> list[str]:
        """Returns the names of running nodes whose table is not that of the store's head."""
        head = self.store.head
        return [
            name
            for name in names or self.nodes
            if self.nodes[name].is_running
            and not self.nodes[name].is_paused
            and (
                self.nodes[name].replica.head != head
                or not self.nodes[name].replica.is_complete
                or self.nodes[name].replica.table.digest()
                != self.store.digest(head[:2], self.nodes[name].replica.table.scopes)
            )
        ]

    def traffic_by_node(self) -> dict[str, list[int]]:
        return {name: node.traffic[:] for name, node in self.nodes.items()}


REGIONS = "abc"


def add_fleet(
    network: SimulatedNetwork, server_count: int, control_count: int = 3, relay_count: int = 0
) -> None:
    """Adds control machines of all regions, and servers that follow them directly or via relays."""
    names = [f"control-{REGIONS[index % 3]}{index}" for index in range(control_count)]
    for index, name in enumerate(names):
        network.add(name, REGIONS[index % 3], is_control=True)
    relay_names = [f"relay-{REGIONS[index % 3]}{index}" for index in range(relay_count)]
    for index, name in enumerate(relay_names):
        network.add(name, REGIONS[index % 3], names, is_relay=True)
    for index in range(server_count):
        network.add(f"server-{index}", REGIONS[index % 3], relay_names or names)


def put_random_change(network: SimulatedNetwork, key_count: int = 8, max_items: int = 3) -> Change:
    """Puts a change of random items; values increase, so that an older value is recognized."""
    random, store = network.random, network.store
    scope = random.choice(["", "", "a", "b", "c"])
    number = store.epoch * 1_000_000 + store.revision + 1
    names = {
        f"{scope or 'all'}-{random.randrange(key_count)}"
        for _ in range(random.randint(1, max_items))
    }
    return store.put(
        network.now_ns,
        scope,
        [
            (
                "tenant",
                name,
                numbered_value(number)
                if name in network.watched_keys or random.random() < 0.9
                else None,
            )
            for name in sorted(names)
        ],
    )
