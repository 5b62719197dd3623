"""Run seeds by hand: python -m wasabivalve.platform.tests.soak --first 1 --seeds 50."""

import sys

import click

from wasabivalve.platform.tests import ports
from wasabivalve.platform.tests.soak import core


@click.command()
@click.option("--first", default=1, help="first seed")
@click.option("--seeds", default=10, help="number of seeds")
@click.option(
    "--seconds", default=12.0, help="duration of fault injection in each seed"
)
def main(first, seeds, seconds):
    """Run seeds one after the other; exit with 1 if a rule was violated."""
    faults = requests = failed = 0
    for seed in range(first, first + seeds):
        report = core.run_seed(seed, seconds, ports.free_ports(4 * core.VM_COUNT))
        faults += len(report.faults)
        requests += report.request_count
        failed += bool(report.problems)
        click.echo(
            f"seed {seed}: {len(report.faults)} faults, "
            f"{report.request_count} requests, {report.success_count} answered, "
            f"{len(report.problems)} problems"
        )
        for problem in report.problems[:5]:
            click.echo(f"    {problem}")
    click.echo(f"{seeds} seeds, {faults} faults, {requests} requests, {failed} failed")
    sys.exit(1 if failed else 0)


main()
