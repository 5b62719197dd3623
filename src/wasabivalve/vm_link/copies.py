"""Distribute copies of documents between the VMs of a region.

A document is what a topic holds: the newest record of each of its few keys. A desired
state of several hundred KB must
reach every VM of a region although the link to the store is slow, and each call to the
store is billed. A few VMs of the region read it from the store, and the others fetch a
compressed copy from them.
"""

import asyncio
import math
import zlib
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from wasabivalve import events, untrusted_data
from wasabivalve.gateway import (
    internal_http,
    messages,
    receiving,
    upstream_connection,
)
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.keyed_log import store_era

from . import core

COPIES_PATH = "/copies/"

SOURCE_WAIT_S = 0.7
"""Time for which a source waits for a document that it does not have yet.

The source meanwhile reads it from the store: 300 KB take 80 ms at 30 Mbit/s.
"""

FETCH_TIMEOUT_S = 1.0
"""Timeout for all attempts to fetch a copy, after which the store is read.

A desired state must be in force within 2.5 s, and the store needs up to 1 s of that.
"""

CONNECT_TIMEOUT_S = 0.2
"""Timeout for connecting within a region, where a round trip takes 3 ms."""

RETRY_DELAY_S = 3.0
"""Time for which a listing after a gap is read from the store if no source had a copy.

They are cut off from the store or as late as this VM, and asking them takes a second.
"""

MAX_OFFSET = 2**64 - 1

MAX_SOURCES_ASKED = 2
"""Sources asked for one copy; more would use up the time left for the store."""


class DocumentCopy(NamedTuple):
    """Hold the newest record of each key of a topic that ends at an offset.

    Offsets are those of the store's ``era``.
    """

    records: list[keyed_log.Record]
    end_offset: int
    era: int = store_era.NO_ERA


class _Document:
    """Hold what this VM knows of a document, and who waits for more."""

    def __init__(self) -> None:
        self.copy: DocumentCopy | None = None
        self.compressed: bytes | None = None
        # The newest record of each key that has taken effect.
        self.accepted_by_key: dict[str, keyed_log.Record] = {}
        self.changed = asyncio.Event()

    def put(self, copy: DocumentCopy) -> None:
        """Replace the copy by a newer one."""
        if self.copy is not None and (copy.era, copy.end_offset) < (
            self.copy.era,
            self.copy.end_offset,
        ):
            return
        self.copy, self.compressed = copy, None
        self.changed.set()
        self.changed = asyncio.Event()


