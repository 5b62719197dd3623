"""Define the options, keys, exit codes and environment of operator commands."""

import datetime
import json
import pathlib
import time
import uuid
from collections.abc import Callable
from typing import Any, NamedTuple, NoReturn

import click
import urllib3

from wasabivalve import platform_log, resources

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_PENDING = 4
EXIT_UNAVAILABLE = 5
EXIT_TIMED_OUT = 6
TEXT_BY_EXIT_CODE = {
    EXIT_DONE: "done",
    EXIT_REFUSED: "findings, or refused",
    EXIT_USAGE: "invalid usage",
    EXIT_CONFLICT: "conflict with a write of another operator",
    EXIT_PENDING: "unknown whether a write took effect",
    EXIT_UNAVAILABLE: "the log or the entry VM is unavailable; nothing was written",
    EXIT_TIMED_OUT: "timed out",
}
KEY_HEX_DIGITS = 64


def _now_text() -> str:
    return datetime.datetime.now(tz=datetime.UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


class Environment(NamedTuple):
    """Hold the external dependencies of commands, which tests replace."""

    open_log: Callable[[str], Any] = platform_log.LogClient
    fetch_status: Callable[
        [str], resources.status.StatusReported | resources.status.StatusUnavailable
    ] = resources.status.fetch
    now_text: Callable[[], str] = _now_text
    now_s: Callable[[], float] = time.time
    new_record_id: Callable[[], str] = lambda: str(uuid.uuid4())
    timing: resources.publishing.AppendTiming = resources.publishing.AppendTiming()


pass_environment = click.make_pass_decorator(Environment, ensure=True)


def exit_codes(*codes: int) -> str:
    """Return the list of exit codes for the end of a command's help."""
    rows = (
        f"{code} {TEXT_BY_EXIT_CODE[code]}"
        for code in sorted({EXIT_DONE, EXIT_USAGE, *codes})
    )
    return f"Exit codes: {'; '.join(rows)}."


def _check_url(
    context: click.Context, parameter: click.Parameter, value: str | None
) -> str | None:
    if value is None:
        return None
    try:
        url = urllib3.util.parse_url(value)
    except urllib3.exceptions.LocationParseError as error:
        raise click.BadParameter(str(error)) from error
    if url.scheme not in ("http", "https") or not url.host:
        raise click.BadParameter(f"{value!r} is not an HTTP URL")
    return value


log_option = click.option(
    "--log",
    "log_url",
    envvar="WASABIVALVE_LOG",
    required=True,
    metavar="URL",
    callback=_check_url,
    help="Base URL of the log service [WASABIVALVE_LOG].",
)
optional_log_option = click.option(
    "--log",
    "log_url",
    envvar="WASABIVALVE_LOG",
    metavar="URL",
    callback=_check_url,
    help="Base URL of the log service [WASABIVALVE_LOG].",
)
entry_option = click.option(
    "--entry",
    "entry_url",
    envvar="WASABIVALVE_ENTRY",
    metavar="URL",
    callback=_check_url,
    help="Base URL of an entry VM, to add the observed state [WASABIVALVE_ENTRY].",
)
keys_option = click.option(
    "--keys",
    "keys_file",
    envvar="WASABIVALVE_KEYS",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="JSON file of all operators' keys, or a settings file that contains them; "
    "without it the signatures of other operators are not checked "
    "[WASABIVALVE_KEYS].",
)
output_option = click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="Output format.",
)
operator_option = click.option(
    "--operator",
    envvar="WASABIVALVE_OPERATOR",
    metavar="NAME",
    help="Operator that signs the write [WASABIVALVE_OPERATOR].",
)
key_file_option = click.option(
    "--key-file",
    envvar="WASABIVALVE_KEY_FILE",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="File with the operator's key, 64 hex digits [WASABIVALVE_KEY_FILE].",
)


def load_keys(
    keys_file: pathlib.Path | None,
    operator: str | None = None,
    key_file: pathlib.Path | None = None,
) -> resources.OperatorKeys:
    """Return the keys that verify signatures; raise click.UsageError."""
    key_by_operator = _read_keys(keys_file) if keys_file else {}
    if operator and key_file:
        key_by_operator.setdefault(operator, read_key(key_file))
    return resources.OperatorKeys(key_by_operator, complete=keys_file is not None)


def load_author(
    environment: Environment, operator: str | None, key_file: pathlib.Path | None
) -> resources.publishing.Author:
    """Return the author that signs writes; raise click.UsageError."""
    if not operator or not key_file:
        raise click.UsageError("a write requires --operator and --key-file")
    return resources.publishing.Author(
        operator, read_key(key_file), environment.new_record_id, environment.now_text
    )


def read_key(path: pathlib.Path) -> str:
    """Return the key in a file; raise click.UsageError."""
    try:
        text = path.read_text(encoding="ascii").strip()
    except (OSError, ValueError) as error:
        raise click.UsageError(f"cannot read the key file {path}: {error}") from error
    if not _is_hex_key(text):
        raise click.UsageError(
            f"{path} does not contain a key of 64 lowercase hex digits"
        )
    return text


def stop(code: int, message: str) -> NoReturn:
    """Print a message to standard error and exit."""
    click.echo(message, err=True)
    raise click.exceptions.Exit(code)


def print_json(document: Any) -> None:
    """Print a JSON document."""
    click.echo(json.dumps(document, indent=2, default=_to_plain_dict))


def read_configuration(
    environment: Environment, log_url: str, keys: resources.OperatorKeys
) -> resources.CurrentConfiguration:
    """Return the configuration on the log; exit when it cannot be read."""
    client = environment.open_log(log_url)
    try:
        current = resources.read_all(client, keys)
    finally:
        client.close()
    if isinstance(current, resources.StreamUnreadable):
        stop(EXIT_UNAVAILABLE, f"the log cannot be read: {current.reason}")
    return current


def _to_plain_dict(value: Any) -> Any:
    # Specs are read-only mappings, which the JSON encoder does not support.
    return dict(value)


def _is_hex_key(text: Any) -> bool:
    return (
        isinstance(text, str)
        and len(text) == KEY_HEX_DIGITS
        and set(text) <= set("0123456789abcdef")
    )


def _read_keys(path: pathlib.Path) -> dict[str, str]:
    try:
        document = json.loads(path.read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise click.UsageError(f"cannot read the keys file {path}: {error}") from error
    if isinstance(document, dict) and "operator_keys" in document:
        document = document["operator_keys"]
    if not isinstance(document, dict) or not all(map(_is_hex_key, document.values())):
        raise click.UsageError(
            f"{path} does not map operators to keys of 64 lowercase hex digits"
        )
    return document
