"""Define the outcomes of a request and the findings of a check."""

import dataclasses
from typing import NamedTuple


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Carry the whole answer of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """State that the request was certainly not run."""

    reason: str
    retry_after_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """State that the request may or may not have run."""

    reason: str


Outcome = Done | NotRun | Unknown


class Finding(NamedTuple):
    """Name one problem with its place."""

    file: str
    path: str
    problem: str

    def __str__(self) -> str:
        """Return ``file: path: problem``."""
        return f"{self.file}: {self.path}: {self.problem}"
