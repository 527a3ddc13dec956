"""Walks of the executor's connection: commands, notices and breaks in random order."""

import random
from collections import deque
from typing import Any

import pytest
from test_races import on_loop

from burlloom.executor import ExecutorConnection, RunStatus
from burlloom.executor.wire import Notice, NoticeKind
from burlloom.sockets import TaskSupervisor

WALKS, STEPS = 60, 400


class ModelRun:
    """A run at the model of the executor: a few calls, and its end."""

    def __init__(self, calls: int) -> None:
        self.calls, self.call, self.is_waiting, self.is_ended = calls, 0, False, False


class FakeWriter:
    """Collects the commands that are written to one connection."""

    def __init__(self) -> None:
        self.commands: deque[bytes] = deque()

    def send(self, *commands: bytes) -> None:
        self.commands += commands

    def abort(self) -> None:
        self.commands.clear()


class Walk:
    """A connection with a model of the executor at its other end.

    Commands and notices are in transit until a step carries them. A break loses any number of the
    commands that the executor has not read, and the notices that the server has not read come again.
    """

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.link = ExecutorConnection(
            ("127.0.0.1", 1),
            TaskSupervisor(),
            lambda is_cold, age: None,
            self.on_run_ended,
            self.on_call_requested,
            self.failed_append,
        )
        self.runs: dict[str, ModelRun] = {}
        self.run_counts: dict[str, int] = {}
        self.non_idempotent: set[str] = set()
        self.answers: dict[str, str] = {}
        self.notices: list[Notice] = []
        self.wrong_results: list[str] = []
        self.in_transit: deque[Notice] = deque()
        self.request_count = self.replied_count = 0
        self.connect()

    # The server's side.

    def on_run_ended(self, id: str, status: RunStatus, duration_ns: int, result: bytes) -> None:
        self.answers.setdefault(id, status.value)

    def on_call_requested(self, id: str, body: bytes) -> None:
        if id not in self.answers:
            self.link.send_call_result(id, b"reply to " + body)

    def failed_append(self, id: str) -> None:
        self.answers.setdefault(id, "uncertain")

    def start_request(self) -> None:
        self.request_count += 1
        id = f"{self.request_count:016x}"
        is_idempotent = self.draw.random() < 0.5
        if not is_idempotent:
            self.non_idempotent.add(id)
        self.link.start_run(id, "look" if is_idempotent else "pay", b"body", is_idempotent)

    def connect(self) -> None:
        self.writer = FakeWriter()
        self.link.writer = self.writer  # type: ignore[assignment]
        self.in_transit = deque([self.notice("WELCOME", "LOADED", "1")])
        self.in_transit += self.notices[self.link.last_notice :]

    def break_connection(self) -> None:
        for _ in range(self.draw.randrange(len(self.writer.commands) + 1)):
            self.carry_command()
        self.link.disconnect()
        self.in_transit.clear()

    # The executor's side.

    def notice(self, kind: str, *words: str, body: bytes = b"") -> Notice:
        return Notice(NoticeKind(kind), list(words), memoryview(body))

    def notify(self, kind: str, id: str, *words: str, body: bytes = b"") -> None:
        length = str(len(body))
        number = str(len(self.notices) + 1)
        self.notices.append(self.notice(kind, number, id, *words, length, body=body))
        self.in_transit.append(self.notices[-1])

    def carry_command(self) -> None:
        if not self.writer.commands:
            return
        line, _, rest = self.writer.commands.popleft().partition(b"\r\n")
        name, *words = line.decode().split(" ")
        if name == "METER":
            self.in_transit.append(self.notice("METERS", words[0], "0.1"))
        elif name == "EXEC":
            self.take_start(words[0])
        elif name == "RETURN":
            self.take_result(words[0], rest[:-2])

    def take_start(self, id: str) -> None:
        run = self.runs.get(id)
        if run is None or run.is_ended:
            self.run_counts[id] = self.run_counts.get(id, 0) + 1
            self.runs[id] = ModelRun(self.draw.randrange(4))

    def take_result(self, id: str, result: bytes) -> None:
        run = self.runs[id]
        if run.is_waiting:
            run.is_waiting = False
            if result != f"reply to call {run.call} of {id}".encode():
                self.wrong_results.append(f"{id} at call {run.call}: {result!r}")

    def step_run(self) -> None:
        ready = [id for id, run in self.runs.items() if not run.is_ended and not run.is_waiting]
        if not ready:
            return
        id = self.draw.choice(ready)
        run = self.runs[id]
        if run.call < run.calls:
            run.call, run.is_waiting = run.call + 1, True
            self.notify("CALLOUT", id, body=f"call {run.call} of {id}".encode())
        else:
            run.is_ended = True
            self.notify("EXIT", id, "PASS", "12", body=b"result")

    # The walk.

    def carry_notice(self) -> None:
        if self.in_transit:
            self.link.handle_notice(self.in_transit.popleft())

    def step(self) -> None:
        action: Any = self.draw.choices(
            [
                self.start_request,
                self.carry_command,
                self.carry_notice,
                self.step_run,
                self.link.confirm_commands,
                self.reconnect,
                self.give_up,
            ],
            [4, 12, 12, 10, 3, 1, 1],
        )[0]
        action()

    def reconnect(self) -> None:
        self.break_connection()
        if self.draw.random() < 0.5:
            self.start_request()
        for _ in range(self.draw.randrange(4)):
            self.step_run()
        self.in_transit.clear()
        self.connect()

    def give_up(self) -> None:
        if self.link.is_joined:
            self.link.give_up_uncertain()

    def finish(self) -> None:
        """Carries everything without a further break until nothing changes."""
        for _ in range(20 * self.request_count + 100):
            self.carry_command()
            self.carry_notice()
            self.step_run()
        self.give_up()
        for _ in range(20 * self.request_count + 100):
            self.carry_command()
            self.carry_notice()
            self.step_run()


def walk(seed: int) -> Walk:
    walks: list[Walk] = []

    async def scenario() -> None:
        walks.append(Walk(seed))
        for _ in range(STEPS):
            walks[0].step()
        walks[0].finish()

    on_loop(scenario)()
    return walks[0]


@pytest.mark.parametrize("seed", range(WALKS))
def test_no_call_gets_the_result_of_another_call_in_any_order(seed: int) -> None:
    """Guards against review/7, whatever a break loses and whenever it comes."""
    ended = walk(seed)
    assert not ended.wrong_results
    assert len(ended.answers) == ended.request_count  # each request has an answer in the end
    assert ended.request_count > 10


@pytest.mark.parametrize("seed", range(WALKS))
def test_no_run_that_must_not_run_twice_does_so_in_any_order(seed: int) -> None:
    """Guards against review/9: a start that had arrived was sent again after the run's end."""
    ended = walk(seed)
    assert {
        id for id, count in ended.run_counts.items() if count > 1
    } & ended.non_idempotent == set()
    assert ended.non_idempotent
