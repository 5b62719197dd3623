"""Choose which VMs send heartbeats to which others."""

from collections.abc import Iterable, Mapping

import xxhash

# VMs that watch each other completely; nine is today's size.
MAX_FULL_MESH_VMS = 9


def watchers_by_vm(
    names: Iterable[str],
    fan_out: int,
    region_by_vm: Mapping[str, str] | None = None,
) -> dict[str, tuple[str, ...]]:
    """Return for each VM the VMs that watch it.

    Up to nine VMs watch each other completely; of more, at most ``fan_out`` watch
    each one. Every VM computes the same result from the same names. The VMs of a
    region form a circle in the order of their hashes and are watched at distances
    that grow geometrically, so that a notice passed along these links reaches all in
    few steps. One watcher is in the next region: that suffices to notice that a
    region is cut off, and heartbeats hardly use the link between the regions.
    """
    all_names = sorted(set(names), key=_place)
    if len(all_names) <= MAX_FULL_MESH_VMS:
        return {
            name: tuple(other for other in all_names if other != name)
            for name in all_names
        }
    circles: dict[str, list[str]] = {}
    for name in all_names:
        circles.setdefault((region_by_vm or {}).get(name, ""), []).append(name)
    regions = sorted(circles)
    result = {}
    for index, region in enumerate(regions):
        following = circles[regions[(index + 1) % len(regions)]]
        far = 1 if len(regions) > 1 else 0
        circle = circles[region]
        distances = _distances(len(circle), max(1, fan_out - far))
        for place, name in enumerate(circle):
            near = [circle[(place + step) % len(circle)] for step in distances]
            other = following[place * len(following) // len(circle)]
            result[name] = tuple(near + [other] * far)
    return result


def _distances(count: int, fan_out: int) -> list[int]:
    distances: list[int] = []
    for place in range(min(fan_out, count - 1)):
        least = distances[-1] + 1 if distances else 1
        distances.append(max(least, round(count ** (place / fan_out))))
    return distances


def _place(name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(name.encode()), name
