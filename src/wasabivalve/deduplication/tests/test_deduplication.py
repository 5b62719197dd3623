"""Test the reservation of keys by one record holder and by several."""

import pytest

from wasabivalve import deduplication, outcomes, routing

START_WALL_MS = 1_700_000_000_000.0
LOCALITY_BY_VM = {
    "entry-1": routing.Locality("khomas-a", "khomas"),
    "entry-2": routing.Locality("khomas-b", "khomas"),
    "entry-3": routing.Locality("erongo-a", "erongo"),
}
FULL_VIEW = deduplication.ReachableVms(LOCALITY_BY_VM, 3)
DONE_ANSWER = deduplication.answer_of_outcome(
    outcomes.Done(201, (("a", "b"),), b"receipt")
)
NOT_RUN_ANSWER = deduplication.answer_of_outcome(outcomes.NotRun("shed"))


KEY = "order 17"


class RecordHolder:
    """Call an idempotency table with a clock that the test advances."""

    def __init__(self, **limits):
        self.now = 0.0
        self.table = deduplication.IdempotencyTable(**limits)
        self.table.tick(START_WALL_MS)

    def reserve(self, key=KEY, age_ms=0.0, digest="d", vm="entry-2", attempt="1"):
        wall_now_ms = START_WALL_MS + self.now
        return self.table.reserve(
            key,
            digest,
            wall_now_ms - age_ms,
            vm,
            wall_now_ms,
            self.now,
            attempt=attempt,
        )["outcome"]


def make_reserving_holder(**limits):
    holder = RecordHolder(**limits)
    holder.now = 4_000.0
    return holder


def make_history(*views):
    """Return a history that records each view for a number of seconds."""
    history = deduplication.ReachabilityHistory(900_000.0)
    now = 0.0
    for view, seconds in views:
        for _ in range(4 * seconds):
            history.record_view(view, START_WALL_MS + now, now)
            now += 250.0
    return history, now


def view_without(*vms):
    locality_by_vm = {
        vm: locality for vm, locality in LOCALITY_BY_VM.items() if vm not in vms
    }
    return deduplication.ReachableVms(locality_by_vm, 3)


def test_time_of_a_key_is_decoded_from_uuid_version_7():
    key = "018bcfe5-6800-7cc3-98c4-dc0c0c07398f"
    assert deduplication.uuid7_time_ms(key) == 0x018BCFE56800
    for other in ("order 17", "018bcfe5-6800-4cc3-98c4-dc0c0c07398f"):
        assert deduplication.uuid7_time_ms(other) is None


def test_key_is_reserved_once_and_its_answer_replayed():
    holder = make_reserving_holder()
    assert holder.reserve() == "reserved"
    assert holder.reserve() == "reserved"
    assert holder.reserve(attempt="2") == "in_progress"
    assert holder.reserve(digest="other") == "conflict"
    assert not holder.table.record_answer(KEY, "entry-2", "2", DONE_ANSWER)
    assert holder.table.record_answer(KEY, "entry-2", "1", DONE_ANSWER)
    assert holder.reserve(attempt="2") == "recorded"
    assert holder.reserve(attempt="1") == "recorded"


def test_replayed_answer_is_the_recorded_one():
    holder = make_reserving_holder()
    holder.reserve()
    holder.table.record_answer(KEY, "entry-2", "1", DONE_ANSWER)
    wall_now_ms = START_WALL_MS + holder.now
    reply = holder.table.reserve(
        KEY, "d", wall_now_ms, "entry-3", wall_now_ms, holder.now, attempt="2"
    )
    expected = outcomes.Done(201, (("a", "b"),), b"receipt")
    assert deduplication.outcome_of_answer(reply["answer"]) == expected


def test_not_run_releases_the_key_for_another_attempt_only():
    """A delayed message of an ended attempt must not reserve or release the key."""
    holder = make_reserving_holder()
    holder.reserve()
    assert holder.table.record_answer(KEY, "entry-2", "1", NOT_RUN_ANSWER)
    assert holder.reserve(attempt="1") == "refused"
    assert holder.reserve(attempt="2") == "reserved"
    assert not holder.table.record_answer(KEY, "entry-2", "1", NOT_RUN_ANSWER)
    assert holder.reserve(attempt="3") == "in_progress"


def test_key_from_before_the_start_of_a_holder_is_refused():
    """An earlier process of the VM may have reserved it."""
    holder = make_reserving_holder()
    assert holder.reserve(age_ms=1_500.0) == "refused"
    assert holder.reserve(age_ms=900.0) == "reserved"


def test_key_outside_the_window_is_unknown():
    holder = make_reserving_holder()
    holder.now = 1_000_000.0
    assert holder.reserve(age_ms=902_000.0) == "unknown"
    assert holder.reserve(age_ms=-2_500.0) == "refused"
    assert holder.reserve(age_ms=900_000.0) == "reserved"


