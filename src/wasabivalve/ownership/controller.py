"""Control the key ranges of one shard: process events and return decisions.

Every entry VM runs a controller for each shard. Only the one that holds authority over
the shard sends commands to servers and publishes the owner table. The others follow
the log and request authority when the present controller stops renewing its own.
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
MAX_APPEND_RETRY_MS = 8000.0
BOOTSTRAP_STAGGER_MS = 200.0
MIN_CLAIM_INTERVAL_MS = 10_000.0
# The list of live VMs may be out of date, and an unneeded reset costs more than a wait.
RESET_DELAY_MS = 2000.0
FIRST_TABLE_DELAY_MS = 100.0
# Comparing all server lists costs CPU time; most changes trigger a check at once.
LIST_CHECK_INTERVAL_MS = 500.0
IDLE_LIST_CHECK_INTERVAL_MS = 5000.0
GROUP_CHECK_INTERVAL_MS = 200.0
SNAPSHOT_INTERVAL_RECORDS = 2000


class ShardController:
    """Control one shard from one VM; times in ms of the VM's monotonic clock."""

    def __init__(
        self,
        vm: str,
        shard: str,
        checks_fencing: bool,
        granter: promises.PromiseGranter,
        rng: random.Random,
        *,
        max_log_silence_ms: float = authority.MAX_LOG_SILENCE_MS,
        plan_initial: assignments.InitialPlanner = assignments.plan_initial_ranges,
        snapshot_interval_records: int = SNAPSHOT_INTERVAL_RECORDS,
    ) -> None:
        self.vm = vm
        self.shard = shard
        self.checks_fencing = checks_fencing
        self.authority = authority.Authority(
            vm, shard, granter, rng, max_log_silence_ms
        )
        self.tenure: tenure.Tenure | None = None
        self._rng = rng
        self._plan_initial = plan_initial
        self._snapshot_interval_records = snapshot_interval_records
        self._state = replay.ControlState()
        self._log_was_read = False
        self._service_servers = assignments.ServiceServers()
        self._vms: tuple[str, ...] = ()
        self._requested_moves: list[decisions.MoveRequest] = []
        self._token_step = 0
        self._tenure_epoch = 0
        self._commands_blocked_until = float("-inf")
        self._pending_records: tuple[Any, ...] = ()
        self._pending_target_by_span: dict[tenure.Span, str] = {}
        self._next_append_at = 0.0
        self._append_retry_ms = APPEND_RETRY_MS
        self._group_missing_since: float | None = None
        self._reset_seen_at: float | None = None
        self._claimed_at = float("-inf")
        self._next_list_check_at = 0.0
        self._next_group_check_at = float("-inf")
        self._table_is_stale = False
        self._unowned_spans: frozenset[tenure.Span] = frozenset()

    def handle(
        self, event: decisions.Event, now: float
    ) -> tuple[decisions.Decision, ...]:
        """Process an event and return the decisions to carry out, in order."""
        result: list[decisions.Decision] = []
        match event:
            case decisions.PromiseReplied(reply):
                self.authority.on_reply(reply, now)
            case decisions.OwnershipReplied():
                self._on_ownership_reply(event, now)
            case decisions.LogRead(state):
                result += self._on_log_read(state, now)
            case decisions.ServersChanged(servers, leaving):
                self._service_servers = assignments.ServiceServers(
                    servers, frozenset(leaving)
                )
                self._update_tenure_lists(now)
            case decisions.GenerationReceived(generation):
                self._on_later_token(generation)
            case decisions.VmsChanged(vms):
                self._vms = vms
            case decisions.MovesRequested(moves):
                self._on_moves(moves, now)
        self._follow_authority(result, now)
        for vm, request in self.authority.due_requests(now):
            result.append(decisions.SendPromiseRequest(vm, request))
        if self.tenure is not None and now >= self._commands_blocked_until:
            self._run_tenure(self.tenure, result, now)
        self._append(result, now)
        return tuple(result)

    def _on_log_read(
        self, state: replay.ControlState, now: float
    ) -> list[decisions.Decision]:
        before = self._state.shard(self.shard)
        is_first_read = not self._log_was_read
        self._state = state
        self._log_was_read = self._log_was_read or state.complete
        self.authority.on_log_read(state, now)
        after = state.shard(self.shard)
        if after.reset_offset > before.reset_offset:
            self._reset_seen_at = now
        if after.reset_offset < 0:
            self._reset_seen_at = None
        if after.revision != before.revision:
            self._update_tenure_lists(now)
        self._resolve_pending(after)
        if is_first_read or after.term == before.term:
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
        """Record the position of a token; granters lose their promises on restart."""
        self.authority.on_position_seen(seen.term, seen.position)

    def _on_moves(self, moves: tuple[decisions.MoveRequest, ...], now: float) -> None:
        if self.tenure is not None:
            self._requested_moves += moves
            self._next_list_check_at = now

    def _update_tenure_lists(self, now: float) -> None:
        if self.tenure is None:
            return
        shard = self._state.shard(self.shard)
        servers, leaving = self._service_servers
        self.tenure.update_lists(shard, servers, leaving, now)
        self._next_list_check_at = now

    def _follow_authority(self, result: list[decisions.Decision], now: float) -> None:
        """Start or end a tenure after a change of authority."""
        fields = {"shard": self.shard, "vm": self.vm}
        is_held = self.authority.is_held(now)
        if self.tenure is not None and not (
            is_held and self._tenure_epoch == self.authority.epoch
        ):
            self.tenure = None
            self._clear_pending_records()
            result.append(decisions.EmitEvent(301, fields))
        if self.tenure is None and is_held and self._state.complete:
            self._begin_tenure(now)
            result.append(decisions.EmitEvent(300, fields))

    def _begin_tenure(self, now: float) -> None:
        self._tenure_epoch = self.authority.epoch
        inherited_leases_end_at = now + server_view.LEASE_WITH_MARGIN_MS
        self._commands_blocked_until = now
        reset_ends_at = self._reset_ends_at()
        if reset_ends_at > now and self.checks_fencing:
            inherited_leases_end_at = reset_ends_at + server_view.LEASE_WITH_MARGIN_MS
        elif reset_ends_at > now:
            # Servers that do not check tokens would obey both controllers, so this one
            # waits until the earlier one has stopped.
            self._commands_blocked_until = reset_ends_at
            inherited_leases_end_at = reset_ends_at + server_view.LEASE_WITH_MARGIN_MS
        self.tenure = tenure.Tenure(
            self.shard, self.checks_fencing, now, inherited_leases_end_at
        )
        self._table_is_stale = True
        self._unowned_spans = frozenset()
        self._requested_moves.clear()
        self._clear_pending_records()
        self._update_tenure_lists(now)

    def _reset_ends_at(self) -> float:
        """Return until when a controller of the group before a reset may act."""
        if self._reset_seen_at is None:
            return float("-inf")
        max_log_silence_ms = self.authority.max_log_silence_ms
        return self._reset_seen_at + max_log_silence_ms * promises.CLOCK_MARGIN

    def _reset_is_over(self, now: float) -> bool:
        return self._reset_seen_at is not None and now >= self._reset_ends_at()

    def _run_tenure(
        self,
        current_tenure: tenure.Tenure,
        result: list[decisions.Decision],
        now: float,
    ) -> None:
        """Send the due commands, report owner changes and publish the table."""
        may_grant = not self.authority.is_behind()
        may_grant = may_grant and self.authority.revision_is_confirmed(now)
        for server, command in current_tenure.commands(
            now, may_grant, self._next_token
        ):
            result.append(decisions.SendOwnershipCommand(server, command))
        for server in current_tenure.newly_suspected:
            fields = {"shard": self.shard, "server": server}
            result.append(decisions.EmitEvent(303, fields))
        result += self._owner_change_events(current_tenure.owner_changes)
        if current_tenure.owner_changes:
            self._next_list_check_at = min(self._next_list_check_at, now)
            current_tenure.owner_changes.clear()
        self._publish(current_tenure, result, now)

    def _owner_change_events(
        self, changes: list[tenure.OwnerChange]
    ) -> list[decisions.EmitEvent]:
        """Return one log event per pair of old and new owner."""
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
        self,
        current_tenure: tenure.Tenure,
        result: list[decisions.Decision],
        now: float,
    ) -> None:
        """Publish the owner table if an owner, token or unowned range changed."""
        unowned_spans = current_tenure.unowned_spans(now)
        if current_tenure.tokens_changed or unowned_spans != self._unowned_spans:
            self._table_is_stale = True
        current_tenure.tokens_changed = False
        self._unowned_spans = unowned_spans
        is_early = now < current_tenure.started_at + FIRST_TABLE_DELAY_MS
        is_early = is_early or not current_tenure.has_answers()
        if not self._table_is_stale or (is_early and unowned_spans):
            return
        self._table_is_stale = False
        table = owner_tables.build(current_tenure, self._next_token(), now)
        result.append(decisions.PublishOwnerTable(table))

    def _next_token(self) -> fencing.FencingToken:
        self._token_step += 1
        position = self.authority.position or 0
        return fencing.FencingToken(
            self.authority.state.term, position, self._token_step
        )

    def _append(self, result: list[decisions.Decision], now: float) -> None:
        """Append the pending records, repeatedly until they are read back."""
        if not self._log_was_read or not self._state.complete:
            return
        if self.tenure is None and not self.authority.is_claiming(now):
            self._discard_expired_claim()
        if not self._pending_records:
            self._pending_records = self._next_records(now)
            self._next_append_at = now
            self._append_retry_ms = APPEND_RETRY_MS
        if self._pending_records and now >= self._next_append_at:
            self._next_append_at = now + self._append_retry_ms
            self._append_retry_ms = min(2 * self._append_retry_ms, MAX_APPEND_RETRY_MS)
            result.append(decisions.AppendRecords(self._pending_records))

    def _next_records(self, now: float) -> tuple[Any, ...]:
        """Return the next records to append, none if the log is up to date."""
        if self.tenure is None:
            record = self._record_without_authority(now)
            return () if record is None else (record,)
        if self.authority.is_behind():
            return ()
        if not self.authority.revision_is_confirmed(now):
            return ()
        record = self._group_record(now) or self._assignment_record(self.tenure, now)
        if record is not None:
            return (record,)
        return self._snapshot_records()

    def _record_without_authority(self, now: float) -> Any:
        state = self._state.shard(self.shard)
        if self.vm not in self._vms:
            return None
        needs_group = not state.group or groups.has_lost_majority(state, self._vms)
        if needs_group:
            if self._group_missing_since is None:
                self._group_missing_since = now
            delay_ms = BOOTSTRAP_STAGGER_MS * self._vms.index(self.vm)
            delay_ms += RESET_DELAY_MS if state.group else 0.0
            if now - self._group_missing_since < delay_ms:
                return None
            if state.group:
                record_id = self._new_record_id()
                return groups.group_reset(record_id, self.shard, state, self._vms)
            return self._group_change_record(state, now)
        self._group_missing_since = None
        return (
            self._term_claim_record(state, now)
            if self.authority.is_claiming(now)
            else None
        )

    def _group_record(self, now: float) -> Any:
        """Return a group change or a term claim if one is due, else None."""
        if now < self._next_group_check_at:
            return None
        self._next_group_check_at = now + GROUP_CHECK_INTERVAL_MS
        state = self._state.shard(self.shard)
        if not self._vms or not self.authority.endorsements(now):
            return None
        change = self._group_change_record(state, now)
        if change is not None:
            return change
        half_used = (self.authority.position or 0) * 2 >= len(state.controllers)
        new_controllers = groups.controllers_of_new_term(state, self.vm, self._vms)
        controllers_changed = set(new_controllers) != set(state.controllers)
        claim_is_due = (
            half_used or controllers_changed or self.authority.successor_restarted
        )
        # A claim that records the end of the reset spares later controllers the wait.
        claim_is_due = claim_is_due or self._reset_is_over(now)
        if claim_is_due and now - self._claimed_at >= MIN_CLAIM_INTERVAL_MS:
            return self._term_claim_record(state, now)
        return None

    def _group_change_record(self, state: replay.Shard, now: float) -> Any:
        endorsements = self.authority.endorsements(now) if state.group else []
        return groups.group_change(
            self._new_record_id(), self.shard, state, self.vm, self._vms, endorsements
        )

    def _term_claim_record(self, state: replay.Shard, now: float) -> Any:
        self._claimed_at = now
        self.authority.successor_restarted = False
        return groups.term_claim(
            self._new_record_id(),
            self.shard,
            state,
            groups.controllers_of_new_term(state, self.vm, self._vms),
            self.authority.endorsements(now),
            self._reset_is_over(now),
        )

    def _assignment_record(self, current_tenure: tenure.Tenure, now: float) -> Any:
        state = self._state.shard(self.shard)
        if now < self._next_list_check_at:
            return None
        all_settled = len(current_tenure.owner_by_span) == len(
            current_tenure.unit_by_span
        )
        self._next_list_check_at = now + (
            IDLE_LIST_CHECK_INTERVAL_MS if all_settled else LIST_CHECK_INTERVAL_MS
        )
        if not state.ranges:
            servers = self._service_servers.staying()
            if not servers:
                return None
            changes = assignments.initial_draft(self._plan_initial(servers))
        else:
            changes = assignments.draft_assignment(
                current_tenure, self._service_servers, self._requested_moves, now
            )
            self._requested_moves.clear()
        if changes.is_empty():
            current_tenure.start_moves(changes.target_by_span)
            return None
        self._pending_target_by_span = changes.target_by_span
        return assignments.assignment_record(
            self._new_record_id(), self.shard, state, changes
        )

    def _snapshot_records(self) -> tuple[Any, ...]:
        """Return a snapshot if one is due; the first shard's controller writes it."""
        records_since_snapshot = self._state.next_offset - self._state.snapshot_offset
        first_shard = min(self._state.shard_by_name, default="")
        if (
            records_since_snapshot < self._snapshot_interval_records
            or first_shard != self.shard
        ):
            return ()
        return snapshots.export(self._state, self._new_record_id())

    def _resolve_pending(self, state: replay.Shard) -> None:
        """Clear pending records that were read back or can no longer take effect."""
        if not self._pending_records:
            return
        record = self._pending_records[0]
        was_read_back = record["record_id"] in self._state.recent_record_ids
        can_take_effect_by_kind = {
            "group_change": record.get("group_revision") == state.group_revision,
            "group_reset": record.get("group_revision") == state.group_revision,
            "term_claim": record.get("previous_term") == state.term,
            "assignment": (record.get("term"), record.get("revision"))
            == (state.term, state.revision),
            "snapshot": record.get("covers_offset", 0) > self._state.snapshot_offset,
        }
        if was_read_back or not can_take_effect_by_kind[record["kind"]]:
            self._next_group_check_at = float("-inf")
            target_by_span = self._pending_target_by_span
            self._clear_pending_records()
            if self.tenure is not None and target_by_span:
                self.tenure.start_moves(target_by_span)

    def _discard_expired_claim(self) -> None:
        """Clear a term claim whose endorsements expired; another VM may act now."""
        if self._pending_records and self._pending_records[0]["kind"] == "term_claim":
            self._clear_pending_records()

    def _clear_pending_records(self) -> None:
        self._pending_records = ()
        self._pending_target_by_span = {}

    def _new_record_id(self) -> str:
        return str(uuid.UUID(int=self._rng.getrandbits(128), version=4))
