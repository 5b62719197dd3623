"""Feed damaged requests to the stand-ins: clear errors, and they live on."""

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
BODIES = strategies.one_of(
    strategies.binary(),
    JSON_VALUES.map(lambda value: json.dumps(value).encode()),
    JSON_VALUES.map(lambda value: json.dumps({"records": value}).encode()),
    strategies.integers(1, 200_000).map(lambda depth: b'{"records":' + b"[" * depth),
)
NUMBERS = strategies.one_of(
    strategies.text(), strategies.integers().map(str), strategies.floats().map(str)
)
OWNERSHIP = strategies.fixed_dictionaries(
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
    log = stand_ins.LogService()
    log.start()
    yield log
    log.close()


@pytest.fixture(scope="module")
def pool(service):
    with urllib3.connection_from_url(service.url, retries=False) as connections:
        yield connections


def check_refusal(reply):
    """Check that a reply names the problem and is no failure of the service."""
    assert reply.status in (400, 404, 405, 410)
    assert reply.status == 410 or json.loads(reply.data)["error"]


@examples
@hypothesis.given(body=BODIES)
def test_damaged_append(service, pool, body):
    """A damaged record on the log would stop every reader."""
    before = len(service.records("s"))
    reply = pool.request("POST", "/streams/s/records", body=body, timeout=WAIT_S)
    if reply.status == 200:
        assert json.loads(reply.data)["first_offset"] == before
        assert all(isinstance(record, dict) for record in service.records("s"))
    else:
        check_refusal(reply)
        assert len(service.records("s")) == before


@examples
@hypothesis.given(offset=NUMBERS, limit=NUMBERS)
def test_damaged_read(pool, offset, limit):
    """A damaged offset must not be taken for another one."""
    query = urllib.parse.urlencode({"offset": offset, "limit": limit})
    reply = pool.request("GET", f"/streams/unused/records?{query}", timeout=WAIT_S)
    if reply.status == 200:
        assert int(offset) == 0 and int(limit) >= 0
    else:
        check_refusal(reply)


@examples
@hypothesis.given(
    path=strategies.text(max_size=80), method=strategies.sampled_from("GPD")
)
def test_damaged_path(pool, path, method):
    """An unknown path must not reach a stream of another name."""
    verb = {"G": "GET", "P": "POST", "D": "DELETE"}[method]
    target = f"/streams/{urllib.parse.quote(path, safe='')}/records"
    reply = pool.request(verb, target, timeout=WAIT_S)
    if reply.status != 200:
        check_refusal(reply)


@examples
@hypothesis.given(raw=strategies.binary(min_size=1, max_size=300))
def test_damaged_bytes(service, pool, raw):
    """One damaged connection must not stop the service for the others."""
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
@hypothesis.given(document=OWNERSHIP)
def test_damaged_ownership_command(upstream_pool, document):
    """A damaged command must not change what a server holds."""
    body = json.dumps(document).encode()
    reply = upstream_pool.request("POST", "/ownership", body=body, timeout=WAIT_S)
    if reply.status == 200:
        assert document["action"] in ("fence", "grant", "renew")
        for item in document["ranges"]:
            assert 0 <= item["start"] < item["end"] <= 2**64
    else:
        check_refusal(reply)


@pytest.fixture(scope="module")
def upstream_pool():
    upstream = stand_ins.Upstream(stand_ins.UpstreamOptions("s1", "slotbook"))
    upstream.start()
    with urllib3.connection_from_url(upstream.url, retries=False) as connections:
        yield connections
    upstream.close()
