"""Test that invalid input of callers gets an error response and stops nothing."""

import contextlib
import json
import socket
import time
from concurrent import futures

import pytest

from wasabivalve import outcomes, settings
from wasabivalve.entry import caller_request, caller_server, lingering
from wasabivalve.gateway import send_queue
from wasabivalve.settings.tests import test_settings

LARGE_BODY = b"x" * 200_000
"""A response that the kernel takes whole while its caller reads the first part."""


@pytest.fixture
def received_requests():
    return []


@pytest.fixture
def server(received_requests):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port = listener.getsockname()[1]
    document = test_settings.DOCUMENT | {
        "callers": {"host": "127.0.0.1", "port": port},
        "limits": {"body_bytes": 1_000, "header_bytes": 2_000, "threads": 2},
    }
    document["limits"]["memory_mb"] = 1

    def serve(request):
        received_requests.append(request)
        body = LARGE_BODY if request.target == "/large" else b"whole"
        return outcomes.Done(200, (("X-Test", "1"),), body)

    server = caller_server.CallerServer(
        settings.merge_defaults(document), serve, {}, lambda: True
    )
    server.start()
    yield server
    server.close()


def exchange(server, request):
    """Send raw bytes and return the status and the body of the response."""
    port = server._settings["callers"]["port"]
    with socket.create_connection(("127.0.0.1", port), 5) as connection:
        connection.sendall(request)
        connection.shutdown(socket.SHUT_WR)
        response = b""
        while chunk := connection.recv(65_536):
            response += chunk
    head, _, body = response.partition(b"\r\n\r\n")
    return int(head.split()[1]) if head else 0, body


def make_request(*lines, body=b""):
    start = ("POST /work HTTP/1.1", "Host: test", "Connection: close")
    return "\r\n".join((*start, *lines, "", "")).encode() + body


SERVICE = "Wasabivalve-Service: vanlog"


def test_a_good_request_is_served(server, received_requests):
    request = make_request(SERVICE, "Content-Length: 2", body=b"ab")
    assert exchange(server, request) == (200, b"whole")
    assert received_requests[0].body == b"ab"


def test_trailer_without_end_closes_the_connection(server, received_requests):
    """Trailers were kept whole, up to the limit of bodies, and searched each time."""
    server._server.adj.max_request_body_size = 100_000
    head = make_request(SERVICE, "Transfer-Encoding: chunked")
    port = server._settings["callers"]["port"]
    with socket.create_connection(("127.0.0.1", port), 5) as connection:
        connection.sendall(head + b"1\r\na\r\n0\r\n" + b"x: " + b"y" * 3_000)
        # The connection stays open at this end; only the server can close it.
        with contextlib.suppress(ConnectionResetError):
            assert connection.recv(1) == b""
    assert not received_requests


def test_head_of_many_fields_is_refused_when_there_is_no_room(
    server, received_requests
):
    """Heads of 16 KB made of short lines took 600 KB each, without any bound."""
    holder = object()
    server.memory.use(lambda account: account.add(holder, 290_000))
    lines = [f"a{number}:" for number in range(100)]
    status, _ = exchange(server, make_request(SERVICE, *lines))
    assert status == 503 and not received_requests
    assert exchange(server, make_request(SERVICE))[0] == 200
    server.memory.use(lambda account: account.release(holder))
    assert exchange(server, make_request(SERVICE, *lines))[0] == 200
    assert server.memory.total_bytes == 0


def test_draining_server_responds_and_closes_the_connection(server):
    """A keep-alive connection gets a complete response and is then closed."""
    port = server._settings["callers"]["port"]
    lines = ("GET /work HTTP/1.1", "Host: test", SERVICE, "", "")
    assert server.drain(1_000.0)
    with socket.create_connection(("127.0.0.1", port), 5) as connection:
        connection.sendall("\r\n".join(lines).encode())
        response = b""
        while chunk := connection.recv(65_536):
            response += chunk
    head, _, body = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close" in head.lower()
    assert body == b"whole"


