"""Suspect VMs whose heartbeats stay away."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from . import overlay


class SuspicionTiming(NamedTuple):
    """Set the timing of suspicion in milliseconds and its counts."""

    heartbeat_ms: float = 250.0
    suspect_ms: float = 1000.0
    probe_timeout_ms: float = 250.0
    # A gap between two ticks longer than one promise period is a pause of this VM.
    pause_threshold_ms: float = 350.0
    # A heartbeat follows the previous one when it comes within this time.
    max_streak_gap_ms: float = 750.0
    indirect_probe_count: int = 2
    heartbeats_to_recover: int = 3
    # Watchers of a VM above nine VMs. Eight would send 10 KB/s of heartbeats.
    fan_out: int = 4


class LivenessChange(NamedTuple):
    """State that a VM became live or suspected, or that it restarted."""

    vm: str
    live: bool
    reason: str


class IndirectProbe(NamedTuple):
    """Ask the VM ``via`` whether it hears the VM ``target``."""

    via: str
    target: str
    sequence: int


class LivenessNotice(NamedTuple):
    """Pass a confirmed state of ``target`` on to ``to`` as an unasked probe reply.

    The sequence is negative: the version of the state with its sign changed. Without
    an order, notices of opposite states would chase each other without end.
    """

    to: str
    target: str
    alive: bool
    sequence: int


Action = LivenessChange | IndirectProbe | LivenessNotice


class _State(enum.Enum):
    UNHEARD = 1
    LIVE = 2
    SUSPECTED = 3


@dataclasses.dataclass(slots=True)
class _Peer:
    watchers: tuple[str, ...]
    watched: bool
    state: _State
    incarnation: str = ""
    heard_at: float = float("-inf")
    evidence_at: float = float("-inf")
    streak: int = 0
    version: int = 0
    probe_sequence: int = -1
    probe_started_at: float = float("-inf")
    awaited: set[str] = dataclasses.field(default_factory=set)


class MembershipView:
    """Hold one VM's view of which VMs are live.

    Times are milliseconds of this VM's monotonic clock. A VM that this one does not
    watch counts as live until a watcher's notice says otherwise.
    """

    def __init__(
        self,
        own_vm: str,
        names: Iterable[str],
        timing: SuspicionTiming = SuspicionTiming(),  # noqa: B008
        now: float = 0.0,
        region_by_vm: Mapping[str, str] | None = None,
    ):
        """Start with no watched VM live; ``names`` are all VMs of the settings."""
        self._self_name = own_vm
        self._timing = timing
        all_names = {own_vm, *names}
        watchers = overlay.watchers_by_vm(all_names, timing.fan_out, region_by_vm)
        self._neighbours = watchers[own_vm]
        self._peer_by_name: dict[str, _Peer] = {}
        for name in sorted(all_names - {own_vm}):
            watched = own_vm in watchers[name]
            state = _State.UNHEARD if watched else _State.LIVE
            self._peer_by_name[name] = _Peer(watchers[name], watched, state)
        self._watched = {
            name: peer for name, peer in self._peer_by_name.items() if peer.watched
        }
        self._last_tick = now
        self._sequence = 0
        self._actions: list[Action] = []
        self._leaving: frozenset[str] = frozenset()
        self._restart_silence(now)

    @property
    def heartbeat_targets(self) -> tuple[str, ...]:
        """Return the VMs that need this VM's heartbeats in each interval."""
        return self._neighbours

    @property
    def live_by_vm(self) -> dict[str, bool]:
        """Return for each VM, this one included, whether it counts as live."""
        result = {
            name: peer.state is _State.LIVE for name, peer in self._peer_by_name.items()
        }
        result[self._self_name] = True
        return result

    @property
    def placement_vms(self) -> tuple[str, ...]:
        """Return the live VMs without those that the VM list shows as leaving."""
        live = sorted(name for name, is_live in self.live_by_vm.items() if is_live)
        staying = tuple(name for name in live if name not in self._leaving)
        return staying or tuple(live)

    def has_majority(self, now: float) -> bool:
        """Tell whether most VMs count as live and most watched ones were heard.

        The second condition holds off a VM that is cut off: it receives no notices
        about the VMs that it does not watch.
        """
        live = sum(self.live_by_vm.values())
        return 2 * live > len(self._peer_by_name) + 1 and self._hears_most(now)

    def on_heartbeat(self, vm: str, incarnation: str, now: float) -> None:
        """Count a heartbeat; a VM that is not in the settings is ignored."""
        peer = self._peer_by_name.get(vm)
        if peer is None:
            return
        if peer.incarnation and peer.incarnation != incarnation:
            peer.streak = 0
            if peer.state is _State.LIVE:
                self._actions.append(LivenessChange(vm, True, "restarted"))
        peer.incarnation = incarnation
        peer.heard_at = now
        self._count_evidence(vm, peer, self._timing.max_streak_gap_ms, now)

    def on_vm_list(self, leaving: Iterable[str]) -> None:
        """Note the VMs that the VM list shows as leaving; this suspects nobody."""
        self._leaving = frozenset(leaving)

    def answer_probe(self, target: str, now: float) -> bool:
        """Tell whether this VM heard the target itself within the suspicion time."""
        if target == self._self_name:
            return True
        peer = self._peer_by_name.get(target)
        return peer is not None and now - peer.heard_at <= self._timing.suspect_ms

    def on_probe_reply(
        self, source: str, target: str, sequence: int, alive: bool, now: float
    ) -> None:
        """Take in a peer's answer to a probe, or a notice."""
        peer = self._peer_by_name.get(target)
        if peer is None or source not in self._peer_by_name:
            return
        if sequence < 0:
            self._take_notice(target, peer, alive, -sequence, now)
        elif sequence == peer.probe_sequence and source in peer.awaited:
            peer.awaited.discard(source)
            if alive:
                peer.awaited.clear()
                # Probes to a silent VM are one suspicion time apart.
                gap = 2 * self._timing.suspect_ms
                self._count_evidence(target, peer, gap, now)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Return the changes since the last tick and the messages to send."""
        if now - self._last_tick > self._timing.pause_threshold_ms:
            self._restart_silence(now)
        self._last_tick = now
        for name, peer in self._watched.items():
            self._check(name, peer, now)
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def _restart_silence(self, now: float) -> None:
        # Messages that arrived during a pause may still wait to be read, so silence
        # counts from the end of the pause.
        for peer in self._watched.values():
            peer.evidence_at = now
            peer.awaited.clear()
            peer.probe_sequence = -1

    def _check(self, name: str, peer: _Peer, now: float) -> None:
        timing = self._timing
        if now - peer.evidence_at <= timing.suspect_ms:
            return
        if peer.probe_sequence < 0:
            self._start_probe(name, peer, now)
        elif peer.state is _State.SUSPECTED:
            if now - peer.probe_started_at >= timing.suspect_ms:
                self._start_probe(name, peer, now)
        elif not peer.awaited or now - peer.probe_started_at >= timing.probe_timeout_ms:
            self._set_state(name, peer, _State.SUSPECTED, "silent", now)

    def _start_probe(self, name: str, peer: _Peer, now: float) -> None:
        self._sequence += 1
        peer.probe_sequence = self._sequence
        peer.probe_started_at = now
        helpers = self._helpers(peer)
        peer.awaited = set(helpers)
        for via in helpers:
            self._actions.append(IndirectProbe(via, name, self._sequence))

    def _helpers(self, peer: _Peer) -> list[str]:
        live = [
            name
            for name in peer.watchers
            if name != self._self_name and self._peer_by_name[name].state is _State.LIVE
        ]
        # The starting point moves, so that one bad helper is not asked each time.
        start = self._sequence % len(live) if live else 0
        return (live[start:] + live[:start])[: self._timing.indirect_probe_count]

    def _count_evidence(self, name: str, peer: _Peer, gap: float, now: float) -> None:
        peer.streak = peer.streak + 1 if now - peer.evidence_at <= gap else 1
        peer.evidence_at = now
        if peer.state is _State.LIVE:
            peer.probe_sequence = -1
            peer.awaited.clear()
        elif peer.streak >= self._timing.heartbeats_to_recover:
            self._set_state(name, peer, _State.LIVE, "heard", now)
            self._tell_suspects(name)

    def _set_state(
        self, name: str, peer: _Peer, state: _State, reason: str, now: float
    ) -> None:
        peer.state = state
        peer.streak = 0
        if state is _State.LIVE:
            peer.probe_sequence = -1
            peer.awaited.clear()
        self._actions.append(LivenessChange(name, state is _State.LIVE, reason))
        # A VM that hears few others has probably lost its own link; its suspicions
        # would be wrong on every other VM.
        if state is _State.LIVE or self._hears_most(now):
            peer.version += 1
            self._pass_on(name, state is _State.LIVE, peer.version)

    def _take_notice(
        self, name: str, peer: _Peer, alive: bool, version: int, now: float
    ) -> None:
        if version <= peer.version:
            return
        peer.version = version
        state = _State.LIVE if alive else _State.SUSPECTED
        if peer.watched:
            heard = now - peer.heard_at <= self._timing.suspect_ms
            if not alive and heard and peer.state is _State.LIVE:
                # This VM knows better; the higher version overtakes the notice.
                peer.version += 1
                alive = True
        elif peer.state is not state:
            peer.state = state
            self._actions.append(LivenessChange(name, alive, "notice"))
        self._pass_on(name, alive, peer.version)

    def _pass_on(self, target: str, alive: bool, version: int) -> None:
        if len(self._watched) == len(self._peer_by_name):
            return
        for to in self._neighbours:
            if to != target:
                self._actions.append(LivenessNotice(to, target, alive, -version))

    def _tell_suspects(self, to: str) -> None:
        # A VM that returns has missed the notices sent meanwhile.
        if len(self._watched) == len(self._peer_by_name):
            return
        for name, peer in self._peer_by_name.items():
            if peer.state is _State.SUSPECTED:
                self._actions.append(LivenessNotice(to, name, False, -peer.version))

    def _hears_most(self, now: float) -> bool:
        heard = sum(
            now - peer.heard_at <= self._timing.suspect_ms
            for peer in self._watched.values()
        )
        return 2 * (heard + 1) > len(self._watched) + 1
