"""Guard the lag of the VM list."""

import contextlib
import json

import urllib3

from wasabivalve import stand_ins


@contextlib.contextmanager
def running(now, lag_ms):
    vms = stand_ins.VmList(lag_ms=lag_ms, clock=lambda: now[0])
    vms.start()
    try:
        yield vms
    finally:
        vms.close()


def request(vms, method, path, document=None):
    body = None if document is None else json.dumps(document)
    return urllib3.request(method, vms.url + path, body=body, retries=False)


def listed(vms):
    document = request(vms, "GET", "/vms").json()
    return {entry["name"]: entry["state"] for entry in document["vms"]}


def test_changes_show_after_the_lag():
    """A list that is current would hide errors of readers that trust it."""
    now = [10.0]
    with running(now, lag_ms=1000.0) as vms:
        request(vms, "PUT", "/vms/a", {"address": "127.0.0.1"})
        assert listed(vms) == {}
        now[0] = 10.5
        request(vms, "PUT", "/vms/a", {"state": "leaving"})
        now[0] = 11.0
        assert listed(vms) == {"a": "live"}
        request(vms, "DELETE", "/vms/a")
        now[0] = 11.5
        assert listed(vms) == {"a": "leaving"}
        request(vms, "POST", "/faults", {"lag_ms": 0})
        assert listed(vms) == {}


def test_damaged_requests_and_outages_are_told():
    """A misspelt state would otherwise show as a live VM."""
    with running([0.0], lag_ms=0.0) as vms:
        assert request(vms, "PUT", "/vms/a", {"state": "gone"}).status == 400
        assert request(vms, "PUT", "/vms/a", ["x"]).status == 400
        assert request(vms, "PUT", "/vms/a%2Fb", {}).status == 404
        assert request(vms, "POST", "/faults", {"lag_ms": -1}).status == 400
        request(vms, "POST", "/faults", {"down": True})
        assert request(vms, "GET", "/vms").status == 503
