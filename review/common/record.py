"""Keep the record of a run: what was sent, answered and run, with its times."""

import pathlib
import time


class Record:
    """Hold timed lines and write them to a file at the end."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the time in s since the start of the run."""
        return time.monotonic() - self._started_at

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        self.lines.append(f"{self.now():8.3f} {text}")

    def write(self, path: pathlib.Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n")
