"""Commands that report service levels."""

import pathlib
from typing import Any

import click

from wasabivalve import burn, platform_log, resources, settings

from . import options


def add_to(group: click.Group) -> None:
    """Add the commands to a group."""
    group.add_command(report)


@click.group()
def report() -> None:
    """Report service levels."""


@report.command(
    "burn", epilog=options.exit_codes(options.EXIT_REFUSED, options.EXIT_UNAVAILABLE)
)
@options.log_option
@options.keys_option
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Settings file whose VMs are expected to report.",
)
@click.option(
    "--vm",
    "vms",
    multiple=True,
    metavar="VM",
    help="VM expected to report; repeatable.",
)
@click.option("--stream", default=burn.STREAM, show_default=True)
@click.option(
    "--output",
    type=click.Choice(["table", "json", "html"]),
    default="table",
    show_default=True,
    help="Output format of the report.",
)
@options.pass_environment
def report_burn(
    environment: options.Environment,
    log_url: str,
    keys_file: pathlib.Path | None,
    settings_file: pathlib.Path | None,
    vms: tuple[str, ...],
    stream: str,
    output: str,
) -> None:
    """Report the error-budget burn of each service and rank.

    Burn rates cover 5 min, 1 h, 6 h and 3 d. Intervals that expected VMs did not
    report to the log are shown as missing.
    """
    expected = {*vms, *(_read_expected_vms(settings_file) if settings_file else ())}
    if not expected:
        raise click.UsageError("name the expected VMs with --settings or --vm")
    keys = options.load_keys(keys_file)
    state = options.read_configuration(environment, log_url, keys).state
    objectives = burn.list_objectives(resources.view.build(state))
    client = environment.open_log(log_url)
    try:
        summaries = _read_summaries(client, stream)
    finally:
        client.close()
    burn_report = burn.build_report(
        summaries, objectives, environment.now_s(), expected
    )
    render = {
        "table": burn.render_table,
        "json": burn.render_json,
        "html": burn.render_html,
    }[output]
    click.echo(render(burn_report), nl=False)


def _read_expected_vms(path: pathlib.Path) -> set[str]:
    loaded = settings.load(path)
    if isinstance(loaded, settings.InvalidSettings):
        message = "\n".join(str(finding) for finding in loaded.findings)
        options.stop(options.EXIT_REFUSED, message)
    document = loaded.settings
    return {document["vm"], *(peer["vm"] for peer in document["peers"])}


def _read_summaries(client: Any, stream: str) -> list[dict[str, Any]]:
    summaries: list[dict[str, Any]] = []
    offset = 0
    while True:
        batch = client.read(stream, offset)
        if isinstance(batch, platform_log.LogUnavailable):
            options.stop(
                options.EXIT_UNAVAILABLE, f"the log cannot be read: {batch.reason}"
            )
        if isinstance(batch, platform_log.Gap):
            # Summaries that retention removed are reported as missing intervals.
            offset = batch.oldest_offset
            continue
        if not batch.records:
            return summaries
        summaries += [record for _, record in batch.records]
        offset = batch.next_offset
