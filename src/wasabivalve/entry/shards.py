"""Run the shard controllers of one VM and carry out their decisions."""

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

# Each VM asks one peer for a newer table in this interval: a push may be lost.
TABLE_PULL_INTERVAL_MS = 1_000.0


class ShardDependencies(NamedTuple):
    """Gather what the controllers use."""

    vm: str
    bus: peers.Bus
    access: log_relay.RelayingLogClient
    control_stream: str
    owner_tables: owner_tables.OwnerTables
    command_sender: server_commands.CommandSender
    random_generator: random.Random
    load_counter_by_shard: dict[str, load_counter.LoadCounter]


class _Servers(NamedTuple):
    """Name the servers of a shard that may get ranges, with their data centres."""

    data_centre_by_server: dict[str, str]


class ShardControllers:
    """Hold the promises and controllers of one VM; used by one thread only."""

    def __init__(self, parts: ShardDependencies, now: float):
        self._parts = parts
        self._giver = promises.PromiseGranter(parts.vm, now)
        self._controller_by_shard: dict[str, controller.ShardController] = {}
        self._address_by_server: dict[str, upstream_client.UpstreamAddress] = {}
        self._state = replay.ControlState()
        self._vms: tuple[str, ...] = ()
        self._locality_by_vm: Mapping[str, routing.Locality] = {}
        self._appends = futures.ThreadPoolExecutor(1, "control-append")
        self._next_pull = 0.0
        self._balancer_by_shard: dict[str, shard_balancer.ShardBalancer] = {}
        self._servers_by_shard: dict[str, _Servers] = {}
        self._next_report = now + shard_balancer.REPORT_INTERVAL_MS

    @property
    def next_offset(self) -> int:
        """Return the offset of the control stream up to which was read."""
        return self._state.next_offset

    def describe(self, now: float) -> dict[str, Any]:
        """Return the observed state of each shard."""
        result = {}
        for shard, shard_controller in self._controller_by_shard.items():
            agreed = self._state.shard(shard)
            result[shard] = {
                "controller": shard_controller.authority.is_held(now),
                "term": agreed.term,
                "revision": agreed.revision,
                "group": list(agreed.group),
            }
        return result

    def close(self) -> None:
        """Stop the thread that appends."""
        self._appends.shutdown(wait=False, cancel_futures=True)

    def on_configuration(self, view: resources.ConfigurationView, now: float) -> None:
        """Start a controller for each service that is divided by key."""
        for service in view.service_by_name.values():
            if not service.partitioned:
                continue
            self._note_addresses(service)
            shard = request_path.shard_of(service.name)
            if shard not in self._controller_by_shard:
                self._add_controller(shard, service, now)
            leaving = tuple(
                name for owner, name in view.drained_instances if owner == service.name
            )
            names = tuple(instance.name for instance in service.instances)
            self._servers_by_shard[shard] = _Servers(
                {
                    instance.name: instance.data_centre
                    for instance in service.instances
                    if instance.name not in leaving
                }
            )
            event = decisions.ServersChanged(names, leaving)
            self._handle(shard, event, now)

    def on_vms(
        self,
        vms: Sequence[str],
        locality_by_vm: Mapping[str, routing.Locality],
        now: float,
    ) -> None:
        """Take in the entry VMs that may hold promises."""
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
            self._state = replay.apply(self._state, offset, record).state
        if batch.next_offset > self._state.next_offset:
            self._state = replay.with_gap(self._state, batch.next_offset)
        if not from_log:
            # A copy does not prove that this VM can still reach the log.
            return
        self._giver.on_log_read(self._state)
        for shard in self._controller_by_shard:
            agreed = self._state.shard(shard)
            self._parts.load_counter_by_shard[shard].set_ranges(
                [item.start for item in agreed.ranges], agreed.servers_by_key
            )
            self._handle(shard, decisions.LogRead(self._state), now)

    def on_log_gap(self, oldest_offset: int) -> None:
        """Note that records were removed before they were read."""
        self._state = replay.with_gap(self._state, oldest_offset)

    def on_server_reply(self, event: decisions.OwnershipReplied, now: float) -> None:
        """Take in the reply of a server to a command."""
        if event.command.shard in self._controller_by_shard:
            self._handle(event.command.shard, event, now)

    def on_table(self, table: messages_generated.OwnerTable, now: float) -> None:
        """Let the controller follow a table that another one published."""
        if table["shard"] in self._controller_by_shard:
            generation = table["generation"]
            token = ownership.FencingToken(
                generation["term"], generation["position"], generation["step"]
            )
            self._handle(table["shard"], decisions.GenerationReceived(token), now)

    def on_message(self, incoming: peers.IncomingMessage, now: float) -> None:
        """Take in a message about promises or owner tables."""
        message = incoming.message
        if incoming.kind == "promise_request":
            if message["vm"] == incoming.sender:
                reply = self._giver.on_request(message, now)
                incoming.reply("promise_reply", reply)
        elif incoming.kind == "promise_reply":
            known = message["shard"] in self._controller_by_shard
            if known and message["vm"] == incoming.sender:
                event = decisions.PromiseReplied(message)
                self._handle(message["shard"], event, now)
        elif incoming.kind == "load_report":
            if message["shard"] in self._balancer_by_shard:
                self._balancer_by_shard[message["shard"]].on_report(message)
        elif incoming.kind == "owner_table_request":
            newer = self._parts.owner_tables.newer_than(
                message["shard"], message["known"]
            )
            if newer is not None:
                incoming.reply("owner_table", newer)

    def tick(self, live_peers: Sequence[str], now: float) -> None:
        """Let time pass."""
        self._giver.tick(now)
        for shard in self._controller_by_shard:
            self._handle(shard, decisions.ControllerTick(), now)
            self._balance(shard, now)
        if now >= self._next_report:
            self._next_report = now + shard_balancer.REPORT_INTERVAL_MS
            self._report_load()
        if now >= self._next_pull and live_peers:
            self._next_pull = now + TABLE_PULL_INTERVAL_MS
            peer = self._parts.random_generator.choice(list(live_peers))
            for shard in self._controller_by_shard:
                request = self._parts.owner_tables.request_for(shard)
                self._parts.bus.send(peer, "owner_table_request", request)

    def _balance(self, shard: str, now: float) -> None:
        """Plan moves while this VM is the controller and no server is lost."""
        tenure = self._controller_by_shard[shard].tenure
        if tenure is None:
            self._balancer_by_shard[shard] = shard_balancer.ShardBalancer(now)
            return
        servers = self._servers_by_shard[shard].data_centre_by_server
        if not set(servers) <= set(tenure.usable_servers(now)):
            return
        moves = self._balancer_by_shard[shard].plan(
            self._state.shard(shard), servers, now
        )
        if moves:
            self._handle(shard, decisions.MovesRequested(moves), now)

    def _report_load(self) -> None:
        """Send the load of each shard to its controller."""
        for shard, counter in self._parts.load_counter_by_shard.items():
            report = counter.take_report(shard)
            controller_vm = self._controller_of(shard)
            if controller_vm == self._parts.vm:
                self._balancer_by_shard[shard].on_report(report)
            elif controller_vm:
                self._parts.bus.send(controller_vm, "load_report", report)

    def _controller_of(self, shard: str) -> str:
        """Return the VM that published the newest owner table, empty for none."""
        table = self._parts.owner_tables.find(shard)
        agreed = self._state.shard(shard)
        if table is None or table.generation.term != agreed.term:
            return ""
        position = table.generation.position
        known = position < len(agreed.controllers)
        return agreed.controllers[position] if known else ""

    def _note_addresses(self, service: resources.ConfiguredService) -> None:
        for instance in service.instances:
            address = upstream_client.UpstreamAddress(instance.host, instance.port)
            self._address_by_server[instance.name] = address

    def _add_controller(
        self, shard: str, service: resources.ConfiguredService, now: float
    ) -> None:
        self._balancer_by_shard[shard] = shard_balancer.ShardBalancer(now)
        self._parts.load_counter_by_shard.setdefault(shard, load_counter.LoadCounter())
        self._controller_by_shard[shard] = controller.ShardController(
            self._parts.vm,
            shard,
            service.checks_fencing,
            self._giver,
            self._parts.random_generator,
        )
        vms = order_group_candidates(shard, self._vms, self._locality_by_vm)
        self._handle(shard, decisions.VmsChanged(vms), now)

    def _handle(self, shard: str, event: decisions.Event, now: float) -> None:
        for decision in self._controller_by_shard[shard].handle(event, now):
            self._carry_out(shard, decision, now)

    def _carry_out(self, shard: str, decision: decisions.Decision, now: float) -> None:
        match decision:
            case decisions.SendPromiseRequest(vm, request):
                if vm == self._parts.vm:
                    reply = self._giver.on_request(request, now)
                    self._handle(shard, decisions.PromiseReplied(reply), now)
                else:
                    self._parts.bus.send(vm, "promise_request", request)
            case decisions.SendOwnershipCommand(server, command):
                address = self._address_by_server.get(server)
                if address is not None:
                    self._parts.command_sender.send(server, address, command)
            case decisions.AppendRecords(records):
                self._append(records)
            case decisions.PublishOwnerTable(table):
                self._parts.owner_tables.publish(table)
                self._parts.bus.broadcast("owner_table", table)
            case decisions.EmitEvent(number, fields):
                events.emit(number, **fields)

    def _append(self, records: tuple[Any, ...]) -> None:
        # The controller appends again until it reads the records back, so the
        # outcome of this call is of no interest.
        access, stream = self._parts.access, self._parts.control_stream
        try:
            self._appends.submit(access.append, stream, list(records))
        except RuntimeError:
            # The executor is shut down: the process stops.
            return


def order_group_candidates(
    shard: str, vms: Sequence[str], locality_by_vm: Mapping[str, routing.Locality]
) -> tuple[str, ...]:
    """Return the VMs by rendezvous hashing, taking the data centres in turn."""
    waiting_by_data_centre: dict[str, list[str]] = {}
    for vm in rendezvous.rank_names(f"group/{shard}", vms):
        locality = locality_by_vm.get(vm)
        name = locality.data_centre if locality else ""
        waiting_by_data_centre.setdefault(name, []).append(vm)
    ordered = []
    while waiting_by_data_centre:
        for name in list(waiting_by_data_centre):
            ordered.append(waiting_by_data_centre[name].pop(0))
            if not waiting_by_data_centre[name]:
                del waiting_by_data_centre[name]
    return tuple(ordered)


def is_connection_refused(problem: str) -> bool:
    """Return whether a failed command proves that no process listens."""
    return problem == "NewConnectionError"
