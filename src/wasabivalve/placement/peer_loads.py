"""Add up the requests that other VMs have at each instance.

The load that this answers: dozens of VMs send to instances of 2 or 3 slots. Each sees
its own requests only; choosing alone, they meet at some while others are idle.
"""

from collections.abc import Mapping

REPORT_TTL_MS = 1_200.0
"""Time after which a VM that tells nothing more counts as having no requests."""


class PeerLoads:
    """Hold what each VM told last; ``now`` in ms."""

    def __init__(self) -> None:
        self._count_by_instance_by_vm: dict[str, Mapping[str, int]] = {}
        self._told_at_by_vm: dict[str, float] = {}
        self._total_by_instance: dict[str, int] = {}

    def on_report(
        self, vm: str, count_by_instance: Mapping[str, int], now: float
    ) -> None:
        """Take in where a VM has requests now."""
        self._replace(vm, count_by_instance)
        self._told_at_by_vm[vm] = now

    def expire(self, now: float) -> None:
        """Forget VMs that have been silent for too long."""
        for vm, told_at in list(self._told_at_by_vm.items()):
            if now >= told_at + REPORT_TTL_MS:
                self._replace(vm, {})
                del self._told_at_by_vm[vm], self._count_by_instance_by_vm[vm]

    def total_in_flight(self, instance: str) -> int:
        """Return the requests of other VMs at an instance."""
        return self._total_by_instance.get(instance, 0)

    def _replace(self, vm: str, count_by_instance: Mapping[str, int]) -> None:
        totals = self._total_by_instance
        for instance, count in self._count_by_instance_by_vm.get(vm, {}).items():
            left = totals.get(instance, 0) - count
            if left > 0:
                totals[instance] = left
            else:
                totals.pop(instance, None)
        for instance, count in count_by_instance.items():
            totals[instance] = totals.get(instance, 0) + count
        self._count_by_instance_by_vm[vm] = count_by_instance
