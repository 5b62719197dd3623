"""Keep requests that end instances from running again, by facts that all VMs share."""

import collections
import math
from collections.abc import Iterable
from typing import NamedTuple

from wasabivalve import shared_facts
from wasabivalve.shared_facts import crash_evidence

SUSPECT_COUNT = 2
"""Incarnations that ended under a request before it is refused."""

CERTAIN_COUNT = 3
"""Ended incarnations that rule out that they failed together for another reason.

A request that was answered shortly before is refused from this number on.
"""

SUSPECT_QUARANTINE_MS = 60_000.0
CERTAIN_QUARANTINE_MS = 600_000.0

RECENT_ANSWER_MS = 10_000.0
"""Time before an end for which an answer shows that a request ended no instance."""

TRIAL_DELAYS_MS = (10_000.0, 10_000.0)
"""Times after the last end or trial at which one VM may send a refused request once.

The platform allows three runs of a request after it has ended three instances.
"""

TRIAL_TIMEOUT_MS = 3_000.0
"""Time after which a trial whose VM has reported no result counts as spent."""

UNDECIDED_MS = 1_000.0
"""Time after an end in which runs of an answered request may still be answered."""

MAX_ANSWERED = 8_192
"""Answered requests that are kept; the least recent ones are dropped."""

RESTART_MS = 1_500.0
"""Time after which the end of the same incarnation counts as that of a new one.

The registry may name a restarted instance as it was before for a moment.
"""

MIN_REFUSING_ENDS = 2
"""Ended incarnations from which on a request may be refused."""

CRASH = shared_facts.FactKind.CRASH


class Verdict(NamedTuple):
    """Say for how long a request is refused in ms, and what may end that earlier.

    ``trial_number`` is that of the trial that is due, 0 without one. A verdict is
    ``undecided`` while a trial or an earlier run may still show that the request ends
    no instance.
    """

    left_ms: float = 0.0
    trial_number: int = 0
    undecided: bool = False


MAY_RUN = Verdict()


class _NextTrial(NamedTuple):
    """Hold the number of a trial and the time from which on it may be made."""

    number: int
    due_at: float


