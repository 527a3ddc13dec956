"""A datagram at each change and many in between; nothing ever comes back, and some are lost on
their way.
"""

import logging
import socket
import time
from collections.abc import Callable

from ..sockets import NS_PER_SECOND, sleep_ns

log = logging.getLogger(__name__)

REPORT_INTERVAL_NS = (
    NS_PER_SECOND // 5
)  # 3 s of silence delist: with a quarter lost, one a second would do so now and then


class HealthReporter:
    def __init__(
        self, address: tuple[str, int], name: str, clock: Callable[[], int] = time.monotonic_ns
    ) -> None:
        self.address, self.name, self.clock = address, name, clock
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.last_reported: bool | None = None
        self.last_error = ""

    def report_health(self, serving: bool) -> None:
        """Reports at once if this is news."""
        if serving != self.last_reported:
            self.last_reported = serving
            self.send()

    def change_address(self, address: tuple[str, int]) -> None:
        if address != self.address:
            self.address = address
            if self.last_reported is not None:
                self.send()

    def send(self) -> None:
        try:
            self.socket.sendto(
                f"renew {self.name} {'yes' if self.last_reported else 'no'}".encode(), self.address
            )
            trouble = ""
        except OSError as error:
            trouble = error.strerror or "?"
        if trouble != self.last_error:
            self.last_error = trouble
            log.info("event=discovery_report error=%r", trouble)

    async def run(self) -> None:
        """Each is due a span after the one before was: by how much that came late is not added to
        every span.
        """
        due = self.clock()
        while True:
            if self.last_reported is not None:
                self.send()
            now = self.clock()
            due = max(
                due + REPORT_INTERVAL_NS, now
            )  # after a pause, one at once, and none for those that were missed
            await sleep_ns(due - now)
