"""Explain one request from the log files of VMs."""

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
"""Events that change what a process believes; shown if they concern the request."""

CONTEXT_LINES = 12
"""Lines of context before the request, the newest; more hide the cause."""

MEANING_BY_STEP = {
    "hopeless": "refused at once: the requests ahead of it leave it too little time",
    "no-room": "refused: no instance had room until its time to wait was over",
    "no-time": "refused: less time was left than any instance needs",
    "key-lost": "refused at once: the holder of its key is gone for longer than it had",
    "key-moving": "refused: its key had no holder until its time to wait was over",
    "over-share": "refused at once: the holder of its key gets more than it can serve",
    "no-budget": "not sent again: the budget of repeats of the service was used up",
    "not-run-421": "the instance did not hold the key, or was another one; not run",
    "other-instance": "another instance answers at that address",
    "not-run-503": "the instance was full and said that it did not run it",
    "not-run-429": "the instance refused it and said that it did not run it",
    "garbled": "the answer was not the instance's whole answer and was dropped",
    "no answer in time": "the instance was silent until the time was over",
    "connection reset": "the connection broke; the request may have run",
    "connection closed": "the connection ended early; the request may have run",
    "connection timed out": "no connection could be opened; not run",
}

FIELD = re.compile(r"(\w+)=(.*?)(?=\s\w+=|$)")


class Line(NamedTuple):
    """Hold one log line."""

    file: str
    number: int
    event: str
    text: str
    value_by_field: dict[str, str]


def read_lines(file: str, texts: Iterable[str]) -> Iterator[Line]:
    """Return the events of a log file; other lines are passed over."""
    for number, text in enumerate(texts, start=1):
        found = re.search(r"\bWV\d{4}\b", text)
        if found:
            fields = dict(FIELD.findall(text[found.end() :]))
            yield Line(file, number, found.group(), text.rstrip(), fields)


def explain(lines: list[Line], request: str) -> list[str]:
    """Return the story of a request, or nothing if no line names it."""
    story: list[str] = []
    for index, line in enumerate(lines):
        if line.event not in REQUEST_EVENTS:
            continue
        if line.value_by_field.get("request") != request:
            continue
        trail = [
            step for step in line.value_by_field.get("trail", "").split(";") if step
        ]
        story += _context(lines[:index], line, trail)
        story.append(f"{line.file}:{line.number}: {line.text}")
        for step in trail:
            name = step.split(" expected=")[0]
            meaning = MEANING_BY_STEP.get(name)
            if meaning is None and name.isdigit():
                meaning = "status of the instance's answer"
            story.append(f"    {step}: {meaning or 'sent to this instance'}")
    return story


def _context(before: list[Line], line: Line, trail: list[str]) -> list[str]:
    names = set(trail)
    chosen: list[str] = []
    for other in reversed(before):
        if other.file != line.file or other.event not in CONTEXT_EVENTS:
            continue
        instance = other.value_by_field.get("instance")
        if instance is None or instance in names:
            chosen.append(f"{other.file}:{other.number}: {other.text}")
        if len(chosen) >= CONTEXT_LINES:
            break
    return chosen[::-1]


@click.command()
@click.argument("request")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
def explain_request(request: str, files: tuple[pathlib.Path, ...]) -> None:
    """Show what became of a request; exit with 3 if no file names it."""
    lines: list[Line] = []
    for path in files:
        with path.open(errors="replace") as texts:
            lines += read_lines(str(path), texts)
    story = explain(lines, request)
    if not story:
        click.echo(f"no line names the request {request}", err=True)
        sys.exit(EXIT_NOT_FOUND)
    for text in story:
        click.echo(text)
