"""Test the findings on desired states with their places in the document."""

import json

import pytest

from wasabivalve.desired_state import core
from wasabivalve.platform import desired_state, desired_state_check

ROUTE = {
    "host": "desk.example",
    "path_prefix": "/a/",
    "kind": "safe",
    "timeout_s": 1,
    "target_latency_s": 0.3,
    "priority": 1,
    "service": "desk",
    "max_attempts": 2,
}
LIMITS = {
    "max_header_bytes": 900,
    "max_body_bytes": 1_000,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}


def encode(*rows, version=7):
    """Return a document of these rows of kind, name and specification."""
    resources = [
        {"resource_kind": kind, "metadata": {"name": name}, "spec": spec}
        for kind, name, spec in rows
    ]
    return json.dumps({"version": version, "resources": resources}).encode()


DESK = ("services", "desk", {"max_connections": 1})
LIMITS_ROW = ("limits", "", LIMITS)


def find_places(data, regions=None):
    found = desired_state_check.check(data, "f.json", regions).findings
    assert all(finding.file == "f.json" for _, finding in found)
    return [(category, finding.path) for category, finding in found]


def test_all_errors_come_at_once_without_findings_that_follow_from_them():
    """An operator corrected one error after the other, each with a new check."""
    broken = {**ROUTE, "timeout_s": "1", "allowed_regions": ["coast", 7, ""]}
    del broken["service"]
    data = encode(
        ("routes", "r", {**broken, "traffic_split": [{"weight": 1}, 3]}),
        ("services", "desk", {"warmup_s": -1}),
        ("limits", "", None),
        version="7",
    )
    spec = "$.resources[0].spec"
    assert find_places(data) == [
        ("error", path)
        for path in (
            "$.version",
            f"{spec}.traffic_split[0].service",
            f"{spec}.traffic_split[1].service",
            f"{spec}.traffic_split[1].weight",
            f"{spec}.timeout_s",
            f"{spec}.allowed_regions[1]",
            f"{spec}.allowed_regions[2]",
            "$.resources[1].spec.max_connections",
            "$.resources[1].spec.warmup_s",
            "$.resources[2].spec",
        )
    ]
    first = desired_state_check.check(data, "f.json").findings[0].finding
    with pytest.raises(desired_state.MalformedDesiredState) as raised:
        desired_state.decode(data)
    assert f"$.{raised.value}" == f"{first.path} {first.problem}"


def test_names_in_entries_with_errors_count():
    """A misspelt name beside another error would show only in the next check."""
    route = {**ROUTE, "timeout_s": None}
    unused = ("services", "unused", {"max_connections": 1})
    missing = ("routes", "q", {**ROUTE, "path_prefix": "/b/", "service": "dusk"})
    broken = (("routes", "r", route), ("services", "desk", {}), LIMITS_ROW)
    assert find_places(encode(*broken, unused, missing)) == [
        ("error", "$.resources[0].spec.timeout_s"),
        ("error", "$.resources[1].spec.max_connections"),
        ("never_matches", "$.resources[4].spec.service"),
        ("never_matches", "$.resources[3]"),
    ]
    unreadable = json.dumps([{"resource_kind": 3, "spec": {}}]).encode()[1:-1]
    data = encode(*broken, unused, missing).replace(b"[", b"[" + unreadable + b",", 1)
    assert [category for category, _ in find_places(data)] == ["error"] * 3


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"[" * 100_000,
        b"[]",
        b'{"version":' + b"9" * 400 + b',"resources":3}',
        encode(LIMITS_ROW).replace(b"1000", b"9" * 400),
    ],
)
def test_odd_documents_are_findings(data):
    """An exception would end the command, and a VM that reads the document."""
    checked = desired_state_check.check(data, "f.json")
    assert checked.findings and checked.state is None
    with pytest.raises(desired_state.MalformedDesiredState):
        desired_state.decode(data)


def test_places_of_entries_without_effect_and_of_contradictions():
    """Operators know the names of the document and not those of the model."""
    split = [{"service": "desk", "weight": 1}, {"service": "x", "weight": 0}]
    changed = {"target_latency_s": 2, "allowed_regions": ["sea"]}
    route = {**ROUTE, **changed, "traffic_split": split}
    data = encode(
        ("later", "", {}),
        ("route", "q", ROUTE),
        ("routes", "r", route),
        ("routes", "s", {**ROUTE, "path_prefix": "/b/", "service": "y"}),
        DESK,
        ("limits", "", {**LIMITS, "idle_timeout_s": 1}),
    )
    assert sorted(find_places(data, {"coast"})) == [
        ("contradiction", "$.resources[2].spec.allowed_regions"),
        ("contradiction", "$.resources[2].spec.target_latency_s"),
        ("contradiction", "$.resources[5].spec.idle_timeout_s"),
        ("never_matches", "$.resources[1].resource_kind"),
        ("never_matches", "$.resources[2].spec.traffic_split[1].service"),
        ("never_matches", "$.resources[2].spec.traffic_split[1].weight"),
        ("never_matches", "$.resources[3].spec.service"),
    ]


def test_each_field_of_the_model_has_a_place():
    """A rule for a field without a place would end the command."""
    fields = {
        *core.RouteConfig._fields,
        *core.ServiceConfig._fields,
        *core.CallerLimits._fields,
    }
    # Rules name the part of a split and its field instead.
    fields.remove("weighted_services")
    assert set(desired_state_check.FIELD_BY_MODEL_FIELD) == fields


def test_changes_from_the_version_in_force():
    """An unintended change would be noticed only after it is in force."""
    gone = ("routes", "gone", ROUTE)
    in_force = encode(("routes", "r", ROUTE), gone, DESK, LIMITS_ROW)
    new = encode(
        ("routes", "r", {**ROUTE, "timeout_s": 2}),
        DESK,
        ("services", "more", {}),
        LIMITS_ROW,
        version=8,
    )
    compared = desired_state_check.compare(new, in_force, "f.json")
    assert not compared.findings
    assert compared.changes == (
        ("delete", "routes", "gone", ()),
        ("update", "routes", "r", (("$.spec.timeout_s", 2, 1),)),
        ("create", "services", "more", ()),
    )


@pytest.mark.parametrize(("version", "count"), [(6, 1), (7, 1), (8, 0)])
def test_version_must_rise(version, count):
    """VMs ignore a changed document whose version they know."""
    new = encode(DESK, version=version)
    compared = desired_state_check.compare(new, encode(LIMITS_ROW), "f.json")
    assert len(compared.findings) == count
    unchanged = desired_state_check.compare(new, new, "f.json")
    assert not unchanged.findings and not unchanged.changes
