"""Grant permits for the instances of which this VM is the dispatcher.

A permit stands for a free slot of an instance. The entry VMs ask the dispatcher of an
instance for a permit before each attempt, so that the instance is not overloaded.
"""

import threading
from collections.abc import Callable
from typing import NamedTuple

from wasabivalve import admission, resources
from wasabivalve.schema import messages_generated

# Keeps a slot from being idle while its permit is in transit.
EXTRA_PERMITS = 1

ReplyFunction = Callable[[messages_generated.PermitReply], None]


class InstanceName(NamedTuple):
    """Identify an instance of a service."""

    service: str
    instance: str

    def __str__(self) -> str:
        """Return ``service/instance``, unique across services."""
        return f"{self.service}/{self.instance}"


class Dispatcher:
    """Hold the permit queues of instances; thread-safe.

    A queue is created when the first request for its instance arrives, because the
    requesting VMs choose the dispatcher.
    """

    def __init__(self, current_view: Callable[[], resources.ConfigurationView | None]):
        self._current_view = current_view
        self._lock = threading.Lock()
        self._queue_by_instance: dict[str, admission.InstanceQueue] = {}
        self._limits_by_instance: dict[str, tuple[object, ...]] = {}
        self._reply_by_permit: dict[str, ReplyFunction] = {}

    def request(
        self,
        message: messages_generated.PermitRequest,
        reply: ReplyFunction,
        now: float,
    ) -> None:
        """Queue a request; ``reply`` is called at most once, maybe before the return.

        ``now`` is in monotonic ms, as in all methods.
        """
        name = InstanceName(message["service"], message["instance"])
        with self._lock:
            instance_queue = self._find_queue(name)
            if instance_queue is None:
                decisions: tuple[admission.PermitDecision, ...] = (
                    admission.PermitRefused(
                        message["permit_id"], "unknown instance", 0.0
                    ),
                )
                replies = [(reply, _reply_message(decisions[0]))]
            else:
                self._reply_by_permit[message["permit_id"]] = reply
                request = admission.request_of_message(message, now)
                replies = self._take_replies(instance_queue.offer(request, now))
        _send_replies(replies)

    def release(self, message: messages_generated.PermitRelease, now: float) -> None:
        """Release a permit, or discard a queued request on outcome ``cancel``."""
        with self._lock:
            instance_queue = self._queue_by_instance.get(message["instance"])
            if instance_queue is None:
                return
            permit_id = message["permit_id"]
            if message["outcome"] == "cancel":
                self._reply_by_permit.pop(permit_id, None)
                decisions = instance_queue.cancel(permit_id, now)
            else:
                record_duration = message["outcome"] == "done"
                decisions = instance_queue.release(
                    permit_id, now, record_duration=record_duration
                )
            replies = self._take_replies(decisions)
        _send_replies(replies)

    def expire(self, now: float) -> None:
        """Expire overdue requests and permits in every queue."""
        replies = []
        with self._lock:
            for instance_queue in self._queue_by_instance.values():
                expires_at = instance_queue.next_expiry_at()
                if expires_at is not None and expires_at <= now:
                    replies += self._take_replies(instance_queue.expire(now))
        _send_replies(replies)

    def _find_queue(self, name: InstanceName) -> admission.InstanceQueue | None:
        view = self._current_view()
        service = view.service_by_name.get(name.service) if view else None
        if view is None or service is None:
            return None
        if name.instance not in {instance.name for instance in service.instances}:
            return None
        policy_by_rank = {
            rank.name: _rank_policy(rank) for rank in view.rank_by_name.values()
        }
        limits = (service.slots, tuple(policy_by_rank.items()))
        if self._limits_by_instance.get(str(name)) != limits:
            # Requests in the old queue get no reply; their VMs time out and ask again.
            self._queue_by_instance[str(name)] = admission.InstanceQueue(
                service.slots, policy_by_rank, EXTRA_PERMITS
            )
            self._limits_by_instance[str(name)] = limits
        return self._queue_by_instance[str(name)]

    def _take_replies(
        self, decisions: tuple[admission.PermitDecision, ...]
    ) -> list[tuple[ReplyFunction, messages_generated.PermitReply]]:
        replies = []
        for decision in decisions:
            reply = self._reply_by_permit.pop(decision.permit_id, None)
            if reply is not None:
                replies.append((reply, _reply_message(decision)))
        return replies


def _rank_policy(rank: resources.ConfiguredRank) -> admission.RankPolicy:
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


def _send_replies(
    replies: list[tuple[ReplyFunction, messages_generated.PermitReply]],
) -> None:
    # Called without the lock: a reply may send a message.
    for reply, message in replies:
        reply(message)
