"""Load settings from JSON and report every finding with its place."""

import dataclasses
import json
import pathlib
from typing import Any

import jsonschema
import msgspec

from wasabivalve import outcomes, schema
from wasabivalve.schema import settings_generated

DEFAULT_LIMITS = {
    "header_bytes": 16_384,
    "body_bytes": 1_048_576,
    "threads": 64,
    "request_ms": 10_000,
    "drain_ms": 15_000,
    "kill_ms": 20_000,
}
DEFAULT_TIMING = {
    "heartbeat_ms": 250,
    "suspect_ms": 1_000,
}


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedSettings:
    """Carry settings that passed every check, with defaults filled in."""

    settings: settings_generated.Settings


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidSettings:
    """Carry every finding of settings that failed a check."""

    findings: tuple[outcomes.Finding, ...]


def check_document(
    document: Any, schema_document: dict[str, Any], file: str, prefix: str = "$"
) -> tuple[outcomes.Finding, ...]:
    """Return the findings of a document against a JSON Schema."""
    validator = jsonschema.Draft202012Validator(schema_document)
    errors = sorted(validator.iter_errors(document), key=lambda error: error.json_path)
    return tuple(
        outcomes.Finding(file, prefix + error.json_path[1:], error.message)
        for error in errors
    )


def merge_defaults(document: dict[str, Any]) -> settings_generated.Settings:
    """Return settings with the defaults of every optional section filled in."""
    merged = dict(document)
    merged["limits"] = DEFAULT_LIMITS | document.get("limits", {})
    merged["timing"] = DEFAULT_TIMING | document.get("timing", {})
    merged["log"] = {
        "configuration_stream": "configuration",
        "control_stream": "control",
    } | document["log"]
    return msgspec.convert(merged, settings_generated.Settings)


def region_by_data_centre(
    settings: settings_generated.Settings,
) -> dict[str, str]:
    """Return the region of each data centre."""
    return {
        data_centre: region
        for region, names in settings["regions"].items()
        for data_centre in names
    }


def check(document: Any, file: str) -> tuple[outcomes.Finding, ...]:
    """Return every finding of a settings document."""
    findings = check_document(document, schema.load_schema("settings"), file)
    return findings or _check_rules(merge_defaults(document), file)


def load(path: pathlib.Path) -> LoadedSettings | InvalidSettings:
    """Load a settings file, or return its findings."""
    try:
        document = json.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        return InvalidSettings((outcomes.Finding(str(path), "$", str(error)),))
    findings = check(document, str(path))
    if findings:
        return InvalidSettings(findings)
    return LoadedSettings(merge_defaults(document))


def _check_rules(
    settings: settings_generated.Settings, file: str
) -> tuple[outcomes.Finding, ...]:
    findings = [
        outcomes.Finding(file, path, problem)
        for rule in (_check_time_limits, _check_timing, _check_places)
        for path, problem in rule(settings)
    ]
    return tuple(findings)


def _check_time_limits(
    settings: settings_generated.Settings,
) -> list[tuple[str, str]]:
    # A stop must outlast the longest request, and the platform's kill must
    # outlast the stop; otherwise a planned stop cuts off requests.
    limits = settings["limits"]
    request, drain, kill = (
        limits["request_ms"],
        limits["drain_ms"],
        limits["kill_ms"],
    )
    found = []
    if not request < drain:
        found.append(
            ("$.limits.drain_ms", f"{drain} is not above request_ms {request}")
        )
    if not drain < kill:
        found.append(("$.limits.kill_ms", f"{kill} is not above drain_ms {drain}"))
    return found


def _check_timing(settings: settings_generated.Settings) -> list[tuple[str, str]]:
    timing = settings["timing"]
    heartbeat, suspect = timing["heartbeat_ms"], timing["suspect_ms"]
    # Two lost heartbeats in a row must not make a VM suspected.
    if 3 * heartbeat > suspect:
        problem = f"{suspect} is below three times heartbeat_ms"
        return [("$.timing.suspect_ms", problem)]
    return []


def _check_places(settings: settings_generated.Settings) -> list[tuple[str, str]]:
    known = {name for names in settings["regions"].values() for name in names}
    found = []
    if settings["data_centre"] not in known:
        found.append(("$.data_centre", f"{settings['data_centre']!r} is in no region"))
    for index, peer in enumerate(settings["peers"]):
        if peer["data_centre"] not in known:
            path = f"$.peers[{index}].data_centre"
            found.append((path, f"{peer['data_centre']!r} is in no region"))
    return found
