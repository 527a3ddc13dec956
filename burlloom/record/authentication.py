"""The keyed MAC over each row: what was altered on disk is found and never served."""

import hashlib
import hmac
import os
from pathlib import Path

from .rows import RecordRow

__all__ = ["RowAuthenticator", "load_key"]

KEY_BYTES = 32
MAC_BYTES = 16
MAX_KEY_FILE_BYTES = 4096
MAC_PERSONALIZATION = b"burlloom seal"


class RowAuthenticator:
    """Computes and checks the MAC of rows under one key."""

    def __init__(self, key: bytes) -> None:
        """Takes the key, `KEY_BYTES` long."""
        self.key = key

    def compute_mac(self, row: RecordRow) -> bytes:
        """The MAC over all fields of a row but `mac` itself."""
        head = (
            f"{row.state} {row.node} {row.incarnation} {row.claim_number} {row.request_id}"
            f" {row.started_at_ns} {row.expires_at_ns} {len(row.result)}\0"
        )
        digest = hashlib.blake2b(
            head.encode(), key=self.key, digest_size=MAC_BYTES, person=MAC_PERSONALIZATION
        )
        digest.update(row.key_digest)
        digest.update(row.result)
        return digest.digest()

    def is_authentic(self, row: RecordRow) -> bool:
        """Whether the row's MAC holds; False too for a row whose column types were altered."""
        try:
            return hmac.compare_digest(self.compute_mac(row), row.mac)
        except (TypeError, AttributeError):
            return False


def load_key(path: Path, create: bool) -> bytes:
    """Reads the key in a file, as hex, readable to its owner alone.

    Args:
        path: The file.
        create: Whether to make a new key where there is no file.

    Raises:
        OSError: The file can't be read or made.
        ValueError: It holds no key, or others than its owner may use it.
    """
    try:
        handle = os.open(path, os.O_RDONLY)
    except FileNotFoundError:
        if not create:
            raise
        return create_key(path)
    with os.fdopen(handle) as file:
        if os.fstat(file.fileno()).st_mode & 0o077:
            raise ValueError(f"{path}: others than its owner may use the key; chmod 600")
        try:
            key = bytes.fromhex(file.read(MAX_KEY_FILE_BYTES).strip())
        except ValueError:
            key = b""
    if len(key) != KEY_BYTES:
        raise ValueError(f"{path}: not a key of {KEY_BYTES} bytes in hex")
    return key


def create_key(path: Path) -> bytes:
    """Makes a key file; it is on disk when this returns.

    Raises:
        OSError: The file exists already or can't be made.
    """
    handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    key = os.urandom(KEY_BYTES)
    with os.fdopen(handle, "w") as file:
        file.write(key.hex() + "\n")
        file.flush()
        os.fsync(file.fileno())
    return key
