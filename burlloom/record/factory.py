"""The store that an operator's file names."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from .authentication import RowAuthenticator, load_key
from .store import RecordStore, StoreRefusedError

if TYPE_CHECKING:
    from ..operator import Place

PAGE_BYTES = 4096


def load_authenticator(record: "Place", make: bool) -> RowAuthenticator:
    """Raises `Refused`."""
    place = record.sqlite.key_place() if record.sqlite is not None else None
    if place is None:
        assert record.postgres is not None
        place, make = record.postgres.key_place(), False
    if make and record.sqlite is not None and record.sqlite.place().exists() and not place.exists():
        raise StoreRefusedError(
            f"{place}: the key of {record.sqlite.path} is missing: without it nothing there can be proven."
            " Put it back, or move the file away to begin with an empty one"
        )
    try:
        return RowAuthenticator(load_key(place, make))
    except OSError as error:
        raise StoreRefusedError(f"{place}: {error.strerror}") from error
    except ValueError as error:
        raise StoreRefusedError(str(error)) from error


def read_password(file: str | None) -> str:
    """Raises `Refused`."""
    try:
        return Path(file).read_text(encoding="utf-8").strip() if file is not None else ""
    except (OSError, UnicodeDecodeError) as error:
        raise StoreRefusedError(f"{file}: {error}") from error


def create_store(
    record: "Place", node: str, keep: int, clock: Callable[[], int] = time.time_ns
) -> tuple[RecordStore, RowAuthenticator]:
    """`keep`: ns that a mark stays past the end of its window. Raises `Refused`."""
    sealer = load_authenticator(record, True)
    if record.sqlite is not None:
        from .sqlite import SqliteStore

        return SqliteStore(
            record.sqlite.place(),
            sealer,
            node,
            pages=record.sqlite.max_mb * (1 << 20) // PAGE_BYTES,
            batch=record.sqlite.batch_most,
            keep=keep,
        ), sealer
    assert record.postgres is not None
    from .postgres import PostgresStore

    told = record.postgres
    host, port = told.address.rsplit(":", 1)
    return PostgresStore(
        (host, int(port)),
        told.database,
        told.user,
        read_password(told.password_file),
        sealer,
        node,
        connect=told.connect_ms / 1000,
        hang=told.hang_ms / 1000,
        batch=told.batch_most,
        keep=keep,
        clock=clock,
    ), sealer
