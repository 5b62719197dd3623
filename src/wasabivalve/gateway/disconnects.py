"""Notice that a peer has closed its connection although nothing is read from it."""

import asyncio
import select

LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""Events that the kernel reports also while received bytes are unread."""


def has_left(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed or reset a connection, without waiting."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), LEFT_EVENTS)
    return bool(poll.poll(0))
