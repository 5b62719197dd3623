"""Guard settings against values that violate a guarantee at run time."""

import copy
import json
from typing import Any

import pytest

from wasabivalve import settings

KEY = "x" * 40
DOCUMENT: dict[str, Any] = {
    "vm": "entry-1",
    "data_centre": "khomas-a",
    "regions": {"khomas": ["khomas-a"]},
    "callers": {"host": "127.0.0.1", "port": 8080},
    "peer": {
        "host": "127.0.0.1",
        "port": 8081,
        "public_key": KEY,
        "secret_key": KEY,
    },
    "peers": [],
    "log": {"url": "http://127.0.0.1:9000"},
}


def test_defaults_are_filled_in(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(DOCUMENT))
    loaded = settings.load(path)
    assert isinstance(loaded, settings.LoadedSettings)
    assert loaded.settings["timing"]["suspect_ms"] == 1_000


def test_all_findings_come_at_once():
    """Otherwise an operator would correct a file one error at a time."""
    document = copy.deepcopy(DOCUMENT)
    del document["vm"]
    document["callers"]["port"] = 0
    document["surprise"] = True
    assert len(settings.check(document, "settings.json")) == 3


@pytest.mark.parametrize(
    ("section", "values", "path"),
    [
        ("limits", {"drain_ms": 5_000}, "$.limits.drain_ms"),
        ("limits", {"kill_ms": 15_000}, "$.limits.kill_ms"),
        ("timing", {"suspect_ms": 700}, "$.timing.suspect_ms"),
    ],
)
def test_limits_out_of_order_are_found(section, values, path):
    """A kill before the end of the drain would abort requests."""
    document = DOCUMENT | {section: values}
    findings = settings.check(document, "settings.json")
    assert [finding.path for finding in findings] == [path]


@pytest.mark.parametrize("text", ["", "{", "[1]", "null"])
def test_unparsable_file_is_a_finding(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_text(text)
    assert isinstance(settings.load(path), settings.InvalidSettings)
