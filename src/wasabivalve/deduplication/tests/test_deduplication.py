"""Guard the reservation of keys by one holder and by two."""

import pytest

from wasabivalve import deduplication, outcomes, routing

WALL = 1_700_000_000_000.0
PLACES = {
    "entry-1": routing.Place("khomas-a", "khomas"),
    "entry-2": routing.Place("khomas-b", "khomas"),
    "entry-3": routing.Place("erongo-a", "erongo"),
}
VIEW = deduplication.View(PLACES, 3)
DONE = deduplication.record_of_outcome(outcomes.Done(201, (("a", "b"),), b"receipt"))
NOT_RUN = deduplication.record_of_outcome(outcomes.NotRun("shed"))


class Holder:
    """Call a table with a clock that the test moves by ticks."""

    def __init__(self, **bounds):
        self.now = 0.0
        self.view = VIEW
        self.table = deduplication.HolderTable("entry-1", **bounds)
        self.table.note_view(VIEW, WALL, 0.0)

    def advance(self, duration_ms):
        end = self.now + duration_ms
        while self.now < end:
            self.now = min(end, self.now + 500.0)
            self.table.note_view(self.view, WALL + self.now, self.now)

    def reserve(self, key, age_ms=0.0, digest="d", vm="entry-2", attempt="1"):
        wall = WALL + self.now
        return self.table.reserve(
            key, digest, wall - age_ms, vm, self.view, wall, self.now, attempt=attempt
        )["outcome"]


def held_keys(count, view=VIEW):
    names = (f"key-{number}" for number in range(10_000))
    held = (key for key in names if "entry-1" in deduplication.holders_of(key, view))
    return [next(held) for _ in range(count)]


KEY = held_keys(1)[0]


def settled(**bounds):
    holder = Holder(**bounds)
    holder.advance(4_000.0)
    return holder


def test_time_of_a_key_is_read_from_uuid_version_7():
    key = "018bcfe5-6800-7cc3-98c4-dc0c0c07398f"
    assert deduplication.time_of_key_ms(key) == 0x018BCFE56800
    for other in ("order 17", "018bcfe5-6800-4cc3-98c4-dc0c0c07398f"):
        assert deduplication.time_of_key_ms(other) is None
    assert deduplication.first_sent_at_ms("order 17", WALL) == WALL - 900_000


def test_key_is_reserved_once_and_its_answer_replayed():
    holder = settled()
    assert holder.reserve(KEY) == "reserved"
    assert holder.reserve(KEY) == "reserved"
    assert holder.reserve(KEY, attempt="2") == "in_progress"
    assert holder.reserve(KEY, digest="other") == "conflict"
    assert not holder.table.record_answer(KEY, "entry-2", "2", DONE)
    assert holder.table.record_answer(KEY, "entry-2", "1", DONE)
    assert holder.reserve(KEY, attempt="2") == "recorded"
    assert holder.reserve(KEY, attempt="1") == "recorded"


def test_replayed_answer_is_the_recorded_one():
    holder = settled()
    holder.reserve(KEY)
    holder.table.record_answer(KEY, "entry-2", "1", DONE)
    wall = WALL + holder.now
    reply = holder.table.reserve(
        KEY, "d", wall, "entry-3", VIEW, wall, holder.now, attempt="2"
    )
    expected = outcomes.Done(201, (("a", "b"),), b"receipt")
    assert deduplication.outcome_of_record(reply["answer"]) == expected


def test_not_run_releases_the_key_for_another_attempt_only():
    """A late message of an ended attempt must not reserve or release again."""
    holder = settled()
    holder.reserve(KEY)
    assert holder.table.record_answer(KEY, "entry-2", "1", NOT_RUN)
    assert holder.reserve(KEY, attempt="1") == "refused"
    assert holder.reserve(KEY, attempt="2") == "reserved"
    assert not holder.table.record_answer(KEY, "entry-2", "1", NOT_RUN)
    assert holder.reserve(KEY, attempt="3") == "in_progress"