def test_change_of_view_adds_a_candidate_instead_of_replacing_one():
    """Another VM may have detected the change earlier or later."""
    history, now = make_history((FULL_VIEW, 10), (view_without("entry-3"), 5))
    holder_sets = history.candidate_holder_sets(
        KEY, START_WALL_MS + now, START_WALL_MS + now, now
    )
    vms = frozenset(LOCALITY_BY_VM)
    assert holder_sets == {vms, vms - {"entry-3"}}
    later_history, now = make_history((FULL_VIEW, 10), (view_without("entry-3"), 9))
    assert later_history.candidate_holder_sets(
        KEY, START_WALL_MS + now, START_WALL_MS + now, now
    ) == {vms - {"entry-3"}}


@pytest.mark.parametrize(
    "views",
    [
        ((FULL_VIEW, 7),),
        ((FULL_VIEW, 10), (view_without("entry-2", "entry-3"), 1), (FULL_VIEW, 6)),
    ],
)
def test_short_history_or_lost_majority_gives_no_candidates(views):
    """This VM does not know which holders the others chose meanwhile."""
    history, now = make_history(*views)
    assert not history.candidate_holder_sets(
        KEY, START_WALL_MS + now, START_WALL_MS + now, now
    )


def test_pause_gives_no_candidates_for_keys_of_that_time():
    history, now = make_history((FULL_VIEW, 10))
    assert history.candidate_holder_sets(
        KEY, START_WALL_MS + now, START_WALL_MS + now, now
    )
    now += 1_500.0
    history.record_view(FULL_VIEW, START_WALL_MS + now, now)
    assert not history.candidate_holder_sets(
        KEY, START_WALL_MS + now, START_WALL_MS + now, now
    )


def test_key_of_a_removed_record_stays_unknown_when_the_clock_is_set_back():
    holder = make_reserving_holder()
    holder.reserve()
    first_sent_at_ms = START_WALL_MS + holder.now
    holder.table.tick(first_sent_at_ms + 904_000.0)
    assert len(holder.table) == 0
    reply = holder.table.reserve(
        KEY,
        "d",
        first_sent_at_ms,
        "entry-3",
        first_sent_at_ms + 1_000.0,
        holder.now,
        attempt="2",
    )
    assert reply["outcome"] == "unknown"


def test_full_table_refuses_keys_instead_of_evicting_records():
    holder = make_reserving_holder(max_records=2, max_answer_bytes=100)
    keys = ["a", "b", "c"]
    assert [holder.reserve(key) for key in keys] == ["reserved", "reserved", "refused"]
    large_answer = DONE_ANSWER | {"body": b"x" * 101}
    assert holder.table.record_answer(keys[0], "entry-2", "1", large_answer)
    assert holder.reserve(keys[0], attempt="2") == "unknown"
    assert holder.reserve(keys[1], attempt="1") == "reserved"


def test_holders_are_in_three_data_centres_of_both_regions():
    """The loss of a data centre must leave a majority of each key's holders."""
    locality_by_vm = LOCALITY_BY_VM | {
        "entry-4": routing.Locality("khomas-a", "khomas")
    }
    view = deduplication.ReachableVms(locality_by_vm, 4)
    for number in range(50):
        holders = deduplication.choose_record_holders(f"key-{number}", view)
        assert len({locality_by_vm[vm].data_centre for vm in holders}) == 3
    assert (
        deduplication.choose_record_holders(
            "key", deduplication.ReachableVms(LOCALITY_BY_VM, 6)
        )
        is None
    )


def make_reply(outcome):
    message = {"key": KEY, "outcome": outcome}
    return message | {"answer": DONE_ANSWER} if outcome == "recorded" else message


@pytest.mark.parametrize(
    ("reply_outcomes", "expected"),
    [
        (("reserved", "reserved"), deduplication.Proceed),
        (("reserved", "refused", "reserved"), deduplication.Proceed),
        (("reserved", "refused", "refused"), outcomes.Unknown),
        (("reserved", "recorded"), outcomes.Done),
        (("reserved", "reserved", "in_progress"), outcomes.Unknown),
        (("reserved", "reserved", "unknown"), outcomes.Unknown),
        ((), outcomes.Unknown),
        (("reserved", "reserved", "conflict"), deduplication.KeyConflict),
    ],
)
def test_replies_of_the_holders_are_combined(reply_outcomes, expected):
    """A key that only a minority reserved must not run."""
    vms = sorted(LOCALITY_BY_VM)
    replies = {
        vm: make_reply(outcome)
        for vm, outcome in zip(vms, reply_outcomes, strict=False)
    }
    result = deduplication.decide_reservation(
        [frozenset(vms)], replies, no_more_replies=True
    )
    if isinstance(result, deduplication.RespondWithoutRun):
        result = result.outcome
    assert type(result) is expected


def test_every_candidate_needs_a_majority():
    """A majority of one holder set need not intersect a majority of another."""
    replies = {vm: make_reply("reserved") for vm in ("a", "b")}
    candidates = [frozenset("abc"), frozenset("acd")]
    assert (
        deduplication.decide_reservation(candidates, replies, no_more_replies=False)
        is None
    )
    replies["c"] = make_reply("reserved")
    result = deduplication.decide_reservation(
        candidates, replies, no_more_replies=False
    )
    assert isinstance(result, deduplication.Proceed)
