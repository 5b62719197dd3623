"""Follow a topic: list the newest record of each key, then read new records."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

from wasabivalve import events, supervision, untrusted_data

from . import outage

MIN_RELAY_VALIDITY_S = 0.9
"""Shortest time after a relay or the first listing without a call to the store.

Relays arrive every 0.6 s, and a call takes up to 0.1 s.
"""

RESTART_SPREAD_S = 0.3
"""Time over which VMs that notice a restored store spread their listings.

A few of them read it from the store before the others fetch copies.
"""

READ_AFTER_RELAYS_S = 1.6
"""Time for reading the store once relays have ended.

It covers the stagger of VMs, a call, a copy of a large document and a slow link.
"""


ONLY_FROM_STORE = -1
"""Offset for a listing that no other VM may provide, as copies may be ahead as well."""


class FollowTimes(NamedTuple):
    """Hold the times in s of following a topic.

    ``poll_interval_s`` passes between reads, and ``long_poll_s`` is the time for which
    the store may hold one back. A gap in relays is read up to ``gap_delay_s`` later, at
    a random time: the next relays may show further gaps, or close it. After its first
    listing a follower waits for ``first_relay_timeout_s`` for a relay.
    """

    poll_interval_s: float
    long_poll_s: float
    gap_delay_s: float = 0.0
    first_relay_timeout_s: float = MIN_RELAY_VALIDITY_S


def relay_validity_s(max_staleness_s: float) -> float:
    """Return the time after a relay for which a follower does not call the store.

    A change must be in effect within ``max_staleness_s``, also if no relay follows.
    """
    return max(MIN_RELAY_VALIDITY_S, max_staleness_s - READ_AFTER_RELAYS_S)


class Record(NamedTuple):
    """Hold one record; a record without a value removes its key."""

    offset: int
    key: str
    value: bytes | None


def handle_each(
    topic: str, records: Iterable[Record], handle: Callable[[Record], object]
) -> None:
    """Pass each record to a function; log and skip those on which it fails.

    One record must not keep the others from taking effect.
    """
    for record in records:
        try:
            handle(record)
        except Exception as error:
            events.emit(
                208,
                topic=topic,
                offset=record.offset,
                key=untrusted_data.excerpt(record.key),
                error=untrusted_data.excerpt(error, supervision.MAX_ERROR_CHARACTERS),
            )


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
    """State that the store does not have the requested offset.

    ``first_offset`` is that of the oldest remaining record, -1 if unknown. If it is not
    after the requested offset, the topic ends before that.
    """

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """State why the store did not respond, and whether the call was sent."""

    reason: str
    sent: bool = True


class TopicSource(NamedTuple):
    """Hold the calls of a follower to the store.

    ``list_newest`` gets the offset before which the listing must cover all records, or
    ``ONLY_FROM_STORE``; ``read`` gets the first offset to read and the long-poll time
    in s.
    """

    list_newest: Callable[[int], Awaitable[Listing | Unavailable]]
    read: Callable[[int, float], Awaitable[Batch | Trimmed | Unavailable]]


class TopicHandlers(NamedTuple):
    """Hold the callbacks of a follower, which are called in the order of the log.

    ``on_read`` gets the first offset of a read, the next one and the records.
    """

    on_listing: Callable[[list[Record]], None]
    on_record: Callable[[Record], None]
    on_reachable: Callable[[], None]
    on_unreachable: Callable[[str], None]
    on_read: Callable[[int, int, list[Record]], None] | None = None


class TopicFollower:
    """Deliver the records of one topic to its handlers."""

    def __init__(
        self,
        name: str,
        source: TopicSource,
        handlers: TopicHandlers,
        times: FollowTimes,
        generator: random.Random,
        clock: Callable[[], float],
        store_outage: outage.StoreOutage,
        stagger_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.name = name
        self._source = source
        self._handlers = handlers
        self._outage = store_outage
        self._times = times
        self._generator = generator
        self._clock = clock
        self._stagger_s = stagger_s
        self._next_offset: int | None = None
        # A listing must cover all records before this offset.
        self._known_end_offset = 0
        self._is_restarted = False
        self._failures = 0
        self._relay_valid_until = 0.0
        self._has_gap = False
        self._gap_read_at = 0.0
        self._wake = asyncio.Event()

    @property
    def next_offset(self) -> int | None:
        """Return the offset of the next record, or None before the first listing."""
        return self._next_offset

    async def run(self) -> None:
        """Follow until cancelled; while other VMs relay the topic, read only gaps.

        An unexpected error is raised to whoever runs this; the next run lists the topic
        again.
        """
        while True:
            is_first_listing = self._next_offset is None and self._is_first_listing
            try:
                delay_s = await self.poll()
            except Exception:
                # What was delivered of the listing or the batch is not known.
                self._restart(0)
                raise
            await self._wait(delay_s)
            if is_first_listing and self._next_offset is not None:
                # VMs that relay read first; their relays may make this read needless.
                await self._wait(self._stagger_s())
            while not await self._outage.wait_for_turn():
                await self._wait(0.0)

    async def _wait(self, delay_s: float) -> None:
        """Wait for a delay, longer while a relay is valid, shorter after a gap."""
        ends_at = self._clock() + delay_s
        while True:
            due_at = (
                self._gap_read_at
                if self._has_gap
                else max(ends_at, self._relay_valid_until)
            )
            remaining_s = due_at - self._clock()
            if remaining_s <= 0.0:
                break
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), remaining_s)
            except TimeoutError:
                # The delay has ended, unless a relay arrived in the meantime.
                pass
        # A poll without a delay must still yield to other tasks.
        await asyncio.sleep(0.0)

    def on_relay(
        self,
        first_offset: int,
        end_offset: int,
        records: list[Record],
        validity_s: float = MIN_RELAY_VALIDITY_S,
    ) -> None:
        """Apply the read position of another VM, with the records that change anything.

        ``records`` holds all of them from ``first_offset`` to before ``end_offset``.
        The store is not called for ``validity_s``.
        """
        if self._next_offset is None or end_offset < self._next_offset:
            return
        if first_offset <= self._next_offset:
            # Removals after an outage are handled differently, so it is noted first.
            self._on_success()
            self._deliver(records, self._next_offset)
            self._next_offset = end_offset
            self._has_gap = False
            self._relay_valid_until = self._clock() + validity_s
        else:
            self.mark_gap()

    def extend_relay(self, validity_s: float) -> None:
        """Make no call for a time, as another message will bring the new records."""
        if not self._has_gap:
            self._relay_valid_until = self._clock() + validity_s
            self._on_success()

    def end_relays(self) -> None:
        """Read at once, as this VM itself relays from now on."""
        self._relay_valid_until = 0.0
        self._has_gap, self._gap_read_at = True, self._clock()
        self._wake.set()

    def mark_gap(self) -> None:
        """Read records that were missed, after the delay of the topic."""
        if not self._has_gap:
            self._has_gap = True
            self._gap_read_at = self._clock() + (
                self._times.gap_delay_s * self._generator.uniform(0.5, 1.0)
            )
            self._wake.set()

    def start_anew(self) -> None:
        """List the topic again, as the store was restored from a copy.

        What was delivered before stays with the handlers.
        """
        if self._next_offset is None and self._is_first_listing:
            return
        self._restart(0)
        self._has_gap = True
        self._gap_read_at = self._clock() + self._generator.uniform(
            0.0, RESTART_SPREAD_S
        )
        self._wake.set()

    def _restart(self, known_end_offset: int) -> None:
        self._next_offset = None
        self._known_end_offset = known_end_offset
        self._is_restarted = True

    @property
    def _is_first_listing(self) -> bool:
        return self._known_end_offset == 0 and not self._is_restarted

    async def poll(self) -> float:
        """Make one call and return the delay in s before the next.

        After a failure the next one waits for its turn among the followers of this VM.
        """
        if self._next_offset is None:
            return await self._list()
        return await self._read(self._next_offset)

    async def _list(self) -> float:
        result = await self._source.list_newest(self._known_end_offset)
        if isinstance(result, Unavailable):
            return self._on_failure(result.reason)
        self._on_success()
        is_first_listing = self._is_first_listing
        self._next_offset = result.end_offset
        if self._is_restarted:
            self._is_restarted = self._has_gap = False
        self._handlers.on_listing(result.records)
        return self._times.first_relay_timeout_s if is_first_listing else 0.0

    async def _read(self, offset: int) -> float:
        long_poll_s = 0.0 if self._has_gap else self._times.long_poll_s
        result = await self._source.read(offset, long_poll_s)
        if isinstance(result, Unavailable):
            return self._on_failure(result.reason)
        self._on_success()
        if self._next_offset is None:
            # The store was restored during the read.
            return 0.0
        if _is_ahead_of_end(result, offset):
            events.emit(206, topic=self.name, offset=offset)
            self._restart(ONLY_FROM_STORE)
            return 0.0
        if isinstance(result, Trimmed):
            events.emit(202, topic=self.name, offset=offset, first=result.first_offset)
            # A copy that ends before the oldest remaining record has the same gap.
            self._known_end_offset = max(offset + 1, result.first_offset)
            self._next_offset = None
            return 0.0
        self._has_gap = False
        if self._next_offset != offset:
            # A relay that arrived during the read has advanced the position.
            return 0.0
        self._deliver(result.records, offset)
        if result.records:
            self._next_offset = max(offset, result.records[-1].offset + 1)
        if self._handlers.on_read is not None:
            self._handlers.on_read(offset, self._next_offset, result.records)
        return self._times.poll_interval_s

    def _deliver(self, records: list[Record], first_offset: int) -> None:
        handle_each(
            self.name,
            (record for record in records if record.offset >= first_offset),
            self._handlers.on_record,
        )

    def _on_success(self) -> None:
        if self._failures:
            events.emit(201, topic=self.name, failures=self._failures)
        self._failures = 0
        self._outage.on_reachable()
        self._handlers.on_reachable()

    def _on_failure(self, reason: str) -> float:
        if not self._failures:
            events.emit(200, topic=self.name, reason=reason)
        self._failures += 1
        self._outage.on_unreachable()
        self._handlers.on_unreachable(reason)
        return 0.0


def _is_ahead_of_end(result: Batch | Trimmed, offset: int) -> bool:
    """Return whether a topic ends before an offset that was read from it."""
    if isinstance(result, Trimmed):
        return 0 <= result.first_offset <= offset
    return result.end_offset < offset
