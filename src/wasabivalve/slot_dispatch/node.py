"""Connect the dispatcher and the client of a VM to the messages of other VMs."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

from wasabivalve import ramp_up, supervision
from wasabivalve.placement import core as placement

from . import client, core, messages

TICK_INTERVAL_S = 0.1
"""Interval of ending waits, and of reporting free slots to other regions."""

REPORT_RECEIVERS = 2
"""VMs of another region that are told of free slots; one of them may be down."""


class DispatchNode:
    """Hold what a VM does for slots: ask for them, and assign those of its region.

    ``rank_dispatchers`` returns the VMs of a region that may assign the slots of a
    service. ``send`` sends a message to another VM. ``is_available`` returns whether
    this VM may assign slots.
    """

    def __init__(
        self,
        vm: str,
        topology: placement.Topology,
        list_instances: Callable[[str], Iterable[placement.RegisteredInstance]],
        rank_dispatchers: Callable[[str, str], Sequence[str]],
        send: Callable[[str, messages.DispatchMessage], None],
        is_available: Callable[[], bool],
        generator: random.Random,
        limits: ramp_up.PacedLimits | None = None,
    ) -> None:
        region_by_data_centre = topology.region_by_data_centre
        region = placement.region_of(topology.data_centre, region_by_data_centre)
        self._vm = vm
        self._limits = limits
        self._region = region
        self._other_regions = sorted(set(region_by_data_centre.values()) - {region})
        self._rank_dispatchers = rank_dispatchers
        self._send_to_other = send
        self._is_available = is_available
        self._loop = asyncio.get_running_loop()
        self._dispatcher = core.SlotDispatcher(
            vm, region, region_by_data_centre, list_instances, generator, limits
        )
        self.client = client.SlotClient(
            vm,
            topology.data_centre,
            rank_dispatchers,
            self._send,
            generator,
            region,
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to end waits and to report slots."""
        self._task = self._loop.create_task(self._run())

    def close(self) -> None:
        """Stop; other VMs notice the silence."""
        if self._task is not None:
            self._task.cancel()

    def on_message(self, message: messages.DispatchMessage) -> None:
        """Handle a message of another VM, or of this one."""
        now = self._now_ms()
        if isinstance(message, messages.SlotReply):
            self.client.on_reply(message)
        elif isinstance(message, messages.SlotRequest):
            if self._is_available():
                self._reply(self._dispatcher.on_request(message, now))
            else:
                state = messages.ReplyState.UNAVAILABLE
                reply = messages.SlotReply(self._vm, message.number, state)
                self._reply([core.AddressedReply(message.vm, reply)])
        elif isinstance(message, messages.SlotRelease):
            self._reply(self._dispatcher.on_release(message, now))
        elif isinstance(message, messages.SlotsHeld):
            self._reply(self._dispatcher.on_held(message, now))
        else:
            self._dispatcher.on_free_slots(message, now)

    def remove_instance(self, instance: str) -> None:
        """Discard what was observed of an ended incarnation."""
        self._dispatcher.remove_instance(instance)

    def is_warming(self, instance: placement.RegisteredInstance) -> bool:
        """Return whether an instance is cold, or was a moment ago."""
        return self._limits is not None and self._limits.is_warming(
            instance, self._now_ms()
        )

    def _reply(self, replies: Iterable[core.AddressedReply]) -> None:
        for addressed in replies:
            self._send(addressed.vm, addressed.reply)

    def _send(self, vm: str, message: messages.DispatchMessage) -> None:
        if vm == self._vm:
            # Not at once, as the sender may be about to change its own state.
            self._loop.call_soon(self.on_message, message)
        else:
            self._send_to_other(vm, message)

    async def _run(self) -> None:
        ticks_per_list = round(client.HELD_INTERVAL_S / TICK_INTERVAL_S)
        tick = 0
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            tick += 1
            try:
                self._tick(sends_held=tick % ticks_per_list == 0)
            except Exception as error:
                # One failed round must not end the assignment of all slots.
                supervision.log_error("slot dispatch", error)

    def _tick(self, sends_held: bool) -> None:
        now = self._now_ms()
        replies = self._dispatcher.tick(now)
        if not self._is_available():
            replies.extend(self._dispatcher.leave())
        self._reply(replies)
        self._report_free_slots(now)
        if sends_held:
            self.client.send_held()

    def _report_free_slots(self, now: float) -> None:
        free_by_service = self._dispatcher.free_by_service(now)
        free_by_service_by_vm: dict[str, dict[str, int]] = {}
        for region in self._other_regions:
            for service, free in free_by_service.items():
                for vm in self._rank_dispatchers(service, region)[:REPORT_RECEIVERS]:
                    free_by_service_by_vm.setdefault(vm, {})[service] = free
        for vm, reported in free_by_service_by_vm.items():
            self._send(vm, messages.FreeSlots(self._vm, self._region, reported))

    def _now_ms(self) -> float:
        return 1000.0 * self._loop.time()
