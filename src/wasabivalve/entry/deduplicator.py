"""Keep non-idempotent requests from running twice across entry VMs."""

import threading
import uuid
from collections.abc import Callable
from concurrent import futures
from typing import NamedTuple

import xxhash

from wasabivalve import deduplication, outcomes, peers, routing
from wasabivalve.schema import messages_generated

from . import caller_request, clock

# Two messages across regions, 2 * 20 ms, and a busy holder.
RESERVE_TIMEOUT_MS = 300.0

Verdict = deduplication.Proceed | deduplication.Answered | deduplication.Conflict


class Reservation(NamedTuple):
    """Carry what the two record holders decided about one attempt."""

    key: str
    attempt: str
    holders: tuple[str, ...]
    verdict: Verdict


class Deduplicator:
    """Ask the record holders of keys and be one; safe to use from threads."""

    def __init__(self, vm: str, bus: peers.Bus, view: Callable[[], deduplication.View]):
        self._vm = vm
        self._bus = bus
        self._view = view
        self._lock = threading.Lock()
        self._table = deduplication.HolderTable(vm)

    def tick(self) -> None:
        """Note the present view; must be called several times a second."""
        with self._lock:
            self._table.note_view(self._view(), clock.wall_ms(), clock.monotonic_ms())

    def reserve(self, request: caller_request.CallerRequest) -> Reservation:
        """Reserve the idempotency key of a request on both holders."""
        key = request.idempotency_key
        attempt = uuid.uuid4().hex
        holders = deduplication.holders_of(key, self._view()) or ()
        message: messages_generated.ReserveRequest = {
            "key": key,
            "body_digest": digest_of(request),
            "first_sent_at_ms": deduplication.first_sent_at_ms(key, clock.wall_ms()),
            "vm": self._vm,
            "attempt": attempt,
        }
        pending = [
            self._bus.request(holder, "reserve_request", message) for holder in holders
        ]
        ends_at = clock.monotonic_ms() + RESERVE_TIMEOUT_MS
        replies = [self._wait(future, ends_at) for future in pending]
        verdict = deduplication.reservation_outcome(replies or (None, None))
        reservation = Reservation(key, attempt, tuple(holders), verdict)
        if not isinstance(verdict, deduplication.Proceed):
            self._send_record(reservation, verdict.record)
        return reservation

    def record(self, reservation: Reservation, outcome: outcomes.Outcome) -> None:
        """Store the outcome of a run on both holders."""
        self._send_record(reservation, deduplication.record_of_outcome(outcome))

    def on_reserve(self, incoming: peers.Incoming) -> None:
        """Answer the reservation of a peer."""
        message: messages_generated.ReserveRequest = incoming.message
        with self._lock:
            reply = self._table.reserve(
                message["key"],
                message["body_digest"],
                message["first_sent_at_ms"],
                incoming.sender,
                self._view(),
                clock.wall_ms(),
                clock.monotonic_ms(),
                attempt=message["attempt"],
            )
        incoming.reply("reserve_reply", reply)

    def on_record(self, incoming: peers.Incoming) -> None:
        """Store the answer that a peer reports."""
        message: messages_generated.RecordAnswer = incoming.message
        with self._lock:
            self._table.record_answer(
                message["key"], incoming.sender, message["attempt"], message["answer"]
            )

    def _wait(
        self, future: futures.Future[messages_generated.ReserveReply], ends_at: float
    ) -> messages_generated.ReserveReply | None:
        left_ms = max(0.0, ends_at - clock.monotonic_ms())
        try:
            return future.result(left_ms / 1000)
        except (futures.TimeoutError, peers.PeerLostError):
            self._bus.forget(future)
            return None

    def _send_record(
        self, reservation: Reservation, answer: messages_generated.RecordedAnswer
    ) -> None:
        message: messages_generated.RecordAnswer = {
            "key": reservation.key,
            "vm": self._vm,
            "attempt": reservation.attempt,
            "answer": answer,
        }
        for holder in reservation.holders:
            self._bus.send(holder, "record_answer", message)


def digest_of(request: caller_request.CallerRequest) -> str:
    """Return a digest of everything that makes two requests the same work."""
    parts = (request.service, request.key, request.method, request.target)
    digest = xxhash.xxh3_128("\x00".join(parts).encode())
    digest.update(b"\x00")
    digest.update(request.body)
    return digest.hexdigest()


def view_of(
    place_by_vm: dict[str, routing.Place], mutual_vms: frozenset[str]
) -> deduplication.View:
    """Return the view of the declared VMs that hear this one and are heard."""
    seen = {vm: place for vm, place in place_by_vm.items() if vm in mutual_vms}
    return deduplication.View(seen, len(place_by_vm))
