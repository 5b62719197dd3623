"""Stand in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import struct
import time
import urllib.parse
from typing import Any

from . import http1

RECORD_LENGTH = struct.Struct(">I")
BATCH_OFFSETS = struct.Struct(">QQ")
PAGE_ROWS = 500
PARTITIONS = 8
MAX_WAIT_MS = 30_000


class _Group:
    """Hold the members of a group and which of them holds each partition."""

    def __init__(self) -> None:
        self.generation = 0
        self.expiry_by_member: dict[str, float] = {}
        self.seen_by_member: dict[str, int] = {}
        self.holder_by_part: dict[int, str] = {}

    def join(self, member: str, ttl_s: float, seen: int) -> list[int]:
        """Renew a membership and return the partitions of the member."""
        now = time.monotonic()
        self.expire(now)
        if member not in self.expiry_by_member:
            self.generation += 1
        self.expiry_by_member[member] = now + ttl_s
        self.seen_by_member[member] = seen
        members = sorted(self.expiry_by_member)
        parts = []
        for part in range(PARTITIONS):
            target = members[part % len(members)]
            holder = self.holder_by_part.get(part)
            is_given_up = (
                holder not in self.expiry_by_member
                or self.seen_by_member[holder] >= self.generation
            )
            if holder != target and is_given_up:
                self.holder_by_part[part] = target
            if target == member and self.holder_by_part[part] == member:
                parts.append(part)
        return parts

    def leave(self, member: str) -> None:
        """End a membership."""
        if self.expiry_by_member.pop(member, None) is not None:
            self.generation += 1

    def expire(self, now: float) -> None:
        """End the memberships whose time is over."""
        for member, expiry in list(self.expiry_by_member.items()):
            if expiry <= now:
                self.leave(member)


class Store:
    """Hold topics and groups; lose nothing and answer at once."""

    def __init__(self) -> None:
        self.port = 0
        self._records_by_topic: dict[str, list[bytes]] = {}
        self._groups: dict[str, _Group] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, topic: str, key: str, value: dict[str, Any] | None) -> None:
        """Append a keyed record; None removes the key."""
        content = b"" if value is None else json.dumps(value).encode()
        self._append(topic, [bytes([len(key)]) + key.encode() + content])

    def _append(self, topic: str, records: list[bytes]) -> None:
        self._records_by_topic.setdefault(topic, []).extend(records)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await http1.read_message(reader)) is not None:
                url = urllib.parse.urlsplit(message.start.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                writer.write(await self._answer(url.path, query, message.body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict[str, str], body: bytes) -> bytes:
        name = path.removeprefix("/api/log-")
        if name == "append":
            return self._answer_append(query, body)
        if name == "read":
            return await self._answer_read(query)
        if name == "newest":
            return self._answer_newest(query)
        document = json.loads(body) if body else {}
        group = self._groups.setdefault(document.get("group", ""), _Group())
        if name == "join":
            parts = group.join(
                document["member"], document["ttl_s_time"], document["generation"]
            )
            rows = [[document["topics"][0], part, 0] for part in parts]
            return _json({"generation": group.generation, "parts": rows})
        if name == "leave":
            group.leave(document["member"])
            return _json({})
        return http1.encode_response(404)

    def _answer_append(self, query: dict[str, str], body: bytes) -> bytes:
        records = self._records_by_topic.setdefault(query["topic"], [])
        if "at" in query and int(query["at"]) != len(records):
            return _json({"end": len(records)}, 412)
        offset, position, added = len(records), 0, []
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            added.append(body[position : position + length])
            position += length
        self._append(query["topic"], added)
        return _json({"offset": offset, "end": len(records)})

    async def _answer_read(self, query: dict[str, str]) -> bytes:
        start = int(query["from"])
        wait_s = min(MAX_WAIT_MS, int(query.get("wait_ms", "0"))) / 1000.0
        ends_at = time.monotonic() + wait_s
        records = self._records_by_topic.setdefault(query["topic"], [])
        while start >= len(records) and time.monotonic() < ends_at:
            try:
                left_s = ends_at - time.monotonic()
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        data = BATCH_OFFSETS.pack(len(records), 0)
        for content in records[start:]:
            data += RECORD_LENGTH.pack(len(content)) + content
        return http1.encode_response(200, {}, data)

    def _answer_newest(self, query: dict[str, str]) -> bytes:
        records = self._records_by_topic.get(query["topic"], [])
        newest: dict[str, dict[str, Any]] = {}
        for offset, content in enumerate(records):
            key = content[1 : 1 + content[0]].decode()
            value = content[1 + content[0] :]
            newest.pop(key, None)
            if value:
                encoded = base64.b64encode(value).decode()
                newest[key] = {"key": key, "value": encoded, "offset": offset}
        after = query.get("after", "")
        rows = [newest[key] for key in sorted(newest) if key > after]
        page = rows[:PAGE_ROWS]
        more = len(rows) > len(page)
        return _json({"items": page, "more": more, "end": len(records)})


def _json(document: dict[str, Any], status: int = 200) -> bytes:
    headers = {"Content-Type": "application/json"}
    return http1.encode_response(status, headers, json.dumps(document).encode())
