"""Test what the client believes of a faulty server, over loopback connections."""

import contextlib
import http.client
import socket
import threading
import time

import pytest

from wasabivalve import outcomes
from wasabivalve.entry import response_limits, upstream_client

DONE = (
    b"HTTP/1.1 200 OK\r\nWasabivalve-Request-Id: @id\r\nContent-Length: 4\r\n\r\ndone"
)
NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\nWasabivalve-Request-Id: @id\r\nWasabivalve-Run: no\r\n"
    b"Content-Length: 0\r\n\r\n"
)
NOT_RUN_WITHOUT_ID = NOT_RUN.replace(b"Wasabivalve-Request-Id: @id\r\n", b"")
ENDLESS = b"endless "
CUT = b"@cut"


class ScriptedServer:
    """Respond to each request with the next raw response of a script."""

    def __init__(self, script):
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.connections = 0
        self._thread = threading.Thread(target=self._accept, daemon=True)

    def start(self):
        """Accept connections."""
        self._thread.start()

    def close(self):
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        with (
            connection,
            connection.makefile("rb") as stream,
            contextlib.suppress(OSError),
        ):
            while stream.readline():
                headers = http.client.parse_headers(stream)
                stream.read(int(headers["content-length"]))
                request_id = headers["wasabivalve-request-id"].encode()
                response = self._script.pop(0).replace(b"@id", request_id)
                if response.startswith(ENDLESS):
                    while True:
                        connection.sendall(response.removeprefix(ENDLESS))
                        time.sleep(0.001)
                connection.sendall(response.removesuffix(CUT))
                if response.endswith(CUT):
                    return


@pytest.fixture
def send():
    """Return a function that plays a script and returns the result of each request."""
    with contextlib.ExitStack() as stack:

        def play(script, count, max_body_bytes=1_000_000):
            server = ScriptedServer(list(script))
            server.start()
            stack.callback(server.close)
            client = upstream_client.UpstreamClient(2, max_body_bytes, 10_000_000)
            stack.callback(client.close)
            address = upstream_client.UpstreamAddress("127.0.0.1", server.port)
            return [
                client.send(
                    upstream_client.UpstreamRequest(
                        address, "POST", "/", (), b"a", f"r{index}", "", 1_000.0
                    )
                ).outcome
                for index in range(count)
            ], server

        yield play


def test_refusal_without_id_proves_nothing(send):
    """A copy of an earlier refusal said that a running request had not run."""
    (outcome,), _ = send([NOT_RUN_WITHOUT_ID], 1)
    assert isinstance(outcome, outcomes.Unknown)


def test_copy_of_a_refusal_reaches_no_later_request(send):
    """The copy was taken for the answer of the next request on the connection."""
    (first, second), server = send([NOT_RUN + NOT_RUN_WITHOUT_ID, DONE], 2)
    assert isinstance(first, outcomes.NotRun) and isinstance(second, outcomes.Done)
    assert server.connections == 2


def test_answer_to_another_request_shifts_no_later_one(send):
    """Each later request on the connection got the answer of the one before it."""
    (first, second), _ = send([DONE.replace(b"@id", b"other") + DONE, DONE], 2)
    assert isinstance(first, outcomes.Unknown) and isinstance(second, outcomes.Done)


@pytest.mark.parametrize(
    "endless",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"x-field: value\r\n" * 200,
        b"HTTP/1.1 200 OK\r\nx-field: " + b"v" * 70_000,
        b"HTTP/1.1 200 OK\r\n\r\n" + b"b" * 100_000,
    ],
)
def test_answer_without_end_is_given_up(send, endless):
    """A faulty server held a thread of the request path for good."""
    started_at = time.monotonic()
    (outcome,), _ = send([ENDLESS + endless], 1)
    assert isinstance(outcome, outcomes.Unknown)
    assert time.monotonic() - started_at < 3.0


@pytest.mark.parametrize(
    "endless",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n",
        b"H",
        b"HTTP/1.1 200 OK\r\n\r\n",
    ],
)
def test_slow_answer_without_end_is_given_up_in_time(send, endless):
    """Each byte restarted the time limit, so the request never ended."""
    started_at = time.monotonic()
    (outcome,), _ = send([ENDLESS + endless], 1)
    assert isinstance(outcome, outcomes.Unknown)
    assert time.monotonic() - started_at < 3.0


@pytest.mark.parametrize("complete", [DONE, NOT_RUN])
def test_answer_that_ends_in_its_head_is_unknown(send, complete):
    """A head without its end was read as one, with an empty body that looked whole."""
    head = complete.partition(b"\r\n\r\n")[0]
    cuts = [head, head + b"\r\n", head.rpartition(b"\r\n")[0], head[:-1], head[:40]]
    for cut in cuts:
        (outcome,), _ = send([cut + CUT], 1)
        assert isinstance(outcome, outcomes.Unknown), cut


def test_answer_that_its_connection_ends_is_whole(send):
    """A server that states no length ends its answer with the connection."""
    head = DONE.replace(b"Content-Length: 4\r\n", b"")
    (outcome,), _ = send([head + CUT], 1)
    assert isinstance(outcome, outcomes.Done) and outcome.body == b"done"


def test_answer_that_is_too_large_leaves_the_account_of_bytes_even(send):
    """Bytes that were taken off but never added weakened the limit of all answers."""
    memories = []
    original = response_limits.ResponseMemory.__init__

    def remember(self, limit_bytes):
        original(self, limit_bytes)
        memories.append(self)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(response_limits.ResponseMemory, "__init__", remember)
        send([ENDLESS + b"HTTP/1.1 200 OK\r\n\r\n" + b"b" * 100_000], 1)
    assert [memory.total_bytes for memory in memories] == [0]


@pytest.mark.parametrize("status", [b"000", b"099", b"103", b"600", b"700", b"999"])
def test_invalid_status_is_no_answer(send, status):
    """A status that is none was passed on to the caller."""
    invalid = DONE.replace(b"200 OK", status + b" None")
    (first, second), server = send([invalid, DONE], 2)
    assert isinstance(first, outcomes.Unknown) and isinstance(second, outcomes.Done)
    assert server.connections == 2
