"""Append the summaries of one VM to the log, and keep them during its outages."""

import collections
from collections.abc import Iterable

from wasabivalve import platform_log
from wasabivalve.schema import records_generated

STREAM = "burn"
# Three days of five-minute intervals: the longest window of the report.
MAX_SUMMARIES = 864
MAX_BATCH_RECORDS = 50


class SummaryQueue:
    """Hold summaries until they are appended to the log; not thread-safe.

    Above ``max_summaries`` the oldest are dropped; the report counts their intervals as
    missing.
    """

    def __init__(self, max_summaries: int = MAX_SUMMARIES):
        """Create an empty queue of at most ``max_summaries`` summaries."""
        self._pending: collections.deque[records_generated.BurnSummary] = (
            collections.deque(maxlen=max_summaries)
        )

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, summaries: Iterable[records_generated.BurnSummary]) -> None:
        """Add summaries returned by a `BurnRecorder`."""
        self._pending.extend(summaries)

    def flush(self, client: platform_log.LogAppender, stream: str = STREAM) -> bool:
        """Append the pending summaries; return whether the queue is empty.

        After an unknown outcome the next call appends the same records again, since
        the report counts each record id once.
        """
        while self._pending:
            batch = list(self._pending)[:MAX_BATCH_RECORDS]
            outcome = client.append(stream, [dict(summary) for summary in batch])
            if not isinstance(outcome, platform_log.Appended):
                return False
            for _ in batch:
                self._pending.popleft()
        return True