class DocumentCopies:
    """Hold the newest records of some topics, serve and fetch copies of them.

    ``known_end`` returns the offset up to which this VM knows a topic. If messages
    brought it there without the record, no copy will come.
    """

    def __init__(
        self,
        topics: Iterable[str],
        sources: Callable[[], Iterable[core.SocketAddress]],
        known_end: Callable[[str], int] = lambda topic: 0,
        era: store_era.StoreEra | None = None,
    ) -> None:
        self._era = era or store_era.StoreEra()
        self._sources = sources
        self._known_end = known_end
        self._document_by_topic = {topic: _Document() for topic in topics}
        self._avoided_until_by_topic: dict[str, float] = {}
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for requests for copies; raise OSError if the address is in use."""
        self._server = await internal_http.serve(host, port, self._handle)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, topic: str, record: keyed_log.Record) -> None:
        """Store the newest record of a key and wake the requests that wait for it.

        A record without a value removes its key.
        """
        document = self._document_by_topic[topic]
        document.accepted_by_key[record.key] = record
        known = document.copy
        if known is None or known.era < self._era.newest:
            known = DocumentCopy([], 0)
        if record.offset < known.end_offset:
            return
        records = [other for other in known.records if other.key != record.key]
        if record.value:
            records.append(record)
        document.put(DocumentCopy(records, record.offset + 1, self._era.newest))

    def retain(self, topic: str, key: str) -> None:
        """Offer the newest accepted record of a key in place of an older one.

        A restored store may list a document that has been replaced already.
        """
        document = self._document_by_topic[topic]
        copy, accepted = document.copy, document.accepted_by_key.get(key)
        if copy is None or accepted is None:
            return
        values = [record.value for record in copy.records if record.key == key]
        if values != [accepted.value]:
            others = [record for record in copy.records if record.key != key]
            kept = accepted._replace(offset=copy.end_offset - 1)
            document.put(copy._replace(records=[*others, kept]))

    def put_listing(self, topic: str, listing: keyed_log.Listing) -> None:
        """Store what a topic holds, which may be nothing yet."""
        self._document_by_topic[topic].put(
            DocumentCopy(list(listing.records), listing.end_offset, self._era.newest)
        )

    async def fetch_listing(self, topic: str, offset: int) -> keyed_log.Listing | None:
        """Return another VM's copy as a listing, or None.

        A copy of a topic that ends before ``offset`` is not accepted. Sources that just
        had none are not asked again for a missed record.
        """
        now = asyncio.get_running_loop().time()
        if offset > 0 and now < self._avoided_until_by_topic.get(topic, -math.inf):
            return None
        copy = await self._fetch(topic, offset)
        if copy is None:
            return None
        return keyed_log.Listing(list(copy.records), copy.end_offset)

    async def fetch_batch(
        self, topic: str, offset: int, known_keys: Iterable[str] = ()
    ) -> keyed_log.Batch | None:
        """Return another VM's newest records from an offset on as a batch, or None.

        ``known_keys`` that the other VM lacks were removed; the batch says so.
        """
        copy = await self._fetch(topic, offset + 1)
        if copy is None:
            return None
        present = {record.key for record in copy.records}
        records = [record for record in copy.records if record.offset >= offset]
        records.sort(key=lambda record: record.offset)
        records += [
            keyed_log.Record(copy.end_offset - 1, key, None)
            for key in known_keys
            if key not in present
        ]
        if not records:
            return None
        return keyed_log.Batch(records, records[-1].offset + 1)

    async def _fetch(self, topic: str, min_end_offset: int) -> DocumentCopy | None:
        addresses = list(self._sources())[:MAX_SOURCES_ASKED]
        if not addresses:
            return None
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                for address in addresses:
                    copy = await self._fetch_from(address, topic, min_end_offset)
                    if copy is not None:
                        return copy
        except TimeoutError:
            events.emit(
                104,
                reason="no copy received within the timeout",
                topic=topic,
                offset=min_end_offset,
            )
        now = asyncio.get_running_loop().time()
        self._avoided_until_by_topic[topic] = now + RETRY_DELAY_S
        return None

    async def _fetch_from(
        self, address: core.SocketAddress, topic: str, min_end_offset: int
    ) -> DocumentCopy | None:
        host, port = address
        log_fields = {"source": host, "topic": topic, "offset": min_end_offset}
        connection = await upstream_connection.connect(
            host, port, CONNECT_TIMEOUT_S, receiving.INTERNAL_LIMITS
        )
        if isinstance(connection, upstream_connection.NotSent):
            events.emit(104, reason=connection.reason, **log_fields)
            return None
        era = self._era.newest
        target = f"{COPIES_PATH}{topic}/{min_end_offset}".encode()
        if era != store_era.NO_ERA:
            target += b"/%d" % era
        headers = [(b"host", f"{host}:{port}".encode())]
        try:
            outcome = await connection.exchange(
                messages.encode_request(b"GET", target, headers, b"", False)
            )
        finally:
            connection.abort()
        if not isinstance(outcome, messages.HttpResponse) or outcome.status != 200:
            reason = getattr(outcome, "reason", b"")
            events.emit(104, reason=reason, **log_fields)
            return None
        copy = _decode_copy(outcome.body)
        if (
            copy is None
            or not self._era.observe(copy.era, host)
            or copy.era != era
            or copy.end_offset < min_end_offset
        ):
            events.emit(104, reason="invalid or outdated copy", **log_fields)
            return None
        return copy

    async def _handle(self, request: messages.HttpRequest) -> messages.HttpResponse:
        topic, *texts = request.path.removeprefix(COPIES_PATH).split("/")
        document = self._document_by_topic.get(topic)
        if len(texts) == 1:
            texts.append(str(store_era.NO_ERA))
        min_end_offset, min_era = (
            [untrusted_data.decode_digits(text, MAX_OFFSET) for text in texts]
            if len(texts) == 2
            else (None, None)
        )
        if (
            document is None
            or not request.path.startswith(COPIES_PATH)
            or min_end_offset is None
            or min_era is None
        ):
            return messages.local_response(404, "there is nothing here")
        try:
            async with asyncio.timeout(SOURCE_WAIT_S):
                while document.copy is None or (
                    (document.copy.era, document.copy.end_offset)
                    < (min_era, min_end_offset)
                ):
                    if self._era.newest == min_era and self._known_end(topic) >= max(
                        1, min_end_offset
                    ):
                        return messages.local_response(
                            503, "the topic is known here, but not its record"
                        )
                    await document.changed.wait()
        except TimeoutError:
            return messages.local_response(
                503, "no copy from this offset on is here yet"
            )
        if document.compressed is None:
            document.compressed = _encode_copy(document.copy)
        return messages.HttpResponse(200, b"OK", [], document.compressed)


def _encode_copy(copy: DocumentCopy) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(copy))


def _decode_copy(data: bytes) -> DocumentCopy | None:
    try:
        decoder = zlib.decompressobj()
        content = decoder.decompress(data, receiving.INTERNAL_LIMITS.body_bytes)
        copy: DocumentCopy = untrusted_data.decode_msgpack(content, DocumentCopy)
    except (zlib.error, untrusted_data.UndecodableError):
        return None
    return copy
