"""Control one shard: take events and return decisions.

The controller runs on every entry VM. It acts only while it holds authority; the rest
of the time it takes part in the succession and follows the log.
"""

import collections
import random
import uuid
from typing import Any

from . import (
    assignments,
    authority,
    decisions,
    fencing,
    groups,
    owner_tables,
    promises,
    replay,
    server_view,
    snapshots,
    tenure,
)

APPEND_RETRY_MS = 1000.0
APPEND_RETRY_LIMIT_MS = 8000.0
BOOTSTRAP_STAGGER_MS = 200.0
RECLAIM_INTERVAL_MS = 10_000.0
# The VM list lags, and a reset costs more than waiting.
RESET_AFTER_MS = 2000.0
FIRST_TABLE_AFTER_MS = 100.0
# Comparing all lists costs CPU; most changes also start it at once.
UPKEEP_INTERVAL_MS = 500.0
IDLE_INTERVAL_MS = 5000.0
GROUP_CHECK_MS = 200.0
SNAPSHOT_EVERY_RECORDS = 2000


class ShardController:
    """Decide for one shard on one VM; times in ms of the VM's monotonic clock."""

    def __init__(
        self,
        vm: str,
        shard: str,
        checks_fencing: bool,
        giver: promises.PromiseGranter,
        rng: random.Random,
        *,
        log_silence_limit_ms: float = authority.LOG_SILENCE_LIMIT_MS,
        plan_initial: assignments.PlanInitial = assignments.plan_initial,
        snapshot_every_records: int = SNAPSHOT_EVERY_RECORDS,
    ) -> None:
        self.vm = vm
        self.shard = shard
        self.checks_fencing = checks_fencing
        self.authority = authority.Authority(
            vm, shard, giver, rng, log_silence_limit_ms
        )
        self.tenure: tenure.Tenure | None = None
        self._rng = rng
        self._plan_initial = plan_initial
        self._snapshot_every_records = snapshot_every_records
        self._state = replay.ControlState()
        self._log_was_read = False
        self._services = assignments.Services()
        self._vms: tuple[str, ...] = ()
        self._moves: list[decisions.MoveRequest] = []
        self._step = 0
        self._epoch = 0
        self._blocked_until = float("-inf")
        self._pending: tuple[Any, ...] = ()
        self._pending_targets: dict[tenure.Span, str] = {}
        self._retry_at = 0.0
        self._retry_ms = APPEND_RETRY_MS
        self._missing_since: float | None = None
        self._reset_seen_at: float | None = None
        self._claimed_at = float("-inf")
        self._upkeep_at = 0.0
        self._group_check_at = float("-inf")
        self._table_is_stale = False
        self._unowned: frozenset[tenure.Span] = frozenset()

    def handle(
        self, event: decisions.Event, now: float
    ) -> tuple[decisions.Decision, ...]:
        """Take one event and return what to do, in order."""
        result: list[decisions.Decision] = []
        match event:
            case decisions.PromiseReplied(reply):
                self.authority.on_reply(reply, now)
            case decisions.OwnershipReplied():
                self._on_ownership_reply(event, now)
            case decisions.LogRead(state):
                result += self._on_log_read(state, now)
            case decisions.ServersChanged(servers, leaving):
                self._services = assignments.Services(servers, frozenset(leaving))
                self._take_lists(now)
            case decisions.GenerationReceived(generation):
                self._on_later_token(generation)
            case decisions.VmsChanged(vms):
                self._vms = vms
            case decisions.MovesRequested(moves):
                self._on_moves(moves, now)
        self._follow_authority(result, now)
        for vm, request in self.authority.requests(now):
            result.append(decisions.SendPromiseRequest(vm, request))
        if self.tenure is not None and now >= self._blocked_until:
            self._act(self.tenure, result, now)
        self._append(result, now)
        return tuple(result)

    def _on_log_read(
        self, state: replay.ControlState, now: float
    ) -> list[decisions.Decision]:
        before = self._state.shard(self.shard)
        first_read = not self._log_was_read
        self._state = state
        self._log_was_read = self._log_was_read or state.complete
        self.authority.on_log_read(state, now)
        after = state.shard(self.shard)
        if after.reset_offset > before.reset_offset:
            self._reset_seen_at = now
        if after.reset_offset < 0:
            self._reset_seen_at = None
        if after.revision != before.revision:
            self._take_lists(now)
        self._resolve_pending(after)
        if first_read or after.term == before.term:
            return []
        if after.controllers[:1] != (self.vm,):
            return []
        fields = {"shard": self.shard, "vm": self.vm, "term": after.term}
        return [decisions.EmitEvent(304, fields)]

    def _on_ownership_reply(
        self, event: decisions.OwnershipReplied, now: float
    ) -> None:
        if self.tenure is None:
            return
        server, command, reply = event
        if self.tenure.on_reply(server, command, reply, now) or reply is None:
            return
        self._on_later_token(reply.highest_token)

    def _on_later_token(self, seen: fencing.FencingToken) -> None:
        """Learn of a later controller, whose promises may be forgotten."""
        self.authority.on_position_seen(seen.term, seen.position)

    def _on_moves(self, moves: tuple[decisions.MoveRequest, ...], now: float) -> None:
        if self.tenure is not None:
            self._moves += moves
            self._upkeep_at = now

    def _take_lists(self, now: float) -> None:
        if self.tenure is None:
            return
        shard = self._state.shard(self.shard)
        servers, leaving = self._services
        self.tenure.take_lists(shard, servers, leaving, now)
        self._upkeep_at = now

    def _follow_authority(self, result: list[decisions.Decision], now: float) -> None:
        """Start or end a tenure when authority was gained or lost."""
        fields = {"shard": self.shard, "vm": self.vm}
        holds = self.authority.is_held(now)
        if self.tenure is not None and not (
            holds and self._epoch == self.authority.epoch
        ):
            self.tenure = None
            self._drop_pending()
            result.append(decisions.EmitEvent(301, fields))
        if self.tenure is None and holds and self._state.complete:
            self._begin_tenure(now)
            result.append(decisions.EmitEvent(300, fields))

    def _begin_tenure(self, now: float) -> None:
        self._epoch = self.authority.epoch
        exposed_until = now + server_view.LEASE_BOUND_MS
        self._blocked_until = now
        reset_ends_at = self._reset_ends_at()
        if reset_ends_at > now and self.checks_fencing:
            exposed_until = reset_ends_at + server_view.LEASE_BOUND_MS
        elif reset_ends_at > now:
            # Without tokens, no command may be sent while another one can act.
            self._blocked_until = reset_ends_at
            exposed_until = reset_ends_at + server_view.LEASE_BOUND_MS
        self.tenure = tenure.Tenure(self.shard, self.checks_fencing, now, exposed_until)
        self._table_is_stale = True
        self._unowned = frozenset()
        self._moves.clear()
        self._drop_pending()
        self._take_lists(now)

    def _reset_ends_at(self) -> float:
        """Return until when a controller from before a group reset may act."""
        if self._reset_seen_at is None:
            return float("-inf")
        limit = self.authority.log_silence_limit_ms
        return self._reset_seen_at + limit * promises.CLOCK_MARGIN

    def _reset_is_over(self, now: float) -> bool:
        return self._reset_seen_at is not None and now >= self._reset_ends_at()

    def _act(
        self, held: tenure.Tenure, result: list[decisions.Decision], now: float
    ) -> None:
        """Send commands and publish the table."""
        may_grant = not self.authority.is_behind()
        may_grant = may_grant and self.authority.revision_is_confirmed(now)
        for server, command in held.commands(now, may_grant, self._next_token):
            result.append(decisions.SendOwnershipCommand(server, command))
        for server in held.newly_suspected:
            fields = {"shard": self.shard, "server": server}
            result.append(decisions.EmitEvent(303, fields))
        result += self._describe(held.changes)
        if held.changes:
            self._upkeep_at = min(self._upkeep_at, now)
            held.changes.clear()
        self._publish(held, result, now)

    def _describe(self, changes: list[tenure.OwnerChange]) -> list[decisions.EmitEvent]:
        """Return one log event for each pair of old and new owner."""
        counts = collections.Counter(
            (change.before, change.after) for change in changes
        )
        return [
            decisions.EmitEvent(
                302,
                {"shard": self.shard, "before": old, "after": new, "ranges": count},
            )
            for (old, new), count in counts.items()
        ]

    def _publish(
        self, held: tenure.Tenure, result: list[decisions.Decision], now: float
    ) -> None:
        """Publish the table when an owner changed or lost its last lease."""
        unowned = held.unowned(now)
        if held.tokens_changed or unowned != self._unowned:
            self._table_is_stale = True
        held.tokens_changed = False
        self._unowned = unowned
        early = now < held.started_at + FIRST_TABLE_AFTER_MS
        early = early or not held.has_answers()
        if not self._table_is_stale or (early and unowned):
            return
        self._table_is_stale = False
        table = owner_tables.build(held, self._next_token(), now)
        result.append(decisions.PublishOwnerTable(table))

    def _next_token(self) -> fencing.FencingToken:
        self._step += 1
        position = self.authority.position or 0
        return fencing.FencingToken(self.authority.state.term, position, self._step)

    def _append(self, result: list[decisions.Decision], now: float) -> None:
        """Append what the log should contain, again until it is read back."""
        if not self._log_was_read or not self._state.complete:
            return
        if self.tenure is None and not self.authority.is_claiming(now):
            self._drop_claim()
        if not self._pending:
            self._pending = self._next_records(now)
            self._retry_at = now
            self._retry_ms = APPEND_RETRY_MS
        if self._pending and now >= self._retry_at:
            self._retry_at = now + self._retry_ms
            self._retry_ms = min(2 * self._retry_ms, APPEND_RETRY_LIMIT_MS)
            result.append(decisions.AppendRecords(self._pending))

    def _next_records(self, now: float) -> tuple[Any, ...]:
        """Return the next batch for the log, empty when it is up to date."""
        if self.tenure is None:
            record = self._record_without_authority(now)
            return () if record is None else (record,)
        if self.authority.is_behind():
            return ()
        if not self.authority.revision_is_confirmed(now):
            return ()
        record = self._group_record(now) or self._assignment(self.tenure, now)
        if record is not None:
            return (record,)
        return self._snapshot()

    def _record_without_authority(self, now: float) -> Any:
        state = self._state.shard(self.shard)
        if self.vm not in self._vms:
            return None
        missing = not state.group or groups.has_lost_majority(state, self._vms)
        if missing:
            if self._missing_since is None:
                self._missing_since = now
            wait = BOOTSTRAP_STAGGER_MS * self._vms.index(self.vm)
            wait += RESET_AFTER_MS if state.group else 0.0
            if now - self._missing_since < wait:
                return None
            if state.group:
                identifier = self._record_id()
                return groups.group_reset(identifier, self.shard, state, self._vms)
            return self._group_change(state, now)
        self._missing_since = None
        return self._claim(state, now) if self.authority.is_claiming(now) else None

    def _group_record(self, now: float) -> Any:
        """Return a group change or a new term, if one is due."""
        if now < self._group_check_at:
            return None
        self._group_check_at = now + GROUP_CHECK_MS
        state = self._state.shard(self.shard)
        if not self._vms or not self.authority.endorsements(now):
            return None
        change = self._group_change(state, now)
        if change is not None:
            return change
        worn = (self.authority.position or 0) * 2 >= len(state.controllers)
        line = groups.successors(state, self.vm, self._vms)
        changed = set(line) != set(state.controllers)
        due = worn or changed or self.authority.successor_restarted
        # A claim after the wait spares later controllers the same wait.
        due = due or self._reset_is_over(now)
        if due and now - self._claimed_at >= RECLAIM_INTERVAL_MS:
            return self._claim(state, now)
        return None

    def _group_change(self, state: replay.Shard, now: float) -> Any:
        endorsements = self.authority.endorsements(now) if state.group else []
        return groups.group_change(
            self._record_id(), self.shard, state, self.vm, self._vms, endorsements
        )

    def _claim(self, state: replay.Shard, now: float) -> Any:
        self._claimed_at = now
        self.authority.successor_restarted = False
        return groups.term_claim(
            self._record_id(),
            self.shard,
            state,
            groups.successors(state, self.vm, self._vms),
            self.authority.endorsements(now),
            self._reset_is_over(now),
        )

    def _assignment(self, held: tenure.Tenure, now: float) -> Any:
        state = self._state.shard(self.shard)
        if now < self._upkeep_at:
            return None
        settled = len(held.owner_by_span) == len(held.unit_by_span)
        self._upkeep_at = now + (IDLE_INTERVAL_MS if settled else UPKEEP_INTERVAL_MS)
        if not state.ranges:
            servers = self._services.staying()
            if not servers:
                return None
            changes = assignments.initial_draft(self._plan_initial(servers))
        else:
            changes = assignments.draft(held, self._services, self._moves, now)
            self._moves.clear()
        if changes.is_empty():
            held.move(changes.target_by_span)
            return None
        self._pending_targets = changes.target_by_span
        return assignments.as_record(self._record_id(), self.shard, state, changes)

    def _snapshot(self) -> tuple[Any, ...]:
        """Return a snapshot if this shard's controller has to write one now."""
        since = self._state.next_offset - self._state.snapshot_offset
        first = min(self._state.shard_by_name, default="")
        if since < self._snapshot_every_records or first != self.shard:
            return ()
        return snapshots.export(self._state, self._record_id())

    def _resolve_pending(self, state: replay.Shard) -> None:
        """Forget a batch that was read back or that can no longer take effect."""
        if not self._pending:
            return
        record = self._pending[0]
        seen = record["record_id"] in self._state.recent_record_ids
        fresh = {
            "group_change": record.get("group_revision") == state.group_revision,
            "group_reset": record.get("group_revision") == state.group_revision,
            "term_claim": record.get("previous_term") == state.term,
            "assignment": (record.get("term"), record.get("revision"))
            == (state.term, state.revision),
            "snapshot": record.get("covers_offset", 0) > self._state.snapshot_offset,
        }
        if seen or not fresh[record["kind"]]:
            self._group_check_at = float("-inf")
            targets = self._pending_targets
            self._drop_pending()
            if self.tenure is not None and targets:
                self.tenure.move(targets)

    def _drop_claim(self) -> None:
        """Forget a claim whose endorsements have ended; another VM may act now."""
        if self._pending and self._pending[0]["kind"] == "term_claim":
            self._drop_pending()

    def _drop_pending(self) -> None:
        self._pending = ()
        self._pending_targets = {}

    def _record_id(self) -> str:
        return str(uuid.UUID(int=self._rng.getrandbits(128), version=4))
