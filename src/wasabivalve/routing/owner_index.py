"""Index the owner table of a shard to look up the owner of a key."""

import bisect
from typing import NamedTuple

from wasabivalve import outcomes
from wasabivalve.ownership import fencing, key_ranges
from wasabivalve.schema import messages_generated


class Owner(NamedTuple):
    """Name the server that owns a key and the fencing token of its grant."""

    server: str
    token: fencing.FencingToken


class OwnerIndex:
    """Hold the owners of the ranges and of single keys of one shard; immutable."""

    def __init__(self, message: messages_generated.OwnerTable) -> None:
        """Index a message that passed ``validate_owner_table``."""
        self.shard = message["shard"]
        self.generation = _decode_token(message["generation"])
        self.provisional = message["provisional"]
        ranges = sorted(message["ranges"], key=lambda entry: entry["start"])
        self._start_positions = [entry["start"] for entry in ranges]
        self._last_positions = [entry["last"] for entry in ranges]
        self._range_owners = [
            _decode_owner(entry["server"], entry["token"]) for entry in ranges
        ]
        self._owner_by_key = {
            entry["key"]: _decode_owner(entry["server"], entry["token"])
            for entry in message["exceptions"]
        }

    def owner_of_key(self, key: str) -> Owner | None:
        """Return the owner of a key, or None when the table names none."""
        if key in self._owner_by_key:
            return self._owner_by_key[key]
        return self.owner_at_position(key_ranges.position_of_key(key))

    def owner_at_position(self, position: int) -> Owner | None:
        """Return the owner of the range at a position; exceptions are ignored."""
        index = bisect.bisect_right(self._start_positions, position) - 1
        if index < 0 or position > self._last_positions[index]:
            return None
        return self._range_owners[index]


def newest_owner_index(
    current: OwnerIndex | None, message: messages_generated.OwnerTable
) -> OwnerIndex:
    """Return the table with the higher generation, or the current one when equal."""
    if (
        current is not None
        and _decode_token(message["generation"]) <= current.generation
    ):
        return current
    return OwnerIndex(message)


def validate_owner_table(
    message: messages_generated.OwnerTable,
) -> tuple[outcomes.Finding, ...]:
    """Return a finding for each range that is empty, out of bounds or overlapping."""
    findings = []
    previous_last = -1
    document = f"owner_table {message['shard']}"
    for entry in sorted(message["ranges"], key=lambda entry: entry["start"]):
        range_text = f"[{entry['start']}, {entry['last']}]"
        if not entry["start"] <= entry["last"] < key_ranges.POSITION_COUNT:
            findings.append(
                outcomes.Finding(
                    document, "$.ranges", f"{range_text} is empty or out of bounds"
                )
            )
        if entry["start"] <= previous_last:
            findings.append(
                outcomes.Finding(
                    document, "$.ranges", f"{range_text} overlaps an earlier range"
                )
            )
        previous_last = max(previous_last, entry["last"])
    return tuple(findings)


def _decode_token(message: messages_generated.Token) -> fencing.FencingToken:
    return fencing.FencingToken(message["term"], message["position"], message["step"])


def _decode_owner(server: str, token: messages_generated.Token) -> Owner | None:
    return Owner(server, _decode_token(token)) if server else None
