"""Run the shard controllers of one entry VM and execute their decisions.

A shard is the unit of key ownership. Its controller, one of the entry VMs, assigns the
ranges of its keys to servers and publishes the owner table.
"""

import random
from collections.abc import Mapping, Sequence
from concurrent import futures
from typing import Any, NamedTuple

from wasabivalve import (
    events,
    ownership,
    peers,
    platform_log,
    rendezvous,
    resources,
    routing,
)
from wasabivalve.ownership import controller, decisions, promises, replay
from wasabivalve.schema import messages_generated

from . import (
    load_counter,
    log_relay,
    owner_tables,
    request_path,
    server_commands,
    shard_balancer,
    upstream_client,
)

# Interval at which a VM asks one peer for newer owner tables; a broadcast table may be
# lost.
TABLE_PULL_INTERVAL_MS = 1_000.0


class ShardDependencies(NamedTuple):
    """Hold the objects that the shard controllers use."""

    vm: str
    bus: peers.Bus
    log_client: log_relay.RelayingLogClient
    control_stream: str
    owner_tables: owner_tables.OwnerTables
    command_sender: server_commands.CommandSender
    random_generator: random.Random
    load_counter_by_shard: dict[str, load_counter.LoadCounter]


class _ServerLocations(NamedTuple):
    """Hold the data centres of the servers of a shard that may be assigned ranges."""

    data_centre_by_server: dict[str, str]


