"""Commands that check and change the configuration."""

import hashlib
import pathlib
from collections.abc import Iterable

import click

from wasabivalve import outcomes, resources
from wasabivalve.resources import planning, publishing, validation

from . import options, tables, verdicts

# Resource names have at most 64 characters.
MAX_NAME_CHARS = 64
DIGEST_HEX_DIGITS = 16

FILES = click.argument(
    "files",
    nargs=-1,
    required=True,
    metavar="FILE...",
    type=click.Path(path_type=pathlib.Path),
)


def add_to(group: click.Group) -> None:
    """Add the commands to a group."""
    for command in (validate, apply, delete, drain):
        group.add_command(command)


@click.command(
    epilog=options.exit_codes(options.EXIT_REFUSED, options.EXIT_UNAVAILABLE)
)
@FILES
@options.optional_log_option
@options.keys_option
@options.output_option
@options.pass_environment
def validate(
    environment: options.Environment,
    files: tuple[pathlib.Path, ...],
    log_url: str | None,
    keys_file: pathlib.Path | None,
    output: str,
) -> None:
    """Check resource and settings files and report all findings.

    Resources are checked against each other, against the given settings files and,
    with --log, against the configuration on the log.
    """
    state = resources.EMPTY_CONFIGURATION
    if log_url:
        keys = options.load_keys(keys_file)
        state = options.read_configuration(environment, log_url, keys).state
    loaded = validation.read_files(files)
    findings = loaded.findings + resources.validate(loaded.documents, state)
    _print_findings(findings, output, len(loaded.documents), len(files))
    raise click.exceptions.Exit(options.EXIT_REFUSED if findings else options.EXIT_DONE)


@click.command(
    epilog=options.exit_codes(
        options.EXIT_REFUSED,
        options.EXIT_CONFLICT,
        options.EXIT_PENDING,
        options.EXIT_UNAVAILABLE,
    )
)
@FILES
@click.option("--dry-run", is_flag=True, help="Show the changes without writing.")
@options.log_option
@options.operator_option
@options.key_file_option
@options.keys_option
@options.output_option
@options.pass_environment
def apply(
    environment: options.Environment,
    files: tuple[pathlib.Path, ...],
    dry_run: bool,
    log_url: str,
    operator: str | None,
    key_file: pathlib.Path | None,
    keys_file: pathlib.Path | None,
    output: str,
) -> None:
    """Publish the resources in files to the log.

    A resource with a revision is written only if its revision has not changed.
    Settings files are used for checks and are not published.
    """
    if not dry_run:
        options.load_author(environment, operator, key_file)
    keys = options.load_keys(keys_file, operator, key_file)
    current = options.read_configuration(environment, log_url, keys)
    loaded = validation.read_files(files)
    findings = loaded.findings + resources.validate(loaded.documents, current.state)
    if findings:
        _print_findings(findings, output, len(loaded.documents), len(files))
        raise click.exceptions.Exit(options.EXIT_REFUSED)
    changes = [
        planning.ResourceChange(
            document.value["kind"],
            document.value["name"],
            document.value["spec"],
            document.value.get("revision"),
        )
        for document in loaded.documents
        if not document.is_settings
    ]
    if dry_run:
        _print_dry_run(changes, current.state, output)
        return
    author = options.load_author(environment, operator, key_file)
    _publish(environment, log_url, changes, current, author, keys, output)


@click.command(
    epilog=options.exit_codes(
        options.EXIT_REFUSED,
        options.EXIT_CONFLICT,
        options.EXIT_PENDING,
        options.EXIT_UNAVAILABLE,
    )
)
@click.argument("kind", type=click.Choice(resources.specs.KINDS))
@click.argument("name")
@click.option(
    "--revision", type=int, help="Delete only if the resource is at this revision."
)
@options.log_option
@options.operator_option
@options.key_file_option
@options.keys_option
@options.output_option
@options.pass_environment
def delete(
    environment: options.Environment,
    kind: str,
    name: str,
    revision: int | None,
    log_url: str,
    operator: str | None,
    key_file: pathlib.Path | None,
    keys_file: pathlib.Path | None,
    output: str,
) -> None:
    """Delete one resource."""
    author = options.load_author(environment, operator, key_file)
    keys = options.load_keys(keys_file, operator, key_file)
    current = options.read_configuration(environment, log_url, keys)
    if (kind, name) not in current.state.resource_by_key:
        options.stop(options.EXIT_REFUSED, f"{kind} {name!r} does not exist")
    change = planning.ResourceChange(kind, name, None, revision)
    _publish(environment, log_url, [change], current, author, keys, output)


@click.command(
    epilog=options.exit_codes(
        options.EXIT_REFUSED,
        options.EXIT_CONFLICT,
        options.EXIT_PENDING,
        options.EXIT_UNAVAILABLE,
    )
)
@click.option("--instance", metavar="SERVICE/INSTANCE", help="Instance to drain.")
@click.option("--vm", metavar="VM", help="Entry VM to drain.")
@click.option("--cancel", is_flag=True, help="Withdraw the drain order.")
@options.entry_option
@options.log_option
@options.operator_option
@options.key_file_option
@options.keys_option
@options.output_option
@options.pass_environment
def drain(
    environment: options.Environment,
    instance: str | None,
    vm: str | None,
    cancel: bool,
    entry_url: str | None,
    log_url: str,
    operator: str | None,
    key_file: pathlib.Path | None,
    keys_file: pathlib.Path | None,
    output: str,
) -> None:
    """Order the drain of an instance or an entry VM, or withdraw the order.

    With --entry, the VM to drain must be known to that entry VM.
    """
    spec = make_drain_spec(instance, vm)
    author = options.load_author(environment, operator, key_file)
    keys = options.load_keys(keys_file, operator, key_file)
    current = options.read_configuration(environment, log_url, keys)
    name = make_drain_name(spec)
    if cancel:
        change = planning.ResourceChange("drain_order", name, None)
        if change.key not in current.state.resource_by_key:
            options.stop(options.EXIT_REFUSED, f"no drain order {name!r} exists")
    else:
        change = planning.ResourceChange("drain_order", name, spec)
        _check_drain(environment, change, current.state, vm, entry_url, output)
    _publish(environment, log_url, [change], current, author, keys, output)


