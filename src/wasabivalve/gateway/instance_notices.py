"""Read what instances say of themselves beside their answers."""

import random

from wasabivalve import events, ramp_up, shared_facts
from wasabivalve.placement import core as placement

from . import messages

MIN_CAPACITY_PER_S = 0.1
"""Capacity of an instance that takes no requests; plans divide by it."""

COLD_PART_SHARE = 0.5
"""Share of its equal part that a VM without a dispatcher sends to a cold instance.

With the whole part, half of 77 VMs beside two dispatchers exceed the bound of rideshare
in 53 of 300 random plays, with half of it in 6 (``benchmarks/slow_start.py``, seed 1).
"""


class InstanceNotices:
    """Record limits, leavings and the times for which instances turn this VM away.

    The first two are facts that bind all VMs.
    """

    def __init__(
        self, header_format: messages.HeaderFormat, limits: ramp_up.PacedLimits
    ) -> None:
        self._header_format = header_format
        self._limits = limits
        self._leaving = shared_facts.LeavingInstances(limits.board)

    @property
    def has_limits(self) -> bool:
        """Return whether any instance may be limited."""
        return self._limits.has_any

    def record(
        self,
        load: placement.InstanceLoad,
        response: messages.HttpResponse,
        now_ms: float,
    ) -> None:
        """Record what the headers of a response say of its instance."""
        instance = load.instance
        responding = response.header(self._header_format.responding_instance)
        if responding not in (None, instance.id.encode()):
            return
        if response.header(self._header_format.leaving) is not None:
            self._leaving.on_leaving(instance.id, instance.born, now_ms)
        retry_after_s = messages.decode_retry_after(response)
        if response.status == 503 and retry_after_s is not None:
            load.on_turned_away(1000.0 * retry_after_s, now_ms)
            events.emit(326, instance=instance.id, s=retry_after_s)
        encoded_limit = response.header(self._header_format.request_limit)
        limit_per_s = (
            self._header_format.decode_request_limit(encoded_limit)
            if encoded_limit
            else None
        )
        self._limits.named.on_answer(instance.id, instance.born, limit_per_s, now_ms)
        encoded_left = response.header(self._header_format.warmup_left)
        if encoded_left is not None:
            left_s = self._header_format.decode_warmup_left(encoded_left) or 0.0
            self._limits.on_warmup_report(instance, 1000.0 * left_s, now_ms)

    def record_recovery(self, load: placement.InstanceLoad, now_ms: float) -> None:
        """Record that the holder of a key answers again after repeated failures.

        Other instances have a dispatcher, which sees this for all VMs.
        """
        if load.was_ejected_twice:
            self._limits.on_recovery(load.instance, now_ms)

    def limit_per_s(
        self, instance: placement.RegisteredInstance, now_ms: float
    ) -> float | None:
        """Return the requests per second that an instance takes from all VMs."""
        return self._limits.limit_per_s(instance, now_ms)

    def limited_capacity_per_s(
        self,
        instance: placement.RegisteredInstance,
        capacity_per_s: float,
        now_ms: float,
    ) -> float:
        """Return the part of an instance's capacity that its limit leaves."""
        limit_per_s = self.limit_per_s(instance, now_ms)
        if limit_per_s is None:
            return capacity_per_s
        return max(MIN_CAPACITY_PER_S, min(capacity_per_s, limit_per_s))

    def limit_locally(
        self,
        load: placement.InstanceLoad,
        vm_count: int,
        generator: random.Random,
        now_ms: float,
    ) -> None:
        """Set the requests per second that this VM may send without a dispatcher.

        It is an equal part of the limit; the dispatcher may still serve other VMs. A VM
        that does not know yet how many share the rate of a cold instance sends nothing.
        """
        instance = load.instance
        limit_per_s = self.limit_per_s(instance, now_ms)
        cold_since = None
        if limit_per_s is not None:
            cold_since = self._limits.cold_since(instance, now_ms)
            if cold_since is not None:
                limit_per_s *= COLD_PART_SHARE if vm_count else 0.0
            limit_per_s /= max(1, vm_count)
        load.set_cold_since(cold_since, now_ms)
        # With equal beginnings, many VMs would send their first requests together.
        load.set_rate_limit(limit_per_s, now_ms, generator.random())
