"""Test the decoding of settings, desired states, instance entries and headers."""

import msgspec
import pytest

from wasabivalve.platform import desired_state, headers, instances, settings

ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:8080",
    "zone": "east",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_s": 1.5,
    "sequence": 4,
    "born": 1_700_000_000_000,
}

ROUTE = {
    "host": "Desk.Example",
    "path_prefix": "/a/",
    "kind": "safe",
    "timeout_s": 1,
    "target_latency_s": 0.3,
    "priority": 1,
    "service": "desk",
    "max_attempts": 2,
}

SERVICE = {"max_connections": 110, "sharded": True}

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_000,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}

SETTINGS = """
node = "front-1"
ip = "10.1.0.15"
zone = "east"
internal_ports = [7620, 7635]
bounds = ["grace_s=6", "retry_budget_ratio=0.2", "budget_window_s=10",
    "budget_slack=58", "hold_max_s=10", "drain_s=2.5", "config_apply_s=2.5",
    "flag=true"]
unknown_field = 1
[zones]
east = "coast"
[listen]
front = "10.1.0.15:8641"
ready_address = "10.1.0.15:8640"
[limits]
link_mbps = 1000.0
memory_mb = 300
[platform]
address = "10.200.1.7:8642"
ttl_min_s = 1
"""


def encode(version=7, route=ROUTE, limits=LIMITS, service=SERVICE):
    resources = [
        {"resource_kind": "routes", "metadata": {"name": "r"}, "spec": route},
        {
            "resource_kind": "services",
            "metadata": {"name": "desk"},
            "spec": service,
        },
        {"resource_kind": "limits", "metadata": {}, "spec": limits},
        {"resource_kind": "later", "metadata": {}, "spec": {}},
    ]
    return msgspec.json.encode({"version": version, "resources": resources})


def test_warm_up_of_an_entry_is_converted_to_ms():
    """A warm-up in s that is read as ms would send full load to a cold instance."""
    instance = instances.decode("i-1", msgspec.json.encode(ENTRY))
    assert (instance.host, instance.port) == ("10.0.0.1", 8080)
    assert instance.warmup_left_ms == 1_500.0
    assert not instance.draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "leaving"},
        {"address": "nowhere"},
        {"slots": "2"},
        {"sequence": True},
        {"born": 1.5},
        {"zone": None},
    ],
)
def test_malformed_entry_is_rejected(change):
    """A malformed entry would direct requests to an address without an instance."""
    with pytest.raises(instances.MalformedInstanceEntry):
        instances.decode("i-1", msgspec.json.encode({**ENTRY, **change}))


@pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"[]", b"{", b"3"])
def test_undecodable_entry_is_rejected(data):
    """Bytes that can't be decoded must not end the process."""
    with pytest.raises(instances.MalformedInstanceEntry):
        instances.decode("i-1", data)


def test_desired_state_is_decoded():
    """A wrong split or kind would run requests twice or in the wrong service."""
    state = desired_state.decode(encode())
    route = state.routes[0]
    assert route.host == "desk.example"
    assert route.idempotent
    assert (route.timeout_ms, route.target_latency_ms) == (1_000.0, 300.0)
    assert state.service_by_name["desk"].partitioned
    assert state.limits.idle_timeout_ms == 15_000.0


def test_only_safe_requests_are_idempotent():
    """Requests of an unknown kind must not be retried."""
    state = desired_state.decode(encode(route={**ROUTE, "kind": "other"}))
    assert not state.routes[0].idempotent


@pytest.mark.parametrize(
    ("route", "path"),
    [
        ({**ROUTE, "path_prefix": "/a"}, "resources[0].spec.path_prefix"),
        ({**ROUTE, "timeout_s": "1"}, "resources[0].spec.timeout_s"),
        ({**ROUTE, "traffic_split": []}, "resources[0].spec.traffic_split"),
        (
            {name: value for name, value in ROUTE.items() if name != "host"},
            "resources[0].spec.host",
        ),
    ],
)
def test_malformed_desired_state_reports_the_path(route, path):
    """Without the path, an operator has to search the whole document for the error."""
    with pytest.raises(
        desired_state.MalformedDesiredState, match=path.replace("[", r"\[")
    ):
        desired_state.decode(encode(route=route))


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    """A new field of the platform must not keep a process from starting."""
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    vm_settings = settings.load(path)
    assert vm_settings.caller_listen_address == settings.HostPort("10.1.0.15", 8641)
    assert vm_settings.vm_link_address == settings.HostPort("10.1.0.15", 7620)
    assert vm_settings.grace_ms == 6_000.0
    assert vm_settings.retry_allowance == 58.0


def test_all_findings_of_settings_come_at_once(tmp_path):
    """Findings reported one at a time would cost the operator a restart for each."""
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace('zone = "east"', "").replace("8641", "x"))
    rejected = settings.load(path)
    assert {finding.path for finding in rejected.findings} == {"zone", "listen.front"}


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(b"1500", 1.5), (b"0", 0.0), (b"x", None), (b"-1", None), (b"nan", None)],
)
def test_time_left_is_read(value, seconds):
    """A deadline that is not a number must not be used in calculations."""
    assert headers.HEADER_FORMAT.decode_time_left(value) == seconds


