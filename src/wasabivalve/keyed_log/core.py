"""Follow a topic: list its newest records, then read on from there."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from wasabivalve import events

BASE_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 0.6
"""Pauses between calls while the store is away; short, as its return must be seen."""


FIRST_RELAY_TIMEOUT_S = 0.6
"""Time after a listing for which the first relay is awaited: relays come as often."""

RELAY_VALIDITY_S = 1.4
"""Time after a relayed position for which a follower asks the store nothing.

Two relays may be lost before; a desired state and a leaving instance then still show
within 2 s.
"""


class Record(NamedTuple):
    """Hold one record; one without a value removes its key."""

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Hold records and the offset of the next one."""

    records: list[Record]
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Hold the newest record of each key and the offset of the next one."""

    records: list[Record]
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Trimmed:
    """State that the records asked for are deleted."""

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """State that the store did not answer, why, and whether the call was sent."""

    reason: str
    sent: bool = True


class TopicSource(NamedTuple):
    """Give the calls that a follower makes; waiting times are in s.

    ``listing`` takes the offset up to which the records are known already.
    """

    list_newest: Callable[[int], Awaitable[Listing | Unavailable]]
    read: Callable[[int, float], Awaitable[Batch | Trimmed | Unavailable]]


class TopicHandlers(NamedTuple):
    """Take what a follower learns, in order."""

    on_listing: Callable[[list[Record]], None]
    on_record: Callable[[Record], None]
    on_reachable: Callable[[], None]
    on_unreachable: Callable[[str], None]
    on_read: Callable[[int, int, list[Record]], None] | None = None


class TopicFollower:
    """Deliver the records of one topic."""

    def __init__(
        self,
        name: str,
        source: TopicSource,
        handlers: TopicHandlers,
        interval_s: float,
        wait_s: float,
        generator: random.Random,
        clock: Callable[[], float],
        stagger_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.name = name
        self._source = source
        self._handlers = handlers
        self._interval_s = interval_s
        self._wait_s = wait_s
        self._generator = generator
        self._clock = clock
        self._stagger_s = stagger_s
        self._next_offset: int | None = None
        # The records before this offset are known, also while a new listing is made.
        self._known = 0
        self._failures = 0
        self._relayed_until = 0.0
        self._behind = False
        self._wake = asyncio.Event()

    @property
    def next_offset(self) -> int | None:
        """Return the offset of the next record, or None before the first listing."""
        return self._next_offset

    async def run(self) -> None:
        """Follow until cancelled; while others relay the topic, ask only for gaps."""
        while True:
            listing = self._next_offset is None and self._known == 0
            pause = await self.step()
            if self._failures:
                await asyncio.sleep(pause)
                continue
            await self._rest(pause)
            if listing:
                # Those that relay go first; their relays may make reading needless.
                await self._rest(self._stagger_s())

    async def _rest(self, pause: float) -> None:
        """Wait for the pause to end, for longer while relays come, not behind them."""
        rested_at = self._clock() + pause
        while not self._behind:
            left = max(rested_at, self._relayed_until) - self._clock()
            if left <= 0.0:
                break
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), left)
            except TimeoutError:
                # The pause is over, unless a relay came meanwhile.
                pass
        # A step without a pause must still let others run.
        await asyncio.sleep(0.0)

    def on_relay(
        self,
        first: int,
        end: int,
        records: list[Record],
        validity_s: float = RELAY_VALIDITY_S,
    ) -> None:
        """Take in how far another VM has read, with the records that matter.

        ``records`` are complete from ``first`` to ``end``; for ``validity_s`` the store
        is asked nothing.
        """
        if self._next_offset is None or end < self._next_offset:
            return
        if first <= self._next_offset:
            for record in records:
                if record.offset >= self._next_offset:
                    self._handlers.on_record(record)
            self._next_offset = end
            self._behind = False
            self._relayed_until = self._clock() + validity_s
            self._handlers.on_reachable()
        else:
            self._behind = True
            self._wake.set()

    async def step(self) -> float:
        """Make one call and return the pause in s before the next."""
        if self._next_offset is None:
            return await self._list()
        return await self._read(self._next_offset)

    async def _list(self) -> float:
        result = await self._source.list_newest(self._known)
        if isinstance(result, Unavailable):
            return self._on_failure(result.reason)
        self._on_success()
        first = self._known == 0
        self._next_offset = result.end_offset
        self._handlers.on_listing(result.records)
        return FIRST_RELAY_TIMEOUT_S if first else 0.0

    async def _read(self, offset: int) -> float:
        wait_s = 0.0 if self._behind else self._wait_s
        result = await self._source.read(offset, wait_s)
        if isinstance(result, Unavailable):
            return self._on_failure(result.reason)
        self._on_success()
        if isinstance(result, Trimmed):
            events.emit(202, topic=self.name, offset=offset, first=result.first_offset)
            self._known, self._next_offset = offset, None
            return 0.0
        self._behind = False
        if self._next_offset != offset:
            # A relay was faster.
            return 0.0
        for record in result.records:
            if record.offset >= offset:
                self._handlers.on_record(record)
        if result.records:
            self._next_offset = max(offset, result.records[-1].offset + 1)
        if self._handlers.on_read is not None:
            self._handlers.on_read(offset, self._next_offset, result.records)
        return self._interval_s

    def _on_success(self) -> None:
        if self._failures:
            events.emit(201, topic=self.name, failures=self._failures)
        self._failures = 0
        self._handlers.on_reachable()

    def _on_failure(self, reason: str) -> float:
        if not self._failures:
            events.emit(200, topic=self.name, reason=reason)
        self._failures += 1
        self._handlers.on_unreachable(reason)
        pause = min(
            MAX_RETRY_DELAY_S, BASE_RETRY_DELAY_S * 2.0 ** min(self._failures, 8)
        )
        return pause * self._generator.uniform(0.5, 1.0)