class ShardControllers:
    """Run the promise granter and the shard controllers of one VM; not thread-safe.

    ``now`` is in monotonic ms in all methods.
    """

    def __init__(self, dependencies: ShardDependencies, now: float):
        self._dependencies = dependencies
        self._promise_granter = promises.PromiseGranter(dependencies.vm, now)
        self._controller_by_shard: dict[str, controller.ShardController] = {}
        self._address_by_server: dict[str, upstream_client.UpstreamAddress] = {}
        self._control_state = replay.ControlState()
        self._vms: tuple[str, ...] = ()
        self._locality_by_vm: Mapping[str, routing.Locality] = {}
        self._append_executor = futures.ThreadPoolExecutor(1, "control-append")
        self._next_pull_at = 0.0
        self._balancer_by_shard: dict[str, shard_balancer.ShardBalancer] = {}
        self._locations_by_shard: dict[str, _ServerLocations] = {}
        self._next_report_at = now + shard_balancer.REPORT_INTERVAL_MS

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record of the control stream to read."""
        return self._control_state.next_offset

    def describe(self, now: float) -> dict[str, Any]:
        """Return the state of each shard for the status document."""
        status_by_shard = {}
        for shard, shard_controller in self._controller_by_shard.items():
            shard_state = self._control_state.shard(shard)
            status_by_shard[shard] = {
                "controller": shard_controller.authority.is_held(now),
                "term": shard_state.term,
                "revision": shard_state.revision,
                "group": list(shard_state.group),
            }
        return status_by_shard

    def close(self) -> None:
        """Stop the thread that appends to the control stream."""
        self._append_executor.shutdown(wait=False, cancel_futures=True)

    def on_configuration(self, view: resources.ConfigurationView, now: float) -> None:
        """Update servers and start a controller for each new partitioned service."""
        for service in view.service_by_name.values():
            if not service.partitioned:
                continue
            self._store_addresses(service)
            shard = request_path.shard_of(service.name)
            if shard not in self._controller_by_shard:
                self._add_controller(shard, service, now)
            drained_servers = tuple(
                name for owner, name in view.drained_instances if owner == service.name
            )
            server_names = tuple(instance.name for instance in service.instances)
            self._locations_by_shard[shard] = _ServerLocations(
                {
                    instance.name: instance.data_centre
                    for instance in service.instances
                    if instance.name not in drained_servers
                }
            )
            event = decisions.ServersChanged(server_names, drained_servers)
            self._handle(shard, event, now)

    def on_vms(
        self,
        vms: Sequence[str],
        locality_by_vm: Mapping[str, routing.Locality],
        now: float,
    ) -> None:
        """Update the entry VMs that may be members of a promise group."""
        if tuple(vms) == self._vms:
            return
        self._vms = tuple(vms)
        self._locality_by_vm = locality_by_vm
        for shard in self._controller_by_shard:
            event = decisions.VmsChanged(
                order_group_candidates(shard, vms, locality_by_vm)
            )
            self._handle(shard, event, now)

    def on_log(self, batch: platform_log.ReadBatch, from_log: bool, now: float) -> None:
        """Replay records of the control stream."""
        for offset, record in batch.records:
            self._control_state = replay.apply(
                self._control_state, offset, record
            ).state
        if batch.next_offset > self._control_state.next_offset:
            self._control_state = replay.with_gap(
                self._control_state, batch.next_offset
            )
        if not from_log:
            # Reading a copy does not prove that this VM can still reach the log.
            return
        self._promise_granter.on_log_read(self._control_state)
        for shard in self._controller_by_shard:
            shard_state = self._control_state.shard(shard)
            self._dependencies.load_counter_by_shard[shard].set_ranges(
                [listed_range.start for listed_range in shard_state.ranges],
                shard_state.servers_by_key,
            )
            self._handle(shard, decisions.LogRead(self._control_state), now)

    def on_log_gap(self, oldest_offset: int) -> None:
        """Handle the removal of records that this VM has not read."""
        self._control_state = replay.with_gap(self._control_state, oldest_offset)

    def on_server_reply(self, event: decisions.OwnershipReplied, now: float) -> None:
        """Handle the reply of a server to a command."""
        if event.command.shard in self._controller_by_shard:
            self._handle(event.command.shard, event, now)

    def on_table(self, table: messages_generated.OwnerTable, now: float) -> None:
        """Pass the generation of a table that a peer published to the controller."""
        if table["shard"] in self._controller_by_shard:
            generation = table["generation"]
            token = ownership.FencingToken(
                generation["term"], generation["position"], generation["step"]
            )
            self._handle(table["shard"], decisions.GenerationReceived(token), now)

    def on_message(self, incoming: peers.IncomingMessage, now: float) -> None:
        """Handle a message about promises, load or owner tables."""
        message = incoming.message
        if incoming.kind == "promise_request":
            if message["vm"] == incoming.sender:
                reply = self._promise_granter.on_request(message, now)
                incoming.reply("promise_reply", reply)
        elif incoming.kind == "promise_reply":
            is_known = message["shard"] in self._controller_by_shard
            if is_known and message["vm"] == incoming.sender:
                event = decisions.PromiseReplied(message)
                self._handle(message["shard"], event, now)
        elif incoming.kind == "load_report":
            if message["shard"] in self._balancer_by_shard:
                self._balancer_by_shard[message["shard"]].on_report(message)
        elif incoming.kind == "owner_table_request":
            newer_table = self._dependencies.owner_tables.newer_than(
                message["shard"], message["known"]
            )
            if newer_table is not None:
                incoming.reply("owner_table", newer_table)

    def tick(self, live_peers: Sequence[str], now: float) -> None:
        """Run what is due: controllers, balancing, load reports and table requests."""
        self._promise_granter.tick(now)
        for shard in self._controller_by_shard:
            self._handle(shard, decisions.ControllerTick(), now)
            self._balance(shard, now)
        if now >= self._next_report_at:
            self._next_report_at = now + shard_balancer.REPORT_INTERVAL_MS
            self._report_load()
        if now >= self._next_pull_at and live_peers:
            self._next_pull_at = now + TABLE_PULL_INTERVAL_MS
            peer = self._dependencies.random_generator.choice(list(live_peers))
            for shard in self._controller_by_shard:
                request = self._dependencies.owner_tables.request_for(shard)
                self._dependencies.bus.send(peer, "owner_table_request", request)

    def _balance(self, shard: str, now: float) -> None:
        """Plan moves while this VM is the controller and every server is usable."""
        tenure = self._controller_by_shard[shard].tenure
        if tenure is None:
            self._balancer_by_shard[shard] = shard_balancer.ShardBalancer(now)
            return
        servers = self._locations_by_shard[shard].data_centre_by_server
        if not set(servers) <= set(tenure.usable_servers(now)):
            return
        moves = self._balancer_by_shard[shard].plan(
            self._control_state.shard(shard), servers, now
        )
        if moves:
            self._handle(shard, decisions.MovesRequested(moves), now)

    def _report_load(self) -> None:
        """Send the request counts of each shard to its controller."""
        for shard, counter in self._dependencies.load_counter_by_shard.items():
            report = counter.take_report(shard)
            controller_vm = self._find_controller_vm(shard)
            if controller_vm == self._dependencies.vm:
                self._balancer_by_shard[shard].on_report(report)
            elif controller_vm:
                self._dependencies.bus.send(controller_vm, "load_report", report)

    def _find_controller_vm(self, shard: str) -> str:
        """Return the VM that published the newest owner table of the current term.

        Return an empty string if there is none.
        """
        owner_index = self._dependencies.owner_tables.find(shard)
        shard_state = self._control_state.shard(shard)
        if owner_index is None or owner_index.generation.term != shard_state.term:
            return ""
        position = owner_index.generation.position
        is_known = position < len(shard_state.controllers)
        return shard_state.controllers[position] if is_known else ""

    def _store_addresses(self, service: resources.ConfiguredService) -> None:
        for instance in service.instances:
            address = upstream_client.UpstreamAddress(instance.host, instance.port)
            self._address_by_server[instance.name] = address

    def _add_controller(
        self, shard: str, service: resources.ConfiguredService, now: float
    ) -> None:
        self._balancer_by_shard[shard] = shard_balancer.ShardBalancer(now)
        self._dependencies.load_counter_by_shard.setdefault(
            shard, load_counter.LoadCounter()
        )
        self._controller_by_shard[shard] = controller.ShardController(
            self._dependencies.vm,
            shard,
            service.checks_fencing,
            self._promise_granter,
            self._dependencies.random_generator,
        )
        vms = order_group_candidates(shard, self._vms, self._locality_by_vm)
        self._handle(shard, decisions.VmsChanged(vms), now)

    def _handle(self, shard: str, event: decisions.Event, now: float) -> None:
        for decision in self._controller_by_shard[shard].handle(event, now):
            self._execute(shard, decision, now)

    def _execute(self, shard: str, decision: decisions.Decision, now: float) -> None:
        match decision:
            case decisions.SendPromiseRequest(vm, request):
                if vm == self._dependencies.vm:
                    reply = self._promise_granter.on_request(request, now)
                    self._handle(shard, decisions.PromiseReplied(reply), now)
                else:
                    self._dependencies.bus.send(vm, "promise_request", request)
            case decisions.SendOwnershipCommand(server, command):
                address = self._address_by_server.get(server)
                if address is not None:
                    self._dependencies.command_sender.send(server, address, command)
            case decisions.AppendRecords(records):
                self._append(records)
            case decisions.PublishOwnerTable(table):
                self._dependencies.owner_tables.publish(table)
                self._dependencies.bus.broadcast("owner_table", table)
            case decisions.EmitEvent(number, fields):
                events.emit(number, **fields)

    def _append(self, records: tuple[Any, ...]) -> None:
        # The controller appends again until it reads the records back, so the
        # result of this call is ignored.
        log_client, stream = (
            self._dependencies.log_client,
            self._dependencies.control_stream,
        )
        try:
            self._append_executor.submit(log_client.append, stream, list(records))
        except RuntimeError:
            # The executor is shut down: the process stops.
            return


def order_group_candidates(
    shard: str, vms: Sequence[str], locality_by_vm: Mapping[str, routing.Locality]
) -> tuple[str, ...]:
    """Return the VMs in rendezvous order, alternating between data centres."""
    remaining_by_data_centre: dict[str, list[str]] = {}
    for vm in rendezvous.rank_names(f"group/{shard}", vms):
        locality = locality_by_vm.get(vm)
        name = locality.data_centre if locality else ""
        remaining_by_data_centre.setdefault(name, []).append(vm)
    ordered = []
    while remaining_by_data_centre:
        for name in list(remaining_by_data_centre):
            ordered.append(remaining_by_data_centre[name].pop(0))
            if not remaining_by_data_centre[name]:
                del remaining_by_data_centre[name]
    return tuple(ordered)


def is_connection_refused(error_name: str) -> bool:
    """Return whether the error of a command proves that no process listens."""
    return error_name == "NewConnectionError"