def make_drain_spec(instance: str | None, vm: str | None) -> dict[str, str]:
    """Return the spec of a drain order; raise click.UsageError for invalid options."""
    if (instance is None) == (vm is None):
        raise click.UsageError("expected exactly one of --instance and --vm")
    if vm is not None:
        return {"vm": vm}
    service, slash, name = str(instance).partition("/")
    if not slash or not service or not name:
        raise click.UsageError(f"{instance!r} is not of the form SERVICE/INSTANCE")
    return {"service": service, "instance": name}


def make_drain_name(spec: dict[str, str]) -> str:
    """Return the unique name of the drain order for this instance or VM."""
    if "vm" in spec:
        name = f"vm.{spec['vm']}"
    else:
        name = f"instance.{spec['service']}.{spec['instance']}"
    if len(name) <= MAX_NAME_CHARS:
        return name
    digest = hashlib.sha256(name.encode()).hexdigest()[:DIGEST_HEX_DIGITS]
    return f"{name[: MAX_NAME_CHARS - DIGEST_HEX_DIGITS - 1]}.{digest}".replace(
        "-.", "."
    )


def _check_drain(
    environment: options.Environment,
    change: planning.ResourceChange,
    state: resources.ConfigurationState,
    vm: str | None,
    entry_url: str | None,
    output: str,
) -> None:
    known_vms = None
    if vm is not None and entry_url:
        reported = environment.fetch_status(entry_url)
        if isinstance(reported, resources.status.StatusUnavailable):
            options.stop(options.EXIT_UNAVAILABLE, f"{entry_url}: {reported.reason}")
        known_vms = {reported.status["vm"], *reported.status["vms"]}
    elif vm is not None:
        click.echo(f"entry VM {vm!r} is not checked; give --entry to check", err=True)
    value = {"kind": change.kind, "name": change.name, "spec": change.spec}
    document = validation.SourceDocument("(command)", "$", value)
    findings = resources.validate([document], state, known_vms)
    if findings:
        _print_findings(findings, output, 1, 0)
        raise click.exceptions.Exit(options.EXIT_REFUSED)


def _print_findings(
    findings: Iterable[outcomes.Finding], output: str, documents: int, files: int
) -> None:
    findings = list(findings)
    if output == "json":
        options.print_json({"findings": [finding._asdict() for finding in findings]})
        return
    for finding in findings:
        click.echo(str(finding))
    if findings:
        click.echo(f"{len(findings)} finding{'s' if len(findings) > 1 else ''}")
    else:
        click.echo(f"{documents} documents in {files} files, no findings")


def _print_dry_run(
    changes: list[planning.ResourceChange],
    state: resources.ConfigurationState,
    output: str,
) -> None:
    changes = _order_changes(changes, state)
    changes_to_write, decided_verdicts = publishing.filter_changes(changes, state)
    published = publishing.PublishResult(
        decided_verdicts, resources.CurrentConfiguration(state)
    )
    planned = []
    for change in changes_to_write:
        resource = state.resource_by_key.get(change.key)
        differences = (
            publishing.conflict_of(change, state).differences if resource else ()
        )
        planned.append((change, "update" if resource else "create", differences))
    if output == "json":
        options.print_json(
            {
                "revision": state.revision,
                "would_write": [
                    {
                        "kind": change.kind,
                        "name": change.name,
                        "action": action,
                        "differences": [
                            difference._asdict() for difference in differences
                        ],
                    }
                    for change, action, differences in planned
                ],
                "results": [
                    verdicts.make_verdict_document(verdict)
                    for verdict in decided_verdicts
                ],
            }
        )
    else:
        for change, action, differences in planned:
            click.echo(f"{change.kind} {change.name}: would {action}")
            for line in tables.format_differences(differences, "new", "present"):
                click.echo(line)
        verdicts.print_verdicts(published, output)
    raise click.exceptions.Exit(verdicts.choose_exit_code(decided_verdicts))


def _order_changes(
    changes: list[planning.ResourceChange], state: resources.ConfigurationState
) -> list[planning.ResourceChange]:
    plan = planning.order_changes(changes, state)
    if isinstance(plan, planning.ChangePlan):
        return list(plan.changes)
    for (kind, name), problem in plan.problem_by_key.items():
        click.echo(f"{kind} {name}: {problem}", err=True)
    options.stop(
        options.EXIT_REFUSED,
        "no order of single writes keeps the configuration valid; "
        "write an intermediate step first. Nothing was written.",
    )


def _publish(
    environment: options.Environment,
    log_url: str,
    changes: list[planning.ResourceChange],
    current: resources.CurrentConfiguration,
    author: publishing.Author,
    keys: resources.OperatorKeys,
    output: str,
) -> None:
    changes = _order_changes(changes, current.state)
    client = environment.open_log(log_url)
    try:
        published = publishing.publish(
            client, changes, current, author, keys, timing=environment.timing
        )
    finally:
        client.close()
    verdicts.print_verdicts(published, output)
    raise click.exceptions.Exit(verdicts.choose_exit_code(published.verdicts))
