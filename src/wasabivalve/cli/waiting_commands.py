"""Commands that follow the configuration and wait for a condition."""

import pathlib
from collections.abc import Callable
from typing import NamedTuple

import click

from wasabivalve import resources
from wasabivalve.resources import status as resource_status

from . import options, tables

POLL_INTERVAL_S = 0.25
RETRY_DELAY_S = 1.0
WATCH_LONG_POLL_MS = 1_000.0


def add_to(group: click.Group) -> None:
    """Add the commands to a group."""
    for command in (watch, wait):
        group.add_command(command)


@click.command(
    epilog=options.exit_codes(options.EXIT_UNAVAILABLE, options.EXIT_TIMED_OUT),
)
@click.argument("kind", required=False, type=click.Choice(resources.specs.KINDS))
@click.option(
    "--changes", type=click.IntRange(1), help="Exit after this number of changes."
)
@click.option("--timeout", type=float, metavar="SECONDS", help="Exit after this time.")
@options.log_option
@options.entry_option
@options.keys_option
@options.output_option
@options.pass_environment
def watch(
    environment: options.Environment,
    kind: str | None,
    changes: int | None,
    timeout: float | None,
    log_url: str,
    entry_url: str | None,
    keys_file: pathlib.Path | None,
    output: str,
) -> None:
    """Print each accepted change until interrupted.

    With --entry, also print when VMs start or stop lagging.
    """
    keys = options.load_keys(keys_file)
    deadline_s = _deadline(environment, timeout)
    client = environment.open_log(log_url)
    try:
        current = resources.read_all(client, keys)
        if isinstance(current, resources.StreamUnreadable):
            options.stop(
                options.EXIT_UNAVAILABLE, f"the log cannot be read: {current.reason}"
            )
        watcher = _ConfigurationWatcher(environment, client, keys, current, entry_url)
        printed_count = 0
        while changes is None or printed_count < changes:
            if environment.timing.clock() >= deadline_s:
                code = options.EXIT_DONE if changes is None else options.EXIT_TIMED_OUT
                raise click.exceptions.Exit(code)
            for entry in watcher.next_entries(kind):
                _print_change(entry, output)
                printed_count += 1
            watcher.print_lag(output)
    finally:
        client.close()


class _ConfigurationWatcher:
    """Hold the position in the stream and the lag that was printed last."""

    def __init__(
        self,
        environment: options.Environment,
        client: resources.reading.LogReader,
        keys: resources.OperatorKeys,
        current: resources.CurrentConfiguration,
        entry_url: str | None,
    ):
        self._environment = environment
        self._client = client
        self._keys = keys
        self._current = current
        self._entry_url = entry_url
        self._printed_lag: list[str] = []

    def next_entries(self, kind: str | None) -> list[resources.reading.StreamEntry]:
        """Return the changes since the last call; wait up to ``WATCH_LONG_POLL_MS``."""
        latest = resources.read_to_end(
            self._client,
            self._current,
            self._keys,
            wait_ms=WATCH_LONG_POLL_MS,
            keep_entries=False,
        )
        if isinstance(latest, resources.StreamUnreadable):
            click.echo(f"the log cannot be read: {latest.reason}", err=True)
            self._environment.timing.sleep(RETRY_DELAY_S)
            return []
        self._current = latest
        return [
            entry
            for entry in latest.entries
            if entry.accepted and kind in (None, entry.record["resource_kind"])
        ]

    def print_lag(self, output: str) -> None:
        """Print the lagging VMs when they differ from those printed last."""
        if self._entry_url is None:
            return
        observed = self._environment.fetch_status(self._entry_url)
        if isinstance(observed, resource_status.StatusUnavailable):
            lines = [f"{self._entry_url}: {observed.reason}"]
        else:
            state = self._current.state
            lagging_vms = resource_status.lagging_vms(observed.status, state.revision)
            # Only names are compared, since the age of a report changes all the time.
            lines = [
                f"revision {state.revision}: "
                + (
                    f"lagging: {', '.join(lag.vm for lag in lagging_vms)}"
                    if lagging_vms
                    else ""
                )
                + ("" if lagging_vms else "in force on all VMs")
            ]
        if lines != self._printed_lag:
            self._printed_lag = lines
            for line in lines:
                click.echo(line, err=output == "json")


def _print_change(entry: resources.reading.StreamEntry, output: str) -> None:
    record = entry.record
    if output == "json":
        options.print_json(
            {
                "offset": entry.offset,
                "change": tables.describe_change(entry),
                "record": dict(record),
            }
        )
        return
    click.echo(
        f"{entry.offset}  {record['written_at']}  {record['operator']}  "
        f"{record['resource_kind']} {record['name']}  {tables.describe_change(entry)}"
    )
    differences = tables.compare_with_previous(entry)
    for line in tables.format_differences(differences, "before", "after"):
        click.echo(line)


class ConditionResult(NamedTuple):
    """Hold whether a condition is met and what was seen; ``failed`` ends the wait."""

    met: bool
    description: str
    failed: bool = False


Condition = Callable[[], ConditionResult]