class SharedQuarantine:
    """Decide by the facts of a board; all times are in ms of its clock.

    A request shares an instance with others that did not end it. An answered run
    withdraws the ends of all runs that began no later.
    """

    def __init__(self, board: shared_facts.FactBoard) -> None:
        self._board = board
        self._answered_at_by_fingerprint: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    @property
    def has_suspects(self) -> bool:
        """Return whether any request is known under which an instance ended."""
        return self._board.has_any(CRASH)

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether any evidence about a request is known."""
        return self._board.has_subject(CRASH, fingerprint)

    def on_ended(
        self,
        fingerprint: str,
        incarnation: str,
        now: float,
        began_at: float | None = None,
    ) -> int:
        """Record that an incarnation ended; return how many did under the request.

        ``began_at`` is the begin of the run.
        """
        member = incarnation
        ended_at_by_member = {
            run.member: run.ended_at for run in self._evidence(fingerprint, now).ended
        }
        while now - ended_at_by_member.get(member, now) > RESTART_MS:
            member += "+"
        began_at = now if began_at is None else began_at
        crash_evidence.record_end(self._board, fingerprint, member, began_at, now)
        self._publish_answer(fingerprint, now)
        return len(self._evidence(fingerprint, now).ended)

    def withdraw_ends(
        self, fingerprint: str, incarnation: str, before: float, now: float
    ) -> int:
        """Withdraw the ends of an incarnation up to a time; return their number.

        The registry still names the incarnation, which thus did not end then. A single
        end refuses nothing, so that it is left to expire: each withdrawal is a message
        to all VMs.
        """
        ended = crash_evidence.read(self._board, fingerprint, now).ended
        if len(ended) < MIN_REFUSING_ENDS:
            return 0
        withdrawn = [
            run
            for run in ended
            if run.member.rstrip("+") == incarnation and run.ended_at <= before
        ]
        for run in withdrawn:
            crash_evidence.record_survival(self._board, fingerprint, run, now)
        return len(withdrawn)

    def on_answered(
        self, fingerprint: str, now: float, began_at: float | None = None
    ) -> int:
        """Record that an instance answered a run, which thus did not end it.

        Return the number of ended incarnations that no longer count against it.
        """
        began_at = now if began_at is None else began_at
        answered = self._answered_at_by_fingerprint
        answered[fingerprint] = max(began_at, answered.get(fingerprint, -math.inf))
        answered.move_to_end(fingerprint)
        if len(answered) > MAX_ANSWERED:
            answered.popitem(last=False)
        return self._publish_answer(fingerprint, now) if self.has_suspects else 0

    def on_news(self, facts: Iterable[shared_facts.Fact], now: float) -> None:
        """Tell other VMs about requests that were answered here."""
        for fingerprint in {fact.subject for fact in facts if fact.kind == CRASH}:
            self._publish_answer(fingerprint, now)

    def answered_ms_ago(self, fingerprint: str, now: float) -> float | None:
        """Return the time since the begin of the latest run known to be answered."""
        answered_at = self._evidence(fingerprint, now).answered_at
        return None if answered_at == -math.inf else now - answered_at

    def was_answered_recently(self, fingerprint: str, now: float) -> bool:
        """Return whether a request was answered shortly before instances ended."""
        evidence = self._evidence(fingerprint, now)
        if not evidence.ended:
            return evidence.answered_at > now - RECENT_ANSWER_MS
        return _is_recent(evidence, evidence.answered_at)

    def verdict(
        self,
        fingerprint: str,
        now: float,
        min_count: int = SUSPECT_COUNT,
        answered_recently: bool = False,
    ) -> Verdict:
        """Return whether a request may run, and if not, for how long."""
        evidence = self._evidence(fingerprint, now)
        answered_recently = answered_recently or _is_recent(
            evidence, evidence.answered_at
        )
        left_ms = _quarantine_end(evidence, min_count, answered_recently) - now
        if left_ms <= 0.0:
            return MAY_RUN
        if _is_trial_running(evidence, now):
            return Verdict(left_ms, undecided=True)
        last_end_at = max(run.ended_at for run in evidence.ended)
        undecided = answered_recently and now < last_end_at + UNDECIDED_MS
        trial = _next_trial(evidence, answered_recently)
        if trial is None:
            return Verdict(left_ms, undecided=undecided)
        if now >= trial.due_at:
            return Verdict(left_ms, trial.number, undecided)
        return Verdict(min(left_ms, trial.due_at - now), undecided=undecided)

    def left_ms(
        self, fingerprint: str, now: float, min_count: int = SUSPECT_COUNT
    ) -> float:
        """Return for how long a request is refused without a trial; 0 if it may run."""
        evidence = self._evidence(fingerprint, now)
        answered_recently = _is_recent(evidence, evidence.answered_at)
        return max(0.0, _quarantine_end(evidence, min_count, answered_recently) - now)

    def end_trial(
        self,
        fingerprint: str,
        member: str,
        state: crash_evidence.TrialState,
        now: float,
    ) -> None:
        """Record the result of a trial of this VM."""
        crash_evidence.record_trial(self._board, fingerprint, member, state, now)

    def _evidence(self, fingerprint: str, now: float) -> crash_evidence.CrashEvidence:
        """Return the evidence of all VMs, with the answers that this VM has seen."""
        evidence = crash_evidence.read(self._board, fingerprint, now)
        return evidence.after_answer(
            self._answered_at_by_fingerprint.get(fingerprint, -math.inf)
        )

    def _publish_answer(self, fingerprint: str, now: float) -> int:
        """Publish an answer of this VM if it changes the verdict of others.

        Return the number of ended incarnations that it contradicts.
        """
        answered_at = self._answered_at_by_fingerprint.get(fingerprint, -math.inf)
        evidence = crash_evidence.read(self._board, fingerprint, now)
        if answered_at <= evidence.answered_at or not evidence.ended:
            return 0
        cleared = len(evidence.ended) - len(evidence.after_answer(answered_at).ended)
        is_recent = _is_recent(evidence, answered_at)
        if cleared or (is_recent and not _is_recent(evidence, evidence.answered_at)):
            crash_evidence.record_answer(self._board, fingerprint, answered_at, now)
        return cleared


def _is_recent(evidence: crash_evidence.CrashEvidence, answered_at: float) -> bool:
    """Return whether a run was answered shortly before the first end that counts."""
    first_end_at = min((run.ended_at for run in evidence.ended), default=math.inf)
    return answered_at > first_end_at - RECENT_ANSWER_MS


def _quarantine_end(
    evidence: crash_evidence.CrashEvidence, min_count: int, answered_recently: bool
) -> float:
    """Return until when a request is refused, in the past if it is not."""
    count = len(evidence.ended)
    if not count or count < (CERTAIN_COUNT if answered_recently else min_count):
        return -math.inf
    is_certain = count >= CERTAIN_COUNT
    duration_ms = CERTAIN_QUARANTINE_MS if is_certain else SUSPECT_QUARANTINE_MS
    return max(run.ended_at for run in evidence.ended) + duration_ms


def _used_trials(
    evidence: crash_evidence.CrashEvidence,
) -> list[crash_evidence.Trial]:
    """Return the trials that have reached an instance, or may have."""
    void = crash_evidence.TrialState.VOID
    return [trial for trial in evidence.trials if trial.state != void]


def _is_trial_running(evidence: crash_evidence.CrashEvidence, now: float) -> bool:
    return any(
        trial.state == crash_evidence.TrialState.RUNNING
        and now < trial.changed_at + TRIAL_TIMEOUT_MS
        for trial in evidence.trials
    )


def _next_trial(
    evidence: crash_evidence.CrashEvidence, answered_recently: bool
) -> _NextTrial | None:
    """Return the trial that follows those made, or None after the last one."""
    used = _used_trials(evidence)
    if len(used) >= len(TRIAL_DELAYS_MS):
        return None
    delay_ms = TRIAL_DELAYS_MS[len(used)]
    if answered_recently and not used:
        delay_ms = 0.0
    ended_at = [run.ended_at for run in evidence.ended]
    last_at = max([*ended_at, *(trial.changed_at for trial in used)])
    return _NextTrial(len(used) + 1, last_at + delay_ms)
