"""Spreads calls over several equivalent services, in place of one address."""

from collections import Counter
from collections.abc import Callable, Collection

from .connection_pool import Address, ConnectionPool
from .wire import CallStatus


class ServicePools:
    """Makes calls as `ConnectionPool` does, over a set of addresses that may change.

    Attributes:
        pools: The connection pool of each address.
        calls_in_progress: The number of open calls at each address.
    """

    def __init__(
        self,
        choose_address: Callable[[], Address],
        on_call_ended: Callable[[Address, CallStatus], None],
    ) -> None:
        """Creates a set without addresses.

        Args:
            choose_address: Returns the address for a call; called once for each call, including
                each repetition of a call.
            on_call_ended: Called with the address and the status of each finished call.
        """
        self.choose_address, self.on_call_ended = choose_address, on_call_ended
        self.pools: dict[Address, ConnectionPool] = {}
        self.calls_in_progress: Counter[Address] = Counter()

    def set_addresses(self, addresses: Collection[Address]) -> None:
        """Sets the addresses.

        Idle connections to other addresses are closed; open calls there may finish.
        """
        for address in [known for known in self.pools if known not in addresses]:
            self.pools.pop(address).close()
        for address in addresses:
            self.pools.setdefault(address, ConnectionPool(address))

    def change_address(self, address: Address | None) -> None:
        """Does nothing: the single address in the server's configuration is not used."""

    async def call(
        self, request_id: str, body: bytes, timeout_ns: int, may_reuse_connection: bool
    ) -> tuple[CallStatus, bytes]:
        """Makes one call at the address that is chosen for it; see `ConnectionPool.call`."""
        address = self.choose_address()
        pool = self.pools.get(address) or ConnectionPool(address)
        self.calls_in_progress[address] += 1
        try:
            status, reply = await pool.call(request_id, body, timeout_ns, may_reuse_connection)
        finally:
            self.calls_in_progress[address] -= 1
            if not self.calls_in_progress[address]:
                del self.calls_in_progress[address]
        if pool is not self.pools.get(address):
            pool.close()
        self.on_call_ended(address, status)
        return status, reply

    def close_expired(self) -> None:
        """Closes expired idle connections at all addresses."""
        for pool in self.pools.values():
            pool.close_expired()
