"""Guard the output and the exit codes of the check of a desired state."""

import json

from click import testing

from wasabivalve import cli

SPEC_BY_KIND = {
    "routes": {
        "host": "desk.example",
        "path_prefix": "/a/",
        "kind": "safe",
        "timeout_s": 1,
        "target_latency_s": 0.3,
        "priority": 1,
        "service": "desk",
        "max_attempts": 2,
        "allowed_regions": ["coast"],
    },
    "services": {"max_connections": 1},
    "limits": {
        "max_header_bytes": 900,
        "max_body_bytes": 1_000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
}


def write(path, version, **route):
    resources = [
        {"resource_kind": kind, "metadata": {"name": "desk"}, "spec": dict(spec)}
        for kind, spec in SPEC_BY_KIND.items()
    ]
    resources[0]["spec"] |= route
    path.write_text(json.dumps({"version": version, "resources": resources}))
    return str(path)


def run(*arguments, code=0):
    command = ["check-desired-state", *map(str, arguments)]
    result = testing.CliRunner().invoke(cli.main, command)
    assert result.exit_code == code, result.output
    return result.output


def test_differences_alone_are_no_finding(tmp_path):
    """A pipeline must not stop because a document changes something."""
    old, new = write(tmp_path / "old", 7), write(tmp_path / "new", 8, timeout_s=2)
    assert run(new, "--region", "coast") == "1 routes and 1 services, no findings\n"
    assert run(new, "--in-force", old).splitlines() == [
        "1 routes and 1 services, no findings",
        "version 8, in force 7",
        "routes desk: would update",
        "  $.spec.timeout_s: new 2, in force 1",
    ]


def test_findings_as_text_and_json(tmp_path):
    """Scripts rely on exit code 1 and on the members of the JSON output."""
    old, new = write(tmp_path / "old", 7), write(tmp_path / "new", 7, host="h:80")
    output = run(new, "--region", "sea", code=1)
    assert f"{new}: $.resources[0].spec.host: never_matches: 'h:80'" in output
    assert "2 findings (never_matches 1, contradiction 1)" in output
    document = json.loads(run(new, "--in-force", old, "--output", "json", code=1))
    assert [tuple(finding) for finding in document["findings"]] == [
        ("category", "file", "path", "problem")
    ] * 2
    assert document["changes"][0]["differences"] == [
        {"path": "$.spec.host", "new": "h:80", "in_force": "desk.example"}
    ]


def test_unreadable_files_are_findings(tmp_path):
    """A missing file must not look like a document without findings."""
    absent, broken = tmp_path / "absent", tmp_path / "broken"
    broken.write_text("{")
    options = ("--in-force", broken, "--settings", absent)
    output = run(absent, *options, code=1)
    assert "3 findings (error 3)" in output
    new = write(tmp_path / "new", 8)
    assert f"{broken}: $: error: not JSON" in run(new, *options, code=1)


SETTINGS = """
node = "front-1"
ip = "10.1.0.15"
zone = "east"
internal_ports = [7620]
bounds = ["grace_s=6", "retry_budget_ratio=0.2", "budget_window_s=10",
    "budget_slack=58", "hold_max_s=10", "drain_s=2.5", "config_apply_s=2.5"]
zones = { east = "sea" }
listen = { front = "10.1.0.15:8641", ready_address = "10.1.0.15:8640" }
limits = { link_mbps = 1000.0, memory_mb = 300 }
platform = { address = "10.200.1.7:8642", ttl_min_s = 1 }
"""


def test_regions_of_the_settings_and_of_the_options_are_known(tmp_path):
    """An allowed region that the deployment lacks leaves a route without instances."""
    settings = tmp_path / "settings.toml"
    settings.write_text(SETTINGS)
    new = write(tmp_path / "new", 8)
    output = run(new, "--settings", settings, code=1)
    assert "$.resources[0].spec.allowed_regions: contradiction" in output
    run(new, "--settings", settings, "--region", "coast")
    run(new)
