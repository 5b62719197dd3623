"""Register this VM at the store and keep it a member of the controllers' group."""

import asyncio
from collections.abc import Callable

import msgspec

from wasabivalve.key_leases import controller
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.vm_link import exchange

from . import settings, store

VMS_TOPIC = "keyed.wasabivalve.vms"
GROUP = "wasabivalve.controller"
GROUP_TOPIC = "wasabivalve.controller"
LEADER_PART = 0
"""The VM that holds this partition of the group's topic is the controller."""

JOIN_INTERVAL_S = 0.6
GROUP_TTL_S = 1.6
"""Time without a call after which another VM becomes the controller."""

CANDIDATES = 4
"""VMs of each region that join the group; the others only after a long silence."""

SILENCE_S = 3.0
"""Time without a relay of a controller after which any VM may become the next one.

A candidate takes over within 2.5 s; keys are held for 4 s.
"""

FIRST_LOOK_S = 0.6
"""Time in which VMs that start together have registered."""

LEAVE_RETRY_S = 0.3
"""Pause between attempts to leave; a few fit into the grace time of a stop."""

IDLE_JOIN_INTERVAL_S = 1.2
IDLE_TTL_S = 3.5
"""The same for VMs without a partition, of which large deployments have many."""

SECOND_MS = 1000.0


class Membership:
    """Hold what the group last told this VM."""

    def __init__(
        self,
        loaded: settings.Settings,
        client: store.Store,
        key_controller: controller.KeyLeaseController,
        is_ready: Callable[[], bool],
        link: exchange.MessageExchange,
        boot_ms: Callable[[], float],
    ) -> None:
        self._settings = loaded
        self._store = client
        self._controller = key_controller
        self._is_ready = is_ready
        self._link = link
        self._boot_ms = boot_ms
        self._generation = 0
        self._parts: frozenset[int] = frozenset()
        self._left = False

    async def run(self) -> None:
        """Register, then join again and again; a VM that is not ready stays out."""
        vm = self._settings.vm
        where = msgspec.json.encode(self._settings.vm_entry)
        while await self._store.append(VMS_TOPIC, vm, where) != "done":
            await asyncio.sleep(JOIN_INTERVAL_S)
        least_ttl_s = self._settings.group_ttl_ms / SECOND_MS
        if len(self._link.directory.registration_by_vm) == 1:
            await asyncio.sleep(FIRST_LOOK_S)
        while not self._left:
            idle = self._generation > 0 and not self._parts
            answered = True
            if self._is_ready() and self._is_candidate():
                ttl_s = IDLE_TTL_S if idle else GROUP_TTL_S
                answered = await self._join(vm, max(least_ttl_s, ttl_s))
            # After an outage the controller may be gone: then its successor is urgent.
            relaxed = idle and answered
            await asyncio.sleep(IDLE_JOIN_INTERVAL_S if relaxed else JOIN_INTERVAL_S)

    def _is_candidate(self) -> bool:
        """Return whether this VM should lead or stand by to lead."""
        if self._parts or self._controller.is_leader:
            return True
        return (
            self._link.directory.relay_position < CANDIDATES
            or self._link.controller_silence_s > SILENCE_S
        )

    async def leave(self) -> None:
        """Leave the group, so that another VM is named; retry until answered."""
        self._left = True
        while not await self._store.leave(GROUP, self._settings.vm):
            await asyncio.sleep(LEAVE_RETRY_S)

    async def _join(self, vm: str, ttl_s: float) -> bool:
        """Join the group; return whether the store answered."""
        sent_at = self._boot_ms()
        joined = await self._store.join(GROUP, vm, GROUP_TOPIC, ttl_s, self._generation)
        if isinstance(joined, keyed_log.Unavailable):
            return False
        if self._left:
            return True
        self._generation, self._parts = joined.generation, joined.parts
        if LEADER_PART in joined.parts:
            self._controller.on_elected(sent_at)
        else:
            self._controller.on_other_elected()
        return True
