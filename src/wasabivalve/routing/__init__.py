"""Choice of owner, instance and dispatcher for a request."""

from . import dispatcher, load_balancing, localities, owner_index
from .dispatcher import choose_dispatcher, rank_dispatchers
from .load_balancing import InstanceStatistics, choose_instance
from .localities import Locality
from .owner_index import Owner, OwnerIndex, newest_owner_index, validate_owner_table

__all__ = [
    "InstanceStatistics",
    "Locality",
    "Owner",
    "OwnerIndex",
    "choose_dispatcher",
    "choose_instance",
    "dispatcher",
    "load_balancing",
    "localities",
    "newest_owner_index",
    "owner_index",
    "rank_dispatchers",
    "validate_owner_table",
]
