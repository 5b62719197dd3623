"""Obtain permits from the dispatchers of instances and release them.

A permit stands for a free slot of an instance; the dispatcher is the entry VM that
counts the slots of that instance.
"""

import dataclasses
import uuid
from collections.abc import Callable, Mapping
from concurrent import futures
from typing import NamedTuple

from wasabivalve import peers, routing
from wasabivalve.schema import messages_generated

from . import clock, dispatch

# Covers both messages across regions, 2 * 20 ms, and the delay of a busy dispatcher.
REPLY_MARGIN_MS = 150.0
MAX_DISPATCHERS_ASKED = 2
# Interval at which a waiting request checks for a change of its dispatcher or owner.
POLL_INTERVAL_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Represent a granted slot of an instance; ``granted_at`` in monotonic ms."""

    permit_id: str
    instance: dispatch.InstanceName
    dispatcher: str
    granted_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitUnavailable:
    """State that no permit was granted, so the request was not run."""

    reason: str
    retry_after_ms: float
    owner_changed: bool = False


class SlotDemand(NamedTuple):
    """Describe a request that needs a permit; ``deadline_at`` in monotonic ms.

    ``alone`` asks for exclusive use of the instance.
    """

    rank: str
    deadline_at: float
    body_bytes: int
    max_queue_wait_ms: float
    alone: bool = False


class PermitClient:
    """Request permits from dispatchers and release them."""

    def __init__(
        self,
        vm: str,
        bus: peers.Bus,
        dispatcher: dispatch.Dispatcher,
        locality_by_candidate: Callable[[], Mapping[str, routing.Locality]],
    ):
        self._vm = vm
        self._bus = bus
        self._dispatcher = dispatcher
        self._locality_by_candidate = locality_by_candidate

    def acquire(
        self,
        instance: dispatch.InstanceName,
        locality: routing.Locality,
        demand: SlotDemand,
        is_still_needed: Callable[[], bool] = lambda: True,
    ) -> Permit | PermitUnavailable:
        """Return a permit, or the reason why none was granted.

        The wait ends early when ``is_still_needed`` returns false or the dispatcher
        is no longer a candidate; otherwise a paused dispatcher would block the
        request.
        """
        reason = "no dispatcher is live"
        for _ in range(MAX_DISPATCHERS_ASKED):
            ranked_vms = routing.rank_dispatchers(
                str(instance), locality, self._locality_by_candidate()
            )
            if not ranked_vms:
                break
            dispatcher_vm = ranked_vms[0]

            def should_keep_waiting(vm: str = dispatcher_vm) -> bool:
                return is_still_needed() and vm in self._locality_by_candidate()

            result = self._request_permit(
                dispatcher_vm, instance, demand, should_keep_waiting
            )
            if result is not None:
                return result
            if not is_still_needed():
                return PermitUnavailable("instance no longer owns the key", 0.0, True)
            reason = f"dispatcher {dispatcher_vm} did not reply"
        return PermitUnavailable(reason, 0.0)

    def release(self, permit: Permit, outcome: str) -> None:
        """Release a permit; the outcome is ``done``, ``failed`` or ``cancel``."""
        message: messages_generated.PermitRelease = {
            "permit_id": permit.permit_id,
            "instance": str(permit.instance),
            "duration_ms": clock.monotonic_ms() - permit.granted_at,
            "outcome": outcome,
        }
        if permit.dispatcher == self._vm:
            self._dispatcher.release(message, clock.monotonic_ms())
        else:
            self._bus.send(permit.dispatcher, "permit_release", message)

    def _request_permit(
        self,
        dispatcher_vm: str,
        instance: dispatch.InstanceName,
        demand: SlotDemand,
        should_keep_waiting: Callable[[], bool],
    ) -> Permit | PermitUnavailable | None:
        now = clock.monotonic_ms()
        remaining_ms = demand.deadline_at - now
        if remaining_ms <= 0:
            return PermitUnavailable("deadline", 0.0)
        message: messages_generated.PermitRequest = {
            "permit_id": uuid.uuid4().hex,
            "service": instance.service,
            "instance": instance.instance,
            "rank": demand.rank,
            "deadline_ms": remaining_ms,
            "body_bytes": demand.body_bytes,
            "alone": demand.alone,
        }
        wait_ms = min(remaining_ms, demand.max_queue_wait_ms + REPLY_MARGIN_MS)
        reply = self._exchange(dispatcher_vm, message, wait_ms, should_keep_waiting)
        permit = Permit(
            message["permit_id"], instance, dispatcher_vm, clock.monotonic_ms()
        )
        if reply is None:
            # The grant may still arrive; without a cancel its slot would stay occupied.
            self.release(permit, "cancel")
            return None
        if not reply["granted"]:
            return PermitUnavailable(reply["reason"], reply["retry_after_ms"])
        return permit

    def _exchange(
        self,
        dispatcher_vm: str,
        message: messages_generated.PermitRequest,
        wait_ms: float,
        should_keep_waiting: Callable[[], bool],
    ) -> messages_generated.PermitReply | None:
        if dispatcher_vm == self._vm:
            future: futures.Future[messages_generated.PermitReply] = futures.Future()
            self._dispatcher.request(message, future.set_result, clock.monotonic_ms())
        else:
            future = self._bus.request(dispatcher_vm, "permit_request", message)
        timeout_at = clock.monotonic_ms() + wait_ms
        while True:
            remaining_ms = timeout_at - clock.monotonic_ms()
            try:
                return future.result(
                    max(0.0, min(POLL_INTERVAL_MS, remaining_ms)) / 1000
                )
            except peers.PeerLostError:
                return None
            except futures.TimeoutError:
                if remaining_ms > 0 and should_keep_waiting():
                    continue
            if dispatcher_vm != self._vm:
                self._bus.cancel_request(future)
            return None
