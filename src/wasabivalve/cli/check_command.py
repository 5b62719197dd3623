"""Command that checks a desired state before it is sent."""

import collections
import pathlib
from collections.abc import Sequence
from typing import Any

import click

from wasabivalve import outcomes
from wasabivalve.desired_state import consistency
from wasabivalve.desired_state import core as desired_state
from wasabivalve.platform import desired_state_check
from wasabivalve.platform import settings as platform_settings

from . import options, tables

FILE_TYPE = click.Path(path_type=pathlib.Path)


def add_to(group: click.Group) -> None:
    """Add the command to a group."""
    group.add_command(check_desired_state)


@click.command(epilog=options.exit_codes(options.EXIT_REFUSED))
@click.argument("file", metavar="FILE", type=FILE_TYPE)
@click.option(
    "--in-force",
    "in_force_file",
    type=FILE_TYPE,
    metavar="FILE",
    help="Desired state in force; show what differs from it.",
)
@click.option(
    "--settings",
    "settings_file",
    type=FILE_TYPE,
    metavar="FILE",
    help="Settings file of a VM, whose regions are those of the deployment.",
)
@click.option(
    "--region",
    "regions",
    multiple=True,
    metavar="REGION",
    help="Region of the deployment; repeatable.",
)
@options.output_option
def check_desired_state(
    file: pathlib.Path,
    in_force_file: pathlib.Path | None,
    settings_file: pathlib.Path | None,
    regions: tuple[str, ...],
    output: str,
) -> None:
    """Check a desired state before it is sent and report all findings.

    Findings are errors, for which VMs ignore the whole document, entries that never
    match, and contradictory limits. The regions of routes are checked with --settings
    or --region.
    """
    findings: list[desired_state_check.CategorizedFinding] = []
    known_regions = set(regions)
    if settings_file is not None:
        known_regions |= _read_regions(settings_file, findings)
    data = _read(file, findings)
    state = None
    if data is not None:
        checked = desired_state_check.check(data, str(file), known_regions or None)
        findings += checked.findings
        state = checked.state
    compared = None
    if in_force_file is not None:
        compared = _compare(file, data, in_force_file, findings)
    if output == "json":
        options.print_json(_make_document(findings, compared))
    else:
        _print_text(findings, state, compared)
    raise click.exceptions.Exit(options.EXIT_REFUSED if findings else options.EXIT_DONE)


def _compare(
    file: pathlib.Path,
    data: bytes | None,
    in_force_file: pathlib.Path,
    findings: list[desired_state_check.CategorizedFinding],
) -> desired_state_check.ComparedDocuments | None:
    in_force_data = _read(in_force_file, findings)
    if in_force_data is None:
        return None
    in_force = desired_state_check.check(in_force_data, str(in_force_file))
    # A document with errors is not in force; its other findings are not news.
    findings += [
        found for found in in_force.findings if found.category == consistency.ERROR
    ]
    if data is None:
        return None
    compared = desired_state_check.compare(data, in_force_data, str(file))
    if compared is not None:
        findings += compared.findings
    return compared


def _read(
    path: pathlib.Path, findings: list[desired_state_check.CategorizedFinding]
) -> bytes | None:
    try:
        return path.read_bytes()
    except OSError as error:
        _add_error(findings, outcomes.Finding(str(path), "$", str(error)))
        return None


def _read_regions(
    path: pathlib.Path, findings: list[desired_state_check.CategorizedFinding]
) -> set[str]:
    loaded = platform_settings.load(path)
    if isinstance(loaded, platform_settings.RejectedSettings):
        for finding in loaded.findings:
            _add_error(findings, finding)
        return set()
    return set(loaded.region_by_data_centre.values())


def _add_error(
    findings: list[desired_state_check.CategorizedFinding], finding: outcomes.Finding
) -> None:
    findings.append(desired_state_check.CategorizedFinding(consistency.ERROR, finding))


def _make_document(
    findings: Sequence[desired_state_check.CategorizedFinding],
    compared: desired_state_check.ComparedDocuments | None,
) -> dict[str, Any]:
    document: dict[str, Any] = {
        "findings": [
            {"category": category, **finding._asdict()}
            for category, finding in findings
        ]
    }
    if compared is not None:
        document["version"] = compared.version
        document["version_in_force"] = compared.version_in_force
        document["changes"] = [
            {
                **change._asdict(),
                "differences": [
                    {
                        "path": difference.path,
                        "new": difference.mine,
                        "in_force": difference.theirs,
                    }
                    for difference in change.differences
                ],
            }
            for change in compared.changes
        ]
    return document


def _print_text(
    findings: Sequence[desired_state_check.CategorizedFinding],
    state: desired_state.DesiredState | None,
    compared: desired_state_check.ComparedDocuments | None,
) -> None:
    for category, finding in findings:
        click.echo(f"{finding.file}: {finding.path}: {category}: {finding.problem}")
    click.echo(_summarize(findings, state))
    if compared is None:
        return
    click.echo(f"version {compared.version}, in force {compared.version_in_force}")
    for change in compared.changes:
        click.echo(f"{change.kind} {change.name}: would {change.action}")
        for line in tables.format_differences(change.differences, "new", "in force"):
            click.echo(line)
    if not compared.changes:
        click.echo("no differences from the version in force")


def _summarize(
    findings: Sequence[desired_state_check.CategorizedFinding],
    state: desired_state.DesiredState | None,
) -> str:
    if state is not None and not findings:
        routes, services = len(state.routes), len(state.service_by_name)
        return f"{routes} routes and {services} services, no findings"
    counts = collections.Counter(category for category, _ in findings)
    details = ", ".join(f"{category} {count}" for category, count in counts.items())
    return f"{len(findings)} finding{'s' if len(findings) > 1 else ''} ({details})"
