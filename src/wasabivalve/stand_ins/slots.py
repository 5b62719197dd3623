"""Assign the slots of an upstream to its requests, first come, first served."""

import collections
import threading
from collections.abc import Callable
from typing import NamedTuple

# Interval at which a waiting request checks whether its client has disconnected.
CLIENT_CHECK_INTERVAL_S = 0.25


class SlotRefusal(NamedTuple):
    """Report why a request got no slot."""

    reason: str


class Ticket:
    """Track one waiting or running request."""

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.cancelled = False


class SlotTable:
    """Track the running and waiting requests; callers must hold ``changed``."""

    def __init__(
        self,
        slot_count: int,
        backlog: int,
        changed: threading.Condition,
        on_change: Callable[[int, int], None],
    ):
        """Initialize; ``on_change`` receives the running and the waiting count."""
        self._slot_count = slot_count
        self._backlog = backlog
        self._changed = changed
        self._on_change = on_change
        self._running: set[Ticket] = set()
        self._waiting: collections.deque[Ticket] = collections.deque()

    @property
    def running_count(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def acquire(
        self,
        ticket: Ticket,
        stop_reason: Callable[[], str | None],
        time_left_s: Callable[[], float],
    ) -> SlotRefusal | None:
        """Wait for a slot until ``stop_reason`` returns a reason for a refusal.

        It is called on each change, after ``time_left_s`` and at least every
        ``CLIENT_CHECK_INTERVAL_S``.
        """
        if self.running_count < self._slot_count and not self._waiting:
            self._running.add(ticket)
            self._notify_change()
            return None
        if len(self._waiting) >= self._backlog:
            return SlotRefusal("slots and backlog are full")
        self._waiting.append(ticket)
        self._notify_change()
        while self.running_count >= self._slot_count or self._waiting[0] is not ticket:
            if reason := stop_reason():
                self._waiting.remove(ticket)
                self._notify_change()
                return SlotRefusal(reason)
            self._changed.wait(max(0.0, min(CLIENT_CHECK_INTERVAL_S, time_left_s())))
        self._waiting.popleft()
        self._running.add(ticket)
        self._notify_change()
        return None

    def release(self, ticket: Ticket) -> None:
        """Free the slot of a running request."""
        self._running.discard(ticket)
        self._notify_change()

    def cancel(self, request_id: str) -> bool:
        """Mark the requests with an id as cancelled; return whether there are any."""
        matching_tickets = [
            ticket
            for ticket in (*self._running, *self._waiting)
            if ticket.request_id == request_id
        ]
        for ticket in matching_tickets:
            ticket.cancelled = True
        self._changed.notify_all()
        return bool(matching_tickets)

    def _notify_change(self) -> None:
        self._on_change(self.running_count, self.waiting_count)
        self._changed.notify_all()
