"""Relay TCP connections on loopback and harm them."""

import asyncio
import contextlib

READ_BYTES = 65_536


class FaultRelay:
    """Pass bytes to a target; faults apply to open and to new connections.

    ``held`` holds directions that pass nothing for now: ``"to"`` and ``"from"`` the
    target. Connections that are open when ``silence`` is called never pass anything
    again, while new ones work.
    """

    def __init__(self, target_port):
        self.delay_s = 0.0
        self.held = frozenset()
        self.port = 0
        self.healed_at = -1e9
        self._target_port = target_port
        self._open = set()
        self._silent = set()
        self._server = None

    async def start(self):
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset()

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._open):
            writer.transport.abort()

    def silence(self):
        """Pass nothing more on the connections that are open now."""
        self._silent |= self._open

    def heal(self):
        """Pass bytes at once in both directions."""
        self.delay_s, self.held = 0.0, frozenset()
        self.healed_at = asyncio.get_running_loop().time()

    async def _serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self._open |= pair
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass(reader, target_writer, pair, "to"))
                group.create_task(self._pass(target_reader, writer, pair, "from"))
        except* (OSError, EOFError):
            # One side is gone; the other one is closed below.
            pass
        finally:
            self._open -= pair
            self._silent -= pair
            for one in pair:
                one.transport.abort()

    async def _pass(self, reader, writer, pair, direction):
        while True:
            data = await reader.read(READ_BYTES)
            if not data:
                with contextlib.suppress(OSError):
                    await writer.drain()
                raise EOFError
            await asyncio.sleep(self.delay_s)
            while direction in self.held or pair & self._silent:
                if writer.transport.is_closing():
                    raise EOFError
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()
