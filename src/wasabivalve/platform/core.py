"""Run one entry VM on the platform."""

import asyncio
import contextlib
import pathlib
import random
from collections.abc import Callable, Sequence

from wasabivalve import events, shared_facts, supervision, untrusted_data
from wasabivalve.desired_state import core as desired_state
from wasabivalve.gateway import (
    connection_limit,
    instance_selection,
    internal_http,
    messages,
)
from wasabivalve.gateway import core as gateway
from wasabivalve.key_leases import controller, key_loads, leases, view
from wasabivalve.key_leases import core as key_leases
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.keyed_log import outage, store_era
from wasabivalve.placement import core as placement
from wasabivalve.placement import directory, service_times
from wasabivalve.slot_dispatch import node as dispatch_node
from wasabivalve.vm_link import copies, exchange, vm_directory

from . import (
    assignment_log,
    clocks,
    facts,
    grants,
    headers,
    instance_views,
    instances,
    membership,
    metrics_page,
    operator_records,
    settings,
    store,
    warmup_probes,
)

DESIRED_STATE_TOPIC = operator_records.TOPIC
INSTANCES_TOPIC = "keyed.servers"
ASSIGNMENT_LOG_TOPIC = assignment_log.ASSIGNMENT_LOG_TOPIC
COPIED_TOPICS = (DESIRED_STATE_TOPIC, ASSIGNMENT_LOG_TOPIC)
"""Topics of one document, which most VMs fetch from another one."""

READINESS_PATH = "/api/readiness"
METRICS_PATH = "/metrics"

INSTANCES_POLL_INTERVAL_S = 0.6
"""Interval of reading instance entries; each call to the store is billed.

An instance must receive no more requests 2.5 s after it left.
"""

DESIRED_STATE_LONG_POLL_S = 1.5
"""Long-poll time for desired states.

They must be in force within 2.5 s, also if a connection has gone silent.
"""

ASSIGNMENT_LOG_LONG_POLL_S = 2.0
"""Long-poll time for key assignments, which limits the effect of a silent connection.

Changes of assignments also arrive in messages from the controller.
"""

VMS_POLL_INTERVAL_S = 1.5
"""Interval of reading VM registrations.

The controller relays only to VMs that it knows; until then a VM reads by itself.
"""

VMS_GAP_DELAY_S = 2.0
"""Time within which relayed changes of VM registrations are read.

When all VMs start, each registration is a change; no request needs them at once.
"""

INSTANCES_GAP_DELAY_S = 0.3
"""Time within which lost relays of instance entries are read from the store."""

ASSIGNMENT_LOG_GAP_DELAY_S = 0.6
"""Time within which a map is read of which only the version was relayed.

The controller's message that the moved ranges are confirmed usually comes before.
"""

FACTS_LONG_POLL_S = 2.0
"""Long-poll time for shared facts, which limits the effect of a silent connection."""

FACTS_GAP_DELAY_S = 0.3
"""Time within which a relayed change of shared facts is read."""

MAX_RELAYED_REGISTRATIONS = 8
"""Registrations of VMs in one relay; more cost less if each VM reads them once."""

VM_LIST_TIMEOUT_S = 0.4
"""Timeout of the first listing of VMs at the start; a call takes 10 to 110 ms."""

TRAFFIC_LOG_INTERVAL_S = 10.0
"""Interval of logging store calls and the bytes sent to other VMs."""

TICK_INTERVAL_S = 0.3
"""Interval of traffic reports to the controller and of closing idle connections."""

IN_FLIGHT_INTERVAL_S = 0.1
"""Interval of sending in-flight counts to peers; most requests take longer."""

SECOND_MS = 1000.0

EXIT_MARGIN_MS = 700.0
"""Part of the grace period kept in reserve before the platform kills the process."""

LAST_RESPONSES_S = 0.15
"""Time for sending the responses of requests that the stop deadline has ended."""

