"""Assemble the entry daemon."""

import random
import threading
from typing import Any

from wasabivalve import events, metrics, outcomes, peers, platform_log, resources
from wasabivalve.schema import settings_generated

from . import (
    caller_request,
    clock,
    configuration,
    control,
    dispatch,
    http_front,
    log_access,
    owners,
    permits,
    request_path,
    upstream_client,
)

# Time in which the balancer notices that a stopping VM is not ready.
READINESS_NOTICE_MS = 500.0
DRAIN_SHARE = 0.8
MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024


class EntryDaemon:
    """Run one entry process until closed."""

    def __init__(self, settings: settings_generated.Settings):
        self._settings = settings
        self._stopping = threading.Event()
        self._published = control.Published({}, False, {}, frozenset(), {})
        self._places: dict[str, Any] = {}
        self._metrics = _make_metrics(settings)
        self._owners = owners.OwnerTables()
        self._configuration = configuration.Configuration(
            settings.get("operator_keys", {})
        )
        self._dispatcher = dispatch.Dispatcher(self._configuration.view)
        self._bus = peers.Bus(
            peers.BusOptions(
                settings["vm"], settings["peer"], tuple(settings["peers"])
            ),
            self._on_message,
            lambda: self._metrics.count("peer.message_dropped"),
        )
        self._client = upstream_client.UpstreamClient(
            _connections_per_instance(settings), MAXIMUM_ANSWER_BYTES
        )
        self._log = platform_log.LogClient(settings["log"]["url"])
        streams = settings["log"]
        self._access = log_access.LogAccess(
            self._log,
            self._bus,
            self._live_peers,
            (streams["configuration_stream"], streams["control_stream"]),
        )
        self._followers = [
            configuration.LogFollower(
                self._access,
                streams["configuration_stream"],
                lambda batch, from_log: self._configuration.take(batch.records),
                lambda gap: self._configuration.note_gap(gap.oldest_offset),
            )
        ]
        self._path = request_path.RequestPath(
            request_path.Parts(
                settings,
                self._configuration.view,
                self._owners,
                permits.Permits(
                    settings["vm"], self._bus, self._dispatcher, lambda: self._places
                ),
                self._client,
                random.Random(),
            )
        )
        self._front = http_front.HttpFront(
            settings,
            self._serve,
            {"/-/status": self._status},
            lambda: self._configuration.view() is not None,
        )

    def start(self) -> None:
        """Start every part; raise OSError or ZMQError when an address is taken."""
        self._bus.start()
        self._control = control.ControlActor.start(
            self._settings,
            self._bus,
            lambda: self._configuration.state.revision,
            self._stopping.is_set,
            self._on_publish,
        )
        self._ticker = control.Ticker(self._tick, control.TICK_MS)
        self._ticker.start()
        for follower in self._followers:
            follower.start()
        self._front.start()
        callers = self._settings["callers"]
        events.emit(
            1,
            vm=self._settings["vm"],
            callers=f"{callers['host']}:{callers['port']}",
        )

    def close(self) -> None:
        """Finish the requests in flight, then stop every part."""
        events.emit(2, vm=self._settings["vm"], in_flight=self._front.in_flight)
        self._stopping.set()
        threading.Event().wait(READINESS_NOTICE_MS / 1000)
        drain_ms = self._settings["limits"]["drain_ms"]
        emptied = self._front.drain(drain_ms * DRAIN_SHARE)
        self._front.close()
        for follower in self._followers:
            follower.close()
        self._ticker.close()
        self._control.stop()
        self._bus.close()
        self._client.close()
        self._access.close()
        self._log.close()
        self._metrics.close()
        events.emit(3, vm=self._settings["vm"], emptied=emptied)

    def _serve(
        self, request: caller_request.CallerRequest
    ) -> outcomes.Outcome | caller_request.Problem:
        prepared = self._path.prepare(request)
        if isinstance(prepared, caller_request.Problem):
            return prepared
        started = clock.monotonic_ms()
        outcome = self._path.run(prepared)
        self._metrics.timing("request.duration", clock.monotonic_ms() - started)
        self._metrics.count(_METRIC_BY_OUTCOME[type(outcome)])
        return outcome

    def _live_peers(self) -> list[str]:
        own = self._settings["vm"]
        return [
            vm for vm, live in self._published.live_by_vm.items() if live and vm != own
        ]

    def _tick(self) -> None:
        self._dispatcher.expire(clock.monotonic_ms())
        self._control.tell(control.Tick())

    def _on_publish(self, published: control.Published) -> None:
        self._places = control.place_by_live_vm(self._settings, published)
        self._published = published

    def _on_message(self, incoming: peers.Incoming) -> None:
        now = clock.monotonic_ms()
        if incoming.kind == "permit_request":
            self._dispatcher.request(
                incoming.message,
                lambda reply: incoming.reply("permit_reply", reply),
                now,
            )
        elif incoming.kind == "permit_release":
            self._dispatcher.release(incoming.message, now)
        elif incoming.kind == "log_relay_request":
            self._access.serve(incoming)
        elif incoming.kind == "owner_table":
            self._owners.publish(incoming.message)
        else:
            self._control.tell(control.Received(incoming))

    def _status(self) -> dict[str, Any]:
        published = self._published
        now = clock.monotonic_ms()
        view = self._configuration.view()
        return {
            "vm": self._settings["vm"],
            "configuration_revision": self._configuration.state.revision,
            "ready": view is not None,
            "draining": self._stopping.is_set(),
            "vms": {
                vm: {
                    "live": live,
                    "configuration_revision": (
                        published.configuration_revision_by_vm.get(vm, 0)
                    ),
                    "draining": vm in published.draining_vms,
                    "age_ms": now - published.heard_at_by_vm.get(vm, now),
                }
                for vm, live in published.live_by_vm.items()
            },
            "shards": {},
            "instances": {},
            "quarantine": [],
        }


_METRIC_BY_OUTCOME = {
    outcomes.Done: "request.done",
    outcomes.NotRun: "request.not_run",
    outcomes.Unknown: "request.unknown",
}


def _make_metrics(settings: settings_generated.Settings) -> metrics.Metrics:
    section = settings.get("metrics")
    if section is None:
        return metrics.Metrics(None)
    prefix = section.get("prefix", "wasabivalve")
    return metrics.Metrics(section["host"], section["port"], prefix)


def _connections_per_instance(settings: settings_generated.Settings) -> int:
    # All entry VMs share what an instance accepts.
    vms = max(1, len(settings["peers"]))
    return max(1, resources.view.DEFAULT_CONNECTIONS // vms)
