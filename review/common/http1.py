"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """Hold the start line, the headers in lower case and the body of a message."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with the length of its body."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def encode_response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Return the bytes of a response."""
    return encode(f"HTTP/1.1 {status} X", headers or {}, body)
