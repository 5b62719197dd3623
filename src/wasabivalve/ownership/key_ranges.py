"""Map keys to positions and positions to ranges."""

import xxhash

POSITIONS = 1 << 64


def position_of_key(key: str) -> int:
    """Return the position of a key, from 0 to 2**64 - 1."""
    return xxhash.xxh3_64_intdigest(key.encode())
