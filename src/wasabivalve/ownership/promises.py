"""Grant promises of authority, each to one controller for a limited time."""

from typing import NamedTuple

from ..schema import messages_generated
from . import replay

PROMISE_MS = 350.0
# The rates of two monotonic clocks may differ by 5 %.
CLOCK_MARGIN = 1.05
PROMISE_WITH_MARGIN_MS = PROMISE_MS * CLOCK_MARGIN
# Reasons of refusals. All four are sent in ``PromiseReply.reason``; requesting VMs
# compare the first one with their own text.
STARTED_RECENTLY = "giver started or woke recently"
LOG_NOT_READ = "giver has not read the log since it started"
PROMISED_TO_ANOTHER = "promised to another VM"
RANK_TOO_LOW = "a higher group revision, term or position was promised"


class PromiseRank(NamedTuple):
    """Order promise requests by comparison as tuples."""

    group_revision: int = 0
    term: int = -1
    position: int = -1


class GrantedPromise(NamedTuple):
    """Record the latest promise for a shard; ``ends_at`` is on the granter's clock."""

    rank: PromiseRank
    revision: int
    vm: str
    ends_at: float


class PromiseGranter:
    """Grant the promises of one VM for all shards; times in ms of its clock."""

    def __init__(self, vm: str, now: float) -> None:
        self.vm = vm
        self._ready_at = now + PROMISE_WITH_MARGIN_MS
        self._last_tick = now
        self._has_read_log = False
        self._promise_by_shard: dict[str, GrantedPromise] = {}

    def on_log_read(self, state: replay.ControlState) -> None:
        """Use the first complete state after the start as lower bound of ranks."""
        if self._has_read_log or not state.complete:
            return
        self._has_read_log = True
        for name, shard in state.shard_by_name.items():
            rank = PromiseRank(shard.group_revision, shard.term)
            self._promise_by_shard[name] = GrantedPromise(
                rank, shard.revision, "", self._ready_at
            )

    def tick(self, now: float) -> None:
        """Detect a pause of the process; it requires the same wait as a start."""
        if now - self._last_tick > PROMISE_MS:
            self._ready_at = now + PROMISE_WITH_MARGIN_MS
        self._last_tick = now

    def granted_promise(self, shard: str) -> GrantedPromise:
        """Return the latest promise for a shard."""
        return self._promise_by_shard.get(
            shard, GrantedPromise(PromiseRank(), 0, "", self._ready_at)
        )

    def on_request(
        self, request: messages_generated.PromiseRequest, now: float
    ) -> messages_generated.PromiseReply:
        """Promise authority to the requesting VM, or refuse with a reason."""
        self.tick(now)
        promise = self.granted_promise(request["shard"])
        rank = PromiseRank(
            request["group_revision"], request["term"], request["position"]
        )
        reason = self._refusal(request, rank, promise, now)
        if not reason:
            # A claimant sends no commands, so a claim uses up no position of the term.
            stored_rank = promise.rank if request["claim"] else rank
            stored_rank = max(stored_rank, PromiseRank(rank.group_revision, rank.term))
            revision = max(promise.revision, request["revision"])
            promise = GrantedPromise(
                stored_rank, revision, request["vm"], now + PROMISE_WITH_MARGIN_MS
            )
            self._promise_by_shard[request["shard"]] = promise
        return {
            "shard": request["shard"],
            "vm": self.vm,
            "granted": not reason,
            "sent_at": request["sent_at"],
            "group_revision": promise.rank.group_revision,
            "term": promise.rank.term,
            "position": promise.rank.position,
            "revision": promise.revision,
            "reason": reason,
        }

    def _refusal(
        self,
        request: messages_generated.PromiseRequest,
        rank: PromiseRank,
        promise: GrantedPromise,
        now: float,
    ) -> str:
        if not self._has_read_log:
            return LOG_NOT_READ
        if now < self._ready_at:
            return STARTED_RECENTLY
        if now < promise.ends_at and promise.vm not in ("", request["vm"]):
            return PROMISED_TO_ANOTHER
        min_rank = (
            promise.rank._replace(position=-1) if request["claim"] else promise.rank
        )
        return RANK_TOO_LOW if rank < min_rank else ""
