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
    ownership_codec,
    replies,
    upstream_options,
    work,
)

RUN_NO = ("Wasabivalve-Run", "no")
# Threads for health, load, cancellation, ownership and refusals.
SPARE_THREADS = 16
# Lets the response to a faults request leave before the fault begins.
ACTION_DELAY_MS = 20.0
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
        self._worker = work.Worker(options, self._now)
        self._lifecycle = threading.RLock()
        self._timers: list[threading.Timer] = []
        self._closed = True
        self._crashes = 0
        threads = options.slots + options.backlog + SPARE_THREADS
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
        return self._worker.faults

    def start(self) -> None:
        """Listen and serve; raise OSError when the port is taken."""
        with self._lifecycle:
            self._closed = False
            self._worker.start()
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
            self._worker.forget()

    def set_faults(self, **changes: Any) -> None:
        """Change some fields of `UpstreamFaults`; raise BadRequest for a wrong one."""
        self._worker.change_faults(changes)

    def freeze(self, frozen: bool) -> None:
        """Stop or resume all work and all use of sockets; clocks run on."""
        self._worker.freeze(frozen)
        self._server.freeze(frozen)

    def freeze_for(self, duration_ms: float) -> None:
        """Freeze and resume after a time in ms."""
        self.freeze(True)
        self._after(duration_ms, lambda: self.freeze(False))

    def crash(self, down_ms: float) -> None:
        """Cut all connections, lose all leases and start again after ``down_ms``."""
        if self.options.exit_on_crash:
            os._exit(CRASH_EXIT_STATUS)
        self._worker.forget()
        with self._lifecycle:
            self._server.stop()
        # Requests that were read before the sockets closed must not run on.
        self._worker.forget()
        self._crashes += 1
        self._after(down_ms, self._restart)

    def silence_connections(self) -> int:
        """Ignore the open connections from now on; return how many there are."""
        return self._server.silence_connections()

    def drain(self, draining: bool = True) -> int:
        """Refuse new requests, or end that; return the number of running ones."""
        return self._worker.drain(draining)

    def runs(self) -> tuple[history.Run, ...]:
        """Return the recorded runs; the oldest are dropped beyond the limit."""
        return self._worker.runs()

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

    def _handle(self, request: http_server.Request) -> http_server.Response:
        try:
            response = self._route(request)
        except replies.BadRequest as error:
            response = replies.error_response(400, str(error), (RUN_NO,))
        except work.NoEffect as error:
            response = replies.error_response(error.status, error.reason, (RUN_NO,))
        request_id = request.header(work.REQUEST_ID_HEADER)
        if request_id is None:
            return response
        headers = (*response.headers, (work.REQUEST_ID_HEADER, request_id))
        return response._replace(headers=headers)

    def _route(self, request: http_server.Request) -> http_server.Response:
        first, _, rest = request.path.removeprefix("/").partition("/")
        if request.method == "POST" and first == "cancel" and rest:
            cancelled = self._worker.cancel(rest)
            return replies.json_response({"cancelled": cancelled})
        routes = {
            ("GET", "health"): self._show_health,
            ("GET", "load"): self._show_load,
            ("GET", "history"): self._show_history,
            ("GET", "faults"): self._change_faults,
            ("POST", "faults"): self._change_faults,
            ("POST", "drain"): self._drain,
            ("POST", "ownership"): self._own,
        }
        handler = None if rest else routes.get((request.method, first))
        if handler:
            return handler(request)
        return self._worker.work(request, self._crash_on_poison)

    def _crash_on_poison(self) -> None:
        self.crash(self.faults.crash_ms)

    def _show_health(self, request: http_server.Request) -> http_server.Response:
        if self.options.probe_ms:
            time.sleep(self.options.probe_ms / 1000)
        with self._worker.awake():
            draining = self._worker.draining and not self.faults.always_healthy
            document = {
                "name": self.options.name,
                "service": self.options.service,
                "status": "draining" if draining else "ok",
                "now_ms": self._now(),
            }
        return replies.json_response(document)

    def _show_load(self, request: http_server.Request) -> http_server.Response:
        sample = self._worker.load()
        reported = self.faults.reported_load
        document = {
            "name": self.options.name,
            "running": sample.running if reported is None else reported,
            "waiting": sample.waiting,
            "slots": self.options.slots,
            "now_ms": self._now(),
        }
        return replies.json_response(document)

    def _show_history(self, request: http_server.Request) -> http_server.Response:
        document = {
            "name": self.options.name,
            "crashes": self._crashes,
            **self._worker.history_document(),
        }
        return replies.json_response(document)

    def _drain(self, request: http_server.Request) -> http_server.Response:
        draining = True
        if request.body:
            body = replies.decode_body(request.body, dict[str, bool])
            draining = body.get("draining", True)
        with self._worker.awake():
            running = self.drain(draining)
        return replies.json_response({"draining": draining, "running": running})

    def _own(self, request: http_server.Request) -> http_server.Response:
        command = ownership_codec.decode_command(request.body)
        reply = self._worker.own(command)
        return replies.json_response(ownership_codec.reply_document(reply))

    def _change_faults(self, request: http_server.Request) -> http_server.Response:
        if request.method == "POST":
            document = replies.decode_body(request.body, dict[str, Any])
            lasting, actions = upstream_options.split_changes(document)
            try:
                checked = msgspec.convert(actions, upstream_options.FaultActions)
            except ValueError as error:
                raise replies.BadRequest(f"faults: {error}") from error
            self.set_faults(**lasting)
            self._perform(checked)
        return replies.json_response(dataclasses.asdict(self.faults))

    def _perform(self, actions: upstream_options.FaultActions) -> None:
        if "freeze_for_ms" in actions:
            freeze_ms = actions["freeze_for_ms"]
            self._after(ACTION_DELAY_MS, lambda: self.freeze_for(freeze_ms))
        if "crash_for_ms" in actions:
            crash_ms = actions["crash_for_ms"]
            self._after(ACTION_DELAY_MS, lambda: self.crash(crash_ms))
        if actions.get("silence_connections"):
            self._after(ACTION_DELAY_MS, self.silence_connections)
