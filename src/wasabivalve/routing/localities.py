"""Order names by their distance from a place."""

from collections.abc import Mapping
from typing import NamedTuple


class Locality(NamedTuple):
    """Name the data centre of a process and the region of that data centre."""

    data_centre: str
    region: str


def proximity_tiers(
    origin: Locality, place_by_name: Mapping[str, Locality]
) -> tuple[tuple[str, ...], ...]:
    """Return the names in the data centre, in the rest of the region, elsewhere."""
    found: tuple[list[str], list[str], list[str]] = ([], [], [])
    for name, place in place_by_name.items():
        found[_distance(origin, place)].append(name)
    return tuple(tuple(names) for names in found)


def _distance(origin: Locality, place: Locality) -> int:
    if place.region != origin.region:
        return 2
    return int(place.data_centre != origin.data_centre)
