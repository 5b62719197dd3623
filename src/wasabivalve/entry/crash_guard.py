"""Keep requests that crash instances from running again."""

import collections
import threading
from collections.abc import Callable, Iterable, Sequence

from wasabivalve import events, peers, quarantine
from wasabivalve.schema import messages_generated

from . import clock


class CrashGuard:
    """Track the requests in flight at each instance; safe to use from threads."""

    def __init__(self, vm: str, bus: peers.Bus, live_vms: Callable[[], Sequence[str]]):
        self._bus = bus
        self._live_vms = live_vms
        self._lock = threading.Lock()
        self._record = quarantine.CrashTracker(vm)
        self._in_flight_by_instance: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether a request may only run alone, if at all."""
        with self._lock:
            return self._record.is_suspected(fingerprint, clock.monotonic_ms())

    def start(self, fingerprint: str, instance: str) -> quarantine.RunDecision:
        """Decide how a request may run and count it as in flight if it may."""
        with self._lock:
            admission = self._record.admit(
                fingerprint, self._live_vms(), clock.monotonic_ms()
            )
            if admission.action in ("run", "run_alone"):
                self._in_flight_by_instance[instance][fingerprint] += 1
        self._broadcast(admission.notices)
        return admission

    def finish(
        self, fingerprint: str, instance: str, *, crashed: bool, alone: bool, done: bool
    ) -> None:
        """End a request that ``start`` counted."""
        notices: tuple[messages_generated.QuarantineNotice, ...] = ()
        now = clock.monotonic_ms()
        with self._lock:
            in_flight = self._in_flight_by_instance[instance]
            if crashed:
                notices = self._record.on_crash(instance, tuple(in_flight), now)
            elif alone and done:
                notices = self._record.on_finish(fingerprint, now)
            elif alone:
                notices = self._record.abandon_rerun(fingerprint, now)
            in_flight[fingerprint] -= 1
            if not in_flight[fingerprint]:
                del in_flight[fingerprint]
        self._broadcast(notices)

    def on_notice(self, incoming: peers.IncomingMessage) -> None:
        """Merge the notice of a peer."""
        with self._lock:
            self._record.on_notice(
                incoming.sender, incoming.message, clock.monotonic_ms()
            )

    def in_flight_count(self, instance: str) -> int:
        """Return the number of this VM's requests in flight at an instance."""
        with self._lock:
            return self._in_flight_by_instance[instance].total()

    def tick(self) -> None:
        """Drop what has expired."""
        with self._lock:
            self._record.expire(clock.monotonic_ms())

    def quarantined_fingerprints(self) -> list[str]:
        """Return the fingerprints that are refused now."""
        with self._lock:
            return self._record.quarantined_fingerprints(clock.monotonic_ms())

    def _broadcast(
        self, notices: Iterable[messages_generated.QuarantineNotice]
    ) -> None:
        for notice in notices:
            if notice["quarantined"]:
                events.emit(401, fingerprint=notice["fingerprint"])
            self._bus.broadcast("quarantine_notice", notice)
