"""Group names by their distance from a locality."""

from collections.abc import Mapping
from typing import NamedTuple


class Locality(NamedTuple):
    """Identify the data centre of a process and the region of that data centre."""

    data_centre: str
    region: str


def proximity_tiers(
    origin: Locality, locality_by_name: Mapping[str, Locality]
) -> tuple[tuple[str, ...], ...]:
    """Return the names in three tiers: same data centre, same region, elsewhere."""
    tiers: tuple[list[str], list[str], list[str]] = ([], [], [])
    for name, locality in locality_by_name.items():
        tiers[_distance(origin, locality)].append(name)
    return tuple(tuple(names) for names in tiers)


def _distance(origin: Locality, locality: Locality) -> int:
    if locality.region != origin.region:
        return 2
    return int(locality.data_centre != origin.data_centre)
