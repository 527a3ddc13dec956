"""Tracks the commands that the executor may not have received.

A command is confirmed by a notice about its request, or by the answer to a gauge query that was
sent after it. One whose connection is lost before is uncertain: nothing tells whether the executor
received it. Only a command that may be carried out twice without harm is then sent again.
"""

from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from .wire import Command

START_RUN = Command.START_RUN
SEND_CALL_RESULT = Command.SEND_CALL_RESULT


class Delivery(Enum):
    """How far a command has come."""

    QUEUED = auto()  # not written to any connection
    WRITTEN = auto()  # written to the current connection
    UNCERTAIN = auto()  # written to a connection that was lost since


class CommandKey(NamedTuple):
    """Identifies a command: a request has at most one of each name at a time."""

    name: Command
    request_id: str


@dataclass(slots=True)
class UnconfirmedCommand:
    """A command that is not confirmed.

    Attributes:
        data: Its bytes.
        is_repeatable: Whether the executor may receive it twice without harm.
        position: Its position in the order of all commands, from 1.
        delivery: How far it has come.
    """

    data: bytes
    is_repeatable: bool
    position: int
    delivery: Delivery


class UnconfirmedCommands:
    """The commands that are not confirmed, in the order in which they were given.

    Attributes:
        commands: The commands by name and request id.
        count: How many commands were given so far.
    """

    def __init__(self) -> None:
        self.commands: dict[CommandKey, UnconfirmedCommand] = {}
        self.count = 0

    def __len__(self) -> int:
        return len(self.commands)

    def add(self, key: CommandKey, data: bytes, is_repeatable: bool, is_written: bool) -> None:
        """Adds a command.

        Args:
            key: Its name and request id.
            data: Its bytes.
            is_repeatable: Whether the executor may receive it twice without harm.
            is_written: Whether it is written to the current connection now.
        """
        self.count += 1
        self.commands.pop(key, None)
        delivery = Delivery.WRITTEN if is_written else Delivery.QUEUED
        self.commands[key] = UnconfirmedCommand(data, is_repeatable, self.count, delivery)

    def confirm_request(self, request_id: str) -> None:
        """Removes the commands about a request that a notice named."""
        self.commands.pop(CommandKey(START_RUN, request_id), None)
        self.commands.pop(CommandKey(SEND_CALL_RESULT, request_id), None)

    def confirm_start(self, request_id: str) -> None:
        """Removes the command that starts a run, which the executor has answered."""
        self.commands.pop(CommandKey(START_RUN, request_id), None)

    def confirm_until(self, position: int) -> None:
        """Removes the written commands up to a position, which the executor has received."""
        confirmed = [
            key
            for key, command in self.commands.items()
            if command.position <= position and command.delivery is Delivery.WRITTEN
        ]
        for key in confirmed:
            del self.commands[key]

    def connection_lost(self) -> None:
        """Marks the written commands as uncertain."""
        for command in self.commands.values():
            if command.delivery is Delivery.WRITTEN:
                command.delivery = Delivery.UNCERTAIN

    def take_sendable(self) -> list[bytes]:
        """Returns the commands to send on a new connection, in order, and marks them as written."""
        sendable = [
            command
            for command in self.commands.values()
            if command.delivery is Delivery.QUEUED or command.is_repeatable
        ]
        for command in sendable:
            command.delivery = Delivery.WRITTEN
        return [command.data for command in sendable]

    def take_uncertain(self) -> list[CommandKey]:
        """Removes the uncertain commands, which are never sent again, and returns them."""
        uncertain = [
            key for key, command in self.commands.items() if command.delivery is Delivery.UNCERTAIN
        ]
        for key in uncertain:
            del self.commands[key]
        return uncertain

    def clear(self) -> None:
        """Removes all commands."""
        self.commands.clear()
