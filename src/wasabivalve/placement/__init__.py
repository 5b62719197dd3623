"""Choice of the instance that gets a request, and what is known of instances."""

from .core import Instance, InstanceLoad, Places, choose
from .directory import InstanceDirectory

__all__ = ["Instance", "InstanceDirectory", "InstanceLoad", "Places", "choose"]
