"""Append generated burn summaries of three days to a log service, for a first look."""

import random
import time
import uuid
from collections.abc import Iterator

import click

from wasabivalve import burn, platform_log
from wasabivalve.schema import records_generated

DAYS = 3
INTERVAL_S = 300
REQUESTS = 40
BATCH = 50
SERVICES = ("slotbook", "vanlog", "billdesk", "linencount")
MEDIAN_MS_BY_RANK = {"confirm": 60.0, "read": 90.0, "batch": 900.0}
TARGET_MS_BY_RANK = {"confirm": 250, "read": 400, "batch": 5_000}
INCIDENT_AGE_S = 7 * 3_600
INCIDENT_S = 1_800
SILENCE_AGE_S = 20 * 3_600
SILENCE_S = 7_200


def summaries(
    vm: str, now_s: int, generator: random.Random
) -> Iterator[records_generated.BurnSummary]:
    """Yield the summaries of one VM up to now, with one incident."""
    start_s = (now_s // INTERVAL_S - DAYS * 86_400 // INTERVAL_S - 1) * INTERVAL_S
    window = burn.BurnRecorder(vm, start_s, lambda: str(uuid.uuid4()), INTERVAL_S)
    for at_s in range(start_s, now_s, INTERVAL_S):
        for service in SERVICES:
            for rank in MEDIAN_MS_BY_RANK:
                _record(window, service, rank, at_s, now_s, generator)
        yield from window.pop_summaries(at_s + INTERVAL_S)


def _record(
    window: burn.BurnRecorder,
    service: str,
    rank: str,
    at_s: int,
    now_s: int,
    generator: random.Random,
) -> None:
    incident = 0 <= at_s - (now_s - INCIDENT_AGE_S) < INCIDENT_S
    factor = 6.0 if incident and service == "slotbook" else 1.0
    for _ in range(REQUESTS):
        duration_ms = generator.lognormvariate(0.0, 0.5) * MEDIAN_MS_BY_RANK[rank]
        duration_ms *= factor
        late = duration_ms > TARGET_MS_BY_RANK[rank]
        window.record(service, rank, "late" if late else "on_time", duration_ms, at_s)


@click.command()
@click.option("--log", "log_url", required=True, metavar="URL")
@click.option("--seed", default=7, show_default=True)
@click.option("--vms", default=3, show_default=True, type=click.IntRange(1, 9))
def main(log_url: str, seed: int, vms: int) -> None:
    """Append the summaries; the last VM is silent for two hours."""
    now_s, generator = int(time.time()), random.Random(seed)
    client = platform_log.LogClient(log_url)
    for number in range(1, vms + 1):
        found = list(summaries(f"entry-{number}", now_s, generator))
        if number == vms:
            found = [row for row in found if not _is_silent(row, now_s)]
        for start in range(0, len(found), BATCH):
            batch = [dict(row) for row in found[start : start + BATCH]]
            outcome = client.append("burn", batch)
            if not isinstance(outcome, platform_log.Appended):
                raise click.ClickException(str(outcome))
        click.echo(f"entry-{number}: {len(found)} summaries")
    client.close()


def _is_silent(row: records_generated.BurnSummary, now_s: int) -> bool:
    return 0 <= row["interval_start_s"] - (now_s - SILENCE_AGE_S) < SILENCE_S


if __name__ == "__main__":
    main()
