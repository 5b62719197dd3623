"""Tagged outcomes of operations that may fail."""

from .core import Done, Finding, NotRun, Outcome, Unknown

__all__ = ["Done", "Finding", "NotRun", "Outcome", "Unknown"]
