"""Choice of the instance that gets a request, and what is known of instances."""

from .core import InstanceLoad, RegisteredInstance, Topology, choose
from .directory import InstanceDirectory

__all__ = [
    "InstanceDirectory",
    "InstanceLoad",
    "RegisteredInstance",
    "Topology",
    "choose",
]
