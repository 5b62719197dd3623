"""Instance selection, based on registration and observed load."""

from .core import InstanceLoad, RegisteredInstance, Topology, choose
from .directory import InstanceDirectory

__all__ = [
    "InstanceDirectory",
    "InstanceLoad",
    "RegisteredInstance",
    "Topology",
    "choose",
]
