"""Keep requests that crash instances from running again on any entry VM."""

import collections
import threading
from collections.abc import Callable, Iterable, Sequence

from wasabivalve import events, peers, quarantine
from wasabivalve.schema import messages_generated

from . import clock


class CrashGuard:
    """Track the requests in flight at each instance and share crashes; thread-safe."""

    def __init__(self, vm: str, bus: peers.Bus, live_vms: Callable[[], Sequence[str]]):
        self._bus = bus
        self._live_vms = live_vms
        self._lock = threading.Lock()
        self._tracker = quarantine.CrashTracker(vm)
        self._in_flight_by_instance: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether a request may run only alone on its instance, if at all."""
        with self._lock:
            return self._tracker.is_suspected(fingerprint, clock.monotonic_ms())

    def start(self, fingerprint: str, instance: str) -> quarantine.RunDecision:
        """Decide how a request may run; if it may, count it as in flight."""
        with self._lock:
            decision = self._tracker.admit(
                fingerprint, self._live_vms(), clock.monotonic_ms()
            )
            if decision.action in ("run", "run_alone"):
                self._in_flight_by_instance[instance][fingerprint] += 1
        self._broadcast(decision.notices)
        return decision

    def finish(
        self, fingerprint: str, instance: str, *, crashed: bool, alone: bool, done: bool
    ) -> None:
        """Record the end of a request that ``start`` counted as in flight."""
        notices: tuple[messages_generated.QuarantineNotice, ...] = ()
        now = clock.monotonic_ms()
        with self._lock:
            in_flight = self._in_flight_by_instance[instance]
            if crashed:
                notices = self._tracker.on_crash(instance, tuple(in_flight), now)
            elif alone and done:
                notices = self._tracker.on_finish(fingerprint, now)
            elif alone:
                notices = self._tracker.abandon_rerun(fingerprint, now)
            in_flight[fingerprint] -= 1
            if not in_flight[fingerprint]:
                del in_flight[fingerprint]
        self._broadcast(notices)

    def on_notice(self, incoming: peers.IncomingMessage) -> None:
        """Apply the quarantine notice of a peer."""
        with self._lock:
            self._tracker.on_notice(
                incoming.sender, incoming.message, clock.monotonic_ms()
            )

    def inform(self, vm: str) -> None:
        """Send a VM that has come back what it must not run."""
        with self._lock:
            notices = self._tracker.quarantine_notices(clock.monotonic_ms())
        for notice in notices:
            self._bus.send(vm, "quarantine_notice", notice)

    def in_flight_count(self, instance: str) -> int:
        """Return the number of this VM's requests in flight at an instance."""
        with self._lock:
            return self._in_flight_by_instance[instance].total()

    def tick(self) -> None:
        """Remove expired suspicions and quarantines."""
        with self._lock:
            self._tracker.expire(clock.monotonic_ms())

    def quarantined_fingerprints(self) -> list[str]:
        """Return the fingerprints of requests that are refused now."""
        with self._lock:
            return self._tracker.quarantined_fingerprints(clock.monotonic_ms())

    def _broadcast(
        self, notices: Iterable[messages_generated.QuarantineNotice]
    ) -> None:
        for notice in notices:
            if notice["quarantined"]:
                events.emit(401, fingerprint=notice["fingerprint"])
            self._bus.broadcast("quarantine_notice", notice)
