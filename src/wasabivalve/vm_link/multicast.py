"""Reach all VMs with few messages between data centres.

A message goes to two VMs of each other data centre, and these send it on there. The
number of messages between data centres then depends on the number of data centres and
not on the number of VMs.
"""

import random
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from . import core

FORWARDERS_PER_DATA_CENTRE = 2
"""VMs that send a message on in their data centre; one of them may be down.

They are chosen anew for each message, so that no VM is cut off by the same two.
"""

MAX_DIRECT_RECEIVERS = 3
"""VMs of a data centre up to which each is sent the message itself."""

HEARD_TTL_S = 2.0
"""Time after a message of a VM for which it is preferred as a forwarder."""

UNLISTED_TTL_S = 10.0
"""Time after a message of a VM that is not listed for which it counts as running.

Limits that VMs share are kept over a window of that length.
"""

DUPLICATE_WINDOW_S = 0.3
"""Time in which an equal message is the copy of the other forwarder.

Relays without changes are equal too, and follow each other more slowly.
"""

MAX_RECENT_MESSAGES = 64


class DuplicateFilter:
    """Recognise the second copy of a message; times in s."""

    def __init__(self) -> None:
        self._received_at_by_content: dict[bytes, float] = {}

    def is_duplicate(self, content: bytes, now: float) -> bool:
        """Return whether a message was received before, and remember it."""
        recent = self._received_at_by_content
        if len(recent) >= MAX_RECENT_MESSAGES:
            del recent[next(iter(recent))]
        received_at = recent.pop(content, float("-inf"))
        is_duplicate = now < received_at + DUPLICATE_WINDOW_S
        recent[content] = received_at if is_duplicate else now
        return is_duplicate


class Receivers(NamedTuple):
    """Hold whom to send a message, and whom to ask to send it on."""

    direct: list[core.SocketAddress]
    forwarders: list[core.SocketAddress]


class LiveAddresses:
    """Hold when this VM last received a message of each other one; times in s."""

    def __init__(self) -> None:
        self._heard_at_by_address: dict[core.SocketAddress, float] = {}

    def on_message(self, sender: core.SocketAddress, now: float) -> None:
        """Record a message."""
        self._heard_at_by_address[sender] = now

    def count_live_beside(
        self, listed: Collection[core.SocketAddress], now: float
    ) -> int:
        """Return how many other addresses than the listed ones are in use."""
        earliest = now - UNLISTED_TTL_S
        return sum(
            1
            for address, heard_at in self._heard_at_by_address.items()
            if heard_at >= earliest and address not in listed
        )

    def filter_live(
        self, addresses: Sequence[core.SocketAddress], now: float
    ) -> list[core.SocketAddress]:
        """Return the addresses from which a message came a short time ago."""
        earliest = now - HEARD_TTL_S
        heard_at = self._heard_at_by_address
        return [
            address
            for address in addresses
            if heard_at.get(address, float("-inf")) >= earliest
        ]


def plan_receivers(
    own_data_centre: str,
    addresses_by_data_centre: Mapping[str, Sequence[core.SocketAddress]],
    live_addresses: LiveAddresses,
    generator: random.Random,
    now: float,
) -> Receivers:
    """Return the receivers through which a message reaches all addresses."""
    receivers = Receivers([], [])
    for data_centre, addresses in addresses_by_data_centre.items():
        if data_centre == own_data_centre or len(addresses) <= MAX_DIRECT_RECEIVERS:
            receivers.direct.extend(addresses)
            continue
        candidates = live_addresses.filter_live(addresses, now)
        if len(candidates) < FORWARDERS_PER_DATA_CENTRE:
            candidates = list(addresses)
        receivers.forwarders.extend(
            generator.sample(candidates, FORWARDERS_PER_DATA_CENTRE)
        )
    return receivers
