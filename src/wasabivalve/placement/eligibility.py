"""Decide which instances may serve a request, by their region and state.

Every choice of an instance uses these functions: the VM that chooses by itself, the
dispatcher that assigns slots, and the plan that assigns keys.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence

from . import core

ANYWHERE: frozenset[str] = frozenset()
"""The allowed regions of a route that names none."""


def allows_region(allowed_regions: Collection[str], region: str) -> bool:
    """Return whether a region is allowed; no region named allows all."""
    return not allowed_regions or region in allowed_regions


def may_serve(
    instance: core.RegisteredInstance,
    allowed_regions: Collection[str],
    region_by_data_centre: Mapping[str, str],
) -> bool:
    """Return whether an instance may get a request that is allowed in some regions."""
    if instance.draining:
        return False
    region = core.region_of(instance.data_centre, region_by_data_centre)
    return allows_region(allowed_regions, region)


def order_regions(allowed_regions: Iterable[str], own_region: str) -> list[str]:
    """Return the regions whose dispatchers may be asked, in the order of asking.

    The own region is first if it is allowed, and the only one if no region is named;
    its dispatcher knows which other region has free slots.
    """
    if not allowed_regions:
        return [own_region]
    return sorted(allowed_regions, key=lambda region: (region != own_region, region))


def key_regions(
    regions_by_route: Sequence[frozenset[str]], served_regions: Collection[str]
) -> frozenset[str]:
    """Return the regions where the keys of a service may be held; empty for all.

    A key has one holder, so that a route is refused for all keys that are held outside
    its regions. Regions that all routes allow are therefore preferred while they have
    instances (``served_regions``). One route without regions leaves the keys
    everywhere.
    """
    if not regions_by_route or not all(regions_by_route):
        return ANYWHERE
    common = frozenset.intersection(*regions_by_route).intersection(served_regions)
    return common or frozenset.union(*regions_by_route)


def as_key_holder(
    instance: core.RegisteredInstance,
    regions: Collection[str],
    region_by_data_centre: Mapping[str, str],
) -> core.RegisteredInstance:
    """Return an instance as leaving if it may hold no keys in its region."""
    if may_serve(instance, regions, region_by_data_centre):
        return instance
    return instance._replace(draining=True)
