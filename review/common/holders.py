"""Watch which keys two instances hold at once."""

import asyncio
import itertools
import time
from typing import NamedTuple

from . import instance, ranges, record

SAMPLE_S = 0.003


class SharedKeys(NamedTuple):
    """Hold ranges of keys that two instances held at once, and when."""

    pair: tuple[instance.Instance, instance.Instance]
    key_ranges: list[tuple[int, int]]
    since: float
    until: float

    def count_runs(self, one: instance.Instance) -> int:
        """Return how many requests on these keys an instance began."""
        return sum(
            self.since <= began_at <= self.until
            and any(first <= key <= last for first, last in self.key_ranges)
            for began_at, key in one.run_keys
        )


async def watch_holders(
    instances: list[instance.Instance], until: float, log: record.Record
) -> list[SharedKeys]:
    """Return which keys had two holders, until a time."""
    spans: list[SharedKeys] = []
    while time.monotonic() < until:
        now = time.monotonic()
        for pair in itertools.combinations(instances, 2):
            one, other = pair
            shared = ranges.overlap(one.holds_until, other.holds_until, now)
            if not shared:
                continue
            for index, span in enumerate(spans):
                if (span.pair, span.key_ranges) == (pair, shared):
                    spans[index] = span._replace(until=now)
                    break
            else:
                log.add(f"{one.name} and {other.name} both hold keys {shared}")
                spans.append(SharedKeys(pair, shared, now, now))
        await asyncio.sleep(SAMPLE_S)
    return spans
