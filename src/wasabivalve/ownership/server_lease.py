"""Apply the rules of a server that accepts fenced grants.

A single hot key is the range of its one position, so all rules are about ranges.
"""

import bisect
import dataclasses
from typing import Literal, NamedTuple

from . import fencing, key_ranges

# A server that is lost blocks its keys this long; a new controller must renew within
# it after a takeover, which takes a promise period and a few round trips.
LEASE_MS = 600.0

Action = Literal["fence", "renew", "grant", "prepare", "drain", "revoke"]


class HeldRange(NamedTuple):
    """Name positions [start, end), the hot key if single, and the grant's token.

    A reply shows as ``draining`` what the server holds but admits no requests for.
    """

    start: int
    end: int
    key: str = ""
    token: fencing.FencingToken = fencing.NO_TOKEN
    draining: bool = False


class OwnershipCommand(NamedTuple):
    """Carry one command of a controller; ``stamp`` echoes a reply, in ms."""

    action: Action
    shard: str
    token: fencing.FencingToken
    stamp: float
    ranges: tuple[HeldRange, ...] = ()


class OwnershipReply(NamedTuple):
    """Carry the answer of a server; ``stamp`` is its monotonic time in ms."""

    accepted: bool
    stamp: float
    highest_token: fencing.FencingToken
    held: tuple[HeldRange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Piece:
    held: HeldRange
    ends_at: float

    def part(self, start: int, end: int) -> "_Piece":
        """Return the part of this piece within [start, end)."""
        low = max(start, self.held.start)
        high = min(end, self.held.end)
        key = self.held.key if high - low == 1 else ""
        held = self.held._replace(start=low, end=high, key=key)
        return dataclasses.replace(self, held=held)

    def with_draining(self, draining: bool) -> "_Piece":
        """Return this piece, admitting requests or not."""
        return dataclasses.replace(self, held=self.held._replace(draining=draining))

    def overlaps(self, start: int, end: int) -> bool:
        """Return whether a position of [start, end) is held."""
        return self.held.start < end and start < self.held.end


class ServerLease:
    """Hold the ranges that one server was granted in one shard.

    All times are in ms of the server's own monotonic clock. A range that a renewal
    or grant does not cover ends at the last covering stamp plus ``lease_ms``.
    """

    def __init__(self, checks_fencing: bool, lease_ms: float = LEASE_MS) -> None:
        self.checks_fencing = checks_fencing
        self.lease_ms = lease_ms
        self.highest_token = fencing.NO_TOKEN
        # Sorted by position.
        self._pieces: list[_Piece] = []
        # A stamp counts only if this process issued it: a delayed command for an
        # earlier start of the server carries the stamp of another clock.
        self._issued: set[float] = set()
        self._running: dict[int, int] = {}

    def handle(self, command: OwnershipCommand, now: float) -> OwnershipReply:
        """Apply one command and return the answer with the ranges now held."""
        self._expire(now)
        accepted = self._admit(command.token) and self._apply(command, now)
        self._issued.add(now)
        held = tuple(piece.held for piece in self._pieces)
        return OwnershipReply(accepted, now, self.highest_token, held)

    def start_refusal(
        self, key: str, request_token: fencing.FencingToken, now: float
    ) -> str | None:
        """Return why a request must not start now, or None."""
        piece = self._piece_at(key_ranges.position_of_key(key), now)
        if piece is not None and piece.held.draining:
            return "range is draining"
        return self._refusal(piece, request_token)

    def commit_refusal(
        self, key: str, request_token: fencing.FencingToken, now: float
    ) -> str | None:
        """Return why a started request must not commit now, or None."""
        piece = self._piece_at(key_ranges.position_of_key(key), now)
        return self._refusal(piece, request_token)

    def token_of_key(self, key: str, now: float) -> fencing.FencingToken | None:
        """Return the token of the grant that covers a key, None when none does."""
        piece = self._piece_at(key_ranges.position_of_key(key), now)
        return None if piece is None else piece.held.token

    def on_request_started(self, key: str) -> None:
        """Count a running request; its range is not revoked before it finishes."""
        position = key_ranges.position_of_key(key)
        self._running[position] = self._running.get(position, 0) + 1

    def on_request_finished(self, key: str) -> None:
        """End the count of a request that was passed to ``on_request_started``."""
        position = key_ranges.position_of_key(key)
        left = self._running.pop(position) - 1
        if left:
            self._running[position] = left

    def _admit(self, command_token: fencing.FencingToken) -> bool:
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
            self._pieces = _split(self._pieces, command.ranges)
            self._pieces = [
                piece.with_draining(True) if _covered(piece, command.ranges) else piece
                for piece in self._pieces
            ]
        if command.action == "revoke":
            return self._revoke(command.ranges)
        return True

    def _renew(self, command: OwnershipCommand, now: float) -> bool:
        """Extend the listed ranges, or all when none is listed."""
        ends_at = self._end_of_lease(command.stamp, now)
        if ends_at is None:
            return False
        if command.ranges:
            self._pieces = _split(self._pieces, command.ranges)
        self._pieces = [
            dataclasses.replace(piece, ends_at=max(piece.ends_at, ends_at))
            if not command.ranges or _covered(piece, command.ranges)
            else piece
            for piece in self._pieces
        ]
        self._pieces = _merged(self._pieces)
        return True

    def _grant(self, command: OwnershipCommand, now: float) -> bool:
        """Add ranges; a range still held keeps its token and admits work again."""
        ends_at = self._end_of_lease(command.stamp, now)
        if ends_at is None:
            return False
        for wanted in command.ranges:
            self._pieces = _split(self._pieces, (wanted,))
            fresh = _gaps(self._pieces, wanted, command.token)
            self._pieces = [
                dataclasses.replace(
                    piece.with_draining(False), ends_at=max(piece.ends_at, ends_at)
                )
                if _covered(piece, (wanted,))
                else piece
                for piece in self._pieces
            ]
            self._pieces += [_Piece(held, ends_at) for held in fresh]
        self._pieces = _merged(self._pieces)
        return True

    def _revoke(self, ranges: tuple[HeldRange, ...]) -> bool:
        """Drop the ranges in which no request runs; return whether all are free."""
        free = tuple(
            wanted
            for wanted in ranges
            if not any(wanted.start <= at < wanted.end for at in self._running)
        )
        pieces = _split(self._pieces, free)
        self._pieces = [piece for piece in pieces if not _covered(piece, free)]
        return len(free) == len(ranges)

    def _end_of_lease(self, stamp: float, now: float) -> float | None:
        """Return the end of a lease from an echoed stamp, None if it is over."""
        if stamp not in self._issued or stamp + self.lease_ms <= now:
            return None
        return stamp + self.lease_ms

    def _expire(self, now: float) -> None:
        self._pieces = [piece for piece in self._pieces if piece.ends_at > now]
        self._issued = {at for at in self._issued if at + self.lease_ms > now}

    def _piece_at(self, position: int, now: float) -> _Piece | None:
        index = bisect.bisect_right(
            self._pieces, position, key=lambda piece: piece.held.start
        )
        piece = self._pieces[index - 1] if index else None
        if piece is None or position >= piece.held.end or piece.ends_at <= now:
            return None
        return piece

    def _refusal(
        self, piece: _Piece | None, request_token: fencing.FencingToken
    ) -> str | None:
        if piece is None:
            return "key is not held or its lease is over"
        if self.checks_fencing and request_token != piece.held.token:
            return "token is not that of the grant"
        return None


def _covered(piece: _Piece, ranges: tuple[HeldRange, ...]) -> bool:
    return any(piece.overlaps(wanted.start, wanted.end) for wanted in ranges)


def _split(pieces: list[_Piece], ranges: tuple[HeldRange, ...]) -> list[_Piece]:
    """Return the pieces cut at the boundaries of the ranges."""
    for wanted in ranges:
        cut: list[_Piece] = []
        for piece in pieces:
            if not piece.overlaps(wanted.start, wanted.end):
                cut.append(piece)
                continue
            bounds = (
                (piece.held.start, wanted.start),
                (wanted.start, wanted.end),
                (wanted.end, piece.held.end),
            )
            cut += [piece.part(*pair) for pair in bounds if piece.overlaps(*pair)]
        pieces = [piece for piece in cut if piece.held.start < piece.held.end]
    return pieces


def _gaps(
    pieces: list[_Piece], wanted: HeldRange, grant_token: fencing.FencingToken
) -> list[HeldRange]:
    """Return the parts of a range that no piece covers."""
    gaps = []
    start = wanted.start
    inside = [piece for piece in pieces if piece.overlaps(wanted.start, wanted.end)]
    for piece in sorted(inside, key=lambda piece: piece.held.start):
        if start < piece.held.start:
            gaps.append(HeldRange(start, piece.held.start, "", grant_token))
        start = piece.held.end
    if start < wanted.end:
        key = wanted.key if start == wanted.start else ""
        gaps.append(HeldRange(start, wanted.end, key, grant_token))
    return gaps


def _merged(pieces: list[_Piece]) -> list[_Piece]:
    """Return the pieces in order, neighbours with equal terms joined."""
    merged: list[_Piece] = []
    for piece in sorted(pieces, key=lambda piece: piece.held.start):
        last = merged[-1] if merged else None
        if last is not None and _joins(last, piece):
            held = last.held._replace(end=piece.held.end)
            merged[-1] = dataclasses.replace(last, held=held)
        else:
            merged.append(piece)
    return merged


def _joins(left: _Piece, right: _Piece) -> bool:
    return (
        left.held.end == right.held.start
        and left.held.token == right.held.token
        and not left.held.key
        and not right.held.key
        and left.held.draining == right.held.draining
        and left.ends_at == right.ends_at
    )
