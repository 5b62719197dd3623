"""Show the verdicts on published changes and choose the exit code."""

from collections.abc import Sequence
from typing import Any

import click

from wasabivalve import resources
from wasabivalve.resources import publishing

from . import options, tables


def exit_code(verdicts: Sequence[publishing.ChangeVerdict]) -> int:
    """Return the exit code; an unknown effect weighs more than a refusal."""
    codes = [_code(verdict) for verdict in verdicts]
    order = (options.PENDING, options.UNAVAILABLE, options.CONFLICT, options.REFUSED)
    return next((code for code in order if code in codes), options.DONE)


def show(published: publishing.PublishResult, output: str) -> None:
    """Print the verdicts."""
    if output == "json":
        revision = published.current.state.revision
        results = [as_document(verdict) for verdict in published.verdicts]
        options.echo_json({"revision": revision, "results": results})
        return
    for verdict in published.verdicts:
        for line in lines(verdict):
            click.echo(line)


def lines(verdict: publishing.ChangeVerdict) -> list[str]:
    """Return the text of a verdict."""
    title = f"{verdict.change.kind} {verdict.change.name}"
    if isinstance(verdict, publishing.Accepted):
        return [f"{title}: accepted at revision {verdict.revision}"]
    if isinstance(verdict, publishing.Unchanged):
        return [f"{title}: unchanged at revision {verdict.revision}"]
    if isinstance(verdict, publishing.Pending):
        return [
            f"{title}: pending (unknown): {verdict.reason}",
            f"  record {verdict.record_id}; find out with: "
            f"wasabivalve wait --for record={verdict.record_id}",
        ]
    found = [f"{title}: refused: {verdict.reason}"]
    return found + (_conflict_lines(verdict.conflict) if verdict.conflict else [])


def as_document(verdict: publishing.ChangeVerdict) -> dict[str, Any]:
    """Return a verdict as a JSON object."""
    found: dict[str, Any] = {
        "kind": verdict.change.kind,
        "name": verdict.change.name,
        "outcome": type(verdict).__name__.lower(),
    }
    for member in ("revision", "record_id", "reason"):
        if hasattr(verdict, member):
            found[member] = getattr(verdict, member)
    if isinstance(verdict, publishing.Refused) and verdict.conflict:
        winner = verdict.conflict.winner
        found["conflict"] = {
            "winner": None
            if winner is None
            else tables.document(winner) | tables.audit_document(winner),
            "differences": [row._asdict() for row in verdict.conflict.differences],
        }
    return found


def _code(verdict: publishing.ChangeVerdict) -> int:
    if isinstance(verdict, publishing.Pending):
        return options.PENDING
    if not isinstance(verdict, publishing.Refused):
        return options.DONE
    if verdict.unavailable:
        return options.UNAVAILABLE
    return options.CONFLICT if verdict.conflict else options.REFUSED


def _conflict_lines(conflict: publishing.WriteConflict) -> list[str]:
    winner: resources.Resource | None = conflict.winner
    if winner is None:
        return ["  winner: the resource does not exist any more"]
    title = f"  winner: {winner.operator} at {winner.written_at}"
    found = tables.difference_lines(conflict.differences, "yours", "theirs")
    return [
        f"{title}, revision {winner.revision}",
        *(found or ["  no difference in the spec"]),
    ]
