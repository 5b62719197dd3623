"""Map keys to positions and positions to ordered server lists."""

import array
import bisect
from collections.abc import Iterable, Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

import xxhash

from wasabivalve import rendezvous

from . import successors

POSITION_COUNT = 1 << 64

ServerList = tuple[str, ...]


class RangeError(ValueError):
    """Report a range or position that does not fit the key space or the map."""


class PositionRange(NamedTuple):
    """Assign positions [start, end) to ordered servers, owner first."""

    start: int
    end: int
    servers: ServerList


def position_of_key(key: str) -> int:
    """Return the position of a key, from 0 to 2**64 - 1."""
    return xxhash.xxh3_64_intdigest(key.encode())


class RangeMap:
    """Hold the bounds and server lists of ranges and the exceptions of single keys.

    A map is immutable: each change returns a new map, so that the request path can
    read one without a lock. The ranges cover every position.
    """

    __slots__ = ("_servers", "_servers_by_key", "_starts")

    def __init__(
        self,
        ranges: Iterable[PositionRange] = (PositionRange(0, POSITION_COUNT, ()),),
        servers_by_key: Mapping[str, ServerList] | None = None,
    ):
        """Build a map; raise RangeError unless the ranges cover the key space once."""
        self._starts = array.array("Q")
        self._servers: list[ServerList] = []
        expected = 0
        for item in ranges:
            if item.start != expected or not item.start < item.end <= POSITION_COUNT:
                raise RangeError(
                    f"range [{item.start}, {item.end}) must start at the expected "
                    "position (0 or the end of the previous range), be non-empty and "
                    "end at or before POSITION_COUNT"
                )
            self._starts.append(item.start)
            self._servers.append(tuple(item.servers))
            expected = item.end
        if expected != POSITION_COUNT:
            raise RangeError(f"ranges end at {expected} instead of {POSITION_COUNT}")
        self._servers_by_key = dict(servers_by_key or {})

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self._starts)

    def __iter__(self) -> Iterator[PositionRange]:
        """Yield the ranges in the order of their positions."""
        return map(self._range_at_index, range(len(self._starts)))

    def __eq__(self, other: object) -> bool:
        """Compare ranges, servers and exceptions."""
        if not isinstance(other, RangeMap):
            return NotImplemented
        return (
            self._starts == other._starts
            and self._servers == other._servers
            and self._servers_by_key == other._servers_by_key
        )

    __hash__ = None  # type: ignore[assignment]

    @property
    def exceptions(self) -> Mapping[str, ServerList]:
        """Return the server lists of the keys placed apart from their range."""
        return MappingProxyType(self._servers_by_key)

    def servers_of_key(self, key: str) -> ServerList:
        """Return the ordered servers of a key, owner first, empty if there are none."""
        servers = self._servers_by_key.get(key)
        if servers is not None:
            return servers
        return self.servers_at(position_of_key(key))

    def servers_at(self, position: int) -> ServerList:
        """Return the ordered servers of the range that contains a position."""
        return self._servers[bisect.bisect_right(self._starts, position) - 1]

    def range_at(self, position: int) -> PositionRange:
        """Return the range that contains a position; raise RangeError if none does."""
        return self._range_at_index(self._index_at(position))

    def split(self, position: int) -> "RangeMap":
        """Return a map with a bound at a position; both parts keep the server list."""
        index = self._index_at(position)
        if self._starts[index] == position:
            return self
        result = self._copy()
        result._starts.insert(index + 1, position)
        result._servers.insert(index + 1, self._servers[index])
        return result

    def merge(self, position: int) -> "RangeMap":
        """Return a map without the bound at a position.

        Raise RangeError if there is no bound or the server lists of both sides differ.
        """
        index = self._index_at(position)
        if self._starts[index] != position or index == 0:
            raise RangeError(f"no range starts at position {position}")
        if self._servers[index - 1] != self._servers[index]:
            raise RangeError(f"server lists differ at position {position}")
        result = self._copy()
        del result._starts[index]
        del result._servers[index]
        return result

    def assign(
        self,
        ranges: Iterable[PositionRange] = (),
        exceptions: Mapping[str, Sequence[str]] | None = None,
        removed_exceptions: Iterable[str] = (),
    ) -> "RangeMap":
        """Return a map with these server lists; split ranges where needed.

        Raise RangeError for an empty range or one outside the key space.
        """
        result = self._copy()
        for item in ranges:
            result._set_range(item)
        for key in removed_exceptions:
            result._servers_by_key.pop(key, None)
        for key, servers in (exceptions or {}).items():
            result._servers_by_key[key] = tuple(servers)
        return result

    def _copy(self) -> "RangeMap":
        result = RangeMap.__new__(RangeMap)
        result._starts = self._starts[:]
        result._servers = self._servers[:]
        result._servers_by_key = self._servers_by_key.copy()
        return result

    def _set_range(self, item: PositionRange) -> None:
        if not 0 <= item.start < item.end <= POSITION_COUNT:
            raise RangeError(f"range [{item.start}, {item.end}) is empty or outside")
        first = self._index_at(item.start)
        last = self._index_at(item.end - 1)
        last_range = self._range_at_index(last)
        starts = [item.start]
        servers = [tuple(item.servers)]
        if self._starts[first] < item.start:
            starts.insert(0, self._starts[first])
            servers.insert(0, self._servers[first])
        if item.end < last_range.end:
            starts.append(item.end)
            servers.append(last_range.servers)
        self._starts[first : last + 1] = array.array("Q", starts)
        self._servers[first : last + 1] = servers

    def _index_at(self, position: int) -> int:
        if not 0 <= position < POSITION_COUNT:
            raise RangeError(f"position {position} is outside the key space")
        return bisect.bisect_right(self._starts, position) - 1

    def _range_at_index(self, index: int) -> PositionRange:
        next_index = index + 1
        last = next_index == len(self._starts)
        end = POSITION_COUNT if last else self._starts[next_index]
        return PositionRange(self._starts[index], end, self._servers[index])


def initial_ranges(
    servers: Sequence[str],
    ranges_per_server: int,
    data_centre_by_server: Mapping[str, str] | None = None,
    list_length: int = 3,
) -> RangeMap:
    """Return ranges of equal size, the same number of them for each server.

    The successors of a server's ranges are distributed evenly over the other servers,
    so that its loss moves only its own ranges and keeps the others in balance.
    """
    names = sorted(set(servers))
    if not names or ranges_per_server < 1:
        return RangeMap()
    count = len(names) * ranges_per_server
    bounds = [POSITION_COUNT * index // count for index in range(count + 1)]
    extend_list = successors.list_extender(
        names, data_centre_by_server or {}, list_length
    )
    ranges = []
    for index in range(count):
        # Each block of ranges has every server once, in a different order.
        block, place = divmod(index, len(names))
        owner = rendezvous.rank_names(f"block {block}", names)[place]
        ranges.append(
            PositionRange(bounds[index], bounds[index + 1], extend_list([owner], 1.0))
        )
    return RangeMap(ranges)
