"""Run liveness detection and the shard controllers of one entry process in an actor.

The actor owns this state, handles one message at a time, and publishes an immutable
snapshot of what other threads read.
"""

import threading
import uuid
from collections.abc import Callable
from typing import Any, NamedTuple

import pykka

from wasabivalve import (
    events,
    membership,
    peers,
    platform_log,
    resources,
    routing,
    supervision,
)
from wasabivalve import settings as core_settings
from wasabivalve.ownership import decisions
from wasabivalve.schema import messages_generated, settings_generated

from . import clock, shards

TICK_INTERVAL_MS = 25.0
MAX_DISPATCHER_HEARTBEAT_AGE_MS = 550.0


class ControlTick(NamedTuple):
    """Request the periodic work of the actor."""


class PeerMessage(NamedTuple):
    """Pass a message of a peer to the actor."""

    incoming: peers.IncomingMessage


class LogBatch(NamedTuple):
    """Pass records of the control stream to the actor.

    ``from_log`` is false when they come from a peer's copy of the stream.
    """

    batch: platform_log.ReadBatch
    from_log: bool


class LogGap(NamedTuple):
    """Report that records of the control stream before an offset were missed."""

    oldest_offset: int


class ConfigurationChanged(NamedTuple):
    """Pass a new configuration to the actor."""

    view: resources.ConfigurationView


class OwnerTableReceived(NamedTuple):
    """Pass an owner table of a peer that is newer than the stored one to the actor."""

    table: messages_generated.OwnerTable


class ServerReplied(NamedTuple):
    """Pass the reply of a server to the actor, None if it refused the connection."""

    event: decisions.OwnershipReplied


class ControlSnapshot(NamedTuple):
    """Hold the control state that other threads read; immutable.

    Times in ``heartbeat_at_by_vm`` are in monotonic ms. ``mutually_reachable_vms``
    are the live VMs that also receive the heartbeats of this VM.
    """

    live_by_vm: dict[str, bool]
    has_majority: bool
    configuration_revision_by_vm: dict[str, int]
    draining_vms: frozenset[str]
    heartbeat_at_by_vm: dict[str, float]
    mutually_reachable_vms: frozenset[str]
    status_by_shard: dict[str, Any]


