"""Replay the configuration stream; all readers reach the same state."""

import dataclasses
import types
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from wasabivalve import untrusted_data
from wasabivalve.schema import records_generated

from . import rules, signing, specs

# Limits the memory for detecting duplicates. A duplicate of a write older than this
# cannot take effect if it is an update or a deletion, because its expected revision is
# an offset, which never recurs.
MAX_STORED_RECORD_IDS = 4_096
NO_REVISION = 0


class Resource(NamedTuple):
    """Hold one resource as set by its last accepted write."""

    kind: str
    name: str
    revision: int
    spec: Mapping[str, Any]
    operator: str
    written_at: str
    record_id: str
    record: Mapping[str, Any]


class ConfigurationState(NamedTuple):
    """Hold the configuration after replaying a prefix of the stream.

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
    """Hold the state after a record and whether the record was accepted."""

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

    A record that does not take effect is ignored; ``reason`` says why.
    Offsets must be consecutive: a record beyond ``next_offset`` changes nothing.
    ``trust_unknown_operators`` skips the signature check for operators without a key.
    It is for operator commands, which may have only the key of their own operator.
    """
    if offset < state.next_offset:
        return ConfigurationRecordResult(
            state, False, f"offset {offset} was already applied"
        )
    if offset > state.next_offset:
        # Applying this record without the missing ones could activate a partial
        # configuration; the reader must restore a snapshot first.
        return ConfigurationRecordResult(
            state, False, f"records from {state.next_offset} are missing"
        )
    next_state = state._replace(next_offset=offset + 1)
    if not isinstance(record, Mapping) or record.get("kind") != "resource_write":
        return ConfigurationRecordResult(
            next_state, False, "record is not a resource write"
        )
    problem = _authenticity_problem(record, keys_by_operator, trust_unknown_operators)
    if problem:
        return ConfigurationRecordResult(next_state, False, problem)
    record_id = record["record_id"]
    if record_id in state.recent_record_ids:
        first = state.recent_record_ids[record_id]
        return ConfigurationRecordResult(
            next_state, False, f"record id repeats the record at offset {first}"
        )
    # Ids of refused records are stored as well: a later copy must not take effect if
    # the first copy did not.
    next_state = _store_record_id(next_state, record_id, offset)
    try:
        problem = _write_problem(state, offset, record)
    except RecursionError:
        problem = "specification is nested too deeply"
    if problem:
        return ConfigurationRecordResult(next_state, False, problem)
    return ConfigurationRecordResult(_apply_write(next_state, offset, record), True, "")


def write_problems(
    state: ConfigurationState, kind: str, name: str, deleted: bool, spec: Any
) -> tuple[specs.DocumentProblem, ...]:
    """Return the problems for which a write to this state would be refused."""
    if kind not in specs.DEFINITION_BY_KIND:
        shown = untrusted_data.excerpt(kind)
        return (specs.DocumentProblem("$.kind", f"unknown kind {shown}"),)
    problems = specs.check_name(name)
    if not deleted:
        problems += tuple(
            specs.DocumentProblem("$.spec" + problem.path[1:], problem.problem)
            for problem in specs.check_spec(kind, spec)
        )
    if problems:
        return problems
    spec_by_key = specs_by_key(state)
    if deleted:
        spec_by_key.pop((kind, name), None)
    else:
        spec_by_key[kind, name] = spec
    return tuple(
        specs.DocumentProblem(
            problem.path, _prefix_other_resource(problem, (kind, name))
        )
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
    """Return the resource that an accepted write at an offset sets."""
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


def _prefix_other_resource(
    problem: rules.RuleProblem, written_key: rules.ResourceKey
) -> str:
    if problem.key == written_key:
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
        return f"signature does not match the key of operator {operator!r}"
    return ""


def _store_record_id(
    state: ConfigurationState, record_id: str, offset: int
) -> ConfigurationState:
    offset_by_record_id = dict(state.recent_record_ids)
    offset_by_record_id[record_id] = offset
    if len(offset_by_record_id) > MAX_STORED_RECORD_IDS:
        del offset_by_record_id[next(iter(offset_by_record_id))]
    return state._replace(recent_record_ids=types.MappingProxyType(offset_by_record_id))


def _write_problem(
    state: ConfigurationState, offset: int, record: Mapping[str, Any]
) -> str:
    if offset == NO_REVISION:
        # Revision 0 means "does not exist", so no resource may have it.
        return "offset 0 cannot be a revision; it must hold a marker record"
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
    return "; ".join(f"{problem.path}: {problem.problem}" for problem in problems)


def _apply_write(
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
