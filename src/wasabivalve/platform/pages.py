"""Serve the pages that the platform asks a process for."""

import asyncio
from collections.abc import Callable

from wasabivalve.desired_state import core as desired_state
from wasabivalve.gateway import caller_connection, messages

from . import settings


class _PageFront:
    """Serve one page to the platform."""

    def __init__(self, path: str, page: Callable[[], messages.Answer]) -> None:
        self.stopping = False
        self._path = path
        self._page = page

    def limits(self) -> desired_state.CallerLimits:
        """Return limits for the platform's own calls."""
        return caller_connection.DEFAULT_LIMITS

    async def handle(self, request: messages.Request) -> messages.Answer:
        """Return the page."""
        if request.path != self._path:
            return messages.own_answer(404, "there is nothing here")
        return self._page()

    def on_open(self, connection: caller_connection.CallerConnection) -> None:
        """Do nothing; these connections need no drain."""

    def on_closed(self, connection: caller_connection.CallerConnection) -> None:
        """Do nothing."""


async def serve(
    address: settings.Address, path: str, page: Callable[[], messages.Answer]
) -> asyncio.Server:
    """Listen on an address and answer one path."""
    front = _PageFront(path, page)
    return await asyncio.get_running_loop().create_server(
        lambda: caller_connection.CallerConnection(front),
        address.host,
        address.port,
        reuse_address=True,
    )
