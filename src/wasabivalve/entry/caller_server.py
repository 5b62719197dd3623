"""Accept requests of callers over HTTP and write the responses."""

import threading
import time
from collections.abc import Callable, Mapping
from typing import Any

import waitress.server
import waitress.task

from wasabivalve import events, outcomes
from wasabivalve.gateway import send_queue
from wasabivalve.schema import settings_generated

from . import caller_memory, caller_request, clock, lingering

# An idle or slow sender occupies a connection, but no thread, for this long.
CHANNEL_TIMEOUT_S = 30
MAX_CONNECTIONS = 2_000
INTERNAL_PATH_PREFIX = "/-/"
# A drain ends after this many consecutive polls without a request.
IDLE_POLLS_TO_DRAIN = 3
DRAIN_POLL_INTERVAL_S = 0.02

ServeFunction = Callable[
    [caller_request.CallerRequest], outcomes.Outcome | caller_request.ProblemResponse
]


class CallerServer:
    """Serve callers and the internal paths until closed."""

    def __init__(
        self,
        settings: settings_generated.Settings,
        serve: ServeFunction,
        document_by_path: Mapping[str, Callable[[], Any]],
        is_ready: Callable[[], bool],
    ):
        self._settings = settings
        self._limits = settings["limits"]
        self._serve = serve
        self._document_by_path = document_by_path
        self._is_ready = is_ready
        self._draining = False
        self._in_flight = 0
        self._lock = threading.Lock()
        self.memory = caller_memory.CallerMemory(
            int(
                caller_memory.CALLER_MEMORY_SHARE
                * caller_memory.BYTES_PER_MB
                * self._limits["memory_mb"]
            )
        )

    def start(self) -> None:
        """Listen and start the thread; raise OSError when the port is in use."""
        callers = self._settings["callers"]
        self._server = waitress.server.create_server(
            self._wsgi_application,
            host=callers["host"],
            port=callers["port"],
            threads=self._limits["threads"],
            max_request_header_size=self._limits["header_bytes"],
            max_request_body_size=self._limits["body_bytes"],
            channel_timeout=CHANNEL_TIMEOUT_S,
            connection_limit=MAX_CONNECTIONS,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )
        self._server.channel_class = _make_channel_class(
            lambda: self._draining, self.memory, self._limits["header_bytes"]
        )
        self._thread = threading.Thread(
            target=self._server.run, name="http-front", daemon=True
        )
        self._thread.start()

    def drain(self, timeout_ms: float) -> bool:
        """Report as not ready and wait until no request is in flight.

        Return whether that was reached within ``timeout_ms``. Requests that still
        arrive are served, with ``Connection: close``. A request is in flight from
        the time it was read until its caller has received the response.
        """
        self._draining = True
        timeout_at = clock.monotonic_ms() + timeout_ms
        idle_polls = 0
        while clock.monotonic_ms() < timeout_at:
            idle_polls = 0 if self._is_busy() else idle_polls + 1
            if idle_polls >= IDLE_POLLS_TO_DRAIN:
                return True
            time.sleep(DRAIN_POLL_INTERVAL_S)
        return False

    def close(self) -> None:
        """Stop listening and stop the threads."""
        # The worker threads wake the server's event loop when they end, so they are
        # stopped before it is closed.
        self._server.task_dispatcher.shutdown()
        self._server.close()

    def _is_busy(self) -> bool:
        channels = list(self._server.active_channels.values())
        response_unsent = any(
            channel.requests
            or channel.total_outbufs_len
            or send_queue.unacknowledged_bytes(channel.socket)
            for channel in channels
        )
        return bool(
            self._in_flight or self._server.task_dispatcher.queue or response_unsent
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._in_flight

    def _wsgi_application(
        self, environ: dict[str, Any], start_response: caller_request.StartResponse
    ) -> list[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith(INTERNAL_PATH_PREFIX):
            return self._respond_internal(path, start_response)
        with self._lock:
            self._in_flight += 1
        try:
            return self._respond(environ, start_response)
        except Exception as error:
            # The request may have reached an upstream before the exception, so the
            # outcome is unknown.
            events.emit(5, error=repr(error))
            problem = caller_request.ProblemResponse(500, "unknown", "internal error")
            return caller_request.write_problem(problem, start_response)
        finally:
            with self._lock:
                self._in_flight -= 1

    def _respond(
        self, environ: dict[str, Any], start_response: caller_request.StartResponse
    ) -> list[bytes]:
        request = caller_request.parse(environ, self._limits["request_ms"])
        if not isinstance(request, caller_request.CallerRequest):
            reason = "; ".join(f"{row.path}: {row.problem}" for row in request)
            problem = caller_request.ProblemResponse(400, "not-run", reason)
            return caller_request.write_problem(problem, start_response)
        result = self._serve(request)
        if isinstance(result, outcomes.Done):
            return caller_request.write_response(result, start_response)
        if not isinstance(result, caller_request.ProblemResponse):
            result = caller_request.problem_of_outcome(result)
        return caller_request.write_problem(result, start_response)

    def _respond_internal(
        self, path: str, start_response: caller_request.StartResponse
    ) -> list[bytes]:
        if path == "/-/ready":
            if self._is_ready() and not self._draining:
                return caller_request.write_json({"ready": True}, start_response)
            problem = caller_request.ProblemResponse(
                503, "not-run", "not ready", 1_000.0
            )
            return caller_request.write_problem(problem, start_response)
        document = self._document_by_path.get(path)
        if document is None:
            problem = caller_request.ProblemResponse(
                404, "not-run", f"no page {path!r}"
            )
            return caller_request.write_problem(problem, start_response)
        return caller_request.write_json(document(), start_response)


def _make_channel_class(
    is_draining: Callable[[], bool],
    memory: caller_memory.CallerMemory,
    max_line_bytes: int,
) -> type:
    """Return a channel class that closes connections after a response in a drain."""
    channel_class: Any = lingering.make_channel_class(
        caller_memory.make_channel_class(memory, max_line_bytes)
    )

    class DrainingTask(waitress.task.WSGITask):
        def build_response_header(self) -> bytes:
            self.channel.reserve(self.content_length or 0)
            if is_draining():
                # A WSGI application must not set the Connection header. With this
                # request header, waitress closes as if the caller had asked for it.
                self.request.headers["CONNECTION"] = "close"
            return bytes(super().build_response_header())

    class DrainingChannel(channel_class):
        task_class = DrainingTask

    return DrainingChannel
