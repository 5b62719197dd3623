"""Bound what peers may send, for one message and for all connections of a process.

A faulty peer may send bytes without end. Messages are buffered until they are complete,
because a request that may run twice can then be retried and no partial response looks
complete, so the buffers need bounds.
"""

from typing import NamedTuple

from .memory_account import ReceiveBuffers, Receiver

__all__ = ["MessageLimits", "ReceiveBuffers", "Receiver", "framing_allowance"]

KIB = 1024
MIB = 1024 * 1024

FRAMING_BYTES_PER_BODY_BYTE = 8
"""Allowance for the framing of a short chunked body; one-byte chunks need five."""

SHORT_BODY_BYTES = 16 * KIB
"""Part of a body up to which any framing is allowed; beyond it one byte per byte.

Parsing tiny chunks without end would take all processor time.
"""

READ_BYTES = 16 * KIB
"""Bytes read at once from a connection, so that others are read in between."""

READ_BUFFER = bytearray(READ_BYTES)
"""Buffer of one read; it is parsed before the event loop reads again."""


def framing_allowance(body_bytes: int) -> int:
    """Return how many bytes the framing of a chunked body may have."""
    short_bytes = min(body_bytes, SHORT_BODY_BYTES)
    return FRAMING_BYTES_PER_BODY_BYTE * short_bytes + body_bytes - short_bytes


class MessageLimits(NamedTuple):
    """Bound the responses to one request; sizes in bytes.

    ``overhead_bytes`` bounds all that is no body: heads, trailers, interim responses
    and the extensions of chunks.
    """

    overhead_bytes: int = 64 * KIB
    header_fields: int = 256
    interim_responses: int = 8
    body_bytes: int = 32 * MIB


DEFAULT_LIMITS = MessageLimits()

INTERNAL_LIMITS = MessageLimits(body_bytes=8 * MIB)
"""Limits of the store and of other VMs, whose documents have up to a few hundred KB."""
