"""Validate files of resources and settings and report all findings together."""

import ipaddress
import json
import pathlib
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from wasabivalve import outcomes, settings

from . import replay, rules, specs

# Stands in the file column for a resource that only the log holds.
LOG_FILE = "(log)"
# Members of the JSON output of ``get`` beside its resources, which are not written.
GET_MEMBERS = frozenset({"resources", "revision", "audit", "status"})
# An object with one of these members is a settings file, not a resource.
SETTINGS_MEMBERS = frozenset({"vm", "callers", "peer", "peers"})


class SourceDocument(NamedTuple):
    """Hold one resource or one settings object with its place."""

    file: str
    path: str
    value: Any

    @property
    def is_settings(self) -> bool:
        """Return whether the document holds settings of an entry process."""
        return (
            isinstance(self.value, dict)
            and "kind" not in self.value
            and bool(SETTINGS_MEMBERS & self.value.keys())
        )


class LoadedFiles(NamedTuple):
    """Hold the documents of files, and the findings of unreadable ones."""

    documents: tuple[SourceDocument, ...]
    findings: tuple[outcomes.Finding, ...]


def read_files(paths: Iterable[str | pathlib.Path]) -> LoadedFiles:
    """Read JSON files that hold one document, a list, or ``{"resources": [...]}``."""
    documents: list[SourceDocument] = []
    findings: list[outcomes.Finding] = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(encoding="utf-8")
            content = json.loads(text, parse_constant=_refuse_constant)
        except (OSError, ValueError, RecursionError) as error:
            findings.append(outcomes.Finding(str(path), "$", str(error)))
            continue
        documents += split(content, str(path))
    return LoadedFiles(tuple(documents), tuple(findings))


def split(content: Any, file: str) -> list[SourceDocument]:
    """Return the documents of one parsed file."""
    if isinstance(content, list):
        return [
            SourceDocument(file, f"$[{index}]", value)
            for index, value in enumerate(content)
        ]
    if (
        isinstance(content, dict)
        and "resources" in content
        and content.keys() <= GET_MEMBERS
        and isinstance(content["resources"], list)
    ):
        return [
            SourceDocument(file, f"$.resources[{index}]", value)
            for index, value in enumerate(content["resources"])
        ]
    return [SourceDocument(file, "$", content)]


def validate(
    documents: Iterable[SourceDocument],
    state: replay.ConfigurationState = replay.EMPTY_CONFIGURATION,
    known_vms: Collection[str] | None = None,
) -> tuple[outcomes.Finding, ...]:
    """Return every finding of documents that are to be written to a state.

    Settings documents are checked as well, and the resources are checked against
    their VMs, data centres and limits. Without settings and ``known_vms`` the VMs of
    drain orders are not checked.
    """
    documents = tuple(documents)
    settings_documents = [row for row in documents if row.is_settings]
    findings = [
        finding
        for row in settings_documents
        for finding in settings.check(row.value, row.file)
    ]
    valid_settings = [
        settings.merge_defaults(row.value)
        for row in settings_documents
        if not settings.check(row.value, row.file)
    ]
    candidates = [row for row in documents if not row.is_settings]
    document_by_key: dict[rules.ResourceKey, SourceDocument] = {}
    for row in candidates:
        found = tuple(_document_findings(row)) or tuple(
            _repetition_findings(row, document_by_key)
        )
        findings += found
        if not found:
            document_by_key[_key(row)] = row
    findings += _rule_findings(document_by_key, state)
    findings += _host_findings(document_by_key)
    findings += _settings_findings(document_by_key, valid_settings, known_vms)
    return tuple(dict.fromkeys(findings))


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _key(document: SourceDocument) -> rules.ResourceKey:
    return document.value["kind"], document.value["name"]


def _finding(document: SourceDocument, path: str, problem: str) -> outcomes.Finding:
    return outcomes.Finding(document.file, document.path + path[1:], problem)