@click.command(
    epilog=options.exit_codes(
        options.EXIT_REFUSED, options.EXIT_UNAVAILABLE, options.EXIT_TIMED_OUT
    )
)
@click.option(
    "--for",
    "condition",
    required=True,
    metavar="CONDITION",
    help="in-force[=REVISION], drained=SERVICE/INSTANCE, drained-vm=VM or record=ID.",
)
@click.option(
    "--timeout", type=float, default=60.0, show_default=True, metavar="SECONDS"
)
@options.optional_log_option
@options.entry_option
@options.keys_option
@options.pass_environment
def wait(
    environment: options.Environment,
    condition: str,
    timeout: float,
    log_url: str | None,
    entry_url: str | None,
    keys_file: pathlib.Path | None,
) -> None:
    """Wait until a condition is met.

    in-force: all VMs that the entry VM knows report this revision, by default the
    revision of the log. drained: the instance has no request and accepts none.
    drained-vm: the entry VM has left. record: the write with this record id is on
    the log; exit code 1 when it was refused.
    """
    deadline_s = _deadline(environment, timeout)
    keys = options.load_keys(keys_file)
    check = _make_condition(environment, condition, log_url, entry_url, keys)
    while True:
        result = check()
        if result.met:
            click.echo(result.description)
            return
        if result.failed:
            options.stop(options.EXIT_REFUSED, result.description)
        if environment.timing.clock() >= deadline_s:
            options.stop(
                options.EXIT_TIMED_OUT, f"not met in time: {result.description}"
            )
        environment.timing.sleep(POLL_INTERVAL_S)


def _deadline(environment: options.Environment, timeout: float | None) -> float:
    return environment.timing.clock() + (float("inf") if timeout is None else timeout)


def _make_condition(
    environment: options.Environment,
    text: str,
    log_url: str | None,
    entry_url: str | None,
    keys: resources.OperatorKeys,
) -> Condition:
    name, _, value = text.partition("=")
    if name == "record" and value:
        if not log_url:
            raise click.UsageError("--for record needs --log")
        return lambda: _check_record(environment, str(log_url), keys, value)
    if name not in ("in-force", "drained", "drained-vm"):
        raise click.UsageError(f"unknown condition {text!r}")
    if not entry_url:
        raise click.UsageError(f"--for {name} needs --entry")
    check_status = _make_status_check(environment, name, value, log_url, keys)

    def check() -> ConditionResult:
        observed = environment.fetch_status(str(entry_url))
        if isinstance(observed, resource_status.StatusUnavailable):
            return ConditionResult(False, f"{entry_url}: {observed.reason}")
        return check_status(observed.status)

    return check


def _make_status_check(
    environment: options.Environment,
    name: str,
    value: str,
    log_url: str | None,
    keys: resources.OperatorKeys,
) -> Callable[[resource_status.EntryStatus], ConditionResult]:
    if name == "in-force":
        revision = _expected_revision(environment, value, log_url, keys)
        return lambda status: _check_in_force(status, revision)
    spec = _parse_drained_value(name, value)
    if spec:
        return lambda status: _check_drained(status, spec)
    raise click.UsageError(f"condition {name!r} does not accept the value {value!r}")


def _parse_drained_value(name: str, value: str) -> dict[str, str]:
    if name == "drained-vm":
        return {"vm": value} if value else {}
    service, _, instance = value.partition("/")
    return {"service": service, "instance": instance} if service and instance else {}


def _check_drained(
    status: resource_status.EntryStatus, spec: dict[str, str]
) -> ConditionResult:
    progress = resource_status.drain_progress(status, spec)
    description = f"{'/'.join(spec.values())}: {progress}, as {status['vm']} reports"
    return ConditionResult(progress == "drained", description)


def _expected_revision(
    environment: options.Environment,
    value: str,
    log_url: str | None,
    keys: resources.OperatorKeys,
) -> int:
    if value:
        if not value.isdecimal():
            raise click.UsageError(f"{value!r} is not a revision")
        return int(value)
    if not log_url:
        raise click.UsageError("--for in-force without a revision needs --log")
    return options.read_configuration(environment, log_url, keys).state.revision


def _check_in_force(
    status: resource_status.EntryStatus, revision: int
) -> ConditionResult:
    lagging_vms = resource_status.lagging_vms(status, revision)
    if not lagging_vms:
        return ConditionResult(True, f"revision {revision} is in force on all VMs")
    names = ", ".join(f"{lag.vm} ({lag.reason})" for lag in lagging_vms)
    return ConditionResult(False, f"revision {revision}, lagging: {names}")


def _check_record(
    environment: options.Environment,
    log_url: str,
    keys: resources.OperatorKeys,
    record_id: str,
) -> ConditionResult:
    client = environment.open_log(log_url)
    try:
        current = resources.read_all(client, keys)
    finally:
        client.close()
    if isinstance(current, resources.StreamUnreadable):
        return ConditionResult(False, f"the log cannot be read: {current.reason}")
    for entry in current.entries:
        if entry.record.get("record_id") == record_id:
            if entry.accepted:
                return ConditionResult(True, f"accepted at revision {entry.offset}")
            return ConditionResult(False, f"refused: {entry.reason}", failed=True)
    return ConditionResult(False, f"record {record_id} is not on the log")
