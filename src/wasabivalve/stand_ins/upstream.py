"""Simulate an upstream server with slots, leases and faults."""

import dataclasses
import os
import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec

from . import (
    history,
    http_server,
    json_http,
    ownership_codec,
    request_execution,
    upstream_options,
)

NOT_RUN_HEADER = ("Wasabivalve-Run", "no")
# Threads for health, load, cancellation, ownership and refused requests.
RESERVED_THREADS = 16
# Lets the response to a faults request be sent before the fault starts.
FAULT_ACTION_DELAY_MS = 20.0
CRASH_EXIT_STATUS = 70


class Upstream:
    """Run requests in slots, refuse the excess and record every run."""

    def __init__(
        self,
        options: upstream_options.UpstreamOptions,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Initialize with a clock in seconds that all stand-ins share."""
        self.options = options
        self._clock = clock
        self._executor = request_execution.RequestExecutor(options, self._now_ms)
        self._lifecycle = threading.RLock()
        self._timers: list[threading.Timer] = []
        self._closed = True
        self._crashes = 0
        thread_count = options.slots + options.backlog + RESERVED_THREADS
        self._server = http_server.HttpServer(
            self._handle, options.host, options.port, thread_count
        )

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._server.url

    @property
    def faults(self) -> upstream_options.UpstreamFaults:
        """Return the persistent faults in force."""
        return self._executor.faults

    def start(self) -> None:
        """Listen and serve; raise OSError if the port is in use."""
        with self._lifecycle:
            self._closed = False
            self._executor.start()
            self._server.start()

    def close(self, grace_ms: float = 2000.0) -> None:
        """Drain for at most ``grace_ms`` and stop."""
        with self._lifecycle:
            self._closed = True
            for timer in self._timers:
                timer.cancel()
            self.freeze(False)
            self.drain()
            self._server.close(grace_ms)
            self._executor.abort_and_reset()

    def set_faults(self, **changes: Any) -> None:
        """Change fields of `UpstreamFaults`; raise BadRequest if one is invalid."""
        self._executor.change_faults(changes)

    def freeze(self, frozen: bool) -> None:
        """Suspend or resume all execution and socket use; clocks continue."""
        self._executor.freeze(frozen)
        self._server.freeze(frozen)

    def freeze_for(self, duration_ms: float) -> None:
        """Freeze, and resume after a time in ms."""
        self.freeze(True)
        self._run_after(duration_ms, lambda: self.freeze(False))

    def crash(self, downtime_ms: float) -> None:
        """Close all connections, discard all leases, restart after ``downtime_ms``."""
        if self.options.exit_on_crash:
            os._exit(CRASH_EXIT_STATUS)
        self._executor.abort_and_reset()
        with self._lifecycle:
            self._server.stop()
        # Requests that were read before the sockets closed must not continue.
        self._executor.abort_and_reset()
        self._crashes += 1
        self._run_after(downtime_ms, self._restart)

    def silence_connections(self) -> int:
        """Stop all reads and writes on the open connections; return their number."""
        return self._server.silence_connections()

    def drain(self, draining: bool = True) -> int:
        """Refuse or accept new requests; return the number of running ones."""
        return self._executor.set_draining(draining)

    def runs(self) -> tuple[history.Run, ...]:
        """Return the recorded runs; the oldest are dropped beyond ``history_limit``."""
        return self._executor.runs()

    def _now_ms(self) -> float:
        return self._clock() * 1000

    def _run_after(self, delay_ms: float, action: Callable[[], object]) -> None:
        timer = threading.Timer(delay_ms / 1000, action)
        timer.daemon = True
        with self._lifecycle:
            if self._closed:
                return
            self._timers = [
                pending_timer
                for pending_timer in self._timers
                if pending_timer.is_alive()
            ]
            self._timers.append(timer)
            timer.start()

    def _restart(self) -> None:
        with self._lifecycle:
            if not self._closed:
                self.start()

    def _handle(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        try:
            response = self._route(request)
        except json_http.BadRequest as error:
            response = json_http.error_response(400, str(error), (NOT_RUN_HEADER,))
        except request_execution.RequestNotCommitted as error:
            response = json_http.error_response(
                error.status, error.reason, (NOT_RUN_HEADER,)
            )
        request_id = request.header(request_execution.REQUEST_ID_HEADER)
        if request_id is None:
            return response
        headers = (*response.headers, (request_execution.REQUEST_ID_HEADER, request_id))
        return response._replace(headers=headers)

    def _route(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        first_segment, _, rest = request.path.removeprefix("/").partition("/")
        if request.method == "POST" and first_segment == "cancel" and rest:
            cancelled = self._executor.cancel(rest)
            return json_http.json_response({"cancelled": cancelled})
        handler_by_route = {
            ("GET", "health"): self._handle_health,
            ("GET", "load"): self._handle_load,
            ("GET", "history"): self._handle_history,
            ("GET", "faults"): self._handle_faults,
            ("POST", "faults"): self._handle_faults,
            ("POST", "drain"): self._handle_drain,
            ("POST", "ownership"): self._handle_ownership,
        }
        handler = (
            None if rest else handler_by_route.get((request.method, first_segment))
        )
        if handler:
            return handler(request)
        return self._executor.execute(request, self._crash_on_poison)

    def _crash_on_poison(self) -> None:
        self.crash(self.faults.crash_ms)

    def _handle_health(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        if self.options.probe_ms:
            time.sleep(self.options.probe_ms / 1000)
        with self._executor.unfrozen_lock():
            draining = self._executor.draining and not self.faults.always_healthy
            document = {
                "name": self.options.name,
                "service": self.options.service,
                "status": "draining" if draining else "ok",
                "now_ms": self._now_ms(),
            }
        return json_http.json_response(document)

    def _handle_load(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        load_sample = self._executor.delayed_load()
        reported_load = self.faults.reported_load
        document = {
            "name": self.options.name,
            "running": load_sample.running if reported_load is None else reported_load,
            "waiting": load_sample.waiting,
            "slots": self.options.slots,
            "now_ms": self._now_ms(),
        }
        return json_http.json_response(document)

    def _handle_history(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        document = {
            "name": self.options.name,
            "crashes": self._crashes,
            **self._executor.history_document(),
        }
        return json_http.json_response(document)

    def _handle_drain(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        draining = True
        if request.body:
            body = json_http.decode_body(request.body, dict[str, bool])
            draining = body.get("draining", True)
        with self._executor.unfrozen_lock():
            running = self.drain(draining)
        return json_http.json_response({"draining": draining, "running": running})

    def _handle_ownership(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        command = ownership_codec.decode_command(request.body)
        reply = self._executor.apply_ownership(command)
        return json_http.json_response(ownership_codec.reply_document(reply))

    def _handle_faults(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        if request.method == "POST":
            document = json_http.decode_body(request.body, dict[str, Any])
            persistent_changes, actions = upstream_options.split_fault_changes(document)
            try:
                checked_actions = msgspec.convert(
                    actions, upstream_options.FaultActions
                )
            except ValueError as error:
                raise json_http.BadRequest(f"faults: {error}") from error
            self.set_faults(**persistent_changes)
            self._schedule_actions(checked_actions)
        return json_http.json_response(dataclasses.asdict(self.faults))

    def _schedule_actions(self, actions: upstream_options.FaultActions) -> None:
        if "freeze_for_ms" in actions:
            freeze_ms = actions["freeze_for_ms"]
            self._run_after(FAULT_ACTION_DELAY_MS, lambda: self.freeze_for(freeze_ms))
        if "crash_for_ms" in actions:
            crash_ms = actions["crash_for_ms"]
            self._run_after(FAULT_ACTION_DELAY_MS, lambda: self.crash(crash_ms))
        if actions.get("silence_connections"):
            self._run_after(FAULT_ACTION_DELAY_MS, self.silence_connections)