ROTATION_DELAY_S = 2.6
"""Time until the platform's balancer sends no more connections to a stopping VM.

It checks readiness once a second and removes a VM after two failed checks.
"""


class EntryVM:
    """Serve the callers of one VM and assign keys while it is the controller."""

    def __init__(self, vm_settings: settings.VmSettings) -> None:
        self._settings = vm_settings
        self._loop = asyncio.get_running_loop()
        self._generator = random.Random()
        self._store_era = store_era.StoreEra(clocks.boottime_ms)
        self._store_client = store.StoreClient(
            vm_settings.store_address, self._store_era
        )
        self._grant_client = grants.GrantClient(self._health_path)
        self._relay_validity_s = keyed_log.relay_validity_s(
            vm_settings.max_staleness_ms / SECOND_MS
        )
        self._key_view = view.KeyView()
        # Offsets of the records that changed the instance directory since the last
        # relay.
        self._effective_offsets: set[int] = set()
        self._record_has_effect = False
        self._instances_listed = False
        self._vms_listed = asyncio.Event()
        self._stopping = False
        self._key_loads = key_loads.KeyLoads()
        self._shared_service_times = service_times.ServiceTimes()
        topology = placement.Topology(
            vm_settings.data_centre, vm_settings.region_by_data_centre
        )
        known_vms = vm_directory.VmDirectory(
            vm_settings.vm, vm_settings.vm_registration, topology
        )
        # The others follow the read positions of the controller, so it reads the store
        # itself: a copy fetched from a VM that waits for its relays would only time
        # out.
        self._copies = copies.DocumentCopies(
            COPIED_TOPICS,
            lambda: (
                []
                if self._controller.is_controller
                else known_vms.copy_source_addresses()
            ),
            lambda topic: self._exchange.follower_by_topic[topic].next_offset or 0,
            self._store_era,
        )
        self._assignment_log = assignment_log.AssignmentLog(
            self._store_client, self._copies, self._on_recorded_map
        )
        self._exchange = exchange.MessageExchange(
            vm_settings.vm,
            known_vms,
            exchange.RelayTopics(
                INSTANCES_TOPIC, ASSIGNMENT_LOG_TOPIC, membership.VMS_TOPIC
            ),
            self._key_view,
            self._key_loads,
            self._shared_service_times,
            exchange.ExchangeCallbacks(
                lambda: self._controller.is_controller,
                lambda: self._gateway.on_holders_changed(),
                lambda term: self._controller.yield_to(term),
                lambda vm, term, remaining_ms: self._controller.on_yielded(
                    vm, term, remaining_ms
                ),
                lambda: self._controller.remaining_lease_ms_by_instance(),
                lambda vm, counts: self._gateway.selector.peer_loads.on_report(
                    vm, counts, self._now_ms()
                ),
                lambda message: self._dispatch_node.on_message(message),
                lambda received: self._fact_sharing.on_facts(received),
                lambda: self._instance_directory.ms_since_recovery(self._now_ms()),
                lambda elapsed_ms: self._instance_directory.on_relayed_recovery(
                    elapsed_ms, self._now_ms()
                ),
            ),
            self._relay_validity_s,
            self._store_era,
        )
        self._fact_sharing = facts.FactSharing(
            self._store_client,
            self._exchange.broadcast_facts,
            lambda: self._controller.is_controller,
            lambda news: self._gateway.on_shared_facts(news),
            lambda: self._exchange.follower_by_topic[facts.FACTS_TOPIC].next_offset,
        )
        self._operator_records = operator_records.OperatorRecords(
            self._copies.put,
            self._on_desired_state,
            lambda: self._gateway.on_holders_changed(),
        )
        self._instance_views = instance_views.InstanceViews(
            lambda: self._instance_directory.instance_by_id,
            shared_facts.LeavingInstances(self._fact_sharing.board),
            self._operator_records.evacuated.is_evacuated,
            vm_settings.region_by_data_centre,
            self._now_ms,
        )
        self._paced_limits = warmup_probes.create_limits(
            self._fact_sharing.board,
            self._find_service,
            vm_settings.warmup_bounds,
            self._grant_client,
        )
        self._dispatch_node = dispatch_node.DispatchNode(
            vm_settings.vm,
            topology,
            self._instance_views.list_instances,
            known_vms.rank_vms,
            self._exchange.send_to_vm,
            self.is_ready,
            self._generator,
            self._paced_limits,
        )
        self._store_outage = outage.StoreOutage(
            lambda: outage.probe_interval_s(
                len(known_vms.region_vms()),
                self._controller.is_controller or known_vms.is_relay,
            ),
            self._generator,
            self._loop.time,
        )
        self._instance_directory = directory.InstanceDirectory(
            self._on_instance_change,
            SECOND_MS * exchange.max_relay_gap_s(self._relay_validity_s),
            lambda service: self._find_service(service) is not None,
        )
        self._gateway = gateway.Gateway(
            headers.HEADER_FORMAT,
            topology,
            gateway.RetryLimits(
                vm_settings.retry_share,
                vm_settings.retry_window_ms,
                vm_settings.retry_allowance,
            ),
            instance_selection.GatewayCallbacks(
                self._instance_views.list_instances,
                self._find_holder,
                lambda instance: self._key_view.admit_request(instance, self._now_ms()),
                lambda service, key: self._key_view.admit_key(
                    service, key, self._now_ms()
                ),
                lambda: self._exchange.vm_count if self._vms_listed.is_set() else 0,
                lambda service, key: self._key_loads.count_request(
                    service, key, self._now_ms()
                ),
                self._operator_records.evacuated.is_evacuated,
            ),
            self._shared_service_times,
            vm_settings.message_limits,
            vm_settings.receive_buffer_bytes,
            self._dispatch_node.client,
            self._paced_limits,
            self._fact_sharing.claim_trial,
            vm_settings.link_mbps,
            connection_limit.max_connections(vm_settings.max_descriptors),
        )
        self._controller = controller.KeyLeaseController(
            vm_settings.vm,
            vm_settings.max_lease_ms,
            leases.RemoteCalls(
                clocks.boottime_ms,
                self._assignment_log.read_tail,
                self._assignment_log.append,
                self._grant_client.grant,
                self._grant_client.release,
                lambda: self._store_era.newest,
                lambda: self._store_era.seen_at,
            ),
            leases.ControllerDependencies(
                self._partitioned_services,
                self._instance_views.find_for_keys,
                self._instance_views.list_for_keys,
                self._gateway.selector.capacity_per_s,
                lambda service: self._key_loads.service_loads(service, self._now_ms()),
                self._apply_assignment_map,
                self._exchange.broadcast_moving_ranges,
                self._exchange.broadcast_confirmed_ranges,
                self._exchange.broadcast_admission_shares,
                self._exchange.send_yield_request,
                self._dispatch_node.is_warming,
                lambda: self._key_view.assignment_map,
                lambda: known_vms.registration_by_vm,
                lambda: self._group_member.listed_since_ms,
            ),
        )
        self._group_member = membership.ControllerGroupMember(
            vm_settings,
            self._store_client,
            self._controller,
            self.is_ready,
            self._exchange,
            self._vms_listed,
            clocks.boottime_ms,
            self._store_outage,
        )
        self._internal_servers: list[asyncio.Server] = []
        self._supervisor = supervision.TaskSupervisor()

    def is_ready(self) -> bool:
        """Return whether this VM accepts requests."""
        return (
            self._desired_state is not None
            and self._instances_listed
            and not self._stopping
        )

    async def start(self) -> None:
        """Listen for callers and other VMs, and follow the topics of the store."""
        caller_listen_address, link_address = (
            self._settings.caller_listen_address,
            self._settings.vm_link_address,
        )
        await self._gateway.start(
            caller_listen_address.host, caller_listen_address.port
        )
        readiness_handler = internal_http.single_path_handler(
            READINESS_PATH, self._readiness_response
        )
        metrics_handler = internal_http.single_path_handler(
            METRICS_PATH, self._metrics_response
        )
        self._internal_servers = [
            await internal_http.serve(
                *self._settings.readiness_listen_address, readiness_handler
            ),
            await internal_http.serve(
                *self._settings.metrics_listen_address, metrics_handler
            ),
        ]
        await self._copies.start(link_address.host, link_address.port)
        await self._exchange.start()
        self._controller.start()
        self._dispatch_node.start()
        followers = (
            self._create_follower(
                DESIRED_STATE_TOPIC,
                self._on_desired_state_listing,
                self._operator_records.on_record,
                keyed_log.FollowTimes(0.0, DESIRED_STATE_LONG_POLL_S),
            ),
            self._create_follower(
                INSTANCES_TOPIC,
                self._on_instances_listing,
                self._on_instance_record,
                keyed_log.FollowTimes(
                    INSTANCES_POLL_INTERVAL_S, 0.0, INSTANCES_GAP_DELAY_S
                ),
            ),
            self._create_follower(
                ASSIGNMENT_LOG_TOPIC,
                self._assignment_log.on_listing,
                self._assignment_log.on_record,
                keyed_log.FollowTimes(
                    0.0, ASSIGNMENT_LOG_LONG_POLL_S, ASSIGNMENT_LOG_GAP_DELAY_S
                ),
            ),
            self._create_follower(
                membership.VMS_TOPIC,
                self._on_vms_listing,
                self._exchange.on_vm_record,
                keyed_log.FollowTimes(VMS_POLL_INTERVAL_S, 0.0, VMS_GAP_DELAY_S),
            ),
            self._create_follower(
                facts.FACTS_TOPIC,
                self._fact_sharing.on_listing,
                self._fact_sharing.on_record,
                keyed_log.FollowTimes(0.0, FACTS_LONG_POLL_S, FACTS_GAP_DELAY_S),
            ),
        )
        self._exchange.follower_by_topic = {
            follower.name: follower for follower in followers
        }
        self._store_era.add_listener(self._on_store_restored)
        for follower in followers:
            self._supervisor.start(f"follower of {follower.name}", follower.run)
        self._supervisor.start("group member", self._group_member.run)
        self._supervisor.start("tick", self._tick)
        self._supervisor.start("in-flight counts", self._send_in_flight_counts)
        events.emit(1, vm=self._settings.vm, data_centre=self._settings.data_centre)

    def _readiness_response(self) -> messages.HttpResponse:
        failing = self._supervisor.failing_names()
        if failing:
            # It may act by what it knew before. Its peers and the election of the
            # controller don't depend on this: all VMs may fail in the same way.
            return messages.local_response(503, f"failing: {', '.join(failing)}")
        if self.is_ready():
            return messages.local_response(200, "ready")
        return messages.local_response(503, "not ready")

    def _metrics_response(self) -> messages.HttpResponse:
        evacuated = self._operator_records.evacuated.data_centres
        gauge = self._gateway.metrics.gauge
        gauge("instance.evacuated_data_centres", len(evacuated))
        gauge("task.errors", self._supervisor.error_count)
        gauge("task.failing", len(self._supervisor.failing_names()))
        return metrics_page.render(
            self._gateway,
            self._store_client,
            len(self._instance_directory.instance_by_id),
            self._paced_limits,
            self._now_ms(),
        )

    async def close(self) -> None:
        """Leave the balancer's rotation, finish the requests in progress and stop."""
        stop_requested_at = self._loop.time()
        events.emit(2, vm=self._settings.vm, **self._work_left())
        self._stopping = True
        # Leases are renewed until another VM has claimed the keys. A store outage
        # delays that.
        self._controller.on_other_elected()
        leave_task = self._loop.create_task(self._group_member.leave())
        grace_s = (self._settings.grace_ms - EXIT_MARGIN_MS) / SECOND_MS
        rotation_delay_s = min(ROTATION_DELAY_S, 0.6 * grace_s)
        self._gateway.stop(
            stop_requested_at + grace_s, stop_requested_at + rotation_delay_s
        )
        await asyncio.sleep(rotation_delay_s)
        # Refusing a new connection is better than cutting it at the deadline.
        self._gateway.stop_listening()
        while self._loop.time() < stop_requested_at + grace_s + LAST_RESPONSES_S:
            self._gateway.close_idle_callers()
            must_renew_leases = (
                self._controller.is_controller
                and self._loop.time() < stop_requested_at + grace_s
            )
            if self._gateway.is_idle and not must_renew_leases:
                break
            await asyncio.sleep(0.05)
        work_left = self._work_left()
        leave_task.cancel()
        self._supervisor.close()
        self._controller.close()
        self._dispatch_node.close()
        self._fact_sharing.close()
        self._operator_records.close()
        self._gateway.close()
        self._exchange.close()
        self._copies.close()
        self._grant_client.close()
        self._store_client.close()
        for server in self._internal_servers:
            server.close()
        events.emit(3, vm=self._settings.vm, **work_left)

    def _work_left(self) -> dict[str, int]:
        return {
            "in_work": self._gateway.busy_connections,
            "unsent_bytes": self._gateway.unsent_bytes(),
        }

    def reload(self, path: pathlib.Path) -> None:
        """Read the settings again and log whether they changed; nothing is applied."""
        vm_settings = settings.load(path)
        if isinstance(vm_settings, settings.RejectedSettings):
            for finding in vm_settings.findings:
                events.emit(4, finding=str(finding))
            return
        events.emit(6, vm=vm_settings.vm, changed=vm_settings != self._settings)

    def _now_ms(self) -> float:
        return SECOND_MS * self._loop.time()

    def _create_follower(
        self,
        topic: str,
        on_listing: Callable[[list[keyed_log.Record]], None],
        on_record: Callable[[keyed_log.Record], None],
        times: keyed_log.FollowTimes,
    ) -> keyed_log.TopicFollower:
        is_copied = topic in COPIED_TOPICS

        async def list_newest(
            known_end_offset: int,
        ) -> keyed_log.Listing | keyed_log.Unavailable:
            if is_copied and known_end_offset != keyed_log.ONLY_FROM_STORE:
                await self._wait_for_vm_list()
                copied_listing = await self._copies.fetch_listing(
                    topic, known_end_offset
                )
                if copied_listing is not None:
                    self._copies.put_listing(topic, copied_listing)
                    return copied_listing
            listing = await self._store_client.list_newest(topic)
            if is_copied and isinstance(listing, keyed_log.Listing):
                self._copies.put_listing(topic, listing)
            return listing

        async def read(
            offset: int, wait_s: float
        ) -> keyed_log.Batch | keyed_log.Trimmed | keyed_log.Unavailable:
            # The follower reads without a wait when a relay has reported new records,
            # so another VM has read them already.
            if is_copied and wait_s == 0.0:
                is_operators = topic == DESIRED_STATE_TOPIC
                batch = await self._copies.fetch_batch(
                    topic,
                    offset,
                    self._operator_records.removable_keys() if is_operators else (),
                )
                if batch is not None:
                    return batch
            return await self._store_client.read(topic, offset, wait_s)

        def on_read(
            first_offset: int, end_offset: int, records: list[keyed_log.Record]
        ) -> None:
            self._relay_read(topic, first_offset, end_offset, records)

        handlers = keyed_log.TopicHandlers(
            on_listing, on_record, self._on_reachable, self._on_unreachable, on_read
        )
        return keyed_log.TopicFollower(
            topic,
            keyed_log.TopicSource(list_newest, read),
            handlers,
            times._replace(first_relay_timeout_s=self._relay_validity_s),
            self._generator,
            self._loop.time,
            self._store_outage,
            lambda: self._exchange.stagger_s,
        )

    async def _wait_for_vm_list(self) -> None:
        """Wait until the other VMs are listed, at most ``VM_LIST_TIMEOUT_S``."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._vms_listed.wait(), VM_LIST_TIMEOUT_S)

    def _relay_read(
        self,
        topic: str,
        first_offset: int,
        end_offset: int,
        records: list[keyed_log.Record],
    ) -> None:
        """Relay how far this VM has read a topic.

        Reads without new records are relayed for instances only. The records that
        changed the instance directory are relayed with the position, and registrations
        of VMs unless many VMs start at once.
        """
        if topic == INSTANCES_TOPIC:
            effective_records = [
                record for record in records if record.offset in self._effective_offsets
            ]
            self._effective_offsets.clear()
            self._exchange.relay(topic, first_offset, end_offset, effective_records)
        elif topic == membership.VMS_TOPIC and records:
            if len(records) <= MAX_RELAYED_REGISTRATIONS:
                self._exchange.relay(topic, first_offset, end_offset, records)
            else:
                self._exchange.relay(topic, end_offset, end_offset, [])
        elif records:
            self._exchange.relay(topic, end_offset, end_offset, [])

    # Desired state.

    @property
    def _desired_state(self) -> desired_state.DesiredState | None:
        return self._operator_records.desired_state

    def _on_desired_state_listing(self, records: Sequence[keyed_log.Record]) -> None:
        self._operator_records.on_listing(records)
        self._copies.retain(DESIRED_STATE_TOPIC, operator_records.DESIRED_STATE_KEY)

    def _on_desired_state(self, state: desired_state.DesiredState) -> None:
        self._instance_views.set_desired_state(state)
        self._gateway.set_desired_state(state)

    # Instances.

    def _on_instances_listing(self, records: Sequence[keyed_log.Record]) -> None:
        decoded: list[placement.RegisteredInstance] = []

        def add(record: keyed_log.Record) -> None:
            known = self._instance_directory.instance_by_id.get(record.key)
            instance = self._decode_instance(record) or known
            if instance is not None:
                decoded.append(instance)

        keyed_log.handle_each(INSTANCES_TOPIC, records, add)
        self._instance_directory.on_listing(decoded, self._now_ms())
        if not self._instances_listed:
            self._instances_listed = True
            events.emit(320, instances=len(decoded))

    def _on_instance_record(self, record: keyed_log.Record) -> None:
        self._record_has_effect = record.value is None
        if record.value is None:
            self._instance_directory.on_removed(record.key, self._now_ms())
        else:
            instance = self._decode_instance(record)
            if instance is not None and self._instance_directory.on_entry(instance):
                # The other VMs may be about to remove it as well.
                self._record_has_effect = True
        if self._record_has_effect:
            self._effective_offsets.add(record.offset)

    def _decode_instance(
        self, record: keyed_log.Record
    ) -> placement.RegisteredInstance | None:
        """Return the instance that an entry names, None if it names none.

        An entry of another writer may stand under the id of an instance, whose own
        entry then holds.
        """
        try:
            instance = instances.decode(record.key, record.value or b"")
            self._check_service(instance)
        except instances.MalformedInstanceEntry as error:
            events.emit(323, instance=record.key[:40], problem=str(error))
            return None
        return instance

    def _check_service(self, instance: placement.RegisteredInstance) -> None:
        """Raise ``MalformedInstanceEntry`` if an instance changes to no known service.

        Its service may be configured later, which makes no difference to a new one.
        """
        known = self._instance_directory.instance_by_id.get(instance.id)
        if (
            known is not None
            and self._find_service(known.service) is not None
            and self._find_service(instance.service) is None
        ):
            shown = untrusted_data.excerpt(instance.service)
            raise instances.MalformedInstanceEntry(
                f"service is {shown}, which is not configured"
            )

    def _on_instance_change(
        self,
        before: placement.RegisteredInstance | None,
        after: placement.RegisteredInstance | None,
    ) -> None:
        self._record_has_effect = True
        self._instance_views.on_change()
        self._gateway.on_instance_change(before, after)
        if before is not None and after is None:
            self._dispatch_node.remove_instance(before.id)
        instance = after or before
        assert instance is not None
        events.emit(
            321 if after is not None else 322,
            instance=instance.id,
            service=instance.service,
            data_centre=instance.data_centre,
            born=instance.born,
            draining=instance.draining,
        )

    def _on_store_restored(self) -> None:
        """Start anew from listings; entries that were lost are about to return."""
        self._instance_directory.on_relayed_recovery(0.0, self._now_ms())
        self._effective_offsets.clear()
        self._controller.on_new_era()
        self._fact_sharing.on_new_era()
        self._operator_records.on_new_era()
        self._group_member.on_new_era()
        for follower in self._exchange.follower_by_topic.values():
            follower.start_anew()

    def _on_reachable(self) -> None:
        self._instance_directory.on_reachable(self._now_ms())

    def _on_unreachable(self, reason: str) -> None:
        self._instance_directory.on_unreachable(self._now_ms())

    # Key assignments.

    def _on_recorded_map(self, assignment_map: key_leases.AssignmentMap) -> bool:
        self._controller.on_recorded_map(assignment_map)
        return self._apply_assignment_map(assignment_map)

    def _apply_assignment_map(self, assignment_map: key_leases.AssignmentMap) -> bool:
        is_newest = self._key_view.on_assignment_map(assignment_map)
        if is_newest:
            self._gateway.on_holders_changed()
        return is_newest

    def _find_holder(self, service: str, key: int) -> view.KeyHolder:
        return self._key_view.find_holder(service, key, self._now_ms())

    def _partitioned_services(self) -> list[str]:
        if self._desired_state is None:
            return []
        services = self._desired_state.service_by_name.values()
        return [service.name for service in services if service.partitioned]

    def _find_service(self, service: str) -> desired_state.ServiceConfig | None:
        state = self._desired_state
        return None if state is None else state.service_by_name.get(service)

    def _health_path(self, service: str) -> str:
        config = self._find_service(service)
        return "" if config is None else config.health_path

    def _on_vms_listing(self, records: Sequence[keyed_log.Record]) -> None:
        self._exchange.on_vms_listing(records)
        self._vms_listed.set()

    async def _send_in_flight_counts(self) -> None:
        while True:
            await asyncio.sleep(IN_FLIGHT_INTERVAL_S)
            self._gateway.selector.peer_loads.expire(self._now_ms())
            self._exchange.send_in_flight_counts(
                self._gateway.selector.in_flight_by_instance()
            )

    async def _tick(self) -> None:
        logged_at = self._loop.time()
        was_controller = False
        while True:
            if self._controller.is_controller and not was_controller:
                # The other VMs wait for the relays of this one, and it for those of
                # its predecessor.
                for follower in self._exchange.follower_by_topic.values():
                    follower.end_relays()
            was_controller = self._controller.is_controller
            if self._loop.time() >= logged_at + TRAFFIC_LOG_INTERVAL_S:
                logged_at = self._loop.time()
                metrics_page.log_control_traffic(self._store_client, self._exchange)
            await asyncio.sleep(TICK_INTERVAL_S)
            self._instance_directory.tick(self._now_ms())
            self._gateway.resets.on_registry_seen(self._instance_directory.seen_at)
            self._fact_sharing.tick()
            self._gateway.pool.close_expired(self._loop.time())
            self._exchange.report_traffic()
            self._exchange.update_vm_count()
