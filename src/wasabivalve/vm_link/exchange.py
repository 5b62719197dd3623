"""Tell other VMs what the controller knows, and take in what it tells."""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

from wasabivalve.key_leases import core as key_leases
from wasabivalve.key_leases import key_loads, view
from wasabivalve.keyed_log import core as keyed_log

from . import core

SETTLING_S = 0.8
"""Time for which the controller's own message about moved keys is awaited."""

SECOND_MS = 1000.0


class Topics(NamedTuple):
    """Name the topics whose relays carry more than a position."""

    instances: str
    ledger: str


class Exchange:
    """Hold the addresses of all VMs and the messages between them."""

    def __init__(
        self,
        vm: str,
        address: core.Address,
        topics: Topics,
        key_view: view.KeyView,
        loads: key_loads.KeyLoads,
        leads: Callable[[], bool],
        on_owners_changed: Callable[[], None],
    ) -> None:
        self.address_by_vm: dict[str, core.Address] = {vm: address}
        self.follower_by_topic: Mapping[str, keyed_log.TopicFollower] = {}
        self._vm = vm
        self._topics = topics
        self._view = key_view
        self._loads = loads
        self._leads = leads
        self._on_owners_changed = on_owners_changed
        self._loop = asyncio.get_running_loop()
        self._link = core.Link(self._on_message)
        self._settling_until = 0.0
        self._shares_sent = False
        self._controller_address: core.Address | None = None

    async def start(self) -> None:
        """Receive on this VM's own address."""
        await self._link.start(*self.address_by_vm[self._vm])

    def close(self) -> None:
        """Close the socket."""
        self._link.close()

    def on_vm(self, record: keyed_log.Record) -> None:
        """Take in the registration of a VM, or its removal."""
        host, _, port = (record.value or b"").decode("ascii", "replace").partition(":")
        if port.isdigit():
            self.address_by_vm[record.key] = (host, int(port))
        elif record.key != self._vm:
            self.address_by_vm.pop(record.key, None)

    def relay(
        self, topic: str, first: int, end: int, records: list[keyed_log.Record]
    ) -> None:
        """Tell how far this controller has read, with the records that matter."""
        if not self._leads():
            return
        ends = {
            name: follower.next
            for name, follower in self.follower_by_topic.items()
            if follower.next is not None
        }
        newest = (self._view.key_map.term, self._view.key_map.number)
        relayed = [
            core.RelayedRecord(one.offset, one.key, one.value) for one in records
        ]
        message = core.Relay(self._vm, ends, topic, first, relayed, *newest)
        if not self._send_to_all(message):
            # Too many changes for a packet; receivers read them themselves.
            self._send_to_all(core.Relay(self._vm, ends, topic, end, [], *newest))

    def on_moving(self, ranges: list[view.MovingRange], pause_ms: float) -> None:
        """Announce ranges that have no holder for a time."""
        self._view.on_moving(ranges, self._now_ms() + pause_ms)
        rows = [(one.service, one.first, one.last) for one in ranges]
        self._send_to_all(core.Moving(self._vm, rows, pause_ms))

    def on_settled(
        self, term: int, number: int, service: str, settled: list[key_leases.KeyRange]
    ) -> None:
        """Announce ranges that their holders have confirmed."""
        self._view.on_settled(term, number, service, settled)
        self._on_owners_changed()
        rows = [(one.first, one.last, one.instance, one.born) for one in settled]
        self._send_to_all(core.Settled(self._vm, term, number, service, rows))

    def on_shares(self, share_by_instance: dict[str, float]) -> None:
        """Announce what overloaded holders can serve, once more when none is left."""
        self._view.on_shares(share_by_instance, self._now_ms())
        if share_by_instance or self._shares_sent:
            self._send_to_all(core.Shares(self._vm, share_by_instance))
        self._shares_sent = bool(share_by_instance)

    def report_keys(self) -> None:
        """Send the controller the counts of requests by key since the last call."""
        counts = self._loads.take_unreported()
        if counts and not self._leads() and self._controller_address is not None:
            self._link.send(core.KeyReport(self._vm, counts), self._controller_address)

    def _now_ms(self) -> float:
        return SECOND_MS * self._loop.time()

    def _send_to_all(self, message: core.Message) -> bool:
        """Send a message to all other VMs; return False if it is too large."""
        return all(
            [
                self._link.send(message, address)
                for vm, address in self.address_by_vm.items()
                if vm != self._vm
            ]
        )

    def _on_message(self, message: core.Message, sender: core.Address) -> None:
        if isinstance(message, core.KeyReport):
            self._loads.on_report(message.counts_by_service, self._now_ms())
        elif self._leads():
            # Another VM still takes itself for the controller; the ledger decides.
            return
        elif isinstance(message, core.Moving):
            self._settling_until = self._loop.time() + SETTLING_S
            moving = [view.MovingRange(*one) for one in message.ranges]
            self._view.on_moving(moving, self._now_ms() + message.pause_ms)
        elif isinstance(message, core.Settled):
            settled = [key_leases.KeyRange(*one) for one in message.ranges]
            self._view.on_settled(
                message.term, message.number, message.service, settled
            )
            self._on_owners_changed()
        elif isinstance(message, core.Shares):
            self._view.on_shares(message.share_by_instance, self._now_ms())
        else:
            self._controller_address = sender
            self._on_relay(message)

    def _on_relay(self, message: core.Relay) -> None:
        for topic, end in message.end_by_topic.items():
            follower = self.follower_by_topic.get(topic)
            if follower is None:
                continue
            if topic == self._topics.instances:
                if topic == message.topic:
                    records = [
                        keyed_log.Record(one.offset, one.key, one.value)
                        for one in message.records
                    ]
                    follower.on_relay(message.first, end, records)
            elif topic == self._topics.ledger:
                self._on_ledger_relay(follower, end, message)
            else:
                follower.on_relay(end, end, [])

    def _on_ledger_relay(
        self, follower: keyed_log.TopicFollower, end: int, message: core.Relay
    ) -> None:
        """Read the ledger only if the controller's messages did not tell all of it."""
        known = (self._view.key_map.term, self._view.key_map.number)
        if known == (message.key_term, message.key_number):
            follower.on_relay(0, end, [])
        elif self._loop.time() >= self._settling_until:
            follower.on_relay(end, end, [])
