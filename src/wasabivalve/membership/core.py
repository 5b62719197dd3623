"""Detect failed VMs by missing heartbeats and indirect probes."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from . import overlay


class SuspicionTiming(NamedTuple):
    """Hold the times in ms and the counts that control suspicion."""

    heartbeat_ms: float = 250.0
    suspect_ms: float = 1000.0
    probe_timeout_ms: float = 250.0
    # A gap between two ticks above one promise period counts as a pause of this VM.
    pause_threshold_ms: float = 350.0
    # A heartbeat within this time of the previous one continues the streak.
    max_streak_gap_ms: float = 750.0
    indirect_probe_count: int = 2
    heartbeats_to_recover: int = 3
    # Watchers per VM above nine VMs; eight would cost 10 KB/s of heartbeats.
    fan_out: int = 4


class LivenessChange(NamedTuple):
    """Report that a VM became live or suspected, or that it restarted."""

    vm: str
    live: bool
    reason: str


class IndirectProbe(NamedTuple):
    """Ask the VM ``via`` whether it receives heartbeats of the VM ``target``."""

    via: str
    target: str
    sequence: int


class LivenessNotice(NamedTuple):
    """Forward a confirmed state of ``target`` to ``to`` as an unsolicited probe reply.

    The sequence is the negated version of the state. Without versions, notices of
    opposite states would be forwarded without end.
    """

    to: str
    target: str
    alive: bool
    sequence: int


Action = LivenessChange | IndirectProbe | LivenessNotice


class _State(enum.Enum):
    UNKNOWN = 1
    LIVE = 2
    SUSPECTED = 3


@dataclasses.dataclass(slots=True)
class _Peer:
    watchers: tuple[str, ...]
    watched: bool
    state: _State
    incarnation: str = ""
    heartbeat_at: float = float("-inf")
    evidence_at: float = float("-inf")
    streak: int = 0
    version: int = 0
    probe_sequence: int = -1
    probe_started_at: float = float("-inf")
    awaited_helpers: set[str] = dataclasses.field(default_factory=set)


class MembershipView:
    """Hold one VM's view of which VMs are live.

    Times are milliseconds of this VM's monotonic clock. A VM that this one does not
    watch counts as live until a notice reports it as suspected.
    """

    def __init__(
        self,
        own_vm: str,
        vms: Iterable[str],
        timing: SuspicionTiming = SuspicionTiming(),  # noqa: B008
        now: float = 0.0,
        region_by_vm: Mapping[str, str] | None = None,
    ):
        """Start with no watched VM live; ``vms`` are all VMs of the settings."""
        self._own_vm = own_vm
        self._timing = timing
        all_vms = {own_vm, *vms}
        watchers = overlay.watchers_by_vm(all_vms, timing.fan_out, region_by_vm)
        self._own_watchers = watchers[own_vm]
        self._peer_by_vm: dict[str, _Peer] = {}
        for vm in sorted(all_vms - {own_vm}):
            watched = own_vm in watchers[vm]
            state = _State.UNKNOWN if watched else _State.LIVE
            self._peer_by_vm[vm] = _Peer(watchers[vm], watched, state)
        self._watched_peer_by_vm = {
            vm: peer for vm, peer in self._peer_by_vm.items() if peer.watched
        }
        self._last_tick = now
        self._sequence = 0
        self._actions: list[Action] = []
        self._leaving: frozenset[str] = frozenset()
        self._reset_silence(now)

    @property
    def heartbeat_targets(self) -> tuple[str, ...]:
        """Return the VMs that watch this one and need its heartbeats."""
        return self._own_watchers

    @property
    def live_by_vm(self) -> dict[str, bool]:
        """Return for each VM, this one included, whether it counts as live."""
        result = {
            vm: peer.state is _State.LIVE for vm, peer in self._peer_by_vm.items()
        }
        result[self._own_vm] = True
        return result

    @property
    def placement_vms(self) -> tuple[str, ...]:
        """Return the live VMs except those that the VM list marks as leaving.

        If all live VMs are leaving, return them all.
        """
        live_vms = sorted(vm for vm, is_live in self.live_by_vm.items() if is_live)
        staying = tuple(vm for vm in live_vms if vm not in self._leaving)
        return staying or tuple(live_vms)

    def has_majority(self, now: float) -> bool:
        """Return whether most VMs are live and most watched ones sent heartbeats.

        The second condition excludes a VM that is partitioned: it receives no notices
        about the VMs that it does not watch.
        """
        live_count = sum(self.live_by_vm.values())
        return 2 * live_count > len(
            self._peer_by_vm
        ) + 1 and self._receives_from_majority(now)

    def on_heartbeat(self, vm: str, incarnation: str, now: float) -> None:
        """Record a heartbeat; one of a VM that is not in the settings is ignored."""
        peer = self._peer_by_vm.get(vm)
        if peer is None:
            return
        if peer.incarnation and peer.incarnation != incarnation:
            peer.streak = 0
            if peer.state is _State.LIVE:
                self._actions.append(LivenessChange(vm, True, "restarted"))
        peer.incarnation = incarnation
        peer.heartbeat_at = now
        self._record_evidence(vm, peer, self._timing.max_streak_gap_ms, now)

    def on_vm_list(self, leaving: Iterable[str]) -> None:
        """Store the VMs that the VM list marks as leaving; none becomes suspected."""
        self._leaving = frozenset(leaving)

    def answer_probe(self, target: str, now: float) -> bool:
        """Return whether the target's last heartbeat is at most ``suspect_ms`` old."""
        if target == self._own_vm:
            return True
        peer = self._peer_by_vm.get(target)
        return peer is not None and now - peer.heartbeat_at <= self._timing.suspect_ms

    def on_probe_reply(
        self, source: str, target: str, sequence: int, alive: bool, now: float
    ) -> None:
        """Handle a peer's reply to a probe, or a notice."""
        peer = self._peer_by_vm.get(target)
        if peer is None or source not in self._peer_by_vm:
            return
        if sequence < 0:
            self._apply_notice(target, peer, alive, -sequence, now)
        elif sequence == peer.probe_sequence and source in peer.awaited_helpers:
            peer.awaited_helpers.discard(source)
            if alive:
                peer.awaited_helpers.clear()
                # Probes of a silent VM are ``suspect_ms`` apart.
                max_gap_ms = 2 * self._timing.suspect_ms
                self._record_evidence(target, peer, max_gap_ms, now)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Check the watched VMs; return changes and messages since the last tick."""
        if now - self._last_tick > self._timing.pause_threshold_ms:
            self._reset_silence(now)
        self._last_tick = now
        for vm, peer in self._watched_peer_by_vm.items():
            self._check(vm, peer, now)
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def _reset_silence(self, now: float) -> None:
        # Messages that arrived during a pause may still be unread, so silence counts
        # from the end of the pause.
        for peer in self._watched_peer_by_vm.values():
            peer.evidence_at = now
            peer.awaited_helpers.clear()
            peer.probe_sequence = -1

    def _check(self, vm: str, peer: _Peer, now: float) -> None:
        timing = self._timing
        if now - peer.evidence_at <= timing.suspect_ms:
            return
        if peer.probe_sequence < 0:
            self._start_probe(vm, peer, now)
        elif peer.state is _State.SUSPECTED:
            if now - peer.probe_started_at >= timing.suspect_ms:
                self._start_probe(vm, peer, now)
        elif (
            not peer.awaited_helpers
            or now - peer.probe_started_at >= timing.probe_timeout_ms
        ):
            self._set_state(vm, peer, _State.SUSPECTED, "silent", now)

    def _start_probe(self, vm: str, peer: _Peer, now: float) -> None:
        self._sequence += 1
        peer.probe_sequence = self._sequence
        peer.probe_started_at = now
        helpers = self._select_helpers(peer)
        peer.awaited_helpers = set(helpers)
        for via in helpers:
            self._actions.append(IndirectProbe(via, vm, self._sequence))

    def _select_helpers(self, peer: _Peer) -> list[str]:
        live_vms = [
            vm
            for vm in peer.watchers
            if vm != self._own_vm and self._peer_by_vm[vm].state is _State.LIVE
        ]
        # Rotate the candidates, so that a faulty helper is not chosen each time.
        start = self._sequence % len(live_vms) if live_vms else 0
        return (live_vms[start:] + live_vms[:start])[
            : self._timing.indirect_probe_count
        ]

    def _record_evidence(
        self, vm: str, peer: _Peer, max_gap_ms: float, now: float
    ) -> None:
        peer.streak = peer.streak + 1 if now - peer.evidence_at <= max_gap_ms else 1
        peer.evidence_at = now
        if peer.state is _State.LIVE:
            peer.probe_sequence = -1
            peer.awaited_helpers.clear()
        elif peer.streak >= self._timing.heartbeats_to_recover:
            self._set_state(vm, peer, _State.LIVE, "heard", now)
            self._send_suspected_states(vm)

    def _set_state(
        self, vm: str, peer: _Peer, state: _State, reason: str, now: float
    ) -> None:
        peer.state = state
        peer.streak = 0
        if state is _State.LIVE:
            peer.probe_sequence = -1
            peer.awaited_helpers.clear()
        self._actions.append(LivenessChange(vm, state is _State.LIVE, reason))
        # A VM that receives few heartbeats has probably lost its own link; its
        # suspicions would be wrong on every other VM.
        if state is _State.LIVE or self._receives_from_majority(now):
            peer.version += 1
            self._forward_state(vm, state is _State.LIVE, peer.version)

    def _apply_notice(
        self, vm: str, peer: _Peer, alive: bool, version: int, now: float
    ) -> None:
        if version <= peer.version:
            return
        peer.version = version
        state = _State.LIVE if alive else _State.SUSPECTED
        if peer.watched:
            heartbeat_is_recent = now - peer.heartbeat_at <= self._timing.suspect_ms
            if not alive and heartbeat_is_recent and peer.state is _State.LIVE:
                # Recent heartbeats disprove the notice; a higher version overrides it.
                peer.version += 1
                alive = True
        elif peer.state is not state:
            peer.state = state
            self._actions.append(LivenessChange(vm, alive, "notice"))
        self._forward_state(vm, alive, peer.version)

    def _forward_state(self, target: str, alive: bool, version: int) -> None:
        if len(self._watched_peer_by_vm) == len(self._peer_by_vm):
            return
        for to in self._own_watchers:
            if to != target:
                self._actions.append(LivenessNotice(to, target, alive, -version))

    def _send_suspected_states(self, to: str) -> None:
        # A VM that recovers has missed the notices sent while it was suspected.
        if len(self._watched_peer_by_vm) == len(self._peer_by_vm):
            return
        for vm, peer in self._peer_by_vm.items():
            if peer.state is _State.SUSPECTED:
                self._actions.append(LivenessNotice(to, vm, False, -peer.version))

    def _receives_from_majority(self, now: float) -> bool:
        recent_count = sum(
            now - peer.heartbeat_at <= self._timing.suspect_ms
            for peer in self._watched_peer_by_vm.values()
        )
        return 2 * (recent_count + 1) > len(self._watched_peer_by_vm) + 1
