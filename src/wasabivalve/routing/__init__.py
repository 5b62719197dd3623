"""Choice of owner and instance for a request."""

from . import rendezvous

__all__ = ["rendezvous"]
