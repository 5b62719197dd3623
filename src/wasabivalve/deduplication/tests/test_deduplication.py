"""Guard the reservation of keys by one holder and by two."""

import pytest

from wasabivalve import deduplication, outcomes, routing

WALL = 1_700_000_000_000.0
PLACES = {
    "entry-1": routing.Locality("khomas-a", "khomas"),
    "entry-2": routing.Locality("khomas-b", "khomas"),
    "entry-3": routing.Locality("erongo-a", "erongo"),
}
VIEW = deduplication.ReachableVms(PLACES, 3)
DONE = deduplication.answer_of_outcome(outcomes.Done(201, (("a", "b"),), b"receipt"))
NOT_RUN = deduplication.answer_of_outcome(outcomes.NotRun("shed"))


KEY = "order 17"


class Holder:
    """Call a table with a clock that the test moves."""

    def __init__(self, **bounds):
        self.now = 0.0
        self.table = deduplication.IdempotencyTable(**bounds)
        self.table.tick(WALL)

    def reserve(self, key=KEY, age_ms=0.0, digest="d", vm="entry-2", attempt="1"):
        wall = WALL + self.now
        return self.table.reserve(
            key, digest, wall - age_ms, vm, wall, self.now, attempt=attempt
        )["outcome"]


def settled(**bounds):
    holder = Holder(**bounds)
    holder.now = 4_000.0
    return holder


def make_history(*views):
    """Return a history that notes each view for a number of seconds."""
    history = deduplication.ReachabilityHistory(900_000.0)
    now = 0.0
    for view, seconds in views:
        for _ in range(4 * seconds):
            history.record_view(view, WALL + now, now)
            now += 250.0
    return history, now


def without(*names):
    places = {vm: place for vm, place in PLACES.items() if vm not in names}
    return deduplication.ReachableVms(places, 3)


def test_time_of_a_key_is_read_from_uuid_version_7():
    key = "018bcfe5-6800-7cc3-98c4-dc0c0c07398f"
    assert deduplication.uuid7_time_ms(key) == 0x018BCFE56800
    for other in ("order 17", "018bcfe5-6800-4cc3-98c4-dc0c0c07398f"):
        assert deduplication.uuid7_time_ms(other) is None


def test_key_is_reserved_once_and_its_answer_replayed():
    holder = settled()
    assert holder.reserve() == "reserved"
    assert holder.reserve() == "reserved"
    assert holder.reserve(attempt="2") == "in_progress"
    assert holder.reserve(digest="other") == "conflict"
    assert not holder.table.record_answer(KEY, "entry-2", "2", DONE)
    assert holder.table.record_answer(KEY, "entry-2", "1", DONE)
    assert holder.reserve(attempt="2") == "recorded"
    assert holder.reserve(attempt="1") == "recorded"


def test_replayed_answer_is_the_recorded_one():
    holder = settled()
    holder.reserve()
    holder.table.record_answer(KEY, "entry-2", "1", DONE)
    wall = WALL + holder.now
    reply = holder.table.reserve(
        KEY, "d", wall, "entry-3", wall, holder.now, attempt="2"
    )
    expected = outcomes.Done(201, (("a", "b"),), b"receipt")
    assert deduplication.outcome_of_answer(reply["answer"]) == expected


def test_not_run_releases_the_key_for_another_attempt_only():
    """A late message of an ended attempt must not reserve or release again."""
    holder = settled()
    holder.reserve()
    assert holder.table.record_answer(KEY, "entry-2", "1", NOT_RUN)
    assert holder.reserve(attempt="1") == "refused"
    assert holder.reserve(attempt="2") == "reserved"
    assert not holder.table.record_answer(KEY, "entry-2", "1", NOT_RUN)
    assert holder.reserve(attempt="3") == "in_progress"


def test_key_from_before_the_start_of_a_holder_gets_no_vote():
    """An earlier process of the VM may have reserved it."""
    holder = settled()
    assert holder.reserve(age_ms=1_500.0) == "refused"
    assert holder.reserve(age_ms=900.0) == "reserved"


def test_key_outside_the_window_is_unknown():
    holder = settled()
    holder.now = 1_000_000.0
    assert holder.reserve(age_ms=902_000.0) == "unknown"
    assert holder.reserve(age_ms=-2_500.0) == "refused"
    assert holder.reserve(age_ms=900_000.0) == "reserved"


