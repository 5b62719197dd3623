"""Test slots, leases, "not run" responses and recorded runs of the upstream."""

import concurrent.futures
import contextlib
import itertools
import json
import time

import pytest
import urllib3

from wasabivalve import ownership, stand_ins
from wasabivalve.stand_ins import request_execution

WAIT_S = 20.0
LONG_MS = 600_000.0
TOKEN = {"term": 3, "position": 0, "step": 1}
REQUEST_IDS = itertools.count()


@contextlib.contextmanager
def running(clock=time.monotonic, **options):
    chosen = {"name": "s1", "service": "slotbook", "service_time_ms": 0.0} | options
    upstream = stand_ins.Upstream(stand_ins.UpstreamOptions(**chosen), clock)
    upstream.start()
    try:
        yield upstream
    finally:
        upstream.close(grace_ms=0.0)


def call(upstream, method="POST", path="/work", body=b"", timeout=WAIT_S, **headers):
    headers_by_name = {
        name.replace("_", "-").title(): text for name, text in headers.items()
    }
    with urllib3.PoolManager(retries=False) as pool:
        return pool.request(
            method,
            upstream.url + path,
            body=body,
            headers=headers_by_name,
            timeout=timeout,
        )


def post_json(upstream, path, document):
    return call(upstream, path=path, body=json.dumps(document).encode())


def wait_for(condition):
    """Poll until another thread makes the condition true."""
    deadline_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.002)


def read_load(upstream):
    document = call(upstream, "GET", "/load").json()
    return document["running"], document["waiting"]


def is_not_run_response(response, status):
    return (response.status, response.headers.get("Wasabivalve-Run")) == (status, "no")


def send_ownership_command(
    upstream, action, stamp, token=TOKEN, ranges=((0, ownership.POSITION_COUNT),)
):
    command = {
        "action": action,
        "shard": "slotbook/0",
        "token": token,
        "stamp": stamp,
        "ranges": [{"start": start, "end": end} for start, end in ranges],
    }
    return post_json(upstream, "/ownership", command).json()


def test_run_is_answered_and_recorded(tmp_path):
    """A caller must not get the response to another request."""
    path = tmp_path / "runs"
    with running(history_file=str(path)) as upstream:
        response = call(
            upstream,
            body=b"x",
            wasabivalve_request_id="r1",
            idempotency_key="i1",
            wasabivalve_key="k1",
        )
        assert response.headers["Wasabivalve-Request-Id"] == "r1"
        assert response.json()["request_id"] == "r1"
        [run] = call(upstream, "GET", "/history").json()["runs"]
        assert stand_ins.Run(**run) == upstream.runs()[0]
        assert upstream.runs()[0][:4] == ("s1", "r1", "i1", "k1")
        assert upstream.runs()[0].committed
        assert json.loads(path.read_text()) == run


