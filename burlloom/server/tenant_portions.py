"""Tenants and their portions of the service, read from the table that is distributed."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import TYPE_CHECKING

import msgpack

from ..distribution import Replica
from ..distribution.table import BUCKET_COUNT
from ..sockets import NS_PER_SECOND

if TYPE_CHECKING:
    from ..distribution import Head
    from ..distribution.table import ItemPosition

TENANT_KIND = "tenant"
COUNT_INTERVAL_NS = 300 * NS_PER_SECOND  # between two counts of all portions
PAGE_BYTES = 32 << 10  # of a page that is counted: about a millisecond
MAX_PAGES_PER_STEP = 16
MAX_ENTRIES_PER_STEP = 400
DEFAULT_PORTION = 1.0
MAX_PORTION = 1e9


class ServedTenants(Collection[str]):
    """The tenants of the table once it is in force, else those of the configuration file.

    Args:
        replica: Holds the table.
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
        except UnicodeEncodeError:  # what UTF-8 can't have is no tenant's
            return False

    def __bool__(self) -> bool:
        """Returns whether tenants are told apart.

        A table in force without any tenant serves none; a file without any serves all.
        """
        return self.replica.head is not None or bool(self.configured)

    def __len__(self) -> int:
        """Returns how many tenants are served."""
        if self.replica.head is None:
            return len(self.configured)
        return self.replica.table.count(TENANT_KIND)

    def __iter__(self) -> Iterator[str]:
        """Raises `NotImplementedError`: there may be too many to go through."""
        raise NotImplementedError("as many as there may be are not gone through")


def decode_portion(value: bytes) -> float:
    """Returns the portion in a tenant's entry; 1 where it holds none that can be."""
    fields = msgpack.unpackb(value)
    portion = fields.get("portion") if type(fields) is dict else None
    if isinstance(portion, int | float) and 0 < portion <= MAX_PORTION:
        return float(portion)
    return DEFAULT_PORTION


class TenantPortions:
    """The sum of all tenants' portions, and so each one's share of the service.

    The table is counted some entries at a time, and again some minutes after a change. Until it is
    counted, each portion is taken for 1.

    Attributes:
        total: The sum that was counted last; 0 before.
        bucket: The table's bucket that is counted next; -1 while none is.

    Args:
        replica: Holds the table.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.total = 0.0
        self.bucket = -1
        self._sum = 0.0
        self._after: ItemPosition | None = None
        # Epoch and revision at which the last count began.
        self._counted: tuple[int, int] | None = None
        self._began_ns = -COUNT_INTERVAL_NS

    def advance(self, now: int) -> None:
        """Counts a bounded number of entries, if a count is due.

        Args:
            now: ns of a clock that nobody sets.
        """
        head = self.replica.head
        if head is None or self.bucket < 0 and not self._begin(head, now):
            return
        entries = 0
        for _ in range(MAX_PAGES_PER_STEP):
            entries += self._count_page()
            if self.bucket == BUCKET_COUNT:
                self.total, self.bucket = self._sum, -1
                return
            if entries >= MAX_ENTRIES_PER_STEP:
                return

    def share(self, name: str) -> float | None:
        """Returns a tenant's share of the service, None of one that is not served."""
        value = self.replica.table.get(TENANT_KIND, name)
        if value is None:
            return None
        total = self.total or float(self.replica.table.count(TENANT_KIND))
        return min(1.0, decode_portion(value) / total) if total else 1.0

    def _begin(self, head: Head, now: int) -> bool:
        """Begins a count if one is due; returns whether it did."""
        revision = head.epoch, head.revision
        if self._counted == revision or now - self._began_ns < COUNT_INTERVAL_NS:
            return False
        self._counted = revision
        self._began_ns = now
        self._sum = 0.0
        self.bucket = 0
        self._after = None
        return True

    def _count_page(self) -> int:
        """Counts the next page; returns how many entries it has."""
        table = self.replica.table
        page = table.page(self.bucket, self._after, table.scopes or ("",), PAGE_BYTES)
        self._sum += sum(
            decode_portion(item.value)
            for item in page.items
            if item.kind == TENANT_KIND and item.value is not None
        )
        self._after = page.last_position
        if page.is_last:
            self.bucket, self._after = self.bucket + 1, None
        return len(page.items)
