"""Tenants and their portions of the service, read from the distributed table."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import TYPE_CHECKING

import msgpack

from ..distribution import Replica
from ..distribution.table import BUCKET_COUNT
from ..time_units import NS_PER_SECOND

if TYPE_CHECKING:
    from ..distribution import Head
    from ..distribution.table import ItemPosition

TENANT_KIND = "tenant"
# Shortest time between the starts of two counts of all portions.
COUNT_INTERVAL_NS = 300 * NS_PER_SECOND
# Size of a page that is counted at once; counting it takes about 1 ms.
PAGE_BYTES = 32 << 10
# A step of a count ends after this many pages, or once it has read this many entries.
MAX_PAGES_PER_STEP = 16
MAX_ENTRIES_PER_STEP = 400
# Portion of a tenant whose entry has none, or one that is not above 0 and at most `MAX_PORTION`.
DEFAULT_PORTION = 1.0
MAX_PORTION = 1e9


class ServedTenants(Collection[str]):
    """The served tenants: those of the table, or of the configuration file until one is in force.

    Args:
        replica: The local copy of the table.
        configured: The tenants of the server's own configuration file.
    """

    def __init__(self, replica: Replica, configured: Collection[str]) -> None:
        self.replica = replica
        self.configured = configured

    def __contains__(self, name: object) -> bool:
        """Returns whether a tenant is served."""
        if not isinstance(name, str):
            return False
        if self.replica.head is None:
            return name in self.configured
        try:
            return self.replica.table.has(TENANT_KIND, name)
        except UnicodeEncodeError:  # no tenant has a name that UTF-8 can't encode
            return False

    def __bool__(self) -> bool:
        """Returns whether requests are restricted to the tenants in this collection.

        A table in force without tenants serves none; a configuration file without tenants serves
        all.
        """
        return self.replica.head is not None or bool(self.configured)

    def __len__(self) -> int:
        """Returns how many tenants are served."""
        if self.replica.head is None:
            return len(self.configured)
        return self.replica.table.count(TENANT_KIND)

    def __iter__(self) -> Iterator[str]:
        """Raises `NotImplementedError`: the table may hold too many tenants to iterate over."""
        raise NotImplementedError("served tenants can't be iterated over: there may be too many")


def decode_portion(value: bytes) -> float:
    """Returns the portion in a tenant's entry; 1 if the entry has no valid portion."""
    fields = msgpack.unpackb(value)
    portion = fields.get("portion") if type(fields) is dict else None
    if isinstance(portion, int | float) and 0 < portion <= MAX_PORTION:
        return float(portion)
    return DEFAULT_PORTION


class TenantPortions:
    """Sums the portions of all tenants, and computes each tenant's share of the service.

    The table is counted in small steps, and again after a change, at most once in
    `COUNT_INTERVAL_NS`. Until the first count is complete, the sum is the number of tenants.

    Attributes:
        total: The sum of portions of the last complete count; 0 before the first one.
        bucket: The bucket of the table that is counted next; -1 while no count is in progress.

    Args:
        replica: The local copy of the table.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.total = 0.0
        self.bucket = -1
        self._partial_total = 0.0
        self._last_position: ItemPosition | None = None
        # Epoch and revision of the table at the start of the last count.
        self._counted_revision: tuple[int, int] | None = None
        self._count_started_ns = -COUNT_INTERVAL_NS

    def advance(self, now_ns: int) -> None:
        """Counts a bounded number of entries if a count is due or in progress.

        Args:
            now_ns: Current monotonic time in ns.
        """
        head = self.replica.head
        if head is None or self.bucket < 0 and not self._begin_count(head, now_ns):
            return
        entries = 0
        for _ in range(MAX_PAGES_PER_STEP):
            entries += self._count_page()
            if self.bucket == BUCKET_COUNT:
                self.total, self.bucket = self._partial_total, -1
                return
            if entries >= MAX_ENTRIES_PER_STEP:
                return

    def share(self, name: str) -> float | None:
        """Returns a tenant's share of the service, from 0 to 1; None if it is not served."""
        value = self.replica.table.get(TENANT_KIND, name)
        if value is None:
            return None
        total = self.total or float(self.replica.table.count(TENANT_KIND))
        return min(1.0, decode_portion(value) / total) if total else 1.0

    def _begin_count(self, head: Head, now_ns: int) -> bool:
        """Starts a count if one is due; returns whether it did."""
        revision = head.epoch, head.revision
        if (
            self._counted_revision == revision
            or now_ns - self._count_started_ns < COUNT_INTERVAL_NS
        ):
            return False
        self._counted_revision = revision
        self._count_started_ns = now_ns
        self._partial_total = 0.0
        self.bucket = 0
        self._last_position = None
        return True

    def _count_page(self) -> int:
        """Counts the next page and returns its number of entries."""
        table = self.replica.table
        page = table.page(self.bucket, self._last_position, table.scopes or ("",), PAGE_BYTES)
        self._partial_total += sum(
            decode_portion(item.value)
            for item in page.items
            if item.kind == TENANT_KIND and item.value is not None
        )
        self._last_position = page.last_position
        if page.is_last:
            self.bucket, self._last_position = self.bucket + 1, None
        return len(page.items)
