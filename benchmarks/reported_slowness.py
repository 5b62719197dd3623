"""Find for how long the slowness that an instance reports says anything.

The slowness of a machine changes at random moments; a request takes the mean of it over
its own duration. Prints the error of the estimated duration against that of an estimate
which ignores the reports, by weight and half-life of a report:
PYTHONPATH=src python benchmarks/reported_slowness.py
"""

import random

import click

STEP_MS = 10
DURATION_STEPS = 400_000
REPORT_INTERVAL_STEPS = 14
"""Steps between two answers of an instance that serves 7 requests per second."""


def slowness_steps(changes_per_s: float, generator: random.Random) -> list[float]:
    """Return the slowness of one machine in each step."""
    change_probability = changes_per_s * STEP_MS / 1000.0
    slowness, steps = 1.0, []
    for _ in range(DURATION_STEPS):
        if generator.random() < change_probability:
            slowness = max(0.5, generator.lognormvariate(0.0, 0.5))
        steps.append(slowness)
    return steps


def relative_error(
    steps: list[float], work_ms: float, weight: float, half_life_ms: float
) -> float:
    """Return the mean squared error relative to that of the mean slowness."""
    mean = sum(steps) / len(steps)
    sums = [0.0]
    for slowness in steps:
        sums.append(sums[-1] + slowness)
    work_steps = round(work_ms / STEP_MS)
    error = baseline = 0.0
    generator = random.Random(1)
    for sent_at in range(REPORT_INTERVAL_STEPS, len(steps) - work_steps, 7):
        age_steps = generator.randrange(REPORT_INTERVAL_STEPS)
        reported = steps[sent_at - age_steps]
        actual = (sums[sent_at + work_steps] - sums[sent_at]) / work_steps
        fade = weight * 0.5 ** (age_steps * STEP_MS / half_life_ms)
        error += (mean + fade * (reported - mean) - actual) ** 2
        baseline += (mean - actual) ** 2
    return error / baseline


@click.command()
@click.option("--seed", default=1)
def main(seed: int) -> None:
    """Print the errors for machines that change 2, 5, 10 and 20 times per second."""
    click.echo("changes/s work_ms weight  50ms 100ms 200ms 400ms  1e9ms")
    for changes_per_s in (2.0, 5.0, 10.0, 20.0):
        steps = slowness_steps(changes_per_s, random.Random(seed))
        for work_ms in (150.0, 412.0):
            for weight in (0.15, 0.3, 0.6, 1.0):
                errors = [
                    relative_error(steps, work_ms, weight, half_life_ms)
                    for half_life_ms in (50.0, 100.0, 200.0, 400.0, 1e9)
                ]
                cells = " ".join(f"{error:5.2f}" for error in errors)
                click.echo(f"{changes_per_s:9.0f} {work_ms:7.0f} {weight:6.2f} {cells}")


if __name__ == "__main__":
    main()
