"""Load settings from JSON and report every finding with its file and path."""

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
    "response_bytes": 32 * 1024 * 1024,
    "memory_mb": 300,
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
    """Hold valid settings with defaults filled in."""

    settings: settings_generated.Settings


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidSettings:
    """Hold all findings of invalid settings."""

    findings: tuple[outcomes.Finding, ...]


def check_document(
    document: Any, schema_document: dict[str, Any], file: str, prefix: str = "$"
) -> tuple[outcomes.Finding, ...]:
    """Validate a document against a JSON Schema and return all findings.

    ``prefix`` replaces the root ``$`` of the reported paths.
    """
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
        for region, data_centres in settings["regions"].items()
        for data_centre in data_centres
    }


def check(document: Any, file: str) -> tuple[outcomes.Finding, ...]:
    """Return all findings of a settings document: schema first, then rules."""
    findings = check_document(document, schema.load_schema("settings"), file)
    return findings or _check_rules(merge_defaults(document), file)


def load(path: pathlib.Path) -> LoadedSettings | InvalidSettings:
    """Load a settings file, or return its findings."""
    try:
        document = json.loads(path.read_bytes())
    except (OSError, ValueError, RecursionError) as error:
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
        for rule in (_check_time_limits, _check_timing, _check_data_centres)
        for path, problem in rule(settings)
    ]
    return tuple(findings)


def _check_time_limits(
    settings: settings_generated.Settings,
) -> list[tuple[str, str]]:
    # The drain must last longer than the longest request, and the platform must kill
    # the process only after the drain; otherwise a planned stop aborts requests.
    limits = settings["limits"]
    request_ms, drain_ms, kill_ms = (
        limits["request_ms"],
        limits["drain_ms"],
        limits["kill_ms"],
    )
    problems = []
    if not request_ms < drain_ms:
        problems.append(
            ("$.limits.drain_ms", f"{drain_ms} is not above request_ms {request_ms}")
        )
    if not drain_ms < kill_ms:
        problems.append(
            ("$.limits.kill_ms", f"{kill_ms} is not above drain_ms {drain_ms}")
        )
    return problems


def _check_timing(settings: settings_generated.Settings) -> list[tuple[str, str]]:
    timing = settings["timing"]
    heartbeat_ms, suspect_ms = timing["heartbeat_ms"], timing["suspect_ms"]
    # The loss of two consecutive heartbeats must not make a VM suspected.
    if 3 * heartbeat_ms > suspect_ms:
        problem = f"{suspect_ms} is below three times heartbeat_ms"
        return [("$.timing.suspect_ms", problem)]
    return []


def _check_data_centres(settings: settings_generated.Settings) -> list[tuple[str, str]]:
    known_data_centres = {
        name for data_centres in settings["regions"].values() for name in data_centres
    }
    problems = []
    if settings["data_centre"] not in known_data_centres:
        problems.append(
            ("$.data_centre", f"{settings['data_centre']!r} is in no region")
        )
    for index, peer in enumerate(settings["peers"]):
        if peer["data_centre"] not in known_data_centres:
            path = f"$.peers[{index}].data_centre"
            problems.append((path, f"{peer['data_centre']!r} is in no region"))
    return problems
