"""Pass connections on to the store until they are cut."""

import asyncio


class Proxy:
    """Forward bytes; while ``cut`` is set, drop them and answer nothing."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.port = 0
        self.cut = False
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        if self.cut:
            # Silent, as a cut is: the connection is open and nothing comes back.
            await asyncio.sleep(3_600)
        try:
            there = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.close()
            return
        pair = [
            asyncio.create_task(self._pump(reader, there[1])),
            asyncio.create_task(self._pump(there[0], writer)),
        ]
        self._tasks.update(pair)
        await asyncio.wait(pair)
        self._tasks.difference_update(pair)

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65_536):
                if self.cut:
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        if not self.cut:
            writer.close()
