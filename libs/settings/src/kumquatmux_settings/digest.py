"""A digest of a settings tree that is updated by what changed.

The digest is the sum of a 128-bit hash of each key with its value, so a change of
one key in a tree of any size costs two hashes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

from kumquatmux_settings.change import Edit

DIGEST_BYTES = 16
EMPTY_DIGEST = "0" * (2 * DIGEST_BYTES)

_MODULUS = 1 << (8 * DIGEST_BYTES)


def digest_of(values: Mapping[str, str]) -> str:
    """Return the digest of a whole tree, 32 hexadecimal digits."""
    return _text(sum(_weight(path, text) for path, text in values.items()))


def digest_after(digest: str, values: Mapping[str, str], edits: Iterable[Edit]) -> str:
    """Return the digest of a tree after some edits.

    Args:
        digest: Digest of the tree before.
        values: The tree before.
        edits: What is set and unset, each key once.
    """
    total = int(digest, 16)
    for edit in edits:
        old = values.get(edit.path)
        if old is not None:
            total -= _weight(edit.path, old)
        if edit.value is not None:
            total += _weight(edit.path, edit.value)
    return _text(total)


def _weight(path: str, text: str) -> int:
    data = f"{path}\0{text}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest())


def _text(total: int) -> str:
    return (total % _MODULUS).to_bytes(DIGEST_BYTES).hex()
