"""Entry daemon: serve callers, route requests and take part in control."""

from .core import EntryDaemon

__all__ = ["EntryDaemon"]
