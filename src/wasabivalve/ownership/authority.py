"""Hold authority over a shard by promises from a majority of its group."""

import random
from typing import NamedTuple

from ..schema import messages_generated, records_generated
from . import promises, replay
from .promises import PromiseGranter

__all__ = ["Authority", "PromiseGranter"]

REQUEST_MS = 100.0
# Longer than a round trip within a region, so that the first in line wins.
STAGGER_MS = 60.0
# An attempt without a majority is given up, or two VMs could split the group.
ATTEMPT_MS = 200.0
# A claim that the log does not take must not keep out those who are in line.
CLAIM_MS = 3000.0
LOG_SILENCE_LIMIT_MS = 900_000.0


class _Sent(NamedTuple):
    rank: promises.PromiseRank
    claim: bool
    revision: int


class _Promise(NamedTuple):
    sent: _Sent
    expires_at: float


class Authority:
    """Track the authority of one VM over one shard; times in ms of its clock.

    ``epoch`` counts how often authority was gained and ``since`` is when.
    """

    def __init__(
        self,
        vm: str,
        shard: str,
        giver: promises.PromiseGranter,
        rng: random.Random,
        log_silence_limit_ms: float = LOG_SILENCE_LIMIT_MS,
    ) -> None:
        self.vm = vm
        self.shard = shard
        self.log_silence_limit_ms = log_silence_limit_ms
        self.state = replay.Shard()
        self.position: int | None = None
        self.epoch = 0
        self.since = 0.0
        self.successor_restarted = False
        self._giver = giver
        self._rng = rng
        self._first_offset: int | None = None
        self._log_read_at = 0.0
        self._until = float("-inf")
        self._learned_revision = 0
        self._used_position_by_term: dict[int, int] = {}
        self._sent_by_time: dict[float, _Sent] = {}
        self._promise_by_vm: dict[str, _Promise] = {}
        self._next_request_at = float("-inf")
        self._attempt_ends_at: float | None = None
        self._quiet_until = float("-inf")

    def on_log_read(self, state: replay.ControlState, now: float) -> None:
        """Take over the state after a successful read to the end of the log."""
        if now - self._log_read_at > self.log_silence_limit_ms:
            self._until = float("-inf")
        self._log_read_at = now
        if not state.complete:
            self._until = float("-inf")
            self._first_offset = None
            return
        if self._first_offset is None:
            self._first_offset = state.next_offset
        before, self.state = self.state, state.shard(self.shard)
        self._yield_to_others(before, now)
        reset = self.state.reset_offset > before.reset_offset
        if not reset and self.state.term == before.term:
            return
        controllers = self.state.controllers
        if self.is_held(now) and not reset and controllers[:1] == (self.vm,):
            # Promises are exclusive in time, so authority continues in the new term.
            self.position = 0
            return
        self._until = float("-inf")
        self.position = None
        self._promise_by_vm.clear()
        if controllers[:1] == (self.vm,):
            self._next_request_at = now

    def _yield_to_others(self, before: replay.Shard, now: float) -> None:
        """Let the holder or the first of a new term ask a new member first."""
        first = self.state.controllers[:1] == (self.vm,)
        joined = self.vm in self.state.group and self.vm not in before.group
        alone = len(self.state.group) == 1
        changed = self.state.term != before.term
        if (joined and not alone) or (changed and not first):
            self._quiet_until = now + promises.GIVEN_MS

    def is_held(self, now: float) -> bool:
        """Return whether this VM may act for the shard."""
        silence = now - self._log_read_at
        return now < self._until and silence <= self.log_silence_limit_ms

    def is_behind(self) -> bool:
        """Return whether another controller acted on a later assignment."""
        return self._learned_revision > self.state.revision

    def is_claiming(self, now: float) -> bool:
        """Return whether a term claim is needed and its endorsements are there."""
        if len(self._promise_by_vm) < self.state.majority:
            return False
        return self._next_position() is None and bool(self.endorsements(now))

    def on_position_seen(self, term: int, position: int) -> None:
        """Note that a controller acted; stop if it is a later one than this."""
        self._note_position(term, position)
        own = -1 if self.position is None else self.position
        if (term, position) > (self.state.term, own):
            self._until = float("-inf")

    def _note_position(self, term: int, position: int) -> None:
        known = self._used_position_by_term.get(term, -1)
        used = {**self._used_position_by_term, term: max(known, position)}
        self._used_position_by_term = {
            number: highest
            for number, highest in used.items()
            if number >= self.state.term
        }

    def revision_is_confirmed(self, now: float) -> bool:
        """Return whether a majority knows the revision that this VM acts on."""
        return self._majority_end(self._current(self.state.revision)) > now

    def endorsements(self, now: float) -> list[records_generated.Endorsement]:
        """Return the unexpired promises if they are a majority, else nothing."""
        current = [
            (vm, promise)
            for vm, promise in sorted(self._current(0).items())
            if promise.expires_at > now
        ]
        if len(current) < self.state.majority:
            return []
        return [
            {
                "vm": vm,
                "group_revision": promise.sent.rank.group_revision,
                "position": promise.sent.rank.position,
            }
            for vm, promise in current
        ]

    def requests(
        self, now: float
    ) -> tuple[tuple[str, messages_generated.PromiseRequest], ...]:
        """Return the promise requests that are due, each with its VM."""
        if now < self._next_request_at or not self._may_ask(now):
            return ()
        if not self.is_held(now) and not self._continue_attempt(now):
            return ()
        self._next_request_at = now + REQUEST_MS
        position = self._next_position()
        claim = position is None
        if not claim:
            self.position = position
        rank = promises.PromiseRank(
            self.state.group_revision, self.state.term, -1 if claim else position or 0
        )
        revision = max(self.state.revision, self._learned_revision)
        return self._send(_Sent(rank, claim, revision), now)

    def on_reply(self, reply: messages_generated.PromiseReply, now: float) -> None:
        """Count a promise; ``sent_at`` names the request that it answers."""
        sent = self._sent_by_time.get(reply["sent_at"])
        if sent is None or reply["vm"] not in self.state.group:
            return
        if not reply["granted"]:
            if reply["reason"] == promises.STARTED_RECENTLY and self.is_held(now):
                self.successor_restarted = True
            self._note_position(reply["term"], reply["position"])
            return
        self._learned_revision = max(self._learned_revision, reply["revision"])
        expires_at = reply["sent_at"] + promises.PROMISE_MS
        known = self._promise_by_vm.get(reply["vm"])
        if known is None or known.expires_at < expires_at:
            self._promise_by_vm[reply["vm"]] = _Promise(sent, expires_at)
        self._extend(now)

    def _send(
        self, sent: _Sent, now: float
    ) -> tuple[tuple[str, messages_generated.PromiseRequest], ...]:
        oldest = now - promises.PROMISE_MS
        recent = {at: old for at, old in self._sent_by_time.items() if at > oldest}
        self._sent_by_time = {**recent, now: sent}
        request: messages_generated.PromiseRequest = {
            "shard": self.shard,
            "vm": self.vm,
            "group_revision": sent.rank.group_revision,
            "term": sent.rank.term,
            "position": sent.rank.position,
            "sent_at": now,
            "claim": sent.claim,
            "revision": sent.revision,
        }
        return tuple((vm, request) for vm in self.state.group)

    def _extend(self, now: float) -> None:
        """Gain or extend authority when the promises allow it."""
        acting = {
            vm: promise
            for vm, promise in self._current(0).items()
            if self._is_acting(promise.sent)
        }
        end = self._majority_end(acting)
        if end <= now:
            return
        if not self.is_held(now):
            self.epoch += 1
            self.since = now
        self._until = max(self._until, end)
        self._attempt_ends_at = None

    def _is_acting(self, sent: _Sent) -> bool:
        at = (sent.rank.term, sent.rank.position)
        return not sent.claim and at == (self.state.term, self.position)

    def _current(self, revision: int) -> dict[str, _Promise]:
        """Return the promises of the present group that carry the revision."""
        return {
            vm: promise
            for vm, promise in self._promise_by_vm.items()
            if vm in self.state.group
            and promise.sent.rank.group_revision == self.state.group_revision
            and promise.sent.revision >= revision
        }

    def _majority_end(self, promise_by_vm: dict[str, _Promise]) -> float:
        """Return until when a majority of the group has promised."""
        ends = sorted(
            (item.expires_at for item in promise_by_vm.values()), reverse=True
        )
        if not self.state.group or len(ends) < self.state.majority:
            return float("-inf")
        return ends[self.state.majority - 1]

    def _may_ask(self, now: float) -> bool:
        silence = now - self._log_read_at
        if self._first_offset is None or silence > self.log_silence_limit_ms:
            return False
        return self.vm in self.state.group

    def _next_position(self) -> int | None:
        """Return the position to ask for, None when a claim is needed."""
        first = self._first_offset
        state = self.state
        # An earlier start of this VM may have used its positions in older terms.
        if first is None or state.term < first or state.reset_offset > state.term:
            return None
        used = self._highest_position()
        if self.position is not None and self.position >= used:
            return self.position
        for position in range(used + 1, len(state.controllers)):
            if state.controllers[position] == self.vm:
                return position
        return None

    def _highest_position(self) -> int:
        """Return the highest position that is known to be used in this term."""
        used = self._used_position_by_term.get(self.state.term, -1)
        given = self._giver.given(self.shard).rank
        return max(used, given.position) if given.term == self.state.term else used

    def _continue_attempt(self, now: float) -> bool:
        """Return whether to ask now, while another VM may hold authority."""
        given = self._giver.given(self.shard)
        if self._attempt_ends_at is not None:
            limit = self._attempt_ends_at
            if self.is_claiming(now):
                limit += CLAIM_MS
            if now < limit:
                return True
            self._attempt_ends_at = None
            wait = promises.GIVEN_MS + self._rng.uniform(0.0, 2 * ATTEMPT_MS)
            self._next_request_at = now + wait
            return False
        quiet_until = max(given.ends_at, self._quiet_until)
        if given.vm != self.vm and now < quiet_until:
            return False
        if given.vm != self.vm and now < quiet_until + self._delay():
            return False
        self._attempt_ends_at = now + ATTEMPT_MS
        return True

    def _delay(self) -> float:
        """Return how long this VM lets those before it in line go first."""
        position = self._next_position()
        if position is None:
            line = len(set(self.state.controllers))
            return STAGGER_MS * (line + self.state.group.index(self.vm))
        return STAGGER_MS * max(0, position - self._highest_position() - 1)
