"""Export the replayed state in chunks for readers that missed records."""

from ..schema import records_generated
from . import range_lists, replay

RANGES_PER_CHUNK = 512


def export(
    state: replay.ControlState,
    snapshot_id: str,
    ranges_per_chunk: int = RANGES_PER_CHUNK,
) -> tuple[records_generated.Snapshot, ...]:
    """Return the records of a snapshot; raise ValueError for an incomplete state."""
    if not state.complete:
        raise ValueError("a state that misses records cannot be exported")
    shards_by_chunk: list[list[records_generated.ShardState]] = [[]]
    free_items = ranges_per_chunk
    for name, shard in sorted(state.shard_by_name.items()):
        for part in _split_shard(name, shard, ranges_per_chunk):
            size = 1 + len(part["ranges"]) + len(part["exceptions"])
            if size > free_items and shards_by_chunk[-1]:
                shards_by_chunk.append([])
                free_items = ranges_per_chunk
            shards_by_chunk[-1].append(part)
            free_items -= size
    return tuple(
        {
            "kind": "snapshot",
            "record_id": f"{snapshot_id}/{index}",
            "covers_offset": state.next_offset,
            "chunk": index,
            "chunks": len(shards_by_chunk),
            "shards": shards,
            "recent_record_ids": [] if index else list(state.recent_record_ids),
        }
        for index, shards in enumerate(shards_by_chunk)
    )


def _split_shard(
    name: str, shard: replay.Shard, size: int
) -> list[records_generated.ShardState]:
    """Return the state of a shard in parts, which readers reassemble."""
    exceptions = sorted(shard.servers_by_key.items())
    count = max(len(shard.ranges), len(exceptions), 1)
    return [
        _shard_part(
            name,
            shard,
            shard.ranges[first : first + size],
            exceptions[first : first + size],
        )
        for first in range(0, count, size)
    ]


def _shard_part(
    name: str,
    shard: replay.Shard,
    ranges: tuple[range_lists.ListedRange, ...],
    exceptions: list[tuple[str, tuple[str, ...]]],
) -> records_generated.ShardState:
    return {
        "shard": name,
        "group_revision": shard.group_revision,
        "group": list(shard.group),
        "reset_offset": shard.reset_offset,
        "term": shard.term,
        "controllers": list(shard.controllers),
        "revision": shard.revision,
        "ranges": [
            {"start": item.start, "end": item.end, "servers": list(item.servers)}
            for item in ranges
        ],
        "exceptions": [
            {"key": key, "servers": list(servers)} for key, servers in exceptions
        ],
        "former_servers": list(shard.former_servers),
    }
