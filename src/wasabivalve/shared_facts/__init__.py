"""Facts that one VM learns and that bind all VMs, also new and separated ones."""

from . import crash_evidence
from .core import Fact, FactBoard, FactKind
from .instance_limits import InstanceLimits, incarnation_name
from .instance_paces import InstancePaces
from .leaving_instances import LeavingInstances

__all__ = [
    "Fact",
    "FactBoard",
    "FactKind",
    "InstanceLimits",
    "InstancePaces",
    "LeavingInstances",
    "crash_evidence",
    "incarnation_name",
]
