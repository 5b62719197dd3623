"""Register this VM in the store and elect the controller through a consumer group."""

import asyncio
import math
from collections.abc import Callable

import msgspec

from wasabivalve.key_leases import controller
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.keyed_log import outage
from wasabivalve.vm_link import exchange

from . import settings, store

VMS_TOPIC = "keyed.wasabivalve.vms"
GROUP_NAME = "wasabivalve.controller"
GROUP_TOPIC = "wasabivalve.controller"
CONTROLLER_PARTITION = 0
"""The VM to which this partition of the group's topic is assigned is the controller."""

JOIN_INTERVAL_S = 0.6
GROUP_TTL_S = 1.6
"""Time without a join call after which another VM becomes the controller."""

CANDIDATES_PER_REGION = 4
"""VMs of each region that always join the group.

The others join only after the controller has been silent for a long time.
"""

CONTROLLER_SILENCE_TIMEOUT_S = 3.0
"""Time without a relay from the controller after which any VM may join the group.

A candidate takes over within 2.5 s; leases of keys last 4 s.
"""

REGISTRATION_WAIT_S = 0.6
"""Time for VMs that start together to register before they join the group."""

LEAVE_RETRY_INTERVAL_S = 0.3
"""Interval of attempts to leave; a few fit into the grace period of a stop."""

UNASSIGNED_JOIN_INTERVAL_S = 1.2
UNASSIGNED_TTL_S = 3.5
"""Join interval and TTL of VMs without a partition.

They are longer, as large deployments have many such VMs.
"""

SECOND_MS = 1000.0


class ControllerGroupMember:
    """Register this VM and track the partitions that the group assigns to it."""

    def __init__(
        self,
        vm_settings: settings.VmSettings,
        store_client: store.StoreClient,
        key_controller: controller.KeyLeaseController,
        is_ready: Callable[[], bool],
        message_exchange: exchange.MessageExchange,
        vms_listed: asyncio.Event,
        boottime_ms: Callable[[], float],
        store_outage: outage.StoreOutage,
    ) -> None:
        self._settings = vm_settings
        self._store_client = store_client
        self._controller = key_controller
        self._is_ready = is_ready
        self._exchange = message_exchange
        self._vms_listed = vms_listed
        self._boottime_ms = boottime_ms
        self._store_outage = store_outage
        self._generation = 0
        self._partitions: frozenset[int] = frozenset()
        self._leaving = False
        self._registered_at_ms = math.inf

    @property
    def listed_since_ms(self) -> float:
        """Return since when the store certainly lists this VM, in ms of the boot time.

        A VM that starts again finds itself listed, but not since when.
        """
        recorded = self._exchange.directory.recorded_own_registration
        if recorded != self._settings.vm_registration:
            return math.inf
        return self._registered_at_ms

    def on_new_era(self) -> None:
        """Join the group as a new member, as the store may have lost this one."""
        self._generation, self._partitions = 0, frozenset()

    async def run(self) -> None:
        """Register, then join the group periodically while this VM is ready.

        A VM that started again is registered already, unless its address has changed.
        """
        vm = self._settings.vm
        registration = msgspec.json.encode(self._settings.vm_registration)
        await self._vms_listed.wait()
        directory = self._exchange.directory
        is_new = directory.recorded_own_registration != self._settings.vm_registration
        while is_new:
            result = await self._store_client.append(VMS_TOPIC, vm, registration)
            if result == "done":
                directory.recorded_own_registration = self._settings.vm_registration
                break
            await asyncio.sleep(JOIN_INTERVAL_S)
        self._registered_at_ms = self._boottime_ms()
        min_ttl_s = self._settings.min_group_ttl_ms / SECOND_MS
        if is_new:
            await asyncio.sleep(REGISTRATION_WAIT_S)
            if self._is_candidate():
                await self._list_vms()
        while not self._leaving:
            await self._register_again(vm, registration)
            has_no_partition = self._generation > 0 and not self._partitions
            store_responded = True
            if self._is_ready() and self._is_candidate():
                ttl_s = UNASSIGNED_TTL_S if has_no_partition else GROUP_TTL_S
                store_responded = await self._join(vm, max(min_ttl_s, ttl_s))
            # After a store outage the controller may be gone and must be replaced soon.
            may_wait = has_no_partition and store_responded
            await asyncio.sleep(
                UNASSIGNED_JOIN_INTERVAL_S if may_wait else JOIN_INTERVAL_S
            )

    async def _register_again(self, vm: str, registration: bytes) -> None:
        """Register if a listing showed that the store has lost the registration."""
        directory = self._exchange.directory
        if directory.recorded_own_registration == self._settings.vm_registration:
            return
        if await self._store_client.append(VMS_TOPIC, vm, registration) == "done":
            directory.recorded_own_registration = self._settings.vm_registration
            self._registered_at_ms = self._boottime_ms()

    async def _list_vms(self) -> None:
        """Read which VMs registered at the same time, as they decide who may join.

        The first ones to register know too few others, and all of them would join.
        """
        listing = await self._store_client.list_newest(VMS_TOPIC)
        if isinstance(listing, keyed_log.Listing):
            for record in listing.records:
                self._exchange.on_vm_record(record)

    def _is_candidate(self) -> bool:
        """Return whether this VM should be the controller or a standby of it."""
        if self._partitions or self._controller.is_controller:
            return True
        if self._exchange.directory.relay_position < CANDIDATES_PER_REGION:
            return True
        # The controller relays nothing while the store is unreachable.
        return (
            not self._store_outage.is_ongoing
            and self._exchange.controller_silence_s > CONTROLLER_SILENCE_TIMEOUT_S
        )

    async def leave(self) -> None:
        """Leave the group, so that another VM is elected; retry until confirmed."""
        self._leaving = True
        while not await self._store_client.leave_group(GROUP_NAME, self._settings.vm):
            await asyncio.sleep(LEAVE_RETRY_INTERVAL_S)

    async def _join(self, vm: str, ttl_s: float) -> bool:
        """Join the group and return whether the store responded."""
        sent_at = self._boottime_ms()
        assignment = await self._store_client.join_group(
            GROUP_NAME, vm, GROUP_TOPIC, ttl_s, self._generation
        )
        if isinstance(assignment, keyed_log.Unavailable):
            return False
        if self._leaving:
            return True
        self._generation, self._partitions = (
            assignment.generation,
            assignment.partitions,
        )
        if CONTROLLER_PARTITION in assignment.partitions:
            self._controller.on_elected(sent_at)
        else:
            self._controller.on_other_elected()
        return True
