"""Keep the addresses, data centres and link rates of the registered entry VMs."""

import ipaddress
import math

import msgspec

from wasabivalve import rendezvous, untrusted_data
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.placement import core as placement

from . import core

VMS_PER_SOURCE = 24
"""VMs of a region that share one source of document copies.

Over a link of 100 Mbit/s, 24 copies of 30 KB take 60 ms.
"""

RELAY_VMS_PER_REGION = 2
"""VMs of a region that relay what they read while the controller relays nothing."""

MAX_PEERS = 24
"""VMs of the data centre that receive in-flight counts, to bound the messages.

With more VMs, the share of each in the load of an instance matters less.
"""

MAX_PORT = 65_535

RELAY_ORDER_KEY = "relay"
"""Key of the hash that orders VMs with equal link rates."""


class VmRegistration(msgspec.Struct, frozen=True):
    """Hold the address, data centre and link rate (Mbit/s) of a VM."""

    host: str
    port: int
    data_centre: str
    link_mbps: float

    @property
    def address(self) -> core.SocketAddress:
        """Return the host and port of the VM."""
        return self.host, self.port


class VmDirectory:
    """Hold the registrations of all VMs, this one included.

    ``recorded_own_registration`` is what the store has of this VM.
    """

    def __init__(
        self, vm: str, own_registration: VmRegistration, topology: placement.Topology
    ) -> None:
        self.registration_by_vm: dict[str, VmRegistration] = {vm: own_registration}
        self.recorded_own_registration: VmRegistration | None = None
        self._vm = vm
        self._topology = topology
        self._region_vms: tuple[str, ...] | None = None
        self._addresses: frozenset[core.SocketAddress] | None = None
        self._ranked_by_key_and_region: dict[tuple[str, str], tuple[str, ...]] = {}

    def start_listing(self) -> None:
        """Prepare for the records of a listing, which may lack this VM.

        Other VMs that it lacks stay known: a restored store has lost them, and they
        register again.
        """
        self.recorded_own_registration = None

    def on_record(self, record: keyed_log.Record) -> bool:
        """Apply a registration or its removal; return False if it is not valid."""
        self._region_vms = self._addresses = None
        self._ranked_by_key_and_region.clear()
        if record.value is None:
            if record.key != self._vm:
                self.registration_by_vm.pop(record.key, None)
            return True
        registration = _decode_registration(record.value)
        if registration is None:
            return False
        if record.key == self._vm:
            self.recorded_own_registration = registration
        else:
            self.registration_by_vm[record.key] = registration
        return True

    @property
    def own_data_centre(self) -> str:
        """Return the data centre of this VM."""
        return self.registration_by_vm[self._vm].data_centre

    @property
    def addresses(self) -> frozenset[core.SocketAddress]:
        """Return the addresses of all VMs."""
        if self._addresses is None:
            self._addresses = frozenset(
                registration.address
                for registration in self.registration_by_vm.values()
            )
        return self._addresses

    def other_addresses_by_data_centre(
        self, only_own_region: bool = False
    ) -> dict[str, list[core.SocketAddress]]:
        """Return the addresses of the other VMs, of this region or of all."""
        addresses_by_data_centre: dict[str, list[core.SocketAddress]] = {}
        for vm, registration in self.registration_by_vm.items():
            data_centre = registration.data_centre
            is_wanted = not only_own_region or self._topology.distance(data_centre) < 2
            if vm != self._vm and is_wanted:
                addresses_by_data_centre.setdefault(data_centre, []).append(
                    registration.address
                )
        return addresses_by_data_centre

    def other_data_centre_addresses(self) -> list[core.SocketAddress]:
        """Return the addresses of the other VMs of this data centre."""
        return self.other_addresses_by_data_centre(True).get(self.own_data_centre, [])

    def peer_addresses(self) -> list[core.SocketAddress]:
        """Return the addresses of the VMs that receive this VM's in-flight counts."""
        peers = sorted(
            vm
            for vm, registration in self.registration_by_vm.items()
            if vm != self._vm and registration.data_centre == self.own_data_centre
        )
        if len(peers) > MAX_PEERS:
            peers = list(rendezvous.rank_names(self._vm, peers)[:MAX_PEERS])
        return [self.registration_by_vm[vm].address for vm in peers]

    def region_vms(self) -> tuple[str, ...]:
        """Return the VMs of this VM's region by descending link rate."""
        if self._region_vms is None:
            unordered_vms = [
                vm
                for vm, registration in self.registration_by_vm.items()
                if self._topology.distance(registration.data_centre) < 2
            ]
            ranked = rendezvous.rank_names(RELAY_ORDER_KEY, unordered_vms)
            self._region_vms = tuple(
                sorted(ranked, key=lambda vm: -self.registration_by_vm[vm].link_mbps)
            )
        return self._region_vms

    def rank_vms(self, key: str, region: str) -> tuple[str, ...]:
        """Return the VMs of a region by descending link rate, in the order of a key."""
        ranked = self._ranked_by_key_and_region.get((key, region))
        if ranked is None:
            unordered_vms = [
                vm
                for vm, registration in self.registration_by_vm.items()
                if placement.region_of(
                    registration.data_centre, self._topology.region_by_data_centre
                )
                == region
            ]
            ranked = tuple(
                sorted(
                    rendezvous.rank_names(key, unordered_vms),
                    key=lambda vm: -self.registration_by_vm[vm].link_mbps,
                )
            )
            self._ranked_by_key_and_region[key, region] = ranked
        return ranked

    @property
    def relay_position(self) -> int:
        """Return the number of VMs of the region that relay before this one."""
        return self.region_vms().index(self._vm)

    @property
    def is_relay(self) -> bool:
        """Return whether this VM relays to its region while no controller does."""
        return self.relay_position < RELAY_VMS_PER_REGION

    def copy_source_addresses(self) -> list[core.SocketAddress]:
        """Return the VMs to fetch copies from; none if this VM is itself a source.

        The fastest link of each data centre comes before second ones, and sources of
        the own data centre are asked first: bytes within it are free.
        """
        vms = self.region_vms()
        vm_count_by_data_centre: dict[str, int] = {}
        position_by_vm = {}
        for vm in vms:
            data_centre = self.registration_by_vm[vm].data_centre
            position = vm_count_by_data_centre.get(data_centre, 0)
            position_by_vm[vm] = position
            vm_count_by_data_centre[data_centre] = position + 1
        source_count = math.ceil(len(vms) / VMS_PER_SOURCE)
        sources = sorted(vms, key=lambda vm: position_by_vm[vm])[:source_count]
        if self._vm in sources:
            return []
        ranked = sorted(
            rendezvous.rank_names(self._vm, sources),
            key=lambda vm: (
                self.registration_by_vm[vm].data_centre != self.own_data_centre
            ),
        )
        return [self.registration_by_vm[vm].address for vm in ranked]


def _decode_registration(data: bytes) -> VmRegistration | None:
    """Return a registration, or None if no message can be sent to its address."""
    try:
        registration: VmRegistration = untrusted_data.decode_json(data, VmRegistration)
        ipaddress.ip_address(registration.host)
    except (untrusted_data.UndecodableError, ValueError):
        return None
    has_port = 1 <= registration.port <= MAX_PORT
    return registration if has_port and registration.link_mbps >= 0.0 else None
