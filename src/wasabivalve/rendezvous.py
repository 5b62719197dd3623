"""Order names for a key by rendezvous (highest random weight) hashing."""

from collections.abc import Iterable

import xxhash


def rank_names(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names, ordered from the highest to the lowest weight for a key."""
    return tuple(sorted(names, key=lambda name: _weight(key, name), reverse=True))


def _weight(key: str, name: str) -> tuple[int, str]:
    # The name breaks ties, so that all VMs compute the same order.
    return xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode()), name
