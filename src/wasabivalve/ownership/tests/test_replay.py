"""Check the preconditions of control records and the recovery from a gap."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from wasabivalve.ownership import key_ranges, range_lists, replay, snapshots

SHARD = "slotbook/0"
END = key_ranges.POSITION_COUNT


def endorsements(vms, revision):
    return [{"vm": vm, "group_revision": revision, "position": 0} for vm in vms]


def group_change(record_id, revision, add=(), remove=(), endorsed_by=()):
    return {
        "kind": "group_change",
        "record_id": record_id,
        "shard": SHARD,
        "group_revision": revision,
        "add": list(add),
        "remove": list(remove),
        "endorsements": endorsements(endorsed_by, revision),
    }


def term_claim(record_id, previous, revision, endorsed_by):
    return {
        "kind": "term_claim",
        "record_id": record_id,
        "shard": SHARD,
        "previous_term": previous,
        "group_revision": revision,
        "controllers": ["a", "b"],
        "reset_is_over": False,
        "endorsements": endorsements(endorsed_by, revision),
    }


def assignment(record_id, term, revision, ranges, exceptions=(), removed=()):
    return {
        "kind": "assignment",
        "record_id": record_id,
        "shard": SHARD,
        "term": term,
        "revision": revision,
        "ranges": [
            {"start": start, "end": end, "servers": servers}
            for start, end, servers in ranges
        ],
        "exceptions": [{"key": key, "servers": servers} for key, servers in exceptions],
        "removed_exceptions": list(removed),
    }


HISTORY = (
    group_change("g0", 0, add=["a"]),
    group_change("g1", 1, add=["b"], endorsed_by=["a"]),
    term_claim("t2", -1, 2, ["a", "b"]),
    assignment("r3", 2, 0, [(0, END, ["s1", "s2"])], [("hot", ["s3"])]),
    assignment("r4", 2, 1, [(100, 200, ["s2"])], removed=["hot"]),
)


def replayed(records, state=None, first=0):
    state = state or replay.ControlState()
    reasons = []
    for offset, record in enumerate(records, first):
        applied = replay.apply(state, offset, record)
        state = applied.state
        reasons.append(applied.reason)
    return state, reasons


def test_history_reaches_the_expected_state():
    """Every reader must reach the same state from the same records."""
    state, reasons = replayed(HISTORY)
    shard = state.shard(SHARD)
    assert reasons == [""] * 5
    assert (shard.group, shard.term, shard.revision) == (("a", "b"), 2, 2)
    assert [item.start for item in shard.ranges] == [0, 100, 200]
    assert (shard.servers_by_key, shard.former_servers) == ({}, ("s3",))


@pytest.mark.parametrize(
    ("record", "reason"),
    [
        (
            group_change("x", 1, add=["c"], endorsed_by=["a", "b"]),
            "group revision is 2",
        ),
        (group_change("x", 2, add=["c"], endorsed_by=["a"]), "endorsements"),
        (group_change("x", 2, add=["c"], endorsed_by=["a", "q"]), "endorsements"),
        (group_change("x", 2, ["c", "d"], endorsed_by=["a", "b"]), "exactly one"),
        (term_claim("x", -1, 2, ["a", "b"]), "term is 2"),
        (term_claim("x", 2, 2, ["b"]), "endorsements"),
        (assignment("x", 1, 2, [(0, 9, ["s1"])]), "term is 2"),
        (assignment("x", 2, 1, [(0, 9, ["s1"])]), "revision is 2"),
        (assignment("x", 2, 2, [(0, 9, ["s1"]), (8, 10, ["s1"])]), "overlaps"),
        (assignment("x", 2, 2, [(0, 9, [])]), "empty"),
        (group_change("g1", 2, remove=["b"], endorsed_by=["a", "b"]), "duplicate"),
        ({"kind": "later", "record_id": "x", "shard": SHARD}, "unknown"),
        ({**assignment("x", 2, 2, []), "schema_version": 2}, "schema version"),
        ({"kind": "assignment", "record_id": "x", "shard": SHARD}, "malformed"),
        ([], "not an object"),
    ],
)
def test_record_without_its_precondition_has_no_effect(record, reason):
    """A late or damaged record would otherwise undo an acknowledged one."""
    state, _ = replayed(HISTORY)
    applied = replay.apply(state, 5, record)
    assert not applied.accepted and reason in applied.reason
    assert applied.state.shard_by_name == state.shard_by_name
    assert applied.state.next_offset == 6


def test_group_reset_needs_no_endorsement():
    """A group without a majority could otherwise never be replaced."""
    state, _ = replayed(HISTORY)
    reset = {
        "kind": "group_reset",
        "record_id": "x",
        "shard": SHARD,
        "group_revision": 2,
        "vms": ["c", "d"],
    }
    shard = replay.apply(state, 5, reset).state.shard(SHARD)
    assert (shard.group, shard.group_revision, shard.reset_offset) == (
        ("c", "d"),
        3,
        5,
    )


@pytest.mark.parametrize("chunk_size", [1, 2, 512])
@pytest.mark.parametrize("covered", range(6))
def test_reader_with_a_gap_needs_a_complete_snapshot(chunk_size, covered):
    """Acting on a state with missing records could create a second owner."""
    before, _ = replayed(HISTORY[:covered])
    chunks = snapshots.export(before, "snap", chunk_size)
    records = [*HISTORY[covered:], *reversed(chunks)]
    full, _ = replayed(records, before, covered)
    reader = replay.with_gap(replay.ControlState(), covered) if covered else None
    reader, _ = replayed(records[:-1], reader, covered)
    assert reader.complete == (covered == 0)
    reader, _ = replayed(records[-1:], reader, reader.next_offset)
    assert reader.complete
    assert reader == full


def test_snapshot_older_than_the_gap_is_refused():
    """Records between the snapshot and the end of the gap would be lost."""
    before, _ = replayed(HISTORY[:2])
    reader, _ = replayed(snapshots.export(before, "snap"), None, 4)
    assert not reader.complete


def test_missing_offset_opens_a_gap():
    """A reader that jumps over records must stop acting."""
    state, _ = replayed(HISTORY[:3])
    state = replay.apply(state, 4, HISTORY[4]).state
    assert not state.complete
    assert not state.shard_by_name


bounds = strategies.lists(
    strategies.integers(0, 40), min_size=2, max_size=8, unique=True
).map(sorted)


@hypothesis.given(strategies.lists(bounds, max_size=4))
def test_overlay_agrees_with_a_table_of_positions(rounds):
    """A wrong bound would assign positions to the wrong server."""
    ranges = ()
    expected = {}
    for number, points in enumerate(rounds):
        pairs = list(zip(points[::2], points[1::2], strict=False))
        updates = [
            range_lists.ListedRange(start, end, (f"s{number}",)) for start, end in pairs
        ]
        ranges = range_lists.overlay(ranges, updates)
        for start, end in pairs:
            expected.update(dict.fromkeys(range(start, end), (f"s{number}",)))
    found = {at: item.servers for item in ranges for at in range(item.start, item.end)}
    assert found == expected
    assert sum(item.end - item.start for item in ranges) == len(found)


def test_export_of_an_incomplete_state_is_an_error():
    """A snapshot of a partial state would pass the loss on to its readers."""
    with pytest.raises(ValueError, match="misses records"):
        snapshots.export(dataclasses.replace(replay.ControlState(), complete=False), "")
