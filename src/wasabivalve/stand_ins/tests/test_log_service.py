"""Test the protocol, retention and faults of the simulated log service."""

import concurrent.futures
import contextlib
import json

import pytest
import urllib3

from wasabivalve import platform_log, stand_ins
from wasabivalve.stand_ins import log_service


@contextlib.contextmanager
def running(timeout_ms=5000.0, **options):
    service = stand_ins.LogService(**options)
    service.start()
    client = platform_log.LogClient(service.url, timeout_ms)
    try:
        yield service, client
    finally:
        client.close()
        service.close()


def test_append_and_read():
    """Readers must see the same offsets as the appender."""
    with running() as (_, client):
        assert client.append("control", [{"n": 1}, {"n": 2}]).first_offset == 0
        assert client.append("control", [{"n": 2**64}]).first_offset == 2
        batch = client.read("control", 1)
        assert batch.records == ((1, {"n": 2}), (2, {"n": 2**64}))
        assert client.read("control", 0, limit=1).next_offset == 1
        assert client.read("other", 0) == platform_log.ReadBatch((), 0, 0)


def test_long_poll_ends_with_the_append():
    """A reader must get a new record before its long poll times out."""
    with running() as (_, client), concurrent.futures.ThreadPoolExecutor() as pool:
        reads = [pool.submit(client.read, "control", 0, 30_000.0) for _ in range(4)]
        client.append("control", [{"n": 1}])
        for read in reads:
            assert read.result(timeout=20).next_offset == 1


def test_long_polls_leave_threads_for_appends():
    """Waiting readers must not occupy all threads and block appends."""
    poll_count = log_service.THREAD_COUNT + 20
    with (
        running() as (_, client),
        concurrent.futures.ThreadPoolExecutor(poll_count) as pool,
    ):
        reads = [
            pool.submit(client.read, "control", 0, 30_000.0) for _ in range(poll_count)
        ]
        # Polls above the limit return at once; all others are then waiting.
        excess_count = poll_count - (
            log_service.THREAD_COUNT - log_service.RESERVED_THREADS
        )
        ended = concurrent.futures.as_completed(reads, timeout=20)
        assert all(next(ended).result().records == () for _ in range(excess_count))
        assert isinstance(client.append("control", [{"n": 1}]), platform_log.Appended)
        assert all(read.result(timeout=20) for read in reads)


def test_retention_leaves_a_gap():
    """A reader that fell behind must not miss records unnoticed."""
    now = [0.0]
    retention = stand_ins.Retention(max_records=2, max_age_ms=1000.0)
    with running(retention=retention, clock=lambda: now[0]) as (_, client):
        client.append("control", [{"n": n} for n in range(5)])
        assert client.read("control", 2) == platform_log.Gap(3)
        now[0] = 1.5
        assert client.read("control", 3) == platform_log.Gap(5)
        assert client.read("control", 5).oldest_offset == 5


def test_outage_refuses_and_has_no_effect():
    """A client relies on a refused append having had no effect."""
    with running() as (service, client):
        service.set_faults(outage="refuse")
        assert isinstance(client.append("control", [{}]), platform_log.LogUnavailable)
        assert isinstance(client.read("control", 0), platform_log.LogUnavailable)
        service.set_faults(outage="none")
        assert client.append("control", [{}]).first_offset == 0


def test_hanging_outage_is_ended_over_http():
    """A separate process must be able to end an outage that it started."""
    with running(timeout_ms=200.0) as (service, client):
        service.set_faults(outage="hang")
        for _ in range(3):
            assert isinstance(
                client.append("control", [{}]), platform_log.AppendUnknown
            )
        response = urllib3.request(
            "POST", f"{service.url}/faults", json={"outage": "none"}, retries=False
        )
        assert response.json()["outage"] == "none"
        assert client.append("control", [{}]).first_offset == 0


def test_lost_answer_is_resolved_to_one_copy():
    """An append whose response was lost took effect and must not be repeated."""
    with running() as (service, client):
        service.set_faults(lost_answers=1)
        result = platform_log.append_and_confirm(
            client,
            "control",
            [{"record_id": "a"}],
            read_from_offset=0,
            timeout_ms=60_000,
        )
        assert result == platform_log.AppendConfirmed({"a": 0})
        assert service.records("control") == ({"record_id": "a"},)


def test_racing_appends_with_lost_answers():
    """No appender may get a wrong offset or lose its record."""
    record_ids = [f"{writer}-{index}" for writer in range(8) for index in range(20)]

    def append(record_id):
        return platform_log.append_and_confirm(
            client,
            "control",
            [{"record_id": record_id}],
            read_from_offset=0,
            timeout_ms=60_000,
        )

    with (
        running(seed=3) as (service, client),
        concurrent.futures.ThreadPoolExecutor(8) as pool,
    ):
        service.set_faults(lost_answer_share=0.3)
        results = list(pool.map(append, record_ids))
        stored_ids = [record["record_id"] for record in service.records("control")]
    assert [result.offset_by_record_id for result in results] == [
        {record_id: stored_ids.index(record_id)} for record_id in record_ids
    ]


def test_close_ends_waiting_requests():
    """A stop must not wait until the longest poll times out."""
    with (
        running() as (service, client),
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        read = pool.submit(client.read, "control", 0, 30_000.0)
        service.close()
        assert read.result(timeout=20)


@pytest.mark.parametrize(
    "changes", [{"outage": "maybe"}, {"append_latency_ms": -1}, {"unknown": 1}, []]
)
def test_invalid_faults_are_rejected(changes):
    """A misspelt fault would let a test run without the intended failure."""
    with running() as (service, _):
        response = urllib3.request(
            "POST", f"{service.url}/faults", body=json.dumps(changes), retries=False
        )
        assert response.status == 400
        assert response.json()["error"]
