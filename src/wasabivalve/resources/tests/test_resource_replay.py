"""Test the replay rules by which all readers of the stream reach the same state."""

import pytest

from wasabivalve import resources

KEYS = {"ada": "11" * 32, "ben": "22" * 32}
RANK = {"order": 0, "floor": 0.5, "target_ms": 20, "objective": 0.99}
SERVICE = {
    "divided_by_key": True,
    "slots": 2,
    "instances": [
        {"name": "a", "data_centre": "d", "host": "127.0.0.1", "port": 9001},
        {"name": "b", "data_centre": "d", "host": "127.0.0.1", "port": 9002},
    ],
}


def write(kind, name, spec, expected=0, operator="ada", record_id="r"):
    return resources.writes.build(
        kind,
        name,
        spec,
        expected_revision=expected,
        operator=operator,
        key_hex=KEYS[operator],
        record_id=record_id,
        written_at="2026-12-04T09:00:00Z",
    )


def replay_records(*records, start=1):
    state, reasons = resources.EMPTY_CONFIGURATION._replace(next_offset=start), []
    for offset, record in enumerate(records, start=start):
        applied = resources.apply(state, offset, record, KEYS)
        state = applied.state
        reasons.append(applied.reason)
        assert applied.accepted == (not applied.reason)
    return state, reasons


def test_first_write_at_a_revision_wins():
    """Guards against two accepted writes and so two configurations in the fleet."""
    state, reasons = replay_records(
        write("traffic_rank", "urgent", RANK, record_id="1"),
        write("traffic_rank", "urgent", RANK | {"floor": 0.1}, 0, "ben", "2"),
        write("traffic_rank", "urgent", RANK | {"floor": 0.2}, 1, "ben", "3"),
    )
    assert reasons == ["", "expected revision 0, but the revision is 1", ""]
    assert state.revision == 3
    resource = state.resource_by_key["traffic_rank", "urgent"]
    assert (resource.revision, resource.operator) == (3, "ben")


def with_changed_spec(record):
    return record | {"spec": RANK | {"floor": 0.9}}


@pytest.mark.parametrize(
    ("record", "reason"),
    [
        (with_changed_spec(write("traffic_rank", "urgent", RANK)), "signature"),
        (write("traffic_rank", "urgent", RANK) | {"operator": "eve"}, "has no key"),
        (write("traffic_rank", "urgent", RANK) | {"signature": "é"}, "signature"),
        (write("teapot", "urgent", RANK), "unknown kind"),
        (write("traffic_rank", "urgent", {"order": 0}), "'floor' is a required"),
        (write("traffic_rank", "Not A Name", RANK), "$.name"),
        (write("traffic_rank", "urgent\n", RANK), "does not match"),
        (write("traffic_rank", "urgent", None), "does not exist"),
        (write("drain_order", "x", {"service": "s", "instance": "a"}), "'s' does not"),
        ({"kind": "resource_write"}, "does not fit its schema"),
        ({"kind": "other"}, "not a resource write"),
    ],
)
def test_bad_record_is_ignored_with_a_reason(record, reason):
    """Guards against a reader that stops at, or accepts, an invalid record."""
    state, reasons = replay_records(record)
    assert reason in reasons[0]
    assert state.revision == 0
    assert not state.resource_by_key


def test_duplicate_record_id_has_no_effect_even_when_the_first_was_refused():
    """Guards against a delayed copy that takes effect after a reported refusal."""
    late = write("traffic_rank", "urgent", RANK | {"floor": 0.2}, 2, record_id="late")
    first = write("traffic_rank", "urgent", RANK, record_id="1")
    state, reasons = replay_records(late, first, late, first)
    assert "but the revision is 0" in reasons[0]
    assert reasons[2:] == [
        "record id repeats the record at offset 1",
        "record id repeats the record at offset 2",
    ]
    assert state.revision == 2


def test_offset_zero_is_never_a_revision():
    """With revision 0 for an existing resource, a second creation would be accepted."""
    _, reasons = replay_records(write("traffic_rank", "urgent", RANK), start=0)
    assert "offset 0 cannot be a revision" in reasons[0]


def test_an_old_offset_never_reverts_the_state():
    state, _ = replay_records(write("traffic_rank", "urgent", RANK, record_id="1"))
    again = resources.apply(state, 1, write("traffic_rank", "urgent", None, 1), KEYS)
    assert not again.accepted
    assert again.state == state


def test_a_reader_that_missed_records_does_not_continue():
    """Guards against a partial configuration in force, seen in a trial with a log."""
    state, _ = replay_records(write("traffic_rank", "urgent", RANK, record_id="1"))
    later = write("traffic_rank", "urgent", None, 1, record_id="2")
    applied = resources.apply(state, 3, later, KEYS)
    assert applied == resources.ConfigurationRecordResult(
        state, False, "records from 2 are missing"
    )
    assert resources.apply(state, 2, later, KEYS).accepted


def test_view_fills_in_defaults_and_reads_drains():
    state, reasons = replay_records(
        write("service", "slotbook", SERVICE, record_id="1"),
        write(
            "drain_order", "x", {"service": "slotbook", "instance": "b"}, 0, "ada", "2"
        ),
        write("drain_order", "y", {"vm": "entry-2"}, record_id="3"),
        write("traffic_rank", "urgent", RANK, record_id="4"),
    )
    view = resources.view.build(state)
    assert reasons == [""] * 4
    assert view.service_by_name["slotbook"].max_connections == 110
    assert view.drained_instances == {("slotbook", "b")}
    assert view.drained_vms == {"entry-2"}
    assert view.rank_by_name["urgent"].target_ms == 20


def test_a_drained_instance_can_be_removed_before_its_drain_order():
    """Deleting the drain order first would send traffic to the instance again."""
    smaller = SERVICE | {"instances": SERVICE["instances"][:1]}
    _, reasons = replay_records(
        write("service", "slotbook", SERVICE, record_id="1"),
        write(
            "drain_order", "x", {"service": "slotbook", "instance": "b"}, 0, "ada", "2"
        ),
        write("service", "slotbook", smaller, 1, record_id="3"),
    )
    assert reasons == ["", "", ""]
