"""Look up the owner of a key in the owner table of a shard."""

import bisect
from typing import NamedTuple

from wasabivalve import outcomes
from wasabivalve.ownership import fencing, key_ranges
from wasabivalve.schema import messages_generated


class Owner(NamedTuple):
    """Name the server that owns a key and the token of its grant."""

    server: str
    token: fencing.FencingToken


class OwnerIndex:
    """Hold the owners of the ranges and single keys of one shard, unchanging."""

    def __init__(self, message: messages_generated.OwnerTable) -> None:
        """Index a message that passed ``validate_owner_table``."""
        self.shard = message["shard"]
        self.generation = _token(message["generation"])
        self.provisional = message["provisional"]
        ranges = sorted(message["ranges"], key=lambda entry: entry["start"])
        self._starts = [entry["start"] for entry in ranges]
        self._lasts = [entry["last"] for entry in ranges]
        self._owners = [_owner(entry["server"], entry["token"]) for entry in ranges]
        self._owner_by_key = {
            entry["key"]: _owner(entry["server"], entry["token"])
            for entry in message["exceptions"]
        }

    def owner_of_key(self, key: str) -> Owner | None:
        """Return the owner of a key, or None when the table names none."""
        if key in self._owner_by_key:
            return self._owner_by_key[key]
        return self.owner_at_position(key_ranges.position_of_key(key))

    def owner_at_position(self, position: int) -> Owner | None:
        """Return the owner of the range with this position, exceptions aside."""
        index = bisect.bisect_right(self._starts, position) - 1
        if index < 0 or position > self._lasts[index]:
            return None
        return self._owners[index]


def newest_owner_index(
    current: OwnerIndex | None, message: messages_generated.OwnerTable
) -> OwnerIndex:
    """Return the table with the higher generation, the current one when equal."""
    if current is not None and _token(message["generation"]) <= current.generation:
        return current
    return OwnerIndex(message)


def validate_owner_table(
    message: messages_generated.OwnerTable,
) -> tuple[outcomes.Finding, ...]:
    """Return a finding for each range that is empty, too long or overlaps another."""
    found = []
    previous_last = -1
    file = f"owner_table {message['shard']}"
    for entry in sorted(message["ranges"], key=lambda entry: entry["start"]):
        name = f"[{entry['start']}, {entry['last']}]"
        if not entry["start"] <= entry["last"] < key_ranges.POSITION_COUNT:
            found.append(outcomes.Finding(file, "$.ranges", f"{name} is not a range"))
        if entry["start"] <= previous_last:
            found.append(outcomes.Finding(file, "$.ranges", f"{name} overlaps another"))
        previous_last = max(previous_last, entry["last"])
    return tuple(found)


def _token(message: messages_generated.Token) -> fencing.FencingToken:
    return fencing.FencingToken(message["term"], message["position"], message["step"])


def _owner(server: str, token: messages_generated.Token) -> Owner | None:
    return Owner(server, _token(token)) if server else None