def test_a_change_of_view_adds_a_candidate_instead_of_replacing_one():
    """Another VM may have seen the change earlier or later."""
    history, now = make_history((VIEW, 10), (without("entry-3"), 5))
    found = history.candidate_holder_sets(KEY, WALL + now, WALL + now, now)
    names = frozenset(PLACES)
    assert found == {names, names - {"entry-3"}}
    later, now = make_history((VIEW, 10), (without("entry-3"), 9))
    assert later.candidate_holder_sets(KEY, WALL + now, WALL + now, now) == {
        names - {"entry-3"}
    }


@pytest.mark.parametrize(
    "views",
    [
        ((VIEW, 7),),
        ((VIEW, 10), (without("entry-2", "entry-3"), 1), (VIEW, 6)),
    ],
)
def test_short_history_or_lost_majority_gives_no_candidates(views):
    """This VM does not know which holders the others chose meanwhile."""
    history, now = make_history(*views)
    assert not history.candidate_holder_sets(KEY, WALL + now, WALL + now, now)


def test_a_pause_gives_no_candidates_for_keys_of_that_time():
    history, now = make_history((VIEW, 10))
    assert history.candidate_holder_sets(KEY, WALL + now, WALL + now, now)
    now += 1_500.0
    history.record_view(VIEW, WALL + now, now)
    assert not history.candidate_holder_sets(KEY, WALL + now, WALL + now, now)


def test_removed_record_does_not_come_back_when_the_clock_is_set_back():
    holder = settled()
    holder.reserve()
    sent_at = WALL + holder.now
    holder.table.tick(sent_at + 904_000.0)
    assert len(holder.table) == 0
    reply = holder.table.reserve(
        KEY, "d", sent_at, "entry-3", sent_at + 1_000.0, holder.now, attempt="2"
    )
    assert reply["outcome"] == "unknown"


def test_full_table_refuses_instead_of_forgetting():
    holder = settled(max_records=2, max_answer_bytes=100)
    keys = ["a", "b", "c"]
    assert [holder.reserve(key) for key in keys] == ["reserved", "reserved", "refused"]
    large = DONE | {"body": b"x" * 101}
    assert holder.table.record_answer(keys[0], "entry-2", "1", large)
    assert holder.reserve(keys[0], attempt="2") == "unknown"
    assert holder.reserve(keys[1], attempt="1") == "reserved"


def test_holders_are_in_three_data_centres_of_both_regions():
    """The loss of a data centre must leave a majority of each key's holders."""
    places = PLACES | {"entry-4": routing.Locality("khomas-a", "khomas")}
    view = deduplication.ReachableVms(places, 4)
    for number in range(50):
        found = deduplication.choose_record_holders(f"key-{number}", view)
        assert len({places[name].data_centre for name in found}) == 3
    assert (
        deduplication.choose_record_holders(
            "key", deduplication.ReachableVms(PLACES, 6)
        )
        is None
    )


def reply(outcome):
    message = {"key": KEY, "outcome": outcome}
    return message | {"answer": DONE} if outcome == "recorded" else message


@pytest.mark.parametrize(
    ("found", "expected"),
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
def test_replies_of_the_holders_are_combined(found, expected):
    """A key that only a minority reserved must not run."""
    names = sorted(PLACES)
    replies = {
        name: reply(outcome) for name, outcome in zip(names, found, strict=False)
    }
    result = deduplication.decide_reservation(
        [frozenset(names)], replies, no_more_replies=True
    )
    if isinstance(result, deduplication.RespondWithoutRun):
        result = result.outcome
    assert type(result) is expected


def test_every_candidate_needs_a_majority():
    """A majority of one set need not meet a majority of another."""
    replies = {name: reply("reserved") for name in ("a", "b")}
    candidates = [frozenset("abc"), frozenset("acd")]
    assert (
        deduplication.decide_reservation(candidates, replies, no_more_replies=False)
        is None
    )
    replies["c"] = reply("reserved")
    result = deduplication.decide_reservation(
        candidates, replies, no_more_replies=False
    )
    assert isinstance(result, deduplication.Proceed)
