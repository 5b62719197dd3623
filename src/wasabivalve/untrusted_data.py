"""Decode and print data that others have written, whatever it holds.

Values that JSON or MessagePack can carry may be nested too deeply, or be numbers too
long, for Python to decode, print or compare them without an exception.
"""

from typing import Any, TypeVar

import msgspec

EXCERPT_CHARACTERS = 40
"""Characters of a value in a log event or in the text of an error."""

NOT_PRINTABLE = "not printable"

Decoded = TypeVar("Decoded")


class UndecodableError(Exception):
    """Report that bytes are not a valid value of the expected type."""


def excerpt(value: object, max_characters: int = EXCERPT_CHARACTERS) -> str:
    """Return the beginning of a value as Python prints it, on one line."""
    if isinstance(value, (str, bytes)):
        # Text may be megabytes long, of which only the beginning is printed.
        value = value[:max_characters]
    try:
        return repr(value)[:max_characters]
    except (ValueError, RecursionError):
        return NOT_PRINTABLE


def decode_json(data: bytes, type: type[Decoded] | Any = Any) -> Any:
    """Return the JSON value of a type; raise ``UndecodableError``."""
    try:
        return msgspec.json.decode(data, type=type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise UndecodableError(str(error)) from error


def decode_msgpack(data: bytes, type: type[Decoded] | Any = Any) -> Any:
    """Return the MessagePack value of a type; raise ``UndecodableError``."""
    try:
        return msgspec.msgpack.decode(data, type=type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise UndecodableError(str(error)) from error


def decode_digits(text: str | bytes, maximum: int) -> int | None:
    """Return a number of decimal digits from 0 to a maximum, else None."""
    if not text.isascii() or not text.isdigit() or len(text) > len(str(maximum)):
        return None
    number = int(text)
    return number if number <= maximum else None
