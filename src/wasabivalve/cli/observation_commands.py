"""Commands that show the configuration, its history and the observed state."""

import pathlib
from typing import Any

import click

from wasabivalve import resources

from . import options, tables

KIND = click.argument("kind", type=click.Choice(resources.specs.KINDS))
MAX_DESCRIBED_WRITES = 5


def add_to(group: click.Group) -> None:
    """Add the commands to a group."""
    for command in (get, describe, history):
        group.add_command(command)


@click.command(
    epilog=options.exit_codes(options.EXIT_REFUSED, options.EXIT_UNAVAILABLE)
)
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

    The JSON output can be edited and passed to apply, which then refuses to overwrite
    a later write of another operator.
    """
    keys = options.load_keys(keys_file)
    state = options.read_configuration(environment, log_url, keys).state
    selected = _select_resources(state, kind, name)
    status = fetch_observed_status(environment, entry_url)
    if output == "json":
        document: dict[str, Any] = {
            "revision": state.revision,
            "resources": [tables.make_document(resource) for resource in selected],
            "audit": [tables.make_audit_document(resource) for resource in selected],
        }
        if status:
            document["status"] = tables.make_status_document(status, state)
        options.print_json(document)
        return
    header = ["NAME", "REVISION", "OPERATOR", "WRITTEN AT", "SUMMARY"]
    rows = [
        [
            resource.name,
            str(resource.revision),
            resource.operator,
            resource.written_at,
            tables.summarize_spec(resource),
            *([tables.format_observed_state(resource, status)] if status else []),
        ]
        for resource in selected
    ]
    click.echo(tables.format_table(header + (["STATUS"] if status else []), rows))
    for line in tables.format_status(status, state) if status else []:
        click.echo(line)


@click.command(
    epilog=options.exit_codes(options.EXIT_REFUSED, options.EXIT_UNAVAILABLE)
)
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
    """Show one resource: its spec, its latest writes and the observed state."""
    keys = options.load_keys(keys_file)
    current = options.read_configuration(environment, log_url, keys)
    (resource,) = _select_resources(current.state, kind, name)
    status = fetch_observed_status(environment, entry_url)
    entries = _select_entries(current, kind, name)
    if output == "json":
        document = tables.make_document(resource) | tables.make_audit_document(resource)
        document["writes"] = [_make_entry_document(entry) for entry in entries]
        if status:
            document["status"] = tables.make_status_document(status, current.state)
            document["in_force"] = tables.format_observed_state(resource, status)
        options.print_json(document)
        return
    click.echo(f"{resource.kind} {resource.name}")
    click.echo(
        f"revision {resource.revision}, written by {resource.operator} ", nl=False
    )
    click.echo(f"at {resource.written_at}, record {resource.record_id}")
    click.echo("spec:")
    for member, value in sorted(resource.spec.items()):
        for line in _format_member(member, value):
            click.echo(f"  {line}")
    click.echo("writes:")
    for line in _format_entries(entries[-MAX_DESCRIBED_WRITES:]).splitlines():
        click.echo(f"  {line}")
    if status:
        click.echo(f"status: {tables.format_observed_state(resource, status)}")
        for line in tables.format_status(status, current.state):
            click.echo(line)


@click.command(
    epilog=options.exit_codes(options.EXIT_REFUSED, options.EXIT_UNAVAILABLE)
)
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
    """Show all writes of one resource, also refused ones, and their differences."""
    keys = options.load_keys(keys_file)
    current = options.read_configuration(environment, log_url, keys)
    entries = _select_entries(current, kind, name)
    if not entries:
        options.stop(
            options.EXIT_REFUSED, f"the log contains no write of {kind} {name!r}"
        )
    if output == "json":
        options.print_json(
            {
                "first_offset": current.first_offset,
                "writes": [_make_entry_document(entry) for entry in entries],
            }
        )
        return
    click.echo(_format_entries(entries))
    for entry in entries:
        differences = tables.compare_with_previous(entry) if entry.accepted else ()
        if differences:
            click.echo(f"at {entry.offset}:")
        for line in tables.format_differences(differences, "before", "after"):
            click.echo(line)
    if current.first_offset:
        click.echo(f"records before offset {current.first_offset} were removed")


def fetch_observed_status(
    environment: options.Environment, entry_url: str | None
) -> resources.status.EntryStatus | None:
    """Return the status of an entry VM, or None without a URL.

    Exit when the entry VM is unavailable.
    """
    if not entry_url:
        return None
    observed = environment.fetch_status(entry_url)
    if isinstance(observed, resources.status.StatusUnavailable):
        options.stop(options.EXIT_UNAVAILABLE, f"{entry_url}: {observed.reason}")
    return observed.status


def _select_resources(
    state: resources.ConfigurationState, kind: str, name: str | None
) -> list[resources.Resource]:
    selected = [
        resource
        for key, resource in sorted(state.resource_by_key.items())
        if key[0] == kind and name in (None, key[1])
    ]
    if name is not None and not selected:
        options.stop(options.EXIT_REFUSED, f"{kind} {name!r} does not exist")
    return selected


def _select_entries(
    current: resources.CurrentConfiguration, kind: str, name: str
) -> list[resources.reading.StreamEntry]:
    return [
        entry
        for entry in current.entries
        if entry.record.get("kind") == "resource_write"
        and entry.record.get("resource_kind") == kind
        and entry.record.get("name") == name
    ]


def _format_entries(entries: list[resources.reading.StreamEntry]) -> str:
    rows = [
        [
            str(entry.offset),
            str(entry.record.get("written_at")),
            str(entry.record.get("operator")),
            str(entry.record.get("expected_revision")),
            tables.describe_change(entry)
            if entry.accepted
            else f"refused: {entry.reason}",
        ]
        for entry in entries
    ]
    return tables.format_table(
        ["OFFSET", "WRITTEN AT", "OPERATOR", "EXPECTED", "EFFECT"], rows
    )


def _make_entry_document(entry: resources.reading.StreamEntry) -> dict[str, Any]:
    return {
        "offset": entry.offset,
        "accepted": entry.accepted,
        "reason": entry.reason,
        "record": dict(entry.record),
        "differences": [
            {
                "path": difference.path,
                "before": difference.mine,
                "after": difference.theirs,
            }
            for difference in (
                tables.compare_with_previous(entry) if entry.accepted else ()
            )
        ],
    }


def _format_member(member: str, value: Any) -> list[str]:
    if not isinstance(value, list) or not value:
        return [f"{member}: {tables.format_value(value)}"]
    return [f"{member}:", *(f"  {tables.format_value(item)}" for item in value)]
