"""Serve a handler over waitress, with faults at the level of connections."""

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
# waitress accepts 100 connections by default, fewer than one upstream has.
MAX_CONNECTIONS = 2_000
LOOP_TIMEOUT_S = 1.0
DRAIN_STEP_S = 0.005

JSON_TYPE = ("Content-Type", "application/json")


class StandInRequest(NamedTuple):
    """Carry one request; header names are looked up in any case."""

    method: str
    path: str
    query: dict[str, str]
    header: Callable[[str], str | None]
    body: bytes
    client_disconnected: Callable[[], bool]


class StandInResponse(NamedTuple):
    """Carry one response; a longer declared length makes the body cut off."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = (JSON_TYPE,)
    declared_length_bytes: int | None = None


RequestHandler = Callable[[StandInRequest], StandInResponse]


class AbortConnection(Exception):
    """Close the connection without a response."""


class _Controls:
    """Hold the faults of a server's connections."""

    def __init__(self) -> None:
        self.frozen = False
        self.thawed = threading.Event()
        self.thawed.set()
        self.stopping = False
        self.closed = False
        self.running = 0
        self.lock = threading.Lock()

    def add_running(self, change: int) -> None:
        with self.lock:
            self.running += change


class _Channel(waitress.channel.HTTPChannel):
    """Leave the socket untouched while the server is frozen or it is silent."""

    silent = False

    def readable(self) -> bool:
        if self.silent or self.server.controls.frozen:
            return False
        return super().readable()

    def writable(self) -> bool:
        if self.silent or self.server.controls.frozen:
            return False
        return super().writable()

    def write_soon(self, data: Any) -> int:
        # Handler threads write to the socket themselves.
        self.server.controls.thawed.wait()
        if self.silent:
            return len(data)
        return super().write_soon(data)


class _Server(waitress.server.TcpWSGIServer):
    """Accept connections unless the server is frozen or stopping."""

    channel_class = _Channel
    controls: _Controls

    def readable(self) -> bool:
        if self.controls.frozen or self.controls.stopping:
            return False
        return super().readable()

    def pull_trigger(self) -> None:
        # After the close, another file may have the number of the trigger's pipe.
        with self.controls.lock:
            if not self.controls.closed:
                super().pull_trigger()


class HttpServer:
    """Run a handler in a bounded pool of threads behind one listening socket."""

    def __init__(
        self, handler: RequestHandler, host: str, port: int, thread_count: int
    ):
        """Take the handler, an IP address, a port (0 for any) and a thread count."""
        self._handler = handler
        self._host = host
        self._port = port
        self._thread_count = thread_count
        self._server: _Server | None = None
        self._loop: threading.Thread | None = None
        self._reservation: socket.socket | None = None

    @property
    def url(self) -> str:
        """Return the base URL; the port is known after the first start."""
        return f"http://{self._host}:{self._port}"

    def start(self) -> None:
        """Listen and serve unless started; raise OSError when the port is taken."""
        if self._server is not None:
            return
        # Queued requests are expected under load and told by the responses.
        logging.getLogger("waitress.queue").setLevel(logging.ERROR)
        if self._reservation is None:
            self._reservation = _reserve_port(self._host, self._port)
            self._port = self._reservation.getsockname()[1]
        server = self._create_server()
        self._server = server
        self._loop = threading.Thread(
            target=_run_loop, args=(server,), name="stand-in-loop", daemon=True
        )
        self._loop.start()

    def close(self, grace_ms: float = 0.0) -> None:
        """Stop listening, give running requests a time to end, cut the rest."""
        self.stop(grace_ms)
        if self._reservation:
            self._reservation.close()
            self._reservation = None

    def stop(self, grace_ms: float = 0.0) -> None:
        """Do as `close`, but keep the port for another start."""
        server, self._server = self._server, None
        if server is None or self._loop is None:
            return
        server.controls.stopping = True
        server.pull_trigger()
        ends_at = time.monotonic() + grace_ms / 1000
        while _busy(server) and time.monotonic() < ends_at:
            time.sleep(DRAIN_STEP_S)
        server.task_dispatcher.set_thread_count(0)
        server.stopped = True
        server.controls.thawed.set()
        server.pull_trigger()
        self._loop.join()

    def freeze(self, frozen: bool) -> None:
        """Leave all sockets untouched, as a stopped process does, or resume."""
        if self._server:
            controls = self._server.controls
            controls.frozen = frozen
            controls.thawed.clear() if frozen else controls.thawed.set()
            self._server.pull_trigger()

    def silence_connections(self) -> int:
        """Ignore the open connections from now on; return how many there are."""
        if self._server is None:
            return 0
        channels = list(self._server.active_channels.values())
        for channel in channels:
            channel.silent = True
        return len(channels)

    def _create_server(self) -> _Server:
        controls = _Controls()
        server = _Server(
            _wsgi_application(self._handler, controls),
            map={},
            host=self._host,
            port=self._port,
            threads=self._thread_count,
            connection_limit=MAX_CONNECTIONS,
            # Lets a handler notice that its client has left.
            channel_request_lookahead=1,
            max_request_body_size=MAX_BODY_BYTES,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
        )
        server.controls = controls
        server.stopped = False
        return server


def _reserve_port(host: str, port: int) -> socket.socket:
    # A bound socket that does not listen: connections are refused while the
    # server is stopped, and the system gives the port to nobody else.
    reservation = socket.socket()
    try:
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind((host, port))
    except OSError:
        reservation.close()
        raise
    return reservation


def _busy(server: _Server) -> bool:
    channels = list(server.active_channels.values())
    return server.controls.running > 0 or any(
        channel.requests or channel.total_outbufs_len for channel in channels
    )


def _run_loop(server: _Server) -> None:
    while not server.stopped:
        waitress.wasyncore.loop(
            timeout=LOOP_TIMEOUT_S, use_poll=True, map=server._map, count=1
        )
    for channel in list(server.active_channels.values()):
        # Handlers that still run must find their connection closed.
        channel.connected = False
    with server.controls.lock:
        server.controls.closed = True
        waitress.wasyncore.close_all(server._map, ignore_all=True)


def _wsgi_application(
    handler: RequestHandler, controls: _Controls
) -> Callable[..., Any]:
    def application(environ: dict[str, Any], start_response: Any) -> list[bytes]:
        controls.add_running(1)
        try:
            response = handler(_read_request(environ))
        except AbortConnection as error:
            # waitress closes the connection when it meets this exception.
            raise waitress.channel.ClientDisconnected from error
        finally:
            controls.add_running(-1)
        length = response.declared_length_bytes or len(response.body)
        headers = [*response.headers, ("Content-Length", str(length))]
        start_response(_status_line(response.status), headers)
        return [response.body]

    return application


def _read_request(environ: dict[str, Any]) -> StandInRequest:
    pairs = urllib.parse.parse_qsl(environ["QUERY_STRING"], keep_blank_values=True)

    def header(name: str) -> str | None:
        key = name.upper().replace("-", "_")
        return environ.get(f"HTTP_{key}", environ.get(key))

    return StandInRequest(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(pairs),
        header,
        environ["wsgi.input"].read(),
        environ["waitress.client_disconnected"],
    )


def _status_line(status: int) -> str:
    return f"{status} {http.HTTPStatus(status).phrase}"
