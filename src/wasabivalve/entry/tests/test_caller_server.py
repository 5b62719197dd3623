"""Guard the front against bad input: each gets a clear answer and nothing stops."""

import json
import socket

import pytest

from wasabivalve import outcomes, settings
from wasabivalve.entry import caller_request, caller_server
from wasabivalve.settings.tests import test_settings


@pytest.fixture
def seen():
    return []


@pytest.fixture
def front(seen):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port = listener.getsockname()[1]
    document = test_settings.DOCUMENT | {
        "callers": {"host": "127.0.0.1", "port": port},
        "limits": {"body_bytes": 1_000, "header_bytes": 2_000, "threads": 2},
    }

    def serve(request):
        seen.append(request)
        return outcomes.Done(200, (("X-Test", "1"),), b"whole")

    front = caller_server.CallerServer(
        settings.merge_defaults(document), serve, {}, lambda: True
    )
    front.start()
    yield front
    front.close()


def exchange(front, request):
    """Send raw bytes and return the status and the body of the answer."""
    port = front._settings["callers"]["port"]
    with socket.create_connection(("127.0.0.1", port), 5) as connection:
        connection.sendall(request)
        connection.shutdown(socket.SHUT_WR)
        answer = b""
        while part := connection.recv(65_536):
            answer += part
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]) if head else 0, body


def make_request(*lines, body=b""):
    start = ("POST /work HTTP/1.1", "Host: test", "Connection: close")
    return "\r\n".join((*start, *lines, "", "")).encode() + body


SERVICE = "Wasabivalve-Service: vanlog"


def test_a_good_request_is_served(front, seen):
    request = make_request(SERVICE, "Content-Length: 2", body=b"ab")
    assert exchange(front, request) == (200, b"whole")
    assert seen[0].body == b"ab"


def test_draining_front_answers_whole_and_ends_the_connection(front):
    """A kept connection must get its response and then end, not an error."""
    port = front._settings["callers"]["port"]
    lines = ("GET /work HTTP/1.1", "Host: test", SERVICE, "", "")
    assert front.drain(1_000.0)
    with socket.create_connection(("127.0.0.1", port), 5) as connection:
        connection.sendall("\r\n".join(lines).encode())
        answer = b""
        while part := connection.recv(65_536):
            answer += part
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close" in head.lower()
    assert body == b"whole"


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
def test_bad_requests_are_refused(front, seen, lines, body, status):
    """Conflicting framing would let one caller smuggle a request into another's."""
    assert exchange(front, make_request(*lines, body=body))[0] == status
    assert not seen
    assert exchange(front, make_request(SERVICE))[0] == 200


def test_framing_by_length_and_chunks_at_once_is_not_run_twice(front, seen):
    """The bytes after the chunks must not become a second request."""
    smuggled = make_request(SERVICE, "X-Smuggled: 1")
    body = b"0\r\n\r\n" + smuggled
    lines = (SERVICE, f"Content-Length: {len(body)}", "Transfer-Encoding: chunked")
    exchange(front, make_request(*lines, body=body))
    assert not any(dict(request.headers).get("X-Smuggled") for request in seen)


def test_truncated_body_is_not_run(front, seen):
    """A caller that is cut off while sending must not start work."""
    exchange(front, make_request(SERVICE, "Content-Length: 10", body=b"abc"))
    assert not seen


def test_findings_come_together():
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


def test_problem_names_what_is_proved():
    written = []
    body = caller_request.write_problem(
        caller_request.problem_of_outcome(outcomes.NotRun("no slot", 2_000.0)),
        lambda status, headers: written.append((status, dict(headers))),
    )
    assert json.loads(body[0])["type"] == "urn:wasabivalve:not-run"
    assert written[0][1]["Retry-After"] == "2"
