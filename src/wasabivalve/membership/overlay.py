"""Choose which VMs send heartbeats to which others."""

from collections.abc import Iterable, Mapping

import xxhash

# Up to this number, all VMs watch each other; nine is the present deployment size.
MAX_FULL_MESH_VMS = 9


def watchers_by_vm(
    vms: Iterable[str],
    fan_out: int,
    region_by_vm: Mapping[str, str] | None = None,
) -> dict[str, tuple[str, ...]]:
    """Return for each VM the VMs that watch it.

    Up to ``MAX_FULL_MESH_VMS`` VMs all watch each other; with more, at most
    ``fan_out`` VMs watch each one. Every VM computes the same result from the same
    names. The VMs of a region form a ring in the order of their hashes. The distances
    on the ring between a VM and its watchers grow geometrically, so that a notice
    forwarded along these links reaches all VMs in few steps. One watcher is in the
    next region: that suffices to detect a partition between regions, and heartbeats
    use little of the bandwidth between them.
    """
    ordered_vms = sorted(set(vms), key=_hash_order)
    if len(ordered_vms) <= MAX_FULL_MESH_VMS:
        return {
            vm: tuple(other for other in ordered_vms if other != vm)
            for vm in ordered_vms
        }
    ring_by_region: dict[str, list[str]] = {}
    for vm in ordered_vms:
        ring_by_region.setdefault((region_by_vm or {}).get(vm, ""), []).append(vm)
    regions = sorted(ring_by_region)
    result = {}
    for index, region in enumerate(regions):
        next_ring = ring_by_region[regions[(index + 1) % len(regions)]]
        remote_count = 1 if len(regions) > 1 else 0
        ring = ring_by_region[region]
        distances = _distances(len(ring), max(1, fan_out - remote_count))
        for position, vm in enumerate(ring):
            local_watchers = [
                ring[(position + distance) % len(ring)] for distance in distances
            ]
            remote_watcher = next_ring[position * len(next_ring) // len(ring)]
            result[vm] = tuple(local_watchers + [remote_watcher] * remote_count)
    return result


def _distances(count: int, fan_out: int) -> list[int]:
    distances: list[int] = []
    for position in range(min(fan_out, count - 1)):
        min_distance = distances[-1] + 1 if distances else 1
        distances.append(max(min_distance, round(count ** (position / fan_out))))
    return distances


def _hash_order(vm: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(vm.encode()), vm
