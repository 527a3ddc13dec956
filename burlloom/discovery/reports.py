"""A datagram at each change and many in between; nothing ever comes back, and some are lost on
their way.
"""

import logging
import socket
import time
from collections.abc import Callable

from ..sockets import SECOND, rest

log = logging.getLogger(__name__)

EVERY = (
    SECOND // 5
)  # 3 s of silence delist: with a quarter lost, one a second would do so now and then


class Reports:
    def __init__(
        self, address: tuple[str, int], name: str, clock: Callable[[], int] = time.monotonic_ns
    ) -> None:
        self.address, self.name, self.clock = address, name, clock
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.said: bool | None = None
        self.trouble = ""

    def tell(self, serving: bool) -> None:
        """Reports at once if this is news."""
        if serving != self.said:
            self.said = serving
            self.report()

    def move(self, address: tuple[str, int]) -> None:
        if address != self.address:
            self.address = address
            if self.said is not None:
                self.report()

    def report(self) -> None:
        try:
            self.sock.sendto(
                f"renew {self.name} {'yes' if self.said else 'no'}".encode(), self.address
            )
            trouble = ""
        except OSError as error:
            trouble = error.strerror or "?"
        if trouble != self.trouble:
            self.trouble = trouble
            log.info("event=naming trouble=%r", trouble)

    async def keep(self) -> None:
        """Each is due a span after the one before was: by how much that came late is not added to
        every span.
        """
        due = self.clock()
        while True:
            if self.said is not None:
                self.report()
            now = self.clock()
            due = max(
                due + EVERY, now
            )  # after a pause, one at once, and none for those that were missed
            await rest(due - now)
