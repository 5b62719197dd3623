"""Test the checks that reject invalid files before they are published."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wasabivalve import resources
from wasabivalve.resources import validation

KEY = "x" * 40
SETTINGS = {
    "vm": "entry-1",
    "data_centre": "d",
    "regions": {"r": ["d"]},
    "callers": {"host": "127.0.0.1", "port": 8080},
    "peer": {"host": "127.0.0.1", "port": 8081, "public_key": KEY, "secret_key": KEY},
    "peers": [],
    "log": {"url": "http://127.0.0.1:9000"},
}


def instance(name, port, data_centre="d", host="127.0.0.1"):
    return {"name": name, "data_centre": data_centre, "host": host, "port": port}


def service(*instances):
    spec = {"divided_by_key": True, "slots": 2, "instances": list(instances)}
    return {"kind": "service", "name": "s", "spec": spec}


def rank(name, order, floor=0.1, **more):
    spec = {"order": order, "floor": floor, "target_ms": 20, "objective": 0.99} | more
    return {"kind": "traffic_rank", "name": name, "spec": spec}


def key_range(name, start, end, *instances, service="s"):
    spec = {
        "service": service,
        "start": f"{start:016x}",
        "end": f"{end:016x}",
        "instances": list(instances),
    }
    return {"kind": "key_range", "name": name, "spec": spec}


def drain(name, **spec):
    return {"kind": "drain_order", "name": name, "spec": spec}


SERVICE = service(instance("a", 1), instance("b", 2))


def find_problems(*values, state=resources.EMPTY_CONFIGURATION, known_vms=None):
    documents = validation.split(list(values), "f.json")
    findings = resources.validate(documents, state, known_vms)
    return {finding.path: finding.problem for finding in findings}


@pytest.mark.parametrize(
    ("values", "path", "problem"),
    [
        (
            [SERVICE, key_range("x", 0, 9, "a"), key_range("y", 8, 20, "b")],
            "$[2].spec.start",
            "overlaps key range 'x' of service 's'",
        ),
        ([rank("u", 0, 0.6), rank("v", 1, 0.6)], "$[1].spec.floor", "sum of floors"),
        ([rank("u", 0), rank("v", 0)], "$[1].spec.order", "order 0 is also"),
        ([SERVICE, drain("x", service="s", instance="z")], "$[1].spec.instance", "'z'"),
        ([drain("x", service="t", instance="z")], "$[0].spec.service", "'t' does not"),
        ([drain("x", vm="v", service="s")], "$[0].spec", "either"),
        ([SETTINGS, drain("x", vm="gone")], "$[1].spec.vm", "'gone' does not exist"),
        ([key_range("x", 0, 9, service="t")], "$[0].spec.service", "'t' does not"),
        ([SERVICE, key_range("x", 0, 9, "z")], "$[1].spec.instances[0]", "'z'"),
        ([SERVICE, key_range("x", 9, 9, "a")], "$[1].spec.end", "not after start"),
        (
            [service(instance("a", 1), instance("a", 2))],
            "$[0].spec.instances[1].name",
            "instance 'a' is named twice",
        ),
        (
            [service(instance("a", 1), instance("b", 1))],
            "$[0].spec.instances[1]",
            "used twice",
        ),
        ([SERVICE, SERVICE], "$[1].name", "also defined at f.json: $[0]"),
        (
            [service(instance("a", 1, host="upstream"))],
            "$[0].spec.instances[0].host",
            "not an IP address",
        ),
        (
            [SETTINGS, service(instance("a", 1, "elsewhere"))],
            "$[1].spec.instances[0].data_centre",
            "in no region",
        ),
        (
            [SETTINGS, rank("u", 0, target_ms=20_000)],
            "$[1].spec.target_ms",
            "above request_ms 10000",
        ),
        ([SETTINGS | {"limits": {"kill_ms": 9}}], "$.limits.kill_ms", "not above"),
    ],
)
def test_each_rule_reports_the_path(values, path, problem):
    problem_by_path = find_problems(*values)
    assert problem in problem_by_path[path]


def test_a_valid_file_has_no_findings():
    """Guards against false findings."""
    whole = 1 << 64
    assert not find_problems(
        SETTINGS,
        SERVICE,
        rank("u", 0, 0.7),
        rank("v", 1, 0.2),
        rank("w", 2, 0.1),
        key_range("x", 0, 9, "a"),
        key_range("y", 9, whole, "b"),
        drain("z", vm="entry-1"),
    )


def test_all_findings_are_reported_together():
    """Guards against reporting only one error per run."""
    problem_by_path = find_problems(
        {"kind": "service"},
        rank("u", 0, 0.6),
        rank("v", 0, 0.6),
        drain("x", service="t", instance="z"),
    )
    assert len(problem_by_path) >= 4


def test_a_conflict_with_the_log_is_reported_at_the_written_document():
    state = resources.EMPTY_CONFIGURATION._replace(
        resource_by_key={
            ("traffic_rank", "z"): resources.Resource(
                "traffic_rank", "z", 1, rank("z", 0)["spec"], "ada", "", "r", {}
            )
        }
    )
    problem_by_path = find_problems(rank("a", 0), state=state)
    assert problem_by_path == {
        "$[0].spec.order": "order 0 is also the order of rank 'z'"
    }


def test_unreadable_files_are_findings(tmp_path):
    (tmp_path / "broken.json").write_text("{")
    (tmp_path / "nan.json").write_text('{"floor": NaN}')
    paths = [tmp_path / name for name in ("broken.json", "nan.json", "absent.json")]
    assert len(validation.read_files(paths).findings) == 3


def test_files_may_wrap_their_resources(tmp_path):
    path = tmp_path / "resources.json"
    path.write_text(json.dumps({"resources": [SERVICE]}))
    (document,) = validation.read_files([path]).documents
    assert document.path == "$.resources[0]"


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["kind", "name", "spec", "vm", "service", "instances"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)


@given(st.lists(JSON, max_size=3))
def test_any_json_gives_findings_and_no_exception(values):
    """Guards against an exception that hides the other findings of the file."""
    for value in values:
        assert resources.validate(validation.split(value, "f.json")) or value in (
            [],
            {"resources": []},
        )


NAMES = st.sampled_from(["a", "b", "c"])
POSITIONS = st.integers(0, 20)
DOCUMENTS = st.lists(
    st.builds(rank, NAMES, st.integers(0, 2), st.sampled_from([0.0, 0.3, 0.5]))
    | st.builds(key_range, NAMES, POSITIONS, POSITIONS, NAMES)
    | st.builds(
        lambda name, instance: drain(name, service="s", instance=instance), NAMES, NAMES
    )
    | st.just(SERVICE),
    max_size=6,
)


@given(DOCUMENTS)
def test_validated_files_are_accepted_by_replay(values):
    """Guards against a file that passes validation but is ignored by the VMs."""
    order = {kind: index for index, kind in enumerate(resources.specs.KINDS)}
    key = "11" * 32
    state, reasons = resources.EMPTY_CONFIGURATION._replace(next_offset=1), []
    for offset, value in enumerate(
        sorted(values, key=lambda value: order[value["kind"]]), start=1
    ):
        record = resources.writes.build(
            value["kind"],
            value["name"],
            value["spec"],
            expected_revision=0,
            operator="ada",
            key_hex=key,
            record_id=str(offset),
            written_at="",
        )
        applied = resources.apply(state, offset, record, {"ada": key})
        state = applied.state
        reasons.append(applied.reason)
    assert bool(find_problems(*values)) == any(reasons)
