"""Validate resource and settings files and report all findings together."""

import ipaddress
import json
import pathlib
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from wasabivalve import outcomes, settings

from . import replay, rules, specs

# Replaces the file name in findings on a resource that is only on the log.
LOG_PLACEHOLDER = "(log)"
# Members of the JSON output of the ``get`` command; only ``resources`` is written.
GET_OUTPUT_MEMBERS = frozenset({"resources", "revision", "audit", "status"})
# An object with one of these members and no ``kind`` holds settings, not a resource.
SETTINGS_MEMBERS = frozenset({"vm", "callers", "peer", "peers"})


class SourceDocument(NamedTuple):
    """Hold one resource or settings object, its file and its JSON path in the file."""

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
    """Hold the documents of files, and the findings for unreadable files."""

    documents: tuple[SourceDocument, ...]
    findings: tuple[outcomes.Finding, ...]


def read_files(paths: Iterable[str | pathlib.Path]) -> LoadedFiles:
    """Read JSON files that hold one document, a list, or ``{"resources": [...]}``."""
    documents: list[SourceDocument] = []
    findings: list[outcomes.Finding] = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(encoding="utf-8")
            content = json.loads(text, parse_constant=_reject_constant)
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
        and content.keys() <= GET_OUTPUT_MEMBERS
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
    """Return all findings on documents that are to be written to a state.

    Settings documents are checked too, and the resources are checked against the VMs,
    data centres and limits of the settings. Without settings and ``known_vms``, the VMs
    of drain orders are not checked.
    """
    documents = tuple(documents)
    settings_documents = [document for document in documents if document.is_settings]
    findings = [
        finding
        for document in settings_documents
        for finding in settings.check(document.value, document.file)
    ]
    valid_settings = [
        settings.merge_defaults(document.value)
        for document in settings_documents
        if not settings.check(document.value, document.file)
    ]
    candidates = [document for document in documents if not document.is_settings]
    document_by_key: dict[rules.ResourceKey, SourceDocument] = {}
    for document in candidates:
        document_findings = tuple(_document_findings(document)) or tuple(
            _duplicate_findings(document, document_by_key)
        )
        findings += document_findings
        if not document_findings:
            document_by_key[_key(document)] = document
    findings += _rule_findings(document_by_key, state)
    findings += _host_findings(document_by_key)
    findings += _settings_findings(document_by_key, valid_settings, known_vms)
    return tuple(dict.fromkeys(findings))


def _reject_constant(name: str) -> None:
    raise ValueError(f"expected a JSON number, found {name}")


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


def _duplicate_findings(
    document: SourceDocument,
    document_by_key: Mapping[rules.ResourceKey, SourceDocument],
) -> Iterator[outcomes.Finding]:
    first = document_by_key.get(_key(document))
    if first is not None:
        kind, name = _key(document)
        first_definition = f"{first.file}: {first.path}"
        yield _finding(
            document, "$.name", f"{kind} {name!r} is also defined at {first_definition}"
        )


def _rule_findings(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument],
    state: replay.ConfigurationState,
) -> Iterator[outcomes.Finding]:
    spec_by_key = replay.specs_by_key(state)
    spec_by_key.update(
        (key, document.value["spec"]) for key, document in document_by_key.items()
    )
    for problem in rules.check(spec_by_key, document_by_key.keys()):
        document = document_by_key.get(problem.key)
        if document is not None:
            yield _finding(document, problem.path, problem.problem)
        else:
            path = f"{problem.key[0]}/{problem.key[1]}: {problem.path}"
            yield outcomes.Finding(LOG_PLACEHOLDER, path, problem.problem)


def _host_findings(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument],
) -> Iterator[outcomes.Finding]:
    # Processes connect to IP addresses only, so a host name would be unreachable.
    for document in _of_kind(document_by_key, "service"):
        for index, instance in enumerate(document.value["spec"]["instances"]):
            try:
                ipaddress.ip_address(instance["host"])
            except ValueError:
                problem = f"{instance['host']!r} is not an IP address"
                yield _finding(document, f"$.spec.instances[{index}].host", problem)


def _of_kind(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument], kind: str
) -> Iterator[SourceDocument]:
    return (document for key, document in document_by_key.items() if key[0] == kind)


def _settings_findings(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument],
    valid_settings: list[Any],
    known_vms: Collection[str] | None,
) -> Iterator[outcomes.Finding]:
    vms = set(known_vms or ())
    for entry_settings in valid_settings:
        vms.add(entry_settings["vm"])
        vms.update(peer["vm"] for peer in entry_settings["peers"])
    if vms or known_vms is not None:
        yield from _drain_findings(document_by_key, vms)
    if valid_settings:
        yield from _data_centre_findings(document_by_key, valid_settings)
        yield from _limit_findings(document_by_key, valid_settings)


def _drain_findings(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument], vms: Collection[str]
) -> Iterator[outcomes.Finding]:
    for document in _of_kind(document_by_key, "drain_order"):
        vm = document.value["spec"].get("vm")
        if vm is not None and vm not in vms:
            yield _finding(document, "$.spec.vm", f"entry VM {vm!r} does not exist")


def _data_centre_findings(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument],
    valid_settings: list[Any],
) -> Iterator[outcomes.Finding]:
    known_data_centres = {
        name
        for entry_settings in valid_settings
        for names in entry_settings["regions"].values()
        for name in names
    }
    for document in _of_kind(document_by_key, "service"):
        for index, instance in enumerate(document.value["spec"]["instances"]):
            if instance["data_centre"] not in known_data_centres:
                path = f"$.spec.instances[{index}].data_centre"
                problem = f"{instance['data_centre']!r} is in no region"
                yield _finding(document, path, problem)


def _limit_findings(
    document_by_key: Mapping[rules.ResourceKey, SourceDocument],
    valid_settings: list[Any],
) -> Iterator[outcomes.Finding]:
    # A request ends after request_ms, so a longer target or queue age is never reached.
    request_ms = min(
        entry_settings["limits"]["request_ms"] for entry_settings in valid_settings
    )
    for document in _of_kind(document_by_key, "traffic_rank"):
        for member in ("target_ms", "queue_age_ms"):
            value = document.value["spec"].get(member, 0)
            if value > request_ms:
                problem = f"{value} is above request_ms {request_ms} of the settings"
                yield _finding(document, f"$.spec.{member}", problem)
