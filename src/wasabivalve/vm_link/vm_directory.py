"""Know the other VMs: where they are and how much their links carry."""

import math

import msgspec

from wasabivalve import rendezvous
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.placement import core as placement

from . import core

VMS_PER_SOURCE = 24
"""VMs of a region that take copies of one document from the same VM.

Over a link of 100 Mbit/s, 24 copies of 30 KB take 60 ms.
"""

RELAY_VMS_PER_REGION = 2
"""VMs of a region that relay what they read while the controller relays nothing."""

MAX_PEERS = 24
"""VMs of the data centre that hear where this one has requests, to bound the messages.

More VMs than that share the load of an instance so thinly that the rest matters less.
"""

RELAY_ORDER_KEY = "relay"


class VmRegistration(msgspec.Struct, frozen=True):
    """Hold where a VM is reached; its link's rate is in Mbit/s."""

    host: str
    port: int
    data_centre: str
    link_mbps: float

    @property
    def address(self) -> core.SocketAddress:
        """Return where the VM is reached."""
        return self.host, self.port


class VmDirectory:
    """Hold the registered VMs, this one included."""

    def __init__(
        self, vm: str, own: VmRegistration, places: placement.Topology
    ) -> None:
        self.registration_by_vm: dict[str, VmRegistration] = {vm: own}
        self._vm = vm
        self._places = places
        self._region: tuple[str, ...] | None = None

    def on_record(self, record: keyed_log.Record) -> bool:
        """Take in a registration or its removal; return False for other bytes."""
        self._region = None
        if record.value is None:
            if record.key != self._vm:
                self.registration_by_vm.pop(record.key, None)
            return True
        try:
            entry = msgspec.json.decode(record.value, type=VmRegistration)
        except msgspec.DecodeError:
            return False
        if record.key != self._vm:
            self.registration_by_vm[record.key] = entry
        return True

    def other_addresses(self) -> list[core.SocketAddress]:
        """Return the addresses of all other VMs."""
        return [
            entry.address
            for vm, entry in self.registration_by_vm.items()
            if vm != self._vm
        ]

    def other_region_addresses(self) -> list[core.SocketAddress]:
        """Return the addresses of the other VMs of this VM's region."""
        return [
            self.registration_by_vm[vm].address
            for vm in self.region_vms()
            if vm != self._vm
        ]

    def peer_addresses(self) -> list[core.SocketAddress]:
        """Return the VMs of this data centre that hear of this one's requests."""
        own = self.registration_by_vm[self._vm].data_centre
        near = sorted(
            vm
            for vm, entry in self.registration_by_vm.items()
            if vm != self._vm and entry.data_centre == own
        )
        if len(near) > MAX_PEERS:
            near = list(rendezvous.rank_names(self._vm, near)[:MAX_PEERS])
        return [self.registration_by_vm[vm].address for vm in near]

    def region_vms(self) -> tuple[str, ...]:
        """Return the VMs of this VM's region, those with the fastest links first."""
        if self._region is None:
            near = [
                vm
                for vm, entry in self.registration_by_vm.items()
                if self._places.distance(entry.data_centre) < 2
            ]
            ranked = rendezvous.rank_names(RELAY_ORDER_KEY, near)
            self._region = tuple(
                sorted(ranked, key=lambda vm: -self.registration_by_vm[vm].link_mbps)
            )
        return self._region

    @property
    def relay_position(self) -> int:
        """Return how many VMs of the region relay before this one."""
        return self.region_vms().index(self._vm)

    def copy_source_addresses(self) -> list[core.SocketAddress]:
        """Return whom this VM asks for copies; no one if it is itself a source."""
        region = self.region_vms()
        sources = region[: math.ceil(len(region) / VMS_PER_SOURCE)]
        if self._vm in sources:
            return []
        ranked = rendezvous.rank_names(self._vm, sources)
        return [self.registration_by_vm[vm].address for vm in ranked]
