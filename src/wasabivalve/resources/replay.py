"""Replay the configuration stream into the state that every reader shares."""

import dataclasses
import types
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from wasabivalve.schema import records_generated

from . import rules, signing, specs

# Bounds the memory for duplicate ids. An older duplicate of an update or a deletion
# cannot match any more, since revisions are offsets and never recur.
MAX_STORED_RECORD_IDS = 4_096
NO_REVISION = 0


class Resource(NamedTuple):
    """Hold one resource as its last accepted write left it."""

    kind: str
    name: str
    revision: int
    spec: Mapping[str, Any]
    operator: str
    written_at: str
    record_id: str
    record: Mapping[str, Any]


class ConfigurationState(NamedTuple):
    """Hold the configuration after a prefix of the stream.

    ``revision`` is the offset of the last accepted record, 0 for none.
    ``next_offset`` is the first offset that has not been applied.
    """

    resource_by_key: Mapping[rules.ResourceKey, Resource] = types.MappingProxyType({})
    revision: int = NO_REVISION
    next_offset: int = 0
    recent_record_ids: Mapping[str, int] = types.MappingProxyType({})


EMPTY_CONFIGURATION = ConfigurationState()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRecordResult:
    """Carry the state after a record and whether the record was accepted."""

    state: ConfigurationState
    accepted: bool
    reason: str


def apply(
    state: ConfigurationState,
    offset: int,
    record: Mapping[str, Any],
    keys_by_operator: Mapping[str, str],
    trust_unknown_operators: bool = False,
) -> ConfigurationRecordResult:
    """Return the state after the record at an offset; keys are given in hex.

    A record that does not take effect is ignored with a reason and no exception.
    Offsets must follow each other: a record beyond ``next_offset`` changes nothing.
    ``trust_unknown_operators`` is for operator commands, which may hold only the key
    of their own operator: they cannot check the signatures of the others.
    """
    if offset < state.next_offset:
        return ConfigurationRecordResult(
            state, False, f"offset {offset} was applied before"
        )
    if offset > state.next_offset:
        # Going on without the missing records could put part of a configuration in
        # force; the reader needs a snapshot.
        return ConfigurationRecordResult(
            state, False, f"records from {state.next_offset} are missing"
        )
    after = state._replace(next_offset=offset + 1)
    if not isinstance(record, Mapping) or record.get("kind") != "resource_write":
        return ConfigurationRecordResult(after, False, "record is not a resource write")
    problem = _authenticity_problem(record, keys_by_operator, trust_unknown_operators)
    if problem:
        return ConfigurationRecordResult(after, False, problem)
    record_id = record["record_id"]
    if record_id in state.recent_record_ids:
        first = state.recent_record_ids[record_id]
        return ConfigurationRecordResult(
            after, False, f"record id repeats the record at offset {first}"
        )
    # Refused records are remembered too: a later copy must not take effect when the
    # first did not.
    after = _remember(after, record_id, offset)
    problem = _write_problem(state, offset, record)
    if problem:
        return ConfigurationRecordResult(after, False, problem)
    return ConfigurationRecordResult(_write(after, offset, record), True, "")


def write_problems(
    state: ConfigurationState, kind: str, name: str, deleted: bool, spec: Any
) -> tuple[specs.DocumentProblem, ...]:
    """Return the findings that one write to this state would be refused for."""
    if kind not in specs.DEFINITION_BY_KIND:
        return (specs.DocumentProblem("$.kind", f"unknown kind {kind!r}"),)
    found = specs.check_name(name)
    if not deleted:
        found += tuple(
            specs.DocumentProblem("$.spec" + problem.path[1:], problem.problem)
            for problem in specs.check_spec(kind, spec)
        )
    if found:
        return found
    spec_by_key = specs_by_key(state)
    if deleted:
        spec_by_key.pop((kind, name), None)
    else:
        spec_by_key[kind, name] = spec
    return tuple(
        specs.DocumentProblem(problem.path, _with_key(problem, (kind, name)))
        for problem in rules.check(spec_by_key, {(kind, name)})
    )


def specs_by_key(
    state: ConfigurationState,
) -> dict[rules.ResourceKey, Mapping[str, Any]]:
    """Return the spec of each resource by (kind, name)."""
    return {key: resource.spec for key, resource in state.resource_by_key.items()}


def revision_of(state: ConfigurationState, kind: str, name: str) -> int:
    """Return the revision of a resource, 0 when it does not exist."""
    resource = state.resource_by_key.get((kind, name))
    return resource.revision if resource else NO_REVISION


def resource_of(offset: int, record: Mapping[str, Any]) -> Resource:
    """Return the resource that an accepted write at an offset makes."""
    return Resource(
        kind=record["resource_kind"],
        name=record["name"],
        revision=offset,
        spec=types.MappingProxyType(dict(record["spec"])),
        operator=record["operator"],
        written_at=record["written_at"],
        record_id=record["record_id"],
        record=record,
    )


def _with_key(problem: rules.RuleProblem, written: rules.ResourceKey) -> str:
    if problem.key == written:
        return problem.problem
    return f"{problem.key[0]} {problem.key[1]!r}: {problem.problem}"


def _authenticity_problem(
    record: Mapping[str, Any],
    keys_by_operator: Mapping[str, str],
    trust_unknown_operators: bool,
) -> str:
    try:
        msgspec.convert(record, records_generated.ResourceWrite)
    except (msgspec.ValidationError, RecursionError) as error:
        return f"record does not fit its schema: {error}"
    operator = record["operator"]
    if operator not in keys_by_operator:
        if trust_unknown_operators:
            return ""
        return f"operator {operator!r} has no key"
    if not signing.verify(record, keys_by_operator[operator]):
        return f"signature of operator {operator!r} is wrong"
    return ""


def _remember(
    state: ConfigurationState, record_id: str, offset: int
) -> ConfigurationState:
    recent = dict(state.recent_record_ids)
    recent[record_id] = offset
    if len(recent) > MAX_STORED_RECORD_IDS:
        del recent[next(iter(recent))]
    return state._replace(recent_record_ids=types.MappingProxyType(recent))


def _write_problem(
    state: ConfigurationState, offset: int, record: Mapping[str, Any]
) -> str:
    if offset == NO_REVISION:
        # An expected revision of 0 means "does not exist", so no write may have it.
        return "offset 0 cannot be a revision; a marker record must take it"
    kind, name = record["resource_kind"], record["name"]
    current = revision_of(state, kind, name)
    if record["expected_revision"] != current:
        return (
            f"expected revision {record['expected_revision']}, "
            f"but the revision is {current}"
        )
    if record["deleted"] and current == NO_REVISION:
        return f"{kind} {name!r} does not exist"
    problems = write_problems(state, kind, name, record["deleted"], record["spec"])
    return "; ".join(f"{row.path}: {row.problem}" for row in problems)


def _write(
    state: ConfigurationState, offset: int, record: Mapping[str, Any]
) -> ConfigurationState:
    resources = dict(state.resource_by_key)
    key = (record["resource_kind"], record["name"])
    if record["deleted"]:
        del resources[key]
    else:
        resources[key] = resource_of(offset, record)
    return state._replace(
        resource_by_key=types.MappingProxyType(resources), revision=offset
    )
