"""Find the instances that may serve a request, and refuse requests without any."""

from collections.abc import Callable

from wasabivalve import events
from wasabivalve.desired_state import core as desired_state
from wasabivalve.key_leases import view as key_view
from wasabivalve.metrics import metrics_registry
from wasabivalve.placement import core as placement
from wasabivalve.placement import eligibility

from . import pending_request

INELIGIBLE_RETRY_AFTER_S = 1.0
"""Retry-After of requests that no instance may serve.

A change by the operator or the return of a region takes longer, and most callers return
only once.
"""


class EligibleInstances:
    """Apply the regions of routes to the registered instances.

    The regions of the newest desired state hold, also for requests that arrived before
    it: a request may wait and be retried for longer than a change may take.
    """

    def __init__(
        self,
        topology: placement.Topology,
        list_instances: Callable[[str], list[placement.RegisteredInstance]],
        find_holder: Callable[[str, int], key_view.KeyHolder],
        is_evacuated: Callable[[str], bool],
        metrics: metrics_registry.MetricsRegistry,
    ) -> None:
        self._region_by_data_centre = topology.region_by_data_centre
        self._list_instances = list_instances
        self._find_holder = find_holder
        self._is_evacuated = is_evacuated
        self._metrics = metrics
        self._regions_by_prefix: dict[tuple[str, str], frozenset[str]] = {}

    def set_desired_state(self, state: desired_state.DesiredState) -> None:
        """Apply the regions of routes from now on."""
        self._regions_by_prefix = {
            (route.host, route.path_prefix): route.allowed_regions
            for route in state.routes
        }

    def allowed_regions(
        self, pending: pending_request.PendingRequest
    ) -> frozenset[str]:
        """Return the regions in which a request may be served now; empty for all."""
        route = pending.route
        prefix = route.host, route.path_prefix
        return self._regions_by_prefix.get(prefix, route.allowed_regions)

    def may_serve(
        self,
        pending: pending_request.PendingRequest,
        instance: placement.RegisteredInstance,
    ) -> bool:
        """Return whether an instance may get a request."""
        return eligibility.may_serve(
            instance, self.allowed_regions(pending), self._region_by_data_centre
        )

    def may_still_serve(
        self,
        pending: pending_request.PendingRequest,
        instance: placement.RegisteredInstance,
    ) -> bool:
        """Return whether an instance chosen before may get a request now.

        A connection takes time, in which the operator may exclude the instance.
        """
        return self.may_serve(pending, instance) and not self._is_evacuated(
            instance.data_centre
        )

    def candidates(
        self, pending: pending_request.PendingRequest
    ) -> list[placement.RegisteredInstance]:
        """Return the instances that may get a request; for a key, its holder."""
        instances = self._list_instances(pending.service.name)
        if pending.key is not None:
            holder = self._find_holder(pending.service.name, pending.key)
            instances = [
                instance for instance in instances if instance.id == holder.instance
            ]
        return [instance for instance in instances if self.may_serve(pending, instance)]

    def refuses(self, pending: pending_request.PendingRequest) -> bool:
        """Return whether regions or evacuations leave no instance for a request.

        Other reasons, such as instances that restart, pass while a request waits.
        """
        regions = self.allowed_regions(pending)
        instances = self._list_instances(pending.service.name)
        if not regions and not any(
            self._is_evacuated(instance.data_centre) for instance in instances
        ):
            return False
        reason = ""
        if not any(self.may_serve(pending, instance) for instance in instances):
            reason = "no-eligible-instance"
        elif pending.key is not None and self._holder_is_outside(pending, instances):
            reason = "holder-outside-regions"
        if not reason:
            return False
        pending.steps.append(reason)
        pending.retry_after_s = INELIGIBLE_RETRY_AFTER_S
        self._metrics.count("request.ineligible", reason)
        events.emit(
            408,
            request=pending.request_id,
            route=pending.route.name,
            service=pending.service.name,
            reason=reason,
            regions=",".join(sorted(regions)),
        )
        return True

    def _holder_is_outside(
        self,
        pending: pending_request.PendingRequest,
        instances: list[placement.RegisteredInstance],
    ) -> bool:
        """Return whether the holder of a key is in a region that is not allowed."""
        assert pending.key is not None
        holder = self._find_holder(pending.service.name, pending.key)
        regions = self.allowed_regions(pending)
        return any(
            not eligibility.allows_region(
                regions,
                placement.region_of(instance.data_centre, self._region_by_data_centre),
            )
            for instance in instances
            if instance.id == holder.instance
        )
