"""Order a set of changes so that the configuration is valid after each write."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from . import replay, rules, specs


class ResourceChange(NamedTuple):
    """Set the spec of a resource, or delete it with a spec of None.

    ``expected_revision`` is the revision that the operator saw, None for the current
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
    """Hold the changes in an order that keeps each intermediate state valid."""

    changes: tuple[ResourceChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NoValidOrder:
    """Hold the changes that are invalid in any order, each with its first problem."""

    problem_by_key: dict[rules.ResourceKey, str]


def order_changes(
    changes: Sequence[ResourceChange], state: replay.ConfigurationState
) -> ChangePlan | NoValidOrder:
    """Return the changes in a valid order.

    Every VM validates each write separately, so each intermediate state must be valid.
    """
    spec_by_key = replay.specs_by_key(state)
    remaining = sorted(changes, key=_sort_key)
    ordered: list[ResourceChange] = []
    while remaining:
        problem_by_key: dict[rules.ResourceKey, str] = {}
        for change in remaining:
            changed_specs = _apply_change(spec_by_key, change)
            problems = rules.check(changed_specs, {change.key})
            if not problems:
                spec_by_key = changed_specs
                ordered.append(change)
                remaining.remove(change)
                break
            problem_by_key[change.key] = problems[0].problem
        else:
            return NoValidOrder(problem_by_key)
    return ChangePlan(tuple(ordered))


def _sort_key(change: ResourceChange) -> tuple[bool, int, str]:
    # A service must exist before the resources that refer to it and be deleted
    # after them; specs.KINDS lists kinds in that order.
    position = specs.KINDS.index(change.kind)
    deleted = change.spec is None
    return deleted, -position if deleted else position, change.name


def _apply_change(
    spec_by_key: Mapping[rules.ResourceKey, Mapping[str, Any]], change: ResourceChange
) -> dict[rules.ResourceKey, Mapping[str, Any]]:
    changed_specs = dict(spec_by_key)
    if change.spec is None:
        changed_specs.pop(change.key, None)
    else:
        changed_specs[change.key] = change.spec
    return changed_specs
