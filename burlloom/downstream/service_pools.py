"""Calls spread over several services that all do the same, in place of one address."""

from collections import Counter
from collections.abc import Callable, Collection

from .connection_pool import CallStatus, ConnectionPool

Address = tuple[str, int]


class ServicePools:
    """As `Pool`, over a set of addresses that may change. `next` names where a call goes, `told`
    hears what became of it; neither may be asked of twice for one call: a repeat is a call of its
    own.
    """

    def __init__(
        self, next: Callable[[], Address], told: Callable[[Address, CallStatus], None]
    ) -> None:
        self.choose_address, self.on_call_ended = next, told
        self.pools: dict[Address, ConnectionPool] = {}
        self.calls_in_progress: Counter[Address] = Counter()  # calls on their way

    def set_addresses(self, addresses: Collection[Address]) -> None:
        """Calls on their way may finish where they are; connections kept to others are closed."""
        for address in [one for one in self.pools if one not in addresses]:
            self.pools.pop(address).close()
        for address in addresses:
            self.pools.setdefault(address, ConnectionPool(address))

    def change_address(self, address: Address | None) -> None:
        """The platform's one address is not used."""

    async def call(
        self, id: str, body: bytes, patience: int, kept: bool
    ) -> tuple[CallStatus, bytes]:
        address = self.choose_address()
        pool = self.pools.get(address) or ConnectionPool(address)
        self.calls_in_progress[address] += 1
        try:
            answer, reply = await pool.call(id, body, patience, kept)
        finally:
            self.calls_in_progress[address] -= 1
            if not self.calls_in_progress[address]:
                del self.calls_in_progress[address]
        if pool is not self.pools.get(address):
            pool.close()
        self.on_call_ended(address, answer)
        return answer, reply

    def close_expired(self) -> None:
        for pool in self.pools.values():
            pool.close_expired()
