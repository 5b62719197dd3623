"""Decide which requests of one connection run at once and whose response is next.

Responses leave in the order of the requests. Nothing here depends on a network: the
connection reports what it has read and what was answered, and asks what to do.
"""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from . import messages

MAX_PIPELINED_REQUESTS = 16
"""Unanswered requests of a connection; with that many, reading pauses."""

MAX_EARLY_BYTES = 1024 * 1024
"""Bytes of a connection's responses that may wait for an earlier response.

Sixteen responses of 5 KB fit several times over. A connection whose caller does not
read must not take a notable part of the receive buffers.
"""


class Pipelining(NamedTuple):
    """Tell a connection which requests may run twice, and count what happens.

    Without an argument no request may run twice, so that all of a connection run one
    after the other.
    """

    may_run_twice: Callable[[messages.HttpRequest], bool] = lambda request: False
    count_event: Callable[[str], None] = lambda name: None


class Turn:
    """Hold the place of one request in the order of responses.

    ``request`` is None for a local refusal of bytes that are no request. ``held_bytes``
    and ``waiting_bytes`` are what the memory account counts for the request and for its
    response. A started request is forwarded while ``may_begin`` is set.
    """

    def __init__(self, request: messages.HttpRequest | None, held_bytes: int) -> None:
        self.may_begin = asyncio.Event()
        self.request = request
        self.held_bytes = held_bytes
        self.waiting_bytes = 0
        self.started = False
        self.response: messages.HttpResponse | None = None


class ResponseOrder:
    """Hold the unanswered requests of one connection in the order of arrival.

    A request that may run twice starts at once. Any other one starts when all before
    it are answered: their responses may close the connection, and the caller then sends
    again whatever follows.
    """

    def __init__(self, may_run_twice: Callable[[messages.HttpRequest], bool]) -> None:
        self._may_run_twice = may_run_twice
        self._turns: deque[Turn] = deque()
        self._largest_response_bytes = 0
        self._early_bytes = 0

    def __len__(self) -> int:
        """Return the number of requests without a written response."""
        return len(self._turns)

    @property
    def is_full(self) -> bool:
        """Return whether no further request should be read."""
        return len(self._turns) >= MAX_PIPELINED_REQUESTS

    def add(self, request: messages.HttpRequest, held_bytes: int) -> Turn:
        """Append a request that was read completely."""
        turn = Turn(request, held_bytes)
        self._turns.append(turn)
        return turn

    def add_refusal(self, response: messages.HttpResponse) -> None:
        """Append the response to bytes that are no request."""
        turn = Turn(None, 0)
        turn.started = True
        turn.response = response
        self._turns.append(turn)

    def start_next(self) -> list[Turn]:
        """Return the requests whose handling starts now, and mark them as started."""
        turns = [turn for turn in self._unanswered() if self._may_start(turn)]
        for turn in turns:
            turn.started = True
        return turns

    def update_room(self, writable: bool, memory_short: bool) -> None:
        """Decide which started requests may be forwarded.

        None is while the caller does not read. One whose response would have to wait
        needs room for it.
        """
        # The next response will hardly be larger than the largest one so far.
        expected_bytes = self._early_bytes + self._largest_response_bytes
        early_room = not memory_short and expected_bytes <= MAX_EARLY_BYTES
        for turn in self._unanswered():
            if writable and (early_room or self.is_first(turn)):
                turn.may_begin.set()
            else:
                turn.may_begin.clear()

    def confirm_start(self, turn: Turn) -> bool:
        """Return whether a request may still be handled, else start it later.

        The kind of its route may have changed since it was started.
        """
        turn.started = self._may_run_now(turn)
        return turn.started

    def remove_first(self, turn: Turn) -> None:
        """Remove the first request, whose response was streamed to its end."""
        assert self.is_first(turn)
        self._turns.popleft()

    def is_first(self, turn: Turn) -> bool:
        """Return whether all requests before this one are answered."""
        return bool(self._turns) and turn is self._turns[0]

    def _unanswered(self) -> list[Turn]:
        turns = itertools.islice(self._turns, MAX_PIPELINED_REQUESTS)
        return [turn for turn in turns if turn.response is None]

    def _may_start(self, turn: Turn) -> bool:
        return not turn.started and self._may_run_now(turn)

    def _may_run_now(self, turn: Turn) -> bool:
        assert turn.request is not None
        return self.is_first(turn) or self._may_run_twice(turn.request)

    def on_response(self, turn: Turn, response: messages.HttpResponse) -> None:
        """Record the response to a request."""
        turn.response = response
        body_bytes = len(response.body)
        self._early_bytes += body_bytes
        self._largest_response_bytes = max(self._largest_response_bytes, body_bytes)

    def take_ready(self) -> Turn | None:
        """Remove and return the first request if its response can be written."""
        if not self._turns or self._turns[0].response is None:
            return None
        turn = self._turns.popleft()
        if turn.request is not None and turn.response is not None:
            self._early_bytes -= len(turn.response.body)
        return turn

    def drop_behind_first(self) -> list[Turn]:
        """Remove and return all requests but the first one."""
        first, *dropped = self._turns
        self._turns = deque([first])
        return dropped

    def drop_all(self) -> list[Turn]:
        """Remove and return all requests, as the connection closes before them."""
        turns = list(self._turns)
        self._turns.clear()
        return turns
