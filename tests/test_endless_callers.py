"""Test that callers that keep to no limits leave the memory of a VM and its callers."""

import asyncio
import contextlib
import os
import pathlib
import socket
import sys
from typing import NamedTuple

import pytest

FOLDER = pathlib.Path(__file__).parent
MEMORY_MB = 120
"""Memory of the VM in these tests; the engines start at 30 to 35 MB."""

MAX_EXTRA_DESCRIPTORS = 40
"""Descriptors beyond those of the crowd: listeners, pipes, connections to instances."""

ATTACK_TIMEOUT_S = 25.0
"""Time for the crowd to send all that the engine takes; a silent engine fails."""

ORDINARY_TIMEOUT_S = 10.0
RECEIVE_BUFFER_BYTES = 4_096
PIECE_BYTES = 65_536
HOST = b"host: h\r\nwasabivalve-service: desk\r\n"
POST = b"POST /unsafe/x HTTP/1.1\r\nrequest-id: r1\r\n" + HOST
CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"
LARGE = b"GET /safe/large HTTP/1.1\r\nrequest-id: r1\r\n" + HOST + b"\r\n"
ORDINARY = b"GET /safe/x HTTP/1.1\r\nrequest-id: r1\r\n" + HOST + b"\r\n"
BODY_BYTES = 8_000_000


class Crowd(NamedTuple):
    """Say what each connection sends.

    With ``awaits`` it takes one byte of its response before the next one sends.
    """

    connections: int
    first: bytes
    piece: bytes = b""
    pieces: int = 0
    awaits: bool = False


CROWD_BY_NAME = {
    "heads of short lines": Crowd(300, POST, b"a:\r\n" * 1_000, 4),
    "trailers": Crowd(4, CHUNKED + b"1\r\nb\r\n0\r\n", b"x:y\r\n" * 12_000, 50),
    "one trailer line": Crowd(
        20, CHUNKED + b"1\r\nb\r\n0\r\nx: ", b"v" * PIECE_BYTES, 120
    ),
    "chunk extension": Crowd(20, CHUNKED + b"1;x=", b"e" * PIECE_BYTES, 120),
    "bodies that stop short": Crowd(
        100,
        POST + b"content-length: %d\r\n\r\n" % BODY_BYTES,
        b"b" * (BODY_BYTES // 125 - 1),
        125,
    ),
    "chunks of one byte": Crowd(20, CHUNKED, b"1\r\nb\r\n" * 10_000, 40),
    "responses that are not read": Crowd(20, LARGE, awaits=True),
}


async def serve_instance(reader, writer):
    """Answer requests like an instance, some with large bodies."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            large = b"/safe/large" in head
            size = BODY_BYTES if large else 4
            writer.write(
                b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nproof: p\r\n"
                b"content-length: %d\r\n\r\n" % size + b"x" * size
            )
            await writer.drain()
    writer.close()


async def misbehave(crowd, port, connections):
    """Send what callers of a crowd send, until it was sent or refused."""
    loop = asyncio.get_running_loop()
    for connection in connections:
        with contextlib.suppress(OSError):
            await loop.sock_connect(connection, ("127.0.0.1", port))
            await loop.sock_sendall(connection, crowd.first)
            for _ in range(crowd.pieces):
                await loop.sock_sendall(connection, crowd.piece)
            if crowd.awaits:
                await loop.sock_recv(connection, 1)


async def send_ordinary(port):
    """Return the status of an ordinary request."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(ORDINARY)
        return int((await reader.readline()).split()[1])
    finally:
        writer.close()


def peak_mb(pid):
    """Return the peak of the resident memory of a process."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024.0
    raise LookupError(pid)


async def run_engine(engine, crowd):
    """Run an engine under a crowd; return peak, descriptors and an ordinary status."""
    instances = await asyncio.start_server(serve_instance, "127.0.0.1", 0)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(FOLDER / "endless_callers.py"),
        engine,
        str(instances.sockets[0].getsockname()[1]),
        str(MEMORY_MB),
        str(BODY_BYTES),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": str(FOLDER.parent / "src")},
    )
    connections = [socket.socket() for _ in range(crowd.connections)]
    try:
        port = int(await process.stdout.readline())
        for connection in connections:
            connection.setblocking(False)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        attacks = [
            asyncio.create_task(misbehave(crowd, port, group))
            for group in ([connections] if crowd.awaits else zip(connections))
        ]
        _, unfinished = await asyncio.wait(attacks, timeout=ATTACK_TIMEOUT_S)
        for attack in unfinished:
            attack.cancel()
        status = await asyncio.wait_for(send_ordinary(port), ORDINARY_TIMEOUT_S)
        descriptors = len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))
        return peak_mb(process.pid), descriptors, status
    finally:
        for connection in connections:
            connection.close()
        if process.returncode is None:
            process.kill()
        await process.wait()
        instances.close()


@pytest.mark.processes
@pytest.mark.parametrize("name", CROWD_BY_NAME)
@pytest.mark.parametrize("engine", ["gateway", "threaded"])
def test_callers_without_limits_leave_memory_and_ordinary_requests(engine, name):
    """A few callers ended the process by its memory, and with it all requests."""
    crowd = CROWD_BY_NAME[name]
    peak, descriptors, status = asyncio.run(run_engine(engine, crowd))
    print(f"{engine}, {name}: peak {peak:.1f} MB, {descriptors} descriptors")
    assert peak < MEMORY_MB
    assert descriptors < crowd.connections + MAX_EXTRA_DESCRIPTORS
    assert status == 200
