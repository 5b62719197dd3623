"""Run random fault schedules against the ownership modules and count violations."""

import collections
import concurrent.futures
import sys
from typing import Any, NamedTuple

import click

from wasabivalve.ownership.tests import ownership_schedules, ownership_simulation


class ScheduleResult(NamedTuple):
    """Hold the statistics of one schedule, or the message of its failure."""

    seed: int
    status: str
    message: str
    statistics: Any


def run_schedule(seed: int) -> ScheduleResult:
    """Run the random schedule of a seed."""
    try:
        return ScheduleResult(seed, "passed", "", ownership_schedules.run(seed))
    except ownership_simulation.OwnershipViolation as error:
        return ScheduleResult(seed, "violated", str(error), None)
    except ownership_schedules.NotRecovered as error:
        return ScheduleResult(seed, "not recovered", str(error), None)


@click.command()
@click.option("--schedules", default=10_000, show_default=True)
@click.option("--seed", default=1, show_default=True, help="Seed of the first one.")
@click.option("--processes", default=4, show_default=True)
def main(schedules: int, seed: int, processes: int) -> None:
    """Run schedules; exit with 1 if an invariant breaks or keys stay unserved."""
    totals: collections.Counter[str] = collections.Counter()
    recoveries_ms = []
    seeds = range(seed * 1_000_000, seed * 1_000_000 + schedules)
    with concurrent.futures.ProcessPoolExecutor(processes) as executor:
        for result in executor.map(run_schedule, seeds, chunksize=20):
            totals[result.status] += 1
            if result.statistics is None:
                click.echo(f"seed {result.seed} {result.status}: {result.message}")
                continue
            recoveries_ms.append(result.statistics.recovery_ms)
            for name in ("checks", "records", "commits"):
                totals[name] += getattr(result.statistics, name)
            totals["faults"] += sum(result.statistics.faults.values())
    click.echo(f"schedules {schedules}, seed {seed}")
    for name, count in sorted(totals.items()):
        click.echo(f"{name} {count}")
    recoveries_ms.sort()
    for percentile in (50, 99, 100):
        index = max(0, len(recoveries_ms) * percentile // 100 - 1)
        click.echo(
            f"recovered after, p{percentile}: {recoveries_ms[index]:.0f} ms (simulated)"
        )
    sys.exit(0 if totals["passed"] == schedules else 1)


if __name__ == "__main__":
    main()
