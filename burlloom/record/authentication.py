"""The keyed MAC over each row, by which rows altered on disk are detected and never served."""

import hashlib
import hmac
import os
from pathlib import Path

from .rows import RecordRow

__all__ = ["RowAuthenticator", "load_key"]

KEY_BYTES = 32
MAC_BYTES = 16
MAX_KEY_FILE_BYTES = 4096  # of a longer file only the start is read
MAC_PERSONALIZATION = b"burlloom seal"


class RowAuthenticator:
    """Computes and checks the MACs of rows under one key."""

    def __init__(self, key: bytes) -> None:
        """Creates an authenticator with a key of `KEY_BYTES` bytes."""
        self.key = key

    def compute_mac(self, row: RecordRow) -> bytes:
        """Returns the MAC over all fields of a row except `mac` itself."""
        header = (
            f"{row.state} {row.node} {row.incarnation} {row.claim_number} {row.request_id}"
            f" {row.started_at_ns} {row.expires_at_ns} {len(row.result)}\0"
        )
        digest = hashlib.blake2b(
            header.encode(), key=self.key, digest_size=MAC_BYTES, person=MAC_PERSONALIZATION
        )
        digest.update(row.key_digest)
        digest.update(row.result)
        return digest.digest()

    def is_authentic(self, row: RecordRow) -> bool:
        """Returns whether the row's MAC is valid; False also if the column types were altered."""
        try:
            return hmac.compare_digest(self.compute_mac(row), row.mac)
        except (TypeError, AttributeError):
            return False


def load_key(path: Path, create: bool) -> bytes:
    """Reads the key from a file that holds it in hex and that only its owner may access.

    Args:
        path: The key file.
        create: Whether to create the file with a new key if it does not exist.

    Raises:
        OSError: The file can't be read or created.
        ValueError: The file holds no key, or its mode grants access to others than its owner.
    """
    try:
        file_descriptor = os.open(path, os.O_RDONLY)
    except FileNotFoundError:
        if not create:
            raise
        return create_key(path)
    with os.fdopen(file_descriptor) as file:
        if os.fstat(file.fileno()).st_mode & 0o077:
            raise ValueError(
                f"{path}: the key file is accessible to others than its owner; run chmod 600 on it"
            )
        try:
            key = bytes.fromhex(file.read(MAX_KEY_FILE_BYTES).strip())
        except ValueError:
            key = b""
    if len(key) != KEY_BYTES:
        raise ValueError(f"{path}: not a key of {KEY_BYTES} bytes in hexadecimal")
    return key


def create_key(path: Path) -> bytes:
    """Creates a key file with a random key, synced to disk before this returns.

    Raises:
        OSError: The file already exists or can't be created.
    """
    file_descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    key = os.urandom(KEY_BYTES)
    with os.fdopen(file_descriptor, "w") as file:
        file.write(key.hex() + "\n")
        file.flush()
        os.fsync(file.fileno())
    return key
