"""Measure with real processes how long keys are unserved after a server is lost."""

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
SERVER_COUNT = 4
KEY_COUNT = 32
MAX_UNSERVED_MS = 1_000.0
SLOW_LOG_APPEND_MS = 2_000.0
SERVE_TIMEOUT_S = 10.0
SETTLE_TIMEOUT_S = 15.0
# Ownership is settled when each key had the same server for this time.
SETTLED_DURATION_MS = 1_000.0
PERCENTILES = (50.0, 99.0)
FAULTS_BY_LOG_STATE: dict[str, dict[str, Any]] = {
    "up": {},
    "slow": {"append_latency_ms": SLOW_LOG_APPEND_MS},
    "down": {"outage": "refuse"},
}
NO_FAULTS = {"append_latency_ms": 0.0, "outage": "none"}
FLEET_OPTIONS = local_fleet.SMALL_FLEET._replace(
    services=(local_fleet.ServiceOptions(SERVICE, SERVER_COUNT, 2, partitioned=True),)
)


class ServerLoss(NamedTuple):
    """Record one loss: the time in ms until each key of the server was served again."""

    server: str
    unserved_ms_by_key: dict[str, float]
    unserved_keys: tuple[str, ...]
    failed_request_count: int
    settled: bool
    rejoined: bool


def lose_server(
    fleet: local_fleet.Fleet, load: key_load.KeyLoad, server: str, log_state: str
) -> ServerLoss:
    """Kill a server, wait until its keys are served again and restart it."""
    log_port = int(fleet.log_url.rsplit(":", 1)[1])
    key_load.set_faults(log_port, **FAULTS_BY_LOG_STATE[log_state])
    keys = keys_of_server(load, server)
    killed_at_ms = key_load.now_ms()
    fleet.kill(server)
    try:
        load.wait_until_served(killed_at_ms, SERVE_TIMEOUT_S)
    except TimeoutError as error:
        click.echo(f"{server}: {error}", err=True)
    first_success_by_key = {
        key: key_load.first_success(load.results_by_key[key], killed_at_ms)
        for key in keys
    }
    failed_request_count = sum(
        result.sent_ms >= killed_at_ms and result.outcome != "done"
        for result in load.results()
    )
    key_load.set_faults(log_port, **NO_FAULTS)
    (instance,) = (upstream for upstream in fleet.instances if upstream.name == server)
    fleet.start_upstream(instance)
    settled = wait_until_settled(fleet, load)
    return ServerLoss(
        server,
        {
            key: result.ended_ms - killed_at_ms
            for key, result in first_success_by_key.items()
            if result
        },
        tuple(key for key, result in first_success_by_key.items() if result is None),
        failed_request_count,
        settled,
        bool(keys_of_server(load, server)),
    )


def keys_of_server(load: key_load.KeyLoad, server: str) -> list[str]:
    """Return the keys whose latest result came from a server."""
    return [
        key
        for key, result in load.latest_result_by_key().items()
        if result.server == server
    ]


def wait_until_settled(fleet: local_fleet.Fleet, load: key_load.KeyLoad) -> bool:
    """Wait until no key changes its server and the assignments keep their revision.

    Return whether that held for SETTLED_DURATION_MS before SETTLE_TIMEOUT_S ended.
    """
    deadline_at = time.monotonic() + SETTLE_TIMEOUT_S
    revisions = read_revisions(fleet)
    unchanged_since_ms = key_load.now_ms()
    while time.monotonic() < deadline_at:
        time.sleep(key_load.POLL_INTERVAL_S)
        previous, revisions = revisions, read_revisions(fleet)
        if revisions != previous or len(revisions) > 1:
            unchanged_since_ms = key_load.now_ms()
        is_unchanged = key_load.now_ms() - unchanged_since_ms >= SETTLED_DURATION_MS
        if is_unchanged and is_settled(load):
            return True
    return False


