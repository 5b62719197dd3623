"""Decide about a request by the replies of the record holders of its key."""

import dataclasses
from collections.abc import Collection, Mapping

from wasabivalve import outcomes
from wasabivalve.schema import messages_generated

from . import core, record_holders

NOT_RESERVED = "not_reserved"
NO_QUORUM = "too_few_record_holders"
IN_PROGRESS = "in_progress"
MAY_HAVE_RUN = "may_have_run"


@dataclasses.dataclass(frozen=True, slots=True)
class Proceed:
    """Run the request; a majority of its holders reserved its key."""


@dataclasses.dataclass(frozen=True, slots=True)
class RespondWithoutRun:
    """Return the outcome to the caller without a run.

    ``recorded_answer`` is sent to the holders as the answer of this attempt and
    releases the reservations that some of them made.
    """

    outcome: outcomes.Outcome
    recorded_answer: messages_generated.RecordedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class KeyConflict:
    """Refuse the request, because its key was used with another body."""

    recorded_answer: messages_generated.RecordedAnswer


def decide_reservation(
    candidates: Collection[record_holders.HolderSet],
    reply_by_holder: Mapping[str, messages_generated.ReserveReply],
    *,
    no_more_replies: bool,
) -> Proceed | RespondWithoutRun | KeyConflict | None:
    """Return the decision by the replies so far, or None while one more may decide.

    A run needs a majority of every candidate set. Otherwise an earlier attempt may
    have run with holders that failed since.
    """
    releasing_answer = answer_of_outcome(outcomes.NotRun(NOT_RESERVED))
    replies = list(reply_by_holder.values())
    reply_outcomes = [reply["outcome"] for reply in replies]
    for reply in replies:
        if reply["outcome"] == "recorded":
            answer = reply.get("answer") or core.unknown_answer(MAY_HAVE_RUN)
            return RespondWithoutRun(outcome_of_answer(answer), answer)
    if "conflict" in reply_outcomes:
        return KeyConflict(releasing_answer)
    if "in_progress" in reply_outcomes:
        return RespondWithoutRun(outcomes.Unknown(IN_PROGRESS), releasing_answer)
    if "unknown" in reply_outcomes:
        return RespondWithoutRun(outcomes.Unknown(MAY_HAVE_RUN), releasing_answer)
    reserved_holders = frozenset(
        holder
        for holder, reply in reply_by_holder.items()
        if reply["outcome"] == "reserved"
    )
    if candidates and all(
        record_holders.has_quorum(holder_set, reserved_holders)
        for holder_set in candidates
    ):
        return Proceed()
    return (
        RespondWithoutRun(outcomes.Unknown(NO_QUORUM), releasing_answer)
        if no_more_replies
        else None
    )


def answer_of_outcome(
    outcome: outcomes.Outcome,
) -> messages_generated.RecordedAnswer:
    """Return the recorded answer of an outcome."""
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


def outcome_of_answer(
    answer: messages_generated.RecordedAnswer,
) -> outcomes.Outcome:
    """Return the outcome of a recorded answer."""
    if answer["outcome"] == "done":
        headers = tuple((header[0], header[1]) for header in answer["headers"])
        return outcomes.Done(answer["status"], headers, answer["body"])
    if answer["outcome"] == "not_run":
        return outcomes.NotRun(answer["reason"])
    return outcomes.Unknown(answer["reason"])
