"""Run one entry VM on the platform."""

import asyncio
import contextlib
import pathlib
import random
import time
from collections.abc import Callable, Sequence

import msgspec

from wasabivalve import events
from wasabivalve.desired_state import core as desired_state
from wasabivalve.gateway import core as gateway
from wasabivalve.gateway import instance_selection, internal_http, messages
from wasabivalve.key_leases import controller, key_loads, leases, view
from wasabivalve.key_leases import core as key_leases
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.placement import core as placement
from wasabivalve.placement import directory, service_times
from wasabivalve.vm_link import copies, exchange, vm_directory

from . import desired_state as desired_state_decoder
from . import grants, headers, instances, membership, settings, store

OPERATOR_TOPIC = "keyed.op"
OPERATOR_KEY = "config"
SERVERS_TOPIC = "keyed.servers"
LEDGER_TOPIC = "keyed.wasabivalve.keys"
LEDGER_KEY = "map"
READINESS_PATH = "/api/readiness"
METRICS_PATH = "/metrics"

SERVERS_INTERVAL_S = 0.6
"""Instances must get no request 2.5 s after they left; each call is priced."""

STATE_WAIT_S = 1.5
"""Desired states must be in force within 2.5 s, also if a connection went silent."""

LEDGER_WAIT_S = 2.0
"""Changes of holders come by messages too; this only bounds a silent connection."""

VMS_INTERVAL_S = 1.5
"""The controller relays to the VMs that it knows; until then each reads by itself."""

VMS_WAIT_S = 0.4
"""Time at the start until the list of VMs is known; a call takes 10 to 110 ms."""

CALL_REPORT_S = 10.0
"""Interval of the log line with the calls to the store."""

TICK_S = 0.3
"""Interval of reports of keys to the controller and of closing idle connections."""

IN_FLIGHT_S = 0.1
"""Interval of telling peers where requests are; shorter than most work takes."""

SECOND_MS = 1000.0

EXIT_RESERVE_MS = 700.0
"""Time before the platform kills the process by which it has ended itself."""

LAST_ANSWERS_S = 0.15
"""Time in which the answers to requests that were ended reach their callers."""

ROTATION_S = 2.6
"""The platform checks readiness once a second and takes a VM out after two misses."""


def _boot_ms() -> float:
    """Return ms since boot, time for which the machine was suspended included."""
    return SECOND_MS * time.clock_gettime(time.CLOCK_BOOTTIME)


