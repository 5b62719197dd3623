"""Provide a stand-in for an instance of the platform over HTTP on loopback."""

import asyncio

import msgspec

from wasabivalve.gateway import (
    caller_connection,
    messages,
    receiving,
    response_order,
)
from wasabivalve.placement import core as placement


class InstanceStandIn:
    """Serve requests and record the ranges that are granted and released.

    ``handler_by_path`` maps a path to a coroutine function that returns the response,
    or None to reset all connections.
    """

    def __init__(self, name, service="desk"):
        self.stopping = False
        self.pipelining = response_order.Pipelining()
        self.buffers = receiving.ReceiveBuffers(32 * receiving.MIB)
        self.name = name
        self.service = service
        self.received_requests = []
        self.grants = []
        self.releases = []
        self.highest_token = 0
        self.handler_by_path = {}
        self.cancelled_count = 0
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
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset_connections()

    def reset_connections(self):
        """Reset all connections, as an instance that ends does."""
        for connection in list(self._connections):
            connection.abort()

    def registered_instance(self, **changes):
        """Return the instance as it is registered, with some fields changed."""
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
        """Store the connection, so that it can be reset later."""
        self._connections.add(connection)

    def on_closed(self, connection):
        """Remove the connection."""
        self._connections.discard(connection)

    async def handle(self, request):
        """Respond to a request, a grant or a release."""
        self.received_requests.append(request)
        if request.path == "/api/grant":
            return self._grant(msgspec.json.decode(request.body))
        if request.path == "/api/release":
            self.releases.append(msgspec.json.decode(request.body))
            return messages.HttpResponse(200, b"", [(b"handover", b"h1")], b"")
        handler = self.handler_by_path.get(request.path)
        if handler is None:
            return self.success(request)
        try:
            response = await handler(request)
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        if response is None:
            self.reset_connections()
            await asyncio.sleep(3600)
        return response

    def success(self, request, body=b"done"):
        """Return a successful response with the header that proves its origin."""
        request_id = request.header(b"request-id") or b"-"
        headers = [(b"request-id", request_id), (b"response-signature", b"s.1")]
        return messages.HttpResponse(200, b"OK", headers, body)

    def _grant(self, document):
        if document["fence"] < self.highest_token:
            return messages.HttpResponse(409, b"", [], b"")
        self.highest_token = document["fence"]
        self.grants.append(document)
        return messages.HttpResponse(200, b"", [], b"")
