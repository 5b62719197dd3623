"""Track what a controller knows about the ranges of one server."""

import bisect
from typing import NamedTuple

from . import fencing, promises, server_lease

LEASE_BOUND_MS = server_lease.LEASE_MS * promises.CLOCK_MARGIN
RENEW_MS = 120.0
SUSPECT_MS = 300.0
# Short enough that one lost answer does not make a server suspected, and longer than
# a round trip between regions.
COMMAND_TIMEOUT_MS = 100.0
PROBE_MS = 50.0
RETRY_REVOKE_MS = 10.0
# A stamp this old could end before the command arrives.
STAMP_LIMIT_MS = server_lease.LEASE_MS - 100.0


class _Pending(NamedTuple):
    """Describe a command that may still take effect, until a time."""

    command: server_lease.OwnershipCommand
    until: float


class ServerView:
    """Hold the knowledge about one server since authority was gained.

    Times are in ms of the controller's clock. ``exposed_until`` is when every lease
    that the server may have received has ended.
    """

    def __init__(self, checks_fencing: bool, now: float, exposed_until: float) -> None:
        self.checks_fencing = checks_fencing
        self.exposed_until = exposed_until
        self.fenced = False
        self.held: tuple[server_lease.HeldRange, ...] = ()
        self.outstanding: server_lease.OwnershipCommand | None = None
        self._inherited_until = exposed_until
        self._starts: list[int] = []
        self._stamp = 0.0
        self._stamp_at = float("-inf")
        self._sent_at = float("-inf")
        self._renewed_at = float("-inf")
        self._last_reply_at = now
        self._refused = False
        self._revoke_after = float("-inf")
        self._pending: list[_Pending] = []

    def is_usable(self, now: float) -> bool:
        """Return whether the server answers commands of this controller."""
        return self.fenced and not self.is_suspected(now)

    def is_suspected(self, now: float) -> bool:
        """Return whether the server refused a connection or is silent."""
        return self._refused or now - self._last_reply_at > SUSPECT_MS

    def is_free(self, now: float) -> bool:
        """Return whether a command may be sent; one is outstanding at a time."""
        waiting = self.outstanding is not None
        return not waiting or now - self._sent_at >= COMMAND_TIMEOUT_MS

    def may_revoke(self, now: float) -> bool:
        """Return whether it is time to ask again after running requests."""
        return now >= self._revoke_after

    def holds(self, start: int, end: int) -> bool:
        """Return whether the last answer shows all of [start, end) as held."""
        at = start
        index = max(0, bisect.bisect_right(self._starts, start) - 1)
        for piece in self.held[index:]:
            if at >= end or piece.start > at:
                break
            at = max(at, piece.end)
        return at >= end

    def shows(self, start: int, end: int) -> bool:
        """Return whether the last answer shows a part of [start, end) as held."""
        return bool(self.pieces(start, end))

    def pieces(self, start: int, end: int) -> list[server_lease.HeldRange]:
        """Return the parts of [start, end) that the last answer shows as held."""
        index = max(0, bisect.bisect_right(self._starts, start) - 1)
        found = []
        for piece in self.held[index:]:
            if piece.start >= end:
                break
            if piece.end > start:
                low, high = max(piece.start, start), min(piece.end, end)
                found.append(piece._replace(start=low, end=high))
        return found

    def may_hold(self, start: int, end: int, now: float) -> bool:
        """Return whether the server may hold a part of [start, end)."""
        if now >= self.exposed_until:
            return False
        if not self.fenced or self.shows(start, end):
            return True
        if not self.checks_fencing and now < self._inherited_until:
            return True
        return any(
            item.start < end and start < item.end
            for pending in self._pending
            if now < pending.until
            for item in pending.command.ranges
        )

    def next_keepalive(self, now: float) -> server_lease.Action | None:
        """Return ``fence`` or ``renew`` when one is due."""
        quiet = now - self._sent_at
        if not self.fenced:
            return "fence" if quiet >= PROBE_MS else None
        stamp_is_old = now - self._stamp_at > STAMP_LIMIT_MS
        if stamp_is_old or self.is_suspected(now):
            return "fence" if quiet >= PROBE_MS else None
        lost = self.outstanding is not None
        if not lost and now - self._renewed_at < RENEW_MS:
            return None
        # A delayed grant may add a range to a server without token check. Such a
        # server gets renewals that list what it should hold.
        return "renew" if self.checks_fencing or self.held else "fence"

    def can_wait(self, now: float) -> bool:
        """Return whether a renewal may be late by one interval."""
        return now - self._renewed_at < 2 * RENEW_MS

    def can_grant(self, now: float) -> bool:
        """Return whether the latest stamp is young enough for a grant."""
        return now - self._stamp_at <= STAMP_LIMIT_MS

    def send(
        self,
        action: server_lease.Action,
        shard: str,
        token: fencing.FencingToken,
        ranges: tuple[server_lease.HeldRange, ...],
        now: float,
    ) -> server_lease.OwnershipCommand:
        """Return the command and record what it may cause."""
        if action == "renew" and not self.checks_fencing:
            ranges = self.held
        command = server_lease.OwnershipCommand(
            action, shard, token, self._stamp, ranges
        )
        self.outstanding = command
        self._sent_at = now
        if action in ("renew", "fence"):
            self._renewed_at = now
        if action in ("renew", "grant"):
            until = self._stamp_at + LEASE_BOUND_MS
            self.exposed_until = max(self.exposed_until, until)
            self._pending.append(_Pending(command, until))
        return command

    def on_refused(self, command: server_lease.OwnershipCommand) -> None:
        """Record that the server refused the connection."""
        if self.outstanding == command:
            self.outstanding = None
            self._refused = True

    def on_reply(
        self,
        command: server_lease.OwnershipCommand,
        reply: server_lease.OwnershipReply,
        now: float,
    ) -> bool:
        """Take the answer to the outstanding command; return whether it counts."""
        if self.outstanding != command:
            return False
        self.outstanding = None
        self._refused = False
        self._last_reply_at = now
        if self.checks_fencing and reply.highest_token > command.token:
            return False
        self.fenced = True
        self._stamp = reply.stamp
        self._stamp_at = now
        if command.action == "revoke" and not reply.accepted:
            self._revoke_after = now + RETRY_REVOKE_MS
        self._resolve(command, now)
        held = tuple(sorted(reply.held))
        if held != self.held:
            self.held = held
            self._starts = [piece.start for piece in held]
        return True

    def _resolve(self, command: server_lease.OwnershipCommand, now: float) -> None:
        """Forget the commands that can no longer take effect."""
        if self.checks_fencing:
            # The server refuses what was sent earlier and has not arrived.
            self._pending = []
            return
        self._pending = [
            pending
            for pending in self._pending
            if pending.command != command and now < pending.until
        ]
