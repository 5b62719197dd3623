"""Decide the commands to servers during one unbroken period of authority."""

import bisect
import collections
from collections.abc import Callable, Container, Iterable
from typing import Any, NamedTuple

from . import fencing, key_ranges, range_lists, replay, server_lease, server_view

Span = tuple[int, int]
# The order in which a server gets what is wanted from it.
ACTIONS: tuple[server_lease.Action, ...] = ("revoke", "drain", "grant", "prepare")
MAX_RANGES_PER_COMMAND = 256


class OwnerChange(NamedTuple):
    """Name a unit with its owner until now, empty if unknown, and its new owner."""

    unit: range_lists.Unit
    before: str
    after: str


class Tenure:
    """Hold what one controller learned and decided since it gained authority.

    Times are in ms of the controller's clock. ``exposed_until`` is when every lease
    from earlier controllers has ended.
    """

    def __init__(
        self,
        shard: str,
        checks_fencing: bool,
        now: float,
        exposed_until: float,
    ) -> None:
        self.shard = shard
        self.checks_fencing = checks_fencing
        self.started_at = now
        self.unit_by_span: dict[Span, range_lists.Unit] = {}
        self.owner_by_span: dict[Span, str] = {}
        self.view_by_server: dict[str, server_view.ServerView] = {}
        self.target_by_span: dict[Span, str] = {}
        self.leaving: frozenset[str] = frozenset()
        self.changes: list[OwnerChange] = []
        self.tokens_changed = False
        self.newly_suspected: list[str] = []
        self._exposed_until = exposed_until
        self._last_owner_by_span: dict[Span, str] = {}
        self._grants_by_span: dict[
            Span, list[tuple[int, int, fencing.FencingToken]]
        ] = {}
        self._unsettled: set[Span] = set()
        self._done_by_span: dict[Span, set[tuple[str, str]]] = {}
        self._restore: set[tuple[str, Span]] = set()
        self._suspects: set[str] = set()

    def take_lists(
        self,
        state: replay.Shard,
        servers: Iterable[str],
        leaving: Iterable[str],
        now: float,
    ) -> None:
        """Take over the committed lists and the servers of the service."""
        self.leaving = frozenset(leaving)
        listed = {*state.listed_servers(), *servers}
        for server in sorted(listed | set(state.former_servers)):
            if server not in self.view_by_server:
                self.view_by_server[server] = server_view.ServerView(
                    self.checks_fencing, now, self._exposed_until
                )
        for server, view in list(self.view_by_server.items()):
            if server not in listed and now >= view.exposed_until:
                del self.view_by_server[server]
        units = range_lists.units_of(state.ranges, state.servers_by_key)
        unit_by_span = {(unit.start, unit.end): unit for unit in units}
        self._inherit_owners(unit_by_span)
        self.unit_by_span = unit_by_span
        self._forget_missing_spans()

    def move(self, target_by_span: dict[Span, str]) -> None:
        """Start planned moves of units whose lists have the target first."""
        for span, target in target_by_span.items():
            unit = self.unit_by_span.get(span)
            wanted = unit is not None and unit.servers[0] == target
            if wanted and self.owner_by_span.get(span) != target:
                self.target_by_span[span] = target
                self._unsettle(span)

    def on_reply(
        self,
        server: str,
        command: server_lease.OwnershipCommand,
        reply: server_lease.OwnershipReply | None,
        now: float,
    ) -> bool:
        """Take an answer; return False when a later controller is in command."""
        view = self.view_by_server.get(server)
        if view is None:
            return True
        if reply is None:
            view.on_refused(command)
            return True
        held_before = view.held
        if not view.on_reply(command, reply, now):
            return not self.checks_fencing or reply.highest_token <= command.token
        if reply.accepted:
            self._record_done(server, command)
        if view.held is not held_before:
            self._recheck(server, view)
        return True

    def _record_done(self, server: str, command: server_lease.OwnershipCommand) -> None:
        for held in command.ranges:
            span = (held.start, held.end)
            if command.action == "grant":
                self._restore.discard((server, span))
            elif command.action in ("prepare", "drain") and span in self._unsettled:
                done = self._done_by_span.setdefault(span, set())
                done.add((command.action, server))

    def last_owner(self, span: Span) -> str:
        """Return the owner of a unit, or the latest one, empty when unknown."""
        return self.owner_by_span.get(span) or self._last_owner_by_span.get(span, "")

    def unowned(self, now: float) -> frozenset[Span]:
        """Return the units that no server is known to hold."""
        return frozenset(
            span
            for span in self._unsettled
            if not self._may_still_hold(self.last_owner(span), span, now)
        )

    def _may_still_hold(self, server: str, span: Span, now: float) -> bool:
        view = self.view_by_server.get(server)
        return view is not None and view.may_hold(*span, now)

    def has_answers(self) -> bool:
        """Return whether any server has answered."""
        return any(view.fenced for view in self.view_by_server.values())

    def usable_servers(self, now: float) -> list[str]:
        """Return the servers that answer and are not leaving."""
        return [
            server
            for server, view in self.view_by_server.items()
            if view.is_usable(now) and server not in self.leaving
        ]

    def commands(
        self,
        now: float,
        may_grant: bool,
        next_token: Callable[[], fencing.FencingToken],
    ) -> list[tuple[str, server_lease.OwnershipCommand]]:
        """Return the commands to send now; grants only if ``may_grant``."""
        self._notice_suspects(now)
        usable = [
            server
            for server, view in self.view_by_server.items()
            if view.is_usable(now)
        ]
        wanted: dict[str, dict[str, list[range_lists.Unit]]] = collections.defaultdict(
            lambda: collections.defaultdict(list)
        )
        for span in sorted(self._unsettled):
            target = self._target(self.unit_by_span[span], usable, now)
            if target is not None:
                self._place(self.unit_by_span[span], target, now, may_grant, wanted)
        for server, span in sorted(self._restore):
            if self.owner_by_span.get(span) == server:
                wanted[server]["grant"].append(self.unit_by_span[span])
        sent = []
        for server, view in self.view_by_server.items():
            if view.is_free(now):
                command = self._command(view, wanted[server], now, next_token)
                if command is not None:
                    sent.append((server, command))
        return sent

    def _command(
        self,
        view: server_view.ServerView,
        wanted: dict[str, list[range_lists.Unit]],
        now: float,
        next_token: Callable[[], fencing.FencingToken],
    ) -> server_lease.OwnershipCommand | None:
        keepalive = view.next_keepalive(now)
        # Keys are unavailable while a move is under way; a renewal is not urgent.
        urgent = wanted["revoke"] or wanted["grant"]
        if keepalive == "renew" and urgent and view.can_wait(now):
            keepalive = None
        if keepalive is not None:
            return view.send(keepalive, self.shard, next_token(), (), now)
        if not view.is_usable(now):
            return None
        for action in ACTIONS:
            units = wanted[action][:MAX_RANGES_PER_COMMAND]
            if not units or (action == "revoke" and not view.may_revoke(now)):
                continue
            if action == "grant" and not view.can_grant(now):
                continue
            ranges = tuple(
                server_lease.HeldRange(unit.start, unit.end, unit.key) for unit in units
            )
            return view.send(action, self.shard, next_token(), ranges, now)
        return None

    def _place(
        self,
        unit: range_lists.Unit,
        target: str,
        now: float,
        may_grant: bool,
        wanted: dict[str, dict[str, list[range_lists.Unit]]],
    ) -> None:
        """Settle the owner of a unit, or add what is wanted for that."""
        span = (unit.start, unit.end)
        held = self.view_by_server[target].holds(*span)
        if held and self.target_by_span.get(span, target) == target:
            self._settle(unit, target)
            return
        if not may_grant:
            return
        others = [
            server
            for server, view in self.view_by_server.items()
            if server != target and view.may_hold(*span, now)
        ]
        if others:
            self._withdraw(unit, target, others, now, wanted)
        elif target in unit.servers:
            wanted[target]["grant"].append(unit)

    def _withdraw(
        self,
        unit: range_lists.Unit,
        target: str,
        others: list[str],
        now: float,
        wanted: dict[str, dict[str, list[range_lists.Unit]]],
    ) -> None:
        """Prepare the target, then drain and revoke at the other servers."""
        span = (unit.start, unit.end)
        done = self._done_by_span.get(span, set())
        visible = [
            server
            for server in others
            if self.view_by_server[server].is_usable(now)
            and self.view_by_server[server].shows(*span)
        ]
        if visible and ("prepare", target) not in done:
            wanted[target]["prepare"].append(unit)
            return
        for server in visible:
            drained = ("drain", server) in done
            wanted[server]["revoke" if drained else "drain"].append(unit)

    def _target(
        self, unit: range_lists.Unit, usable: list[str], now: float
    ) -> str | None:
        """Return the server that should hold a unit, None when none answers."""
        span = (unit.start, unit.end)
        move = self.target_by_span.get(span)
        if move in usable:
            return move
        self.target_by_span.pop(span, None)
        for server in usable:
            if self.view_by_server[server].holds(*span):
                return server
        listed = [server for server in unit.servers if server in usable]
        for server in listed:
            if self.view_by_server[server].may_hold(*span, now):
                return server
        staying = [server for server in listed if server not in self.leaving]
        return next(iter(staying or listed), None)

    def _settle(self, unit: range_lists.Unit, owner: str) -> None:
        span = (unit.start, unit.end)
        self._unsettled.discard(span)
        self.target_by_span.pop(span, None)
        self.owner_by_span[span] = owner
        before = self._last_owner_by_span.get(span, "")
        self._last_owner_by_span[span] = owner
        self._done_by_span.pop(span, None)
        if before != owner:
            self.changes.append(OwnerChange(unit, before, owner))
        self._note_grants(owner, span)

    def _note_grants(self, owner: str, span: Span) -> None:
        """Notice new tokens, which routers need, also if the owner is the same."""
        pieces = self.view_by_server[owner].pieces(*span)
        if any(piece.draining for piece in pieces):
            # A move of this controller or an earlier one was abandoned; a second
            # grant admits requests again.
            self._restore.add((owner, span))
        grants = [(piece.start, piece.end, piece.token) for piece in pieces]
        if self._grants_by_span.get(span) != grants:
            self._grants_by_span[span] = grants
            self.tokens_changed = True

    def _unsettle(self, span: Span) -> None:
        owner = self.owner_by_span.pop(span, "")
        self._restore.discard((owner, span))
        self._unsettled.add(span)

    def _inherit_owners(self, spans: Iterable[Span]) -> None:
        """Keep the owner of a range as the last one of each part it is cut into."""
        old = sorted(self._last_owner_by_span)
        for span in spans:
            index = (
                bisect.bisect_right(old, (span[0], key_ranges.POSITION_COUNT + 1)) - 1
            )
            if span in self._last_owner_by_span or index < 0:
                continue
            if old[index][1] >= span[1]:
                owner = self._last_owner_by_span[old[index]]
                self._last_owner_by_span[span] = owner

    def _forget_missing_spans(self) -> None:
        spans = self.unit_by_span
        by_span: tuple[dict[Span, Any], ...] = (
            self.owner_by_span,
            self._last_owner_by_span,
            self._grants_by_span,
            self.target_by_span,
            self._done_by_span,
        )
        for known in by_span:
            _keep(known, spans)
        self._restore = {item for item in self._restore if item[1] in spans}
        self._unsettled = {span for span in spans if span not in self.owner_by_span}

    def _recheck(self, server: str, view: server_view.ServerView) -> None:
        for span, owner in list(self.owner_by_span.items()):
            if owner != server:
                continue
            if view.holds(*span):
                self._note_grants(server, span)
            else:
                self._unsettle(span)

    def _notice_suspects(self, now: float) -> None:
        suspects = {
            server
            for server, view in self.view_by_server.items()
            if view.fenced and view.is_suspected(now)
        }
        self.newly_suspected = sorted(suspects - self._suspects)
        self._suspects = suspects
        if not self.newly_suspected:
            return
        for span, owner in list(self.owner_by_span.items()):
            if owner in self.newly_suspected:
                self._unsettle(span)


def _keep(by_span: dict[Span, Any], spans: Container[Span]) -> None:
    for span in [span for span in by_span if span not in spans]:
        del by_span[span]
