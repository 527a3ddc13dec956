"""Calls spread over several services that do the same, in place of one address."""

from collections import Counter
from collections.abc import Callable, Collection

from .connection_pool import Address, ConnectionPool
from .wire import CallStatus


class ServicePools:
    """Makes calls as `ConnectionPool` does, over a set of addresses that may change.

    Attributes:
        pools: The pool of each address.
        calls_in_progress: Open calls at each address.
    """

    def __init__(
        self,
        choose_address: Callable[[], Address],
        on_call_ended: Callable[[Address, CallStatus], None],
    ) -> None:
        """Makes a set without addresses.

        Args:
            choose_address: Returns where a call goes; called once for each call, and a repeated
                call is a call of its own.
            on_call_ended: Called with how a call ended.
        """
        self.choose_address, self.on_call_ended = choose_address, on_call_ended
        self.pools: dict[Address, ConnectionPool] = {}
        self.calls_in_progress: Counter[Address] = Counter()

    def set_addresses(self, addresses: Collection[Address]) -> None:
        """Sets the addresses.

        Idle connections to others are closed; open calls may finish where they are.
        """
        for address in [one for one in self.pools if one not in addresses]:
            self.pools.pop(address).close()
        for address in addresses:
            self.pools.setdefault(address, ConnectionPool(address))

    def change_address(self, address: Address | None) -> None:
        """Does nothing: the one address of the server's configuration is not used."""

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
        """Closes connections that were idle for too long, at all addresses."""
        for pool in self.pools.values():
            pool.close_expired()
