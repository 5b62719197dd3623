"""Run random failure schedules against the ownership modules and count violations."""

import collections
import concurrent.futures
import sys
from typing import Any, NamedTuple

import click

from wasabivalve.ownership.tests import ownership_schedules, ownership_simulation


class Outcome(NamedTuple):
    """Carry the result of one schedule, or what was broken."""

    seed: int
    kind: str
    text: str
    result: Any


def run_one(seed: int) -> Outcome:
    """Run the schedule of a seed."""
    try:
        return Outcome(seed, "passed", "", ownership_schedules.run(seed))
    except ownership_simulation.OwnershipViolation as error:
        return Outcome(seed, "violated", str(error), None)
    except ownership_schedules.NotRecovered as error:
        return Outcome(seed, "not healed", str(error), None)


@click.command()
@click.option("--schedules", default=10_000, show_default=True)
@click.option("--seed", default=1, show_default=True, help="Seed of the first one.")
@click.option("--processes", default=4, show_default=True)
def main(schedules: int, seed: int, processes: int) -> None:
    """Run schedules; exit with 1 when an invariant is broken or keys stay lost."""
    totals: collections.Counter[str] = collections.Counter()
    healed = []
    seeds = range(seed * 1_000_000, seed * 1_000_000 + schedules)
    with concurrent.futures.ProcessPoolExecutor(processes) as executor:
        for outcome in executor.map(run_one, seeds, chunksize=20):
            totals[outcome.kind] += 1
            if outcome.result is None:
                click.echo(f"seed {outcome.seed} {outcome.kind}: {outcome.text}")
                continue
            healed.append(outcome.result.recovery_ms)
            for name in ("checks", "records", "commits"):
                totals[name] += getattr(outcome.result, name)
            totals["faults"] += sum(outcome.result.faults.values())
    click.echo(f"schedules {schedules}, seed {seed}")
    for name, count in sorted(totals.items()):
        click.echo(f"{name} {count}")
    healed.sort()
    for share in (50, 99, 100):
        index = max(0, len(healed) * share // 100 - 1)
        click.echo(f"healed after, p{share}: {healed[index]:.0f} ms (simulated)")
    sys.exit(0 if totals["passed"] == schedules else 1)


if __name__ == "__main__":
    main()
