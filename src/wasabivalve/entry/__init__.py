"""Entry daemon: callers, request path, control and peers."""

from .core import EntryDaemon

__all__ = ["EntryDaemon"]
