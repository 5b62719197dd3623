"""Stand in for an upstream server with slots, leases and faults."""

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
# Threads for health, load, cancellation, ownership and refusals.
RESERVED_THREADS = 16
# Lets the response to a faults request leave before the fault begins.
FAULT_ACTION_DELAY_MS = 20.0
CRASH_EXIT_STATUS = 70


class Upstream:
    """Run requests in slots, refuse the excess and record every run."""

    def __init__(
        self,
        options: upstream_options.UpstreamOptions,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Take options and a clock in seconds that all stand-ins share."""
        self.options = options
        self._clock = clock
        self._executor = request_execution.RequestExecutor(options, self._now)
        self._lifecycle = threading.RLock()
        self._timers: list[threading.Timer] = []
        self._closed = True
        self._crashes = 0
        threads = options.slots + options.backlog + RESERVED_THREADS
        self._server = http_server.HttpServer(
            self._handle, options.host, options.port, threads
        )

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._server.url

    @property
    def faults(self) -> upstream_options.UpstreamFaults:
        """Return the lasting faults in force."""
        return self._executor.faults

    def start(self) -> None:
        """Listen and serve; raise OSError when the port is taken."""
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
        """Change some fields of `UpstreamFaults`; raise BadRequest for a wrong one."""
        self._executor.change_faults(changes)

    def freeze(self, frozen: bool) -> None:
        """Stop or resume all work and all use of sockets; clocks run on."""
        self._executor.freeze(frozen)
        self._server.freeze(frozen)

    def freeze_for(self, duration_ms: float) -> None:
        """Freeze and resume after a time in ms."""
        self.freeze(True)
        self._after(duration_ms, lambda: self.freeze(False))

    def crash(self, downtime_ms: float) -> None:
        """Cut all connections, lose all leases and start again after ``down_ms``."""
        if self.options.exit_on_crash:
            os._exit(CRASH_EXIT_STATUS)
        self._executor.abort_and_reset()
        with self._lifecycle:
            self._server.stop()
        # Requests that were read before the sockets closed must not run on.
        self._executor.abort_and_reset()
        self._crashes += 1
        self._after(downtime_ms, self._restart)

    def silence_connections(self) -> int:
        """Ignore the open connections from now on; return how many there are."""
        return self._server.silence_connections()

    def drain(self, draining: bool = True) -> int:
        """Refuse new requests, or end that; return the number of running ones."""
        return self._executor.set_draining(draining)

    def runs(self) -> tuple[history.Run, ...]:
        """Return the recorded runs; the oldest are dropped beyond the limit."""
        return self._executor.runs()

    def _now(self) -> float:
        return self._clock() * 1000

    def _after(self, delay_ms: float, action: Callable[[], object]) -> None:
        timer = threading.Timer(delay_ms / 1000, action)
        timer.daemon = True
        with self._lifecycle:
            if self._closed:
                return
            self._timers = [old for old in self._timers if old.is_alive()]
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
        first, _, rest = request.path.removeprefix("/").partition("/")
        if request.method == "POST" and first == "cancel" and rest:
            cancelled = self._executor.cancel(rest)
            return json_http.json_response({"cancelled": cancelled})
        routes = {
            ("GET", "health"): self._show_health,
            ("GET", "load"): self._show_load,
            ("GET", "history"): self._show_history,
            ("GET", "faults"): self._change_faults,
            ("POST", "faults"): self._change_faults,
            ("POST", "drain"): self._drain,
            ("POST", "ownership"): self._apply_ownership,
        }
        handler = None if rest else routes.get((request.method, first))
        if handler:
            return handler(request)
        return self._executor.execute(request, self._crash_on_poison)

    def _crash_on_poison(self) -> None:
        self.crash(self.faults.crash_ms)

    def _show_health(
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
                "now_ms": self._now(),
            }
        return json_http.json_response(document)

    def _show_load(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        sample = self._executor.delayed_load()
        reported = self.faults.reported_load
        document = {
            "name": self.options.name,
            "running": sample.running if reported is None else reported,
            "waiting": sample.waiting,
            "slots": self.options.slots,
            "now_ms": self._now(),
        }
        return json_http.json_response(document)

    def _show_history(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        document = {
            "name": self.options.name,
            "crashes": self._crashes,
            **self._executor.history_document(),
        }
        return json_http.json_response(document)

    def _drain(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        draining = True
        if request.body:
            body = json_http.decode_body(request.body, dict[str, bool])
            draining = body.get("draining", True)
        with self._executor.unfrozen_lock():
            running = self.drain(draining)
        return json_http.json_response({"draining": draining, "running": running})

    def _apply_ownership(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        command = ownership_codec.decode_command(request.body)
        reply = self._executor.apply_ownership(command)
        return json_http.json_response(ownership_codec.reply_document(reply))

    def _change_faults(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        if request.method == "POST":
            document = json_http.decode_body(request.body, dict[str, Any])
            lasting, actions = upstream_options.split_fault_changes(document)
            try:
                checked = msgspec.convert(actions, upstream_options.FaultActions)
            except ValueError as error:
                raise json_http.BadRequest(f"faults: {error}") from error
            self.set_faults(**lasting)
            self._perform(checked)
        return json_http.json_response(dataclasses.asdict(self.faults))

    def _perform(self, actions: upstream_options.FaultActions) -> None:
        if "freeze_for_ms" in actions:
            freeze_ms = actions["freeze_for_ms"]
            self._after(FAULT_ACTION_DELAY_MS, lambda: self.freeze_for(freeze_ms))
        if "crash_for_ms" in actions:
            crash_ms = actions["crash_for_ms"]
            self._after(FAULT_ACTION_DELAY_MS, lambda: self.crash(crash_ms))
        if actions.get("silence_connections"):
            self._after(FAULT_ACTION_DELAY_MS, self.silence_connections)
