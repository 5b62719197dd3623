"""Command that protects the configuration from the retention of the log."""

import pathlib

import click

from wasabivalve import platform_log
from wasabivalve.resources import publishing

from . import options


def add_to(group: click.Group) -> None:
    """Add the command to a group."""
    group.add_command(republish)


@click.command(
    epilog=options.exit_codes(options.EXIT_PENDING, options.EXIT_UNAVAILABLE)
)
@options.log_option
@options.operator_option
@options.key_file_option
@options.keys_option
@options.pass_environment
def republish(
    environment: options.Environment,
    log_url: str,
    operator: str | None,
    key_file: pathlib.Path | None,
    keys_file: pathlib.Path | None,
) -> None:
    """Append a signed snapshot of the configuration to the log.

    Run it more often than the log removes records. It changes no resource and no
    revision, and lets readers start from it when earlier records were removed.
    """
    author = options.load_author(environment, operator, key_file)
    keys = options.load_keys(keys_file, operator, key_file)
    current = options.read_configuration(environment, log_url, keys)
    client = environment.open_log(log_url)
    try:
        outcome = publishing.republish(
            client, current, author, timing=environment.timing
        )
    finally:
        client.close()
    if isinstance(outcome, platform_log.AppendFailed):
        options.stop(options.EXIT_UNAVAILABLE, f"nothing was written: {outcome.reason}")
    if isinstance(outcome, platform_log.AppendUnresolved):
        options.stop(options.EXIT_PENDING, f"pending (unknown): {outcome.reason}")
    offsets = outcome.offset_by_record_id.values()
    count = len(current.state.resource_by_key)
    click.echo(
        f"{count} resources of revision {current.state.revision} "
        f"republished at offsets {min(offsets)} to {max(offsets)}"
    )
