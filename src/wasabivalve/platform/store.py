"""Call the platform's metadata store."""

import asyncio
import base64
import binascii
import dataclasses
import struct
import urllib.parse
from typing import Any

import msgspec

from wasabivalve import untrusted_data
from wasabivalve.gateway import messages, receiving, upstream_connection
from wasabivalve.key_leases import leases
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.keyed_log import store_era

from . import settings

CONNECT_TIMEOUT_S = 0.5
"""Timeout of a new connection; a round trip between regions takes 40 ms."""

CALL_TIMEOUT_S = 1.2
"""Time without a received byte after which a call fails.

A call from the other region took up to 108 ms, and a slow store takes up to 60 times
its usual 4 ms.
"""

TRANSFER_TIMEOUT_S = 8.0
"""Timeout of a whole response while parts of it arrive.

Thirty VMs that start at once may read 12 MB through a link of 30 Mbit/s; each VM that
restarts its transfer makes all transfers take longer.
"""

MAX_IDLE_CONNECTIONS = 4
"""One connection for each topic that an entry VM follows."""

IDLE_TIMEOUT_S = 3.0
"""Idle time after which a connection is replaced, as it may have gone silent."""

RECORD_LENGTH = struct.Struct(">I")
BATCH_OFFSETS = struct.Struct(">QQ")

APPEND_TIMEOUT_S = 0.6
"""Timeout of an append; a store slowed by a factor of 60 responds within 0.3 s."""

ERA_HEADER = b"store-era"
"""Header of the number of times that the store was restored from an older copy."""

MAX_ERA_DIGITS = 9

UNREADABLE_ERRORS = (
    untrusted_data.UndecodableError,
    LookupError,
    TypeError,
    ValueError,
    OverflowError,
)
"""What reading a response raises whose body has another form than expected."""

MAX_REASON_CHARACTERS = 200

