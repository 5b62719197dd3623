"""Test appends with lost responses, duplicate copies and long outages."""

import random

import pytest

from wasabivalve import platform_log

RECORDS = ({"record_id": "a", "n": 1}, {"record_id": "b", "n": 2})


class FakeLog:
    """Store records in a list; each append follows the next step of a script."""

    def __init__(self, *script):
        self.script = list(script)
        self.stored_records = [{"record_id": "older"}]
        self.delayed_records = []
        self.time_s = 0.0
        self.read_outcomes = []

    def append(self, stream, records):
        step = self.script.pop(0) if self.script else "ok"
        if step == "refuse":
            return platform_log.LogUnavailable("connection refused")
        if step == "reject":
            return platform_log.LogUnavailable("status 400: bad", rejected=True)
        if step == "delay":
            self.delayed_records += records
            return platform_log.AppendUnknown("timeout")
        if step == "ok late copy first":
            self.stored_records += self.delayed_records
        first = len(self.stored_records)
        if step != "lose before effect":
            self.stored_records += records
        if step in ("lose before effect", "lose after effect"):
            return platform_log.AppendUnknown("timeout")
        return platform_log.Appended(first)

    def read(self, stream, offset, wait_ms=0.0, limit=1000):
        if self.read_outcomes:
            return self.read_outcomes.pop(0)
        records = tuple(
            platform_log.LoggedRecord(offset + index, record)
            for index, record in enumerate(self.stored_records[offset : offset + 1])
        )
        return platform_log.ReadBatch(records, offset + len(records), 0)

    def sleep(self, seconds):
        assert seconds >= 0
        self.time_s += max(seconds, 0.001)


def append(log, records=RECORDS):
    return platform_log.append_and_confirm(
        log,
        "control",
        records,
        read_from_offset=1,
        timeout_ms=1000.0,
        clock=lambda: log.time_s,
        sleep=log.sleep,
        generator=random.Random(5),
    )


@pytest.mark.parametrize(
    "script", [[], ["refuse", "refuse"], ["lose after effect"], ["lose before effect"]]
)
def test_append_ends_with_one_copy(script):
    """Guards against a second copy of the batch and against a wrong offset."""
    log = FakeLog(*script)
    assert append(log) == platform_log.AppendConfirmed({"a": 1, "b": 2})
    assert log.stored_records[1:] == list(RECORDS)


def test_first_copy_counts():
    """A delayed first copy precedes the acknowledged one, and readers apply it."""
    log = FakeLog("delay", "ok late copy first")
    assert append(log) == platform_log.AppendConfirmed({"a": 1, "b": 2})
    assert len(log.stored_records) == 5


def test_outage_until_the_deadline_is_reported_as_failure():
    """Guards against retries without end and against a false unknown outcome."""
    log = FakeLog(*["refuse"] * 1000)
    assert append(log) == platform_log.AppendFailed("connection refused")
    assert 1.0 <= log.time_s < 1.1


def test_rejected_records_are_not_sent_again():
    """Guards against resending a rejected batch until the deadline."""
    log = FakeLog("reject", "reject")
    assert append(log) == platform_log.AppendFailed("status 400: bad")
    assert log.script == ["reject"]


def test_lost_response_followed_by_outage_stays_unresolved():
    """Guards against reporting an append as failed that may still take effect."""
    log = FakeLog("lose before effect", *["refuse"] * 1000)
    assert append(log) == platform_log.AppendUnresolved("connection refused")


def test_lost_response_with_unreadable_log_stays_unresolved():
    """Guards against resending without reading back, which gives a wrong offset."""
    log = FakeLog("lose after effect")
    log.read_outcomes = [platform_log.LogUnavailable("status 503")] * 1000
    assert append(log) == platform_log.AppendUnresolved("status 503")
    assert len(log.stored_records) == 3


def test_gap_leaves_the_outcome_unresolved():
    """Retention may have removed the records that are being searched."""
    log = FakeLog("lose after effect")
    log.read_outcomes = [platform_log.Gap(9)]
    assert isinstance(append(log), platform_log.AppendUnresolved)


@pytest.mark.parametrize(
    "records", [(), ({"n": 1},), ({"record_id": "a"}, {"record_id": "a"})]
)
def test_records_without_unique_ids_are_refused(records):
    """Such records cannot be identified when they are read back."""
    with pytest.raises(ValueError):
        append(FakeLog(), records)
