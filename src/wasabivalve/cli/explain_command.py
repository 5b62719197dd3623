"""Explain the outcome of one request from the log files of VMs."""

import pathlib
import re
import sys
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import click

EXIT_NOT_FOUND = 3

REQUEST_EVENTS = frozenset({"WV0410", "WV0411", "WV0412", "WV0413", "WV0420"})

CONTEXT_EVENTS = frozenset(
    {
        "WV0002",
        "WV0200",
        "WV0201",
        "WV0302",
        "WV0303",
        "WV0311",
        "WV0313",
        "WV0314",
        "WV0321",
        "WV0322",
        "WV0500",
    }
)
"""Events that change the state of a process; shown if they concern the request."""

MAX_CONTEXT_LINES = 12
"""Newest lines of context before the request; more would hide the cause."""

MEANING_BY_STEP = {
    "hopeless": "refused at once: the requests queued before it leave too little time",
    "link-busy": "refused: large responses occupy the link of this VM for too long",
    "no-room": "refused: no instance had free capacity before its wait time ended",
    "no-time": "refused: its remaining time was less than any instance needs",
    "key-lost": "refused at once: its key gets no holder before its wait time ends",
    "key-moving": "refused: its key had no holder before its wait time ended",
    "over-share": "refused at once: the holder of its key gets more than it can serve",
    "response-waits": "refused: its response had no room behind earlier ones",
    "no-memory": "refused at once: responses that callers do not read fill the memory",
    "no-budget": "not sent again: the retry budget of the service was used up",
    "not-run-421": "the instance did not hold the key, or was another one; not run",
    "other-instance": "another instance responds at that address",
    "not-run-503": "the instance was full and reported that it did not run it",
    "not-run-429": "the instance refused it and reported that it did not run it",
    "garbled": "the response was not the instance's complete response and was dropped",
    "no answer in time": "the instance sent no response before the timeout",
    "connection reset": "the connection broke; the request may have run",
    "connection closed": "the connection ended early; the request may have run",
    "connection timed out": "no connection could be opened; not run",
}

FIELD_PATTERN = re.compile(r"(\w+)=(.*?)(?=\s\w+=|$)")


class LogLine(NamedTuple):
    """Hold one log line with its event and fields."""

    file: str
    number: int
    event: str
    text: str
    value_by_field: dict[str, str]


def read_lines(file: str, texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of a log file; skip lines without an event number."""
    for number, text in enumerate(texts, start=1):
        event_match = re.search(r"\bWV\d{4}\b", text)
        if event_match:
            fields = dict(FIELD_PATTERN.findall(text[event_match.end() :]))
            yield LogLine(file, number, event_match.group(), text.rstrip(), fields)


def explain(lines: list[LogLine], request: str) -> list[str]:
    """Return the explanation of a request, empty if no line names it."""
    explanation: list[str] = []
    for index, line in enumerate(lines):
        if line.event not in REQUEST_EVENTS:
            continue
        if line.value_by_field.get("request") != request:
            continue
        steps = [
            step for step in line.value_by_field.get("trail", "").split(";") if step
        ]
        explanation += _select_context(lines[:index], line, steps)
        explanation.append(f"{line.file}:{line.number}: {line.text}")
        for step in steps:
            name = step.split(" expected=")[0]
            meaning = MEANING_BY_STEP.get(name)
            if meaning is None and name.isdigit():
                meaning = "status of the instance's response"
            explanation.append(f"    {step}: {meaning or 'sent to this instance'}")
    return explanation


def _select_context(
    earlier_lines: list[LogLine], line: LogLine, steps: list[str]
) -> list[str]:
    step_names = set(steps)
    context_lines: list[str] = []
    for earlier in reversed(earlier_lines):
        if earlier.file != line.file or earlier.event not in CONTEXT_EVENTS:
            continue
        instance = earlier.value_by_field.get("instance")
        if instance is None or instance in step_names:
            context_lines.append(f"{earlier.file}:{earlier.number}: {earlier.text}")
        if len(context_lines) >= MAX_CONTEXT_LINES:
            break
    return context_lines[::-1]


@click.command()
@click.argument("request")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
def explain_request(request: str, files: tuple[pathlib.Path, ...]) -> None:
    """Explain the outcome of a request; exit with 3 if no file names it."""
    lines: list[LogLine] = []
    for path in files:
        with path.open(errors="replace") as texts:
            lines += read_lines(str(path), texts)
    explanation = explain(lines, request)
    if not explanation:
        click.echo(f"no line names the request {request}", err=True)
        sys.exit(EXIT_NOT_FOUND)
    for text in explanation:
        click.echo(text)
