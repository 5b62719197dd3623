"""Guard the configuration in force of an entry VM that missed records."""

import itertools

from wasabivalve import platform_log, resources
from wasabivalve.entry import configuration

KEY = "11" * 32
RANK = {"order": 0, "floor": 0.1, "target_ms": 20, "objective": 0.9}


def logged(first_offset, records):
    rows = enumerate(records, start=first_offset)
    return tuple(platform_log.LoggedRecord(*row) for row in rows)


def test_a_gap_is_closed_by_a_snapshot_and_the_writes_around_it():
    """A write between the covered offset and the snapshot would otherwise be lost."""
    ids = (f"id-{number}" for number in itertools.count())

    def write(name, order, expected=0):
        return resources.writes.build(
            "traffic_rank",
            name,
            RANK | {"order": order},
            expected_revision=expected,
            operator="ada",
            key_hex=KEY,
            record_id=next(ids),
            written_at="",
        )

    writes = [{"kind": "stream_start"}, write("u", 0), write("v", 1), write("w", 2)]
    state = resources.EMPTY_CONFIGURATION
    for offset, record in enumerate(writes[:3]):
        state = resources.apply(state, offset, record, {"ada": KEY}).state
    chunks = resources.snapshots.build(
        state, operator="ada", key_hex=KEY, new_record_id=lambda: next(ids)
    )
    held = configuration.ActiveConfiguration({"ada": KEY})
    held.record_gap(3)
    held.apply_records(logged(3, writes[3:]))
    assert held.current_view() is None
    held.apply_records(logged(4, [*chunks, write("x", 3)]))
    assert set(held.current_view().rank_by_name) == {"u", "v", "w", "x"}
    held.apply_records(logged(6, [write("y", 4)]))
    assert held.state.revision == 6
