"""Walks every history of a small world: nodes with a store between them, two tries of one txn,
crashes and faults.

The fates move by the very table of `burlloom.record.request_lifecycle`, the store by `rows.applied`. A broken
rule ends the walk with the steps that led to it. What is not modelled: time (whatever may happen,
may happen now).
"""

from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

from burlloom.record.request_lifecycle import DurableRequest, RequestEvent, RequestState
from burlloom.record.rows import (
    ROW_COMPLETED,
    ROW_COMPLETED_WITHOUT_RESULT,
    ROW_STARTED,
    RecordRow,
    RecordWrite,
    WriteKind,
    apply_write,
    classify_row,
    interpret_unapplied_write,
)

MARK = b"m" * 16
WRITES = {
    "claim": WriteKind.CLAIM,
    "retry_claim": WriteKind.CLAIM,
    "finish": WriteKind.FINISH,
    "retry_finish": WriteKind.FINISH,
    "withdraw": WriteKind.WITHDRAW,
    "retry_withdraw": WriteKind.WITHDRAW,
    "insert": WriteKind.INSERT,
    "poll": WriteKind.LOOK,
    "resolve_as_succeeded": WriteKind.FINISH,
    "resolve_as_failed": WriteKind.FINISH,
    "resolve_as_never_ran": WriteKind.WITHDRAW,
}
FREES = {"reject", "report_never_ran", "release", "resolve_as_never_ran", "forget"}
KNOWS = {
    "deliver_result",
    "fail",
    "mark_in_doubt",
    "resolve_as_succeeded",
    "resolve_as_failed",
    "register",
}
DECLINES = {"reject", "report_never_ran", "release", "resolve_as_never_ran"}


class F(NamedTuple):
    """A fate in hand, and which of its writes in the queue counts."""

    tried: int
    state: RequestState
    life: int
    turn: int
    given_up: bool
    result: bytes


class W(NamedTuple):
    tried: int
    kind: WriteKind
    state: int
    life: int
    turn: int
    result: bytes
    counts: bool


class Node(NamedTuple):
    up: bool = True
    life: int = 1
    turn: int = 0
    known: bool = False  # the mark is in memory: a further try is a repeat here
    fates: tuple[F, ...] = ()
    queue: tuple[W, ...] = ()
    runs: tuple[tuple[int, int, str], ...] = ()  # try, life, and how far


class World(NamedTuple):
    nodes: tuple[Node, ...]
    row: RecordRow | None = None
    late: tuple[
        tuple[int, W], ...
    ] = ()  # writes whose fate is unknown, and that may still take hold
    lives: tuple[int, ...] = ()
    ran: tuple[int, ...] = ()  # the tries that had their effect
    tries: int = 0
    crashes: int = 0
    faults: int = 0


class Broken(AssertionError):
    pass


