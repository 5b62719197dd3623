"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
import contextlib
import socket
import struct


class Message:
    """Hold the first line, the headers and the body of a message."""

    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name):
        """Return the first value of a header, or an empty string."""
        for key, value in self.headers:
            if key == name:
                return value
        return ""


async def read_head(reader):
    """Return the head of a message, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return Message(start, headers)


async def read_request(reader):
    """Return a whole request with a length, or None at the end."""
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.header("content-length") or 0)
    if length:
        try:
            message.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return message


def encode(start, headers, body=b"", length=True):
    """Return the bytes of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


class Server:
    """Serve requests one after the other on each connection.

    A subclass defines ``handle(request, writer)``, which returns the bytes of a
    response, or None if it has taken care of the connection itself.
    """

    def __init__(self):
        self.port = 0
        self.host = "127.0.0.1"
        self.writers = set()
        self._server = None

    async def start(self, host="127.0.0.1", port=0):
        """Listen on a loopback address."""
        self.host = host
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=2**20, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                data = await self.handle(request, writer)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        """Return the bytes of a response."""
        raise NotImplementedError
