"""Tell other VMs what the controller knows, and take in what it tells.

The controller relays to all VMs. While it is silent, the first VMs of each region relay
to their region, so that not every VM asks the store.
"""

import asyncio
import math
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

import msgspec

from wasabivalve import events
from wasabivalve.key_leases import core as key_leases
from wasabivalve.key_leases import key_loads, view
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.placement import speeds

from . import core, roster

SETTLING_S = 0.8
"""Time for which the controller's own message about moved keys is awaited."""

STAGGER_S = 0.25
"""Time by which a VM waits longer for relays than the one that relays before it.

A call to the store and a relay fit in; with it, VMs still read within 2 s.
"""

TELL_AGAIN_S = 0.5
"""Interval of telling what has not changed; a lost message matters for that long."""

PEERS_AT_ONCE = 8
"""VMs that are told at once; 80 messages a second take 1 % of a small core."""

RELAYED_BYTES = 900
"""Size of the records in one relay; the rest of a packet is left for its positions."""

RECORD_BYTES = 12
"""Bytes of a relayed record beside its key and value."""

SECOND_MS = 1000.0


class Topics(NamedTuple):
    """Name the topics whose relays carry more than a position."""

    instances: str
    ledger: str


class Handlers(NamedTuple):
    """Take what other VMs tell, and give what they ask for.

    ``yield_to`` returns whether this VM orders nothing in terms before one;
    ``left_ms_by_instance`` how long its grants last at failing instances.
    """

    leads: Callable[[], bool]
    on_owners_changed: Callable[[], None]
    yield_to: Callable[[int], bool]
    on_yielded: Callable[[str, int, Mapping[str, float]], None]
    left_ms_by_instance: Callable[[], dict[str, float]]
    on_in_flight: Callable[[str, Mapping[str, int]], None]


