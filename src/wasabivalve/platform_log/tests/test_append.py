"""Guard appends against lost responses, duplicates and endless retries."""

import random

import pytest

from wasabivalve import platform_log

RECORDS = ({"record_id": "a", "n": 1}, {"record_id": "b", "n": 2})


class FakeLog:
    """Keep records in a list; each append follows the next step of a script."""

    def __init__(self, *script):
        self.script = list(script)
        self.stored = [{"record_id": "older"}]
        self.delayed = []
        self.now = 0.0
        self.read_outcomes = []

    def append(self, stream, records):
        step = self.script.pop(0) if self.script else "ok"
        if step == "refuse":
            return platform_log.LogUnavailable("connection refused")
        if step == "reject":
            return platform_log.LogUnavailable("status 400: bad", rejected=True)
        if step == "delay":
            self.delayed += records
            return platform_log.AppendUnknown("timeout")
        if step == "ok late copy first":
            self.stored += self.delayed
        first = len(self.stored)
        if step != "lose before effect":
            self.stored += records
        if step in ("lose before effect", "lose after effect"):
            return platform_log.AppendUnknown("timeout")
        return platform_log.Appended(first)

    def read(self, stream, offset, wait_ms=0.0, limit=1000):
        if self.read_outcomes:
            return self.read_outcomes.pop(0)
        records = tuple(
            platform_log.LoggedRecord(offset + index, record)
            for index, record in enumerate(self.stored[offset : offset + 1])
        )
        return platform_log.ReadBatch(records, offset + len(records), 0)

    def sleep(self, seconds):
        assert seconds >= 0
        self.now += max(seconds, 0.001)


def append(log, records=RECORDS):
    return platform_log.append_and_confirm(
        log,
        "control",
        records,
        read_from_offset=1,
        timeout_ms=1000.0,
        clock=lambda: log.now,
        sleep=log.sleep,
        generator=random.Random(5),
    )


@pytest.mark.parametrize(
    "script", [[], ["refuse", "refuse"], ["lose after effect"], ["lose before effect"]]
)
def test_append_ends_with_one_copy(script):
    """A copy too many, or a false offset, would result from guessing."""
    log = FakeLog(*script)
    assert append(log) == platform_log.AppendConfirmed({"a": 1, "b": 2})
    assert log.stored[1:] == list(RECORDS)


def test_first_copy_counts():
    """A delayed first copy takes effect before the one that was acknowledged."""
    log = FakeLog("delay", "ok late copy first")
    assert append(log) == platform_log.AppendConfirmed({"a": 1, "b": 2})
    assert len(log.stored) == 5


def test_outage_until_the_deadline_is_a_certain_failure():
    """An endless retry, or an unknown outcome where none is, would result."""
    log = FakeLog(*["refuse"] * 1000)
    assert append(log) == platform_log.AppendFailed("connection refused")
    assert 1.0 <= log.now < 1.1


def test_rejected_records_are_not_sent_again():
    """A batch that the service refuses for good would be sent for seconds."""
    log = FakeLog("reject", "reject")
    assert append(log) == platform_log.AppendFailed("status 400: bad")
    assert log.script == ["reject"]


def test_lost_response_followed_by_outage_stays_unresolved():
    """An append that may still take effect must not count as failed."""
    log = FakeLog("lose before effect", *["refuse"] * 1000)
    assert append(log) == platform_log.AppendUnresolved("connection refused")


def test_lost_response_with_unreadable_log_stays_unresolved():
    """Sending again without reading back would answer with a false offset."""
    log = FakeLog("lose after effect")
    log.read_outcomes = [platform_log.LogUnavailable("status 503")] * 1000
    assert append(log) == platform_log.AppendUnresolved("status 503")
    assert len(log.stored) == 3


def test_gap_leaves_the_outcome_open():
    """Retention may have removed the records that the read looks for."""
    log = FakeLog("lose after effect")
    log.read_outcomes = [platform_log.Gap(9)]
    assert isinstance(append(log), platform_log.AppendUnresolved)


@pytest.mark.parametrize(
    "records", [(), ({"n": 1},), ({"record_id": "a"}, {"record_id": "a"})]
)
def test_records_without_unique_ids_are_refused(records):
    """They could not be told apart when read back."""
    with pytest.raises(ValueError):
        append(FakeLog(), records)
