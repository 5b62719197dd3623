"""Choose the commands to servers during one unbroken period of authority."""

import bisect
import collections
from collections.abc import Callable, Container, Iterable
from typing import Any, NamedTuple

from . import fencing, key_ranges, range_lists, replay, server_lease, server_view

# Start and end of a grant unit.
Span = tuple[int, int]
# A server gets one command at a time; the first action with due ranges is sent.
ACTION_PRIORITY: tuple[server_lease.Action, ...] = (
    "revoke",
    "drain",
    "grant",
    "prepare",
)
MAX_RANGES_PER_COMMAND = 256


class OwnerChange(NamedTuple):
    """Record the old owner of a unit, empty if unknown, and its new owner."""

    unit: range_lists.GrantUnit
    before: str
    after: str


class Tenure:
    """Hold what a controller learned and decided since it gained authority.

    A unit is settled while its target server reports that it holds the whole unit.
    Times are in ms of the controller's clock. All leases granted by earlier
    controllers have ended at ``inherited_leases_end_at``.
    """

    def __init__(
        self,
        shard: str,
        checks_fencing: bool,
        now: float,
        inherited_leases_end_at: float,
    ) -> None:
        self.shard = shard
        self.checks_fencing = checks_fencing
        self.started_at = now
        self.unit_by_span: dict[Span, range_lists.GrantUnit] = {}
        self.owner_by_span: dict[Span, str] = {}
        self.view_by_server: dict[str, server_view.ServerView] = {}
        self.target_by_span: dict[Span, str] = {}
        self.leaving_servers: frozenset[str] = frozenset()
        self.owner_changes: list[OwnerChange] = []
        self.tokens_changed = False
        self.newly_suspected: list[str] = []
        self._inherited_leases_end_at = inherited_leases_end_at
        self._last_owner_by_span: dict[Span, str] = {}
        self._grants_by_span: dict[
            Span, list[tuple[int, int, fencing.FencingToken]]
        ] = {}
        self._unsettled_spans: set[Span] = set()
        self._acknowledged_by_span: dict[Span, set[tuple[str, str]]] = {}
        self._regrants: set[tuple[str, Span]] = set()
        self._suspected_servers: set[str] = set()

    def update_lists(
        self,
        state: replay.Shard,
        servers: Iterable[str],
        leaving: Iterable[str],
        now: float,
    ) -> None:
        """Apply the committed server lists and the servers of the service."""
        self.leaving_servers = frozenset(leaving)
        listed = {*state.listed_servers(), *servers}
        for server in sorted(listed | set(state.former_servers)):
            if server not in self.view_by_server:
                self.view_by_server[server] = server_view.ServerView(
                    self.checks_fencing, now, self._inherited_leases_end_at
                )
        for server, view in list(self.view_by_server.items()):
            if server not in listed and now >= view.leases_end_at:
                del self.view_by_server[server]
        units = range_lists.grant_units(state.ranges, state.servers_by_key)
        unit_by_span = {(unit.start, unit.end): unit for unit in units}
        self._inherit_owners(unit_by_span)
        self.unit_by_span = unit_by_span
        self._remove_missing_spans()

    def start_moves(self, target_by_span: dict[Span, str]) -> None:
        """Start planned moves of the units that list their target first."""
        for span, target in target_by_span.items():
            unit = self.unit_by_span.get(span)
            lists_target = unit is not None and unit.servers[0] == target
            if lists_target and self.owner_by_span.get(span) != target:
                self.target_by_span[span] = target
                self._unsettle(span)

    def on_reply(
        self,
        server: str,
        command: server_lease.OwnershipCommand,
        reply: server_lease.OwnershipReply | None,
        now: float,
    ) -> bool:
        """Process a reply; return False if it proves a later controller.

        ``reply`` is None when the server refused the connection.
        """
        view = self.view_by_server.get(server)
        if view is None:
            return True
        if reply is None:
            view.on_connection_refused(command)
            return True
        held_before = view.held
        if not view.on_reply(command, reply, now):
            return not self.checks_fencing or reply.highest_token <= command.token
        if reply.accepted:
            self._record_acknowledged(server, command)
        if view.held is not held_before:
            self._recheck_owned_spans(server, view)
        return True

    def _record_acknowledged(
        self, server: str, command: server_lease.OwnershipCommand
    ) -> None:
        for command_range in command.ranges:
            span = (command_range.start, command_range.end)
            if command.action == "grant":
                self._regrants.discard((server, span))
            elif (
                command.action in ("prepare", "drain") and span in self._unsettled_spans
            ):
                acknowledged = self._acknowledged_by_span.setdefault(span, set())
                acknowledged.add((command.action, server))

    def last_owner(self, span: Span) -> str:
        """Return the present or else the last known owner of a unit, empty if none."""
        return self.owner_by_span.get(span) or self._last_owner_by_span.get(span, "")

    def unowned_spans(self, now: float) -> frozenset[Span]:
        """Return the units that no server is known to hold."""
        return frozenset(
            span
            for span in self._unsettled_spans
            if not self._may_still_hold(self.last_owner(span), span, now)
        )

    def _may_still_hold(self, server: str, span: Span, now: float) -> bool:
        view = self.view_by_server.get(server)
        return view is not None and view.may_hold(*span, now)

    def has_answers(self) -> bool:
        """Return whether any server has replied to this controller."""
        return any(view.is_fenced for view in self.view_by_server.values())

    def usable_servers(self, now: float) -> list[str]:
        """Return the servers that reply and are not leaving."""
        return [
            server
            for server, view in self.view_by_server.items()
            if view.is_usable(now) and server not in self.leaving_servers
        ]

    def commands(
        self,
        now: float,
        may_grant: bool,
        next_token: Callable[[], fencing.FencingToken],
    ) -> list[tuple[str, server_lease.OwnershipCommand]]:
        """Return the commands to send now; new grants and moves need ``may_grant``."""
        self._update_suspected_servers(now)
        usable = [
            server
            for server, view in self.view_by_server.items()
            if view.is_usable(now)
        ]
        wanted_by_server: dict[str, dict[str, list[range_lists.GrantUnit]]] = (
            collections.defaultdict(lambda: collections.defaultdict(list))
        )
        for span in sorted(self._unsettled_spans):
            target = self._target_server(self.unit_by_span[span], usable, now)
            if target is not None:
                self._plan_unit(
                    self.unit_by_span[span], target, now, may_grant, wanted_by_server
                )
        for server, span in sorted(self._regrants):
            if self.owner_by_span.get(span) == server:
                wanted_by_server[server]["grant"].append(self.unit_by_span[span])
        result = []
        for server, view in self.view_by_server.items():
            if view.can_send(now):
                command = self._command(view, wanted_by_server[server], now, next_token)
                if command is not None:
                    result.append((server, command))
        return result

    def _command(
        self,
        view: server_view.ServerView,
        units_by_action: dict[str, list[range_lists.GrantUnit]],
        now: float,
        next_token: Callable[[], fencing.FencingToken],
    ) -> server_lease.OwnershipCommand | None:
        keepalive = view.next_keepalive(now)
        # Keys are unavailable between revoke and grant, so both go before a renewal.
        urgent = units_by_action["revoke"] or units_by_action["grant"]
        if keepalive == "renew" and urgent and view.renewal_can_wait(now):
            keepalive = None
        if keepalive is not None:
            return view.send(keepalive, self.shard, next_token(), (), now)
        if not view.is_usable(now):
            return None
        for action in ACTION_PRIORITY:
            units = units_by_action[action][:MAX_RANGES_PER_COMMAND]
            if not units or (action == "revoke" and not view.can_revoke(now)):
                continue
            if action == "grant" and not view.can_grant(now):
                continue
            ranges = tuple(
                server_lease.HeldRange(unit.start, unit.end, unit.key) for unit in units
            )
            return view.send(action, self.shard, next_token(), ranges, now)
        return None

    def _plan_unit(
        self,
        unit: range_lists.GrantUnit,
        target: str,
        now: float,
        may_grant: bool,
        wanted_by_server: dict[str, dict[str, list[range_lists.GrantUnit]]],
    ) -> None:
        """Settle a unit that its target holds, else add the commands it needs."""
        span = (unit.start, unit.end)
        target_holds_unit = self.view_by_server[target].holds_all(*span)
        if target_holds_unit and self.target_by_span.get(span, target) == target:
            self._settle(unit, target)
            return
        if not may_grant:
            return
        other_holders = [
            server
            for server, view in self.view_by_server.items()
            if server != target and view.may_hold(*span, now)
        ]
        if other_holders:
            self._plan_handover(unit, target, other_holders, now, wanted_by_server)
        elif target in unit.servers:
            wanted_by_server[target]["grant"].append(unit)

    def _plan_handover(
        self,
        unit: range_lists.GrantUnit,
        target: str,
        other_holders: list[str],
        now: float,
        wanted_by_server: dict[str, dict[str, list[range_lists.GrantUnit]]],
    ) -> None:
        """Add the commands that prepare the target, then drain and revoke others."""
        span = (unit.start, unit.end)
        acknowledged = self._acknowledged_by_span.get(span, set())
        reported_holders = [
            server
            for server in other_holders
            if self.view_by_server[server].is_usable(now)
            and self.view_by_server[server].holds_part(*span)
        ]
        if reported_holders and ("prepare", target) not in acknowledged:
            wanted_by_server[target]["prepare"].append(unit)
            return
        for server in reported_holders:
            drained = ("drain", server) in acknowledged
            wanted_by_server[server]["revoke" if drained else "drain"].append(unit)

    def _target_server(
        self, unit: range_lists.GrantUnit, usable: list[str], now: float
    ) -> str | None:
        """Return the server that should hold a unit, None if no candidate replies."""
        span = (unit.start, unit.end)
        move_target = self.target_by_span.get(span)
        if move_target in usable:
            return move_target
        self.target_by_span.pop(span, None)
        for server in usable:
            if self.view_by_server[server].holds_all(*span):
                return server
        listed = [server for server in unit.servers if server in usable]
        for server in listed:
            if self.view_by_server[server].may_hold(*span, now):
                return server
        staying = [server for server in listed if server not in self.leaving_servers]
        return next(iter(staying or listed), None)

    def _settle(self, unit: range_lists.GrantUnit, owner: str) -> None:
        span = (unit.start, unit.end)
        self._unsettled_spans.discard(span)
        self.target_by_span.pop(span, None)
        self.owner_by_span[span] = owner
        before = self._last_owner_by_span.get(span, "")
        self._last_owner_by_span[span] = owner
        self._acknowledged_by_span.pop(span, None)
        if before != owner:
            self.owner_changes.append(OwnerChange(unit, before, owner))
        self._record_grants(owner, span)

    def _record_grants(self, owner: str, span: Span) -> None:
        """Record the grants of a unit; routers need new tokens of any owner."""
        parts = self.view_by_server[owner].held_parts(*span)
        if any(part.draining for part in parts):
            # This controller or an earlier one abandoned a move after the drain; a
            # second grant makes the server admit requests again.
            self._regrants.add((owner, span))
        grants = [(part.start, part.end, part.token) for part in parts]
        if self._grants_by_span.get(span) != grants:
            self._grants_by_span[span] = grants
            self.tokens_changed = True

    def _unsettle(self, span: Span) -> None:
        owner = self.owner_by_span.pop(span, "")
        self._regrants.discard((owner, span))
        self._unsettled_spans.add(span)

    def _inherit_owners(self, spans: Iterable[Span]) -> None:
        """Give each new span the last known owner of the old span that contains it."""
        old_spans = sorted(self._last_owner_by_span)
        for span in spans:
            index = (
                bisect.bisect_right(old_spans, (span[0], key_ranges.POSITION_COUNT + 1))
                - 1
            )
            if span in self._last_owner_by_span or index < 0:
                continue
            if old_spans[index][1] >= span[1]:
                owner = self._last_owner_by_span[old_spans[index]]
                self._last_owner_by_span[span] = owner

    def _remove_missing_spans(self) -> None:
        spans = self.unit_by_span
        by_span: tuple[dict[Span, Any], ...] = (
            self.owner_by_span,
            self._last_owner_by_span,
            self._grants_by_span,
            self.target_by_span,
            self._acknowledged_by_span,
        )
        for span_table in by_span:
            _retain_spans(span_table, spans)
        self._regrants = {item for item in self._regrants if item[1] in spans}
        self._unsettled_spans = {
            span for span in spans if span not in self.owner_by_span
        }

    def _recheck_owned_spans(self, server: str, view: server_view.ServerView) -> None:
        for span, owner in list(self.owner_by_span.items()):
            if owner != server:
                continue
            if view.holds_all(*span):
                self._record_grants(server, span)
            else:
                self._unsettle(span)

    def _update_suspected_servers(self, now: float) -> None:
        suspected = {
            server
            for server, view in self.view_by_server.items()
            if view.is_fenced and view.is_suspected(now)
        }
        self.newly_suspected = sorted(suspected - self._suspected_servers)
        self._suspected_servers = suspected
        if not self.newly_suspected:
            return
        for span, owner in list(self.owner_by_span.items()):
            if owner in self.newly_suspected:
                self._unsettle(span)


def _retain_spans(by_span: dict[Span, Any], spans: Container[Span]) -> None:
    for span in [span for span in by_span if span not in spans]:
        del by_span[span]
