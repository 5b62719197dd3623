"""Measure how often a request that ends instances runs, and how long others wait.

Each scenario runs four VMs in front of stand-ins of instances. Run it with
``PYTHONPATH=src python benchmarks/crashing_requests.py``.
"""

import asyncio
from typing import NamedTuple

import click
import loguru

from wasabivalve.platform.tests import test_crashing_requests as crashing

STEADY_S = 1.5
"""Time for which a path is used before its instances restart."""

CALLER_COUNT = 30


class Scenario(NamedTuple):
    """Describe a request, and the instances that restart if it is innocent."""

    name: str
    ends_instances: bool
    answers_before: int = 0
    caller_count: int = 1
    instance_count: int = crashing.INSTANCE_COUNT
    restarting: int = 0


SCENARIOS = (
    Scenario("new request that ends instances", True),
    Scenario("answered twice, then ends instances", True, answers_before=2),
    Scenario("answered once, then sent by thirty callers", True, 1, CALLER_COUNT),
    Scenario("path of all, three of nine restart", False, 0, CALLER_COUNT, 9, 3),
    Scenario("path of all, all three restart", False, 0, CALLER_COUNT, 3, 3),
    Scenario("path of one caller, two of two restart", False, 0, 1, 2, 2),
)


async def play(scenario: Scenario, duration_s: float) -> str:
    """Run a scenario and return its figures."""
    deployment = crashing.Deployment(scenario.instance_count)
    await deployment.start()
    try:
        for name in crashing.VMS:
            await deployment.start_vm(name)
        for number in range(scenario.answers_before):
            host = "127.0.0.99" if scenario.caller_count > 1 else "127.0.0.2"
            await deployment.send(
                crashing.VMS[number], crashing.CHANGING_PATH, local_host=host
            )
        if scenario.ends_instances:
            deployment.ends_instances = True
            await deployment.send_repeatedly(duration_s, scenario.caller_count)
            late_count = len(deployment.late_runs())
            return f"ended={len(deployment.ending_runs)} late={late_count}"
        sending = asyncio.create_task(
            deployment.send_repeatedly(duration_s, scenario.caller_count)
        )
        await asyncio.sleep(STEADY_S)
        for instance in deployment.instances[: scenario.restarting]:
            instance.reset_connections()
            deployment.register_later(instance)
        statuses = await sending
        not_served = [
            f"{status}@{index * crashing.SEND_INTERVAL_S - STEADY_S:.1f}s"
            for index, status in enumerate(statuses)
            if status != 200
        ]
        return f"sent={len(statuses)} not_served={','.join(not_served) or 'none'}"
    finally:
        await deployment.close()


@click.command()
@click.option("--duration-s", default=18.0, help="Time of sending in each scenario.")
@click.option("--only", default="", help="Part of the names of the scenarios to run.")
@click.option("--log", is_flag=True, help="Print the events of the VMs.")
def main(duration_s: float, only: str, log: bool) -> None:
    """Print one line for each scenario; sends count from the restart."""
    if not log:
        loguru.logger.remove()
    for scenario in SCENARIOS:
        if only not in scenario.name:
            continue
        figures = asyncio.run(play(scenario, duration_s))
        click.echo(f"{scenario.name}: {figures}")


if __name__ == "__main__":
    main()
