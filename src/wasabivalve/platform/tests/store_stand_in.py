"""Provide a stand-in for the platform's metadata store over HTTP on loopback."""

import asyncio
import base64
import struct
import urllib.parse

import msgspec

from wasabivalve.gateway import (
    caller_connection,
    messages,
    receiving,
    response_order,
)

RECORD_LENGTH = struct.Struct(">I")
BATCH_OFFSETS = struct.Struct(">QQ")
PAGE_ROWS = 3
"""Rows of a page of a listing; few, so that tests read several pages."""


def _json_response(status, body=None):
    data = msgspec.json.encode(body) if body is not None else b""
    headers = [(b"content-type", b"application/json")]
    return messages.HttpResponse(status, b"", headers, data)


class StoreStandIn:
    """Serve topics and groups.

    An ``era`` above 0 is named in all responses. While ``refuses_calls`` is set, all
    calls fail with status 503. The next ``responses_to_drop`` calls are carried out
    without a response.
    """

    def __init__(self):
        self.stopping = False
        self.pipelining = response_order.Pipelining()
        self.buffers = receiving.ReceiveBuffers(32 * receiving.MIB)
        self.refuses_calls = False
        self.responses_to_drop = 0
        self.era = 0
        self.records_by_topic = {}
        self.first_offset_by_topic = {}
        self.expiry_by_member_by_group = {}
        self.calls = []
        self._server = None
        self._changed = asyncio.Event()
        self.port = 0

    async def start(self):
        """Listen on a free port of loopback."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: caller_connection.CallerConnection(self), "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening."""
        self._server.close()

    def limits(self):
        """Return limits for the clients of a test."""
        return caller_connection.DEFAULT_LIMITS

    def on_open(self, connection):
        """Do nothing."""

    def on_closed(self, connection):
        """Do nothing."""

    def put(self, topic, key, value):
        """Append a keyed record and return its offset."""
        content = bytes([len(key)]) + key.encode() + (value or b"")
        records = self.records_by_topic.setdefault(topic, [])
        records.append(content)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def trim(self, topic, first_offset):
        """Delete the records before an offset; the newest of each key stays listed."""
        self.first_offset_by_topic[topic] = first_offset

    def copy_end_offsets(self):
        """Return where each topic ends, to restore the store to this state."""
        return {topic: len(records) for topic, records in self.records_by_topic.items()}

    def restore(self, end_by_topic):
        """Restore the store from an older copy, in a new era.

        Groups and their members are lost as well.
        """
        for topic, records in self.records_by_topic.items():
            del records[end_by_topic.get(topic, 0) :]
        self.expiry_by_member_by_group.clear()
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request):
        """Respond to one call."""
        response = await self._handle(request)
        if self.era:
            response.headers.append((b"store-era", b"%d" % self.era))
        return response

    async def _handle(self, request):
        url = urllib.parse.urlsplit(request.target.decode())
        query = dict(urllib.parse.parse_qsl(url.query))
        self.calls.append((url.path, query))
        if self.refuses_calls:
            return _json_response(503)
        name = url.path.rpartition("/")[2].replace("-", "_")
        response = await getattr(self, f"_{name}")(query, request.body)
        if self.responses_to_drop:
            self.responses_to_drop -= 1
            await asyncio.sleep(3600)
        return response

    async def _log_append(self, query, body):
        records = self.records_by_topic.setdefault(query["topic"], [])
        if "at" in query and int(query["at"]) != len(records):
            return _json_response(412, {"end": len(records)})
        offset = len(records)
        position = 0
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            records.append(body[position : position + length])
            position += length
        self._changed.set()
        self._changed = asyncio.Event()
        return _json_response(200, {"offset": offset, "end": len(records)})

    async def _log_read(self, query, body):
        topic, start_offset = query["topic"], int(query["from"])
        first_offset = self.first_offset_by_topic.get(topic, 0)
        ahead = start_offset > len(self.records_by_topic.get(topic, []))
        if start_offset < first_offset or ahead:
            return _json_response(410, {"first": first_offset})
        records = self.records_by_topic.setdefault(topic, [])
        if start_offset >= len(records) and "wait_ms" in query:
            try:
                wait_s = int(query["wait_ms"]) / 1000.0
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except TimeoutError:
                pass
            first_offset = self.first_offset_by_topic.get(topic, 0)
            if start_offset < first_offset or start_offset > len(records):
                return _json_response(410, {"first": first_offset})
        data = BATCH_OFFSETS.pack(len(records), first_offset)
        for content in records[start_offset:]:
            data += RECORD_LENGTH.pack(len(content)) + content
        return messages.HttpResponse(200, b"", [], data)

    async def _log_newest(self, query, body):
        newest = {}
        for offset, content in enumerate(self.records_by_topic.get(query["topic"], [])):
            key = content[1 : 1 + content[0]].decode()
            value = content[1 + content[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
        after = query.get("after", "")
        rows = sorted(
            (row for row in newest.values() if row["key"] > after),
            key=lambda row: row["key"],
        )
        page = rows[:PAGE_ROWS]
        end = len(self.records_by_topic.get(query["topic"], []))
        return _json_response(
            200, {"items": page, "more": len(rows) > len(page), "end": end}
        )

    async def _log_join(self, query, body):
        document = msgspec.json.decode(body)
        now = asyncio.get_running_loop().time()
        expiry_by_member = self.expiry_by_member_by_group.setdefault(
            document["group"], {}
        )
        for expired_member in [
            member
            for member, expires_at in expiry_by_member.items()
            if expires_at <= now
        ]:
            del expiry_by_member[expired_member]
        expiry_by_member[document["member"]] = now + document["ttl_s_time"]
        index = list(expiry_by_member).index(document["member"])
        parts = [
            [document["topics"][0], part, 0]
            for part in range(8)
            if part % len(expiry_by_member) == index
        ]
        return _json_response(
            200, {"generation": len(expiry_by_member), "parts": parts}
        )

    async def _log_leave(self, query, body):
        document = msgspec.json.decode(body)
        self.expiry_by_member_by_group.get(document["group"], {}).pop(
            document["member"], None
        )
        return _json_response(200, {})
