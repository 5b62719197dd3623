"""Find the request that crashes instances and keep it from running again."""

import math
from collections.abc import Collection
from typing import Literal, NamedTuple

from wasabivalve import rendezvous
from wasabivalve.schema import messages_generated

QUARANTINE_MS = 600_000.0
"""Time for which a convicted fingerprint is refused and a suspect remembered."""

SETTLE_MS = 100.0
"""Time for which VMs collect each other's notices of one crash before a rerun.

It covers two one-way latencies between regions (40 ms) and the time by which the
VMs see the crash apart.
"""

SAME_CRASH_MS = 1_000.0
"""Crashes of one instance that are closer than this are the same crash."""

TURN_MS = 50.0
"""Time after which the next VM in line may rerun a suspect.

It is longer than a one-way latency between regions (20 ms), so that the notice of one
rerun arrives before the next VM's turn. A longer one would keep innocent requests of
a lost server waiting.
"""

RERUN_MS = 5_000.0
"""Time for which a rerun holds back all others unless its VM reports the end."""

RETRY_AFTER_MS = 100.0
"""Time after which a held request asks again.

A longer one would keep innocent requests for the same key waiting after the rerun has
cleared them.
"""
MOST_FINGERPRINTS = 10_000

RunAction = Literal["run", "run_alone", "wait", "quarantined"]


class RunDecision(NamedTuple):
    """State how a request may run, or in how many ms to ask again.

    ``notices`` go to all peers before the request runs.
    """

    action: RunAction
    retry_after_ms: float = 0.0
    notices: tuple[messages_generated.QuarantineNotice, ...] = ()


class _Crash(NamedTuple):
    instance: str
    seen_at: float
    suspects: set[str]


class _Suspect:
    def __init__(self, now: float) -> None:
        self.crashes: list[_Crash] = []
        self.settled_at = now + SETTLE_MS
        self.rerun_by: str | None = None
        self.rerun_started = -math.inf
        self.convicted = False
        self.expires_at = now + QUARANTINE_MS

    def end_rerun(self) -> None:
        """Let a VM rerun the suspect again."""
        self.rerun_by = None
        self.rerun_started = -math.inf


