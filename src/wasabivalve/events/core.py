"""Emit log events whose numbers and texts the catalogue lists."""

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
    """Write log events to a descriptor without ever waiting for its reader."""
    loguru.logger.remove()
    loguru.logger.add(
        stream.RateLimitedStream(descriptor, time.monotonic),
        level=level,
        format="{time:HH:mm:ss.SSS} {level} {message}",
    )


def emit(number: int, **fields: Any) -> None:
    """Log the event with this number and these fields."""
    event = EVENT_BY_NUMBER[number]
    values = " ".join(f"{name}={value}" for name, value in fields.items())
    bound = loguru.logger.bind(event=number, **fields)
    bound.log(event.level, "{}", f"WV{number:04d} {event.text} {values}".rstrip())


def render_catalogue() -> str:
    """Return the page of all log events in Markdown."""
    lines = ["# Log events", "", "| event | level | meaning |", "|---|---|---|"]
    for number, event in sorted(EVENT_BY_NUMBER.items()):
        lines.append(f"| WV{number:04d} | {event.level} | {event.text} |")
    return "\n".join(lines) + "\n"