class EntryVM:
    """Serve callers of one VM and control keys while it leads."""

    def __init__(self, loaded: settings.Settings) -> None:
        self._settings = loaded
        self._loop = asyncio.get_running_loop()
        self._generator = random.Random()
        self._store = store.Store(loaded.store)
        self._orders = grants.Orders(self._health_path)
        self._state: desired_state.DesiredState | None = None
        self._view = view.KeyView()
        self._changing: set[int] = set()
        self._changed = False
        self._listed = False
        self._vms_listed = asyncio.Event()
        self._stopping = False
        self._loads = key_loads.KeyLoads()
        instance_speeds = service_times.ServiceTimeRatios()
        places = placement.Topology(loaded.data_centre, loaded.region_by_data_centre)
        vms = vm_directory.VmDirectory(loaded.vm, loaded.vm_entry, places)
        # The controller tells the others how far to read, so it asks the store.
        self._copies = copies.DocumentCopies(
            lambda: [] if self._controller.is_leader else vms.copy_source_addresses()
        )
        self._exchange = exchange.MessageExchange(
            loaded.vm,
            vms,
            exchange.RelayTopics(SERVERS_TOPIC, LEDGER_TOPIC),
            self._view,
            self._loads,
            instance_speeds,
            exchange.ExchangeCallbacks(
                lambda: self._controller.is_leader,
                lambda: self._gateway.on_owners_changed(),
                lambda term: self._controller.yield_to(term),
                lambda vm, term, left: self._controller.on_yielded(vm, term, left),
                lambda: self._controller.remaining_lease_ms_by_instance(),
                lambda vm, counts: self._gateway.selector.peer_loads.on_report(
                    vm, counts, self._now_ms()
                ),
            ),
        )
        self._directory = directory.InstanceDirectory(self._on_instance)
        self._gateway = gateway.Gateway(
            headers.DIALECT,
            places,
            gateway.RetryLimits(
                loaded.repeat_share, loaded.repeat_window_ms, loaded.repeat_allowance
            ),
            instance_selection.GatewayCallbacks(
                self._instances,
                self._owner,
                lambda instance: self._view.admit_request(instance, self._now_ms()),
                lambda: len(vms.registration_by_vm),
                lambda service, key: self._loads.count_request(
                    service, key, self._now_ms()
                ),
            ),
            instance_speeds,
        )
        self._controller = controller.KeyLeaseController(
            loaded.vm,
            loaded.hold_max_ms,
            leases.RemoteCalls(
                _boot_ms,
                self._read_ledger,
                self._append_ledger,
                self._orders.grant,
                self._orders.release,
            ),
            leases.ControllerDependencies(
                self._divided_services,
                self._directory.instance_by_id.get,
                self._instances,
                self._gateway.capacity_per_s,
                lambda service: self._loads.profile(service, self._now_ms()),
                self._take_map,
                self._exchange.broadcast_moving_ranges,
                self._exchange.broadcast_confirmed_ranges,
                self._exchange.broadcast_admission_shares,
                self._exchange.send_yield_request,
            ),
        )
        self._membership = membership.Membership(
            loaded,
            self._store,
            self._controller,
            self.is_ready,
            self._exchange,
            _boot_ms,
        )
        self._pages: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    def is_ready(self) -> bool:
        """Return whether this VM takes requests."""
        return self._state is not None and self._listed and not self._stopping

    async def start(self) -> None:
        """Listen and follow the store."""
        callers, link = self._settings.callers, self._settings.link
        await self._gateway.start(callers.host, callers.port)
        readiness = internal_http.single_path_handler(
            READINESS_PATH, self._readiness_page
        )
        metrics = internal_http.single_path_handler(METRICS_PATH, self._metrics_page)
        self._pages = [
            await internal_http.serve(*self._settings.readiness, readiness),
            await internal_http.serve(*self._settings.metrics, metrics),
        ]
        await self._copies.start(link.host, link.port)
        await self._exchange.start()
        self._controller.start()
        followers = (
            self._follower(
                OPERATOR_TOPIC,
                self._on_operator_listing,
                self._on_operator_record,
                0.0,
                STATE_WAIT_S,
                self._copies,
            ),
            self._follower(
                SERVERS_TOPIC,
                self._on_servers_listing,
                self._on_server_record,
                SERVERS_INTERVAL_S,
                0.0,
            ),
            self._follower(
                LEDGER_TOPIC,
                self._on_ledger_listing,
                self._on_ledger_record,
                0.0,
                LEDGER_WAIT_S,
            ),
            self._follower(
                membership.VMS_TOPIC,
                self._on_vms_listing,
                self._exchange.on_vm_record,
                VMS_INTERVAL_S,
                0.0,
            ),
        )
        self._exchange.follower_by_topic = {one.name: one for one in followers}
        self._tasks = [self._loop.create_task(one.run()) for one in followers]
        self._tasks.append(self._loop.create_task(self._membership.run()))
        self._tasks.append(self._loop.create_task(self._tick()))
        self._tasks.append(self._loop.create_task(self._tell_in_flight()))
        events.emit(1, vm=self._settings.vm, data_centre=self._settings.data_centre)

    def _readiness_page(self) -> messages.HttpResponse:
        if self.is_ready():
            return messages.local_response(200, "ready")
        return messages.local_response(503, "not ready")

    def _metrics_page(self) -> messages.HttpResponse:
        metrics = self._gateway.metrics
        metrics.gauge("request.in_work", self._gateway.busy_connections)
        metrics.gauge("upstream.handshake", self._gateway.pool.handshakes)
        metrics.gauge("store.call", self._store.calls)
        metrics.gauge("instance.listed", len(self._directory.instance_by_id))
        headers_ = [(b"content-type", b"text/plain; charset=utf-8")]
        return messages.HttpResponse(200, b"OK", headers_, metrics.render().encode())

    async def close(self) -> None:
        """Leave the rotation, finish the requests in work and stop."""
        started = self._loop.time()
        events.emit(2, vm=self._settings.vm, in_work=self._gateway.busy_connections)
        self._stopping = True
        # Keys need renewals until another VM has claimed them, which an outage delays.
        self._controller.on_other_elected()
        leave = self._loop.create_task(self._membership.leave())
        grace_s = (self._settings.grace_ms - EXIT_RESERVE_MS) / SECOND_MS
        rotation_s = min(ROTATION_S, 0.6 * grace_s)
        self._gateway.stop(started + grace_s)
        await asyncio.sleep(rotation_s)
        # From here on a new connection is better refused than cut at the end.
        self._gateway.stop_listening()
        while self._loop.time() < started + grace_s + LAST_ANSWERS_S:
            self._gateway.close_idle_callers()
            leads = self._controller.is_leader and self._loop.time() < started + grace_s
            if not self._gateway.busy_connections and not leads:
                break
            await asyncio.sleep(0.05)
        for task in (leave, *self._tasks):
            task.cancel()
        self._controller.close()
        self._gateway.close()
        self._exchange.close()
        self._copies.close()
        self._orders.close()
        self._store.close()
        for page in self._pages:
            page.close()
        events.emit(3, vm=self._settings.vm, in_work=self._gateway.busy_connections)

    def reload(self, path: pathlib.Path) -> None:
        """Read the settings again; what runs keeps its addresses."""
        loaded = settings.load(path)
        if isinstance(loaded, settings.Rejected):
            for finding in loaded.findings:
                events.emit(4, finding=str(finding))
            return
        events.emit(6, vm=loaded.vm, changed=loaded != self._settings)

    def _now_ms(self) -> float:
        return SECOND_MS * self._loop.time()

    def _follower(
        self,
        topic: str,
        on_listing: Callable[[list[keyed_log.Record]], None],
        on_record: Callable[[keyed_log.Record], None],
        interval_s: float,
        wait_s: float,
        others: copies.DocumentCopies | None = None,
    ) -> keyed_log.TopicFollower:
        async def listing(known: int) -> keyed_log.Listing | keyed_log.Unavailable:
            if others is not None:
                await self._wait_for_vms()
                copied = await others.fetch_listing(known)
                if copied is not None:
                    return copied
            return await self._store.newest(topic)

        async def read(
            offset: int, wait: float
        ) -> keyed_log.Batch | keyed_log.Trimmed | keyed_log.Unavailable:
            # Without a wait there are records that another VM has read already.
            if others is not None and wait == 0.0:
                batch = await others.fetch_batch(offset)
                if batch is not None:
                    return batch
            return await self._store.read(topic, offset, wait)

        def on_read(first: int, end: int, records: list[keyed_log.Record]) -> None:
            self._relay(topic, first, end, records)

        handlers = keyed_log.TopicHandlers(
            on_listing, on_record, self._on_contact, self._on_outage, on_read
        )
        return keyed_log.TopicFollower(
            topic,
            keyed_log.TopicSource(listing, read),
            handlers,
            interval_s,
            wait_s,
            self._generator,
            self._loop.time,
            lambda: self._exchange.stagger_s,
        )

    async def _wait_for_vms(self) -> None:
        """Wait until other VMs are known, for as long as a call to the store takes."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._vms_listed.wait(), VMS_WAIT_S)

    def _relay(
        self, topic: str, first: int, end: int, records: list[keyed_log.Record]
    ) -> None:
        """Relay positions with each read of instances, and with each other change."""
        if topic == SERVERS_TOPIC:
            changing = [one for one in records if one.offset in self._changing]
            self._changing.clear()
            self._exchange.relay(topic, first, end, changing)
        elif records:
            self._exchange.relay(topic, end, end, [])

    # Desired state.

    def _on_operator_listing(self, records: Sequence[keyed_log.Record]) -> None:
        for record in records:
            self._on_operator_record(record)

    def _on_operator_record(self, record: keyed_log.Record) -> None:
        if record.key != OPERATOR_KEY or record.value is None:
            return
        try:
            state = desired_state_decoder.decode(record.value)
        except desired_state_decoder.Malformed as error:
            events.emit(503, offset=record.offset, problem=str(error))
            return
        if self._state is not None and state.version <= self._state.version:
            return
        self._state = state
        self._copies.put(record)
        self._gateway.set_desired_state(state)
        events.emit(
            500, version=state.version, offset=record.offset, routes=len(state.routes)
        )

    # Instances.

    def _on_servers_listing(self, records: Sequence[keyed_log.Record]) -> None:
        decoded = [
            instance
            for record in records
            if (instance := self._decode_instance(record)) is not None
        ]
        self._directory.on_listing(decoded, self._now_ms())
        if not self._listed:
            self._listed = True
            events.emit(320, instances=len(decoded))

    def _on_server_record(self, record: keyed_log.Record) -> None:
        self._changed = record.value is None
        if record.value is None:
            self._directory.on_removed(record.key, self._now_ms())
        else:
            instance = self._decode_instance(record)
            if instance is not None:
                self._directory.on_entry(instance)
        if self._changed:
            self._changing.add(record.offset)

    def _decode_instance(
        self, record: keyed_log.Record
    ) -> placement.RegisteredInstance | None:
        try:
            return instances.decode(record.key, record.value or b"")
        except instances.Malformed as error:
            events.emit(323, instance=record.key[:40], problem=str(error))
            return None

    def _on_instance(
        self,
        before: placement.RegisteredInstance | None,
        after: placement.RegisteredInstance | None,
    ) -> None:
        self._changed = True
        self._gateway.on_instance_change(before, after)
        known = after or before
        assert known is not None
        events.emit(
            321 if after is not None else 322,
            instance=known.id,
            service=known.service,
            data_centre=known.data_centre,
            born=known.born,
            draining=known.draining,
        )

    def _instances(self, service: str) -> list[placement.RegisteredInstance]:
        return [
            one
            for one in self._directory.instance_by_id.values()
            if one.service == service
        ]

    def _on_contact(self) -> None:
        self._directory.on_reachable(self._now_ms())

    def _on_outage(self, reason: str) -> None:
        self._directory.on_unreachable(self._now_ms())

    # Keys.

    def _on_ledger_listing(self, records: Sequence[keyed_log.Record]) -> None:
        for record in records:
            self._on_ledger_record(record)

    def _on_ledger_record(self, record: keyed_log.Record) -> None:
        if record.key != LEDGER_KEY or record.value is None:
            return
        try:
            key_map = key_leases.decode(record.value)
        except msgspec.DecodeError as error:
            events.emit(203, topic=LEDGER_TOPIC, offset=record.offset, error=str(error))
            return
        self._controller.on_recorded_map(key_map)
        self._take_map(key_map)

    def _take_map(self, key_map: key_leases.AssignmentMap) -> None:
        if self._view.on_assignment_map(key_map):
            self._gateway.on_owners_changed()

    def _owner(self, service: str, key: int) -> view.KeyHolder:
        return self._view.find_holder(service, key, self._now_ms())

    def _divided_services(self) -> list[str]:
        if self._state is None:
            return []
        services = self._state.service_by_name.values()
        return [service.name for service in services if service.partitioned]

    def _health_path(self, service: str) -> str:
        known = None if self._state is None else self._state.service_by_name
        found = None if known is None else known.get(service)
        return "" if found is None else found.health_path

    async def _read_ledger(self) -> leases.AssignmentLogTail | None:
        listing = await self._store.newest(LEDGER_TOPIC)
        if isinstance(listing, keyed_log.Unavailable):
            return None
        for record in listing.records:
            if record.key != LEDGER_KEY or record.value is None:
                continue
            if record.offset != listing.end_offset - 1:
                # A record was added between the row and the end of this page.
                return None
            try:
                return leases.AssignmentLogTail(
                    key_leases.decode(record.value), listing.end_offset
                )
            except msgspec.DecodeError as error:
                events.emit(
                    203, topic=LEDGER_TOPIC, offset=record.offset, error=str(error)
                )
                return None
        return leases.AssignmentLogTail(key_leases.EMPTY_MAP, listing.end_offset)

    async def _append_ledger(
        self, key_map: key_leases.AssignmentMap, at: int
    ) -> leases.AppendResult:
        data = key_leases.encode(key_map)
        return await self._store.append(LEDGER_TOPIC, LEDGER_KEY, data, at)

    def _on_vms_listing(self, records: Sequence[keyed_log.Record]) -> None:
        for record in records:
            self._exchange.on_vm_record(record)
        self._vms_listed.set()

    async def _tell_in_flight(self) -> None:
        while True:
            await asyncio.sleep(IN_FLIGHT_S)
            self._gateway.selector.peer_loads.expire(self._now_ms())
            self._exchange.send_in_flight_counts(
                self._gateway.selector.in_flight_by_instance()
            )

    async def _tick(self) -> None:
        reported_at = self._loop.time()
        while True:
            if self._loop.time() >= reported_at + CALL_REPORT_S:
                reported_at = self._loop.time()
                calls = self._store.calls_by_name
                events.emit(204, **{n.replace("-", "_"): calls[n] for n in calls})
                self._store.calls_by_name.clear()
            await asyncio.sleep(TICK_S)
            self._directory.tick(self._now_ms())
            self._gateway.pool.close_expired(self._loop.time())
            self._exchange.report_traffic()
