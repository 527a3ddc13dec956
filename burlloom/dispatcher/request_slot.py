"""The state that the dispatcher keeps for one request."""

import asyncio

from .directives import Directive


class RequestSlot:
    """A request from its arrival until the admission controller releases it.

    The slot of a request that has a key stays until the key's window is over. What is needed only
    up to the answer is dropped then.

    Attributes:
        id: The attempt's id.
        caller: The caller's name.
        key_digest: The digest that all attempts of the request share; empty if they share none.
        body: The body of the call that its run asked for last.
        is_idempotent: Whether its class is idempotent.
        is_started: Whether a directive to run it was issued.
        is_answered: Whether its answer was decided.
        directives: The directives that its coroutine has not taken yet.
        waiter: Completes once a directive is available.
    """

    __slots__ = (
        "body",
        "caller",
        "directives",
        "id",
        "is_answered",
        "is_idempotent",
        "is_started",
        "key_digest",
        "waiter",
    )

    def __init__(self, id: str, caller: str, key_digest: bytes, is_idempotent: bool) -> None:
        self.id, self.caller = id, caller
        self.key_digest, self.is_idempotent = key_digest, is_idempotent
        self.body = b""
        self.is_started = self.is_answered = False
        self.directives: list[Directive] = []
        self.waiter: asyncio.Future[None] | None = None

    def take_directive(self) -> Directive:
        """Removes the next directive and returns it; there must be one."""
        self.waiter = None
        if self.is_answered:
            self.body = b""
        return self.directives.pop(0)
