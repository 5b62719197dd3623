"""Compare ways to bring a cold instance to its pace, and check the bound over all VMs.

Plays load against the decision code, without a network:
PYTHONPATH=src python benchmarks/slow_start.py
"""

import math
import random

import click
import loguru

from wasabivalve.placement import rate_limit
from wasabivalve.ramp_up import core
from wasabivalve.ramp_up.tests import test_ramp_up as plays

VM_COUNT = 77
PLAYS = 300
STEP_MS = 10.0
GRANTED_SHARE = 0.9
FIXED_RAMP_MS = 3_000.0

DEMAND_PER_S = 95.0
"""Demand that one of two instances can't serve alone."""


class FixedRamp(core.PaceFinder):
    """Raise the pace by the time since the end of the warm-up, whatever is answered."""

    def pace_per_s(self, now: float) -> float | None:
        """Return the pace on a straight line to the usual capacity."""
        start = super().start_pace_per_s()
        share = (now - self._cold_until) / FIXED_RAMP_MS
        if self._cold_until == -math.inf or share >= 1.0:
            return None
        return start + max(0.0, share) * max(0.0, self._capacity_per_s(1.0) - start)


class SteadyGrowth(core.PaceFinder):
    """Gain a constant part with each answer, also before the first cut."""

    def _begin(self, pace_per_s: float, now: float) -> None:
        super()._begin(pace_per_s, now)
        self._has_been_cut = True


def play_ramp(finder: type, cold_ms: float, seed: int) -> tuple[int, bool]:
    """Return the requests answered in time and whether the instance ended.

    The instance announces ``plays.WARMUP_MS`` and stays cold for ``cold_ms``.
    """
    instance, warm = plays.Instance("i-1"), plays.Instance("i-2")

    def start(now: float) -> None:
        instance.become_cold(now)
        instance.cold_until = now + cold_ms

    original, core.PaceFinder = core.PaceFinder, finder
    try:
        durations = plays.play(
            [instance, warm],
            plays.SERVICE,
            DEMAND_PER_S,
            12_000.0,
            [(0.0, start)],
            seed,
        )
    finally:
        core.PaceFinder = original
    return plays.in_time(durations), instance.ended_until > 0.0


def most_requests(
    vms: int, part_share: float, dispatchers: int, generator: random.Random
) -> int:
    """Return the most requests in one second of a warm-up, at unbounded demand."""
    part_per_s = part_share * plays.WARMUP_PER_S / VM_COUNT
    limiters = [
        rate_limit.RateLimiter(part_per_s, 0.0, generator.random(), lapses=True)
        for _ in range(vms)
    ]
    limiters += [
        rate_limit.RateLimiter(GRANTED_SHARE * plays.WARMUP_PER_S, 0.0)
        for _ in range(dispatchers)
    ]
    sent, now = [], generator.uniform(0.0, 1_900.0)
    while now < plays.WARMUP_MS:
        for limiter in limiters:
            while limiter.wait_ms(0, now) <= 0.0:
                limiter.take(now)
                sent.append(now)
        now += STEP_MS
    return plays.most_in_one_second(sent) if sent else 0


@click.command()
@click.option("--seed", default=1)
def main(seed: int) -> None:
    """Print what callers get by each way, and the plays above the bound."""
    loguru.logger.remove()
    for cold_ms in (3_000.0, 6_000.0):
        for finder in (FixedRamp, SteadyGrowth, core.PaceFinder):
            results = [play_ramp(finder, cold_ms, seed + play) for play in range(5)]
            served = sum(result[0] for result in results) / len(results)
            ended = sum(result[1] for result in results)
            click.echo(
                f"cold_ms={cold_ms:.0f} {finder.__name__}: in_time={served:.0f} "
                f"ended={ended}/5"
            )
    for part_share in (1.0, 0.5):
        for vms, dispatchers in ((77, 0), (0, 2), (38, 1), (38, 2)):
            generator = random.Random(seed)
            most = [
                most_requests(vms, part_share, dispatchers, generator)
                for _ in range(PLAYS)
            ]
            above = sum(count > plays.MAX_IN_ONE_SECOND for count in most)
            click.echo(
                f"part_share={part_share} vms={vms} dispatchers={dispatchers}: "
                f"most={max(most)} above_bound={above}/{PLAYS}"
            )


if __name__ == "__main__":
    main()