class Exchange:
    """Hold the addresses of all VMs and the messages between them."""

    def __init__(
        self,
        vm: str,
        vms: roster.Roster,
        topics: Topics,
        key_view: view.KeyView,
        loads: key_loads.KeyLoads,
        instance_speeds: speeds.InstanceSpeeds,
        handlers: Handlers,
    ) -> None:
        self.vms = vms
        self.follower_by_topic: Mapping[str, keyed_log.TopicFollower] = {}
        self._vm = vm
        self._topics = topics
        self._view = key_view
        self._loads = loads
        self._speeds = instance_speeds
        self._leads = handlers.leads
        self._handlers = handlers
        self._told_by_turn: dict[int, tuple[dict[str, int], float]] = {}
        self._turn = 0
        self._loop = asyncio.get_running_loop()
        self._link = core.Link(self._on_message)
        self._settling_until = 0.0
        self._shares_sent = False
        self._controller_address: core.Address | None = None
        self._relaying = False
        self._led_at = self._loop.time()

    @property
    def unled_s(self) -> float:
        """Return the time in s since the controller last relayed anything."""
        return 0.0 if self._leads() else self._loop.time() - self._led_at

    @property
    def stagger_s(self) -> float:
        """Return the time in s by which this VM waits longer than the first one."""
        return STAGGER_S * min(self.vms.rank, roster.RELAYING_VMS)

    async def start(self) -> None:
        """Receive on this VM's own address."""
        await self._link.start(*self.vms.entry_by_vm[self._vm].address)

    def close(self) -> None:
        """Close the socket."""
        self._link.close()

    def on_vm(self, record: keyed_log.Record) -> None:
        """Take in the registration of a VM, or its removal."""
        if not self.vms.on_record(record):
            events.emit(100, sender=record.key[:40], size=len(record.value or b""))

    def relay(
        self, topic: str, first: int, end: int, records: list[keyed_log.Record]
    ) -> None:
        """Tell how far this VM has read, with the records that matter.

        Only the controller and the first VMs of a region tell anyone.
        """
        if self._leads():
            receivers = self.vms.others()
        elif self.vms.rank < roster.RELAYING_VMS:
            receivers = self.vms.region_others()
        else:
            return
        self._note_relaying()
        ends = {
            name: follower.next
            for name, follower in self.follower_by_topic.items()
            if follower.next is not None
        }
        newest = (
            self._view.assignment_map.term,
            self._view.assignment_map.write_number,
        )
        for low, high, part in split_records(first, end, records):
            message = core.Relay(
                self._vm,
                self._leads(),
                {**ends, topic: high},
                topic,
                low,
                part,
                *newest,
            )
            if not self._send(message, receivers):
                # A single record that is too large; receivers read it themselves.
                message = msgspec.structs.replace(message, first=high, records=[])
                self._send(message, receivers)

    def _note_relaying(self) -> None:
        """Log when this VM starts to stand in for a silent controller."""
        relaying = not self._leads()
        if relaying and not self._relaying:
            events.emit(105, vm=self._vm, rank=self.vms.rank)
        self._relaying = relaying

    def on_moving(self, ranges: list[view.MovingRange], pause_ms: float) -> None:
        """Announce ranges that have no holder for a time."""
        self._view.on_ranges_moving(ranges, self._now_ms() + pause_ms)
        rows = [(one.service, one.first, one.last) for one in ranges]
        self._send(core.Moving(self._vm, rows, pause_ms), self.vms.others())

    def on_settled(
        self,
        term: int,
        number: int,
        service: str,
        settled: list[key_leases.AssignedRange],
    ) -> None:
        """Announce ranges that their holders have confirmed."""
        self._view.on_ranges_confirmed(term, number, service, settled)
        self._handlers.on_owners_changed()
        rows = [(one.first, one.last, one.instance, one.born) for one in settled]
        message = core.Settled(self._vm, term, number, service, rows)
        self._send(message, self.vms.others())

    def on_shares(self, share_by_instance: dict[str, float]) -> None:
        """Announce what overloaded holders can serve, once more when none is left."""
        self._view.on_admission_shares(share_by_instance, self._now_ms())
        if share_by_instance or self._shares_sent:
            self._send(core.Shares(self._vm, share_by_instance), self.vms.others())
        self._shares_sent = bool(share_by_instance)

    def ask_to_yield(self, vm: str, term: int) -> None:
        """Ask a VM to order nothing in terms before this one."""
        entry = self.vms.entry_by_vm.get(vm)
        if entry is not None:
            self._link.send(core.Claimed(self._vm, term), entry.address)

    def tell_in_flight(self, count_by_instance: dict[str, int]) -> None:
        """Tell some VMs of this data centre where this one has requests, if changed.

        The next call tells the next ones, so that the messages are bounded.
        """
        now = self._loop.time()
        peers = self.vms.peers()
        groups = max(1, math.ceil(len(peers) / PEERS_AT_ONCE))
        self._turn = (self._turn + 1) % groups
        told, told_at = self._told_by_turn.get(self._turn, ({}, 0.0))
        if count_by_instance == told and now < told_at + TELL_AGAIN_S:
            return
        if count_by_instance or told:
            message = core.InFlight(self._vm, count_by_instance)
            self._send(message, peers[self._turn :: groups])
        self._told_by_turn[self._turn] = count_by_instance, now

    def report_keys(self) -> None:
        """Send the controller the counts of requests by key since the last call."""
        counts = self._loads.take_unreported()
        taken = self._speeds.take_unreported()
        if self._leads() or self._controller_address is None:
            return
        if counts or taken:
            report = core.KeyReport(self._vm, counts, taken)
            self._link.send(report, self._controller_address)

    def _now_ms(self) -> float:
        return SECOND_MS * self._loop.time()

    def _send(self, message: core.Message, receivers: Sequence[core.Address]) -> bool:
        """Send a message to each receiver; return False if it is too large."""
        return all([self._link.send(message, address) for address in receivers])

    def _on_message(self, message: core.Message, sender: core.Address) -> None:
        if isinstance(message, core.KeyReport):
            self._loads.on_report(message.counts_by_service, self._now_ms())
            self._speeds.on_report(message.speeds_by_instance)
        elif isinstance(message, core.InFlight):
            self._handlers.on_in_flight(message.vm, message.count_by_instance)
        elif isinstance(message, core.Claimed):
            if self._handlers.yield_to(message.term):
                left = self._handlers.left_ms_by_instance()
                answer = core.Yielded(self._vm, message.term, left)
                if not self._link.send(answer, sender):
                    # Too many for a packet; without them the asker waits for longer.
                    self._link.send(core.Yielded(self._vm, message.term, {}), sender)
        elif isinstance(message, core.Yielded):
            self._handlers.on_yielded(
                message.vm, message.term, message.left_ms_by_instance
            )
        elif self._leads():
            # Another VM still takes itself for the controller; the ledger decides.
            return
        elif isinstance(message, core.Moving):
            self._settling_until = self._loop.time() + SETTLING_S
            moving = [view.MovingRange(*one) for one in message.ranges]
            self._view.on_ranges_moving(moving, self._now_ms() + message.pause_ms)
        elif isinstance(message, core.Settled):
            settled = [key_leases.AssignedRange(*one) for one in message.ranges]
            self._view.on_ranges_confirmed(
                message.term, message.number, message.service, settled
            )
            self._handlers.on_owners_changed()
        elif isinstance(message, core.Shares):
            self._view.on_admission_shares(message.share_by_instance, self._now_ms())
        else:
            if message.leads:
                self._controller_address = sender
                self._led_at = self._loop.time()
            self._relaying = False
            self._on_relay(message)

    def _on_relay(self, message: core.Relay) -> None:
        trust_s = keyed_log.RELAY_TRUST_S + self.stagger_s
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
                    follower.on_relay(message.first, end, records, trust_s)
            elif topic == self._topics.ledger:
                self._on_ledger_relay(follower, end, message, trust_s)
            else:
                follower.on_relay(end, end, [], trust_s)

    def _on_ledger_relay(
        self,
        follower: keyed_log.TopicFollower,
        end: int,
        message: core.Relay,
        trust_s: float,
    ) -> None:
        """Read the ledger only if the controller's messages did not tell all of it."""
        known = (self._view.assignment_map.term, self._view.assignment_map.write_number)
        if known == (message.key_term, message.key_number):
            follower.on_relay(0, end, [], trust_s)
        elif self._loop.time() >= self._settling_until:
            follower.on_relay(end, end, [], trust_s)


class RelayPart(NamedTuple):
    """Hold the records of a topic from first to end that fit into one packet."""

    first: int
    end: int
    records: list[core.RelayedRecord]


def split_records(
    first: int, end: int, records: Sequence[keyed_log.Record]
) -> list[RelayPart]:
    """Return parts that follow each other without a gap, at least one."""
    parts: list[RelayPart] = []
    low, size = first, 0
    part: list[core.RelayedRecord] = []
    for record in records:
        length = len(record.key) + len(record.value or b"") + RECORD_BYTES
        if part and size + length > RELAYED_BYTES:
            parts.append(RelayPart(low, record.offset, part))
            low, size, part = record.offset, 0, []
        part.append(core.RelayedRecord(record.offset, record.key, record.value))
        size += length
    return [*parts, RelayPart(low, end, part)]