def read_revisions(fleet: local_fleet.Fleet) -> set[int]:
    """Return the revisions of the shard that the entry VMs report."""
    return {
        shard["revision"]
        for vm in fleet.entry_port_by_vm
        for shard in key_load.read_status(fleet, vm)["shards"].values()
    }


def is_settled(load: key_load.KeyLoad) -> bool:
    """Return whether each key had one server and no failure in SETTLED_DURATION_MS."""
    window_start_ms = key_load.now_ms() - SETTLED_DURATION_MS
    for results in load.results_by_key.values():
        recent_results = [
            result
            for result in tuple(results[-100:])
            if result.sent_ms >= window_start_ms
        ]
        if not recent_results or len({result.server for result in recent_results}) > 1:
            return False
        if any(result.outcome != "done" for result in recent_results):
            return False
    return True


def measure(
    loss_count: int, seed: int, log_state: str, seconds: float
) -> list[ServerLoss]:
    """Return up to ``loss_count`` losses; none starts after ``seconds``."""
    generator = random.Random(seed)
    keys = [f"lodge-{index}" for index in range(KEY_COUNT)]
    deadline_at = time.monotonic() + seconds
    measured_losses: list[ServerLoss] = []
    with tempfile.TemporaryDirectory() as directory:
        fleet = local_fleet.Fleet(FLEET_OPTIONS, pathlib.Path(directory))
        try:
            fleet.start()
            load = key_load.KeyLoad(fleet, SERVICE, keys, seed)
            load.start()
            if not wait_until_settled(fleet, load):
                raise click.ClickException("ownership did not settle after the start")
            while len(measured_losses) < loss_count and time.monotonic() < deadline_at:
                server = choose_server(load, generator)
                measured_losses.append(lose_server(fleet, load, server, log_state))
            load.close()
        finally:
            fleet.close()
    return measured_losses


def choose_server(load: key_load.KeyLoad, generator: random.Random) -> str:
    """Return a random server among those that serve keys."""
    counts = collections.Counter(
        result.server for result in load.latest_result_by_key().values()
    )
    del counts[""]
    return generator.choice(sorted(counts))


def summarize(losses: list[ServerLoss], log_state: str, seed: int) -> dict[str, Any]:
    """Return the figures of a run; each sample is one key of a lost server."""
    samples_ms = [
        unserved_ms
        for loss in losses
        for unserved_ms in loss.unserved_ms_by_key.values()
    ]
    recorded_histogram = histogram.HdrHistogram(1, 60_000_000, 3)
    for sample_ms in samples_ms:
        recorded_histogram.record_value(max(1, int(sample_ms * 1000)))
    return {
        "log": log_state,
        "seed": seed,
        "losses": len(losses),
        "samples": len(samples_ms),
        **{
            f"p{percentile:.0f}_ms": recorded_histogram.get_value_at_percentile(
                percentile
            )
            / 1000
            for percentile in PERCENTILES
        },
        "worst_ms": max(samples_ms, default=0.0),
        "above_target": sum(sample_ms > MAX_UNSERVED_MS for sample_ms in samples_ms),
        "late_losses": sum(
            max(loss.unserved_ms_by_key.values(), default=0.0) > MAX_UNSERVED_MS
            for loss in losses
        ),
        "never_served": sum(len(loss.unserved_keys) for loss in losses),
        "failed": sum(loss.failed_request_count for loss in losses),
        "not_settled": sum(not loss.settled for loss in losses),
        "rejoined": sum(loss.rejoined for loss in losses),
        "worst_by_loss_ms": [
            round(max(loss.unserved_ms_by_key.values(), default=0.0), 1)
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
    """Kill servers one after another and print the time until keys are served."""
    figures = summarize(measure(losses, seed, log_state, seconds), log_state, seed)
    print_table(figures)
    click.echo(json.dumps(figures))


if __name__ == "__main__":
    main()
