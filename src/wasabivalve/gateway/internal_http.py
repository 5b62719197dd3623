"""Serve internal HTTP: readiness, metrics, desired-state copies for other VMs."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from wasabivalve.desired_state import core as desired_state

from . import caller_connection, messages, receiving, response_order

INTERNAL_BUFFER_BYTES = 8 * receiving.MIB
"""Memory for requests of other VMs and of the platform, and for unread responses.

It is a part of its own, so that callers can't take it: a VM under their load must still
say that it is ready and give copies of documents of a few hundred KB to 20 VMs.
"""

INTERNAL_BUFFERS = receiving.ReceiveBuffers(INTERNAL_BUFFER_BYTES)
"""Account of all internal listeners of a process."""

INTERNAL_LIMITS = caller_connection.DEFAULT_LIMITS._replace(
    body_bytes=64 * receiving.KIB
)
"""Limits on requests to internal listeners, none of which has a body."""

Handler = Callable[[messages.HttpRequest], Coroutine[Any, Any, messages.HttpResponse]]


class _InternalServer:
    """Pass every request to one handler."""

    def __init__(self, handler: Handler) -> None:
        self.stopping = False
        self.buffers = INTERNAL_BUFFERS
        self.pipelining = response_order.Pipelining()
        self.handle = handler

    def limits(self) -> desired_state.CallerLimits:
        """Return limits that do not depend on the desired state."""
        return INTERNAL_LIMITS

    def on_open(self, connection: caller_connection.CallerConnection) -> None:
        """Do nothing; these connections are not drained."""

    def on_closed(self, connection: caller_connection.CallerConnection) -> None:
        """Do nothing."""


def single_path_handler(
    path: str, render: Callable[[], messages.HttpResponse]
) -> Handler:
    """Return a handler that renders one path and rejects others with status 404."""

    async def handle(request: messages.HttpRequest) -> messages.HttpResponse:
        if request.path != path:
            return messages.local_response(404, "there is nothing here")
        return render()

    return handle


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Listen on an address and pass all requests to a handler."""
    server = _InternalServer(handler)
    return await asyncio.get_running_loop().create_server(
        lambda: caller_connection.CallerConnection(server),
        host,
        port,
        reuse_address=True,
    )
