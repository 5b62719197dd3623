"""Stand-ins of the platform for tests and demonstrations."""

from .log_service import LogFaults, LogService, Retention

__all__ = ["LogFaults", "LogService", "Retention"]
