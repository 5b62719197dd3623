"""Keep a connection open for input until its caller has the last response."""

import socket
from typing import Any

from wasabivalve.gateway import send_queue

from . import clock

LINGER_MS = 1_000.0
"""Time for which bytes of the caller are discarded after the last response.

Closing with unread bytes resets the connection, and a caller that has sent further
requests would lose what it has not received yet.
"""

STALL_TIMEOUT_MS = 30_000.0
"""Time after which a caller that receives nothing more is given up."""

DISCARDED_BYTES = 8_192
"""Bytes read at once and dropped."""


def make_channel_class(base: Any) -> type:
    """Return a channel class that lingers after its last response."""

    class LingeringChannel(base):
        lingers = False
        is_flushing = False
        unsent_bytes = 0
        checked_at_ms = 0.0
        progressed_at_ms = 0.0

        @property
        def will_close(self) -> bool:
            """Return whether the thread of the server closes the connection."""
            return bool(super().will_close)

        @will_close.setter
        def will_close(self, value: bool) -> None:
            if value and self.is_flushing and not self.total_outbufs_len:
                value = not self._start_lingering()
            base.will_close.fset(self, value)

        def handle_write(self) -> None:
            self.is_flushing = True
            try:
                super().handle_write()
            finally:
                self.is_flushing = False

        def readable(self) -> bool:
            if not self.lingers:
                return bool(super().readable())
            self._check_received()
            return not self.will_close

        def writable(self) -> bool:
            return self.will_close if self.lingers else bool(super().writable())

        def handle_read(self) -> None:
            if self.lingers:
                # This closes the connection at the end of the input.
                self.recv(DISCARDED_BYTES)
            else:
                super().handle_read()

        def _start_lingering(self) -> bool:
            """End the output, and return whether further input is to be discarded."""
            if self.lingers or self.socket is None:
                return False
            try:
                self.socket.shutdown(socket.SHUT_WR)
            except OSError as error:
                self.logger.info(f"Closing a connection that has ended: {error}")
                return False
            self.lingers = True
            self.checked_at_ms = clock.monotonic_ms()
            return True

        def _check_received(self) -> None:
            """End after ``LINGER_MS`` in which the caller had received everything."""
            now = clock.monotonic_ms()
            if now < self.checked_at_ms + LINGER_MS or self.socket is None:
                return
            self.checked_at_ms = now
            unsent_before = self.unsent_bytes
            self.unsent_bytes = send_queue.unacknowledged_bytes(self.socket)
            if not unsent_before or self.unsent_bytes < unsent_before:
                self.progressed_at_ms = now
            stalled = now >= self.progressed_at_ms + STALL_TIMEOUT_MS
            if stalled or not (self.unsent_bytes or unsent_before):
                self.will_close = True

    return LingeringChannel
