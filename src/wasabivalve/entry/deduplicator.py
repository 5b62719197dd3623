"""Keep non-idempotent requests from running twice across entry VMs.

The idempotency key of a request is reserved on a majority of its record holders
before the request runs. Record holders are entry VMs that store the key and, after the
run, the answer.
"""

import threading
import uuid
from collections.abc import Callable
from concurrent import futures
from typing import NamedTuple

from wasabivalve import deduplication, outcomes, peers, routing
from wasabivalve.schema import messages_generated

from . import caller_request, clock

# Covers two messages across regions, 2 * 20 ms, and the delay of a busy holder.
RESERVE_TIMEOUT_MS = 300.0

ReservationDecision = (
    deduplication.Proceed | deduplication.RespondWithoutRun | deduplication.KeyConflict
)


class Reservation(NamedTuple):
    """Hold the decision of the record holders about one attempt."""

    key: str
    attempt: str
    holders: tuple[str, ...]
    decision: ReservationDecision


class Deduplicator:
    """Reserve keys on record holders and act as one for other VMs; thread-safe."""

    def __init__(
        self,
        vm: str,
        bus: peers.Bus,
        reachable_vms: Callable[[], deduplication.ReachableVms],
    ):
        self._vm = vm
        self._bus = bus
        self._reachable_vms = reachable_vms
        self._lock = threading.Lock()
        self._table = deduplication.IdempotencyTable()
        self._history = deduplication.ReachabilityHistory(
            2 * deduplication.IDEMPOTENCY_WINDOW_MS
        )

    def tick(self) -> None:
        """Record which VMs are reachable and remove expired records.

        Must be called several times a second.
        """
        wall, now = clock.wall_ms(), clock.monotonic_ms()
        with self._lock:
            self._history.record_view(self._reachable_vms(), wall, now)
            self._table.tick(wall)

    def has_record_holders(self) -> bool:
        """Return whether record holders exist for keys that are first sent now."""
        wall, now = clock.wall_ms(), clock.monotonic_ms()
        with self._lock:
            return bool(self._history.candidate_holder_sets("", wall, wall, now))

    def reserve(
        self, request: caller_request.CallerRequest, first_sent_at_ms: float
    ) -> Reservation:
        """Reserve the idempotency key of a request on a majority of its holders.

        ``first_sent_at_ms`` is the Unix time at which the caller created the key; it
        selects the holders.
        """
        key = request.idempotency_key
        attempt = uuid.uuid4().hex
        with self._lock:
            candidates = self._history.candidate_holder_sets(
                key, first_sent_at_ms, clock.wall_ms(), clock.monotonic_ms()
            )
        message: messages_generated.ReserveRequest = {
            "key": key,
            "body_digest": caller_request.digest_request(request),
            "first_sent_at_ms": first_sent_at_ms,
            "vm": self._vm,
            "attempt": attempt,
        }
        names = sorted(set().union(*candidates))
        holder_by_future = {
            self._bus.request(name, "reserve_request", message): name for name in names
        }
        decision = self._wait_for_decision(candidates, holder_by_future)
        reservation = Reservation(key, attempt, tuple(names), decision)
        if not isinstance(decision, deduplication.Proceed):
            self._send_answer(reservation, decision.recorded_answer)
        return reservation

    def _wait_for_decision(
        self,
        candidates: frozenset[frozenset[str]],
        holder_by_future: dict[futures.Future[messages_generated.ReserveReply], str],
    ) -> ReservationDecision:
        """Wait until the replies suffice for a decision or none is outstanding."""
        timeout_at = clock.monotonic_ms() + RESERVE_TIMEOUT_MS
        pending = set(holder_by_future)
        replies: dict[str, messages_generated.ReserveReply] = {}
        while True:
            remaining_ms = timeout_at - clock.monotonic_ms()
            no_more_replies = not pending or remaining_ms <= 0
            decision = deduplication.decide_reservation(
                candidates, replies, no_more_replies=no_more_replies
            )
            if decision is not None:
                break
            done, pending = futures.wait(
                pending, remaining_ms / 1000, return_when=futures.FIRST_COMPLETED
            )
            replies |= {
                holder_by_future[future]: future.result()
                for future in done
                if future.exception() is None
            }
        for future in pending:
            self._bus.cancel_request(future)
        return decision

    def record_outcome(
        self, reservation: Reservation, outcome: outcomes.Outcome
    ) -> None:
        """Store the outcome of a run on the record holders."""
        self._send_answer(reservation, deduplication.answer_of_outcome(outcome))

    def on_reserve(self, incoming: peers.IncomingMessage) -> None:
        """Reply to the reservation request of a peer."""
        message: messages_generated.ReserveRequest = incoming.message
        with self._lock:
            reply = self._table.reserve(
                message["key"],
                message["body_digest"],
                message["first_sent_at_ms"],
                incoming.sender,
                clock.wall_ms(),
                clock.monotonic_ms(),
                attempt=message["attempt"],
            )
        incoming.reply("reserve_reply", reply)

    def on_record(self, incoming: peers.IncomingMessage) -> None:
        """Store the answer that a peer reports for a key."""
        message: messages_generated.RecordAnswer = incoming.message
        with self._lock:
            self._table.record_answer(
                message["key"], incoming.sender, message["attempt"], message["answer"]
            )

    def _send_answer(
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


def build_reachable_vms(
    locality_by_vm: dict[str, routing.Locality], mutually_reachable_vms: frozenset[str]
) -> deduplication.ReachableVms:
    """Return the declared VMs with which this VM exchanges messages both ways."""
    reachable = {
        vm: locality
        for vm, locality in locality_by_vm.items()
        if vm in mutually_reachable_vms
    }
    return deduplication.ReachableVms(reachable, len(locality_by_vm))
