"""Choose the entry VM that runs the slot queue of an instance, its dispatcher."""

from collections.abc import Mapping

from wasabivalve import rendezvous

from . import localities


def choose_dispatcher(
    instance: str,
    instance_locality: localities.Locality,
    locality_by_live_vm: Mapping[str, localities.Locality],
) -> str | None:
    """Return the dispatcher of an instance, or None when no VM is live.

    The name of the instance must be unique across services. VMs in the data centre
    of the instance are preferred, then those in its region, then all others.
    """
    ranked_vms = rank_dispatchers(instance, instance_locality, locality_by_live_vm)
    return ranked_vms[0] if ranked_vms else None


def rank_dispatchers(
    instance: str,
    instance_locality: localities.Locality,
    locality_by_live_vm: Mapping[str, localities.Locality],
) -> tuple[str, ...]:
    """Return the live VMs in the order in which they are chosen as dispatcher."""
    rendezvous_key = f"dispatcher/{instance}"
    return tuple(
        vm
        for tier in localities.proximity_tiers(instance_locality, locality_by_live_vm)
        for vm in rendezvous.rank_names(rendezvous_key, tier)
    )
