"""Order the writes of a file so that each one leaves a valid configuration."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from . import replay, rules, specs


class ResourceChange(NamedTuple):
    """Set the spec of a resource, or delete it with a spec of None.

    ``expected_revision`` is the revision that the operator saw, None for the present
    one.
    """

    kind: str
    name: str
    spec: Mapping[str, Any] | None
    expected_revision: int | None = None

    @property
    def key(self) -> rules.ResourceKey:
        """Return (kind, name)."""
        return self.kind, self.name


@dataclasses.dataclass(frozen=True, slots=True)
class ChangePlan:
    """Carry the changes in an order that keeps each intermediate state valid."""

    changes: tuple[ResourceChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NoValidOrder:
    """Carry the changes that no order allows, each with its first problem."""

    problem_by_key: dict[rules.ResourceKey, str]


def order_changes(
    changes: Sequence[ResourceChange], state: replay.ConfigurationState
) -> ChangePlan | NoValidOrder:
    """Return the changes in a valid order; every VM checks each write by itself."""
    spec_by_key = replay.specs_by_key(state)
    remaining = sorted(changes, key=_rank)
    ordered: list[ResourceChange] = []
    while remaining:
        problem_by_key: dict[rules.ResourceKey, str] = {}
        for change in remaining:
            candidate = _with(spec_by_key, change)
            problems = rules.check(candidate, {change.key})
            if not problems:
                spec_by_key = candidate
                ordered.append(change)
                remaining.remove(change)
                break
            problem_by_key[change.key] = problems[0].problem
        else:
            return NoValidOrder(problem_by_key)
    return ChangePlan(tuple(ordered))


def _rank(change: ResourceChange) -> tuple[bool, int, str]:
    # A service exists before what refers to it, and outlives it.
    position = specs.KINDS.index(change.kind)
    deleted = change.spec is None
    return deleted, -position if deleted else position, change.name


def _with(
    spec_by_key: Mapping[rules.ResourceKey, Mapping[str, Any]], change: ResourceChange
) -> dict[rules.ResourceKey, Mapping[str, Any]]:
    candidate = dict(spec_by_key)
    if change.spec is None:
        candidate.pop(change.key, None)
    else:
        candidate[change.key] = change.spec
    return candidate
