"""Track what a controller knows about the leases of one server."""

import bisect
from typing import NamedTuple

from . import fencing, promises, server_lease

LEASE_WITH_MARGIN_MS = server_lease.LEASE_MS * promises.CLOCK_MARGIN
RENEW_INTERVAL_MS = 120.0
SUSPICION_TIMEOUT_MS = 300.0
# Longer than a round trip between regions, and short enough that one lost reply does
# not make the server suspected.
COMMAND_TIMEOUT_MS = 100.0
FENCE_INTERVAL_MS = 50.0
REVOKE_RETRY_MS = 10.0
# A lease that starts at an older stamp could end before the command arrives.
MAX_STAMP_AGE_MS = server_lease.LEASE_MS - 100.0


class _PendingCommand(NamedTuple):
    """Name a command and the time until which it may give the server a lease."""

    command: server_lease.OwnershipCommand
    may_apply_until: float


class ServerView:
    """Hold what the controller learned about one server since it gained authority.

    Times are in ms of the controller's clock. Every lease that the server may have
    received has ended at ``leases_end_at``.
    """

    def __init__(self, checks_fencing: bool, now: float, leases_end_at: float) -> None:
        self.checks_fencing = checks_fencing
        self.leases_end_at = leases_end_at
        self.is_fenced = False
        self.held: tuple[server_lease.HeldRange, ...] = ()
        self.outstanding_command: server_lease.OwnershipCommand | None = None
        self._inherited_leases_end_at = leases_end_at
        self._starts: list[int] = []
        self._stamp = 0.0
        self._stamp_received_at = float("-inf")
        self._sent_at = float("-inf")
        self._last_keepalive_at = float("-inf")
        self._last_reply_at = now
        self._connection_refused = False
        self._next_revoke_at = float("-inf")
        self._pending_commands: list[_PendingCommand] = []

    def is_usable(self, now: float) -> bool:
        """Return whether the server replies to commands of this controller."""
        return self.is_fenced and not self.is_suspected(now)

    def is_suspected(self, now: float) -> bool:
        """Return whether the server refused a connection or does not reply."""
        return (
            self._connection_refused or now - self._last_reply_at > SUSPICION_TIMEOUT_MS
        )

    def can_send(self, now: float) -> bool:
        """Return whether no command awaits a reply, or its timeout has passed."""
        is_waiting = self.outstanding_command is not None
        return not is_waiting or now - self._sent_at >= COMMAND_TIMEOUT_MS

    def can_revoke(self, now: float) -> bool:
        """Return whether a revoke that running requests prevented may be retried."""
        return now >= self._next_revoke_at

    def holds_all(self, start: int, end: int) -> bool:
        """Return whether the last reply reports all of [start, end) as held."""
        covered_until = start
        index = max(0, bisect.bisect_right(self._starts, start) - 1)
        for held_range in self.held[index:]:
            if covered_until >= end or held_range.start > covered_until:
                break
            covered_until = max(covered_until, held_range.end)
        return covered_until >= end

    def holds_part(self, start: int, end: int) -> bool:
        """Return whether the last reply reports a part of [start, end) as held."""
        return bool(self.held_parts(start, end))

    def held_parts(self, start: int, end: int) -> list[server_lease.HeldRange]:
        """Return the parts of [start, end) that the last reply reports as held."""
        index = max(0, bisect.bisect_right(self._starts, start) - 1)
        parts = []
        for held_range in self.held[index:]:
            if held_range.start >= end:
                break
            if held_range.end > start:
                part_start, part_end = (
                    max(held_range.start, start),
                    min(held_range.end, end),
                )
                parts.append(held_range._replace(start=part_start, end=part_end))
        return parts

    def may_hold(self, start: int, end: int, now: float) -> bool:
        """Return whether the server may hold a part of [start, end)."""
        if now >= self.leases_end_at:
            return False
        if not self.is_fenced or self.holds_part(start, end):
            return True
        if not self.checks_fencing and now < self._inherited_leases_end_at:
            return True
        return any(
            command_range.start < end and start < command_range.end
            for pending in self._pending_commands
            if now < pending.may_apply_until
            for command_range in pending.command.ranges
        )

    def next_keepalive(self, now: float) -> server_lease.Action | None:
        """Return ``fence`` or ``renew`` if one is due, else None."""
        since_sent_ms = now - self._sent_at
        if not self.is_fenced:
            return "fence" if since_sent_ms >= FENCE_INTERVAL_MS else None
        stamp_is_old = now - self._stamp_received_at > MAX_STAMP_AGE_MS
        if stamp_is_old or self.is_suspected(now):
            return "fence" if since_sent_ms >= FENCE_INTERVAL_MS else None
        answer_is_missing = self.outstanding_command is not None
        if not answer_is_missing and now - self._last_keepalive_at < RENEW_INTERVAL_MS:
            return None
        # A delayed grant may add a range at a server that does not check tokens. Its
        # renewals list the ranges that it should hold, so that an added one expires.
        return "renew" if self.checks_fencing or self.held else "fence"

    def renewal_can_wait(self, now: float) -> bool:
        """Return whether a due renewal may still be one interval late."""
        return now - self._last_keepalive_at < 2 * RENEW_INTERVAL_MS

    def can_grant(self, now: float) -> bool:
        """Return whether the latest stamp is recent enough for a grant."""
        return now - self._stamp_received_at <= MAX_STAMP_AGE_MS

    def send(
        self,
        action: server_lease.Action,
        shard: str,
        token: fencing.FencingToken,
        ranges: tuple[server_lease.HeldRange, ...],
        now: float,
    ) -> server_lease.OwnershipCommand:
        """Return the command to send and record the leases that it may start."""
        if action == "renew" and not self.checks_fencing:
            ranges = self.held
        command = server_lease.OwnershipCommand(
            action, shard, token, self._stamp, ranges
        )
        self.outstanding_command = command
        self._sent_at = now
        if action in ("renew", "fence"):
            self._last_keepalive_at = now
        if action in ("renew", "grant"):
            lease_ends_at = self._stamp_received_at + LEASE_WITH_MARGIN_MS
            self.leases_end_at = max(self.leases_end_at, lease_ends_at)
            self._pending_commands.append(_PendingCommand(command, lease_ends_at))
        return command

    def on_connection_refused(self, command: server_lease.OwnershipCommand) -> None:
        """Record that the server refused the connection."""
        if self.outstanding_command == command:
            self.outstanding_command = None
            self._connection_refused = True

    def on_reply(
        self,
        command: server_lease.OwnershipCommand,
        reply: server_lease.OwnershipReply,
        now: float,
    ) -> bool:
        """Apply the reply to the outstanding command; return whether it is valid.

        A reply to an earlier command or with a higher token than the command is not.
        """
        if self.outstanding_command != command:
            return False
        self.outstanding_command = None
        self._connection_refused = False
        self._last_reply_at = now
        if self.checks_fencing and reply.highest_token > command.token:
            return False
        self.is_fenced = True
        self._stamp = reply.stamp
        self._stamp_received_at = now
        if command.action == "revoke" and not reply.accepted:
            self._next_revoke_at = now + REVOKE_RETRY_MS
        self._discard_resolved(command, now)
        held = tuple(sorted(reply.held))
        if held != self.held:
            self.held = held
            self._starts = [held_range.start for held_range in held]
        return True

    def _discard_resolved(
        self, command: server_lease.OwnershipCommand, now: float
    ) -> None:
        """Remove the commands that can no longer take effect."""
        if self.checks_fencing:
            # The server refuses earlier commands that are still in flight.
            self._pending_commands = []
            return
        self._pending_commands = [
            pending
            for pending in self._pending_commands
            if pending.command != command and now < pending.may_apply_until
        ]
