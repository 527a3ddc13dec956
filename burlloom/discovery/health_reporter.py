"""Reports to the name service, in datagrams, whether this server accepts requests.

A report is sent at each change and at a fixed interval, as reports are not acknowledged and some
are lost.
"""

import logging
import socket
import time
from collections.abc import Callable

from ..sockets import sleep_ns
from ..time_units import NS_PER_SECOND

log = logging.getLogger(__name__)

# A server is delisted after 3 s without a report. If a quarter of the datagrams is lost, one report
# a second would sometimes let that happen.
REPORT_INTERVAL_NS = NS_PER_SECOND // 5


class HealthReporter:
    """Sends this server's health to the name service.

    Attributes:
        last_reported: The last reported health; None before the first report.
        last_error: Why the last report could not be sent; empty where it was sent.
    """

    def __init__(
        self, address: tuple[str, int], name: str, clock: Callable[[], int] = time.monotonic_ns
    ) -> None:
        self.address, self.name, self.clock = address, name, clock
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.last_reported: bool | None = None
        self.last_error = ""

    def report_health(self, is_healthy: bool) -> None:
        """Sends a report at once if the health has changed."""
        if is_healthy != self.last_reported:
            self.last_reported = is_healthy
            self.send()

    def change_address(self, address: tuple[str, int]) -> None:
        """Sends the reports to another address from now on."""
        if address != self.address:
            self.address = address
            if self.last_reported is not None:
                self.send()

    def send(self) -> None:
        """Sends one report; logs when sending starts to fail and when it works again."""
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
        """Sends a report at each interval, and never returns.

        Each report is due one interval after the previous one was due, so that a late wake-up does
        not lengthen every interval. After a pause one report is sent at once; the missed ones are
        not made up.
        """
        due_ns = self.clock()
        while True:
            if self.last_reported is not None:
                self.send()
            now_ns = self.clock()
            due_ns = max(due_ns + REPORT_INTERVAL_NS, now_ns)
            await sleep_ns(due_ns - now_ns)
