"""Stand-in of an instance that is sound: it runs what arrives and says its id."""

import asyncio

from . import http1


class Instance(http1.Server):
    """Serve requests of one service with ``slots`` at a time; the rest waits.

    ``answer(request)`` returns the body, ``work_s(request)`` how long the work takes.
    If ``unframed(request)`` holds, the answer has no length and ends with its
    connection, as PROTOCOL and RULES allow.
    """

    def __init__(self, name, answer, work_s=lambda request: 0.02, slots=2):
        super().__init__()
        self.name = name
        self.answer = answer
        self.work_s = work_s
        self.unframed = lambda request: False
        self.runs = []
        self._free = asyncio.Semaphore(slots)

    async def handle(self, request, writer):
        """Answer a probe or run a request."""
        method, target = request.start.split()[:2]
        if target == "/health":
            return http1.encode("HTTP/1.1 200 OK", [("Instance-Id", self.name)])
        request_id = request.header("request-id")
        headers = [("Request-Id", request_id), ("Instance-Id", self.name)]
        if request.header("expected-instance") not in ("", self.name):
            return http1.encode("HTTP/1.1 421 Misdirected Request", headers)
        async with self._free:
            loop = asyncio.get_running_loop()
            self.runs.append((loop.time(), request_id, method, target))
            await asyncio.sleep(self.work_s(request))
        headers.append(("Response-Signature", f"s.{request_id}"))
        body = self.answer(request)
        if not self.unframed(request):
            return http1.encode("HTTP/1.1 200 OK", headers, body)
        headers.append(("Connection", "close"))
        writer.write(http1.encode("HTTP/1.1 200 OK", headers, body, length=False))
        await writer.drain()
        return None
