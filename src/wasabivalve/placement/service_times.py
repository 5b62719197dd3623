"""Average the speed of instances over what all VMs observe.

The load that this answers: each of many VMs sees a few answers of an instance in a
minute, too few to tell a slow one, which then gets as many keys as a fast one.
"""

from collections.abc import Mapping

RESPONSE_WEIGHT = 0.1
"""Weight of one answer in the moving average of an instance's slowness."""

MIN_RESPONSES = 6
"""Answers before which an instance counts as usual; single ones vary by half."""

MAX_RATIO = 2.5
MIN_RATIO = 0.5
"""Bounds of the slowness of an instance for the keys that it gets."""

MAX_INSTANCES = 20_000
"""Instances that are remembered; more than a deployment has in a day."""


class ServiceTimeRatios:
    """Hold the slowness of instances by id, 1 for the usual one."""

    def __init__(self) -> None:
        self._slowness_by_instance: dict[str, float] = {}
        self._answers_by_instance: dict[str, int] = {}
        self._unreported_by_instance: dict[str, tuple[int, float]] = {}

    def on_response(self, instance: str, ratio: float) -> None:
        """Take in the slowness that an answer to this VM showed."""
        count, total = self._unreported_by_instance.get(instance, (0, 0.0))
        self._unreported_by_instance[instance] = (count + 1, total + ratio)
        self._add(instance, 1, ratio)

    def take_unreported(self) -> dict[str, tuple[int, float]]:
        """Return the number of answers and the sum of ratios since the last call."""
        taken, self._unreported_by_instance = self._unreported_by_instance, {}
        return taken

    def on_report(self, speeds_by_instance: Mapping[str, tuple[int, float]]) -> None:
        """Add what another VM observed."""
        for instance, (count, total) in speeds_by_instance.items():
            if count > 0:
                self._add(instance, count, total / count)

    def remove(self, instance: str) -> None:
        """Forget an instance that is gone, or whose life has ended."""
        self._slowness_by_instance.pop(instance, None)
        self._answers_by_instance.pop(instance, None)

    def ratio(self, instance: str) -> float:
        """Return the slowness of an instance, 1 until enough answers were seen."""
        if self._answers_by_instance.get(instance, 0) < MIN_RESPONSES:
            return 1.0
        return min(MAX_RATIO, max(MIN_RATIO, self._slowness_by_instance[instance]))

    def _add(self, instance: str, count: int, ratio: float) -> None:
        known = self._slowness_by_instance.get(instance, ratio)
        if len(self._slowness_by_instance) >= MAX_INSTANCES:
            self._slowness_by_instance.clear()
            self._answers_by_instance.clear()
        # The first answers count alike, later ones less and less.
        seen = self._answers_by_instance.get(instance, 0) + count
        weight = min(1.0, max(1.0 - (1.0 - RESPONSE_WEIGHT) ** count, count / seen))
        self._slowness_by_instance[instance] = known + weight * (ratio - known)
        self._answers_by_instance[instance] = seen