class ControlActor(pykka.ThreadingActor):
    """Own the membership view and the shard controllers and publish snapshots."""

    use_daemon_thread = True

    def __init__(
        self,
        settings: settings_generated.Settings,
        bus: peers.Bus,
        configuration_revision: Callable[[], int],
        is_draining: Callable[[], bool],
        on_snapshot: Callable[[ControlSnapshot], None],
        create_shards: Callable[[float], shards.ShardControllers],
        on_failed: Callable[[], None],
        on_vm_live: Callable[[str], None],
    ):
        super().__init__()
        self._settings = settings
        self._shards = create_shards(clock.monotonic_ms())
        self._on_failed = on_failed
        self._on_vm_live = on_vm_live
        # For each VM, the live VMs whose heartbeats it receives.
        self._heartbeat_senders_by_vm: dict[str, frozenset[str]] = {}
        self._vm = settings["vm"]
        self._bus = bus
        self._heartbeat_ms = settings["timing"]["heartbeat_ms"]
        self._configuration_revision = configuration_revision
        self._is_draining = is_draining
        self._on_snapshot = on_snapshot
        self._incarnation = uuid.uuid4().hex
        self._sequence = 0
        self._next_heartbeat_at = 0.0
        self._revision_by_vm: dict[str, int] = {}
        self._heartbeat_at_by_vm: dict[str, float] = {}
        self._draining_vms: frozenset[str] = frozenset()
        timing = membership.SuspicionTiming(
            heartbeat_ms=self._heartbeat_ms,
            suspect_ms=settings["timing"]["suspect_ms"],
        )
        peer_vms = [peer["vm"] for peer in settings["peers"]]
        self._membership = membership.MembershipView(
            self._vm, peer_vms, timing, clock.monotonic_ms()
        )

    def on_receive(self, message: Any) -> None:
        """Handle one message to the actor."""
        if isinstance(message, ControlTick):
            self._tick()
        elif isinstance(message, PeerMessage):
            self._handle_message(message.incoming)
        elif isinstance(message, LogBatch):
            now = clock.monotonic_ms()
            self._shards.on_log(message.batch, message.from_log, now)
        elif isinstance(message, LogGap):
            self._shards.on_log_gap(message.oldest_offset)
        elif isinstance(message, ConfigurationChanged):
            self._shards.on_configuration(message.view, clock.monotonic_ms())
        elif isinstance(message, OwnerTableReceived):
            self._shards.on_table(message.table, clock.monotonic_ms())
        elif isinstance(message, ServerReplied):
            self._shards.on_server_reply(message.event, clock.monotonic_ms())

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: Any,
    ) -> None:
        """Log the exception that ended the actor and request the stop of the process.

        Without this actor the process would route by outdated owner tables.
        """
        events.emit(5, error=repr(exception_value), actor="control")
        self._on_failed()

    def _tick(self) -> None:
        now = clock.monotonic_ms()
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self._heartbeat_ms
            self._send_heartbeats()
        for action in self._membership.tick(now):
            self._execute_action(action)
        self._update_shards(now)
        self._publish_snapshot(now)

    def on_stop(self) -> None:
        """Stop the thread of the shard controllers."""
        self._shards.close()

    def _update_shards(self, now: float) -> None:
        locality_by_declared_vm = locality_by_vm(self._settings)
        live = self._membership.live_by_vm
        vms = list(locality_by_declared_vm)
        if self._membership.has_majority(now):
            vms = [vm for vm in locality_by_declared_vm if live.get(vm)]
        # A VM cut off from the network sees all others fail; it must not replace the
        # members of a promise group.
        self._shards.on_vms(vms, locality_by_declared_vm, now)
        live_peers = [vm for vm, is_live in live.items() if is_live and vm != self._vm]
        self._shards.tick(live_peers, now)

    def _execute_action(self, action: membership.Action) -> None:
        if isinstance(action, membership.LivenessChange):
            events.emit(101 if action.live else 102, vm=action.vm, reason=action.reason)
            if action.live:
                self._on_vm_live(action.vm)
            else:
                self._bus.fail_pending(action.vm)
        elif isinstance(action, membership.IndirectProbe):
            self._bus.send(
                action.via,
                "probe",
                {"vm": self._vm, "target": action.target, "sequence": action.sequence},
            )
        else:
            self._send_probe_reply(
                action.to, action.target, action.sequence, action.alive
            )

    def _handle_message(self, incoming: peers.IncomingMessage) -> None:
        now = clock.monotonic_ms()
        message = incoming.message
        if incoming.kind == "heartbeat":
            self._on_heartbeat(incoming.sender, message, now)
        elif incoming.kind == "probe":
            alive = self._membership.answer_probe(message["target"], now)
            self._send_probe_reply(
                incoming.sender, message["target"], message["sequence"], alive
            )
        elif incoming.kind == "probe_reply":
            self._membership.on_probe_reply(
                incoming.sender,
                message["target"],
                message["sequence"],
                message["alive"],
                now,
            )
        else:
            self._shards.on_message(incoming, now)

    def _on_heartbeat(
        self, sender: str, message: messages_generated.Heartbeat, now: float
    ) -> None:
        self._membership.on_heartbeat(sender, message["incarnation"], now)
        self._revision_by_vm[sender] = message["configuration_revision"]
        self._heartbeat_at_by_vm[sender] = now
        self._heartbeat_senders_by_vm[sender] = frozenset(message["hears"])
        if message["draining"]:
            self._draining_vms |= {sender}
        else:
            self._draining_vms -= {sender}

    def _send_heartbeats(self) -> None:
        self._sequence += 1
        heartbeat: messages_generated.Heartbeat = {
            "vm": self._vm,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "configuration_revision": self._configuration_revision(),
            "control_offset": self._shards.next_offset,
            "draining": self._is_draining(),
            "hears": [
                vm
                for vm in self._membership.heartbeat_targets
                if self._membership.live_by_vm.get(vm)
            ],
        }
        for vm in self._membership.heartbeat_targets:
            self._bus.send(vm, "heartbeat", heartbeat)

    def _send_probe_reply(
        self, to: str, target: str, sequence: int, alive: bool
    ) -> None:
        reply = {"target": target, "sequence": sequence, "alive": alive}
        self._bus.send(to, "probe_reply", reply)

    def _publish_snapshot(self, now: float) -> None:
        self._on_snapshot(
            ControlSnapshot(
                self._membership.live_by_vm,
                self._membership.has_majority(now),
                {
                    **self._revision_by_vm,
                    self._vm: self._configuration_revision(),
                },
                self._draining_vms,
                dict(self._heartbeat_at_by_vm),
                self._mutually_reachable_vms(),
                self._shards.describe(now),
            )
        )

    def _mutually_reachable_vms(self) -> frozenset[str]:
        """Return the live VMs that receive this VM's heartbeats.

        A live VM to which this one sends no heartbeats counts as such.
        """
        watchers = set(self._membership.heartbeat_targets)
        return frozenset(
            vm
            for vm, live in self._membership.live_by_vm.items()
            if live
            and (
                vm == self._vm
                or vm not in watchers
                or self._vm in self._heartbeat_senders_by_vm.get(vm, frozenset())
            )
        )


class PeriodicThread:
    """Call a function at a fixed interval on a thread of its own."""

    def __init__(self, callback: Callable[[], None], interval_ms: float):
        self._callback = callback
        self._interval_s = interval_ms / 1000
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread."""
        self._closing.set()
        self._thread.join()

    def _run(self) -> None:
        def step() -> None:
            if not self._closing.wait(self._interval_s):
                self._callback()

        supervision.run_steps("periodic thread", step, self._closing)


def locality_by_vm(
    settings: settings_generated.Settings,
) -> dict[str, routing.Locality]:
    """Return the localities of all declared entry VMs, including this one."""
    region_by_data_centre = core_settings.region_by_data_centre(settings)
    data_centre_by_vm = {peer["vm"]: peer["data_centre"] for peer in settings["peers"]}
    data_centre_by_vm[settings["vm"]] = settings["data_centre"]
    return {
        vm: routing.Locality(data_centre, region_by_data_centre.get(data_centre, ""))
        for vm, data_centre in data_centre_by_vm.items()
    }


def locality_by_candidate(
    settings: settings_generated.Settings, snapshot: ControlSnapshot, now: float
) -> dict[str, routing.Locality]:
    """Return the localities of the VMs that may be dispatchers now.

    ``now`` is in monotonic ms. A VM whose heartbeats are late is left out long before
    it is suspected: two dispatchers at a time do no harm, but a paused dispatcher
    blocks requests.
    """
    min_heartbeat_at = now - MAX_DISPATCHER_HEARTBEAT_AGE_MS
    heartbeat_at_by_vm = snapshot.heartbeat_at_by_vm
    return {
        vm: locality
        for vm, locality in locality_by_vm(settings).items()
        if snapshot.live_by_vm.get(vm)
        and vm not in snapshot.draining_vms
        and heartbeat_at_by_vm.get(vm, now) >= min_heartbeat_at
    }
