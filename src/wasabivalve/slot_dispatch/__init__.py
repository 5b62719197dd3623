"""Assignment of the slots of instances by one VM of each region."""

from .client import (
    NoDispatcher,
    SlotAnswer,
    SlotClient,
    SlotDemand,
    SlotGranted,
    SlotPermit,
    SlotRefused,
)
from .core import AddressedReply, SlotDispatcher
from .messages import (
    DispatchMessage,
    FreeSlots,
    ReplyState,
    SlotRelease,
    SlotReply,
    SlotRequest,
    SlotResult,
    SlotsHeld,
)

__all__ = [
    "AddressedReply",
    "DispatchMessage",
    "FreeSlots",
    "NoDispatcher",
    "ReplyState",
    "SlotAnswer",
    "SlotClient",
    "SlotDemand",
    "SlotDispatcher",
    "SlotGranted",
    "SlotPermit",
    "SlotRefused",
    "SlotRelease",
    "SlotReply",
    "SlotRequest",
    "SlotResult",
    "SlotsHeld",
]
