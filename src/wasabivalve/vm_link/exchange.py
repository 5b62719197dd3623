"""Exchange read positions, key ranges and traffic counts with the other entry VMs.

The controller relays to all VMs. While it is silent, the first VMs of each region relay
to their region, so that not every VM reads from the store.
"""

import asyncio
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeVar

import msgspec

from wasabivalve import events, shared_facts
from wasabivalve.key_leases import core as key_leases
from wasabivalve.key_leases import key_loads, view
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.keyed_log import store_era
from wasabivalve.placement import service_times
from wasabivalve.slot_dispatch import messages as dispatch_messages

from . import core, multicast, vm_directory

CONFIRMATION_WAIT_S = 0.4
"""Time to wait for the message that the ranges of a new map are confirmed.

It counts from the first relay of the map's version; the log is not read meanwhile.
"""

RELAY_STAGGER_S = 0.25
"""Time by which a VM waits longer for relays than the VM that relays before it.

A call to the store and a relay fit into it, and VMs still read within 2 s.
"""

READ_DELAY_S = 0.6
"""Time until a read that follows the last relay is answered, also if one call fails."""

RESEND_INTERVAL_S = 0.5
"""Interval of sending unchanged counts; a lost message has an effect for that long."""

MAX_RECEIVERS_PER_CALL = 8
"""VMs that receive counts per call; 80 messages/s take 1 % of a small core."""

MAX_RANGES = 30
"""Ranges in one message, to fit into a packet."""

MAX_FACTS = 10
"""Facts in one message; one has up to about 100 bytes."""

MAX_RELAY_RECORDS_BYTES = 900
"""Size of the records in one relay; the rest of a packet is left for read positions."""

RECORD_OVERHEAD_BYTES = 12
"""Encoded size of a relayed record without its key and value."""

SECOND_MS = 1000.0

_Row = TypeVar("_Row")


def max_relay_gap_s(relay_validity_s: float) -> float:
    """Return the longest time without a relay or a read of a reachable store."""
    longest_stagger_s = RELAY_STAGGER_S * vm_directory.RELAY_VMS_PER_REGION
    return relay_validity_s + longest_stagger_s + READ_DELAY_S


class RelayTopics(NamedTuple):
    """Name the topics whose relays carry more than a read position."""

    instances: str
    assignment_log: str
    vms: str

    @property
    def with_records(self) -> tuple[str, ...]:
        """Return the topics whose records are relayed."""
        return self.instances, self.vms


class ExchangeCallbacks(NamedTuple):
    """Handle the content of messages and provide the content of replies.

    ``yield_to`` returns whether this VM issues no commands in terms before the given
    one; ``remaining_lease_ms_by_instance`` returns for how many ms its grants at
    failing instances remain valid. ``ms_since_recovery`` returns the time since an
    outage of the store ended, as ``on_relayed_recovery`` gets it from a relaying VM.
    """

    is_controller: Callable[[], bool]
    on_holders_changed: Callable[[], None]
    yield_to: Callable[[int], bool]
    on_yielded: Callable[[str, int, Mapping[str, float]], None]
    remaining_lease_ms_by_instance: Callable[[], dict[str, float]]
    on_in_flight_counts: Callable[[str, Mapping[str, int]], None]
    on_dispatch_message: Callable[[dispatch_messages.DispatchMessage], None]
    on_shared_facts: Callable[[Sequence[shared_facts.Fact]], None]
    ms_since_recovery: Callable[[], float | None]
    on_relayed_recovery: Callable[[float], None]


