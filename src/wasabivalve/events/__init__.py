"""Numbered log events."""

from .core import (
    EVENT_BY_NUMBER,
    Event,
    configure,
    configure_stream,
    emit,
    render_catalogue,
)

__all__ = [
    "EVENT_BY_NUMBER",
    "Event",
    "configure",
    "configure_stream",
    "emit",
    "render_catalogue",
]
