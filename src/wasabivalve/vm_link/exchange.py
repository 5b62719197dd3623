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
from wasabivalve.placement import service_times

from . import core, vm_directory

CONFIRMATION_WAIT_S = 0.8
"""Time for which the controller's own message about moved keys is awaited."""

RELAY_STAGGER_S = 0.25
"""Time by which a VM waits longer for relays than the one that relays before it.

A call to the store and a relay fit in; with it, VMs still read within 2 s.
"""

RESEND_INTERVAL_S = 0.5
"""Interval of telling what has not changed; a lost message matters for that long."""

MAX_RECEIVERS_PER_CALL = 8
"""VMs that are told at once; 80 messages a second take 1 % of a small core."""

MAX_RELAY_RECORDS_BYTES = 900
"""Size of the records in one relay; the rest of a packet is left for its positions."""

RECORD_OVERHEAD_BYTES = 12
"""Bytes of a relayed record beside its key and value."""

SECOND_MS = 1000.0


class RelayTopics(NamedTuple):
    """Name the topics whose relays carry more than a position."""

    instances: str
    assignment_log: str


class ExchangeCallbacks(NamedTuple):
    """Take what other VMs tell, and give what they ask for.

    ``yield_to`` returns whether this VM orders nothing in terms before one;
    ``left_ms_by_instance`` how long its grants last at failing instances.
    """

    is_controller: Callable[[], bool]
    on_owners_changed: Callable[[], None]
    yield_to: Callable[[int], bool]
    on_yielded: Callable[[str, int, Mapping[str, float]], None]
    left_ms_by_instance: Callable[[], dict[str, float]]
    on_in_flight_counts: Callable[[str, Mapping[str, int]], None]


