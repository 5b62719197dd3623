"""Test publishing, planning, snapshots and the observed status."""

import itertools
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wasabivalve import platform_log, resources
from wasabivalve.resources import planning, publishing, snapshots, status

KEY = "11" * 32
KEYS = resources.OperatorKeys({"ada": KEY})
RANK = {"order": 0, "floor": 0.1, "target_ms": 20, "objective": 0.9}


class InMemoryLog:
    """Store a stream; records before ``oldest`` count as removed by retention."""

    def __init__(self):
        self.records, self.oldest, self.outage = [], 0, None

    def append(self, stream, records):
        if self.outage:
            return self.outage
        self.records += records
        return platform_log.Appended(len(self.records) - len(records))

    def read(self, stream, offset, wait_ms=0.0, limit=1000):
        if offset < self.oldest:
            return platform_log.Gap(self.oldest)
        rows = enumerate(self.records[offset : offset + limit], start=offset)
        found = tuple(platform_log.LoggedRecord(*row) for row in rows)
        return platform_log.ReadBatch(found, offset + len(found), self.oldest)


def author(prefix="first", operator="ada"):
    ids = itertools.count()
    return publishing.Author(
        operator, KEY, lambda: f"{prefix}-{next(ids)}", lambda: "now"
    )


def timing():
    ticks = itertools.count()
    return publishing.AppendTiming(
        50.0, lambda: next(ticks) / 1_000, lambda seconds: None
    )


def rank(name, order, floor=0.1, **more):
    spec = RANK | {"order": order, "floor": floor}
    return planning.ResourceChange("traffic_rank", name, spec, **more)


def publish(log, *changes, current=None, write_author=None):
    current = current or resources.read_all(log, KEYS)
    write_author = write_author or author()
    return resources.publish(log, changes, current, write_author, KEYS, timing=timing())


def test_changes_are_one_append_with_a_marker_before_the_first_write():
    log = InMemoryLog()
    published = publish(log, rank("u", 0), rank("v", 1))
    assert [verdict.revision for verdict in published.verdicts] == [1, 2]
    assert log.records[0]["kind"] == "stream_start"
    again = publish(log, rank("u", 0), write_author=author("second"))
    assert isinstance(again.verdicts[0], resources.Unchanged)
    assert len(log.records) == 3


def test_a_conflict_names_the_winner_and_the_difference():
    log = InMemoryLog()
    stale = resources.read_all(log, KEYS)
    publish(log, rank("u", 0, 0.2))
    change, write_author = rank("u", 0, 0.3), author("second")
    (verdict,) = publish(log, change, current=stale, write_author=write_author).verdicts
    assert verdict.reason == "expected revision 0, but the revision is 1"
    assert verdict.conflict.winner.operator == "ada"
    (difference,) = verdict.conflict.differences
    assert difference == ("$.spec.floor", 0.3, 0.2)


def test_a_write_without_a_known_key_is_refused_without_a_winner():
    log = InMemoryLog()
    (verdict,) = publish(
        log, rank("u", 0), write_author=author(operator="eve")
    ).verdicts
    assert "has no key" in verdict.reason
    assert verdict.conflict is None


@pytest.mark.parametrize(
    ("outage", "outcome"),
    [
        (platform_log.LogUnavailable("down"), resources.Refused),
        (platform_log.AppendUnknown("lost"), resources.Pending),
    ],
)
def test_a_failing_log_gives_refused_or_pending(outage, outcome):
    log = InMemoryLog()
    log.outage = outage
    published = publish(log, rank("u", 0))
    assert isinstance(published.verdicts[0], outcome)


def test_writes_are_ordered_so_that_each_state_is_valid():
    log = InMemoryLog()
    first = publish(log, rank("u", 0, 0.8), rank("v", 1, 0.1))
    state = first.current.state
    planned = planning.order_changes([rank("v", 1, 0.6), rank("u", 0, 0.3)], state)
    assert [change.name for change in planned.changes] == ["u", "v"]
    swapped = planning.order_changes([rank("u", 1), rank("v", 0)], state)
    assert isinstance(swapped, planning.NoValidOrder)


def with_snapshot(log, writes_per_chunk=1):
    current = resources.read_all(log, KEYS)
    ids = (f"snapshot-{number}" for number in itertools.count())
    chunks = snapshots.build(
        current.state,
        operator="ada",
        key_hex=KEY,
        new_record_id=lambda: next(ids),
        writes_per_chunk=writes_per_chunk,
    )
    return current.state, json.loads(json.dumps(chunks))


