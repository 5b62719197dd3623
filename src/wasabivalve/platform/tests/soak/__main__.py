"""Run seeds by hand: python -m wasabivalve.platform.tests.soak --first 1 --seeds 50."""

import sys

import click

from wasabivalve.platform.tests import ports
from wasabivalve.platform.tests.soak import core


@click.command()
@click.option("--first", default=1, help="first seed")
@click.option("--seeds", default=10, help="number of seeds")
@click.option("--seconds", default=12.0, help="time with faults of each seed")
def main(first, seeds, seconds):
    """Play seeds one after the other; exit with 1 if a rule was broken."""
    faults = requests = failed = 0
    for seed in range(first, first + seeds):
        report = core.run(seed, seconds, ports.free_ports(4 * core.VMS))
        faults += len(report.faults)
        requests += report.requests
        failed += bool(report.problems)
        click.echo(
            f"seed {seed}: {len(report.faults)} faults, {report.requests} requests, "
            f"{report.answered} answered, {len(report.problems)} problems"
        )
        for problem in report.problems[:5]:
            click.echo(f"    {problem}")
    click.echo(f"{seeds} seeds, {faults} faults, {requests} requests, {failed} failed")
    sys.exit(1 if failed else 0)


main()
