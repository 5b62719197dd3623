"""Find the request that crashes instances and prevent further runs of it."""

import math
from collections.abc import Collection
from typing import Literal, NamedTuple

from wasabivalve import rendezvous
from wasabivalve.schema import messages_generated

QUARANTINE_MS = 600_000.0
"""Time for which a quarantined fingerprint is refused and a suspect is stored."""

NOTICE_WAIT_MS = 100.0
"""Time for which VMs collect each other's notices of a crash before a rerun.

It covers two one-way latencies between regions (40 ms) and the difference between
the times at which the VMs detect the crash.
"""

CRASH_DEDUPLICATION_MS = 1_000.0
"""Reports of crashes of one instance within this time are about the same crash."""

RERUN_STAGGER_MS = 50.0
"""Time after which the next VM of the ranking may rerun a suspect.

It is longer than a one-way latency between regions (20 ms), so that the notice of a
rerun arrives before the next VM may start one. A longer time would delay harmless
requests that were in flight at a failed server.
"""

RERUN_TIMEOUT_MS = 5_000.0
"""Time for which a rerun blocks other reruns unless its VM reports the end."""

RETRY_AFTER_MS = 100.0
"""Time after which a waiting request is checked again.

A longer time would delay harmless requests for the same key after the rerun has
cleared them.
"""

MAX_FINGERPRINTS = 10_000

RunAction = Literal["run", "run_alone", "wait", "quarantined"]


class RunDecision(NamedTuple):
    """State how a request may run, or after how many ms to check again.

    ``notices`` must be sent to all peers before the request runs.
    """

    action: RunAction
    retry_after_ms: float = 0.0
    notices: tuple[messages_generated.QuarantineNotice, ...] = ()


class _Crash(NamedTuple):
    instance: str
    reported_at: float
    suspects: set[str]


class _FingerprintState:
    def __init__(self, now: float) -> None:
        self.crashes: list[_Crash] = []
        self.rerun_allowed_at = now + NOTICE_WAIT_MS
        self.rerun_vm: str | None = None
        self.rerun_started_at = -math.inf
        self.quarantined = False
        self.expires_at = now + QUARANTINE_MS

    def end_rerun(self) -> None:
        """Allow any VM to rerun the suspect again."""
        self.rerun_vm = None
        self.rerun_started_at = -math.inf


