"""Test that the log client reports a definite outcome only when it is proved."""

import contextlib
import socket
import threading

import pytest

from wasabivalve import platform_log


@contextlib.contextmanager
def serve(*replies):
    """Answer consecutive connections with raw bytes and close each; None stalls."""
    listener = socket.create_server(("127.0.0.1", 0))

    def run():
        for reply in replies:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                if reply is None:
                    done.wait(10)
                else:
                    connection.sendall(reply)

    done = threading.Event()
    thread = threading.Thread(target=run)
    thread.start()
    host, port = listener.getsockname()
    client = platform_log.LogClient(f"http://{host}:{port}", timeout_ms=300.0)
    try:
        yield client
    finally:
        client.close()
        done.set()
        thread.join()
        listener.close()


def reply(status, body, length=None):
    size = len(body) if length is None else length
    return f"HTTP/1.1 {status} X\r\nContent-Length: {size}\r\n\r\n{body}".encode()


@pytest.mark.parametrize(
    ("raw_reply", "expected"),
    [
        (reply(200, '{"first_offset": 7}'), platform_log.Appended),
        (reply(503, "down"), platform_log.LogUnavailable),
        (reply(400, "bad"), platform_log.LogUnavailable),
        (reply(500, "crash"), platform_log.AppendUnknown),
        (reply(302, ""), platform_log.AppendUnknown),
        (reply(200, '{"first_offset": 7}', 50), platform_log.AppendUnknown),
        (reply(200, '{"first_offset": -1}'), platform_log.AppendUnknown),
        (reply(200, "[]"), platform_log.AppendUnknown),
        (b"", platform_log.AppendUnknown),
        (b"garbage\r\n\r\n", platform_log.AppendUnknown),
        (None, platform_log.AppendUnknown),
    ],
)
def test_append_outcome(raw_reply, expected):
    """Guards against reporting "not appended" without a refusal by the service."""
    with serve(raw_reply) as client:
        assert isinstance(client.append("control", [{}]), expected)


def test_refused_connection_and_closed_client_prove_no_append():
    """Without a connection no byte was sent, so the append certainly failed."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    client = platform_log.LogClient(f"http://127.0.0.1:{port}")
    assert isinstance(client.append("control", []), platform_log.LogUnavailable)
    client.close()
    assert isinstance(client.append("control", []), platform_log.LogUnavailable)


def read_reply_body(offsets, next_offset, oldest_offset=0):
    records = ",".join(f'{{"offset": {n}, "record": {{}}}}' for n in offsets)
    return (
        f'{{"records": [{records}], "next_offset": {next_offset},'
        f' "oldest_offset": {oldest_offset}}}'
    )


@pytest.mark.parametrize(
    ("raw_reply", "expected"),
    [
        (reply(200, read_reply_body([3, 4], 5)), platform_log.ReadBatch),
        (reply(200, read_reply_body([3, 5], 6)), platform_log.LogUnavailable),
        (reply(200, read_reply_body([4, 5], 6)), platform_log.LogUnavailable),
        (reply(200, read_reply_body([], 4)), platform_log.LogUnavailable),
        (reply(200, read_reply_body([3], 4), 500), platform_log.LogUnavailable),
        (reply(410, '{"oldest_offset": 9}'), platform_log.Gap),
        (reply(410, '{"oldest_offset": 2}'), platform_log.LogUnavailable),
        (reply(410, ""), platform_log.LogUnavailable),
        (reply(200, "[" * 100_000), platform_log.LogUnavailable),
        (None, platform_log.LogUnavailable),
    ],
)
def test_read_outcome(raw_reply, expected):
    """Guards against accepting a reply that skips or repeats records."""
    with serve(raw_reply) as client:
        assert isinstance(client.read("control", 3), expected)
