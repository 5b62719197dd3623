"""Call the platform's metadata store."""

import asyncio
import base64
import binascii
import dataclasses
import struct
import urllib.parse
from typing import Any

import msgspec

from wasabivalve.gateway import messages, upstream_connection
from wasabivalve.key_leases import leases
from wasabivalve.keyed_log import core as keyed_log

from . import settings

CONNECT_TIMEOUT_S = 0.5
"""Time for a new connection; a round trip between regions takes 40 ms."""

CALL_TIMEOUT_S = 1.2
"""Time without a byte of an answer; a call from the other region took up to 108 ms,
and a slow store takes up to 60 times its 4 ms."""

TRANSFER_TIMEOUT_S = 8.0
"""Time for all of an answer, of which parts arrive.

Thirty VMs that start at once may read 12 MB through 30 Mbit/s; each that gave up and
began anew would make it longer for all.
"""

MOST_IDLE_CONNECTIONS = 4
"""As many as there are topics to follow."""

IDLE_TRUST_S = 3.0
"""A connection that was idle for longer is replaced; it may have gone silent."""

LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")

APPEND_TIMEOUT_S = 0.6
"""Time for an append; a store that is slowed 60 times answers within 0.3 s."""

REFUSING_STATUSES = frozenset({409, 413, 429, 503, 507})
"""Answers to an append that state that nothing was done."""


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """Hold the generation of a group and the partitions that belong to the member."""

    generation: int
    parts: frozenset[int]


class Store:
    """Hold connections to the store and count calls."""

    def __init__(self, address: settings.Address) -> None:
        self._address = address
        self._idle: list[upstream_connection.UpstreamConnection] = []
        self.calls = 0
        self.calls_by_name: dict[str, int] = {}

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def newest(self, topic: str) -> keyed_log.Listing | keyed_log.Unavailable:
        """Return the newest record of each key of a topic."""
        records: list[keyed_log.Record] = []
        end: int | None = None
        query: dict[str, Any] = {"topic": topic, "part": 0}
        while True:
            answer = await self._call("GET", "log-newest", query)
            if not isinstance(answer, messages.HttpResponse):
                return answer
            if answer.status != 200:
                return _refused(answer)
            try:
                page = msgspec.json.decode(answer.body)
                rows = [_decode_row(row) for row in page["items"]]
                page_end = int(page["end"])
                more = bool(page["more"])
            except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
                return keyed_log.Unavailable(f"unreadable page: {error!r}")
            records += rows
            # Pages are no snapshot: reading on from the first end misses nothing.
            end = page_end if end is None else min(end, page_end)
            if not more or not rows:
                return keyed_log.Listing(records, end)
            query["after"] = rows[-1].key

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> keyed_log.Batch | keyed_log.Trimmed | keyed_log.Unavailable:
        """Return the keyed records of a topic from an offset on."""
        query: dict[str, Any] = {"topic": topic, "part": 0, "from": offset}
        if wait_s > 0.0:
            query["wait_ms"] = int(wait_s * 1000.0)
        answer = await self._call("GET", "log-read", query, wait_s=wait_s)
        if not isinstance(answer, messages.HttpResponse):
            return answer
        if answer.status == 410:
            return keyed_log.Trimmed(_field(answer, "first"))
        if answer.status != 200:
            return _refused(answer)
        return _decode_batch(answer.body, offset)

    async def append(
        self, topic: str, key: str, value: bytes | None, at: int | None = None
    ) -> leases.AppendResult:
        """Append a keyed record, if ``at`` is given only at this end of the topic.

        ``unknown`` means that it may be done now or seconds later.
        """
        content = bytes([len(key.encode())]) + key.encode() + (value or b"")
        body = LENGTH.pack(len(content)) + content
        query: dict[str, Any] = {"topic": topic, "part": 0}
        if at is not None:
            query["at"] = at
        answer = await self._call(
            "POST", "log-append", query, body, timeout_s=APPEND_TIMEOUT_S
        )
        if not isinstance(answer, messages.HttpResponse):
            return "unknown" if answer.sent else "refused"
        if answer.status == 200:
            return "done"
        if answer.status == 412:
            return "moved"
        return "refused" if answer.status in REFUSING_STATUSES else "unknown"

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> Joined | keyed_log.Unavailable:
        """Keep a member in a group and return what belongs to it."""
        body = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl_s_time": ttl_s,
            "generation": generation,
        }
        answer = await self._call(
            "POST", "log-join", {}, msgspec.json.encode(body), json=True
        )
        if not isinstance(answer, messages.HttpResponse):
            return answer
        if answer.status != 200:
            return _refused(answer)
        try:
            document = msgspec.json.decode(answer.body)
            parts = frozenset(int(row[1]) for row in document["parts"])
            return Joined(int(document["generation"]), parts)
        except (msgspec.DecodeError, LookupError, TypeError, ValueError) as error:
            return keyed_log.Unavailable(f"unreadable answer: {error!r}")

    async def leave(self, group: str, member: str) -> bool:
        """Take a member out of a group; return whether the store has done it."""
        body = msgspec.json.encode({"group": group, "member": member})
        answer = await self._call("POST", "log-leave", {}, body, json=True)
        return isinstance(answer, messages.HttpResponse) and answer.status == 200

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, Any],
        body: bytes = b"",
        json: bool = False,
        wait_s: float = 0.0,
        timeout_s: float | None = None,
    ) -> messages.HttpResponse | keyed_log.Unavailable:
        limit_s = (CALL_TIMEOUT_S if timeout_s is None else timeout_s) + wait_s
        self.calls += 1
        self.calls_by_name[name] = self.calls_by_name.get(name, 0) + 1
        target = f"/api/{name}"
        if query:
            target += "?" + urllib.parse.urlencode(query)
        host = f"{self._address.host}:{self._address.port}".encode()
        headers = [(b"host", host)]
        if json:
            headers.append((b"content-type", b"application/json"))
        data = messages.encode_request(
            method.encode(), target.encode(), headers, body, False
        )
        connection = await self._connect()
        if isinstance(connection, upstream_connection.NotSent):
            return keyed_log.Unavailable(connection.reason, sent=False)
        kept = False
        try:
            outcome = await _finish_exchange(connection, data, limit_s)
            if isinstance(outcome, upstream_connection.ExchangeFailed):
                return keyed_log.Unavailable(outcome.reason)
            kept = connection.usable
            return outcome
        except TimeoutError:
            return keyed_log.Unavailable("no answer in time")
        finally:
            if kept and len(self._idle) < MOST_IDLE_CONNECTIONS:
                connection.end_exchange(asyncio.get_running_loop().time())
                self._idle.append(connection)
            else:
                connection.abort()

    async def _connect(
        self,
    ) -> upstream_connection.UpstreamConnection | upstream_connection.NotSent:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and now - connection.idle_since < IDLE_TRUST_S:
                return connection
            connection.abort()
        return await upstream_connection.connect(
            self._address.host, self._address.port, CONNECT_TIMEOUT_S
        )


