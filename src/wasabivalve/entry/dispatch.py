"""Serve permits for the instances of which this VM is the dispatcher."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from wasabivalve import admission, resources
from wasabivalve.schema import messages_generated

# Covers the time that a permit travels, in which a slot would be idle.
EXTRA_PERMITS = 1

ReplyFunction = Callable[[messages_generated.PermitReply], None]


class InstanceName(NamedTuple):
    """Name an instance of a service."""

    service: str
    instance: str

    def __str__(self) -> str:
        """Return ``service/instance``, unique across services."""
        return f"{self.service}/{self.instance}"


class Dispatcher:
    """Hold the slot queues of instances; safe to use from threads.

    A queue is created when the first request for its instance arrives: which VM
    is dispatcher is the choice of the VMs that ask.
    """

    def __init__(self, view: Callable[[], resources.ConfigurationView | None]):
        self._view = view
        self._lock = threading.Lock()
        self._queue_by_instance: dict[str, admission.InstanceQueue] = {}
        self._shape_by_instance: dict[str, tuple[object, ...]] = {}
        self._reply_by_permit: dict[str, ReplyFunction] = {}

    def request(
        self,
        message: messages_generated.PermitRequest,
        reply: ReplyFunction,
        now: float,
    ) -> None:
        """Queue a request; ``reply`` is called once, maybe at once."""
        name = InstanceName(message["service"], message["instance"])
        with self._lock:
            instance_queue = self._queue(name)
            if instance_queue is None:
                decisions: tuple[admission.PermitDecision, ...] = (
                    admission.PermitRefused(
                        message["permit_id"], "unknown instance", 0.0
                    ),
                )
                calls = [(reply, _reply_message(decisions[0]))]
            else:
                self._reply_by_permit[message["permit_id"]] = reply
                request = admission.request_of_message(message, now)
                calls = self._collect(instance_queue.offer(request, now))
        _call_all(calls)

    def release(self, message: messages_generated.PermitRelease, now: float) -> None:
        """Return a permit, or drop a waiting request when the outcome is a cancel."""
        with self._lock:
            instance_queue = self._queue_by_instance.get(message["instance"])
            if instance_queue is None:
                return
            permit_id = message["permit_id"]
            if message["outcome"] == "cancel":
                self._reply_by_permit.pop(permit_id, None)
                decisions = instance_queue.cancel(permit_id, now)
            else:
                measured = message["outcome"] == "done"
                decisions = instance_queue.release(
                    permit_id, now, record_duration=measured
                )
            calls = self._collect(decisions)
        _call_all(calls)

    def expire(self, now: float) -> None:
        """End what is over in every queue."""
        calls = []
        with self._lock:
            for instance_queue in self._queue_by_instance.values():
                wake = instance_queue.next_expiry_at()
                if wake is not None and wake <= now:
                    calls += self._collect(instance_queue.expire(now))
        _call_all(calls)

    def _queue(self, name: InstanceName) -> admission.InstanceQueue | None:
        view = self._view()
        service = view.service_by_name.get(name.service) if view else None
        if view is None or service is None:
            return None
        if name.instance not in {instance.name for instance in service.instances}:
            return None
        policy_by_rank = {
            rank.name: _policy(rank) for rank in view.rank_by_name.values()
        }
        shape = (service.slots, tuple(policy_by_rank.items()))
        if self._shape_by_instance.get(str(name)) != shape:
            # Requests in the old queue get no reply and ask again.
            self._queue_by_instance[str(name)] = admission.InstanceQueue(
                service.slots, policy_by_rank, EXTRA_PERMITS
            )
            self._shape_by_instance[str(name)] = shape
        return self._queue_by_instance[str(name)]

    def _collect(
        self, decisions: tuple[admission.PermitDecision, ...]
    ) -> list[tuple[ReplyFunction, messages_generated.PermitReply]]:
        calls = []
        for decision in decisions:
            reply = self._reply_by_permit.pop(decision.permit_id, None)
            if reply is not None:
                calls.append((reply, _reply_message(decision)))
        return calls


def _policy(rank: resources.ConfiguredRank) -> admission.RankPolicy:
    return admission.RankPolicy(
        rank.order,
        rank.floor,
        rank.queue_requests,
        rank.queue_bytes,
        float(rank.queue_age_ms),
    )


def _reply_message(
    decision: admission.PermitDecision,
) -> messages_generated.PermitReply:
    refused = isinstance(decision, admission.PermitRefused)
    return {
        "permit_id": decision.permit_id,
        "granted": not refused,
        "reason": decision.reason
        if isinstance(decision, admission.PermitRefused)
        else "",
        "retry_after_ms": (
            decision.retry_after_ms
            if isinstance(decision, admission.PermitRefused)
            else 0.0
        ),
    }


def _call_all(
    calls: list[tuple[ReplyFunction, messages_generated.PermitReply]],
) -> None:
    # Outside the lock: a reply may send a message.
    for reply, message in calls:
        reply(message)
