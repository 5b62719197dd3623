"""Sum up the requests that other VMs have in flight at each instance.

Dozens of VMs send to instances of 2 or 3 slots. If each chose by its own requests only,
they would overload some instances while others are idle.
"""

from collections.abc import Mapping

REPORT_TTL_MS = 1_200.0
"""Time without a report after which a VM counts as having no requests."""


class PeerLoads:
    """Hold the latest report of each VM; ``now`` is in ms."""

    def __init__(self) -> None:
        self._count_by_instance_by_vm: dict[str, Mapping[str, int]] = {}
        self._reported_at_by_vm: dict[str, float] = {}
        self._total_by_instance: dict[str, int] = {}

    def on_report(
        self, vm: str, count_by_instance: Mapping[str, int], now: float
    ) -> None:
        """Record how many requests a VM has in flight at each instance."""
        self._replace(vm, count_by_instance)
        self._reported_at_by_vm[vm] = now

    def expire(self, now: float) -> None:
        """Remove VMs whose latest report is too old."""
        for vm, reported_at in list(self._reported_at_by_vm.items()):
            if now >= reported_at + REPORT_TTL_MS:
                self._replace(vm, {})
                del self._reported_at_by_vm[vm], self._count_by_instance_by_vm[vm]

    def total_in_flight(self, instance: str) -> int:
        """Return the number of requests that other VMs have at an instance."""
        return self._total_by_instance.get(instance, 0)

    def _replace(self, vm: str, count_by_instance: Mapping[str, int]) -> None:
        totals = self._total_by_instance
        for instance, count in self._count_by_instance_by_vm.get(vm, {}).items():
            remaining = totals.get(instance, 0) - count
            if remaining > 0:
                totals[instance] = remaining
            else:
                totals.pop(instance, None)
        for instance, count in count_by_instance.items():
            totals[instance] = totals.get(instance, 0) + count
        self._count_by_instance_by_vm[vm] = count_by_instance
