"""Give promises of authority, each to one controller and for a bounded time."""

from typing import NamedTuple

from ..schema import messages_generated
from . import replay

PROMISE_MS = 350.0
# Two monotonic clocks may differ in rate by 5 %.
CLOCK_MARGIN = 1.05
GIVEN_MS = PROMISE_MS * CLOCK_MARGIN
STARTED_RECENTLY = "giver started or woke recently"
LOG_NOT_READ = "giver has not read the log since it started"
PROMISED_TO_ANOTHER = "promised to another VM"
RANK_TOO_LOW = "a higher group revision, term or position was promised"


class PromiseRank(NamedTuple):
    """Order promise requests; compares as a tuple."""

    group_revision: int = 0
    term: int = -1
    position: int = -1


class Given(NamedTuple):
    """Describe the latest promise for a shard; ``ends_at`` in ms of the giver."""

    rank: PromiseRank
    revision: int
    vm: str
    ends_at: float


class PromiseGranter:
    """Give the promises of one VM for all shards; times in ms of its clock."""

    def __init__(self, vm: str, now: float) -> None:
        self.vm = vm
        self._ready_at = now + GIVEN_MS
        self._last_tick = now
        self._log_read = False
        self._given_by_shard: dict[str, Given] = {}

    def on_log_read(self, state: replay.ControlState) -> None:
        """Take the first complete state read after the start as lower bound."""
        if self._log_read or not state.complete:
            return
        self._log_read = True
        for name, shard in state.shard_by_name.items():
            rank = PromiseRank(shard.group_revision, shard.term)
            self._given_by_shard[name] = Given(rank, shard.revision, "", self._ready_at)

    def tick(self, now: float) -> None:
        """Notice a pause, after which the VM waits as after a start."""
        if now - self._last_tick > PROMISE_MS:
            self._ready_at = now + GIVEN_MS
        self._last_tick = now

    def given(self, shard: str) -> Given:
        """Return the latest promise for a shard."""
        return self._given_by_shard.get(
            shard, Given(PromiseRank(), 0, "", self._ready_at)
        )

    def on_request(
        self, request: messages_generated.PromiseRequest, now: float
    ) -> messages_generated.PromiseReply:
        """Promise authority to one VM, or refuse with a reason."""
        self.tick(now)
        given = self.given(request["shard"])
        rank = PromiseRank(
            request["group_revision"], request["term"], request["position"]
        )
        reason = self._refusal(request, rank, given, now)
        if not reason:
            # A claim starts no commands, so it must not end the list of the term.
            kept = given.rank if request["claim"] else rank
            kept = max(kept, PromiseRank(rank.group_revision, rank.term))
            revision = max(given.revision, request["revision"])
            given = Given(kept, revision, request["vm"], now + GIVEN_MS)
            self._given_by_shard[request["shard"]] = given
        return {
            "shard": request["shard"],
            "vm": self.vm,
            "granted": not reason,
            "sent_at": request["sent_at"],
            "group_revision": given.rank.group_revision,
            "term": given.rank.term,
            "position": given.rank.position,
            "revision": given.revision,
            "reason": reason,
        }

    def _refusal(
        self,
        request: messages_generated.PromiseRequest,
        rank: PromiseRank,
        given: Given,
        now: float,
    ) -> str:
        if not self._log_read:
            return LOG_NOT_READ
        if now < self._ready_at:
            return STARTED_RECENTLY
        if now < given.ends_at and given.vm not in ("", request["vm"]):
            return PROMISED_TO_ANOTHER
        lowest = given.rank._replace(position=-1) if request["claim"] else given.rank
        return RANK_TOO_LOW if rank < lowest else ""
