"""Measure with real processes how long keys are without service after a loss."""

import collections
import json
import pathlib
import random
import sys
import tempfile
import time
from typing import Any, NamedTuple

import click
from hdrh import histogram

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tools"))

import key_load
import local_fleet

SERVICE = "slotbook"
SERVERS = 4
KEYS = 32
TARGET_MS = 1_000.0
SLOW_APPEND_MS = 2_000.0
SERVE_TIMEOUT_S = 10.0
SETTLE_TIMEOUT_S = 15.0
# Ownership is settled when each key had the same server for this long.
SETTLED_FOR_MS = 1_000.0
PERCENTILES = (50.0, 99.0)
FAULTS_BY_LOG_STATE: dict[str, dict[str, Any]] = {
    "up": {},
    "slow": {"append_latency_ms": SLOW_APPEND_MS},
    "down": {"outage": "refuse"},
}
NO_FAULTS = {"append_latency_ms": 0.0, "outage": "none"}
FLEET_OPTIONS = local_fleet.SMALL_FLEET._replace(
    services=(local_fleet.ServiceOptions(SERVICE, SERVERS, 2, partitioned=True),)
)


class Loss(NamedTuple):
    """Record one loss: time without service in ms by key of the lost server."""

    server: str
    without_service_ms: dict[str, float]
    never_served: tuple[str, ...]
    failed_requests: int
    settled: bool
    rejoined: bool


def lose_server(
    fleet: local_fleet.Fleet, load: key_load.KeyLoad, server: str, log_state: str
) -> Loss:
    """Kill a server, wait for its keys and restart it."""
    log_port = int(fleet.log_url.rsplit(":", 1)[1])
    key_load.set_faults(log_port, **FAULTS_BY_LOG_STATE[log_state])
    keys = keys_of(load, server)
    killed_ms = key_load.now_ms()
    fleet.kill(server)
    try:
        load.wait_until_served(killed_ms, SERVE_TIMEOUT_S)
    except TimeoutError as error:
        click.echo(f"{server}: {error}", err=True)
    served = {
        key: key_load.first_success(load.results_by_key[key], killed_ms) for key in keys
    }
    failed = sum(
        row.sent_ms >= killed_ms and row.outcome != "done" for row in load.results()
    )
    key_load.set_faults(log_port, **NO_FAULTS)
    (instance,) = (row for row in fleet.instances if row.name == server)
    fleet.start_upstream(instance)
    settled = settle(fleet, load)
    return Loss(
        server,
        {key: row.ended_ms - killed_ms for key, row in served.items() if row},
        tuple(key for key, row in served.items() if row is None),
        failed,
        settled,
        bool(keys_of(load, server)),
    )


def keys_of(load: key_load.KeyLoad, server: str) -> list[str]:
    """Return the keys whose latest answer came from a server."""
    return [
        key for key, row in load.latest_result_by_key().items() if row.server == server
    ]


def settle(fleet: local_fleet.Fleet, load: key_load.KeyLoad) -> bool:
    """Wait until each key and the logged lists stay as they are for a time.

    Return whether that happened before the timeout.
    """
    ends_at = time.monotonic() + SETTLE_TIMEOUT_S
    revisions = read_revisions(fleet)
    since_ms = key_load.now_ms()
    while time.monotonic() < ends_at:
        time.sleep(key_load.POLL_INTERVAL_S)
        previous, revisions = revisions, read_revisions(fleet)
        if revisions != previous or len(revisions) > 1:
            since_ms = key_load.now_ms()
        stays = key_load.now_ms() - since_ms >= SETTLED_FOR_MS
        if stays and is_settled(load):
            return True
    return False


def read_revisions(fleet: local_fleet.Fleet) -> set[int]:
    """Return the revisions of the shard that the entry VMs know."""
    return {
        shard["revision"]
        for vm in fleet.entry_port_by_vm
        for shard in key_load.read_status(fleet, vm)["shards"].values()
    }


