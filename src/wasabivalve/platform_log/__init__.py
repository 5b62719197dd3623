"""Client of the platform's append-only log service."""

from .append import (
    AppendConfirmed,
    AppendFailed,
    AppendUnresolved,
    LogAppender,
    append_and_confirm,
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
    "AppendConfirmed",
    "AppendFailed",
    "AppendUnknown",
    "AppendUnresolved",
    "Appended",
    "Gap",
    "LogAppender",
    "LogClient",
    "LogUnavailable",
    "LoggedRecord",
    "ReadBatch",
    "append_and_confirm",
]
