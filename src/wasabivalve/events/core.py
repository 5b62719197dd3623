"""Emit log events with the numbers, levels and texts of the catalogue."""

import sys
import time
from typing import Any, NamedTuple

import loguru

from . import catalogue, stream


class Event(NamedTuple):
    """Describe one log event."""

    number: int
    level: str
    text: str


EVENT_BY_NUMBER = {row[0]: Event(*row) for row in catalogue.ROWS}


def configure(level: str = "INFO", serialize: bool = False) -> None:
    """Send log events of this level and above to standard error."""
    loguru.logger.remove()
    loguru.logger.add(
        sys.stderr,
        level=level,
        serialize=serialize,
        format="{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}",
    )


def configure_stream(descriptor: int, level: str = "INFO") -> None:
    """Write log events of this level and above to a descriptor, without blocking."""
    loguru.logger.remove()
    loguru.logger.add(
        stream.RateLimitedStream(descriptor, time.monotonic),
        level=level,
        format="{time:HH:mm:ss.SSS} {level} {message}",
    )


def emit(number: int, **fields: Any) -> None:
    """Log an event with these fields; raise KeyError for an unlisted number."""
    event = EVENT_BY_NUMBER[number]
    values = " ".join(f"{name}={value}" for name, value in fields.items())
    logger = loguru.logger.bind(event=number, **fields)
    logger.log(event.level, "{}", f"WV{number:04d} {event.text} {values}".rstrip())


def render_catalogue() -> str:
    """Return the table of all log events as a Markdown page."""
    lines = ["# Log events", "", "| event | level | meaning |", "|---|---|---|"]
    for number, event in sorted(EVENT_BY_NUMBER.items()):
        lines.append(f"| WV{number:04d} | {event.level} | {event.text} |")
    return "\n".join(lines) + "\n"