class SlowCaller:
    """Send requests and read about 400 KB/s of the responses."""

    def __init__(self, server, *connection_tokens):
        port = server._settings["callers"]["port"]
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.socket.settimeout(5)
        self.socket.connect(("127.0.0.1", port))
        for token in connection_tokens:
            self.send(token)

    def send(self, token):
        """Send a request whose response is large."""
        lines = ("GET /large HTTP/1.1", "Host: test", SERVICE, f"Connection: {token}")
        self.socket.sendall("\r\n".join((*lines, "", "")).encode())

    def read_body(self):
        """Return the body of the first response as far as it comes."""
        received = b""
        with self.socket:
            while len(received.partition(b"\r\n\r\n")[2]) < len(LARGE_BODY):
                data = self.socket.recv(4_096)
                if not data:
                    break
                received += data
                time.sleep(0.01)
        return received.partition(b"\r\n\r\n")[2]


def test_request_behind_a_closing_response_does_not_cut_it(server, monkeypatch):
    """Closing under an unread request reset what the kernel still had to send."""
    monkeypatch.setattr(lingering, "LINGER_MS", 50.0)
    caller = SlowCaller(server, "close")
    time.sleep(1.5)
    caller.send("close")
    assert caller.read_body() == LARGE_BODY


def test_drain_waits_until_a_response_is_received(server):
    """The drain ended once the kernel had the response; the process ended then."""
    caller = SlowCaller(server, "keep-alive")
    caller.socket.recv(1, socket.MSG_PEEK)
    with futures.ThreadPoolExecutor() as executor:
        reading = executor.submit(caller.read_body)
        assert server.drain(5_000.0)
        channels = list(server._server.active_channels.values())
        unsent = [send_queue.unacknowledged_bytes(item.socket) for item in channels]
        assert reading.result() == LARGE_BODY and not any(unsent)


def test_caller_that_reads_nothing_does_not_hold_a_drain(server):
    """A drain has a limit, whatever its callers do."""
    caller = SlowCaller(server, "keep-alive")
    started_at = time.monotonic()
    assert not server.drain(500.0)
    assert time.monotonic() < started_at + 2.0
    caller.socket.close()


@pytest.mark.parametrize(
    ("lines", "body", "status"),
    [
        ((), b"", 400),
        ((SERVICE, SERVICE), b"", 400),
        ((SERVICE, "Wasabivalve-Deadline-Ms: soon"), b"", 400),
        ((SERVICE, "Wasabivalve-Deadline-Ms: 0"), b"", 400),
        ((SERVICE, "Wasabivalve-Key: " + "k" * 300), b"", 400),
        ((SERVICE, "Content-Length: 5000"), b"x" * 5_000, 413),
        ((SERVICE, "X-Long: " + "x" * 4_000), b"", 431),
        ((SERVICE, "Content-Length: 2", "Content-Length: 3"), b"abc", 400),
        ((SERVICE, "Content-Length: -1"), b"", 400),
    ],
)
def test_bad_requests_are_refused(server, received_requests, lines, body, status):
    """Conflicting framing could smuggle a request into that of another caller."""
    assert exchange(server, make_request(*lines, body=body))[0] == status
    assert not received_requests
    assert exchange(server, make_request(SERVICE))[0] == 200


def test_framing_by_length_and_chunks_at_once_is_not_run_twice(
    server, received_requests
):
    """The bytes after the chunks must not become a second request."""
    smuggled = make_request(SERVICE, "X-Smuggled: 1")
    body = b"0\r\n\r\n" + smuggled
    lines = (SERVICE, f"Content-Length: {len(body)}", "Transfer-Encoding: chunked")
    exchange(server, make_request(*lines, body=body))
    assert not any(
        dict(request.headers).get("X-Smuggled") for request in received_requests
    )


def test_truncated_body_is_not_run(server, received_requests):
    """A request whose body is incomplete must not reach an upstream."""
    exchange(server, make_request(SERVICE, "Content-Length: 10", body=b"abc"))
    assert not received_requests


def test_all_findings_are_returned_at_once():
    environ = {
        "REQUEST_METHOD": "GET",
        caller_request.DEADLINE_HEADER: "x",
        caller_request.KEY_HEADER: "a,b",
    }
    findings = caller_request.parse(environ, 1_000.0)
    assert [finding.path for finding in findings] == [
        "Wasabivalve-Service",
        "Wasabivalve-Key",
        "Wasabivalve-Deadline-Ms",
    ]


def test_problem_document_states_that_the_request_was_not_run():
    written = []
    body = caller_request.write_problem(
        caller_request.problem_of_outcome(outcomes.NotRun("no slot", 2_000.0)),
        lambda status, headers: written.append((status, dict(headers))),
    )
    assert json.loads(body[0])["type"] == "urn:wasabivalve:not-run"
    assert written[0][1]["Retry-After"] == "2"