def is_settled(load: key_load.KeyLoad) -> bool:
    """Return whether each key had one server and no failure in the last time."""
    since = key_load.now_ms() - SETTLED_FOR_MS
    for rows in load.results_by_key.values():
        recent = [row for row in tuple(rows[-100:]) if row.sent_ms >= since]
        if not recent or len({row.server for row in recent}) > 1:
            return False
        if any(row.outcome != "done" for row in recent):
            return False
    return True


def measure(losses: int, seed: int, log_state: str, seconds: float) -> list[Loss]:
    """Return the losses that fit into the time."""
    generator = random.Random(seed)
    keys = [f"lodge-{index}" for index in range(KEYS)]
    ends_at = time.monotonic() + seconds
    result: list[Loss] = []
    with tempfile.TemporaryDirectory() as directory:
        fleet = local_fleet.Fleet(FLEET_OPTIONS, pathlib.Path(directory))
        try:
            fleet.start()
            load = key_load.KeyLoad(fleet, SERVICE, keys, seed)
            load.start()
            if not settle(fleet, load):
                raise click.ClickException("ownership did not settle after the start")
            while len(result) < losses and time.monotonic() < ends_at:
                server = choose_server(load, generator)
                result.append(lose_server(fleet, load, server, log_state))
            load.close()
        finally:
            fleet.close()
    return result


def choose_server(load: key_load.KeyLoad, generator: random.Random) -> str:
    """Return a random server among those that serve keys."""
    counts = collections.Counter(
        row.server for row in load.latest_result_by_key().values()
    )
    del counts[""]
    return generator.choice(sorted(counts))


def summarize(losses: list[Loss], log_state: str, seed: int) -> dict[str, Any]:
    """Return the figures of a run; each sample is one key of a lost server."""
    samples = [ms for loss in losses for ms in loss.without_service_ms.values()]
    recorded = histogram.HdrHistogram(1, 60_000_000, 3)
    for sample in samples:
        recorded.record_value(max(1, int(sample * 1000)))
    return {
        "log": log_state,
        "seed": seed,
        "losses": len(losses),
        "samples": len(samples),
        **{
            f"p{percentile:.0f}_ms": recorded.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        },
        "worst_ms": max(samples, default=0.0),
        "above_target": sum(sample > TARGET_MS for sample in samples),
        "late_losses": sum(
            max(loss.without_service_ms.values(), default=0.0) > TARGET_MS
            for loss in losses
        ),
        "never_served": sum(len(loss.never_served) for loss in losses),
        "failed": sum(loss.failed_requests for loss in losses),
        "not_settled": sum(not loss.settled for loss in losses),
        "rejoined": sum(loss.rejoined for loss in losses),
        "worst_by_loss_ms": [
            round(max(loss.without_service_ms.values(), default=0.0), 1)
            for loss in losses
        ],
    }


def print_table(figures: dict[str, Any]) -> None:
    """Print the figures as a table with one row."""
    columns = [name for name, value in figures.items() if not isinstance(value, list)]
    click.echo("".join(f"{name:>16}" for name in columns))
    cells = [figures[name] for name in columns]
    texts = [f"{cell:.0f}" if isinstance(cell, float) else str(cell) for cell in cells]
    click.echo("".join(f"{text:>16}" for text in texts))


@click.command()
@click.option("--losses", default=20, show_default=True, help="Number of losses.")
@click.option("--seed", default=1, show_default=True, help="Seed of load and choice.")
@click.option(
    "--log",
    "log_state",
    type=click.Choice(sorted(FAULTS_BY_LOG_STATE)),
    default="up",
    show_default=True,
    help="State of the log during each loss.",
)
@click.option(
    "--seconds", default=80.0, show_default=True, help="Time after which to stop."
)
def main(losses: int, seed: int, log_state: str, seconds: float) -> None:
    """Kill servers one after another and print the time without service."""
    figures = summarize(measure(losses, seed, log_state, seconds), log_state, seed)
    print_table(figures)
    click.echo(json.dumps(figures))


if __name__ == "__main__":
    main()