class CrashTracker:
    """Hold the suspects and convicted fingerprints that one entry VM knows.

    A fingerprint is a digest of service, method, path and body, without the
    idempotency key, so that a resent request is recognized.
    """

    def __init__(self, vm: str, max_fingerprints: int = MOST_FINGERPRINTS) -> None:
        self._vm = vm
        self._most = max_fingerprints
        self._suspect_by_fingerprint: dict[str, _Suspect] = {}
        self._crash_by_instance: dict[str, _Crash] = {}

    def __len__(self) -> int:
        """Return the number of fingerprints."""
        return len(self._suspect_by_fingerprint)

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Return whether a fingerprint is convicted."""
        suspect = self._get(fingerprint, now)
        return suspect is not None and suspect.convicted

    def is_suspected(self, fingerprint: str, now: float) -> bool:
        """Return whether a fingerprint is known from a crash."""
        return self._get(fingerprint, now) is not None

    def quarantined_fingerprints(self, now: float) -> list[str]:
        """Return the convicted fingerprints."""
        names = list(self._suspect_by_fingerprint)
        return sorted(name for name in names if self.is_quarantined(name, now))

    def admit(
        self, fingerprint: str, live_vms: Collection[str], now: float
    ) -> RunDecision:
        """Decide how a request may run; ``run_alone`` starts the only rerun.

        After ``run_alone`` call ``on_finish``, ``on_crash`` or ``abandon_rerun``.
        """
        suspect = self._get(fingerprint, now)
        if suspect is None:
            return RunDecision("run")
        if suspect.convicted:
            return RunDecision("quarantined", suspect.expires_at - now)
        if now < suspect.settled_at:
            return RunDecision("wait", suspect.settled_at - now)
        if now - suspect.rerun_started < RERUN_MS:
            return RunDecision("wait", RETRY_AFTER_MS)
        if not self._may_rerun(fingerprint, suspect, live_vms, now):
            return RunDecision("wait", RETRY_AFTER_MS)
        suspect.rerun_by = self._vm
        suspect.rerun_started = now
        return RunDecision("run_alone", 0.0, (self._notice(fingerprint, suspect, now),))

    def on_crash(
        self, instance: str, fingerprints: Collection[str], now: float
    ) -> tuple[messages_generated.QuarantineNotice, ...]:
        """Record a crash with this VM's requests in flight; return the notices.

        A suspect that this VM reran alone is convicted at once.
        """
        notices = []
        for fingerprint in dict.fromkeys(fingerprints):
            before = self._get(fingerprint, now)
            alone = before is not None and before.rerun_by == self._vm
            suspect = self._add(fingerprint, instance, now)
            if alone:
                self._convict(suspect, now)
            notices.append(self._notice(fingerprint, suspect, now, instance))
        return tuple(notices)

    def on_finish(
        self, fingerprint: str, now: float
    ) -> tuple[messages_generated.QuarantineNotice, ...]:
        """Clear a suspect that this VM reran alone without a crash."""
        suspect = self._get(fingerprint, now)
        if suspect is None or suspect.convicted or suspect.rerun_by != self._vm:
            return ()
        del self._suspect_by_fingerprint[fingerprint]
        return (_message(fingerprint, 0, False, 0.0, ""),)

    def abandon_rerun(
        self, fingerprint: str, now: float
    ) -> tuple[messages_generated.QuarantineNotice, ...]:
        """End a rerun that proved nothing, such as one that was not run."""
        suspect = self._get(fingerprint, now)
        if suspect is None or suspect.convicted or suspect.rerun_by != self._vm:
            return ()
        suspect.end_rerun()
        # No time left means that the rerun ended without proof.
        return (_message(fingerprint, 1, False, 0.0, ""),)

    def on_notice(
        self,
        sender: str,
        notice: messages_generated.QuarantineNotice,
        now: float,
    ) -> None:
        """Merge what a peer reports; a conviction outweighs anything else."""
        fingerprint = notice["fingerprint"]
        known = self._get(fingerprint, now)
        if notice["quarantined"]:
            suspect = known or self._new(fingerprint, now)
            remaining = min(notice["remaining_ms"], QUARANTINE_MS)
            later = now + remaining
            if suspect.convicted:
                later = max(later, suspect.expires_at)
            suspect.convicted = True
            suspect.expires_at = later
        elif notice["crashes"] == 0:
            if known is not None and not known.convicted:
                del self._suspect_by_fingerprint[fingerprint]
        elif notice["instance"]:
            self._add(fingerprint, notice["instance"], now)
        elif notice["remaining_ms"] > 0.0:
            suspect = known or self._new(fingerprint, now)
            suspect.rerun_by = sender
            suspect.rerun_started = now
        elif known is not None and known.rerun_by == sender:
            known.end_rerun()

    def expire(self, now: float) -> None:
        """Drop fingerprints whose time is over."""
        for fingerprint in list(self._suspect_by_fingerprint):
            self._get(fingerprint, now)
        for instance, crash in list(self._crash_by_instance.items()):
            if now - crash.seen_at > SAME_CRASH_MS:
                del self._crash_by_instance[instance]

    def _get(self, fingerprint: str, now: float) -> _Suspect | None:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return None
        if suspect.expires_at <= now:
            del self._suspect_by_fingerprint[fingerprint]
            return None
        if not suspect.convicted and now >= suspect.settled_at:
            self._judge(fingerprint, suspect, now)
        return suspect

    def _add(self, fingerprint: str, instance: str, now: float) -> _Suspect:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        suspect = suspect or self._new(fingerprint, now)
        crash = self._crash_by_instance.get(instance)
        if crash is None or now - crash.seen_at > SAME_CRASH_MS:
            crash = _Crash(instance, now, set())
            self._crash_by_instance[instance] = crash
        crash.suspects.add(fingerprint)
        if not any(known is crash for known in suspect.crashes):
            suspect.crashes.append(crash)
            suspect.settled_at = now + SETTLE_MS
        return suspect

    def _new(self, fingerprint: str, now: float) -> _Suspect:
        if len(self._suspect_by_fingerprint) >= self._most:
            self._drop_one()
        suspect = _Suspect(now)
        self._suspect_by_fingerprint[fingerprint] = suspect
        return suspect

    def _drop_one(self) -> None:
        # The oldest suspect goes first, a convicted one only if all are.
        suspects = (
            fingerprint
            for fingerprint, suspect in self._suspect_by_fingerprint.items()
            if not suspect.convicted
        )
        oldest = next(iter(self._suspect_by_fingerprint))
        del self._suspect_by_fingerprint[next(suspects, oldest)]

    def _judge(self, fingerprint: str, suspect: _Suspect, now: float) -> None:
        # A request that is in flight everywhere is in every crash; only one
        # that two crashes have in common with no other is the cause.
        crashes = suspect.crashes
        for index, first in enumerate(crashes):
            for second in crashes[index + 1 :]:
                if first.suspects & second.suspects == {fingerprint}:
                    self._convict(suspect, now)
                    return

    def _convict(self, suspect: _Suspect, now: float) -> None:
        suspect.convicted = True
        suspect.expires_at = now + QUARANTINE_MS

    def _may_rerun(
        self, fingerprint: str, suspect: _Suspect, live: Collection[str], now: float
    ) -> bool:
        ranked = rendezvous.rank_names(fingerprint, {*live, self._vm})
        turn = ranked.index(self._vm)
        return now >= suspect.settled_at + turn * TURN_MS

    def _notice(
        self, fingerprint: str, suspect: _Suspect, now: float, instance: str = ""
    ) -> messages_generated.QuarantineNotice:
        crashes = max(1, len(suspect.crashes))
        remaining = suspect.expires_at - now
        return _message(fingerprint, crashes, suspect.convicted, remaining, instance)


def _message(
    fingerprint: str, crashes: int, quarantined: bool, remaining_ms: float, name: str
) -> messages_generated.QuarantineNotice:
    return {
        "fingerprint": fingerprint,
        "crashes": crashes,
        "quarantined": quarantined,
        "remaining_ms": remaining_ms,
        "instance": name,
    }