async def _finish_exchange(
    connection: upstream_connection.UpstreamConnection, data: bytes, quiet_s: float
) -> upstream_connection.ExchangeResult:
    """Return the outcome; raise ``TimeoutError`` when no byte came for a time."""
    loop = asyncio.get_running_loop()
    exchange = connection.exchange(data)
    ends_at = loop.time() + max(quiet_s, TRANSFER_TIMEOUT_S)
    quiet_until = loop.time() + quiet_s
    while not exchange.done():
        left = min(quiet_until, ends_at) - loop.time()
        if left <= 0.0:
            raise TimeoutError
        await asyncio.wait([exchange], timeout=left)
        if connection.received_at is not None:
            quiet_until = connection.received_at + CALL_TIMEOUT_S
    return exchange.result()


def _refused(answer: messages.HttpResponse) -> keyed_log.Unavailable:
    return keyed_log.Unavailable(f"status {answer.status}")


def _field(answer: messages.HttpResponse, name: str) -> int:
    try:
        return int(msgspec.json.decode(answer.body)[name])
    except (msgspec.DecodeError, LookupError, TypeError, ValueError):
        # The field is for the log only; the follower lists the topic anew.
        return -1


def _decode_row(row: Any) -> keyed_log.Record:
    try:
        value = base64.b64decode(row["value"], validate=True)
    except binascii.Error as error:
        raise ValueError(f"value of {row['key']!r} is not base64") from error
    return keyed_log.Record(int(row["offset"]), str(row["key"]), value)


def _decode_batch(body: bytes, offset: int) -> keyed_log.Batch | keyed_log.Unavailable:
    if len(body) < OFFSETS.size:
        return keyed_log.Unavailable("the answer is too short")
    end, first = OFFSETS.unpack_from(body)
    position = OFFSETS.size
    records = []
    number = max(offset, first)
    while position + LENGTH.size <= len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            return keyed_log.Unavailable("the answer is cut off")
        position += length
        record = _decode_record(number, content)
        if record is not None:
            records.append(record)
        number += 1
    return keyed_log.Batch(records, end)


def _decode_record(number: int, content: bytes) -> keyed_log.Record | None:
    """Return a keyed record, or None for bytes that hold no key."""
    if not content or len(content) < 1 + content[0]:
        return None
    key = content[1 : 1 + content[0]].decode("utf-8", "replace")
    value = content[1 + content[0] :]
    return keyed_log.Record(number, key, value or None)
