"""Stand in for an instance of the platform, as PROTOCOL.md describes it."""

import asyncio
import json
import time
from typing import Any

from . import http1, ranges, record, store

KEY_COUNT = 65_536
BEAT_INTERVAL_S = 0.87
SLOTS = 2


class Instance:
    """Serve requests, hold keys and register in the store.

    ``holds_until`` and ``highest_fence`` are kept for each key; ``run_keys`` holds when
    a request began and its key.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        run_record: record.Record,
        metadata_store: store.Store,
        sharded: bool = False,
    ) -> None:
        self.name = name
        self.service = service
        self.sharded = sharded
        self.state = "ready"
        self.port = 0
        self.born = int(1000.0 * time.time())
        self.runs: list[str] = []
        self.run_keys: list[tuple[float, int]] = []
        self.holds_until = ranges.RangeMap()
        self.highest_fence = ranges.RangeMap()
        self.work_s = 0.01
        self._zone = zone
        self._record = run_record
        self._store = metadata_store
        self._host = ""
        self._sequence = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._working = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int = 0) -> None:
        """Listen and register."""
        self._host = host
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat())

    def close(self) -> None:
        """End at once: stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        if self._beats is not None:
            self._beats.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    def register(self) -> None:
        """Write the entry of this instance."""
        self._sequence += 1
        self._store.put(
            "keyed.servers",
            self.name,
            {
                "service": self.service,
                "address": f"{self._host}:{self.port}",
                "zone": self._zone,
                "version": "v1",
                "slots": SLOTS,
                "state": self.state,
                "warmup_left_s": 0,
                "sequence": self._sequence,
                "born": self.born,
            },
        )

    def held_count(self) -> int:
        """Return how many keys this instance holds now."""
        now = time.monotonic()
        return sum(
            span.last + 1 - span.first
            for span in self.holds_until.spans
            if span.value > now
        )

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(BEAT_INTERVAL_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await http1.read_message(reader)) is not None:
                answer = await self.answer(message, writer)
                if answer is None:
                    continue
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self, message: http1.Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Return the bytes of an answer, or None for none."""
        method, target = message.start.split(" ")[:2]
        if message.headers.get("expected-instance", self.name) != self.name:
            return http1.encode_response(421, {"Instance-Id": self.name})
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return http1.encode_response(status, {"Instance-Id": self.name})
        if method == "POST" and target == "/api/grant":
            return self.answer_grant(json.loads(message.body), time.monotonic())
        if method == "POST" and target == "/api/release":
            return await self.answer_release(json.loads(message.body))
        return await self._run(message, target)

    def answer_grant(self, grant: dict[str, Any], arrived_at: float) -> bytes:
        """Apply a grant; its time runs from its arrival."""
        first, last, fence = grant["from"], grant["target"], grant["fence"]
        text = f"keys {first}-{last} fence {fence}"
        if self.highest_fence.highest(first, last, -1) > fence:
            self._record.add(f"{self.name} refuses a grant of {text}")
            return http1.encode_response(409)
        self.highest_fence.put(first, last, fence)
        self.holds_until.put(first, last, arrived_at + grant["hold_s"])
        self._record.add(f"{self.name} takes a grant of {text}")
        return http1.encode_response(200)

    async def answer_release(self, release: dict[str, Any]) -> bytes:
        """Give keys up; answer when the work on them has ended."""
        first, last, fence = release["from"], release["target"], release["fence"]
        self.holds_until.put(first, last, 0.0)
        highest = self.highest_fence.highest(first, last, -1)
        self.highest_fence.put(first, last, max(highest, fence))
        self._record.add(f"{self.name} releases keys {first}-{last} fence {fence}")
        while self._working:
            await asyncio.sleep(0.005)
        return http1.encode_response(200, {"Handover": "5c0e7a21d94b36f8"})

    async def _run(self, message: http1.Message, target: str) -> bytes:
        request_id = message.headers.get("request-id")
        if request_id is None:
            return http1.encode_response(400, {"Not-Executed": "1"})
        echo = {"Request-Id": request_id}
        if self.sharded:
            key = int(message.headers.get("shard-key", "0"))
            if self.holds_until.get(key, 0.0) <= time.monotonic():
                return http1.encode_response(421, {**echo, "Not-Executed": "1"})
        async with self._slots:
            self._working += 1
            try:
                self.runs.append(request_id)
                self.run_keys.append(
                    (time.monotonic(), int(message.headers.get("shard-key", "-1")))
                )
                self._record.add(f"{self.name} runs {request_id} {target}")
                await asyncio.sleep(self.work_s)
            finally:
                self._working -= 1
        headers = {**echo, "Response-Signature": f"{self.name}.{request_id}"}
        return http1.encode_response(200, headers, self.render_body(target))

    def render_body(self, target: str) -> bytes:
        """Return the body of the answer to a request."""
        return b"done\n"
