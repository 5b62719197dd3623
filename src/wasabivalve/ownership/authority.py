"""Hold authority over a shard through promises from a majority of its group."""

import random
from typing import NamedTuple

from ..schema import messages_generated, records_generated
from . import promises, replay
from .promises import PromiseGranter

__all__ = ["Authority", "PromiseGranter"]

REQUEST_INTERVAL_MS = 100.0
# Longer than a round trip within a region, so that the next successor wins.
SUCCESSOR_STAGGER_MS = 60.0
# An attempt without a majority is abandoned after this time; otherwise two VMs, each
# with promises of a part of the group, could block each other.
ATTEMPT_TIMEOUT_MS = 200.0
# Extra time of an attempt whose term claim is endorsed; a claim that does not reach the
# log must not block its successors for longer.
CLAIM_EXTENSION_MS = 3000.0
MAX_LOG_SILENCE_MS = 900_000.0


class _SentRequest(NamedTuple):
    rank: promises.PromiseRank
    is_claim: bool
    revision: int


class _ReceivedPromise(NamedTuple):
    request: _SentRequest
    expires_at: float


class Authority:
    """Track the authority of one VM over one shard; times in ms of its clock.

    ``epoch`` counts how often authority was gained, last at ``gained_at``.
    """

    def __init__(
        self,
        vm: str,
        shard: str,
        granter: promises.PromiseGranter,
        rng: random.Random,
        max_log_silence_ms: float = MAX_LOG_SILENCE_MS,
    ) -> None:
        self.vm = vm
        self.shard = shard
        self.max_log_silence_ms = max_log_silence_ms
        self.state = replay.Shard()
        self.position: int | None = None
        self.epoch = 0
        self.gained_at = 0.0
        self.successor_restarted = False
        self._granter = granter
        self._rng = rng
        self._first_read_offset: int | None = None
        self._log_read_at = 0.0
        self._held_until = float("-inf")
        self._max_known_revision = 0
        self._used_position_by_term: dict[int, int] = {}
        self._request_by_sent_at: dict[float, _SentRequest] = {}
        self._promise_by_vm: dict[str, _ReceivedPromise] = {}
        self._next_request_at = float("-inf")
        self._attempt_ends_at: float | None = None
        self._yield_until = float("-inf")

    def on_log_read(self, state: replay.ControlState, now: float) -> None:
        """Apply the state after a successful read to the end of the log."""
        if now - self._log_read_at > self.max_log_silence_ms:
            self._held_until = float("-inf")
        self._log_read_at = now
        if not state.complete:
            self._held_until = float("-inf")
            self._first_read_offset = None
            return
        if self._first_read_offset is None:
            self._first_read_offset = state.next_offset
        before, self.state = self.state, state.shard(self.shard)
        self._yield_to_others(before, now)
        was_reset = self.state.reset_offset > before.reset_offset
        if not was_reset and self.state.term == before.term:
            return
        controllers = self.state.controllers
        if self.is_held(now) and not was_reset and controllers[:1] == (self.vm,):
            # Promises are exclusive in time, so authority continues in the new term.
            self.position = 0
            return
        self._held_until = float("-inf")
        self.position = None
        self._promise_by_vm.clear()
        if controllers[:1] == (self.vm,):
            self._next_request_at = now

    def _yield_to_others(self, before: replay.Shard, now: float) -> None:
        """Delay requests after a change of the group or term.

        A new member of the group lets the holder of authority request first. In a new
        term, every VM lets the first controller request first.
        """
        is_first = self.state.controllers[:1] == (self.vm,)
        has_joined = self.vm in self.state.group and self.vm not in before.group
        is_alone = len(self.state.group) == 1
        term_changed = self.state.term != before.term
        if (has_joined and not is_alone) or (term_changed and not is_first):
            self._yield_until = now + promises.PROMISE_WITH_MARGIN_MS

    def is_held(self, now: float) -> bool:
        """Return whether this VM may act for the shard."""
        silence_ms = now - self._log_read_at
        return now < self._held_until and silence_ms <= self.max_log_silence_ms

    def is_behind(self) -> bool:
        """Return whether another controller acted on a later assignment."""
        return self._max_known_revision > self.state.revision

    def is_claiming(self, now: float) -> bool:
        """Return whether a term claim is needed and endorsed by a majority."""
        if len(self._promise_by_vm) < self.state.majority:
            return False
        return self._next_position() is None and bool(self.endorsements(now))

    def on_position_seen(self, term: int, position: int) -> None:
        """Record that a controller acted; lose authority if it is a later one."""
        self._record_position(term, position)
        own = -1 if self.position is None else self.position
        if (term, position) > (self.state.term, own):
            self._held_until = float("-inf")

    def _record_position(self, term: int, position: int) -> None:
        known = self._used_position_by_term.get(term, -1)
        used = {**self._used_position_by_term, term: max(known, position)}
        self._used_position_by_term = {
            number: highest
            for number, highest in used.items()
            if number >= self.state.term
        }

    def revision_is_confirmed(self, now: float) -> bool:
        """Return whether a majority knows the revision that this VM acts on."""
        return self._majority_end(self._current_promises(self.state.revision)) > now

    def endorsements(self, now: float) -> list[records_generated.Endorsement]:
        """Return the unexpired promises if they are a majority, else none."""
        current = [
            (vm, promise)
            for vm, promise in sorted(self._current_promises(0).items())
            if promise.expires_at > now
        ]
        if len(current) < self.state.majority:
            return []
        return [
            {
                "vm": vm,
                "group_revision": promise.request.rank.group_revision,
                "position": promise.request.rank.position,
            }
            for vm, promise in current
        ]

    def due_requests(
        self, now: float
    ) -> tuple[tuple[str, messages_generated.PromiseRequest], ...]:
        """Return the promise requests to send now, each with its VM."""
        if now < self._next_request_at or not self._may_request(now):
            return ()
        if not self.is_held(now) and not self._update_attempt(now):
            return ()
        self._next_request_at = now + REQUEST_INTERVAL_MS
        position = self._next_position()
        is_claim = position is None
        if not is_claim:
            self.position = position
        rank = promises.PromiseRank(
            self.state.group_revision,
            self.state.term,
            -1 if is_claim else position or 0,
        )
        revision = max(self.state.revision, self._max_known_revision)
        return self._make_requests(_SentRequest(rank, is_claim, revision), now)

    def on_reply(self, reply: messages_generated.PromiseReply, now: float) -> None:
        """Record a promise or refusal; ``sent_at`` identifies the answered request."""
        sent = self._request_by_sent_at.get(reply["sent_at"])
        if sent is None or reply["vm"] not in self.state.group:
            return
        if not reply["granted"]:
            if reply["reason"] == promises.STARTED_RECENTLY and self.is_held(now):
                self.successor_restarted = True
            self._record_position(reply["term"], reply["position"])
            return
        self._max_known_revision = max(self._max_known_revision, reply["revision"])
        expires_at = reply["sent_at"] + promises.PROMISE_MS
        known = self._promise_by_vm.get(reply["vm"])
        if known is None or known.expires_at < expires_at:
            self._promise_by_vm[reply["vm"]] = _ReceivedPromise(sent, expires_at)
        self._update_authority(now)

    def _make_requests(
        self, sent: _SentRequest, now: float
    ) -> tuple[tuple[str, messages_generated.PromiseRequest], ...]:
        oldest_sent_at = now - promises.PROMISE_MS
        recent = {
            sent_at: earlier
            for sent_at, earlier in self._request_by_sent_at.items()
            if sent_at > oldest_sent_at
        }
        self._request_by_sent_at = {**recent, now: sent}
        request: messages_generated.PromiseRequest = {
            "shard": self.shard,
            "vm": self.vm,
            "group_revision": sent.rank.group_revision,
            "term": sent.rank.term,
            "position": sent.rank.position,
            "sent_at": now,
            "claim": sent.is_claim,
            "revision": sent.revision,
        }
        return tuple((vm, request) for vm in self.state.group)

    def _update_authority(self, now: float) -> None:
        """Gain or extend authority if a majority has promised it."""
        authorizing = {
            vm: promise
            for vm, promise in self._current_promises(0).items()
            if self._gives_authority(promise.request)
        }
        end = self._majority_end(authorizing)
        if end <= now:
            return
        if not self.is_held(now):
            self.epoch += 1
            self.gained_at = now
        self._held_until = max(self._held_until, end)
        self._attempt_ends_at = None

    def _gives_authority(self, sent: _SentRequest) -> bool:
        term_and_position = (sent.rank.term, sent.rank.position)
        return not sent.is_claim and term_and_position == (
            self.state.term,
            self.position,
        )

    def _current_promises(self, revision: int) -> dict[str, _ReceivedPromise]:
        """Return the promises of the present group for this revision or a later one."""
        return {
            vm: promise
            for vm, promise in self._promise_by_vm.items()
            if vm in self.state.group
            and promise.request.rank.group_revision == self.state.group_revision
            and promise.request.revision >= revision
        }

    def _majority_end(self, promise_by_vm: dict[str, _ReceivedPromise]) -> float:
        """Return when the first promise needed for a majority expires."""
        end_times = sorted(
            (promise.expires_at for promise in promise_by_vm.values()), reverse=True
        )
        if not self.state.group or len(end_times) < self.state.majority:
            return float("-inf")
        return end_times[self.state.majority - 1]

    def _may_request(self, now: float) -> bool:
        silence_ms = now - self._log_read_at
        if self._first_read_offset is None or silence_ms > self.max_log_silence_ms:
            return False
        return self.vm in self.state.group

    def _next_position(self) -> int | None:
        """Return the position to request, None if a term claim is needed."""
        first_offset = self._first_read_offset
        state = self.state
        # An earlier incarnation of this VM may have used its positions in older terms.
        if (
            first_offset is None
            or state.term < first_offset
            or state.reset_offset > state.term
        ):
            return None
        used = self._max_used_position()
        if self.position is not None and self.position >= used:
            return self.position
        for position in range(used + 1, len(state.controllers)):
            if state.controllers[position] == self.vm:
                return position
        return None

    def _max_used_position(self) -> int:
        """Return the highest position that is known to be used in this term."""
        used = self._used_position_by_term.get(self.state.term, -1)
        granted = self._granter.granted_promise(self.shard).rank
        return max(used, granted.position) if granted.term == self.state.term else used

    def _update_attempt(self, now: float) -> bool:
        """Return whether to request authority now; start or end the attempt."""
        promise = self._granter.granted_promise(self.shard)
        if self._attempt_ends_at is not None:
            attempt_ends_at = self._attempt_ends_at
            if self.is_claiming(now):
                attempt_ends_at += CLAIM_EXTENSION_MS
            if now < attempt_ends_at:
                return True
            self._attempt_ends_at = None
            delay_ms = promises.PROMISE_WITH_MARGIN_MS + self._rng.uniform(
                0.0, 2 * ATTEMPT_TIMEOUT_MS
            )
            self._next_request_at = now + delay_ms
            return False
        yield_until = max(promise.ends_at, self._yield_until)
        if promise.vm != self.vm and now < yield_until:
            return False
        if promise.vm != self.vm and now < yield_until + self._attempt_delay_ms():
            return False
        self._attempt_ends_at = now + ATTEMPT_TIMEOUT_MS
        return True

    def _attempt_delay_ms(self) -> float:
        """Return how long this VM waits for the successors before it."""
        position = self._next_position()
        if position is None:
            controller_count = len(set(self.state.controllers))
            return SUCCESSOR_STAGGER_MS * (
                controller_count + self.state.group.index(self.vm)
            )
        return SUCCESSOR_STAGGER_MS * max(0, position - self._max_used_position() - 1)
