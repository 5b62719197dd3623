"""Relay TCP connections on loopback and inject faults into them."""

import asyncio
import contextlib

READ_BYTES = 65_536


class FaultRelay:
    """Forward bytes to and from a target; faults apply to open and new connections.

    ``blocked_directions`` contains ``"to"`` and ``"from"`` while nothing is forwarded
    to or from the target. Connections that are open when ``silence`` is called never
    forward anything again, while new ones work.
    """

    def __init__(self, target_port):
        self.delay_s = 0.0
        self.blocked_directions = frozenset()
        self.port = 0
        self.healed_at = -1e9
        self._target_port = target_port
        self._open_writers = set()
        self._silenced_writers = set()
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
        for writer in list(self._open_writers):
            writer.transport.abort()

    def silence(self):
        """Stop forwarding on the connections that are open now."""
        self._silenced_writers |= self._open_writers

    def heal(self):
        """Forward bytes without a delay in both directions."""
        self.delay_s, self.blocked_directions = 0.0, frozenset()
        self.healed_at = asyncio.get_running_loop().time()

    async def _serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._open_writers |= writers
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target_writer, writers, "to"))
                group.create_task(self._forward(target_reader, writer, writers, "from"))
        except* (OSError, EOFError):
            # One side has closed; the other one is aborted below.
            pass
        finally:
            self._open_writers -= writers
            self._silenced_writers -= writers
            for endpoint_writer in writers:
                endpoint_writer.transport.abort()

    async def _forward(self, reader, writer, writers, direction):
        while True:
            data = await reader.read(READ_BYTES)
            if not data:
                with contextlib.suppress(OSError):
                    await writer.drain()
                raise EOFError
            await asyncio.sleep(self.delay_s)
            while (
                direction in self.blocked_directions or writers & self._silenced_writers
            ):
                if writer.transport.is_closing():
                    raise EOFError
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()
