"""Follow a topic: list its newest records, then read on from there."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from wasabivalve import events

FIRST_PAUSE_S = 0.15
LONGEST_PAUSE_S = 0.6
"""Pauses between calls while the store is away; short, as its return must be seen."""


class Record(NamedTuple):
    """Hold one record; one without a value removes its key."""

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Hold records and the offset of the next one."""

    records: list[Record]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Hold the newest record of each key and the offset of the next one."""

    records: list[Record]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Trimmed:
    """State that the records asked for are deleted."""

    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """State that the store did not answer, and why."""

    reason: str


class Source(NamedTuple):
    """Give the calls that a follower makes; waiting times are in s."""

    listing: Callable[[], Awaitable[Listing | Unavailable]]
    read: Callable[[int, float], Awaitable[Batch | Trimmed | Unavailable]]


class Handlers(NamedTuple):
    """Take what a follower learns, in order."""

    on_listing: Callable[[list[Record]], None]
    on_record: Callable[[Record], None]
    on_contact: Callable[[], None]
    on_outage: Callable[[str], None]


class TopicFollower:
    """Deliver the records of one topic."""

    def __init__(
        self,
        name: str,
        source: Source,
        handlers: Handlers,
        interval_s: float,
        wait_s: float,
        generator: random.Random,
    ) -> None:
        self._name = name
        self._source = source
        self._handlers = handlers
        self._interval_s = interval_s
        self._wait_s = wait_s
        self._generator = generator
        self._next: int | None = None
        self._failures = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await asyncio.sleep(await self.step())

    async def step(self) -> float:
        """Make one call and return the pause in s before the next."""
        if self._next is None:
            return await self._list()
        return await self._read(self._next)

    async def _list(self) -> float:
        result = await self._source.listing()
        if isinstance(result, Unavailable):
            return self._on_failure(result.reason)
        self._on_success()
        self._next = result.end
        self._handlers.on_listing(result.records)
        return 0.0

    async def _read(self, offset: int) -> float:
        result = await self._source.read(offset, self._wait_s)
        if isinstance(result, Unavailable):
            return self._on_failure(result.reason)
        self._on_success()
        if isinstance(result, Trimmed):
            events.emit(202, topic=self._name, offset=offset, first=result.first)
            self._next = None
            return 0.0
        for record in result.records:
            if record.offset >= offset:
                self._handlers.on_record(record)
        if result.records:
            self._next = max(offset, result.records[-1].offset + 1)
        return self._interval_s

    def _on_success(self) -> None:
        if self._failures:
            events.emit(201, topic=self._name, failures=self._failures)
        self._failures = 0
        self._handlers.on_contact()

    def _on_failure(self, reason: str) -> float:
        if not self._failures:
            events.emit(200, topic=self._name, reason=reason)
        self._failures += 1
        self._handlers.on_outage(reason)
        pause = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0 ** min(self._failures, 8))
        return pause * self._generator.uniform(0.5, 1.0)
