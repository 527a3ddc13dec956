"""A host of hollow servers with a fault planted, which the checker of the scale run has to notice.

    python tests/planted_host.py share    # who deals does not count what others hold
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

import uvloop  # noqa: E402

from burlloom.fleet.deal import Dealer  # noqa: E402
from burlloom.lab import hollow  # noqa: E402


def share() -> None:
    Dealer.free = lambda dealer, now: dealer.terms.total  # type: ignore[method-assign]
    Dealer.grant = lambda dealer, now, account: dealer.terms.total // 4  # type: ignore[method-assign]


PLANTED = {"share": share}

if __name__ == "__main__":
    PLANTED[sys.argv[1]]()
    hollow.run()