def test_excess_is_refused_and_cancelled_work_has_no_effect():
    """Excess requests must not wait without bound, and "not run" must be true."""
    with (
        running(slots=1, backlog=1, service_time_ms=LONG_MS) as upstream,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        first = pool.submit(call, upstream, wasabivalve_request_id="r1")
        wait_for(lambda: read_load(upstream) == (1, 0))
        second = pool.submit(call, upstream, wasabivalve_request_id="r2")
        wait_for(lambda: read_load(upstream) == (1, 1))
        assert is_not_run_response(call(upstream), 503)
        for name, sent, status in (("r2", second, 503), ("r1", first, 409)):
            response = call(upstream, path=f"/cancel/{name}")
            assert response.json() == {"cancelled": True}
            assert is_not_run_response(sent.result(), status)
        assert not any(run.committed for run in upstream.runs())
        assert call(upstream, path="/cancel/r1").json() == {"cancelled": False}


def test_deadline_ends_work_without_effect():
    """A request whose caller no longer waits must not occupy a slot."""
    with running(service_time_ms=LONG_MS, slots=1) as upstream:
        response = call(upstream, wasabivalve_deadline_ms="20")
        assert is_not_run_response(response, 503)
        assert [run.committed for run in upstream.runs()] == [False]
        assert read_load(upstream) == (0, 0)


@pytest.mark.parametrize(
    "headers",
    [{"wasabivalve_deadline_ms": "soon"}, {"wasabivalve_token": "1/2"}],
)
def test_malformed_headers_are_reported(headers):
    """A request must not run without its deadline or token."""
    with running() as upstream:
        response = call(upstream, **headers)
        assert is_not_run_response(response, 400)
        assert next(iter(headers.values())) in response.json()["error"]
        assert not upstream.runs()


def test_lease_is_checked_at_start_and_at_commit():
    """A server whose lease expired during a run must not commit."""
    now = [1000.0]
    with (
        running(lambda: now[0], divided_by_key=True, service_time_ms=5.0) as upstream,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        keyed_headers = {"wasabivalve_key": "k1", "wasabivalve_token": "3/0/1"}
        assert is_not_run_response(call(upstream, **keyed_headers), 421)
        stamp = send_ownership_command(upstream, "fence", 0.0)["stamp"]
        assert send_ownership_command(upstream, "grant", stamp)["held"]
        assert is_not_run_response(call(upstream, wasabivalve_token="3/0/1"), 421)
        stale_headers = {**keyed_headers, "wasabivalve_token": "2/0/1"}
        assert is_not_run_response(call(upstream, **stale_headers), 421)
        late_response = pool.submit(call, upstream, **keyed_headers)
        wait_for(lambda: read_load(upstream) == (1, 0))
        now[0] += 0.8
        assert is_not_run_response(late_response.result(), 409)
        assert [run.committed for run in upstream.runs()] == [False]


def test_granted_key_is_served_and_lower_tokens_are_refused():
    """A controller of an older term must not revoke ranges."""
    with running(divided_by_key=True) as upstream:
        stamp = send_ownership_command(upstream, "fence", 0.0)["stamp"]
        send_ownership_command(upstream, "grant", stamp)
        keyed_headers = {"wasabivalve_key": "k1", "wasabivalve_token": "3/0/1"}
        assert call(upstream, **keyed_headers).status == 200
        older_response = send_ownership_command(
            upstream, "revoke", stamp, {**TOKEN, "term": 2}
        )
        assert not older_response["accepted"]
        assert older_response["highest_token"] == TOKEN


def test_frozen_server_does_not_commit_after_its_lease():
    """A resumed server must detect that its lease expired while it was frozen."""
    now = [1000.0]
    with (
        running(lambda: now[0], divided_by_key=True, service_time_ms=5.0) as upstream,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        send_ownership_command(
            upstream, "grant", send_ownership_command(upstream, "fence", 0.0)["stamp"]
        )
        keyed_headers = {"wasabivalve_key": "k1", "wasabivalve_token": "3/0/1"}
        sent = pool.submit(call, upstream, **keyed_headers)
        wait_for(lambda: read_load(upstream) == (1, 0))
        upstream.freeze(True)
        with pytest.raises(urllib3.exceptions.ReadTimeoutError):
            call(upstream, "GET", "/health", timeout=0.1)
        now[0] += 0.8
        upstream.freeze(False)
        assert is_not_run_response(sent.result(), 409)


def test_drain_refuses_new_requests_and_finishes_running_ones():
    """A planned stop must not abort running requests."""
    now = [1000.0]
    with (
        running(lambda: now[0], slots=1, service_time_ms=5.0) as upstream,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        first = pool.submit(call, upstream)
        wait_for(lambda: read_load(upstream) == (1, 0))
        second = pool.submit(call, upstream)
        wait_for(lambda: read_load(upstream) == (1, 1))
        assert post_json(upstream, "/drain", {}).json()["draining"]
        assert call(upstream, "GET", "/health").json()["status"] == "draining"
        assert is_not_run_response(second.result(), 503)
        assert is_not_run_response(call(upstream), 503)
        now[0] += 1.0
        assert first.result().status == 200


def test_close_lets_running_requests_finish():
    """A graceful stop must not abort running requests."""
    now = [1000.0]
    with (
        running(lambda: now[0], service_time_ms=5.0) as upstream,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        sent = pool.submit(call, upstream)
        wait_for(lambda: read_load(upstream) == (1, 0))
        close = pool.submit(upstream.close, WAIT_S * 1000)
        with pytest.raises(concurrent.futures.TimeoutError):
            close.result(timeout=0.05)
        now[0] += 1.0
        assert sent.result().status == 200
        close.result()


def test_poison_request_crashes_and_the_server_returns():
    """A crash must close every connection, drop all leases and commit nothing."""
    with (
        running(service_time_ms=LONG_MS) as upstream,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        upstream.set_faults(poison_marker="poison", crash_ms=LONG_MS)
        other = pool.submit(call, upstream)
        wait_for(lambda: read_load(upstream) == (1, 0))
        with pytest.raises(urllib3.exceptions.ProtocolError):
            call(upstream, body=b"a poison pill")
        with pytest.raises(urllib3.exceptions.ProtocolError):
            other.result()
        with pytest.raises(urllib3.exceptions.NewConnectionError):
            call(upstream)
        upstream.start()
        wait_for(lambda: read_load(upstream) == (0, 0))
        assert [run.committed for run in upstream.runs()] == [False, False]


def test_lost_answer_follows_a_committed_run():
    """A lost response must belong to a run that committed."""
    with running() as upstream:
        upstream.set_faults(lost_answers=1)
        with pytest.raises(urllib3.exceptions.ProtocolError):
            call(upstream)
        assert [run.committed for run in upstream.runs()] == [True]
        assert call(upstream).status == 200


def test_truncated_body_is_detected():
    """A caller must not accept half a body as complete."""
    with running(response_bytes=5000) as upstream:
        upstream.set_faults(cut_bodies=1)
        with pytest.raises(urllib3.exceptions.ProtocolError):
            call(upstream)
        assert len(call(upstream).data) >= 4900


def test_open_connections_go_silent_while_new_ones_work():
    """Silencing the open connections must not freeze the whole server."""
    with running() as upstream:
        pool = urllib3.connection_from_url(upstream.url, maxsize=1, retries=False)
        assert pool.request("GET", "/health").status == 200
        assert upstream.silence_connections() == 1
        with pytest.raises(urllib3.exceptions.ReadTimeoutError):
            pool.request("GET", "/health", timeout=0.1)
        assert pool.request("GET", "/health").status == 200
        pool.close()


def test_reported_load_can_be_delayed_or_replaced():
    """Tests of routers need reports that are outdated or wrong."""
    with (
        running(service_time_ms=LONG_MS) as upstream,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        sent = pool.submit(call, upstream, wasabivalve_request_id="r1")
        wait_for(lambda: read_load(upstream) == (1, 0))
        upstream.set_faults(load_lag_ms=LONG_MS)
        assert read_load(upstream) == (0, 0)
        upstream.set_faults(reported_load=7, load_lag_ms=0)
        assert read_load(upstream) == (7, 0)
        call(upstream, path="/cancel/r1")
        sent.result()


def test_faults_over_http():
    """Other processes can set faults only over HTTP."""
    with running() as upstream:
        assert post_json(upstream, "/faults", {"slow_factor": 2}).status == 200
        assert upstream.faults.slow_factor == 2
        for wrong in ({"slow_factor": 0}, {"freeze_for_ms": "x"}, {"frozen": 1}, [1]):
            assert post_json(upstream, "/faults", wrong).status == 400
        post_json(upstream, "/faults", {"crash_for_ms": 1})
        wait_for(lambda: read_history(upstream)["crashes"] == 1)
        post_json(upstream, "/faults", {"freeze_for_ms": 50})
        assert call(upstream).status == 200


def read_history(upstream):
    try:
        return call(upstream, "GET", "/history").json()
    except urllib3.exceptions.HTTPError:
        return {"crashes": None}


def service_times(*at_ms, **changes):
    now = [0.0]
    options = stand_ins.UpstreamOptions(
        "s1", "slotbook", service_time_ms=10.0, cold_start_ms=1000.0, **changes
    )
    worker = request_execution.RequestExecutor(options, lambda: now[0])
    worker.start()
    drawn = []
    for now[0] in at_ms:
        drawn.append(worker.draw_service_time_ms())
    return drawn


def test_service_time_falls_during_the_cold_start():
    """A newly started server must be slower than a warm one."""
    assert service_times(0.0, 500.0, 1000.0) == pytest.approx([30.0, 20.0, 10.0])


def test_service_times_follow_the_seed():
    """Runs with the same seed must be comparable."""
    first, again, other = (
        service_times(0.0, 1.0, service_time_spread=0.5, seed=seed)
        for seed in (4, 4, 5)
    )
    assert first == again != other
