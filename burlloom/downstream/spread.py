"""Calls spread over several services that all do the same, in place of one address."""

from collections import Counter
from collections.abc import Callable, Collection

from .pool import Answer, Pool

Address = tuple[str, int]


class Pools:
    """As `Pool`, over a set of addresses that may change. `next` names where a call goes, `told`
    hears what became of it; neither may be asked of twice for one call: a repeat is a call of its
    own.
    """

    def __init__(
        self, next: Callable[[], Address], told: Callable[[Address, Answer], None]
    ) -> None:
        self.next, self.told = next, told
        self.pools: dict[Address, Pool] = {}
        self.open: Counter[Address] = Counter()  # calls on their way

    def use(self, addresses: Collection[Address]) -> None:
        """Calls on their way may finish where they are; connections kept to others are closed."""
        for address in [one for one in self.pools if one not in addresses]:
            self.pools.pop(address).close()
        for address in addresses:
            self.pools.setdefault(address, Pool(address))

    def move(self, address: Address | None) -> None:
        """The platform's one address is not used."""

    async def call(self, id: str, body: bytes, patience: int, kept: bool) -> tuple[Answer, bytes]:
        address = self.next()
        pool = self.pools.get(address) or Pool(address)
        self.open[address] += 1
        try:
            answer, reply = await pool.call(id, body, patience, kept)
        finally:
            self.open[address] -= 1
            if not self.open[address]:
                del self.open[address]
        if pool is not self.pools.get(address):
            pool.close()
        self.told(address, answer)
        return answer, reply

    def sweep(self) -> None:
        for pool in self.pools.values():
            pool.sweep()
