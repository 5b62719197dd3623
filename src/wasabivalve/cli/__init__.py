"""Command line of wasabivalve."""

from .core import main

__all__ = ["main"]
