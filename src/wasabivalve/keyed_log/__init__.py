"""Topics of a compacted log, which keeps the newest record of each key."""

from .core import (
    Batch,
    Listing,
    Record,
    TopicFollower,
    TopicSource,
    Trimmed,
    Unavailable,
)

__all__ = [
    "Batch",
    "Listing",
    "Record",
    "TopicFollower",
    "TopicSource",
    "Trimmed",
    "Unavailable",
]
