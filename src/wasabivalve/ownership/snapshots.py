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
    portions: list[list[records_generated.ShardState]] = [[]]
    room = ranges_per_chunk
    for name, shard in sorted(state.shard_by_name.items()):
        for portion in _portions(name, shard, ranges_per_chunk):
            size = 1 + len(portion["ranges"]) + len(portion["exceptions"])
            if size > room and portions[-1]:
                portions.append([])
                room = ranges_per_chunk
            portions[-1].append(portion)
            room -= size
    return tuple(
        {
            "kind": "snapshot",
            "record_id": f"{snapshot_id}/{index}",
            "covers_offset": state.next_offset,
            "chunk": index,
            "chunks": len(portions),
            "shards": shards,
            "recent_record_ids": [] if index else list(state.recent_record_ids),
        }
        for index, shards in enumerate(portions)
    )


def _portions(
    name: str, shard: replay.Shard, size: int
) -> list[records_generated.ShardState]:
    """Return the state of a shard in parts that a reader puts together again."""
    singles = sorted(shard.servers_by_key.items())
    count = max(len(shard.ranges), len(singles), 1)
    return [
        _portion(name, shard, shard.ranges[at : at + size], singles[at : at + size])
        for at in range(0, count, size)
    ]


def _portion(
    name: str,
    shard: replay.Shard,
    ranges: tuple[range_lists.ListedRange, ...],
    singles: list[tuple[str, tuple[str, ...]]],
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
            {"key": key, "servers": list(servers)} for key, servers in singles
        ],
        "former_servers": list(shard.former_servers),
    }
