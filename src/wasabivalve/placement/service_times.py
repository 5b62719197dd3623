"""Average the service times of instances over the responses to all VMs.

Each of many VMs sees a few responses of an instance per minute. These are too few to
detect a slow instance, which would then get as many keys as a fast one. They are also
too few to know what is typical: VMs therefore report times, and only the receiver of
all reports relates them to the typical ones.
"""

from collections.abc import Mapping
from typing import NamedTuple

RESPONSE_WEIGHT = 0.06
STEADY_RESPONSE_WEIGHT = 0.02
"""Weights of one response in the two moving averages of a service time ratio.

The higher average counts: an instance that becomes slow is detected soon, and a few
short requests do not make one look fast, whose queue would then grow.
"""

TYPICAL_WEIGHT = 0.01
"""Weight of one response in the typical service times, which all instances share."""

MIN_RESPONSES = 4
"""Responses before which an instance counts as typical; single ones vary by half."""

MAX_RATIO = 2.5
MIN_RATIO = 0.5
"""Bounds of the ratio that decides how many keys an instance gets."""

MAX_SAMPLE_RATIO = 3.0
"""Bound of the ratio of one sample.

One request in a hundred takes several times as long and must not count for more.
"""

MAX_INSTANCES = 20_000
"""Instances whose ratios are stored; more than a deployment has in a day."""


class ResponseTimes(NamedTuple):
    """Hold a number of responses and the sum of their service times in ms."""

    responses: int
    total_ms: float


TimesByRoute = Mapping[str, Mapping[str, Mapping[str, ResponseTimes]]]
"""Response times by service, route and instance."""


class _Average:
    """Average samples, the first ones with equal weights and later exponentially."""

    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0

    def add(self, sample: float, count: int, weight: float) -> None:
        """Add the mean of several samples."""
        self.count += count
        weight = max(1.0 - (1.0 - weight) ** count, count / self.count)
        self.value += min(1.0, weight) * (sample - self.value)


class _Ratio:
    """Hold the two averages of one instance."""

    def __init__(self) -> None:
        self._recent = _Average()
        self._steady = _Average()

    def add(self, sample: float, count: int) -> None:
        """Add the mean of several samples."""
        self._recent.add(sample, count, RESPONSE_WEIGHT)
        self._steady.add(sample, count, STEADY_RESPONSE_WEIGHT)

    def value(self) -> float:
        """Return the ratio, 1 until there are enough responses."""
        if self._recent.count < MIN_RESPONSES:
            return 1.0
        value = max(self._recent.value, self._steady.value)
        return min(MAX_RATIO, max(MIN_RATIO, value))


class ServiceTimes:
    """Hold service times by instance id, relative to the typical ones of requests.

    A ratio of 1 is typical; an instance with a ratio of 2 takes twice as long.
    """

    def __init__(self) -> None:
        self._ratio_by_instance: dict[str, _Ratio] = {}
        self._typical_ms_by_route: dict[tuple[str, str], _Average] = {}
        self._typical_ms_by_service: dict[str, _Average] = {}
        self._unreported: dict[str, dict[str, dict[str, ResponseTimes]]] = {}

    def on_response(
        self, service: str, route: str, instance: str, time_ms: float
    ) -> None:
        """Record the service time of a response to this VM."""
        by_instance = self._unreported.setdefault(service, {}).setdefault(route, {})
        count, total_ms = by_instance.get(instance, ResponseTimes(0, 0.0))
        by_instance[instance] = ResponseTimes(count + 1, round(total_ms + time_ms, 1))
        self._add(service, route, instance, ResponseTimes(1, time_ms))

    def take_unreported(self) -> dict[str, dict[str, dict[str, ResponseTimes]]]:
        """Return the response times since the last call."""
        unreported, self._unreported = self._unreported, {}
        return unreported

    def on_report(self, times: TimesByRoute) -> None:
        """Add the response times that another VM reports."""
        for service, by_route in times.items():
            for route, by_instance in by_route.items():
                for instance, (count, total_ms) in by_instance.items():
                    if count > 0:
                        sums = ResponseTimes(count, total_ms)
                        self._add(service, route, instance, sums)

    def remove(self, instance: str) -> None:
        """Remove an instance whose incarnation has ended."""
        self._ratio_by_instance.pop(instance, None)

    def ratio(self, instance: str) -> float:
        """Return the ratio of an instance, 1 until there are enough responses."""
        ratio = self._ratio_by_instance.get(instance)
        return 1.0 if ratio is None else ratio.value()

    def typical_ms(self, service: str) -> float | None:
        """Return the typical service time in ms, None before the first response."""
        average = self._typical_ms_by_service.get(service)
        return None if average is None else average.value

    def _add(
        self, service: str, route: str, instance: str, times: ResponseTimes
    ) -> None:
        count, mean_ms = times.responses, times.total_ms / times.responses
        typical = self._typical_ms_by_route.setdefault((service, route), _Average())
        if typical.count:
            mean_ms = min(mean_ms, MAX_SAMPLE_RATIO * typical.value)
        typical.add(mean_ms, count, TYPICAL_WEIGHT)
        self._typical_ms_by_service.setdefault(service, _Average()).add(
            mean_ms, count, TYPICAL_WEIGHT
        )
        if len(self._ratio_by_instance) >= MAX_INSTANCES:
            self._ratio_by_instance.clear()
        self._ratio_by_instance.setdefault(instance, _Ratio()).add(
            mean_ms / max(1.0, typical.value), count
        )
