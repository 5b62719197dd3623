"""Test the active configuration of an entry VM that missed records of the stream."""

import itertools

from wasabivalve import platform_log, resources
from wasabivalve.entry import configuration

KEY_HEX = "11" * 32
RANK_SPEC = {"order": 0, "floor": 0.1, "target_ms": 20, "objective": 0.9}


def logged_records(first_offset, records):
    numbered = enumerate(records, start=first_offset)
    return tuple(platform_log.LoggedRecord(*pair) for pair in numbered)


def test_a_gap_is_closed_by_a_snapshot_and_the_writes_around_it():
    """A write between the covered offset and the snapshot must not be lost."""
    record_ids = (f"id-{number}" for number in itertools.count())

    def write(name, order, expected_revision=0):
        return resources.writes.build(
            "traffic_rank",
            name,
            RANK_SPEC | {"order": order},
            expected_revision=expected_revision,
            operator="ada",
            key_hex=KEY_HEX,
            record_id=next(record_ids),
            written_at="",
        )

    writes = [{"kind": "stream_start"}, write("u", 0), write("v", 1), write("w", 2)]
    state = resources.EMPTY_CONFIGURATION
    for offset, record in enumerate(writes[:3]):
        state = resources.apply(state, offset, record, {"ada": KEY_HEX}).state
    chunks = resources.snapshots.build(
        state, operator="ada", key_hex=KEY_HEX, new_record_id=lambda: next(record_ids)
    )
    active = configuration.ActiveConfiguration({"ada": KEY_HEX})
    active.record_gap(3)
    active.apply_records(logged_records(3, writes[3:]))
    assert active.current_view() is None
    active.apply_records(logged_records(4, [*chunks, write("x", 3)]))
    assert set(active.current_view().rank_by_name) == {"u", "v", "w", "x"}
    active.apply_records(logged_records(6, [write("y", 4)]))
    assert active.state.revision == 6
