"""Collect the parts of a request, with what they cost and the limits on them."""

from typing import NamedTuple

from wasabivalve.desired_state import core as desired_state

from . import memory_account, messages

MIN_FIELD_FRAMING_BYTES = 3
"""A colon and the end of the line; a field has at least these beside its parts."""


class Rejection(NamedTuple):
    """Say with which status and text a request is refused."""

    status: int
    text: str


class IncomingRequest:
    """Hold what was received of a request.

    ``cost_bytes`` is the memory that it takes, including what the parser holds, and
    ``counted_bytes`` what the account knows of it.
    """

    def __init__(self) -> None:
        self.target = b""
        self.headers: messages.Headers = []
        self.body = bytearray()
        self.headers_done = False
        self.counted_bytes = 0
        self._head_bytes = 0
        self._parsed_head_bytes = 0
        self._field_cost_bytes = 0
        self._trailer_bytes = 0
        self._unparsed_bytes = 0

    @property
    def cost_bytes(self) -> int:
        """Return the bytes of memory that the request takes."""
        return (
            self._head_bytes
            + self._field_cost_bytes
            + len(self.body)
            + self._unparsed_bytes
        )

    def add_read(self, byte_count: int) -> None:
        """Count one read, before it is parsed.

        Past the head, what follows the last part of the body is in the parser: the
        extension of a chunk, or a trailer.
        """
        if self.headers_done:
            self._unparsed_bytes += byte_count
        else:
            self._head_bytes += byte_count

    def end_head(self) -> None:
        """Record that the head is complete; a read may have had more than the head."""
        self.headers_done = True
        self._head_bytes = len(self.target)

    def add_target(self, target: bytes) -> None:
        """Append a part of the target."""
        self.target += target
        self._parsed_head_bytes += len(target)

    def add_field(self, name: bytes, value: bytes) -> None:
        """Append a header field, or drop the field of a trailer (RFC 9110, 6.5.1)."""
        field_bytes = len(name) + len(value) + MIN_FIELD_FRAMING_BYTES
        if self.headers_done:
            self._trailer_bytes += field_bytes
            return
        self._parsed_head_bytes += field_bytes
        self._field_cost_bytes += memory_account.field_cost(name, value)
        self.headers.append((name.lower(), value.strip()))

    def add_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body += body
        self._unparsed_bytes = 0

    def find_excess(self, limits: desired_state.CallerLimits) -> Rejection | None:
        """Return why the request is refused, if it is beyond a limit."""
        max_bytes = limits.header_bytes
        head_bytes = self._parsed_head_bytes if self.headers_done else self._head_bytes
        if head_bytes > max_bytes:
            return Rejection(431, f"header is larger than {max_bytes} bytes")
        if max(self._trailer_bytes, self._unparsed_bytes) > max_bytes:
            return Rejection(431, f"trailer or extension is over {max_bytes} bytes")
        if len(self.body) > limits.body_bytes:
            return Rejection(413, "body is too large")
        return None
