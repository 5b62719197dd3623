"""Choose which VMs send heartbeats to which others."""

from collections.abc import Iterable

import xxhash


def watchers_by_name(names: Iterable[str], fan_out: int) -> dict[str, tuple[str, ...]]:
    """Return for each VM the VMs that watch it, at most ``fan_out`` of them.

    Every VM computes the same result from the same names. The VMs form a circle in
    the order of their hashes and are watched at distances that grow geometrically,
    so that a notice passed along these links reaches all VMs in few steps.
    """
    circle = sorted(names, key=_place)
    distances = _distances(len(circle), fan_out)
    return {
        name: tuple(circle[(index + step) % len(circle)] for step in distances)
        for index, name in enumerate(circle)
    }


def _distances(count: int, fan_out: int) -> list[int]:
    distances: list[int] = []
    for place in range(min(fan_out, count - 1)):
        least = distances[-1] + 1 if distances else 1
        distances.append(max(least, round(count ** (place / fan_out))))
    return distances


def _place(name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(name.encode()), name