class CrashTracker:
    """Hold the suspected and quarantined fingerprints that one entry VM knows.

    A fingerprint is a digest of service, method, path and body, without the
    idempotency key, so that a resent request is recognized. All times are in ms of
    one monotonic clock.
    """

    def __init__(self, vm: str, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        self._vm = vm
        self._max_fingerprints = max_fingerprints
        self._state_by_fingerprint: dict[str, _FingerprintState] = {}
        self._crash_by_instance: dict[str, _Crash] = {}

    def __len__(self) -> int:
        """Return the number of fingerprints."""
        return len(self._state_by_fingerprint)

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Return whether requests with a fingerprint are refused."""
        state = self._get_state(fingerprint, now)
        return state is not None and state.quarantined

    def is_suspected(self, fingerprint: str, now: float) -> bool:
        """Return whether a crash made a fingerprint suspected or quarantined."""
        return self._get_state(fingerprint, now) is not None

    def quarantined_fingerprints(self, now: float) -> list[str]:
        """Return the quarantined fingerprints in sorted order."""
        fingerprints = list(self._state_by_fingerprint)
        return sorted(
            fingerprint
            for fingerprint in fingerprints
            if self.is_quarantined(fingerprint, now)
        )

    def quarantine_notices(
        self, now: float
    ) -> list[messages_generated.QuarantineNotice]:
        """Return the notices of all quarantined fingerprints."""
        return [
            self._notice(fingerprint, self._state_by_fingerprint[fingerprint], now)
            for fingerprint in self.quarantined_fingerprints(now)
        ]

    def admit(
        self, fingerprint: str, live_vms: Collection[str], now: float
    ) -> RunDecision:
        """Decide how a request may run; ``run_alone`` starts the single rerun.

        After ``run_alone`` the caller must call ``on_finish``, ``on_crash`` or
        ``abandon_rerun``.
        """
        state = self._get_state(fingerprint, now)
        if state is None:
            return RunDecision("run")
        if state.quarantined:
            return RunDecision("quarantined", state.expires_at - now)
        if now < state.rerun_allowed_at:
            return RunDecision("wait", state.rerun_allowed_at - now)
        if now - state.rerun_started_at < RERUN_TIMEOUT_MS:
            return RunDecision("wait", RETRY_AFTER_MS)
        if not self._may_rerun(fingerprint, state, live_vms, now):
            return RunDecision("wait", RETRY_AFTER_MS)
        state.rerun_vm = self._vm
        state.rerun_started_at = now
        return RunDecision("run_alone", 0.0, (self._notice(fingerprint, state, now),))

    def on_crash(
        self, instance: str, fingerprints: Collection[str], now: float
    ) -> tuple[messages_generated.QuarantineNotice, ...]:
        """Record a crash with this VM's requests in flight and return the notices.

        A suspect that this VM reran alone is quarantined immediately.
        """
        notices = []
        for fingerprint in dict.fromkeys(fingerprints):
            previous = self._get_state(fingerprint, now)
            reran_alone = previous is not None and previous.rerun_vm == self._vm
            state = self._add_crash(fingerprint, instance, now)
            if reran_alone:
                self._quarantine(state, now)
            notices.append(self._notice(fingerprint, state, now, instance))
        return tuple(notices)

    def on_finish(
        self, fingerprint: str, now: float
    ) -> tuple[messages_generated.QuarantineNotice, ...]:
        """Clear a suspect that this VM reran without a crash.

        Return the notices for the peers.
        """
        state = self._get_state(fingerprint, now)
        if state is None or state.quarantined or state.rerun_vm != self._vm:
            return ()
        del self._state_by_fingerprint[fingerprint]
        return (_notice_message(fingerprint, 0, False, 0.0, ""),)

    def abandon_rerun(
        self, fingerprint: str, now: float
    ) -> tuple[messages_generated.QuarantineNotice, ...]:
        """End a rerun without a result, such as one that was not run.

        Return the notices for the peers.
        """
        state = self._get_state(fingerprint, now)
        if state is None or state.quarantined or state.rerun_vm != self._vm:
            return ()
        state.end_rerun()
        # A remaining time of 0 means that the rerun ended without a result.
        return (_notice_message(fingerprint, 1, False, 0.0, ""),)

    def on_notice(
        self,
        sender: str,
        notice: messages_generated.QuarantineNotice,
        now: float,
    ) -> None:
        """Merge the notice of a peer; a quarantine takes precedence."""
        fingerprint = notice["fingerprint"]
        existing = self._get_state(fingerprint, now)
        if notice["quarantined"]:
            state = existing or self._create_state(fingerprint, now)
            remaining_ms = min(notice["remaining_ms"], QUARANTINE_MS)
            expires_at = now + remaining_ms
            if state.quarantined:
                expires_at = max(expires_at, state.expires_at)
            state.quarantined = True
            state.expires_at = expires_at
        elif notice["crashes"] == 0:
            if existing is not None and not existing.quarantined:
                del self._state_by_fingerprint[fingerprint]
        elif notice["instance"]:
            self._add_crash(fingerprint, notice["instance"], now)
        elif notice["remaining_ms"] > 0.0:
            state = existing or self._create_state(fingerprint, now)
            state.rerun_vm = sender
            state.rerun_started_at = now
        elif existing is not None and existing.rerun_vm == sender:
            existing.end_rerun()

    def expire(self, now: float) -> None:
        """Remove the fingerprints and crashes whose time is over."""
        for fingerprint in list(self._state_by_fingerprint):
            self._get_state(fingerprint, now)
        for instance, crash in list(self._crash_by_instance.items()):
            if now - crash.reported_at > CRASH_DEDUPLICATION_MS:
                del self._crash_by_instance[instance]

    def _get_state(self, fingerprint: str, now: float) -> _FingerprintState | None:
        state = self._state_by_fingerprint.get(fingerprint)
        if state is None:
            return None
        if state.expires_at <= now:
            del self._state_by_fingerprint[fingerprint]
            return None
        if not state.quarantined and now >= state.rerun_allowed_at:
            self._quarantine_if_common_cause(fingerprint, state, now)
        return state

    def _add_crash(
        self, fingerprint: str, instance: str, now: float
    ) -> _FingerprintState:
        state = self._state_by_fingerprint.get(fingerprint)
        state = state or self._create_state(fingerprint, now)
        crash = self._crash_by_instance.get(instance)
        if crash is None or now - crash.reported_at > CRASH_DEDUPLICATION_MS:
            crash = _Crash(instance, now, set())
            self._crash_by_instance[instance] = crash
        crash.suspects.add(fingerprint)
        if not any(existing is crash for existing in state.crashes):
            state.crashes.append(crash)
            state.rerun_allowed_at = now + NOTICE_WAIT_MS
        return state

    def _create_state(self, fingerprint: str, now: float) -> _FingerprintState:
        if len(self._state_by_fingerprint) >= self._max_fingerprints:
            self._evict_one()
        state = _FingerprintState(now)
        self._state_by_fingerprint[fingerprint] = state
        return state

    def _evict_one(self) -> None:
        # Evict the oldest suspect, a quarantined fingerprint only if all are.
        suspects = (
            fingerprint
            for fingerprint, state in self._state_by_fingerprint.items()
            if not state.quarantined
        )
        oldest = next(iter(self._state_by_fingerprint))
        del self._state_by_fingerprint[next(suspects, oldest)]

    def _quarantine_if_common_cause(
        self, fingerprint: str, state: _FingerprintState, now: float
    ) -> None:
        # A request that is in flight at all instances is a suspect of every crash.
        # The cause is a request that is the only common suspect of two crashes.
        crashes = state.crashes
        for index, first in enumerate(crashes):
            for second in crashes[index + 1 :]:
                if first.suspects & second.suspects == {fingerprint}:
                    self._quarantine(state, now)
                    return

    def _quarantine(self, state: _FingerprintState, now: float) -> None:
        state.quarantined = True
        state.expires_at = now + QUARANTINE_MS

    def _may_rerun(
        self,
        fingerprint: str,
        state: _FingerprintState,
        live_vms: Collection[str],
        now: float,
    ) -> bool:
        ranked_vms = rendezvous.rank_names(fingerprint, {*live_vms, self._vm})
        position = ranked_vms.index(self._vm)
        return now >= state.rerun_allowed_at + position * RERUN_STAGGER_MS

    def _notice(
        self, fingerprint: str, state: _FingerprintState, now: float, instance: str = ""
    ) -> messages_generated.QuarantineNotice:
        crashes = max(1, len(state.crashes))
        remaining_ms = state.expires_at - now
        return _notice_message(
            fingerprint, crashes, state.quarantined, remaining_ms, instance
        )


def _notice_message(
    fingerprint: str,
    crashes: int,
    quarantined: bool,
    remaining_ms: float,
    instance: str,
) -> messages_generated.QuarantineNotice:
    return {
        "fingerprint": fingerprint,
        "crashes": crashes,
        "quarantined": quarantined,
        "remaining_ms": remaining_ms,
        "instance": instance,
    }
