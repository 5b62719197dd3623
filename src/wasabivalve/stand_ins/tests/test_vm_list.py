"""Test the lag, the faults and the request checks of the simulated VM list."""

import contextlib
import json

import urllib3

from wasabivalve import stand_ins


@contextlib.contextmanager
def running(now, lag_ms):
    vm_list = stand_ins.VmList(lag_ms=lag_ms, clock=lambda: now[0])
    vm_list.start()
    try:
        yield vm_list
    finally:
        vm_list.close()


def request(vm_list, method, path, document=None):
    body = None if document is None else json.dumps(document)
    return urllib3.request(method, vm_list.url + path, body=body, retries=False)


def read_states(vm_list):
    document = request(vm_list, "GET", "/vms").json()
    return {entry["name"]: entry["state"] for entry in document["vms"]}


def test_changes_are_visible_after_the_lag():
    """A list without lag would hide faults of readers that rely on a current list."""
    now = [10.0]
    with running(now, lag_ms=1000.0) as vm_list:
        request(vm_list, "PUT", "/vms/a", {"address": "127.0.0.1"})
        assert read_states(vm_list) == {}
        now[0] = 10.5
        request(vm_list, "PUT", "/vms/a", {"state": "leaving"})
        now[0] = 11.0
        assert read_states(vm_list) == {"a": "live"}
        request(vm_list, "DELETE", "/vms/a")
        now[0] = 11.5
        assert read_states(vm_list) == {"a": "leaving"}
        request(vm_list, "POST", "/faults", {"lag_ms": 0})
        assert read_states(vm_list) == {}


def test_invalid_requests_and_outages_are_reported():
    """A misspelt state must not make a VM appear as live."""
    with running([0.0], lag_ms=0.0) as vm_list:
        assert request(vm_list, "PUT", "/vms/a", {"state": "gone"}).status == 400
        assert request(vm_list, "PUT", "/vms/a", ["x"]).status == 400
        assert request(vm_list, "PUT", "/vms/a%2Fb", {}).status == 404
        assert request(vm_list, "POST", "/faults", {"lag_ms": -1}).status == 400
        request(vm_list, "POST", "/faults", {"down": True})
        assert request(vm_list, "GET", "/vms").status == 503
