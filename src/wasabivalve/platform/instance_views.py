"""Combine the registered instances with what is known of them from elsewhere."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from wasabivalve import shared_facts
from wasabivalve.desired_state import core as desired_state
from wasabivalve.placement import core as placement
from wasabivalve.placement import eligibility

KEY_REGIONS_TTL_MS = 200.0
"""Time for which the regions of a service's keys are kept.

The controller asks for each of its leases, several times a second.
"""


class _KeyRegions(NamedTuple):
    regions: frozenset[str]
    expires_at: float


class InstanceViews:
    """Return instances as registered, or as draining if they must get nothing more.

    ``registered`` returns the registered instances by id, ``is_evacuated`` whether a
    data centre is, ``now_ms`` the time of a steady clock.
    """

    def __init__(
        self,
        registered: Callable[[], Mapping[str, placement.RegisteredInstance]],
        leaving_instances: shared_facts.LeavingInstances,
        is_evacuated: Callable[[str], bool],
        region_by_data_centre: Mapping[str, str],
        now_ms: Callable[[], float],
    ) -> None:
        self._registered = registered
        self._leaving_instances = leaving_instances
        self._is_evacuated = is_evacuated
        self._region_by_data_centre = region_by_data_centre
        self._now_ms = now_ms
        self._route_regions_by_service: dict[str, list[frozenset[str]]] = {}
        self._key_regions_by_service: dict[str, _KeyRegions] = {}
        # Each request asks several times; going through all instances takes too long.
        self._ids_by_service: dict[str, list[str]] | None = None

    def on_change(self) -> None:
        """Look for the instances of services anew, as an instance has changed."""
        self._ids_by_service = None

    def set_desired_state(self, state: desired_state.DesiredState) -> None:
        """Apply the regions of routes from now on."""
        self._route_regions_by_service.clear()
        self._key_regions_by_service.clear()
        for route in state.routes:
            for weighted in route.weighted_services:
                regions = self._route_regions_by_service.setdefault(
                    weighted.service, []
                )
                regions.append(route.allowed_regions)

    def list_instances(self, service: str) -> list[placement.RegisteredInstance]:
        """Return the instances of a service."""
        registered = self._registered()
        if self._ids_by_service is None:
            self._ids_by_service = {}
            for instance in registered.values():
                self._ids_by_service.setdefault(instance.service, []).append(
                    instance.id
                )
        instances = [
            registered[instance_id]
            for instance_id in self._ids_by_service.get(service, [])
        ]
        leaving_ids = self._leaving_instances.leaving_ids()
        if not leaving_ids and not any(
            map(self._is_evacuated, self._region_by_data_centre)
        ):
            return instances
        return [
            self._with_notices(instance)
            if instance.id in leaving_ids or self._is_evacuated(instance.data_centre)
            else instance
            for instance in instances
        ]

    def list_for_keys(self, service: str) -> list[placement.RegisteredInstance]:
        """Return the instances of a service; those that may hold no keys as leaving."""
        return [self._as_key_holder(item) for item in self.list_instances(service)]

    def find_for_keys(self, instance_id: str) -> placement.RegisteredInstance | None:
        """Return an instance, as leaving if it may hold no keys."""
        instance = self._registered().get(instance_id)
        if instance is None:
            return None
        return self._as_key_holder(self._with_notices(instance))

    def _as_key_holder(
        self, instance: placement.RegisteredInstance
    ) -> placement.RegisteredInstance:
        regions = self._key_regions(instance.service)
        return eligibility.as_key_holder(instance, regions, self._region_by_data_centre)

    def _key_regions(self, service: str) -> frozenset[str]:
        """Return the regions where the keys of a service may be held."""
        known = self._key_regions_by_service.get(service)
        if known is not None and self._now_ms() < known.expires_at:
            return known.regions
        served_regions = {
            placement.region_of(instance.data_centre, self._region_by_data_centre)
            for instance in self.list_instances(service)
            if not instance.draining
        }
        regions = eligibility.key_regions(
            self._route_regions_by_service.get(service, []), served_regions
        )
        self._key_regions_by_service[service] = _KeyRegions(
            regions, self._now_ms() + KEY_REGIONS_TTL_MS
        )
        return regions

    def _with_notices(
        self, instance: placement.RegisteredInstance
    ) -> placement.RegisteredInstance:
        """Return an instance as it is registered, or as leaving.

        It leaves if it says so, or for the time of an evacuation of its data centre.
        """
        if self._is_evacuated(
            instance.data_centre
        ) or self._leaving_instances.is_leaving(
            instance.id, instance.born, self._now_ms()
        ):
            return instance._replace(draining=True)
        return instance
