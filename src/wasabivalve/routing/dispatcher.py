"""Choose the entry VM that owns the slot queue of an instance."""

from collections.abc import Mapping

from wasabivalve import rendezvous

from . import localities


def choose_dispatcher(
    instance: str,
    instance_place: localities.Locality,
    place_by_live_vm: Mapping[str, localities.Locality],
) -> str | None:
    """Return the dispatcher of an instance, or None when no VM is live.

    The name of the instance must be unique across services. VMs in the data
    centre of the instance come first, then its region, then all others.
    """
    order = rank_dispatchers(instance, instance_place, place_by_live_vm)
    return order[0] if order else None


def rank_dispatchers(
    instance: str,
    instance_place: localities.Locality,
    place_by_live_vm: Mapping[str, localities.Locality],
) -> tuple[str, ...]:
    """Return the live VMs in the order in which they become dispatcher."""
    key = f"dispatcher/{instance}"
    return tuple(
        name
        for tier in localities.proximity_tiers(instance_place, place_by_live_vm)
        for name in rendezvous.rank_names(key, tier)
    )
