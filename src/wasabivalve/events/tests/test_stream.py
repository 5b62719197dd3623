"""Guard that logging never blocks and stays within its rate limit."""

import os

from wasabivalve.events import stream


def test_reader_that_does_not_read_never_blocks():
    """A full pipe must not block requests."""
    reader, writer = os.pipe()
    limited_stream = stream.RateLimitedStream(writer, lambda: 0.0)
    limited_stream._tokens = 1e9
    for _ in range(5_000):
        limited_stream.write("x" * 100 + "\n")
    assert limited_stream._dropped_lines > 0
    os.close(reader)
    os.close(writer)


def test_lines_left_out_are_counted():
    """An unreported gap in the log would mislead its reader."""
    reader, writer = os.pipe()
    now = 0.0
    limited_stream = stream.RateLimitedStream(writer, lambda: now)
    for _ in range(int(stream.MAX_BURST_LINES) + 7):
        limited_stream.write("a\n")
    now = 1.0
    limited_stream.write("b\n")
    text = os.read(reader, 65_536).decode()
    assert text.count("a\n") == int(stream.MAX_BURST_LINES)
    assert "count=7" in text and text.endswith("b\n")
    os.close(reader)
    os.close(writer)
