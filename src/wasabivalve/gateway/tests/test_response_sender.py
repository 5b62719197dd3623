"""Test that a connection holds no request that it has answered."""

import asyncio
import gc
import weakref

from wasabivalve.gateway import internal_http, messages


def test_answered_request_is_freed_without_the_garbage_collector():
    """Bodies that a reference cycle held took processes over their memory limit."""

    async def main():
        held = []

        async def handle(request):
            held.append(weakref.ref(request.may_begin))
            return messages.local_response(200, "done")

        server = await internal_http.serve("127.0.0.1", 0, handle)
        address = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        for _ in range(3):
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            await reader.readexactly(len("done\n"))
        # The connection is still open, and its latest task may end in the next step.
        await asyncio.sleep(0.05)
        assert len(held) == 3
        assert [reference() for reference in held] == [None, None, None]
        writer.close()
        server.close()

    gc.collect()
    gc.disable()
    try:
        asyncio.run(main())
    finally:
        gc.enable()
