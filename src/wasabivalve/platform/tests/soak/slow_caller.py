"""Read answers as over a long and narrow link."""

import asyncio
import enum
import socket

READ_TIMEOUT_S = 8.0
RECEIVE_BUFFER_BYTES = 2_048
SEGMENT_BYTES = 1_400


class AnswerEnd(enum.Enum):
    """Say how an answer ended: whole with a length, or cut; or that none began."""

    WHOLE = enum.auto()
    CUT = enum.auto()
    NONE = enum.auto()


async def connect(port):
    """Return a socket that receives as over a long and narrow link."""
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", port))
    except OSError:
        connection.close()
        raise
    return connection


class SlowCaller:
    """Send one request after the other over a connection."""

    def __init__(self, port, bytes_per_s):
        self._port = port
        self._bytes_per_s = bytes_per_s
        self._loop = asyncio.get_running_loop()
        self._received = b""

    async def start(self):
        """Return whether the connection was opened."""
        try:
            self._socket = await connect(self._port)
        except OSError:
            return False
        return True

    def close(self):
        """Close the connection."""
        self._socket.close()

    async def request(self, path, request_id):
        """Return how the answer to a request ended."""
        data = (
            f"GET {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n"
            "Deadline-Ms: 4000\r\n\r\n"
        )
        self._received = b""
        try:
            await self._loop.sock_sendall(self._socket, data.encode())
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._read()
        except TimeoutError:
            return AnswerEnd.NONE
        except OSError:
            return AnswerEnd.CUT if self._received else AnswerEnd.NONE

    async def _read(self):
        while True:
            head, separator, body = self._received.partition(b"\r\n\r\n")
            _, has_length, rest = head.lower().partition(b"content-length: ")
            if separator and has_length and len(body) >= int(rest.split(b"\r\n")[0]):
                return AnswerEnd.WHOLE
            data = await self._loop.sock_recv(self._socket, 4_096)
            if not data:
                return AnswerEnd.CUT if self._received else AnswerEnd.NONE
            self._received += data
            await asyncio.sleep(len(data) / self._bytes_per_s)
