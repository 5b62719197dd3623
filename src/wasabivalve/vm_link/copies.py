"""Hand copies of a large document from VM to VM inside a region.

The load that this answers: a desired state of several hundred KB must reach every VM
of a region over the narrow link to the store. A few VMs of the region read it there,
and the others take a compressed copy from them.
"""

import asyncio
import zlib
from collections.abc import Callable, Iterable

import msgspec

from wasabivalve import events
from wasabivalve.gateway import internal_http, messages, upstream_connection
from wasabivalve.keyed_log import core as keyed_log

from . import core

COPIES_PATH = "/copies/"

SOURCE_WAIT_S = 0.7
"""Time for which a source waits for a document that it does not have yet.

It reads it from the store meanwhile: 300 KB take 80 ms on a link of 30 Mbit/s.
"""

FETCH_TIMEOUT_S = 1.0
"""Time for all attempts to get a copy; then the store is asked.

A desired state must be in force within 2.5 s, and the store needs up to 1 s of that.
"""

CONNECT_TIMEOUT_S = 0.2
"""Time for a connection inside a region, where a round trip takes 3 ms."""

MAX_SOURCES_ASKED = 2
"""Sources that a VM asks for one copy; more would use up the time for the store."""


class DocumentCopies:
    """Hold the newest record of a document, give it and get it."""

    def __init__(self, sources: Callable[[], Iterable[core.SocketAddress]]) -> None:
        self._sources = sources
        self._newest: keyed_log.Record | None = None
        self._packed: bytes | None = None
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for VMs that ask for copies."""
        self._server = await internal_http.serve(host, port, self._handle)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, record: keyed_log.Record) -> None:
        """Take the newest record, for those who ask."""
        self._newest, self._packed = record, None
        self._changed.set()
        self._changed = asyncio.Event()

    async def fetch_listing(self, offset: int) -> keyed_log.Listing | None:
        """Return the newest record that another VM has from this offset on, or None."""
        batch = await self.fetch_batch(offset)
        return (
            None
            if batch is None
            else keyed_log.Listing(batch.records, batch.end_offset)
        )

    async def fetch_batch(self, offset: int) -> keyed_log.Batch | None:
        """Return a record from this offset on as another VM has it, or None."""
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                for address in list(self._sources())[:MAX_SOURCES_ASKED]:
                    record = await self._ask(address, offset)
                    if record is not None:
                        return keyed_log.Batch([record], record.offset + 1)
        except TimeoutError:
            events.emit(104, reason="no copy in time", offset=offset)
        return None

    async def _ask(
        self, address: core.SocketAddress, offset: int
    ) -> keyed_log.Record | None:
        host, port = address
        connection = await upstream_connection.connect(host, port, CONNECT_TIMEOUT_S)
        if isinstance(connection, upstream_connection.NotSent):
            events.emit(104, reason=connection.reason, source=host, offset=offset)
            return None
        target = f"{COPIES_PATH}{offset}".encode()
        headers = [(b"host", f"{host}:{port}".encode())]
        try:
            outcome = await connection.exchange(
                messages.encode_request(b"GET", target, headers, b"", False)
            )
        finally:
            connection.abort()
        if not isinstance(outcome, messages.HttpResponse) or outcome.status != 200:
            reason = getattr(outcome, "reason", b"")
            events.emit(104, reason=reason, source=host, offset=offset)
            return None
        record = _unpack(outcome.body)
        if record is None or record.offset < offset:
            events.emit(104, reason="unreadable copy", source=host, offset=offset)
            return None
        return record

    async def _handle(self, request: messages.HttpRequest) -> messages.HttpResponse:
        prefix, _, text = request.path.rpartition("/")
        if f"{prefix}/" != COPIES_PATH or not text.isdigit():
            return messages.local_response(404, "there is nothing here")
        offset = int(text)
        try:
            async with asyncio.timeout(SOURCE_WAIT_S):
                while self._newest is None or self._newest.offset < offset:
                    await self._changed.wait()
        except TimeoutError:
            return messages.local_response(
                503, "no copy from this offset on is here yet"
            )
        if self._packed is None:
            self._packed = _pack(self._newest)
        return messages.HttpResponse(200, b"OK", [], self._packed)


def _pack(record: keyed_log.Record) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(record))


def _unpack(data: bytes) -> keyed_log.Record | None:
    try:
        return msgspec.msgpack.decode(zlib.decompress(data), type=keyed_log.Record)
    except (zlib.error, msgspec.DecodeError):
        return None