def test_key_from_before_a_change_of_holders_is_unknown():
    """Another holder that is gone may have reserved it."""
    holder = settled()
    assert holder.reserve(KEY, age_ms=1_500.0) == "unknown"
    assert holder.reserve(KEY, age_ms=900.0) == "reserved"
    gone = next(vm for vm in deduplication.holders_of(KEY, VIEW) if vm != "entry-1")
    rest = {vm: place for vm, place in PLACES.items() if vm != gone}
    holder.view = deduplication.View(rest, 3)
    holder.advance(500.0)
    holder.view = VIEW
    holder.advance(500.0)
    second = held_keys(2)[1]
    if gone in deduplication.holders_of(second, VIEW):
        assert holder.reserve(second) == "unknown"
    assert holder.reserve(KEY, attempt="1") == "reserved"


def test_pause_of_the_holder_makes_older_keys_unknown():
    """The other VMs may have chosen other holders during the pause."""
    holder = settled()
    holder.now += 1_500.0
    assert holder.reserve(KEY) == "unknown"


def test_minority_and_other_vms_keys_are_refused():
    holder = settled()
    other = next(
        key
        for key in (f"key-{number}" for number in range(1_000))
        if "entry-1" not in deduplication.holders_of(key, VIEW)
    )
    assert holder.reserve(other) == "refused"
    holder.view = deduplication.View({"entry-1": PLACES["entry-1"]}, 3)
    assert holder.reserve(KEY) == "refused"


def test_key_outside_the_window_or_without_time():
    holder = settled()
    assert holder.reserve(KEY, age_ms=902_000.0) == "unknown"
    assert holder.reserve(KEY, age_ms=-2_500.0) == "refused"
    assert holder.reserve(KEY, age_ms=900_000.0) == "unknown"
    holder.advance(903_000.0)
    assert holder.reserve(KEY, age_ms=900_000.0) == "reserved"


def test_removed_record_does_not_come_back_when_the_clock_is_set_back():
    holder = settled()
    holder.reserve(KEY)
    sent_at = WALL + holder.now
    holder.advance(904_000.0)
    assert len(holder.table) == 0
    wall = sent_at + 1_000.0
    holder.table.note_view(VIEW, wall, holder.now)
    holder.now += 3_500.0
    reply = holder.table.reserve(
        KEY, "d", sent_at, "entry-3", VIEW, wall, holder.now, attempt="2"
    )
    assert reply["outcome"] == "unknown"


def test_full_table_refuses_instead_of_forgetting():
    holder = settled(most_records=2, most_answer_bytes=100)
    keys = held_keys(3)
    assert [holder.reserve(key) for key in keys] == ["reserved", "reserved", "refused"]
    large = DONE | {"body": b"x" * 101}
    assert holder.table.record_answer(keys[0], "entry-2", "1", large)
    assert holder.reserve(keys[0], attempt="2") == "unknown"
    assert holder.reserve(keys[1], attempt="1") == "reserved"


def test_holders_are_in_two_data_centres_of_one_region():
    for number in range(50):
        pair = deduplication.holders_of(f"key-{number}", VIEW)
        assert pair is not None
        if "entry-3" not in pair[:1]:
            assert set(pair) == {"entry-1", "entry-2"}
    assert deduplication.holders_of("key", deduplication.View(PLACES, 6)) is None


def reply(outcome):
    message = {"key": KEY, "outcome": outcome}
    return message | {"answer": DONE} if outcome == "recorded" else message


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        ("reserved", "reserved", deduplication.Proceed),
        ("reserved", "refused", outcomes.NotRun),
        ("reserved", None, outcomes.NotRun),
        ("reserved", "recorded", outcomes.Done),
        ("reserved", "in_progress", outcomes.Unknown),
        ("reserved", "unknown", outcomes.Unknown),
        ("unknown", "recorded", outcomes.Done),
        ("refused", "refused", outcomes.Unknown),
        (None, None, outcomes.Unknown),
        ("reserved", "conflict", deduplication.Conflict),
    ],
)
def test_replies_of_two_holders_are_combined(first, second, expected):
    """A key that only one holder reserved must not run."""
    for names in ((first, second), (second, first)):
        result = deduplication.reservation_outcome(
            [reply(name) if name else None for name in names]
        )
        if isinstance(result, deduplication.Answered):
            result = result.outcome
        assert type(result) is expected