class Explorer:
    def __init__(
        self,
        nodes: int,
        tries: int,
        crashes: int,
        faults: int,
        prefer: bool = False,
        most: int = 3_000_000,
    ) -> None:
        self.tries, self.crashes, self.faults, self.prefer, self.most = (
            tries,
            crashes,
            faults,
            prefer,
            most,
        )
        self.start = World((Node(),) * nodes, lives=(1,) * nodes)
        self.seen: dict[World, tuple[World | None, str]] = {}

    def walk(self) -> int:
        """The number of worlds there are; raises `Broken` with a shortest history that breaks a
        rule.
        """
        self.seen = {self.start: (None, "start")}
        waiting = deque([self.start])
        while waiting:
            world = waiting.popleft()
            try:
                for step, after in self.steps(world):
                    if after not in self.seen:
                        self.seen[after] = world, step
                        if len(after.ran) > 1:
                            raise Broken("it ran twice", after)
                        waiting.append(after)
            except Broken as broken:
                raise Broken(
                    broken.args[0], *self.history(broken.args[1] if len(broken.args) > 1 else world)
                ) from None
            assert len(self.seen) < self.most, "the world is too large"
        return len(self.seen)

    def history(self, world: World) -> list[str]:
        steps: list[str] = []
        at: World | None = world
        while at is not None:
            at, step = self.seen[at]
            steps.append(step)
        return steps[::-1]

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        for n, node in enumerate(world.nodes):
            if not node.up:
                yield f"{n} restarts", self.restart(world, n)
                continue
            if world.tries < self.tries:
                yield f"try {world.tries} comes to {n}", self.come(world, n)
                if world.tries and len(world.nodes) > 1 and not node.known:
                    yield f"try {world.tries} comes to {n} as a retry", self.look(world, n)
            for fate in node.fates:
                if fate.state == RequestState.CLAIMING and not fate.given_up:
                    yield (
                        f"{n} gives try {fate.tried} up",
                        self.meet(world, n, fate, RequestEvent.ABANDONED),
                    )
                if fate.state == RequestState.CLAIMING:
                    yield (
                        f"the claim of try {fate.tried} at {n} takes too long",
                        self.meet(world, n, fate, RequestEvent.STORE_TIMED_OUT),
                    )
                if fate.state == RequestState.CLAIMED_ELSEWHERE:
                    yield (
                        f"{n} gives try {fate.tried} up",
                        self.meet(world, n, fate, RequestEvent.ABANDONED),
                    )
                if fate.state == RequestState.AWAITING_EXECUTOR:
                    yield (
                        f"{n} waits no more",
                        self.meet(world, n, fate, RequestEvent.EXECUTOR_SILENT),
                    )
            if node.queue:
                yield from self.write(world, n)
            for at, run in enumerate(node.runs):
                yield from self.run(world, n, at, run)
            if world.crashes < self.crashes:
                yield from self.crash(world, n)
        for at, (n, write) in enumerate(world.late):
            row, _ = apply_write(world.row, self.asked(n, write), world.lives[n])
            yield (
                f"a late {write.kind.name} of {n} takes hold",
                world._replace(row=row, late=world.late[:at] + world.late[at + 1 :]),
            )

    # What may happen.

    def come(self, world: World, n: int) -> World:
        node, tried = world.nodes[n], world.tries
        world = world._replace(tries=tried + 1)
        if node.known:
            return world
        fate = F(tried, RequestState.NEW, node.life, node.turn + 1, False, b"")
        node = node._replace(known=True, turn=node.turn + 1, fates=node.fates + (fate,))
        return self.meet(self.put(world, n, node), n, fate, RequestEvent.STARTED)

    def look(self, world: World, n: int) -> World:
        """Its mark is looked up at the door; where it is not known, it goes on as any other."""
        node, tried = world.nodes[n], world.tries
        lives = {f"n{at}": (life, False) for at, life in enumerate(world.lives)}
        how = classify_row(world.row, f"n{n}", node.life, 0, lives)
        if how in (RequestEvent.NOT_FOUND, RequestEvent.WRITE_APPLIED):
            return self.come(world, n)
        fate = F(
            tried,
            RequestState.NEW,
            node.life,
            0,
            False,
            world.row.result if world.row is not None else b"",
        )
        world = self.put(
            world._replace(tries=tried + 1), n, node._replace(fates=node.fates + (fate,))
        )
        return self.meet(self.meet(world, n, fate, RequestEvent.RETRY_RECEIVED), n, fate, how)

    def write(self, world: World, n: int) -> Iterator[tuple[str, World]]:
        node = world.nodes[n]
        write, left = node.queue[0], node._replace(queue=node.queue[1:])
        asked = self.asked(n, write)
        row, done = apply_write(world.row, asked, world.lives[n])
        lives = {f"n{at}": (life, False) for at, life in enumerate(world.lives)}
        how = (
            RequestEvent.WRITE_APPLIED
            if done
            else RequestEvent.FENCED
            if write.kind in (WriteKind.CLAIM, WriteKind.INSERT) and write.life != world.lives[n]
            else interpret_unapplied_write(asked, world.row, lives).outcome
        )
        name = f"{write.kind.name} of try {write.tried} at {n}"
        yield (
            f"{name}: {how.name}",
            self.told(self.put(world._replace(row=row), n, left), n, write, how, row),
        )
        if world.faults < self.faults:
            spoilt = world._replace(faults=world.faults + 1)
            yield (
                f"{name} is lost",
                self.told(self.put(spoilt, n, left), n, write, RequestEvent.WRITE_FAILED, None),
            )
            late = spoilt._replace(late=spoilt.late + ((n, write._replace(counts=False)),))
            for over in (False, True):
                when = ", its time over" if over else ""
                yield (
                    f"{name} took hold, unsure{when}",
                    self.told(
                        self.put(spoilt._replace(row=row), n, left),
                        n,
                        write,
                        RequestEvent.WRITE_UNCERTAIN,
                        None,
                        over,
                    ),
                )
                yield (
                    f"{name} may come late, unsure{when}",
                    self.told(
                        self.put(late, n, left), n, write, RequestEvent.WRITE_UNCERTAIN, None, over
                    ),
                )

    def told(
        self,
        world: World,
        n: int,
        write: W,
        how: RequestEvent,
        row: RecordRow | None,
        over: bool = False,
    ) -> World:
        fate = next(
            (
                one
                for one in world.nodes[n].fates
                if one.tried == write.tried
                and write.counts
                and (one.life, one.turn) == (write.life, write.turn)
            ),
            None,
        )
        if fate is None:
            return world
        if how is RequestEvent.FOUND_RESULT:
            assert world.row is not None
            if not world.ran or world.row.result != b"r%d" % world.ran[0]:
                raise Broken("a result that no run made", world)
            world, fate = self.change(world, n, fate, result=world.row.result)
        return self.meet(world, n, fate, how, over)

    def run(
        self, world: World, n: int, at: int, run: tuple[int, int, str]
    ) -> Iterator[tuple[str, World]]:
        tried, life, phase = run
        node = world.nodes[n]
        rest = node.runs[:at] + node.runs[at + 1 :]
        if phase == "sent":
            began = world._replace(ran=world.ran + (tried,))
            yield (
                f"try {tried} runs at {n}",
                self.put(began, n, node._replace(runs=rest + ((tried, life, "RUN_SUCCEEDED"),))),
            )
            yield (
                f"try {tried} runs and fails at {n}",
                self.put(began, n, node._replace(runs=rest + ((tried, life, "RUN_FAILED"),))),
            )
            yield (
                f"try {tried} never runs at {n}",
                self.put(world, n, node._replace(runs=rest + ((tried, life, "NEVER_RAN"),))),
            )
            return
        after = self.put(world, n, node._replace(runs=rest))
        fate = next((one for one in node.fates if one.tried == tried), None)
        if fate is not None:
            result = b"r%d" % tried if phase == "RUN_SUCCEEDED" else b""
            after, fate = self.change(after, n, fate, result=result)
            after = self.meet(after, n, fate, RequestEvent[phase])
        yield f"{n} hears {phase} of try {tried}", after

    def crash(self, world: World, n: int) -> Iterator[tuple[str, World]]:
        node = world.nodes[n]
        world = world._replace(crashes=world.crashes + 1)
        row = world.row
        for done in range(len(node.queue) + 1):
            if done:
                row, _ = apply_write(row, self.asked(n, node.queue[done - 1]), world.lives[n])
            for runs in {(), node.runs}:
                dead = Node(False, node.life, 0, False, (), (), runs)
                yield (
                    f"{n} crashes, {done} writes done, executor {'lives' if runs else 'dies'}",
                    self.put(world._replace(row=row), n, dead),
                )

    def restart(self, world: World, n: int) -> World:
        node = world.nodes[n]
        life, row = node.life + 1, world.row
        lives = world.lives[:n] + (life,) + world.lives[n + 1 :]
        fresh = Node(True, life, 0, False, (), (), node.runs)
        world = self.put(world._replace(lives=lives), n, fresh)
        if row is None or row.node != f"n{n}":
            return world
        world = self.put(world, n, fresh._replace(known=True))
        if row.state in (ROW_COMPLETED, ROW_COMPLETED_WITHOUT_RESULT):
            return world
        fate = F(
            int(row.request_id), RequestState.NEW, row.incarnation, row.claim_number, False, b""
        )
        world = self.put(world, n, world.nodes[n]._replace(fates=(fate,)))
        return self.meet(
            world,
            n,
            fate,
            RequestEvent.RECOVERED_RUNNING if node.runs else RequestEvent.RECOVERED_IN_DOUBT,
        )

    # How.

    def meet(self, world: World, n: int, was: F, what: RequestEvent, over: bool = False) -> World:
        fate = DurableRequest(
            MARK,
            str(was.tried),
            was.life,
            was.turn,
            0,
            1,
            claim_deadline_ns=0 if over else 1,
            may_run_unrecorded=self.prefer,
        )
        fate.state, fate.is_abandoned, fate.result = was.state, was.given_up, was.result
        effects = fate.handle(what, 0)
        node = world.nodes[n]
        now = F(was.tried, fate.state, was.life, was.turn, fate.is_abandoned, fate.result)
        known, queue, runs = node.known, node.queue, node.runs
        others = [one for one in node.fates if one != was]
        holder = not any(one.turn > was.turn and one.life == was.life for one in others)
        for effect in effects:
            if effect in WRITES:
                queue = tuple(
                    one._replace(
                        counts=one.counts and (one.tried, one.turn) != (was.tried, was.turn)
                    )
                    for one in queue
                )
                queue += (
                    W(
                        was.tried,
                        WRITES[effect],
                        int(fate.row_state),
                        was.life,
                        was.turn,
                        fate.result if fate.row_state is RequestState.SUCCESS_RECORDED else b"",
                        True,
                    ),
                )
            if effect in ("start_run", "start_run_unrecorded"):
                runs += ((was.tried, was.life, "sent"),)
            if effect in FREES and holder:
                known = False
            if effect in KNOWS:
                known = True
            if effect in DECLINES and was.tried in world.ran and effect != "release":
                raise Broken("one that ran was declined", world)
        fates = (
            tuple(others)
            if fate.state
            in (RequestState.CLOSED, RequestState.SUCCESS_RECORDED, RequestState.FAILURE_RECORDED)
            else (*others, now)
        )
        return self.put(world, n, node._replace(known=known, queue=queue, runs=runs, fates=fates))

    def change(self, world: World, n: int, fate: F, **to: Any) -> tuple[World, F]:
        changed = fate._replace(**to)
        node = world.nodes[n]
        fates = tuple(changed if one == fate else one for one in node.fates)
        return self.put(world, n, node._replace(fates=fates)), changed

    @staticmethod
    def put(world: World, n: int, node: Node) -> World:
        return world._replace(nodes=world.nodes[:n] + (node,) + world.nodes[n + 1 :])

    @staticmethod
    def asked(n: int, write: W) -> RecordWrite:
        state = ROW_STARTED if write.kind is WriteKind.CLAIM else write.state
        return RecordWrite(
            write.kind,
            RecordRow(
                MARK, state, f"n{n}", write.life, write.turn, str(write.tried), 0, 1, write.result
            ),
        )
