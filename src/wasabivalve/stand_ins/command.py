"""Run one stand-in, a simulated platform service, as a process."""

import signal
import threading
from typing import Any, Protocol

import click

from wasabivalve import ownership

from . import log_service, upstream, upstream_options, vm_list


class StandInService(Protocol):
    """Define the interface through which the commands run a stand-in."""

    @property
    def url(self) -> str:
        """Return the base URL."""

    def start(self) -> None:
        """Listen and serve."""

    def close(self, grace_ms: float = ...) -> None:
        """Wait ``grace_ms`` for running requests and stop."""


def serve(service: StandInService, grace_ms: float) -> None:
    """Print the URL once the service listens; stop it on SIGTERM or SIGINT."""
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    try:
        service.start()
    except OSError as error:
        raise click.ClickException(
            f"cannot listen on {service.url}: {error}"
        ) from error
    click.echo(service.url)
    stop_requested.wait()
    service.close(grace_ms)


host_option = click.option(
    "--host", default="127.0.0.1", show_default=True, help="IP address to listen on."
)
port_option = click.option(
    "--port",
    type=click.IntRange(0, 65_535),
    default=0,
    show_default=True,
    help="Port to listen on; 0 selects a free one.",
)
grace_option = click.option(
    "--grace-ms",
    type=click.FloatRange(0),
    default=2000.0,
    show_default=True,
    help="Time in ms that running requests have to finish after a stop signal.",
)
seed_option = click.option(
    "--seed",
    type=int,
    default=0,
    show_default=True,
    help="Seed of the random number generator.",
)


@click.group(name="stand-in")
def stand_in() -> None:
    """Run a stand-in, a simulated platform service, for tests and demonstrations."""


@stand_in.command()
@host_option
@port_option
@grace_option
@seed_option
@click.option(
    "--retention-records",
    type=click.IntRange(1),
    help="Maximum number of records per stream.",
)
@click.option(
    "--retention-ms", type=click.FloatRange(0), help="Maximum age of records in ms."
)
@click.option(
    "--append-latency-ms", type=click.FloatRange(0), default=0.0, show_default=True
)
def log(
    host: str,
    port: int,
    grace_ms: float,
    seed: int,
    retention_records: int | None,
    retention_ms: float | None,
    append_latency_ms: float,
) -> None:
    """Run a simulated log service."""
    retention = log_service.Retention(retention_records, retention_ms)
    service = log_service.LogService(host, port, retention, seed)
    service.set_faults(append_latency_ms=append_latency_ms)
    serve(service, grace_ms)


@stand_in.command(name="upstream")
@host_option
@port_option
@grace_option
@seed_option
@click.option("--name", required=True, help="Name of the instance.")
@click.option("--service", required=True, help="Name of its service.")
@click.option("--slots", type=click.IntRange(1), default=2, show_default=True)
@click.option("--backlog", type=click.IntRange(0), default=2, show_default=True)
@click.option(
    "--service-time-ms", type=click.FloatRange(0), default=5.0, show_default=True
)
@click.option(
    "--service-time-spread",
    type=click.FloatRange(0, 5),
    default=0.0,
    show_default=True,
    help="Standard deviation of the logarithm of the service time.",
)
@click.option(
    "--cold-start-ms", type=click.FloatRange(0), default=0.0, show_default=True
)
@click.option("--cold-factor", type=click.FloatRange(1), default=3.0, show_default=True)
@click.option("--probe-ms", type=click.FloatRange(0), default=0.0, show_default=True)
@click.option(
    "--divided-by-key", is_flag=True, help="Require a lease on the key of each request."
)
@click.option("--checks-fencing/--no-checks-fencing", default=True, show_default=True)
@click.option(
    "--lease-ms",
    type=click.FloatRange(0, min_open=True),
    default=ownership.server_lease.LEASE_MS,
    show_default=True,
)
@click.option("--response-bytes", type=click.IntRange(0), default=0, show_default=True)
@click.option(
    "--history-file",
    type=click.Path(dir_okay=False, writable=True),
    default="",
    help="File to which each run is appended as a JSON line.",
)
@click.option(
    "--poison-marker",
    default="",
    help="Text in a request body that crashes the upstream.",
)
@click.option("--exit-on-crash", is_flag=True, help="End the process on a crash.")
def run_upstream(grace_ms: float, poison_marker: str, **options: Any) -> None:
    """Run one simulated upstream instance."""
    instance = upstream.Upstream(upstream_options.UpstreamOptions(**options))
    instance.set_faults(poison_marker=poison_marker)
    serve(instance, grace_ms)


@stand_in.command(name="vm-list")
@host_option
@port_option
@grace_option
@click.option("--lag-ms", type=click.FloatRange(0), default=0.0, show_default=True)
def run_vm_list(host: str, port: int, grace_ms: float, lag_ms: float) -> None:
    """Run a simulated list of live and leaving VMs."""
    serve(vm_list.VmList(host, port, lag_ms), grace_ms)