class MessageExchange:
    """Hold the addresses of all VMs and the messages between them."""

    def __init__(
        self,
        vm: str,
        directory: vm_directory.VmDirectory,
        topics: RelayTopics,
        key_view: view.KeyView,
        loads: key_loads.KeyLoads,
        instance_speeds: service_times.ServiceTimeRatios,
        callbacks: ExchangeCallbacks,
    ) -> None:
        self.directory = directory
        self.follower_by_topic: Mapping[str, keyed_log.TopicFollower] = {}
        self._vm = vm
        self._topics = topics
        self._view = key_view
        self._loads = loads
        self._speeds = instance_speeds
        self._leads = callbacks.is_controller
        self._callbacks = callbacks
        self._told_by_turn: dict[int, tuple[dict[str, int], float]] = {}
        self._turn = 0
        self._loop = asyncio.get_running_loop()
        self._link = core.DatagramEndpoint(self._on_message)
        self._settling_until = 0.0
        self._shares_sent = False
        self._controller_address: core.SocketAddress | None = None
        self._relaying = False
        self._led_at = self._loop.time()

    @property
    def controller_silence_s(self) -> float:
        """Return the time in s since the controller last relayed anything."""
        return 0.0 if self._leads() else self._loop.time() - self._led_at

    @property
    def stagger_s(self) -> float:
        """Return the time in s by which this VM waits longer than the first one."""
        return RELAY_STAGGER_S * min(
            self.directory.relay_position, vm_directory.RELAY_VMS_PER_REGION
        )

    async def start(self) -> None:
        """Receive on this VM's own address."""
        await self._link.start(*self.directory.registration_by_vm[self._vm].address)

    def close(self) -> None:
        """Close the socket."""
        self._link.close()

    def on_vm_record(self, record: keyed_log.Record) -> None:
        """Take in the registration of a VM, or its removal."""
        if not self.directory.on_record(record):
            events.emit(100, sender=record.key[:40], size=len(record.value or b""))

    def relay(
        self, topic: str, first: int, end: int, records: list[keyed_log.Record]
    ) -> None:
        """Tell how far this VM has read, with the records that matter.

        Only the controller and the first VMs of a region tell anyone.
        """
        if self._leads():
            receivers = self.directory.other_addresses()
        elif self.directory.relay_position < vm_directory.RELAY_VMS_PER_REGION:
            receivers = self.directory.other_region_addresses()
        else:
            return
        self._note_relaying()
        ends = {
            name: follower.next_offset
            for name, follower in self.follower_by_topic.items()
            if follower.next_offset is not None
        }
        newest = (
            self._view.assignment_map.term,
            self._view.assignment_map.write_number,
        )
        for low, high, part in split_records(first, end, records):
            message = core.TopicRelay(
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
            events.emit(105, vm=self._vm, rank=self.directory.relay_position)
        self._relaying = relaying

    def broadcast_moving_ranges(
        self, ranges: list[view.MovingRange], pause_ms: float
    ) -> None:
        """Announce ranges that have no holder for a time."""
        self._view.on_ranges_moving(ranges, self._now_ms() + pause_ms)
        rows = [(one.service, one.first, one.last) for one in ranges]
        self._send(
            core.RangesMoving(self._vm, rows, pause_ms),
            self.directory.other_addresses(),
        )

    def broadcast_confirmed_ranges(
        self,
        term: int,
        number: int,
        service: str,
        settled: list[key_leases.RangeAssignment],
    ) -> None:
        """Announce ranges that their holders have confirmed."""
        self._view.on_ranges_confirmed(term, number, service, settled)
        self._callbacks.on_owners_changed()
        rows = [(one.first, one.last, one.instance, one.born) for one in settled]
        message = core.RangesConfirmed(self._vm, term, number, service, rows)
        self._send(message, self.directory.other_addresses())

    def broadcast_admission_shares(self, share_by_instance: dict[str, float]) -> None:
        """Announce what overloaded holders can serve, once more when none is left."""
        self._view.on_admission_shares(share_by_instance, self._now_ms())
        if share_by_instance or self._shares_sent:
            self._send(
                core.AdmissionShares(self._vm, share_by_instance),
                self.directory.other_addresses(),
            )
        self._shares_sent = bool(share_by_instance)

    def send_yield_request(self, vm: str, term: int) -> None:
        """Ask a VM to order nothing in terms before this one."""
        entry = self.directory.registration_by_vm.get(vm)
        if entry is not None:
            self._link.send(core.YieldRequest(self._vm, term), entry.address)

    def send_in_flight_counts(self, count_by_instance: dict[str, int]) -> None:
        """Tell some VMs of this data centre where this one has requests, if changed.

        The next call tells the next ones, so that the messages are bounded.
        """
        now = self._loop.time()
        peers = self.directory.peer_addresses()
        groups = max(1, math.ceil(len(peers) / MAX_RECEIVERS_PER_CALL))
        self._turn = (self._turn + 1) % groups
        told, told_at = self._told_by_turn.get(self._turn, ({}, 0.0))
        if count_by_instance == told and now < told_at + RESEND_INTERVAL_S:
            return
        if count_by_instance or told:
            message = core.InFlightCounts(self._vm, count_by_instance)
            self._send(message, peers[self._turn :: groups])
        self._told_by_turn[self._turn] = count_by_instance, now

    def report_traffic(self) -> None:
        """Send the controller the counts of requests by key since the last call."""
        counts = self._loads.take_unreported()
        taken = self._speeds.take_unreported()
        if self._leads() or self._controller_address is None:
            return
        if counts or taken:
            report = core.TrafficReport(self._vm, counts, taken)
            self._link.send(report, self._controller_address)

    def _now_ms(self) -> float:
        return SECOND_MS * self._loop.time()

    def _send(
        self, message: core.Message, receivers: Sequence[core.SocketAddress]
    ) -> bool:
        """Send a message to each receiver; return False if it is too large."""
        return all([self._link.send(message, address) for address in receivers])

    def _on_message(self, message: core.Message, sender: core.SocketAddress) -> None:
        if isinstance(message, core.TrafficReport):
            self._loads.on_report(message.counts_by_service, self._now_ms())
            self._speeds.on_report(message.speeds_by_instance)
        elif isinstance(message, core.InFlightCounts):
            self._callbacks.on_in_flight_counts(message.vm, message.count_by_instance)
        elif isinstance(message, core.YieldRequest):
            if self._callbacks.yield_to(message.term):
                left = self._callbacks.left_ms_by_instance()
                answer = core.YieldReply(self._vm, message.term, left)
                if not self._link.send(answer, sender):
                    # Too many for a packet; without them the asker waits for longer.
                    self._link.send(core.YieldReply(self._vm, message.term, {}), sender)
        elif isinstance(message, core.YieldReply):
            self._callbacks.on_yielded(
                message.vm, message.term, message.left_ms_by_instance
            )
        elif self._leads():
            # Another VM still takes itself for the controller; the ledger decides.
            return
        elif isinstance(message, core.RangesMoving):
            self._settling_until = self._loop.time() + CONFIRMATION_WAIT_S
            moving = [view.MovingRange(*one) for one in message.ranges]
            self._view.on_ranges_moving(moving, self._now_ms() + message.pause_ms)
        elif isinstance(message, core.RangesConfirmed):
            settled = [key_leases.RangeAssignment(*one) for one in message.ranges]
            self._view.on_ranges_confirmed(
                message.term, message.number, message.service, settled
            )
            self._callbacks.on_owners_changed()
        elif isinstance(message, core.AdmissionShares):
            self._view.on_admission_shares(message.share_by_instance, self._now_ms())
        else:
            if message.leads:
                self._controller_address = sender
                self._led_at = self._loop.time()
            self._relaying = False
            self._on_relay(message)

    def _on_relay(self, message: core.TopicRelay) -> None:
        trust_s = keyed_log.RELAY_VALIDITY_S + self.stagger_s
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
            elif topic == self._topics.assignment_log:
                self._on_ledger_relay(follower, end, message, trust_s)
            else:
                follower.on_relay(end, end, [], trust_s)

    def _on_ledger_relay(
        self,
        follower: keyed_log.TopicFollower,
        end: int,
        message: core.TopicRelay,
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
        length = len(record.key) + len(record.value or b"") + RECORD_OVERHEAD_BYTES
        if part and size + length > MAX_RELAY_RECORDS_BYTES:
            parts.append(RelayPart(low, record.offset, part))
            low, size, part = record.offset, 0, []
        part.append(core.RelayedRecord(record.offset, record.key, record.value))
        size += length
    return [*parts, RelayPart(low, end, part)]
