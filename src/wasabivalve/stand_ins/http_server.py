"""Serve a request handler over waitress, with simulated connection faults."""

import http
import logging
import socket
import threading
import time
import urllib.parse
from collections.abc import Callable
from typing import Any, NamedTuple

import waitress.channel
import waitress.server
import waitress.wasyncore

MAX_BODY_BYTES = 16 * 1024 * 1024
# One upstream has more connections than the 100 that waitress accepts by default.
MAX_CONNECTIONS = 2_000
LOOP_TIMEOUT_S = 1.0
DRAIN_CHECK_INTERVAL_S = 0.005

JSON_TYPE = ("Content-Type", "application/json")


class StandInRequest(NamedTuple):
    """Represent one HTTP request; ``header`` ignores the case of the name."""

    method: str
    path: str
    query: dict[str, str]
    header: Callable[[str], str | None]
    body: bytes
    client_disconnected: Callable[[], bool]


class StandInResponse(NamedTuple):
    """Represent one HTTP response.

    A ``declared_length_bytes`` above the length of the body truncates the response.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = (JSON_TYPE,)
    declared_length_bytes: int | None = None


RequestHandler = Callable[[StandInRequest], StandInResponse]


class AbortConnection(Exception):
    """Raised by a handler to close the connection without a response."""


class _ServerState:
    """Hold the state that a server shares with its channels and handlers."""

    def __init__(self) -> None:
        self.frozen = False
        self.unfrozen = threading.Event()
        self.unfrozen.set()
        self.stopping = False
        self.closed = False
        self.running_handlers = 0
        self.lock = threading.Lock()

    def add_running_handlers(self, delta: int) -> None:
        with self.lock:
            self.running_handlers += delta


class _Channel(waitress.channel.HTTPChannel):
    """Leave the socket untouched while the server is frozen or once silenced."""

    silenced = False

    def readable(self) -> bool:
        if self.silenced or self.server.shared_state.frozen:
            return False
        return super().readable()

    def writable(self) -> bool:
        if self.silenced or self.server.shared_state.frozen:
            return False
        return super().writable()

    def write_soon(self, data: Any) -> int:
        # waitress calls this in handler threads, which write to the socket directly.
        self.server.shared_state.unfrozen.wait()
        if self.silenced:
            return len(data)
        return super().write_soon(data)


class _Server(waitress.server.TcpWSGIServer):
    """Accept connections unless frozen or stopping."""

    channel_class = _Channel
    shared_state: _ServerState

    def readable(self) -> bool:
        if self.shared_state.frozen or self.shared_state.stopping:
            return False
        return super().readable()

    def pull_trigger(self) -> None:
        # After the close, another file may use the descriptor of the trigger pipe.
        with self.shared_state.lock:
            if not self.shared_state.closed:
                super().pull_trigger()


class HttpServer:
    """Run a handler in a bounded thread pool behind one listening socket."""

    def __init__(
        self, handler: RequestHandler, host: str, port: int, thread_count: int
    ):
        """Initialize for an IP address and a port (0 for any free port)."""
        self._handler = handler
        self._host = host
        self._port = port
        self._thread_count = thread_count
        self._server: _Server | None = None
        self._loop_thread: threading.Thread | None = None
        self._reserved_socket: socket.socket | None = None

    @property
    def url(self) -> str:
        """Return the base URL; the port is known after the first start."""
        return f"http://{self._host}:{self._port}"

    def start(self) -> None:
        """Listen and serve unless started; raise OSError if the port is in use."""
        if self._server is not None:
            return
        # waitress warns of queued requests, which are expected under load and are
        # reported in the responses.
        logging.getLogger("waitress.queue").setLevel(logging.ERROR)
        if self._reserved_socket is None:
            self._reserved_socket = _reserve_port(self._host, self._port)
            self._port = self._reserved_socket.getsockname()[1]
        server = self._create_server()
        self._server = server
        self._loop_thread = threading.Thread(
            target=_run_loop, args=(server,), name="stand-in-loop", daemon=True
        )
        self._loop_thread.start()

    def close(self, grace_ms: float = 0.0) -> None:
        """Stop listening, wait ``grace_ms`` for running requests, abort the rest."""
        self.stop(grace_ms)
        if self._reserved_socket:
            self._reserved_socket.close()
            self._reserved_socket = None

    def stop(self, grace_ms: float = 0.0) -> None:
        """Stop as `close` does, but keep the port reserved for another start."""
        server, self._server = self._server, None
        if server is None or self._loop_thread is None:
            return
        server.shared_state.stopping = True
        server.pull_trigger()
        grace_ends_at_s = time.monotonic() + grace_ms / 1000
        while _has_pending_work(server) and time.monotonic() < grace_ends_at_s:
            time.sleep(DRAIN_CHECK_INTERVAL_S)
        server.task_dispatcher.set_thread_count(0)
        server.stopped = True
        server.shared_state.unfrozen.set()
        server.pull_trigger()
        self._loop_thread.join()

    def freeze(self, frozen: bool) -> None:
        """Leave all sockets untouched, as a suspended process does, or resume."""
        if self._server:
            shared_state = self._server.shared_state
            shared_state.frozen = frozen
            shared_state.unfrozen.clear() if frozen else shared_state.unfrozen.set()
            self._server.pull_trigger()

    def silence_connections(self) -> int:
        """Stop all reads and writes on the open connections; return their number."""
        if self._server is None:
            return 0
        channels = list(self._server.active_channels.values())
        for channel in channels:
            channel.silenced = True
        return len(channels)

    def _create_server(self) -> _Server:
        shared_state = _ServerState()
        server = _Server(
            _wsgi_application(self._handler, shared_state),
            map={},
            host=self._host,
            port=self._port,
            threads=self._thread_count,
            connection_limit=MAX_CONNECTIONS,
            # Lets a handler detect that its client has disconnected.
            channel_request_lookahead=1,
            max_request_body_size=MAX_BODY_BYTES,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
        )
        server.shared_state = shared_state
        server.stopped = False
        return server


def _reserve_port(host: str, port: int) -> socket.socket:
    # This socket is bound but does not listen: connections are refused while the
    # server is stopped, and the kernel assigns the port to no other process.
    reserved_socket = socket.socket()
    try:
        reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved_socket.bind((host, port))
    except OSError:
        reserved_socket.close()
        raise
    return reserved_socket


def _has_pending_work(server: _Server) -> bool:
    channels = list(server.active_channels.values())
    return server.shared_state.running_handlers > 0 or any(
        channel.requests or channel.total_outbufs_len for channel in channels
    )


def _run_loop(server: _Server) -> None:
    while not server.stopped:
        waitress.wasyncore.loop(
            timeout=LOOP_TIMEOUT_S, use_poll=True, map=server._map, count=1
        )
    for channel in list(server.active_channels.values()):
        # Handlers that still run must see that their connection is closed.
        channel.connected = False
    with server.shared_state.lock:
        server.shared_state.closed = True
        waitress.wasyncore.close_all(server._map, ignore_all=True)


def _wsgi_application(
    handler: RequestHandler, shared_state: _ServerState
) -> Callable[..., Any]:
    def application(environ: dict[str, Any], start_response: Any) -> list[bytes]:
        shared_state.add_running_handlers(1)
        try:
            response = handler(_read_request(environ))
        except AbortConnection as error:
            # waitress closes the connection on this exception.
            raise waitress.channel.ClientDisconnected from error
        finally:
            shared_state.add_running_handlers(-1)
        length = response.declared_length_bytes or len(response.body)
        headers = [*response.headers, ("Content-Length", str(length))]
        start_response(_status_line(response.status), headers)
        return [response.body]

    return application


def _read_request(environ: dict[str, Any]) -> StandInRequest:
    query_pairs = urllib.parse.parse_qsl(
        environ["QUERY_STRING"], keep_blank_values=True
    )

    def header(name: str) -> str | None:
        environ_key = name.upper().replace("-", "_")
        return environ.get(f"HTTP_{environ_key}", environ.get(environ_key))

    return StandInRequest(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(query_pairs),
        header,
        environ["wsgi.input"].read(),
        environ["waitress.client_disconnected"],
    )


def _status_line(status: int) -> str:
    return f"{status} {http.HTTPStatus(status).phrase}"
