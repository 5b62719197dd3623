"""Track the key ranges that controllers lease to one server.

A single hot key is a range of one position, so that every rule applies to ranges.
"""

import bisect
import dataclasses
from typing import Literal, NamedTuple

from . import fencing, key_ranges

# The keys of a lost server are unavailable for this time. It also has to cover a
# takeover: a new controller renews after a promise period and a few round trips.
LEASE_MS = 600.0

Action = Literal["fence", "renew", "grant", "prepare", "drain", "revoke"]


class HeldRange(NamedTuple):
    """Name positions [start, end), the key of a single position and the grant's token.

    In a reply, ``draining`` marks a range that is held but admits no requests.
    """

    start: int
    end: int
    key: str = ""
    token: fencing.FencingToken = fencing.NO_TOKEN
    draining: bool = False


class OwnershipCommand(NamedTuple):
    """Hold a command of a controller; ``stamp`` is that of an earlier reply, in ms."""

    action: Action
    shard: str
    token: fencing.FencingToken
    stamp: float
    ranges: tuple[HeldRange, ...] = ()


class OwnershipReply(NamedTuple):
    """Hold the reply of a server; ``stamp`` is its monotonic time in ms."""

    accepted: bool
    stamp: float
    highest_token: fencing.FencingToken
    held: tuple[HeldRange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _LeasedRange:
    held: HeldRange
    ends_at: float

    def part(self, start: int, end: int) -> "_LeasedRange":
        """Return the part of this range within [start, end)."""
        part_start = max(start, self.held.start)
        part_end = min(end, self.held.end)
        key = self.held.key if part_end - part_start == 1 else ""
        held = self.held._replace(start=part_start, end=part_end, key=key)
        return dataclasses.replace(self, held=held)

    def with_draining(self, draining: bool) -> "_LeasedRange":
        """Return this range with its draining mark set or cleared."""
        return dataclasses.replace(self, held=self.held._replace(draining=draining))

    def overlaps(self, start: int, end: int) -> bool:
        """Return whether the range contains a position of [start, end)."""
        return self.held.start < end and start < self.held.end


class ServerLease:
    """Hold the ranges of one shard that are leased to one server.

    All times are in ms of the server's own monotonic clock. The lease of a range ends
    ``lease_ms`` after the latest stamp of the renewals and grants that cover it.
    """

    def __init__(self, checks_fencing: bool, lease_ms: float = LEASE_MS) -> None:
        self.checks_fencing = checks_fencing
        self.lease_ms = lease_ms
        self.highest_token = fencing.NO_TOKEN
        # Sorted by position.
        self._leased_ranges: list[_LeasedRange] = []
        # Only stamps of this process are valid: a delayed command for an earlier
        # incarnation of the server has a stamp of another clock.
        self._issued_stamps: set[float] = set()
        self._running_by_position: dict[int, int] = {}

    def handle(self, command: OwnershipCommand, now: float) -> OwnershipReply:
        """Apply a command and return the reply with the ranges now held."""
        self._expire(now)
        accepted = self._accept_token(command.token) and self._apply(command, now)
        self._issued_stamps.add(now)
        held = tuple(leased.held for leased in self._leased_ranges)
        return OwnershipReply(accepted, now, self.highest_token, held)

    def start_refusal(
        self, key: str, request_token: fencing.FencingToken, now: float
    ) -> str | None:
        """Return the reason why a request must not start now, or None."""
        leased = self._leased_range_at(key_ranges.position_of_key(key), now)
        if leased is not None and leased.held.draining:
            return "range is draining"
        return self._refusal(leased, request_token)

    def commit_refusal(
        self, key: str, request_token: fencing.FencingToken, now: float
    ) -> str | None:
        """Return the reason why a started request must not commit now, or None."""
        leased = self._leased_range_at(key_ranges.position_of_key(key), now)
        return self._refusal(leased, request_token)

    def token_of_key(self, key: str, now: float) -> fencing.FencingToken | None:
        """Return the token of the grant that covers a key, None if there is none."""
        leased = self._leased_range_at(key_ranges.position_of_key(key), now)
        return None if leased is None else leased.held.token

    def on_request_started(self, key: str) -> None:
        """Count a running request; its range is not revoked before it finishes."""
        position = key_ranges.position_of_key(key)
        self._running_by_position[position] = (
            self._running_by_position.get(position, 0) + 1
        )

    def on_request_finished(self, key: str) -> None:
        """Stop counting a request that was passed to ``on_request_started``."""
        position = key_ranges.position_of_key(key)
        remaining = self._running_by_position.pop(position) - 1
        if remaining:
            self._running_by_position[position] = remaining

    def _accept_token(self, command_token: fencing.FencingToken) -> bool:
        if self.checks_fencing and command_token < self.highest_token:
            return False
        self.highest_token = max(self.highest_token, command_token)
        return True

    def _apply(self, command: OwnershipCommand, now: float) -> bool:
        if command.action == "renew":
            return self._renew(command, now)
        if command.action == "grant":
            return self._grant(command, now)
        if command.action == "drain":
            self._leased_ranges = _split_at_bounds(self._leased_ranges, command.ranges)
            self._leased_ranges = [
                leased.with_draining(True)
                if _is_covered(leased, command.ranges)
                else leased
                for leased in self._leased_ranges
            ]
        if command.action == "revoke":
            return self._revoke(command.ranges)
        return True

    def _renew(self, command: OwnershipCommand, now: float) -> bool:
        """Extend the leases of the listed ranges, or of all if none is listed."""
        ends_at = self._lease_end(command.stamp, now)
        if ends_at is None:
            return False
        if command.ranges:
            self._leased_ranges = _split_at_bounds(self._leased_ranges, command.ranges)
        self._leased_ranges = [
            dataclasses.replace(leased, ends_at=max(leased.ends_at, ends_at))
            if not command.ranges or _is_covered(leased, command.ranges)
            else leased
            for leased in self._leased_ranges
        ]
        self._leased_ranges = _merge_neighbours(self._leased_ranges)
        return True

    def _grant(self, command: OwnershipCommand, now: float) -> bool:
        """Add ranges; a range still held keeps its token and admits requests again."""
        ends_at = self._lease_end(command.stamp, now)
        if ends_at is None:
            return False
        for requested in command.ranges:
            self._leased_ranges = _split_at_bounds(self._leased_ranges, (requested,))
            added = _uncovered_parts(self._leased_ranges, requested, command.token)
            self._leased_ranges = [
                dataclasses.replace(
                    leased.with_draining(False), ends_at=max(leased.ends_at, ends_at)
                )
                if _is_covered(leased, (requested,))
                else leased
                for leased in self._leased_ranges
            ]
            self._leased_ranges += [_LeasedRange(held, ends_at) for held in added]
        self._leased_ranges = _merge_neighbours(self._leased_ranges)
        return True

    def _revoke(self, ranges: tuple[HeldRange, ...]) -> bool:
        """Remove the ranges without running requests; return whether all were."""
        free = tuple(
            requested
            for requested in ranges
            if not any(
                requested.start <= position < requested.end
                for position in self._running_by_position
            )
        )
        leased_ranges = _split_at_bounds(self._leased_ranges, free)
        self._leased_ranges = [
            leased for leased in leased_ranges if not _is_covered(leased, free)
        ]
        return len(free) == len(ranges)

    def _lease_end(self, stamp: float, now: float) -> float | None:
        """Return the end of a lease from a stamp, None if unknown or past."""
        if stamp not in self._issued_stamps or stamp + self.lease_ms <= now:
            return None
        return stamp + self.lease_ms

    def _expire(self, now: float) -> None:
        self._leased_ranges = [
            leased for leased in self._leased_ranges if leased.ends_at > now
        ]
        self._issued_stamps = {
            stamp for stamp in self._issued_stamps if stamp + self.lease_ms > now
        }

    def _leased_range_at(self, position: int, now: float) -> _LeasedRange | None:
        index = bisect.bisect_right(
            self._leased_ranges, position, key=lambda leased: leased.held.start
        )
        leased = self._leased_ranges[index - 1] if index else None
        if leased is None or position >= leased.held.end or leased.ends_at <= now:
            return None
        return leased

    def _refusal(
        self, leased: _LeasedRange | None, request_token: fencing.FencingToken
    ) -> str | None:
        if leased is None:
            return "key is not held or its lease is over"
        if self.checks_fencing and request_token != leased.held.token:
            return "token is not that of the grant"
        return None


def _is_covered(leased: _LeasedRange, ranges: tuple[HeldRange, ...]) -> bool:
    return any(leased.overlaps(requested.start, requested.end) for requested in ranges)


def _split_at_bounds(
    leased_ranges: list[_LeasedRange], ranges: tuple[HeldRange, ...]
) -> list[_LeasedRange]:
    """Return the leased ranges, split at the bounds of the other ranges."""
    for requested in ranges:
        pieces: list[_LeasedRange] = []
        for leased in leased_ranges:
            if not leased.overlaps(requested.start, requested.end):
                pieces.append(leased)
                continue
            bounds = (
                (leased.held.start, requested.start),
                (requested.start, requested.end),
                (requested.end, leased.held.end),
            )
            pieces += [leased.part(*pair) for pair in bounds if leased.overlaps(*pair)]
        leased_ranges = [
            leased for leased in pieces if leased.held.start < leased.held.end
        ]
    return leased_ranges


def _uncovered_parts(
    leased_ranges: list[_LeasedRange],
    requested: HeldRange,
    grant_token: fencing.FencingToken,
) -> list[HeldRange]:
    """Return the parts of a range that no leased range covers."""
    uncovered = []
    start = requested.start
    overlapping = [
        leased
        for leased in leased_ranges
        if leased.overlaps(requested.start, requested.end)
    ]
    for leased in sorted(overlapping, key=lambda leased: leased.held.start):
        if start < leased.held.start:
            uncovered.append(HeldRange(start, leased.held.start, "", grant_token))
        start = leased.held.end
    if start < requested.end:
        key = requested.key if start == requested.start else ""
        uncovered.append(HeldRange(start, requested.end, key, grant_token))
    return uncovered


def _merge_neighbours(leased_ranges: list[_LeasedRange]) -> list[_LeasedRange]:
    """Return the ranges in order, adjacent ones with equal properties merged."""
    merged: list[_LeasedRange] = []
    for leased in sorted(leased_ranges, key=lambda leased: leased.held.start):
        last = merged[-1] if merged else None
        if last is not None and _can_merge(last, leased):
            held = last.held._replace(end=leased.held.end)
            merged[-1] = dataclasses.replace(last, held=held)
        else:
            merged.append(leased)
    return merged


def _can_merge(left: _LeasedRange, right: _LeasedRange) -> bool:
    return (
        left.held.end == right.held.start
        and left.held.token == right.held.token
        and not left.held.key
        and not right.held.key
        and left.held.draining == right.held.draining
        and left.ends_at == right.ends_at
    )
