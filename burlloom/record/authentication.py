"""The keyed checksum that each record carries: what was altered on disk is found and never
served.
"""

import hashlib
import hmac
import os
from pathlib import Path

from .rows import RecordRow

KEY_BYTES, SEAL_BYTES = 32, 16


class RowAuthenticator:
    def __init__(self, key: bytes) -> None:
        self.key = key

    def compute_mac(self, row: RecordRow) -> bytes:
        head = f"{row.state} {row.node} {row.incarnation} {row.claim_number} {row.request_id} {row.started_at_ns} {row.expires_at_ns} {len(row.result)}\0"
        digest = hashlib.blake2b(
            head.encode(), key=self.key, digest_size=SEAL_BYTES, person=b"burlloom seal"
        )
        digest.update(row.key_digest)
        digest.update(row.result)
        return digest.digest()

    def is_authentic(self, row: RecordRow) -> bool:
        """A row whose very types were altered does not hold either."""
        try:
            return hmac.compare_digest(self.compute_mac(row), row.mac)
        except (TypeError, AttributeError):
            return False


def load_key(path: Path, make: bool) -> bytes:
    """The key in this file, of 32 bytes as hex; made where there is none yet and `make` allows it.

    Raises `OSError`, and `ValueError` where it is no key or others may read it.
    """
    try:
        handle = os.open(path, os.O_RDONLY)
    except FileNotFoundError:
        if not make:
            raise
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        made = os.urandom(KEY_BYTES)
        with os.fdopen(handle, "w") as file:
            file.write(made.hex() + "\n")
            file.flush()
            os.fsync(file.fileno())
        return made
    with os.fdopen(handle) as file:
        if os.fstat(file.fileno()).st_mode & 0o077:
            raise ValueError(f"{path}: others than its owner may use the key; chmod 600")
        try:
            found = bytes.fromhex(file.read(4096).strip())
        except ValueError:
            found = b""
    if len(found) != KEY_BYTES:
        raise ValueError(f"{path}: not a key of {KEY_BYTES} bytes in hex")
    return found
