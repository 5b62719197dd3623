"""Assemble the components of the entry daemon and dispatch messages to them."""

import random
import threading
import uuid
from collections.abc import Callable
from typing import Any

import pykka

from wasabivalve import (
    burn,
    deduplication,
    events,
    metrics,
    outcomes,
    ownership,
    peers,
    platform_log,
    resources,
)
from wasabivalve.ownership import decisions
from wasabivalve.schema import settings_generated

from . import (
    caller_request,
    caller_server,
    clock,
    configuration,
    control,
    crash_guard,
    deduplicator,
    dispatch,
    load_counter,
    log_relay,
    observations,
    owner_tables,
    permits,
    request_path,
    server_commands,
    shards,
    upstream_client,
)

# Time for the load balancer to notice that a stopping VM is not ready.
READINESS_NOTICE_MS = 500.0
DRAIN_TIME_SHARE = 0.8
BURN_FLUSH_MS = 20_000.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class EntryDaemon:
    """Run one entry process until closed."""

    def __init__(
        self,
        settings: settings_generated.Settings,
        on_failed: Callable[[], None] = lambda: None,
    ):
        """Create the components; ``on_failed`` is called if the control actor fails."""
        self._settings = settings
        self._on_failed = on_failed
        self._stopping = threading.Event()
        self._snapshot = control.ControlSnapshot(
            {}, False, {}, frozenset(), {}, frozenset(), {}
        )
        self._locality_by_candidate: dict[str, Any] = {}
        self._metrics = _make_metrics(settings)
        self._owner_tables = owner_tables.OwnerTables()
        self._configuration = configuration.ActiveConfiguration(
            settings.get("operator_keys", {}),
            lambda view: self._send_to_control(control.ConfigurationChanged(view)),
        )
        self._command_sender = server_commands.CommandSender(self._on_server_reply)
        self._dispatcher = dispatch.Dispatcher(self._configuration.current_view)
        self._bus = peers.Bus(
            peers.BusOptions(
                settings["vm"], settings["peer"], tuple(settings["peers"])
            ),
            self._on_message,
            lambda: self._metrics.count("peer.message_dropped"),
        )
        self._upstream_client = upstream_client.UpstreamClient(
            _connections_per_instance(settings),
            MAX_RESPONSE_BYTES,
            settings["limits"]["response_bytes"],
        )
        self._direct_log_client = platform_log.LogClient(settings["log"]["url"])
        log_settings = settings["log"]
        self._log_client = log_relay.RelayingLogClient(
            self._direct_log_client,
            self._bus,
            self._live_peers,
            (log_settings["configuration_stream"], log_settings["control_stream"]),
        )
        self._followers = [
            configuration.LogFollower(
                self._log_client,
                log_settings["configuration_stream"],
                lambda batch, from_log: self._configuration.apply_records(
                    batch.records
                ),
                lambda gap: self._configuration.record_gap(gap.oldest_offset),
            ),
            configuration.LogFollower(
                self._log_client,
                log_settings["control_stream"],
                lambda batch, from_log: self._send_to_control(
                    control.LogBatch(batch, from_log)
                ),
                lambda gap: self._send_to_control(control.LogGap(gap.oldest_offset)),
            ),
        ]
        self._locality_by_vm = control.locality_by_vm(settings)
        self._deduplicator = deduplicator.Deduplicator(
            settings["vm"],
            self._bus,
            lambda: deduplicator.build_reachable_vms(
                self._locality_by_vm, self._snapshot.mutually_reachable_vms
            ),
        )
        self._crash_guard = crash_guard.CrashGuard(
            settings["vm"],
            self._bus,
            lambda: [vm for vm, live in self._snapshot.live_by_vm.items() if live],
        )
        self._drain_observations = observations.DrainObservations(
            settings["vm"],
            self._bus,
            self._configuration.current_view,
            self._crash_guard.in_flight_count,
        )
        self._burn = burn.BurnRecorder(
            settings["vm"], clock.wall_ms() / 1000, lambda: uuid.uuid4().hex
        )
        self._burn_queue = burn.SummaryQueue()
        self._load_counter_by_shard: dict[str, load_counter.LoadCounter] = {}
        self._request_path = request_path.RequestPath(
            request_path.PathDependencies(
                settings,
                self._configuration.current_view,
                self._owner_tables,
                permits.PermitClient(
                    settings["vm"],
                    self._bus,
                    self._dispatcher,
                    lambda: self._locality_by_candidate,
                ),
                self._upstream_client,
                self._crash_guard,
                random.Random(),
                self._load_counter_by_shard,
            )
        )
        self._server = caller_server.CallerServer(
            settings,
            self._handle_request,
            {"/-/status": self._status},
            self._is_ready,
        )

    def start(self) -> None:
        """Start every component.

        Raise OSError or ZMQError when an address is in use.
        """
        self._bus.start()
        self._control = control.ControlActor.start(
            self._settings,
            self._bus,
            lambda: self._configuration.state.revision,
            self._is_draining,
            self._on_snapshot,
            self._create_shards,
            self._on_failed,
            self._crash_guard.inform,
        )
        self._tick_thread = control.PeriodicThread(self._tick, control.TICK_INTERVAL_MS)
        self._tick_thread.start()
        for follower in self._followers:
            follower.start()
        self._burn_thread = control.PeriodicThread(self._flush_burn, BURN_FLUSH_MS)
        self._burn_thread.start()
        self._server.start()
        callers = self._settings["callers"]
        events.emit(
            1,
            vm=self._settings["vm"],
            callers=f"{callers['host']}:{callers['port']}",
        )

    def close(self) -> None:
        """Wait for the requests in flight, then stop every component.

        The wait is limited to a share of ``drain_ms``.
        """
        events.emit(2, vm=self._settings["vm"], in_flight=self._server.in_flight)
        self._stopping.set()
        threading.Event().wait(READINESS_NOTICE_MS / 1000)
        drain_ms = self._settings["limits"]["drain_ms"]
        emptied = self._server.drain(drain_ms * DRAIN_TIME_SHARE)
        self._server.close()
        for follower in self._followers:
            follower.close()
        self._burn_thread.close()
        self._burn_queue.add(self._burn.close(clock.wall_ms() / 1000))
        self._burn_queue.flush(self._log_client)
        self._tick_thread.close()
        self._control.stop()
        self._command_sender.close()
        self._bus.close()
        self._upstream_client.close()
        self._log_client.close()
        self._direct_log_client.close()
        self._metrics.close()
        events.emit(3, vm=self._settings["vm"], emptied=emptied)

    def _handle_request(
        self, request: caller_request.CallerRequest
    ) -> outcomes.Outcome | caller_request.ProblemResponse:
        prepared = self._request_path.prepare(request)
        if isinstance(prepared, caller_request.ProblemResponse):
            return prepared
        started_at = clock.monotonic_ms()
        result = self._run_once_per_key(prepared)
        duration_ms = clock.monotonic_ms() - started_at
        self._metrics.timing("request.duration", duration_ms)
        if not isinstance(result, caller_request.ProblemResponse):
            self._metrics.count(_METRIC_BY_OUTCOME[type(result)])
            self._record_burn(prepared, result, duration_ms)
        return result

    def _record_burn(
        self,
        prepared: request_path.PreparedRequest,
        outcome: outcomes.Outcome,
        duration_ms: float,
    ) -> None:
        rank = prepared.rank
        self._burn.record(
            prepared.service.name,
            rank.name,
            burn.classify_outcome(outcome, duration_ms, rank.target_ms),
            duration_ms,
            clock.wall_ms() / 1000,
        )

    def _run_once_per_key(
        self, prepared: request_path.PreparedRequest
    ) -> outcomes.Outcome | caller_request.ProblemResponse:
        if prepared.idempotent:
            return self._request_path.run(prepared)
        key = prepared.request.idempotency_key
        first_sent_at_ms = deduplication.uuid7_time_ms(key)
        if first_sent_at_ms is None:
            # Record holders are chosen by the creation time that the key contains.
            reason = f"Idempotency-Key {key!r} is not a UUID of version 7"
            return caller_request.ProblemResponse(400, "not-run", reason)
        if deduplication.is_too_far_in_future(first_sent_at_ms, clock.wall_ms()):
            reason = f"Idempotency-Key {key!r} is from the future"
            return caller_request.ProblemResponse(400, "not-run", reason)
        reservation = self._deduplicator.reserve(prepared.request, first_sent_at_ms)
        if isinstance(reservation.decision, deduplication.KeyConflict):
            reason = "Idempotency-Key was used with another request"
            return caller_request.ProblemResponse(422, "not-run", reason)
        if isinstance(reservation.decision, deduplication.RespondWithoutRun):
            return reservation.decision.outcome
        outcome: outcomes.Outcome = outcomes.Unknown("internal error")
        try:
            outcome = self._request_path.run(prepared)
        finally:
            self._deduplicator.record_outcome(reservation, outcome)
        return outcome

    def _is_ready(self) -> bool:
        """Return whether to accept traffic.

        This needs a configuration and record holders, and no drain.
        """
        if self._configuration.current_view() is None or self._is_draining():
            return False
        return self._deduplicator.has_record_holders()

    def _is_draining(self) -> bool:
        view = self._configuration.current_view()
        drain_ordered = view is not None and self._settings["vm"] in view.drained_vms
        return drain_ordered or self._stopping.is_set()

    def _live_peers(self) -> list[str]:
        own_vm = self._settings["vm"]
        return [
            vm
            for vm, live in self._snapshot.live_by_vm.items()
            if live and vm != own_vm
        ]

    def _flush_burn(self) -> None:
        self._burn_queue.add(self._burn.pop_summaries(clock.wall_ms() / 1000))
        self._burn_queue.flush(self._log_client)

    def _tick(self) -> None:
        self._dispatcher.expire(clock.monotonic_ms())
        self._deduplicator.tick()
        self._crash_guard.tick()
        self._drain_observations.tick()
        self._send_to_control(control.ControlTick())

    def _send_to_control(self, message: Any) -> None:
        try:
            self._control.tell(message)
        except pykka.ActorDeadError:
            # The control actor has failed, which was logged, or the process stops.
            return

    def _create_shards(self, now: float) -> shards.ShardControllers:
        return shards.ShardControllers(
            shards.ShardDependencies(
                self._settings["vm"],
                self._bus,
                self._log_client,
                self._settings["log"]["control_stream"],
                self._owner_tables,
                self._command_sender,
                # Record ids must not be guessable.
                random.SystemRandom(),
                self._load_counter_by_shard,
            ),
            now,
        )

    def _on_server_reply(
        self,
        server: str,
        command: ownership.OwnershipCommand,
        reply: ownership.OwnershipReply | None,
        error_name: str,
    ) -> None:
        if reply is None and not shards.is_connection_refused(error_name):
            # A timeout does not prove that the server has stopped; the controller
            # detects it by its own deadline.
            return
        event = decisions.OwnershipReplied(server, command, reply)
        self._send_to_control(control.ServerReplied(event))

    def _on_snapshot(self, snapshot: control.ControlSnapshot) -> None:
        self._locality_by_candidate = control.locality_by_candidate(
            self._settings, snapshot, clock.monotonic_ms()
        )
        self._snapshot = snapshot

    def _on_message(self, incoming: peers.IncomingMessage) -> None:
        now = clock.monotonic_ms()
        if incoming.kind == "permit_request":
            self._dispatcher.request(
                incoming.message,
                lambda reply: incoming.reply("permit_reply", reply),
                now,
            )
        elif incoming.kind == "permit_release":
            self._dispatcher.release(incoming.message, now)
        elif incoming.kind == "reserve_request":
            self._deduplicator.on_reserve(incoming)
        elif incoming.kind == "record_answer":
            self._deduplicator.on_record(incoming)
        elif incoming.kind == "observation":
            self._drain_observations.on_observation(incoming)
        elif incoming.kind == "quarantine_notice":
            self._crash_guard.on_notice(incoming)
        elif incoming.kind == "log_relay_request":
            self._log_client.on_relay_request(incoming)
        elif incoming.kind == "owner_table":
            if self._owner_tables.publish(incoming.message):
                self._send_to_control(control.OwnerTableReceived(incoming.message))
        else:
            self._send_to_control(control.PeerMessage(incoming))

    def _status(self) -> dict[str, Any]:
        snapshot = self._snapshot
        now = clock.monotonic_ms()
        return {
            "vm": self._settings["vm"],
            "configuration_revision": self._configuration.state.revision,
            "ready": self._is_ready(),
            "draining": self._is_draining(),
            "vms": {
                vm: {
                    "live": live,
                    "configuration_revision": (
                        snapshot.configuration_revision_by_vm.get(vm, 0)
                    ),
                    "draining": vm in snapshot.draining_vms,
                    "age_ms": now - snapshot.heartbeat_at_by_vm.get(vm, now),
                }
                for vm, live in snapshot.live_by_vm.items()
            },
            "shards": snapshot.status_by_shard,
            "instances": self._drain_observations.instances(
                [vm for vm, live in snapshot.live_by_vm.items() if live]
            ),
            "quarantine": self._crash_guard.quarantined_fingerprints(),
        }


_METRIC_BY_OUTCOME = {
    outcomes.Done: "request.done",
    outcomes.NotRun: "request.not_run",
    outcomes.Unknown: "request.unknown",
}


def _make_metrics(settings: settings_generated.Settings) -> metrics.StatsdMetrics:
    section = settings.get("metrics")
    if section is None:
        return metrics.StatsdMetrics(None)
    prefix = section.get("prefix", "wasabivalve")
    return metrics.StatsdMetrics(section["host"], section["port"], prefix)


def _connections_per_instance(settings: settings_generated.Settings) -> int:
    # All entry VMs share the connections that an instance accepts.
    vms = max(1, len(settings["peers"]))
    return max(1, resources.view.DEFAULT_MAX_CONNECTIONS // vms)
