"""Tell how much of what was written to a socket its peer has not acknowledged."""

import fcntl
import functools
import select
import socket
import struct
import termios
from asyncio import trsock

from wasabivalve import events

QUEUE_SIZE = struct.Struct("i")


def unacknowledged_bytes(sock: socket.socket | trsock.TransportSocket) -> int:
    """Return the bytes in the kernel's send queue, 0 if nothing more can be sent.

    It is 0 as well if the peer has closed its side: it sends no further bytes, so
    closing the socket resets nothing and the kernel delivers what is left.
    """
    # Another thread may close the socket meanwhile.
    descriptor = sock.fileno()
    if descriptor < 0:
        return 0
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    if poll.poll(0):
        return 0
    try:
        size = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(QUEUE_SIZE.size))
    except OSError as error:
        _log_unknown(str(error))
        return 0
    return int(QUEUE_SIZE.unpack(size)[0])


@functools.cache
def _log_unknown(error: str) -> None:
    events.emit(416, error=error)
