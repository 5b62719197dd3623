"""Tell the limits of instances how the uses of granted slots ended."""

from wasabivalve import ramp_up
from wasabivalve.placement import core as placement

from . import messages

STALE_RATIO_FACTOR = 2.0
"""Excess of the average service time over recent ones that shows a recovery.

The average takes some twenty answers to forget a tenfold one, and an instance that
looks slow gets none.
"""


def record_result(
    limits: ramp_up.PacedLimits,
    load: placement.InstanceLoad,
    release: messages.SlotRelease,
    typical_ms: float,
    now: float,
) -> None:
    """Record a response or a refusal, before ``load`` does; times are in ms."""
    instance = load.instance
    if release.reported_requests >= 0:
        # The report counts the request that has just ended.
        waiting = max(0, release.reported_requests - max(1, instance.slots))
        limits.on_load(instance, waiting, release.slowness or None, now)
    if release.result == messages.SlotResult.REFUSED:
        limits.on_failure(instance, now)
    if release.result != messages.SlotResult.DONE:
        return
    if load.was_ejected_twice:
        limits.on_recovery(instance, now)
    limits.on_answer(instance, release.service_time_ms, typical_ms, now)
    recent_ratio = limits.recovered_ratio(instance)
    if (
        recent_ratio is not None
        and load.service_time_ratio > STALE_RATIO_FACTOR * recent_ratio
    ):
        load.service_time_ratio = recent_ratio


def record_failure(
    limits: ramp_up.PacedLimits, load: placement.InstanceLoad, now: float
) -> None:
    """Record a broken connection, after ``load`` has; the pace starts low after it."""
    limits.on_failure(load.instance, now)
    if load.was_ejected_twice and now < load.ejected_until:
        limits.on_recovery(load.instance, now, load.ejected_until)
