"""Stand-in of an instance that holds keys, as PROTOCOL tells."""

import asyncio
import json

from . import http1, instance

KEYS = 65_536


class KeyHolder(instance.Instance):
    """Hold keys by grants and run requests on held keys only."""

    def __init__(self, name, answer, **options):
        super().__init__(name, answer, **options)
        self.fence = [0] * KEYS
        self.held_until = [0.0] * KEYS
        self.orders = []

    def holds(self, key, now):
        """Return whether a key is held."""
        return self.held_until[key] > now

    async def handle(self, request, writer):
        """Take an order, or serve a request on a held key."""
        target = request.start.split()[1]
        if target in ("/api/grant", "/api/release"):
            return self._order(target, request)
        key = request.header("shard-key")
        now = asyncio.get_running_loop().time()
        if key and target != "/health" and not self.holds(int(key), now):
            request_id = request.header("request-id")
            headers = [("Request-Id", request_id), ("Instance-Id", self.name)]
            headers.append(("Not-Executed", "1"))
            return http1.encode("HTTP/1.1 421 Misdirected Request", headers)
        return await super().handle(request, writer)

    def _order(self, target, request):
        if request.header("expected-instance") not in ("", self.name):
            headers = [("Instance-Id", self.name)]
            return http1.encode("HTTP/1.1 421 Misdirected Request", headers)
        order = json.loads(request.body)
        first, last, fence = order["from"], order["target"], order["fence"]
        now = asyncio.get_running_loop().time()
        if target == "/api/release":
            self.orders.append((now, "release", first, last, fence, 200))
            self.held_until[first : last + 1] = [0.0] * (last + 1 - first)
            return http1.encode("HTTP/1.1 200 OK", [("Handover", f"h{fence}")])
        if max(self.fence[first : last + 1]) > fence:
            self.orders.append((now, "grant", first, last, fence, 409))
            return http1.encode("HTTP/1.1 409 Conflict", [])
        self.orders.append((now, "grant", first, last, fence, 200))
        count = last + 1 - first
        self.fence[first : last + 1] = [fence] * count
        self.held_until[first : last + 1] = [now + order["hold_s"]] * count
        return http1.encode("HTTP/1.1 200 OK", [])