class MessageExchange:
    """Send messages to the other VMs and apply the messages received from them."""

    def __init__(
        self,
        vm: str,
        directory: vm_directory.VmDirectory,
        topics: RelayTopics,
        key_view: view.KeyView,
        loads: key_loads.KeyLoads,
        shared_service_times: service_times.ServiceTimes,
        callbacks: ExchangeCallbacks,
        relay_validity_s: float = keyed_log.MIN_RELAY_VALIDITY_S,
        era: store_era.StoreEra | None = None,
    ) -> None:
        self.directory = directory
        self._store_era = era or store_era.StoreEra()
        self.follower_by_topic: Mapping[str, keyed_log.TopicFollower] = {}
        self._vm = vm
        self._topics = topics
        self._key_view = key_view
        self._key_loads = loads
        self._shared_service_times = shared_service_times
        self._is_controller = callbacks.is_controller
        self._callbacks = callbacks
        self._sent_by_group: dict[int, tuple[dict[str, int], float]] = {}
        self._group_index = 0
        self._loop = asyncio.get_running_loop()
        self._endpoint = core.DatagramEndpoint(self._on_message)
        self._live_addresses = multicast.LiveAddresses()
        self._duplicate_filter = multicast.DuplicateFilter()
        self._unlisted_count = 0
        self._generator = random.Random()
        self._relay_validity_s = relay_validity_s
        self._unknown_map_since: float | None = None
        self._shares_sent = False
        self._controller_address: core.SocketAddress | None = None
        self._is_relaying = False
        self._controller_relay_at = self._loop.time()

    @property
    def sent_bytes_by_kind(self) -> dict[str, int]:
        """Return the bytes sent to other VMs by the class of their message."""
        return self._endpoint.sent_bytes_by_kind

    @property
    def controller_silence_s(self) -> float:
        """Return the time in s since the last relay of the controller."""
        return (
            0.0
            if self._is_controller()
            else self._loop.time() - self._controller_relay_at
        )

    @property
    def vm_count(self) -> int:
        """Return the number of VMs that share what all of them may use together.

        A restored store may have forgotten a VM that is cut off from it but sends
        messages.
        """
        return len(self.directory.registration_by_vm) + self._unlisted_count

    def update_vm_count(self) -> None:
        """Count the VMs that are heard but not listed."""
        self._unlisted_count = self._live_addresses.count_live_beside(
            self.directory.addresses, self._loop.time()
        )

    @property
    def stagger_s(self) -> float:
        """Return by how many s this VM waits longer for relays than the first one."""
        return RELAY_STAGGER_S * min(
            self.directory.relay_position, vm_directory.RELAY_VMS_PER_REGION
        )

    async def start(self) -> None:
        """Bind the socket to this VM's address; raise OSError if that fails."""
        await self._endpoint.start(*self.directory.registration_by_vm[self._vm].address)

    def close(self) -> None:
        """Close the socket."""
        self._endpoint.close()

    def on_vm_record(self, record: keyed_log.Record) -> None:
        """Apply the registration of a VM or its removal; log an invalid record."""
        if not self.directory.on_record(record):
            events.emit(100, sender=record.key[:40], size=len(record.value or b""))

    def on_vms_listing(self, records: Sequence[keyed_log.Record]) -> None:
        """Apply the registrations of a listing."""
        self.directory.start_listing()
        keyed_log.handle_each(self._topics.vms, records, self.on_vm_record)

    def relay(
        self, topic: str, first: int, end: int, records: list[keyed_log.Record]
    ) -> None:
        """Send how far this VM has read, with the records that change anything.

        Only the controller and the first VMs of a region send relays.
        """
        if not self._is_controller() and not self.directory.is_relay:
            return
        receivers = self._plan_receivers(only_own_region=not self._is_controller())
        self._update_relaying()
        recovered_ms = self._callbacks.ms_since_recovery()
        end_by_topic = {
            name: follower.next_offset
            for name, follower in self.follower_by_topic.items()
            if follower.next_offset is not None
        }
        map_version = (
            self._key_view.assignment_map.term,
            self._key_view.assignment_map.write_number,
        )
        for part_first, part_end, part_records in split_records(first, end, records):
            message = core.TopicRelay(
                self._vm,
                self._is_controller(),
                {**end_by_topic, topic: part_end},
                topic,
                part_first,
                part_records,
                *map_version,
                recovered_ms,
                self._store_era.newest,
            )
            if not self._send(message, receivers):
                # A single record exceeds a packet; receivers read it from the store.
                message = msgspec.structs.replace(message, first=part_end, records=[])
                self._send(message, receivers)

    def _update_relaying(self) -> None:
        """Log when this VM starts to relay in place of a silent controller."""
        relaying = not self._is_controller()
        if relaying and not self._is_relaying:
            events.emit(105, vm=self._vm, rank=self.directory.relay_position)
        self._is_relaying = relaying

    def broadcast_moving_ranges(
        self, ranges: list[view.MovingRange], pause_ms: float
    ) -> None:
        """Broadcast ranges that have no holder for ``pause_ms``."""
        self._key_view.on_ranges_moving(ranges, self._now_ms() + pause_ms)
        rows = [(moving.service, moving.first, moving.last) for moving in ranges]
        for part in _split_rows(rows):
            message = core.RangesMoving(self._vm, part, pause_ms)
            self._send(message, self._plan_receivers())

    def broadcast_confirmed_ranges(
        self,
        term: int,
        number: int,
        service: str,
        confirmed_ranges: list[key_leases.RangeAssignment],
    ) -> None:
        """Broadcast ranges that their new holders have confirmed."""
        self._key_view.on_ranges_confirmed(term, number, service, confirmed_ranges)
        self._callbacks.on_holders_changed()
        rows = [
            (key_range.first, key_range.last, key_range.instance, key_range.born)
            for key_range in confirmed_ranges
        ]
        for part in _split_rows(rows):
            is_complete = len(part) == len(rows)
            message = core.RangesConfirmed(
                self._vm, term, number, service, part, is_complete
            )
            self._send(message, self._plan_receivers())

    def broadcast_admission_shares(
        self,
        share_by_instance: dict[str, float],
        share_by_key_by_service: dict[str, dict[int, float]],
    ) -> None:
        """Broadcast the shares of requests that overloaded holders can serve.

        An empty message follows once when no holder is overloaded any more.
        """
        self._key_view.on_admission_shares(
            share_by_instance, share_by_key_by_service, self._now_ms()
        )
        has_shares = bool(share_by_instance or share_by_key_by_service)
        if has_shares or self._shares_sent:
            self._send(
                core.AdmissionShares(
                    self._vm, share_by_instance, share_by_key_by_service
                ),
                self._plan_receivers(),
            )
        self._shares_sent = has_shares

    def broadcast_facts(self, facts: Sequence[shared_facts.Fact]) -> None:
        """Broadcast facts that bind all VMs."""
        for part in _split_rows(facts, MAX_FACTS):
            self._send(core.SharedFacts(self._vm, part), self._plan_receivers())

    def send_yield_request(self, vm: str, term: int) -> None:
        """Ask a VM to issue no commands in terms before ``term``."""
        self.send_to_vm(vm, core.YieldRequest(self._vm, term))

    def send_in_flight_counts(self, count_by_instance: dict[str, int]) -> None:
        """Send the in-flight counts to one group of peers in this data centre.

        Each call serves the next group, which bounds the messages per call. Unchanged
        counts are sent again only after ``RESEND_INTERVAL_S``.
        """
        now = self._loop.time()
        peers = self.directory.peer_addresses()
        group_count = max(1, math.ceil(len(peers) / MAX_RECEIVERS_PER_CALL))
        self._group_index = (self._group_index + 1) % group_count
        sent_counts, sent_at = self._sent_by_group.get(self._group_index, ({}, 0.0))
        if count_by_instance == sent_counts and now < sent_at + RESEND_INTERVAL_S:
            return
        if count_by_instance or sent_counts:
            message = core.InFlightCounts(self._vm, count_by_instance)
            for address in peers[self._group_index :: group_count]:
                self._endpoint.send(message, address)
        self._sent_by_group[self._group_index] = count_by_instance, now

    def send_to_vm(self, vm: str, message: core.Message) -> None:
        """Send a message to one VM, if its address is known."""
        registration = self.directory.registration_by_vm.get(vm)
        if registration is not None:
            self._endpoint.send(message, registration.address)

    def report_traffic(self) -> None:
        """Send the controller the traffic that this VM observed since the last call."""
        counts_by_service = self._key_loads.take_unreported()
        response_times = self._shared_service_times.take_unreported()
        if self._is_controller() or self._controller_address is None:
            return
        if counts_by_service or response_times:
            report = core.TrafficReport(self._vm, counts_by_service, response_times)
            self._endpoint.send(report, self._controller_address)

    def _now_ms(self) -> float:
        return SECOND_MS * self._loop.time()

    def _plan_receivers(self, only_own_region: bool = False) -> multicast.Receivers:
        return multicast.plan_receivers(
            self.directory.own_data_centre,
            self.directory.other_addresses_by_data_centre(only_own_region),
            self._live_addresses,
            self._generator,
            self._loop.time(),
        )

    def _send(self, message: core.Message, receivers: multicast.Receivers) -> bool:
        """Send a message to all receivers; return False if it is too large."""
        content = core.encode(message)
        if len(content) > core.MAX_MULTICAST_BYTES:
            return False
        for address in receivers.direct:
            self._endpoint.send(message, address)
        if receivers.forwarders:
            own_address = self.directory.registration_by_vm[self._vm].address
            wrapped = core.Multicast(own_address, True, content)
            for address in receivers.forwarders:
                self._endpoint.send(wrapped, address)
        return True

    def _on_multicast(self, message: core.Multicast) -> None:
        """Send a message on in this data centre, and handle it."""
        content = core.decode(message.content)
        if content is None or isinstance(content, core.Multicast):
            events.emit(100, sender=message.origin[0], size=len(message.content))
            return
        if message.send_on:
            last_hop = core.Multicast(message.origin, False, message.content)
            for address in self.directory.other_data_centre_addresses():
                self._endpoint.send(last_hop, address)
        if not self._duplicate_filter.is_duplicate(message.content, self._loop.time()):
            self._on_message(content, message.origin)

    def _on_message(self, message: core.Message, sender: core.SocketAddress) -> None:
        if isinstance(message, core.Multicast):
            self._on_multicast(message)
            return
        self._live_addresses.on_message(sender, self._loop.time())
        if isinstance(message, dispatch_messages.DispatchMessage):
            self._callbacks.on_dispatch_message(message)
        elif isinstance(message, core.TrafficReport):
            self._key_loads.on_report(message.counts_by_service, self._now_ms())
            self._shared_service_times.on_report(message.response_times)
        elif isinstance(message, core.InFlightCounts):
            self._callbacks.on_in_flight_counts(message.vm, message.count_by_instance)
        elif isinstance(message, core.SharedFacts):
            self._callbacks.on_shared_facts(message.facts)
        elif isinstance(message, core.YieldRequest):
            if self._callbacks.yield_to(message.term):
                left_ms_by_instance = self._callbacks.remaining_lease_ms_by_instance()
                reply = core.YieldReply(self._vm, message.term, left_ms_by_instance)
                if not self._endpoint.send(reply, sender):
                    # The grants exceed a packet; without them the requester waits
                    # longer.
                    self._endpoint.send(
                        core.YieldReply(self._vm, message.term, {}), sender
                    )
        elif isinstance(message, core.YieldReply):
            self._callbacks.on_yielded(
                message.vm, message.term, message.left_ms_by_instance
            )
        elif self._is_controller():
            # Another VM also acts as controller; the assignment log decides.
            return
        elif isinstance(message, core.RangesMoving):
            moving_ranges = [view.MovingRange(*row) for row in message.ranges]
            self._key_view.on_ranges_moving(
                moving_ranges, self._now_ms() + message.pause_ms
            )
        elif isinstance(message, core.RangesConfirmed):
            confirmed_ranges = [
                key_leases.RangeAssignment(*row) for row in message.ranges
            ]
            self._key_view.on_ranges_confirmed(
                message.term,
                message.number,
                message.service,
                confirmed_ranges,
                message.is_complete,
            )
            self._callbacks.on_holders_changed()
        elif isinstance(message, core.AdmissionShares):
            self._key_view.on_admission_shares(
                message.share_by_instance,
                message.share_by_key_by_service,
                self._now_ms(),
            )
        elif self._store_era.observe(message.era, message.vm):
            # Offsets of an older era mean other records.
            if message.leads:
                self._controller_address = sender
                self._controller_relay_at = self._loop.time()
            self._is_relaying = False
            self._on_relay(message)

    def _on_relay(self, message: core.TopicRelay) -> None:
        if message.recovered_ms is not None:
            self._callbacks.on_relayed_recovery(message.recovered_ms)
        validity_s = self._relay_validity_s + self.stagger_s
        for topic, end in message.end_by_topic.items():
            follower = self.follower_by_topic.get(topic)
            if follower is None:
                continue
            if topic == message.topic and topic in self._topics.with_records:
                records = [
                    keyed_log.Record(record.offset, record.key, record.value)
                    for record in message.records
                ]
                follower.on_relay(message.first, end, records, validity_s)
            elif topic == self._topics.instances:
                # Most entries change nothing, so that a position alone is no gap.
                continue
            elif topic == self._topics.assignment_log:
                self._on_assignment_log_relay(follower, end, message, validity_s)
            else:
                follower.on_relay(end, end, [], validity_s)

    def _on_assignment_log_relay(
        self,
        follower: keyed_log.TopicFollower,
        end: int,
        message: core.TopicRelay,
        validity_s: float,
    ) -> None:
        """Read the assignment log only if its newest map was not received in time."""
        known_version = (
            self._key_view.assignment_map.term,
            self._key_view.assignment_map.write_number,
        )
        now = self._loop.time()
        if known_version == (message.key_term, message.key_number):
            self._unknown_map_since = None
            follower.on_relay(0, end, [], validity_s)
        elif self._unknown_map_since is None:
            self._unknown_map_since = now
            follower.extend_relay(validity_s)
        elif now < self._unknown_map_since + CONFIRMATION_WAIT_S:
            follower.extend_relay(validity_s)
        else:
            follower.on_relay(end, end, [], validity_s)


def _split_rows(rows: Sequence[_Row], max_rows: int = MAX_RANGES) -> list[list[_Row]]:
    """Return the rows of a message in parts that each fit into a packet."""
    return [
        list(rows[start : start + max_rows]) for start in range(0, len(rows), max_rows)
    ]


class RelayPart(NamedTuple):
    """Hold the records from ``first`` to ``end`` of a topic that fit into a packet."""

    first: int
    end: int
    records: list[core.RelayedRecord]


def split_records(
    first: int, end: int, records: Sequence[keyed_log.Record]
) -> list[RelayPart]:
    """Return at least one part; the parts cover the offsets without a gap."""
    parts: list[RelayPart] = []
    part_first, part_bytes = first, 0
    part: list[core.RelayedRecord] = []
    for record in records:
        record_bytes = (
            len(record.key) + len(record.value or b"") + RECORD_OVERHEAD_BYTES
        )
        if part and part_bytes + record_bytes > MAX_RELAY_RECORDS_BYTES:
            parts.append(RelayPart(part_first, record.offset, part))
            part_first, part_bytes, part = record.offset, 0, []
        part.append(core.RelayedRecord(record.offset, record.key, record.value))
        part_bytes += record_bytes
    return [*parts, RelayPart(part_first, end, part)]
