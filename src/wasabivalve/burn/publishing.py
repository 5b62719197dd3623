"""Append the summaries of one VM to the log, also after outages of the log."""

import collections
from collections.abc import Iterable

from wasabivalve import platform_log
from wasabivalve.schema import records_generated

STREAM = "burn"
# Three days of five-minute intervals, the longest window of the report.
MAX_SUMMARIES = 864
BATCH = 50


class SummaryQueue:
    """Hold summaries until an append of them succeeded; not safe for threads.

    The oldest summaries are dropped beyond the bound, and show up as missing.
    """

    def __init__(self, max_summaries: int = MAX_SUMMARIES):
        """Take the number of summaries to keep."""
        self._waiting: collections.deque[records_generated.BurnSummary] = (
            collections.deque(maxlen=max_summaries)
        )

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, summaries: Iterable[records_generated.BurnSummary]) -> None:
        """Add summaries returned by a `BurnRecorder`."""
        self._waiting.extend(summaries)

    def flush(self, client: platform_log.LogAppender, stream: str = STREAM) -> bool:
        """Append what waits; return whether nothing waits any more.

        After an unknown outcome the same records are appended again by the next
        call: the report counts each record id once.
        """
        while self._waiting:
            batch = list(self._waiting)[:BATCH]
            outcome = client.append(stream, [dict(row) for row in batch])
            if not isinstance(outcome, platform_log.Appended):
                return False
            for _ in batch:
                self._waiting.popleft()
        return True
