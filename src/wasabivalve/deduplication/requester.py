"""Combine the replies of the two record holders for the requesting VM."""

import dataclasses
from collections.abc import Sequence

from wasabivalve import outcomes
from wasabivalve.schema import messages_generated

from . import core

NOT_RESERVED = "not_reserved"
NO_HOLDER_ANSWERED = "no_holder_answered"
IN_PROGRESS = "in_progress"
MAY_HAVE_RUN = "may_have_run"


@dataclasses.dataclass(frozen=True, slots=True)
class Proceed:
    """Run the request; both holders reserved its key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Give the outcome to the caller without a run.

    ``record`` goes to both holders as the answer of this attempt; it releases a
    reservation that only one of them made.
    """

    outcome: outcomes.Outcome
    record: messages_generated.RecordedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Refuse the request; its key was used with another body."""

    record: messages_generated.RecordedAnswer


def reservation_outcome(
    replies: Sequence[messages_generated.ReserveReply | None],
) -> Proceed | Answered | Conflict:
    """Combine the replies of two holders, None for one that did not reply.

    The caller is told "not run" only when one holder reserved the key, since
    that holder would know of an earlier attempt.
    """
    found = [reply["outcome"] if reply is not None else "refused" for reply in replies]
    release = record_of_outcome(outcomes.NotRun(NOT_RESERVED))
    for reply in replies:
        if reply is not None and reply["outcome"] == "recorded":
            answer = reply.get("answer") or core.unknown_answer(MAY_HAVE_RUN)
            return Answered(outcome_of_record(answer), answer)
    if "conflict" in found:
        return Conflict(release)
    if "in_progress" in found:
        return Answered(outcomes.Unknown(IN_PROGRESS), release)
    if "unknown" in found:
        return Answered(outcomes.Unknown(MAY_HAVE_RUN), release)
    if found == ["reserved", "reserved"]:
        return Proceed()
    if "reserved" in found:
        return Answered(outcomes.NotRun(NOT_RESERVED), release)
    return Answered(outcomes.Unknown(NO_HOLDER_ANSWERED), release)


def record_of_outcome(
    outcome: outcomes.Outcome,
) -> messages_generated.RecordedAnswer:
    """Return the answer that records an outcome."""
    if isinstance(outcome, outcomes.Done):
        return {
            "outcome": "done",
            "status": outcome.status,
            "headers": [list(header) for header in outcome.headers],
            "body": outcome.body,
            "reason": "",
        }
    if isinstance(outcome, outcomes.NotRun):
        return core.unknown_answer(outcome.reason) | {"outcome": "not_run"}
    return core.unknown_answer(outcome.reason)


def outcome_of_record(
    answer: messages_generated.RecordedAnswer,
) -> outcomes.Outcome:
    """Return the outcome that an answer records."""
    if answer["outcome"] == "done":
        headers = tuple((header[0], header[1]) for header in answer["headers"])
        return outcomes.Done(answer["status"], headers, answer["body"])
    if answer["outcome"] == "not_run":
        return outcomes.NotRun(answer["reason"])
    return outcomes.Unknown(answer["reason"])
