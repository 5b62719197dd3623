"""Hold what all VMs know of a request that may end instances.

Three kinds of members stand under the fingerprint of a request: the incarnations that
ended while they ran it, the latest run that was answered, and the trials by which a
refused request may show that it ends no instance.
"""

import enum
import math
from typing import NamedTuple

from . import core

CRASH = core.FactKind.CRASH

ANSWERED_MEMBER = "answered"
TRIAL_MEMBER_PREFIX = "trial-"

MIN_RUN_MS = 1.0
"""Shortest run of an ended incarnation; a value of 0 withdraws the end."""


class TrialState(enum.IntEnum):
    """Say whether a trial has been decided; a void one has reached no instance."""

    VOID = 0
    RUNNING = 1
    SPENT = 2


class EndedRun(NamedTuple):
    """Hold the times of a run that ended an incarnation."""

    member: str
    began_at: float
    ended_at: float


class Trial(NamedTuple):
    """Hold the state of a trial and the time since which it holds."""

    state: TrialState
    changed_at: float


class CrashEvidence(NamedTuple):
    """Hold the evidence about one request; times are in ms of the clock of the board.

    ``answered_at`` is the begin of the latest run that was answered.
    """

    ended: tuple[EndedRun, ...] = ()
    answered_at: float = -math.inf
    trials: tuple[Trial, ...] = ()

    def after_answer(self, answered_at: float) -> "CrashEvidence":
        """Return what counts if a run that began at a time was answered.

        It shows nothing about runs that began later: the request may have changed.
        """
        answered_at = max(answered_at, self.answered_at)
        return CrashEvidence(
            tuple(run for run in self.ended if run.began_at > answered_at),
            answered_at,
            tuple(trial for trial in self.trials if trial.changed_at > answered_at),
        )


def read(board: core.FactBoard, fingerprint: str, now: float) -> CrashEvidence:
    """Return the evidence that no answered run contradicts."""
    ended, trials = [], []
    answered_at = -math.inf
    for fact in board.facts(CRASH, fingerprint, now):
        observed_at = now - fact.age_ms
        if fact.member == ANSWERED_MEMBER:
            answered_at = observed_at
        elif fact.member.startswith(TRIAL_MEMBER_PREFIX):
            trials.append(Trial(_trial_state(fact.value), observed_at))
        elif fact.value >= MIN_RUN_MS:
            run = EndedRun(fact.member, observed_at - fact.value, observed_at)
            ended.append(run)
    return CrashEvidence(tuple(ended), -math.inf, tuple(trials)).after_answer(
        answered_at
    )


def _trial_state(value: float) -> TrialState:
    """Return the state of a trial; an unknown one counts as spent."""
    known = value in (TrialState.VOID, TrialState.RUNNING)
    return TrialState(int(value)) if known else TrialState.SPENT


def count_incarnations(facts: list[core.Fact]) -> int:
    """Return how many facts are about incarnations that ended, also contradicted."""
    return sum(
        fact.member != ANSWERED_MEMBER
        and not fact.member.startswith(TRIAL_MEMBER_PREFIX)
        for fact in facts
    )


def record_end(
    board: core.FactBoard, fingerprint: str, member: str, began_at: float, now: float
) -> None:
    """Record that an incarnation ended while it ran a request."""
    board.observe(CRASH, fingerprint, member, max(MIN_RUN_MS, now - began_at), now)


def record_survival(
    board: core.FactBoard, fingerprint: str, run: EndedRun, now: float
) -> None:
    """Withdraw the end of an incarnation that has not ended, but no later end."""
    board.observe(CRASH, fingerprint, run.member, 0.0, now, run.ended_at + MIN_RUN_MS)


def record_answer(
    board: core.FactBoard, fingerprint: str, began_at: float, now: float
) -> None:
    """Record that a run that began at a time was answered."""
    board.observe(CRASH, fingerprint, ANSWERED_MEMBER, 0.0, now, began_at)


def record_trial(
    board: core.FactBoard, fingerprint: str, member: str, state: TrialState, now: float
) -> None:
    """Record the state of a trial of this VM."""
    board.observe(CRASH, fingerprint, member, float(state), now)


def trial_member(number: int) -> str:
    """Return the member of the trial with a number."""
    return f"{TRIAL_MEMBER_PREFIX}{number}"
