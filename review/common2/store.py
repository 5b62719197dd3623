"""Stand-in of the platform's store: keyed topics and groups, as PROTOCOL tells."""

import asyncio
import base64
import json
import struct
import urllib.parse

from . import http1

LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
PARTS = 8
PAGE_ROWS = 500


class Store(http1.Server):
    """Hold records in memory and serve the calls that an entry VM makes."""

    def __init__(self):
        super().__init__()
        self.records = {}
        self.groups = {}
        self.changed = asyncio.Event()
        self.calls = 0
        self.era = 0
        self.away = False

    def put(self, topic, key, value):
        """Append a keyed record as the operator or an instance does."""
        content = bytes([len(key)]) + key.encode() + value
        self.records.setdefault(topic, []).append(content)
        self._notify()

    def copy(self):
        """Return a copy of all records."""
        return {topic: list(records) for topic, records in self.records.items()}

    def restore(self, copy):
        """Come back from a copy, in the next era; groups know no member."""
        self.records = {topic: list(records) for topic, records in copy.items()}
        self.groups.clear()
        self.era += 1
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, writer):
        """Carry out one call."""
        self.calls += 1
        url = urllib.parse.urlsplit(request.start.split()[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.rpartition("/")[2].replace("-", "_")
        method = getattr(self, f"_{name}", None)
        if method is None:
            return http1.encode("HTTP/1.1 404 Not Found", [])
        if self.away:
            return http1.encode("HTTP/1.1 503 Service Unavailable", [])
        era = self.era
        status, body = await method(query, request.body)
        if self.era != era:
            # The store that had this call is gone.
            http1.reset(writer)
            return None
        headers = [("Store-Era", str(self.era))]
        if isinstance(body, bytes):
            return http1.encode(f"HTTP/1.1 {status} X", headers, body)
        data = json.dumps(body).encode()
        headers.append(("Content-Type", "application/json"))
        return http1.encode(f"HTTP/1.1 {status} X", headers, data)

    async def _log_append(self, query, body):
        records = self.records.setdefault(query["topic"], [])
        if "at" in query and int(query["at"]) != len(records):
            return 412, {"end": len(records)}
        await asyncio.sleep(0.004)
        if "at" in query and int(query["at"]) != len(records):
            return 412, {"end": len(records)}
        offset, position = len(records), 0
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            records.append(body[position : position + length])
            position += length
        self._notify()
        return 200, {"offset": offset, "end": len(records)}

    async def _log_read(self, query, body):
        records = self.records.setdefault(query["topic"], [])
        start = int(query["from"])
        if start > len(records):
            return 410, {"first": 0}
        if start == len(records) and "wait_ms" in query:
            loop = asyncio.get_running_loop()
            until = loop.time() + int(query["wait_ms"]) / 1000.0
            while len(records) <= start and loop.time() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - loop.time())
                except TimeoutError:
                    break
        data = OFFSETS.pack(len(records), 0)
        for content in records[start:]:
            data += LENGTH.pack(len(content)) + content
        return 200, data

    async def _log_newest(self, query, body):
        records = self.records.get(query["topic"], [])
        newest = {}
        for offset, content in enumerate(records):
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
        rows = [newest[key] for key in sorted(newest) if key > after]
        page = rows[:PAGE_ROWS]
        more = len(rows) > len(page)
        return 200, {"items": page, "more": more, "end": len(records)}

    async def _log_join(self, query, body):
        document = json.loads(body)
        now = asyncio.get_running_loop().time()
        group = self.groups.setdefault(
            document["group"], {"generation": 1, "members": {}, "owners": {}}
        )
        members = group["members"]
        for member in [m for m, expiry in members.items() if expiry <= now]:
            del members[member]
        members[document["member"]] = now + document["ttl_s_time"]
        owners = {}
        names = sorted(members)
        kept = {p: m for p, m in group["owners"].items() if m in members}
        for part in range(PARTS):
            owners[part] = kept.get(part, names[part % len(names)])
        share = -(-PARTS // len(names))
        counts = dict.fromkeys(names, 0)
        for part in range(PARTS):
            if counts[owners[part]] >= share:
                owners[part] = min(names, key=counts.__getitem__)
            counts[owners[part]] += 1
        if owners != group["owners"]:
            group["owners"] = owners
            group["generation"] += 1
        topic = document["topics"][0]
        parts = [[topic, p, 0] for p, m in owners.items() if m == document["member"]]
        return 200, {"generation": group["generation"], "parts": parts}

    async def _log_leave(self, query, body):
        document = json.loads(body)
        group = self.groups.get(document["group"])
        if group is not None:
            group["members"].pop(document["member"], None)
        return 200, {}