REFUSED_APPEND_STATUSES = frozenset({409, 413, 429, 503, 507})
"""Statuses of an append that guarantee that nothing was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupAssignment:
    """Hold the generation of a group and the partitions assigned to a member."""

    generation: int
    partitions: frozenset[int]


class StoreClient:
    """Call the store over pooled connections and count the calls.

    A label of ``call_count_by_label`` is the name of a call and its topic, if any.
    """

    def __init__(
        self, address: settings.HostPort, era: store_era.StoreEra | None = None
    ) -> None:
        self.era = era or store_era.StoreEra()
        self._address = address
        self._idle: list[upstream_connection.UpstreamConnection] = []
        self.call_count = 0
        self.call_count_by_label: dict[str, int] = {}

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def list_newest(
        self, topic: str
    ) -> keyed_log.Listing | keyed_log.Unavailable:
        """Return the newest record of each key of a topic."""
        records: list[keyed_log.Record] = []
        end_offset: int | None = None
        query: dict[str, Any] = {"topic": topic, "part": 0}
        changes = self.era.change_count
        while True:
            response = await self._call("GET", "log-newest", query)
            if not isinstance(response, messages.HttpResponse):
                return response
            if self.era.change_count != changes:
                # Pages of two eras do not belong together.
                changes = self.era.change_count
                if "after" in query:
                    del query["after"]
                    records, end_offset = [], None
                    continue
            if response.status != 200:
                return _unexpected_status(response)
            try:
                page = untrusted_data.decode_json(response.body)
                rows = [_decode_row(row) for row in page["items"]]
                page_end_offset = int(page["end"])
                more = bool(page["more"])
            except UNREADABLE_ERRORS as error:
                reason = untrusted_data.excerpt(error, MAX_REASON_CHARACTERS)
                return keyed_log.Unavailable(f"unreadable log-newest page: {reason}")
            records += rows
            # The pages are not a consistent snapshot: the topic may change between
            # them. Reading on from the smallest end offset misses no change.
            end_offset = (
                page_end_offset
                if end_offset is None
                else min(end_offset, page_end_offset)
            )
            if not more or not rows:
                return keyed_log.Listing(records, end_offset)
            query["after"] = rows[-1].key

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> keyed_log.Batch | keyed_log.Trimmed | keyed_log.Unavailable:
        """Return the keyed records of a topic from an offset on.

        If there are none, the store waits for up to ``wait_s`` until one is appended.
        """
        query: dict[str, Any] = {"topic": topic, "part": 0, "from": offset}
        if wait_s > 0.0:
            query["wait_ms"] = int(wait_s * 1000.0)
        response = await self._call("GET", "log-read", query, wait_s=wait_s)
        if not isinstance(response, messages.HttpResponse):
            return response
        if response.status == 410:
            return keyed_log.Trimmed(_read_integer(response, "first"))
        if response.status != 200:
            return _unexpected_status(response)
        return _decode_batch(response.body, offset)

    async def append(
        self,
        topic: str,
        key: str,
        value: bytes | None,
        expected_end_offset: int | None = None,
        expected_era: int | None = None,
    ) -> leases.AppendResult:
        """Append a keyed record, or remove the key if the value is None.

        If ``expected_end_offset`` is given, the record is appended only if the topic
        ends there; otherwise the result is ``moved``. ``unknown`` means that the record
        may already be written or may be written seconds later. An append that a store
        of another era than ``expected_era`` confirmed is ``moved`` as well: that store
        ended at the same offset by chance.
        """
        content = bytes([len(key.encode())]) + key.encode() + (value or b"")
        body = RECORD_LENGTH.pack(len(content)) + content
        query: dict[str, Any] = {"topic": topic, "part": 0}
        if expected_end_offset is not None:
            query["at"] = expected_end_offset
        response = await self._call(
            "POST", "log-append", query, body, timeout_s=APPEND_TIMEOUT_S
        )
        if not isinstance(response, messages.HttpResponse):
            return "unknown" if response.sent else "refused"
        if response.status == 200:
            if expected_era is not None and self._era_of(response) != expected_era:
                return "moved"
            return "done"
        if response.status == 412:
            return "moved"
        return "refused" if response.status in REFUSED_APPEND_STATUSES else "unknown"

    async def join_group(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> GroupAssignment | keyed_log.Unavailable:
        """Join a group or renew a membership and return the assigned partitions."""
        body = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl_s_time": ttl_s,
            "generation": generation,
        }
        response = await self._call(
            "POST", "log-join", {}, msgspec.json.encode(body), json=True
        )
        if not isinstance(response, messages.HttpResponse):
            return response
        if response.status != 200:
            return _unexpected_status(response)
        try:
            document = untrusted_data.decode_json(response.body)
            partitions = frozenset(int(row[1]) for row in document["parts"])
            return GroupAssignment(int(document["generation"]), partitions)
        except UNREADABLE_ERRORS as error:
            reason = untrusted_data.excerpt(error, MAX_REASON_CHARACTERS)
            return keyed_log.Unavailable(f"unreadable log-join response: {reason}")

    async def leave_group(self, group: str, member: str) -> bool:
        """Remove a member from a group; return whether the store confirmed it."""
        body = msgspec.json.encode({"group": group, "member": member})
        response = await self._call("POST", "log-leave", {}, body, json=True)
        return isinstance(response, messages.HttpResponse) and response.status == 200

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
        silence_timeout_s = (
            CALL_TIMEOUT_S if timeout_s is None else timeout_s
        ) + wait_s
        self.call_count += 1
        label = name.replace("-", "_")
        if "topic" in query:
            label += "_" + query["topic"].rpartition(".")[2]
        self.call_count_by_label[label] = self.call_count_by_label.get(label, 0) + 1
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
        reusable = False
        try:
            result = await _finish_exchange(connection, data, silence_timeout_s)
            if isinstance(result, upstream_connection.ExchangeFailed):
                return keyed_log.Unavailable(result.reason)
            reusable = connection.usable
            if not self.era.observe(self._era_of(result), "store"):
                return keyed_log.Unavailable("answer of an older era of the store")
            return result
        except TimeoutError:
            return keyed_log.Unavailable("no answer in time")
        finally:
            if reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
                connection.end_exchange(asyncio.get_running_loop().time())
                self._idle.append(connection)
            else:
                connection.abort()

    def _era_of(self, response: messages.HttpResponse) -> int:
        """Return the era of an answer; one that names none counts as the newest."""
        value = response.header(ERA_HEADER) or b""
        if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
            return self.era.newest
        self.era.on_named()
        return int(value)

    async def _connect(
        self,
    ) -> upstream_connection.UpstreamConnection | upstream_connection.NotSent:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and now - connection.idle_since < IDLE_TIMEOUT_S:
                return connection
            connection.abort()
        return await upstream_connection.connect(
            self._address.host,
            self._address.port,
            CONNECT_TIMEOUT_S,
            receiving.INTERNAL_LIMITS,
        )


async def _finish_exchange(
    connection: upstream_connection.UpstreamConnection,
    data: bytes,
    silence_timeout_s: float,
) -> upstream_connection.ExchangeResult:
    """Return the result of an exchange.

    Raise ``TimeoutError`` if no byte arrived for ``silence_timeout_s``, after the first
    byte for ``CALL_TIMEOUT_S``, or if the whole response takes too long.
    """
    loop = asyncio.get_running_loop()
    exchange = connection.exchange(data)
    transfer_deadline = loop.time() + max(silence_timeout_s, TRANSFER_TIMEOUT_S)
    silence_deadline = loop.time() + silence_timeout_s
    while not exchange.done():
        remaining_s = min(silence_deadline, transfer_deadline) - loop.time()
        if remaining_s <= 0.0:
            raise TimeoutError
        await asyncio.wait([exchange], timeout=remaining_s)
        if connection.received_at is not None:
            silence_deadline = connection.received_at + CALL_TIMEOUT_S
    return exchange.result()


def _unexpected_status(response: messages.HttpResponse) -> keyed_log.Unavailable:
    return keyed_log.Unavailable(f"store responded with status {response.status}")


def _read_integer(response: messages.HttpResponse, name: str) -> int:
    try:
        return int(untrusted_data.decode_json(response.body)[name])
    except UNREADABLE_ERRORS:
        # The value is only logged; the follower lists the topic again in any case.
        return -1


def _decode_row(row: Any) -> keyed_log.Record:
    key = row["key"]
    if not isinstance(key, str):
        raise TypeError(f"key is {untrusted_data.excerpt(key)}, expected a text")
    try:
        value = base64.b64decode(row["value"], validate=True)
    except binascii.Error as error:
        shown = untrusted_data.excerpt(key)
        raise ValueError(f"value of key {shown} is not valid base64") from error
    return keyed_log.Record(int(row["offset"]), key, value)


def _decode_batch(body: bytes, offset: int) -> keyed_log.Batch | keyed_log.Unavailable:
    if len(body) < BATCH_OFFSETS.size:
        return keyed_log.Unavailable("log-read response is too short for its offsets")
    end_offset, first_offset = BATCH_OFFSETS.unpack_from(body)
    position = BATCH_OFFSETS.size
    records = []
    record_offset = max(offset, first_offset)
    while position + RECORD_LENGTH.size <= len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            return keyed_log.Unavailable("log-read response is truncated in a record")
        position += length
        record = _decode_record(record_offset, content)
        if record is not None:
            records.append(record)
        record_offset += 1
    return keyed_log.Batch(records, end_offset)


def _decode_record(offset: int, content: bytes) -> keyed_log.Record | None:
    """Return a keyed record, or None if the content has no key."""
    if not content or len(content) < 1 + content[0]:
        return None
    key = content[1 : 1 + content[0]].decode("utf-8", "replace")
    value = content[1 + content[0] :]
    return keyed_log.Record(offset, key, value or None)
