"""Commands that show the configuration, its history and the observed state."""

import pathlib
from typing import Any

import click

from wasabivalve import resources

from . import options, tables

KIND = click.argument("kind", type=click.Choice(resources.specs.KINDS))
HISTORY_SHOWN = 5


def add_to(group: click.Group) -> None:
    """Add the commands to a group."""
    for command in (get, describe, history):
        group.add_command(command)


@click.command(epilog=options.exit_codes(options.REFUSED, options.UNAVAILABLE))
@KIND
@click.argument("name", required=False)
@options.log_option
@options.entry_option
@options.keys_option
@options.output_option
@options.pass_environment
def get(
    environment: options.Environment,
    kind: str,
    name: str | None,
    log_url: str,
    entry_url: str | None,
    keys_file: pathlib.Path | None,
    output: str,
) -> None:
    """List the resources of a kind, or show one.

    The JSON output can be edited and given to apply, which then refuses to overwrite
    a later write of somebody else.
    """
    keys = options.load_keys(keys_file)
    state = options.read_configuration(environment, log_url, keys).state
    found = _select(state, kind, name)
    status = observe(environment, entry_url)
    if output == "json":
        document: dict[str, Any] = {
            "revision": state.revision,
            "resources": [tables.document(row) for row in found],
            "audit": [tables.audit_document(row) for row in found],
        }
        if status:
            document["status"] = tables.status_document(status, state)
        options.echo_json(document)
        return
    header = ["NAME", "REVISION", "OPERATOR", "WRITTEN AT", "SUMMARY"]
    rows = [
        [
            row.name,
            str(row.revision),
            row.operator,
            row.written_at,
            tables.summary(row),
            *([tables.observed_text(row, status)] if status else []),
        ]
        for row in found
    ]
    click.echo(tables.text(header + (["STATUS"] if status else []), rows))
    for line in tables.status_lines(status, state) if status else []:
        click.echo(line)


@click.command(epilog=options.exit_codes(options.REFUSED, options.UNAVAILABLE))
@KIND
@click.argument("name")
@options.log_option
@options.entry_option
@options.keys_option
@options.output_option
@options.pass_environment
def describe(
    environment: options.Environment,
    kind: str,
    name: str,
    log_url: str,
    entry_url: str | None,
    keys_file: pathlib.Path | None,
    output: str,
) -> None:
    """Show one resource with its spec, its last writes and the observed state."""
    keys = options.load_keys(keys_file)
    current = options.read_configuration(environment, log_url, keys)
    (resource,) = _select(current.state, kind, name)
    status = observe(environment, entry_url)
    entries = _entries_of(current, kind, name)
    if output == "json":
        document = tables.document(resource) | tables.audit_document(resource)
        document["writes"] = [_entry_document(entry) for entry in entries]
        if status:
            document["status"] = tables.status_document(status, current.state)
            document["in_force"] = tables.observed_text(resource, status)
        options.echo_json(document)
        return
    click.echo(f"{resource.kind} {resource.name}")
    click.echo(
        f"revision {resource.revision}, written by {resource.operator} ", nl=False
    )
    click.echo(f"at {resource.written_at}, record {resource.record_id}")
    click.echo("spec:")
    for member, value in sorted(resource.spec.items()):
        for line in _member_lines(member, value):
            click.echo(f"  {line}")
    click.echo("writes:")
    for line in _entry_table(entries[-HISTORY_SHOWN:]).splitlines():
        click.echo(f"  {line}")
    if status:
        click.echo(f"status: {tables.observed_text(resource, status)}")
        for line in tables.status_lines(status, current.state):
            click.echo(line)


@click.command(epilog=options.exit_codes(options.REFUSED, options.UNAVAILABLE))
@KIND
@click.argument("name")
@options.log_option
@options.keys_option
@options.output_option
@options.pass_environment
def history(
    environment: options.Environment,
    kind: str,
    name: str,
    log_url: str,
    keys_file: pathlib.Path | None,
    output: str,
) -> None:
    """Show all writes of one resource, also refused ones, with their differences."""
    keys = options.load_keys(keys_file)
    current = options.read_configuration(environment, log_url, keys)
    entries = _entries_of(current, kind, name)
    if not entries:
        options.stop(options.REFUSED, f"the log holds no write of {kind} {name!r}")
    if output == "json":
        options.echo_json(
            {
                "first_offset": current.first_offset,
                "writes": [_entry_document(entry) for entry in entries],
            }
        )
        return
    click.echo(_entry_table(entries))
    for entry in entries:
        found = tables.change_differences(entry) if entry.accepted else ()
        if found:
            click.echo(f"at {entry.offset}:")
        for line in tables.difference_lines(found, "before", "after"):
            click.echo(line)
    if current.first_offset:
        click.echo(f"records before offset {current.first_offset} were removed")


def observe(
    environment: options.Environment, entry_url: str | None
) -> resources.status.EntryStatus | None:
    """Return the status of an entry VM, None without a URL, or exit."""
    if not entry_url:
        return None
    observed = environment.fetch_status(entry_url)
    if isinstance(observed, resources.status.StatusUnavailable):
        options.stop(options.UNAVAILABLE, f"{entry_url}: {observed.reason}")
    return observed.status


def _select(
    state: resources.ConfigurationState, kind: str, name: str | None
) -> list[resources.Resource]:
    found = [
        row
        for key, row in sorted(state.resource_by_key.items())
        if key[0] == kind and name in (None, key[1])
    ]
    if name is not None and not found:
        options.stop(options.REFUSED, f"{kind} {name!r} does not exist")
    return found


def _entries_of(
    current: resources.CurrentConfiguration, kind: str, name: str
) -> list[resources.reading.StreamEntry]:
    return [
        entry
        for entry in current.entries
        if entry.record.get("kind") == "resource_write"
        and entry.record.get("resource_kind") == kind
        and entry.record.get("name") == name
    ]


def _entry_table(entries: list[resources.reading.StreamEntry]) -> str:
    rows = [
        [
            str(entry.offset),
            str(entry.record.get("written_at")),
            str(entry.record.get("operator")),
            str(entry.record.get("expected_revision")),
            tables.change_text(entry) if entry.accepted else f"refused: {entry.reason}",
        ]
        for entry in entries
    ]
    return tables.text(["OFFSET", "WRITTEN AT", "OPERATOR", "EXPECTED", "EFFECT"], rows)


def _entry_document(entry: resources.reading.StreamEntry) -> dict[str, Any]:
    return {
        "offset": entry.offset,
        "accepted": entry.accepted,
        "reason": entry.reason,
        "record": dict(entry.record),
        "differences": [
            {"path": row.path, "before": row.mine, "after": row.theirs}
            for row in (tables.change_differences(entry) if entry.accepted else ())
        ],
    }


def _member_lines(member: str, value: Any) -> list[str]:
    if not isinstance(value, list) or not value:
        return [f"{member}: {tables.value_text(value)}"]
    return [f"{member}:", *(f"  {tables.value_text(item)}" for item in value)]
