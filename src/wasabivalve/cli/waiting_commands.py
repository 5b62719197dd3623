"""Commands that follow the configuration and wait for a condition."""

import pathlib
from collections.abc import Callable
from typing import NamedTuple

import click

from wasabivalve import resources
from wasabivalve.resources import status as resource_status

from . import options, tables

POLL_S = 0.25
RETRY_S = 1.0
WATCH_WAIT_MS = 1_000.0


def add_to(group: click.Group) -> None:
    """Add the commands to a group."""
    for command in (watch, wait):
        group.add_command(command)


@click.command(
    epilog=options.exit_codes(options.UNAVAILABLE, options.TIMED_OUT),
)
@click.argument("kind", required=False, type=click.Choice(resources.specs.KINDS))
@click.option("--changes", type=click.IntRange(1), help="End after so many changes.")
@click.option("--timeout", type=float, metavar="SECONDS", help="End after this time.")
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
    """Print each change as the log accepts it, until interrupted.

    With --entry, also print when VMs begin or cease to lag.
    """
    keys = options.load_keys(keys_file)
    ends_at = _ends_at(environment, timeout)
    client = environment.open_log(log_url)
    try:
        current = resources.read_all(client, keys)
        if isinstance(current, resources.StreamUnreadable):
            options.stop(
                options.UNAVAILABLE, f"the log cannot be read: {current.reason}"
            )
        follower = _Follower(environment, client, keys, current, entry_url)
        shown = 0
        while changes is None or shown < changes:
            if environment.timing.clock() >= ends_at:
                code = options.DONE if changes is None else options.TIMED_OUT
                raise click.exceptions.Exit(code)
            for entry in follower.next_entries(kind):
                _show_change(entry, output)
                shown += 1
            follower.show_lag(output)
    finally:
        client.close()


class _Follower:
    """Hold the position in the stream and the lag that was shown last."""

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
        self._shown_lag: list[str] = []

    def next_entries(self, kind: str | None) -> list[resources.reading.StreamEntry]:
        """Return the changes since the last call; wait a while for one."""
        after = resources.read_to_end(
            self._client,
            self._current,
            self._keys,
            wait_ms=WATCH_WAIT_MS,
            keep_entries=False,
        )
        if isinstance(after, resources.StreamUnreadable):
            click.echo(f"the log cannot be read: {after.reason}", err=True)
            self._environment.timing.sleep(RETRY_S)
            return []
        self._current = after
        return [
            entry
            for entry in after.entries
            if entry.accepted and kind in (None, entry.record["resource_kind"])
        ]

    def show_lag(self, output: str) -> None:
        """Print the status lines when they differ from those shown last."""
        if self._entry_url is None:
            return
        observed = self._environment.fetch_status(self._entry_url)
        if isinstance(observed, resource_status.StatusUnavailable):
            lines = [f"{self._entry_url}: {observed.reason}"]
        else:
            state = self._current.state
            lags = resource_status.lagging_vms(observed.status, state.revision)
            # The age of a report grows all the time, so that only names are compared.
            lines = [
                f"revision {state.revision}: "
                + (f"lagging: {', '.join(lag.vm for lag in lags)}" if lags else "")
                + ("" if lags else "in force on all VMs")
            ]
        if lines != self._shown_lag:
            self._shown_lag = lines
            for line in lines:
                click.echo(line, err=output == "json")


def _show_change(entry: resources.reading.StreamEntry, output: str) -> None:
    record = entry.record
    if output == "json":
        options.echo_json(
            {
                "offset": entry.offset,
                "change": tables.change_text(entry),
                "record": dict(record),
            }
        )
        return
    click.echo(
        f"{entry.offset}  {record['written_at']}  {record['operator']}  "
        f"{record['resource_kind']} {record['name']}  {tables.change_text(entry)}"
    )
    found = tables.change_differences(entry)
    for line in tables.difference_lines(found, "before", "after"):
        click.echo(line)


class Check(NamedTuple):
    """Hold whether a condition is met, and what was seen; ``failed`` is final."""

    met: bool
    seen: str
    failed: bool = False


Condition = Callable[[], Check]


@click.command(
    epilog=options.exit_codes(options.REFUSED, options.UNAVAILABLE, options.TIMED_OUT)
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
    """Wait until a condition holds.

    in-force: all VMs that the entry VM knows report this revision, by default the
    revision of the log. drained: the instance has no request and takes none.
    drained-vm: the entry VM has left. record: the write with this record id is on
    the log; exit code 1 when it was refused.
    """
    ends_at = _ends_at(environment, timeout)
    keys = options.load_keys(keys_file)
    check = _condition(environment, condition, log_url, entry_url, keys)
    while True:
        result = check()
        if result.met:
            click.echo(result.seen)
            return
        if result.failed:
            options.stop(options.REFUSED, result.seen)
        if environment.timing.clock() >= ends_at:
            options.stop(options.TIMED_OUT, f"not met in time: {result.seen}")
        environment.timing.sleep(POLL_S)


def _ends_at(environment: options.Environment, timeout: float | None) -> float:
    return environment.timing.clock() + (float("inf") if timeout is None else timeout)


def _condition(
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
    judge = _judge(environment, name, value, log_url, keys)

    def check() -> Check:
        observed = environment.fetch_status(str(entry_url))
        if isinstance(observed, resource_status.StatusUnavailable):
            return Check(False, f"{entry_url}: {observed.reason}")
        return judge(observed.status)

    return check


def _judge(
    environment: options.Environment,
    name: str,
    value: str,
    log_url: str | None,
    keys: resources.OperatorKeys,
) -> Callable[[resource_status.EntryStatus], Check]:
    if name == "in-force":
        revision = _revision(environment, value, log_url, keys)
        return lambda status: _check_in_force(status, revision)
    spec = _drain_spec(name, value)
    if spec:
        return lambda status: _check_drained(status, spec)
    raise click.UsageError(f"condition {name!r} does not take the value {value!r}")


def _drain_spec(name: str, value: str) -> dict[str, str]:
    if name == "drained-vm":
        return {"vm": value} if value else {}
    service, _, instance = value.partition("/")
    return {"service": service, "instance": instance} if service and instance else {}


def _check_drained(status: resource_status.EntryStatus, spec: dict[str, str]) -> Check:
    progress = resource_status.drain_progress(status, spec)
    seen = f"{'/'.join(spec.values())}: {progress}, as {status['vm']} reports"
    return Check(progress == "drained", seen)


def _revision(
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


def _check_in_force(status: resource_status.EntryStatus, revision: int) -> Check:
    lags = resource_status.lagging_vms(status, revision)
    if not lags:
        return Check(True, f"revision {revision} is in force on all VMs")
    names = ", ".join(f"{lag.vm} ({lag.reason})" for lag in lags)
    return Check(False, f"revision {revision}, lagging: {names}")


def _check_record(
    environment: options.Environment,
    log_url: str,
    keys: resources.OperatorKeys,
    record_id: str,
) -> Check:
    client = environment.open_log(log_url)
    try:
        current = resources.read_all(client, keys)
    finally:
        client.close()
    if isinstance(current, resources.StreamUnreadable):
        return Check(False, f"the log cannot be read: {current.reason}")
    for entry in current.entries:
        if entry.record.get("record_id") == record_id:
            if entry.accepted:
                return Check(True, f"accepted at revision {entry.offset}")
            return Check(False, f"refused: {entry.reason}", failed=True)
    return Check(False, f"record {record_id} is not on the log")
