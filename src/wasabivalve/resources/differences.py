"""Compare two specs member by member."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

# Stands for a member that one side does not have.
ABSENT = "(absent)"


class Difference(NamedTuple):
    """Hold two values of one JSON path."""

    path: str
    mine: Any
    theirs: Any


def between(mine: Any, theirs: Any, path: str = "$.spec") -> tuple[Difference, ...]:
    """Return the differences of two JSON values, in order of path."""
    return tuple(_walk(mine, theirs, path))


def _walk(mine: Any, theirs: Any, path: str) -> Iterator[Difference]:
    if isinstance(mine, Mapping) and isinstance(theirs, Mapping):
        for name in sorted({*mine, *theirs}):
            yield from _walk(
                mine.get(name, ABSENT), theirs.get(name, ABSENT), f"{path}.{name}"
            )
    elif isinstance(mine, list) and isinstance(theirs, list):
        for index in range(max(len(mine), len(theirs))):
            yield from _walk(
                mine[index] if index < len(mine) else ABSENT,
                theirs[index] if index < len(theirs) else ABSENT,
                f"{path}[{index}]",
            )
    elif mine != theirs:
        yield Difference(path, mine, theirs)
