"""Print the verdicts on published changes and choose the exit code."""

from collections.abc import Sequence
from typing import Any

import click

from wasabivalve import resources
from wasabivalve.resources import publishing

from . import options, tables


def choose_exit_code(verdicts: Sequence[publishing.ChangeVerdict]) -> int:
    """Return the exit code; an unknown effect takes precedence over a refusal."""
    codes = [_exit_code_of(verdict) for verdict in verdicts]
    order = (
        options.EXIT_PENDING,
        options.EXIT_UNAVAILABLE,
        options.EXIT_CONFLICT,
        options.EXIT_REFUSED,
    )
    return next((code for code in order if code in codes), options.EXIT_DONE)


def print_verdicts(published: publishing.PublishResult, output: str) -> None:
    """Print the verdicts in the chosen output format."""
    if output == "json":
        revision = published.current.state.revision
        results = [make_verdict_document(verdict) for verdict in published.verdicts]
        options.print_json({"revision": revision, "results": results})
        return
    for verdict in published.verdicts:
        for line in format_verdict(verdict):
            click.echo(line)


def format_verdict(verdict: publishing.ChangeVerdict) -> list[str]:
    """Return the lines of text for a verdict."""
    title = f"{verdict.change.kind} {verdict.change.name}"
    if isinstance(verdict, publishing.Accepted):
        return [f"{title}: accepted at revision {verdict.revision}"]
    if isinstance(verdict, publishing.Unchanged):
        return [f"{title}: unchanged at revision {verdict.revision}"]
    if isinstance(verdict, publishing.Pending):
        return [
            f"{title}: pending (unknown): {verdict.reason}",
            f"  record {verdict.record_id}; to find out, run: "
            f"wasabivalve wait --for record={verdict.record_id}",
        ]
    refusal = [f"{title}: refused: {verdict.reason}"]
    return refusal + (_format_conflict(verdict.conflict) if verdict.conflict else [])


def make_verdict_document(verdict: publishing.ChangeVerdict) -> dict[str, Any]:
    """Return a verdict as a JSON object."""
    document: dict[str, Any] = {
        "kind": verdict.change.kind,
        "name": verdict.change.name,
        "outcome": type(verdict).__name__.lower(),
    }
    for member in ("revision", "record_id", "reason"):
        if hasattr(verdict, member):
            document[member] = getattr(verdict, member)
    if isinstance(verdict, publishing.Refused) and verdict.conflict:
        winner = verdict.conflict.winner
        document["conflict"] = {
            "winner": None
            if winner is None
            else tables.make_document(winner) | tables.make_audit_document(winner),
            "differences": [
                difference._asdict() for difference in verdict.conflict.differences
            ],
        }
    return document


def _exit_code_of(verdict: publishing.ChangeVerdict) -> int:
    if isinstance(verdict, publishing.Pending):
        return options.EXIT_PENDING
    if not isinstance(verdict, publishing.Refused):
        return options.EXIT_DONE
    if verdict.unavailable:
        return options.EXIT_UNAVAILABLE
    return options.EXIT_CONFLICT if verdict.conflict else options.EXIT_REFUSED


def _format_conflict(conflict: publishing.WriteConflict) -> list[str]:
    winner: resources.Resource | None = conflict.winner
    if winner is None:
        return ["  winner: the resource no longer exists"]
    title = f"  winner: {winner.operator} at {winner.written_at}"
    lines = tables.format_differences(conflict.differences, "yours", "theirs")
    return [
        f"{title}, revision {winner.revision}",
        *(lines or ["  no difference in the spec"]),
    ]
