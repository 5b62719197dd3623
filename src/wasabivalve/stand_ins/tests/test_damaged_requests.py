"""Send malformed requests to the stand-ins: they report errors and keep serving."""

import json
import socket
import urllib.parse

import hypothesis
import pytest
import urllib3
from hypothesis import strategies

from wasabivalve import stand_ins

WAIT_S = 20.0
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda children: (
        strategies.lists(children)
        | strategies.dictionaries(strategies.text(), children)
    ),
    max_leaves=8,
)
APPEND_BODIES = strategies.one_of(
    strategies.binary(),
    JSON_VALUES.map(lambda value: json.dumps(value).encode()),
    JSON_VALUES.map(lambda value: json.dumps({"records": value}).encode()),
    strategies.integers(1, 200_000).map(lambda depth: b'{"records":' + b"[" * depth),
)
NUMBERS = strategies.one_of(
    strategies.text(), strategies.integers().map(str), strategies.floats().map(str)
)
OWNERSHIP_COMMANDS = strategies.fixed_dictionaries(
    {
        "action": strategies.sampled_from(["fence", "grant", "renew"]) | JSON_VALUES,
        "shard": strategies.sampled_from(["a", "b"]) | JSON_VALUES,
        "token": strategies.fixed_dictionaries(
            dict.fromkeys(("term", "position", "step"), strategies.integers())
        )
        | JSON_VALUES,
        "stamp": strategies.floats() | JSON_VALUES,
        "ranges": strategies.lists(
            strategies.dictionaries(
                strategies.sampled_from(["start", "end", "key", "token"]),
                strategies.integers() | JSON_VALUES,
            )
        )
        | JSON_VALUES,
    }
)

examples = hypothesis.settings(max_examples=60, deadline=None)


@pytest.fixture(scope="module")
def service():
    log_service = stand_ins.LogService()
    log_service.start()
    yield log_service
    log_service.close()


@pytest.fixture(scope="module")
def pool(service):
    with urllib3.connection_from_url(service.url, retries=False) as connections:
        yield connections


def check_error_response(response):
    """Check that a response reports a client error and no failure of the service."""
    assert response.status in (400, 404, 405, 410)
    assert response.status == 410 or json.loads(response.data)["error"]


@examples
@hypothesis.given(body=APPEND_BODIES)
def test_damaged_append(service, pool, body):
    """A malformed record in the log would stop every reader."""
    before = len(service.records("s"))
    response = pool.request("POST", "/streams/s/records", body=body, timeout=WAIT_S)
    if response.status == 200:
        assert json.loads(response.data)["first_offset"] == before
        assert all(isinstance(record, dict) for record in service.records("s"))
    else:
        check_error_response(response)
        assert len(service.records("s")) == before


@examples
@hypothesis.given(offset=NUMBERS, limit=NUMBERS)
def test_damaged_read(pool, offset, limit):
    """A malformed offset must not be read as a different one."""
    query = urllib.parse.urlencode({"offset": offset, "limit": limit})
    response = pool.request("GET", f"/streams/unused/records?{query}", timeout=WAIT_S)
    if response.status == 200:
        assert int(offset) == 0 and int(limit) >= 0
    else:
        check_error_response(response)


@examples
@hypothesis.given(
    path=strategies.text(max_size=80), method=strategies.sampled_from("GPD")
)
def test_damaged_path(pool, path, method):
    """An unknown path must not reach a stream of another name."""
    http_method = {"G": "GET", "P": "POST", "D": "DELETE"}[method]
    target = f"/streams/{urllib.parse.quote(path, safe='')}/records"
    response = pool.request(http_method, target, timeout=WAIT_S)
    if response.status != 200:
        check_error_response(response)


@examples
@hypothesis.given(raw=strategies.binary(min_size=1, max_size=300))
def test_damaged_bytes(service, pool, raw):
    """Malformed bytes on one connection must not stop the service for others."""
    address = urllib.parse.urlsplit(service.url)
    with socket.create_connection((address.hostname, address.port), WAIT_S) as client:
        client.sendall(raw)
        client.shutdown(socket.SHUT_WR)
        try:
            while client.recv(65_536):
                pass
        except ConnectionResetError:
            pass
    assert pool.request("GET", "/faults", timeout=WAIT_S).status == 200


@examples
@hypothesis.given(document=OWNERSHIP_COMMANDS)
def test_damaged_ownership_command(upstream_pool, document):
    """A malformed command must not change the ranges that a server holds."""
    body = json.dumps(document).encode()
    response = upstream_pool.request("POST", "/ownership", body=body, timeout=WAIT_S)
    if response.status == 200:
        assert document["action"] in ("fence", "grant", "renew")
        for item in document["ranges"]:
            assert 0 <= item["start"] < item["end"] <= 2**64
    else:
        check_error_response(response)


@pytest.fixture(scope="module")
def upstream_pool():
    upstream = stand_ins.Upstream(stand_ins.UpstreamOptions("s1", "slotbook"))
    upstream.start()
    with urllib3.connection_from_url(upstream.url, retries=False) as connections:
        yield connections
    upstream.close()
