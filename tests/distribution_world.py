"""A network of control machines, relays and servers in simulated time, with a checker of what must
hold.

Messages are late, lost, doubled and cut by chance from one seed; processes stand still, are killed
and started again. The truth is a list of changes that only the world has. After each step of a node
the checker looks:

- within an epoch a head never goes back, and moves by one unless a sync settled;
- a whole table is exactly the truth at its head's revision, for its scopes;
- no key ever goes back to an older value within an epoch, in the middle of a sync either;
- an age is never told younger than it is.
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

MS = 1_000_000
SECOND = 1000 * MS
SIGN, SEAL = b"signing key of a test", b"sealing key of a test"
READ = 200 * MS  # between a control machine's looks at the store


def value(number: int) -> bytes:
    packed: bytes = msgpack.packb({"n": number})
    return packed


class Truth:
    """The store: changes by epoch, and for each revision the table that it makes."""

    def __init__(self, kept: int = 1 << 30) -> None:
        self.epoch, self.kept = 1, kept
        self.heads: dict[tuple[int, int], Head] = {(1, 0): initial_head(1, 0)}
        self.changes: dict[tuple[int, int], Change] = {}
        self.table = ConfigTable(None)
        self.digests: dict[tuple[int, int], dict[str, int]] = {(1, 0): {}}
        self.born: dict[tuple[int, int], int] = {(1, 0): 0}
        self.ended: dict[int, int] = {}  # when an epoch did
        self.entries: dict[tuple[str, str, str], bytes] = {}

    @property
    def head(self) -> Head:
        return max(self.heads.values())

    def put(self, now: int, scope: str, entries: Iterable[tuple[str, str, bytes | None]]) -> Change:
        listed = [ConfigItem(scope, *entry) for entry in entries]
        head = self.heads[self.epoch, self.revision]
        change = propose(head, scope, listed, now // MS, SIGN)
        key = change.epoch, change.revision
        self.heads[key] = Head(change.epoch, change.revision, change.tag, change.time_ms)
        self.changes[key] = change
        self.table.put(listed)
        for entry in listed:
            place = entry.scope, entry.kind, entry.key
            if entry.value is None:
                self.entries.pop(place, None)
            else:
                self.entries[place] = entry.value
        self.note(key, now)
        return change

    @property
    def revision(self) -> int:
        return max(revision for epoch, revision in self.heads if epoch == self.epoch)

    def note(self, key: tuple[int, int], now: int) -> None:
        self.digests[key] = {scope: self.table.digest_of((scope,)) for scope in ("", "a", "b", "c")}
        self.born[key] = now

    def restore(self, now: int, back: int = 0) -> None:
        """A new epoch, with the table as it is, or without the keys of the last few."""
        self.ended[self.epoch] = now
        self.epoch += 1
        for place in list(self.entries)[:back]:
            self.table.put([ConfigItem(*place, None)])
            del self.entries[place]
        self.heads[self.epoch, 0] = initial_head(self.epoch, now // MS)
        self.note((self.epoch, 0), now)

    def digest(self, key: tuple[int, int], scopes: tuple[str, ...] | None) -> int:
        found = 0
        for scope, digest in self.digests[key].items():
            if scopes is None or scope in scopes:
                found ^= digest
        return found

    def load(self) -> list[ConfigItem]:
        return [ConfigItem(*place, held) for place, held in self.entries.items()]

    def newest_at(self, key: tuple[int, int]) -> int | None:
        """Until when that revision was the newest; None while it is."""
        epoch, revision = key
        return self.born.get((epoch, revision + 1), self.ended.get(epoch))


class Node:
    """A process. `control`: reads the truth; else it follows, and where `relays` it is followed
    too.
    """

    def __init__(
        self,
        world: "World",
        name: str,
        region: str,
        control: bool,
        relays: bool,
        upstreams: Callable[[], list[Upstream]],
    ) -> None:
        self.world, self.name, self.region, self.control, self.relays = (
            world,
            name,
            region,
            control,
            relays,
        )
        self.upstreams = upstreams
        self.address = name, 1
        self.up = self.paused = False
        self.inbox: list[tuple[bytes, tuple[str, int]]] = []
        self.store = True  # within reach
        self.replica: Replica
        self.follower: Follower | None = None
        self.source: Source | None = None
        self.lives = 0
        self.seen: tuple[int, int] = (0, 0)
        self.settled = 0
        self.keys: dict[str, int] = {}
        self.in_force: dict[tuple[int, int], int] = {}
        self.spent = [0, 0, 0, 0]  # sent and heard, datagrams and bytes

    def start(self) -> None:
        world = self.world
        self.lives += 1
        life = 1_700_000_000_000 + world.now // MS + self.lives
        self.up, self.paused, self.seen, self.settled, self.read_at = True, False, (0, 0), 0, -1
        self.inbox, self.keys = [], {}
        self.follower = self.source = None
        self.replica = Replica(
            ConfigTable(None if self.control else tuple({"", self.region})), [SIGN], world.log_most
        )
        chance = Random(world.chance.random())
        if self.control:
            self.source = Source(
                self.replica,
                self.name,
                life,
                (SEAL,),
                world.terms,
                chance,
                world.now,
                self.store_age,
            )
        else:
            self.follower = Follower(
                self.replica,
                self.name,
                life,
                self.region,
                self.upstreams(),
                (SEAL,),
                world.terms,
                chance,
                world.now,
            )
            if self.relays:
                self.source = Source(
                    self.replica,
                    self.name,
                    life,
                    (SEAL,),
                    world.terms,
                    chance,
                    world.now,
                    self.follower.table_age_ms,
                )

    def store_age(self, now: int) -> int | None:
        return None if self.read_at < 0 else (now - self.read_at) // MS

    def read(self) -> None:
        truth, replica = self.world.truth, self.replica
        if not self.store:
            return
        if replica.head is None or replica.head.epoch != truth.epoch:
            held = replica.table.page  # a new table, as a restart would make it
            assert held is not None
            fresh = truth.load()
            gone = [
                ConfigItem(*entry[:3], None)
                for entry in self.all_of(replica.table)
                if entry[:3] not in truth.entries
            ]
            for at in range(0, len(fresh), 64):
                replica.table.put(fresh[at : at + 64])
            for at in range(0, len(gone), 64):
                replica.table.put(gone[at : at + 64])
            replica.load(truth.heads[truth.epoch, truth.revision])
        while (truth.epoch, replica.head.revision + 1) in truth.changes:
            reason = replica.apply_change(truth.changes[truth.epoch, replica.head.revision + 1])
            assert reason is None, reason
        self.read_at = self.world.now

    @staticmethod
    def all_of(table: ConfigTable) -> list[ConfigItem]:
        found: list[ConfigItem] = []
        for bucket in range(256):
            after = None
            while True:
                page = table.page(bucket, after, table.scopes, 1050)
                found += page.items
                after = page.last_position
                if page.is_last:
                    break
        return found

    def turn(self) -> None:
        """Once in a while."""
        now = self.world.now
        if not self.up or self.paused:
            return
        if self.control:
            self.read()
        if self.follower is not None:
            self.follower.tick(now)
        if self.source is not None:
            self.source.tick(now)
        self.done()

    def hear(self, data: bytes, source: tuple[str, int]) -> None:
        now = self.world.now
        if not self.up:
            return
        if self.paused:
            if len(self.inbox) < 200:  # a socket's buffer
                self.inbox.append((data, source))
            return
        self.spent[2] += 1
        self.spent[3] += len(data)
        if is_for_source(data):
            if self.source is not None:
                self.source.receive(now, data, source)
        elif self.follower is not None:
            self.follower.receive(now, data, source)
        self.done()

    def wake(self) -> None:
        self.paused = False
        inbox, self.inbox = self.inbox, []
        for data, source in inbox:
            self.hear(data, source)
        self.turn()

    def done(self) -> None:
        if self.source is not None:
            self.source.push_changes(self.world.now)
        for part in (self.follower, self.source):
            while part is not None and part.outbox:
                to, data = part.outbox.popleft()
                self.spent[0] += 1
                self.spent[1] += len(data)
                self.world.send(self, to, data)
        self.world.check(self)


class World:
    def __init__(
        self,
        seed: int,
        delay: tuple[float, float] = (0.0005, 0.15),
        loss: float = 0.0,
        double: float = 0.0,
        terms: ReplicationSettings | None = None,
        log_most: int = 4096,
        step: int = 100 * MS,
    ) -> None:
        """`delay`: least and most, s."""
        self.chance, self.now, self.log_most = Random(seed), 10**12, log_most
        self.delay, self.loss, self.double, self.terms = (
            delay,
            loss,
            double,
            terms or ReplicationSettings(),
        )
        self.truth = Truth()
        self.nodes: dict[str, Node] = {}
        self.cut: set[tuple[str, str]] = set()  # one way: from, to
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.count, self.step = 0, step
        self.checks = True  # until a test itself falsifies a table
        self.watch: list[str] = []  # keys whose values must not go back

    def add(
        self,
        name: str,
        region: str,
        upstreams: Iterable[str] = (),
        control: bool = False,
        relays: bool = False,
    ) -> Node:
        listed = list(upstreams)
        node = Node(
            self,
            name,
            region,
            control,
            relays,
            lambda: [
                Upstream(one, self.nodes[one].region, self.nodes[one].address) for one in listed
            ],
        )
        self.nodes[name] = node
        node.start()
        self.later(int(self.step * self.chance.random()), lambda: self.turns(node))
        return node

    def turns(self, node: Node) -> None:
        node.turn()
        self.later(READ if node.control else self.step, lambda: self.turns(node))

    def later(self, span: int, does: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + span, self.count, does))

    def send(self, node: Node, to: tuple[str, int], data: bytes) -> None:
        other = self.nodes.get(to[0])
        if other is None or (node.name, other.name) in self.cut:
            return
        for _ in range(1 + (self.chance.random() < self.double)):
            if self.chance.random() >= self.loss:
                low, high = self.delay
                self.later(
                    int(SECOND * (low + (high - low) * self.chance.random())),
                    lambda: other.hear(data, node.address),
                )

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self.queue and self.queue[0][0] <= until:
            self.now, _, does = heapq.heappop(self.queue)
            does()
        self.now = until

    def check(self, node: Node) -> None:
        replica, truth, follower = node.replica, self.truth, node.follower
        head = replica.head
        if head is None or not self.checks:
            return
        key = head.epoch, head.revision
        where = node.name, self.now, key, node.seen
        if key != node.seen:
            assert key > node.seen, ("went back", where)
            assert head == truth.heads[key], ("another head", where)
            if (
                key != (node.seen[0], node.seen[1] + 1)
                and node.seen != (0, 0)
                and follower is not None
            ):
                # Several in one step are dense by the chain: the count says so.
                jumped = follower.counts.finished_syncs > node.settled
                assert jumped or key[0] == node.seen[0], ("a gap", where)
            if key[0] != node.seen[0]:
                node.keys = {}
            node.seen = key
            for revision in range(1, head.revision + 1):
                node.in_force.setdefault((head.epoch, revision), self.now)
        if follower is not None:
            node.settled = follower.counts.finished_syncs
        if replica.is_complete:
            assert replica.table.digest() == truth.digest(key, replica.table.scopes), (
                "another table",
                where,
            )
        if (
            not replica.is_partial
            or follower is not None
            and follower.newest_page_revision[0] == key[0]
        ):
            for name in self.watch:
                held = replica.table.get("tenant", name)
                number = msgpack.unpackb(held)["n"] if held is not None else 0
                assert number >= node.keys.get(name, 0), ("a key went back", name, where)
                node.keys[name] = number
        if follower is not None:
            age = follower.table_age_ms(self.now)
            newest = truth.newest_at(key)
            if newest is not None and age is not None and not replica.is_partial:
                assert age >= (self.now - newest) // MS - 1, ("younger than it is", age, where)

    def agreed(self, names: Iterable[str] | None = None) -> list[str]:
        """Who does not hold the truth."""
        head = self.truth.head
        return [
            name
            for name in names or self.nodes
            if self.nodes[name].up
            and not self.nodes[name].paused
            and (
                self.nodes[name].replica.head != head
                or not self.nodes[name].replica.is_complete
                or self.nodes[name].replica.table.digest()
                != self.truth.digest(head[:2], self.nodes[name].replica.table.scopes)
            )
        ]

    def spend(self) -> dict[str, list[int]]:
        return {name: node.spent[:] for name, node in self.nodes.items()}


REGIONS = "abc"


def fleet(world: World, servers: int, controls: int = 3, relays: int = 0) -> None:
    """Control machines of all regions; servers that follow them, or the relays that do."""
    names = [f"control-{REGIONS[at % 3]}{at}" for at in range(controls)]
    for at, name in enumerate(names):
        world.add(name, REGIONS[at % 3], control=True)
    between = [f"relay-{REGIONS[at % 3]}{at}" for at in range(relays)]
    for at, name in enumerate(between):
        world.add(name, REGIONS[at % 3], names, relays=True)
    for at in range(servers):
        world.add(f"server-{at}", REGIONS[at % 3], between or names)


def change(world: World, keys: int = 8, most: int = 3) -> Change:
    """One of chance; values count up, so that a look tells which is older."""
    chance, truth = world.chance, world.truth
    scope = chance.choice(["", "", "a", "b", "c"])
    number = truth.epoch * 1_000_000 + truth.revision + 1
    names = {f"{scope or 'all'}-{chance.randrange(keys)}" for _ in range(chance.randint(1, most))}
    return truth.put(
        world.now,
        scope,
        [
            (
                "tenant",
                name,
                value(number) if name in world.watch or chance.random() < 0.9 else None,
            )
            for name in sorted(names)
        ],
    )
