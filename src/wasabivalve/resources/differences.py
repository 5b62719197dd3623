"""Compare two specs member by member."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

# Placeholder for a member that one of the specs does not have.
ABSENT = "(absent)"


class Difference(NamedTuple):
    """Hold the differing values at one JSON path; either may be `ABSENT`."""

    path: str
    mine: Any
    theirs: Any


def between(mine: Any, theirs: Any, path: str = "$.spec") -> tuple[Difference, ...]:
    """Return the differences between two JSON values, in order of path."""
    return tuple(_find_differences(mine, theirs, path))


def _find_differences(mine: Any, theirs: Any, path: str) -> Iterator[Difference]:
    if isinstance(mine, Mapping) and isinstance(theirs, Mapping):
        for name in sorted({*mine, *theirs}):
            yield from _find_differences(
                mine.get(name, ABSENT), theirs.get(name, ABSENT), f"{path}.{name}"
            )
    elif isinstance(mine, list) and isinstance(theirs, list):
        for index in range(max(len(mine), len(theirs))):
            yield from _find_differences(
                mine[index] if index < len(mine) else ABSENT,
                theirs[index] if index < len(theirs) else ABSENT,
                f"{path}[{index}]",
            )
    elif mine != theirs:
        yield Difference(path, mine, theirs)