@pytest.mark.parametrize("chunk_size", [1, 50])
def test_a_snapshot_restores_revisions_and_refuses_old_ids(chunk_size):
    """Guards against a reader that starts after retention with a different state."""
    log = InMemoryLog()
    publish(log, rank("u", 0), rank("v", 1))
    repeated = log.records[1]
    state, chunks = with_snapshot(log, chunk_size)
    log.oldest = len(log.records)
    log.records += [repeated, *chunks]
    current = resources.read_all(log, KEYS)
    assert current.state.revision == state.revision == 2
    assert {
        key: row.revision for key, row in current.state.resource_by_key.items()
    } == {
        ("traffic_rank", "u"): 1,
        ("traffic_rank", "v"): 2,
    }
    assert not any(entry.accepted for entry in current.entries)
    published = publish(
        log, rank("u", 0, 0.3), write_author=author("second"), current=current
    )
    assert published.verdicts[0].revision == len(log.records) - 1


def incomplete(chunks):
    return chunks[:-1]


def forged(chunks):
    return [chunks[0] | {"revision": 99}, *chunks[1:]]


def too_old(chunks):
    return [chunk | {"covers_offset": 0} for chunk in chunks]


@pytest.mark.parametrize("damage", [incomplete, forged, too_old])
def test_a_reader_with_a_gap_refuses_a_damaged_snapshot(damage):
    """Guards against a partial configuration, which would revert the rest."""
    log = InMemoryLog()
    publish(log, rank("u", 0), rank("v", 1))
    _, chunks = with_snapshot(log)
    log.oldest = len(log.records)
    log.records += damage(chunks)
    assert isinstance(resources.read_all(log, KEYS), resources.StreamUnreadable)


def vm(live=True, revision=5, age=10.0, draining=False):
    return {
        "live": live,
        "configuration_revision": revision,
        "draining": draining,
        "age_ms": age,
    }


def entry_status(**vms):
    return {
        "vm": "a",
        "configuration_revision": 5,
        "ready": True,
        "draining": False,
        "vms": vms,
    }


@pytest.mark.parametrize(
    ("other", "reason"),
    [
        (vm(revision=4), "revision 4"),
        (vm(live=False), "not live"),
        (vm(age=9_000.0), "9.0 s ago"),
    ],
)
def test_a_vm_that_lags_is_named(other, reason):
    (lag,) = status.lagging_vms(entry_status(a=vm(), b=other), 5)
    assert lag.vm == "b"
    assert reason in lag.reason
    assert not status.lagging_vms(entry_status(a=vm(), b=vm()), 5)


@pytest.mark.parametrize(
    ("spec", "progress"),
    [
        ({"vm": "left"}, "drained"),
        ({"vm": "leaving"}, "draining"),
        ({"vm": "lost"}, "not draining"),
        ({"vm": "gone"}, "not reported"),
        ({"service": "s", "instance": "empty"}, "drained"),
        ({"service": "s", "instance": "busy"}, "draining"),
        ({"service": "s", "instance": "gone"}, "not reported"),
    ],
)
def test_only_a_reported_drain_counts_as_drained(spec, progress):
    """A lost VM or an unreported instance may still have requests in flight."""
    found = entry_status(
        a=vm(),
        left=vm(live=False, draining=True),
        leaving=vm(draining=True),
        lost=vm(live=False),
    )
    found["instances"] = {
        "s/empty": {"draining": True, "in_flight": 0},
        "s/busy": {"draining": True, "in_flight": 2},
    }
    assert status.drain_progress(found, spec) == progress
    assert [lag.vm for lag in status.lagging_vms(found, 5)] == ["lost"]


def test_a_damaged_status_is_no_status():
    assert isinstance(status.parse(b'{"vm": 3}'), status.StatusUnavailable)
    assert isinstance(status.parse(b"{"), status.StatusUnavailable)


WRITES = st.lists(
    st.tuples(
        st.sampled_from("uv"),
        st.one_of(st.none(), st.sampled_from([0.1, 0.6])),
        st.integers(0, 6),
        st.integers(0, 5),
    ),
    max_size=12,
)


@given(WRITES)
def test_replay_keeps_its_rules_for_any_sequence(writes):
    """Guards against readers that run different configurations after one record."""
    state, used_record_ids = (
        resources.EMPTY_CONFIGURATION._replace(next_offset=1),
        set(),
    )
    for offset, (name, floor, expected, record_id) in enumerate(writes, start=1):
        spec = None if floor is None else RANK | {"floor": floor, "order": ord(name)}
        record = resources.writes.build(
            "traffic_rank",
            name,
            spec,
            expected_revision=expected,
            operator="ada",
            key_hex=KEY,
            record_id=str(record_id),
            written_at="",
        )
        current_revision = resources.replay.revision_of(state, "traffic_rank", name)
        applied = resources.apply(state, offset, record, KEYS.by_operator)
        if applied.accepted:
            assert current_revision == expected
            assert record_id not in used_record_ids
            assert applied.state.revision == offset
        else:
            assert applied.reason
            assert applied.state.resource_by_key == state.resource_by_key
            assert applied.state.revision == state.revision
        used_record_ids.add(record_id)
        state = applied.state
        floors = [row.spec["floor"] for row in state.resource_by_key.values()]
        assert sum(floors) <= 1.0
