"""Test what a stream holds and how it ends."""

import asyncio

from wasabivalve.gateway import receiving, response_stream


def run_scenario(scenario):
    async def main():
        calls = []
        buffers = receiving.ReceiveBuffers(receiving.MIB)
        stream = response_stream.ResponseStream(
            None, buffers, lambda: calls.append("pause"), lambda: calls.append("resume")
        )
        await scenario(stream, calls, buffers)
        assert buffers.total_bytes == 0

    asyncio.run(main())


def test_reading_pauses_while_the_caller_is_slow():
    """A slow caller let the body of a fast instance fill the memory."""
    piece = b"b" * (response_stream.MAX_UNREAD_BYTES // 2)

    async def scenario(stream, calls, buffers):
        stream.feed(piece)
        assert calls == []
        stream.feed(piece)
        assert calls == ["pause"] and buffers.total_bytes == 2 * len(piece)
        assert await stream.read() == piece and calls == ["pause"]
        assert await stream.read() == piece and calls == ["pause", "resume"]

    run_scenario(scenario)


def test_end_is_told_once_and_tells_whole_from_broken():
    """A response that broke off must not be ended like a whole one."""

    async def scenario(stream, calls, buffers):
        ends = []
        stream.when_ended(ends.append)
        stream.feed(b"b")
        stream.finish()
        stream.break_off("late")
        stream.when_ended(ends.append)
        assert ends == [response_stream.StreamEnd.COMPLETE] * 2
        assert (await stream.read(), await stream.read()) == (b"b", None)

    run_scenario(scenario)


def test_broken_stream_ends_a_waiting_reader_without_its_rest():
    """A reader waited in vain for an instance that had ended."""

    async def scenario(stream, calls, buffers):
        reader = asyncio.create_task(stream.read())
        await asyncio.sleep(0)
        stream.break_off("reset")
        assert await reader is None
        assert stream.end == response_stream.StreamEnd.BROKEN
        stream.feed(b"late")
        assert await stream.read() is None

    run_scenario(scenario)
