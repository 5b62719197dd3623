"""Guard that logging never blocks and stays within its volume."""

import os

from wasabivalve.events import stream


def test_reader_that_does_not_read_never_blocks():
    """A full pipe must not stop requests."""
    reader, writer = os.pipe()
    out = stream.RateLimitedStream(writer, lambda: 0.0)
    out._tokens = 1e9
    for _ in range(5_000):
        out.write("x" * 100 + "\n")
    assert out._left_out > 0
    os.close(reader)
    os.close(writer)


def test_lines_left_out_are_counted():
    """A gap in the log that nobody sees misleads the reader."""
    reader, writer = os.pipe()
    now = 0.0
    out = stream.RateLimitedStream(writer, lambda: now)
    for _ in range(int(stream.MAX_BURST_LINES) + 7):
        out.write("a\n")
    now = 1.0
    out.write("b\n")
    text = os.read(reader, 65_536).decode()
    assert text.count("a\n") == int(stream.MAX_BURST_LINES)
    assert "count=7" in text and text.endswith("b\n")
    os.close(reader)
    os.close(writer)
