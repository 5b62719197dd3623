"""Define the fencing token."""

from typing import NamedTuple


class Token(NamedTuple):
    """Order the commands of controllers; compares as a tuple."""

    term: int
    position: int
    step: int


NO_TOKEN = Token(-1, 0, 0)
