"""Forwarding of callers' requests to instances over HTTP/1.1."""

from .core import Gateway
from .messages import Answer, Dialect, Request

__all__ = ["Answer", "Dialect", "Gateway", "Request"]