@pytest.mark.parametrize(
    ("value", "report"),
    [
        (b"1,0,4", (1, 0, 4, None)),
        (b"3, 2, 4, 250", (3, 2, 4, 2.5)),
        (b"3,2,4,12.5", (3, 2, 4, 0.125)),
        (b"3,2,4,x", (3, 2, 4, None)),
        (b"3,2,4,0", (3, 2, 4, None)),
        (b"3,2,4,inf", (3, 2, 4, None)),
        (b"3,2", None),
        (b"3,2,-4,100", None),
        (b"3,2,4,100,5", None),
    ],
)
def test_load_report_counts_without_a_valid_fourth_figure(value, report):
    """A report with four figures was discarded, and the load with it."""
    assert headers.HEADER_FORMAT.decode_load_report(value) == report


def test_warm_up_of_services_and_its_bounds_are_optional(tmp_path):
    """Deployments without them must stay as they are."""
    spec = {"max_connections": 110, "warmup_s": 3, "warmup_per_s": 4.2}
    config = desired_state.decode(encode(service=spec)).service_by_name["desk"]
    assert (config.warmup_ms, config.warmup_per_s) == (3_000.0, 4.2)
    config = desired_state.decode(encode()).service_by_name["desk"]
    assert (config.warmup_ms, config.warmup_per_s) == (0.0, 0.0)
    with pytest.raises(desired_state.MalformedDesiredState, match="warmup_per_s"):
        desired_state.decode(encode(service={**spec, "warmup_per_s": -1}))
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    assert settings.load(path).warmup_bounds is None
    bounds = '"warmup_overshoot=1.5", "warmup_slack=8", "flag=true"'
    path.write_text(SETTINGS.replace('"flag=true"', bounds))
    assert settings.load(path).warmup_bounds == (1.5, 8.0)


def test_key_outside_of_the_key_space_is_none():
    """A request for a key beyond the last range would wait for a holder in vain."""
    assert headers.HEADER_FORMAT.decode_key(b"65535") == 65_535
    assert headers.HEADER_FORMAT.decode_key(b"65536") is None
    assert headers.HEADER_FORMAT.decode_key(b"-1") is None


DEEP = b"[" * 100_000 + b"]" * 100_000
ODD_ENTRIES = {
    "nested too deeply": msgspec.json.encode(ENTRY)[:-1] + b',"more":' + DEEP + b"}",
    "only nested": DEEP,
    "slots too large": msgspec.json.encode({**ENTRY, "slots": 0}).replace(
        b'"slots":0', b'"slots":' + b"9" * 400
    ),
    "slots of more digits than Python prints": msgspec.json.encode(
        {**ENTRY, "slots": 0}
    ).replace(b'"slots":0', b'"slots":' + b"9" * 5_000),
    "service of more digits than Python prints": msgspec.json.encode(
        {**ENTRY, "service": 0}
    ).replace(b'"service":0', b'"service":' + b"9" * 5_000),
    "port with an underscore": msgspec.json.encode(
        {**ENTRY, "address": "10.0.0.1:80_80"}
    ),
    "born beyond 64 bits": msgspec.json.encode({**ENTRY, "born": 0}).replace(
        b'"born":0', b'"born":' + b"9" * 30
    ),
    "infinite warm-up": msgspec.json.encode({**ENTRY, "warmup_left_s": 0}).replace(
        b'"warmup_left_s":0', b'"warmup_left_s":1e999'
    ),
    "warm-up too long": msgspec.json.encode({**ENTRY, "warmup_left_s": 1e300}),
    "negative warm-up": msgspec.json.encode({**ENTRY, "warmup_left_s": -1e9}),
    "negative sequence": msgspec.json.encode({**ENTRY, "sequence": -1}),
    "port out of range": msgspec.json.encode({**ENTRY, "address": "10.0.0.1:65536"}),
    "port of many digits": msgspec.json.encode(
        {**ENTRY, "address": "10.0.0.1:" + "9" * 5_000}
    ),
    "port 0": msgspec.json.encode({**ENTRY, "address": "10.0.0.1:0"}),
    "port of no ASCII digits": msgspec.json.encode(
        {**ENTRY, "address": "10.0.0.1:\u00b2"}
    ),
    "host with a null byte": msgspec.json.encode({**ENTRY, "address": "a\u0000:80"}),
    "host too long": msgspec.json.encode({**ENTRY, "address": "a" * 5_000 + ":80"}),
    "lone surrogate": msgspec.json.encode(ENTRY).replace(b"east", b"\\ud800"),
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_names_no_instance(name):
    """An entry of another writer must not end the process that reads the list."""
    with pytest.raises(instances.MalformedInstanceEntry):
        instances.decode("i-1", ODD_ENTRIES[name])


def test_regions_of_a_route_are_decoded():
    """An entry that was dropped could allow a region that the operator excludes."""
    for value, regions in ((["coast"], {"coast"}), ([], set()), (None, set())):
        route = {**ROUTE, "allowed_regions": value}
        (decoded,) = desired_state.decode(encode(route=route)).routes
        assert decoded.allowed_regions == regions
    assert desired_state.decode(encode()).routes[0].allowed_regions == set()
    for value in ("coast", [7], [""]):
        with pytest.raises(desired_state.MalformedDesiredState, match="allowed_regio"):
            desired_state.decode(encode(route={**ROUTE, "allowed_regions": value}))


def test_kinds_that_may_run_more_than_once():
    """A download was not retried; any other kind must not be."""
    for kind, idempotent in (("safe", 1), ("download", 1), ("unsafe", 0), ("new", 0)):
        (route,) = desired_state.decode(encode(route={**ROUTE, "kind": kind})).routes
        assert route.idempotent == bool(idempotent)
