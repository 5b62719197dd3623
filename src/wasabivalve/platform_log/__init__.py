"""Client of the platform's append-only log service."""

from .append import (
    AppendFailed,
    AppendProved,
    AppendUnresolved,
    LogAppender,
    append_certainly,
)
from .core import (
    Appended,
    AppendUnknown,
    Gap,
    LogClient,
    LoggedRecord,
    LogUnavailable,
    ReadBatch,
)

__all__ = [
    "AppendFailed",
    "AppendProved",
    "AppendUnknown",
    "AppendUnresolved",
    "Appended",
    "Gap",
    "LogAppender",
    "LogClient",
    "LogUnavailable",
    "LoggedRecord",
    "ReadBatch",
    "append_certainly",
]
