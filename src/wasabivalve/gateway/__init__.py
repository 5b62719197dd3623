"""Forwarding of callers' requests to instances over HTTP/1.1."""

from .core import Gateway
from .messages import HeaderFormat, HttpRequest, HttpResponse

__all__ = ["Gateway", "HeaderFormat", "HttpRequest", "HttpResponse"]
