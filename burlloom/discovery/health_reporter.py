"""Reports to service discovery whether this server takes requests, as datagrams.

A report goes out at each change and at a fixed interval: none is acknowledged, and some are lost.
"""

import logging
import socket
import time
from collections.abc import Callable

from ..sockets import NS_PER_SECOND, sleep_ns

log = logging.getLogger(__name__)

# A server is delisted after 3 s without a report. With a quarter of the datagrams lost, one report
# a second would let that happen now and then.
REPORT_INTERVAL_NS = NS_PER_SECOND // 5


class HealthReporter:
    """Sends this server's health to the name service.

    Attributes:
        last_reported: The health that was reported last; None before the first report.
        last_error: Why the last report could not be sent; empty where it was.
    """

    def __init__(
        self, address: tuple[str, int], name: str, clock: Callable[[], int] = time.monotonic_ns
    ) -> None:
        self.address, self.name, self.clock = address, name, clock
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.last_reported: bool | None = None
        self.last_error = ""

    def report_health(self, serving: bool) -> None:
        """Reports at once where the health has changed."""
        if serving != self.last_reported:
            self.last_reported = serving
            self.send()

    def change_address(self, address: tuple[str, int]) -> None:
        """Reports to another address from now on."""
        if address != self.address:
            self.address = address
            if self.last_reported is not None:
                self.send()

    def send(self) -> None:
        """Sends one report; a failure is logged when it begins and when it ends."""
        try:
            self.socket.sendto(
                f"renew {self.name} {'yes' if self.last_reported else 'no'}".encode(), self.address
            )
            error_text = ""
        except OSError as error:
            error_text = error.strerror or "?"
        if error_text != self.last_error:
            self.last_error = error_text
            log.info("event=discovery_report error=%r", error_text)

    async def run(self) -> None:
        """Reports at each interval, for good.

        Each report is due one interval after the one before was due, so that a late wake-up does
        not lengthen every interval. After a pause one report leaves at once, and none for those
        that were missed.
        """
        due = self.clock()
        while True:
            if self.last_reported is not None:
                self.send()
            now = self.clock()
            due = max(due + REPORT_INTERVAL_NS, now)
            await sleep_ns(due - now)
