"""Stand in for an instance of the platform over HTTP on loopback."""

import asyncio

import msgspec

from wasabivalve.gateway import caller_connection, messages
from wasabivalve.placement import core as placement


class InstanceStandIn:
    """Serve requests and keep the ranges that it was granted.

    ``behaviour`` maps a path to a coroutine that returns an answer, or None to break
    the connection.
    """

    def __init__(self, name, service="desk"):
        self.stopping = False
        self.name = name
        self.service = service
        self.seen = []
        self.grants = []
        self.releases = []
        self.highest_token = 0
        self.behaviour = {}
        self.left = 0
        self.port = 0
        self._connections = set()
        self._server = None

    async def start(self):
        """Listen on a free port of loopback."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: caller_connection.CallerConnection(self), "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and break all connections."""
        self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def entry(self, **changes):
        """Return the instance as the registry shows it."""
        instance = placement.RegisteredInstance(
            id=self.name,
            service=self.service,
            host="127.0.0.1",
            port=self.port,
            data_centre="east",
            slots=2,
            draining=False,
            warmup_left_ms=0.0,
            born=1,
            sequence=1,
        )
        return instance._replace(**changes)

    def limits(self):
        """Return limits for the clients of a test."""
        return caller_connection.DEFAULT_LIMITS

    def on_open(self, connection):
        """Keep the connection, to break it later."""
        self._connections.add(connection)

    def on_closed(self, connection):
        """Count a caller that left."""
        self._connections.discard(connection)

    async def handle(self, request):
        """Answer a request or an order."""
        self.seen.append(request)
        if request.path == "/api/grant":
            return self._grant(msgspec.json.decode(request.body))
        if request.path == "/api/release":
            self.releases.append(msgspec.json.decode(request.body))
            return messages.HttpResponse(200, b"", [(b"handover", b"h1")], b"")
        behave = self.behaviour.get(request.path)
        if behave is None:
            return self.success(request)
        try:
            answer = await behave(request)
        except asyncio.CancelledError:
            self.left += 1
            raise
        if answer is None:
            for connection in list(self._connections):
                connection.abort()
            await asyncio.sleep(3600)
        return answer

    def success(self, request, body=b"done"):
        """Return a success with the instance's proof."""
        identity = request.header(b"request-id") or b"-"
        headers = [(b"request-id", identity), (b"response-signature", b"s.1")]
        return messages.HttpResponse(200, b"OK", headers, body)

    def _grant(self, document):
        if document["fence"] < self.highest_token:
            return messages.HttpResponse(409, b"", [], b"")
        self.highest_token = document["fence"]
        self.grants.append(document)
        return messages.HttpResponse(200, b"", [], b"")