def _document_findings(document: SourceDocument) -> Iterator[outcomes.Finding]:
    for problem in specs.check_definition("ResourceDocument", document.value):
        yield _finding(document, *problem)
    value = document.value
    kind = value.get("kind") if isinstance(value, dict) else None
    if isinstance(kind, str) and kind in specs.KINDS and "spec" in value:
        for path, problem_text in specs.check_spec(kind, value["spec"]):
            yield _finding(document, "$.spec" + path[1:], problem_text)


def _repetition_findings(
    document: SourceDocument,
    document_by_key: Mapping[rules.ResourceKey, SourceDocument],
) -> Iterator[outcomes.Finding]:
    first = document_by_key.get(_key(document))
    if first is not None:
        kind, name = _key(document)
        place = f"{first.file}: {first.path}"
        yield _finding(
            document, "$.name", f"{kind} {name!r} is also defined at {place}"
        )


def _rule_findings(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument],
    state: replay.ConfigurationState,
) -> Iterator[outcomes.Finding]:
    spec_by_key = replay.specs_by_key(state)
    spec_by_key.update((key, row.value["spec"]) for key, row in document_by_key.items())
    for problem in rules.check(spec_by_key, document_by_key.keys()):
        row = document_by_key.get(problem.key)
        if row is not None:
            yield _finding(row, problem.path, problem.problem)
        else:
            path = f"{problem.key[0]}/{problem.key[1]}: {problem.path}"
            yield outcomes.Finding(LOG_FILE, path, problem.problem)


def _host_findings(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument],
) -> Iterator[outcomes.Finding]:
    # Processes connect by IP address only, so a host name would never be reached.
    for row in _of_kind(document_by_key, "service"):
        for index, instance in enumerate(row.value["spec"]["instances"]):
            try:
                ipaddress.ip_address(instance["host"])
            except ValueError:
                problem = f"{instance['host']!r} is not an IP address"
                yield _finding(row, f"$.spec.instances[{index}].host", problem)


def _of_kind(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument], kind: str
) -> Iterator[SourceDocument]:
    return (row for key, row in document_by_key.items() if key[0] == kind)


def _settings_findings(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument],
    valid_settings: list[Any],
    known_vms: Collection[str] | None,
) -> Iterator[outcomes.Finding]:
    vms = set(known_vms or ())
    for document in valid_settings:
        vms.add(document["vm"])
        vms.update(peer["vm"] for peer in document["peers"])
    if vms or known_vms is not None:
        yield from _drain_findings(document_by_key, vms)
    if valid_settings:
        yield from _data_centre_findings(document_by_key, valid_settings)
        yield from _limit_findings(document_by_key, valid_settings)


def _drain_findings(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument], vms: Collection[str]
) -> Iterator[outcomes.Finding]:
    for row in _of_kind(document_by_key, "drain_order"):
        vm = row.value["spec"].get("vm")
        if vm is not None and vm not in vms:
            yield _finding(row, "$.spec.vm", f"entry VM {vm!r} does not exist")


def _data_centre_findings(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument],
    valid_settings: list[Any],
) -> Iterator[outcomes.Finding]:
    known = {
        name
        for document in valid_settings
        for names in document["regions"].values()
        for name in names
    }
    for row in _of_kind(document_by_key, "service"):
        for index, instance in enumerate(row.value["spec"]["instances"]):
            if instance["data_centre"] not in known:
                path = f"$.spec.instances[{index}].data_centre"
                problem = f"{instance['data_centre']!r} is in no region"
                yield _finding(row, path, problem)


def _limit_findings(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument],
    valid_settings: list[Any],
) -> Iterator[outcomes.Finding]:
    # A request is ended at request_ms, so a longer target or wait cannot be kept.
    request_ms = min(document["limits"]["request_ms"] for document in valid_settings)
    for row in _of_kind(document_by_key, "traffic_rank"):
        for member in ("target_ms", "queue_age_ms"):
            value = row.value["spec"].get(member, 0)
            if value > request_ms:
                problem = f"{value} is above request_ms {request_ms} of the settings"
                yield _finding(row, f"$.spec.{member}", problem)
