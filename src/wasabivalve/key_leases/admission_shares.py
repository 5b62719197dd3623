"""Limit the requests for keys whose holder gets more than it can serve.

Many VMs each send a few requests per second to the holder of a hot key. No single VM
can see that together they send several times what the holder can serve, and a holder
with a full queue may never answer.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from . import core, key_loads, planning

OVERLOAD_RATIO = 1.15
"""Ratio of load to capacity above which requests are refused; both are estimates."""

ADMITTED_UTILIZATION = 0.85
"""Utilization to which an overloaded instance is filled.

At full utilization its queue grows until most requests are late.
"""

MIN_SHARE = 0.01
"""Share of its requests that an overloaded instance always gets.

A hot key may have forty times the requests that one instance can serve.
"""

MIN_HOT_KEY_UTILIZATION = 0.3
"""Utilization of a holder that its hot keys always get.

The other keys of the holder come first, as they can be served whole.
"""


class AdmissionShares(NamedTuple):
    """Hold the shares of requests that can be served.

    ``share_by_instance`` is for the keys of overloaded instances, ``share_by_key`` for
    hot keys. The limit of a hot key also holds while it has no holder or a new one.
    """

    share_by_instance: dict[str, float]
    share_by_key: dict[int, float]


def find_admission_shares(
    ranges: Sequence[core.RangeAssignment],
    candidates: Sequence[planning.CandidateInstance],
    loads: key_loads.ServiceLoads,
) -> AdmissionShares:
    """Return the shares of one service; keys and instances without one are served."""
    capacity_by_id = {candidate.id: candidate.capacity for candidate in candidates}
    if not capacity_by_id:
        return AdmissionShares({}, {})
    rate_by_id = planning.rate_by_candidate(ranges, candidates, loads.smooth)
    hot_rates_by_id: dict[str, dict[int, float]] = {}
    hot_keys = loads.recent.find_keys_above(
        OVERLOAD_RATIO * min(capacity_by_id.values())
    )
    for key, recent_rate in hot_keys.items():
        # Too high a rate refuses a few more requests for a moment; too low a one
        # floods the holder.
        rate = max(recent_rate, loads.smooth.key_rate(key))
        for assignment in ranges:
            if assignment.first <= key <= assignment.last:
                capacity = capacity_by_id.get(assignment.instance, math.inf)
                if rate > OVERLOAD_RATIO * capacity:
                    hot_rates_by_id.setdefault(assignment.instance, {})[key] = rate
    shares = AdmissionShares({}, {})
    for instance, capacity in capacity_by_id.items():
        hot_rates = hot_rates_by_id.get(instance, {})
        other_rate = rate_by_id[instance] - sum(map(loads.smooth.key_rate, hot_rates))
        other_capacity = capacity
        if hot_rates:
            hot_capacity = max(
                MIN_HOT_KEY_UTILIZATION * capacity,
                ADMITTED_UTILIZATION * capacity - other_rate,
            )
            other_capacity = capacity * (1.0 - MIN_HOT_KEY_UTILIZATION)
            hot_share = max(MIN_SHARE, hot_capacity / sum(hot_rates.values()))
            shares.share_by_key.update(dict.fromkeys(hot_rates, hot_share))
        if other_rate > OVERLOAD_RATIO * other_capacity:
            share = ADMITTED_UTILIZATION * other_capacity / other_rate
            shares.share_by_instance[instance] = max(MIN_SHARE, share)
    return shares
