"""Track the holder of each key on a VM, also while ranges move."""

import math
import random
from collections.abc import Mapping
from typing import NamedTuple

from . import core

SHARES_VALIDITY_MS = 1_500.0
"""Time after which the admission shares of overloaded instances are ignored."""

_Target = str | tuple[str, int]
"""An instance, or a service and a key."""


class MovingRange(NamedTuple):
    """Identify a range of keys that currently has no holder."""

    service: str
    first: int
    last: int


class KeyHolder(NamedTuple):
    """Name the holder of a key, or the time until which it has none.

    A key without a holder may be served again before ``moving_until_ms``.
    """

    instance: str | None
    moving_until_ms: float | None = None


class KeyView:
    """Hold the newest assignment map and the ranges that the controller moves."""

    def __init__(self, generator: random.Random | None = None) -> None:
        self.assignment_map = core.EMPTY_MAP
        self._generator = generator or random.Random()
        self._until_ms_by_moving_range: dict[MovingRange, float] = {}
        self._share_by_target: Mapping[_Target, float] = {}
        self._credit_by_target: dict[_Target, float] = {}
        self._shares_until_ms = -math.inf

    def on_admission_shares(
        self,
        share_by_instance: Mapping[str, float],
        share_by_key_by_service: Mapping[str, Mapping[int, float]],
        now_ms: float,
    ) -> None:
        """Apply the shares of requests that can be served."""
        share_by_target: dict[_Target, float] = {}
        share_by_target.update(share_by_instance)
        for service, share_by_key in share_by_key_by_service.items():
            for key, share in share_by_key.items():
                share_by_target[service, key] = share
        self._credit_by_target = {
            target: self._credit_by_target.get(target, self._generator.random())
            for target in share_by_target
        }
        self._share_by_target = share_by_target
        self._shares_until_ms = now_ms + SHARES_VALIDITY_MS

    def admit_request(self, instance: str | None, now_ms: float) -> bool:
        """Return whether one more request fits the instance's share, and count it."""
        return self._admit(instance or "", now_ms) is not False

    def admit_key(self, service: str, key: int, now_ms: float) -> bool | None:
        """Return whether one more request fits the share of a hot key, and count it.

        None means that the key is not limited.
        """
        return self._admit((service, key), now_ms)

    def _admit(self, target: _Target, now_ms: float) -> bool | None:
        """Take a request from a share; return None if there is no limit.

        Each VM starts with a random credit: with equal ones, all VMs would admit their
        first request at about the same time.
        """
        share = self._share_by_target.get(target, 1.0)
        if share >= 1.0 or now_ms >= self._shares_until_ms:
            return None
        credit = self._credit_by_target[target] + share
        admitted = credit >= 1.0
        self._credit_by_target[target] = credit - float(admitted)
        return admitted

    def on_assignment_map(self, assignment_map: core.AssignmentMap) -> bool:
        """Apply a map unless it is older; return whether it was applied."""
        newest = (self.assignment_map.term, self.assignment_map.write_number)
        if (assignment_map.term, assignment_map.write_number) < newest:
            return False
        self.assignment_map = assignment_map
        return True

    def on_ranges_moving(self, ranges: list[MovingRange], until_ms: float) -> None:
        """Record ranges without a holder until a time, or until they are confirmed."""
        for moving in ranges:
            self._until_ms_by_moving_range[moving] = until_ms

    def on_ranges_confirmed(
        self,
        term: int,
        write_number: int,
        service: str,
        confirmed_ranges: list[core.RangeAssignment],
        is_complete: bool = True,
    ) -> None:
        """Apply ranges that their holders have confirmed.

        Part of a change counts as missed, so that the map is read after it.
        """
        for moving in list(self._until_ms_by_moving_range):
            if moving.service == service and any(
                confirmed.first <= moving.last and moving.first <= confirmed.last
                for confirmed in confirmed_ranges
            ):
                del self._until_ms_by_moving_range[moving]
        known = self.assignment_map
        if (term, write_number) < (known.term, known.write_number):
            return
        was_missed = (term, write_number - 1) > (known.term, known.write_number)
        if was_missed or term != known.term or not is_complete:
            # An earlier change was missed: keep the write number, so that the next
            # map read from the log still counts as newer and brings both.
            write_number = known.write_number
        remaining = self.assignment_map.ranges_by_service.get(service, ())
        for confirmed in confirmed_ranges:
            remaining = tuple(
                core.subtract_range(remaining, confirmed.first, confirmed.last)
            )
        ranges = core.merge_ranges([*remaining, *confirmed_ranges])
        self.assignment_map = self.assignment_map._replace(
            write_number=max(write_number, known.write_number),
            ranges_by_service={
                **self.assignment_map.ranges_by_service,
                service: ranges,
            },
        )

    def find_holder(self, service: str, key: int, now_ms: float) -> KeyHolder:
        """Return the holder of a key."""
        for moving, until_ms in list(self._until_ms_by_moving_range.items()):
            if until_ms <= now_ms:
                del self._until_ms_by_moving_range[moving]
            elif moving.service == service and moving.first <= key <= moving.last:
                return KeyHolder(None, until_ms)
        found = self.assignment_map.find_range(service, key)
        return KeyHolder(None if found is None else found.instance)
