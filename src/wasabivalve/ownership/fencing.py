"""Define the fencing token."""

from typing import NamedTuple


class FencingToken(NamedTuple):
    """Order the commands of controllers; compares as a tuple."""

    term: int
    position: int
    step: int


NO_TOKEN = FencingToken(-1, 0, 0)
