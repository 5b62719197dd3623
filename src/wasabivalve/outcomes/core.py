"""Define the outcomes of requests and the findings of checks."""

import dataclasses
from typing import NamedTuple


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Hold the complete response of an upstream."""

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
    """Hold one problem, the file and the JSON path where it was found."""

    file: str
    path: str
    problem: str

    def __str__(self) -> str:
        """Return ``file: path: problem``."""
        return f"{self.file}: {self.path}: {self.problem}"
