"""Choose when a refused caller should come back.

Responds to demand that exceeds the capacity for seconds. Callers return only once or
twice, and their target latency counts from their first attempt. One that is told to
return after its target can only be answered late, and takes capacity from another one
that could still be on time.
"""

import random

MIN_SLACK_SHARE = 0.3
MAX_SLACK_SHARE = 0.9
"""Bounds of the share of the slack after which a caller returns.

Callers that were refused at the same moment return at different ones.
"""

MIN_SLACK_S = 0.05
"""Slack below which a return would be late in any case."""


def retry_after_s(
    capacity_expected_s: float, slack_s: float, generator: random.Random
) -> float:
    """Return the time in s after which a refused caller should return.

    ``slack_s`` is the time that is left to start the request and be on time. A caller
    returns when capacity is expected, but not so late that it can't be on time.
    """
    if slack_s < MIN_SLACK_S:
        return capacity_expected_s
    share = generator.uniform(MIN_SLACK_SHARE, MAX_SLACK_SHARE)
    return min(capacity_expected_s, share * slack_s)
