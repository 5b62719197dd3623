"""Know the holder of each key on a VM, also while ranges move."""

import math
from typing import NamedTuple

from . import core

SHARES_LAST_MS = 1_500.0
"""Time after which the shares of overloaded instances are no longer believed."""


class MovingRange(NamedTuple):
    """Name a range that has no holder for now."""

    service: str
    first: int
    last: int


class KeyHolder(NamedTuple):
    """Name the holder of a key, or say until when (ms) it has none."""

    instance: str | None
    moving_until_ms: float | None = None


class KeyView:
    """Hold the newest map and the ranges that the controller moves."""

    def __init__(self) -> None:
        self.assignment_map = core.EMPTY_MAP
        self._until_by_range: dict[MovingRange, float] = {}
        self._share_by_instance: dict[str, float] = {}
        self._credit_by_instance: dict[str, float] = {}
        self._shares_until = -math.inf

    def on_admission_shares(
        self, share_by_instance: dict[str, float], now: float
    ) -> None:
        """Take in which share of its requests each overloaded instance can serve."""
        self._share_by_instance = share_by_instance
        self._shares_until = now + SHARES_LAST_MS

    def admit_request(self, instance: str | None, now: float) -> bool:
        """Return whether one more request for an instance is in its share."""
        share = self._share_by_instance.get(instance or "", 1.0)
        if share >= 1.0 or now >= self._shares_until:
            return True
        credit = self._credit_by_instance.get(instance or "", 0.5) + share
        admitted = credit >= 1.0
        self._credit_by_instance[instance or ""] = credit - float(admitted)
        return admitted

    def on_assignment_map(self, assignment_map: core.AssignmentMap) -> bool:
        """Take in a recorded map; return whether it is the newest."""
        newest = (self.assignment_map.term, self.assignment_map.write_number)
        if (assignment_map.term, assignment_map.write_number) < newest:
            return False
        self.assignment_map = assignment_map
        return True

    def on_ranges_moving(self, ranges: list[MovingRange], until: float) -> None:
        """Note ranges that have no holder until a time in ms, or until settled."""
        for one in ranges:
            self._until_by_range[one] = until

    def on_ranges_confirmed(
        self, term: int, number: int, service: str, settled: list[core.RangeAssignment]
    ) -> None:
        """Take in ranges that their new holders have confirmed."""
        for moving in list(self._until_by_range):
            if moving.service == service and any(
                one.first <= moving.last and moving.first <= one.last for one in settled
            ):
                del self._until_by_range[moving]
        known = self.assignment_map
        if (term, number) < (known.term, known.write_number):
            return
        if (term, number - 1) > (known.term, known.write_number) or term != known.term:
            # A change before this one was missed; the recorded map tells both.
            number = known.write_number
        ranges = self.assignment_map.ranges_by_service.get(service, ())
        for one in settled:
            ranges = core.merge([*core.cut(ranges, one.first, one.last), one])
        self.assignment_map = self.assignment_map._replace(
            write_number=max(number, known.write_number),
            ranges_by_service={
                **self.assignment_map.ranges_by_service,
                service: ranges,
            },
        )

    def find_holder(self, service: str, key: int, now: float) -> KeyHolder:
        """Return the holder of a key; ``now`` in ms."""
        for moving, until in list(self._until_by_range.items()):
            if until <= now:
                del self._until_by_range[moving]
            elif moving.service == service and moving.first <= key <= moving.last:
                return KeyHolder(None, until)
        found = self.assignment_map.find_range(service, key)
        return KeyHolder(None if found is None else found.instance)
