"""Choice of owner, instance and dispatcher for a request."""

from . import dispatcher, instances, owner_table, places
from .dispatcher import dispatcher_of, rank_dispatchers
from .instances import Observations, choose_instance
from .owner_table import Owner, OwnerTable, find_problems, newest
from .places import Place

__all__ = [
    "Observations",
    "Owner",
    "OwnerTable",
    "Place",
    "choose_instance",
    "dispatcher",
    "dispatcher_of",
    "find_problems",
    "instances",
    "newest",
    "owner_table",
    "places",
    "rank_dispatchers",
]
