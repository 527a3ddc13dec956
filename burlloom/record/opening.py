"""The store that an operator's file names."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from .seal import Sealer, key
from .store import Refused, Store

if TYPE_CHECKING:
    from ..operator import Place

PAGE_BYTES = 4096


def sealer_of(record: "Place", make: bool) -> Sealer:
    """Raises `Refused`."""
    place = record.sqlite.key_place() if record.sqlite is not None else None
    if place is None:
        assert record.postgres is not None
        place, make = record.postgres.key_place(), False
    if make and record.sqlite is not None and record.sqlite.place().exists() and not place.exists():
        raise Refused(
            f"{place}: the key of {record.sqlite.path} is missing: without it nothing there can be proven."
            " Put it back, or move the file away to begin with an empty one"
        )
    try:
        return Sealer(key(place, make))
    except OSError as error:
        raise Refused(f"{place}: {error.strerror}") from error
    except ValueError as error:
        raise Refused(str(error)) from error


def password_of(file: str | None) -> str:
    """Raises `Refused`."""
    try:
        return Path(file).read_text(encoding="utf-8").strip() if file is not None else ""
    except (OSError, UnicodeDecodeError) as error:
        raise Refused(f"{file}: {error}") from error


def store_of(
    record: "Place", node: str, keep: int, clock: Callable[[], int] = time.time_ns
) -> tuple[Store, Sealer]:
    """`keep`: ns that a mark stays past the end of its window. Raises `Refused`."""
    sealer = sealer_of(record, True)
    if record.sqlite is not None:
        from .sqlite import Sqlite

        return Sqlite(
            record.sqlite.place(),
            sealer,
            node,
            pages=record.sqlite.max_mb * (1 << 20) // PAGE_BYTES,
            batch=record.sqlite.batch_most,
            keep=keep,
        ), sealer
    assert record.postgres is not None
    from .postgres import Postgres

    told = record.postgres
    host, port = told.address.rsplit(":", 1)
    return Postgres(
        (host, int(port)),
        told.database,
        told.user,
        password_of(told.password_file),
        sealer,
        node,
        connect=told.connect_ms / 1000,
        hang=told.hang_ms / 1000,
        batch=told.batch_most,
        keep=keep,
        clock=clock,
    ), sealer
