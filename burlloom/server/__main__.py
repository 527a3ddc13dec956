"""`python -m burlloom.server`: one real server, told what it is by its environment."""

import sys

import uvloop

from .assembly import Server
from .configuration import Broken, Orders, read
from .logs import set_up


async def serve(orders: Orders) -> None:
    await Server(orders).run()


def main() -> int:
    try:
        orders = read()
    except Broken as error:
        print(f"burlloom.server: {error}", file=sys.stderr)
        return 2
    set_up()
    uvloop.run(serve(orders))
    return 0


if __name__ == "__main__":
    sys.exit(main())
