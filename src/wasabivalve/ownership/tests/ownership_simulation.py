"""Simulate controllers, promise granters, servers and a log with a virtual clock.

The seed determines the schedule. Messages are delayed, dropped and duplicated, clocks
run at different rates, and processes pause, stop and restart.
"""

import functools
import heapq
import random

from wasabivalve.ownership import (
    assignments,
    controller,
    decisions,
    fencing,
    key_ranges,
    promises,
    replay,
    server_lease,
)

SHARD = "slotbook/0"
LOG = "log"
TICK_INTERVAL_MS = 20.0
LOG_READ_INTERVAL_MS = 50.0
TABLE_PULL_INTERVAL_MS = 400.0
MAX_LOG_SILENCE_MS = 5000.0


class OwnershipViolation(AssertionError):
    """Report a key with two owners, two controllers or a lost acknowledged record."""


class Process:
    """Hold the clock and the state of one process."""

    def __init__(self, name, rng):
        self.name = name
        self.rate = rng.uniform(0.98, 1.025)
        self.offset = rng.uniform(0.0, 1e6)
        self.paused_until = 0.0
        self.incarnation = 0
        self.stopped = False

    def clock(self, true_time_ms):
        return self.offset + self.rate * true_time_ms


class Simulation:
    """Hold the processes, the network, the log and the checks of one schedule."""

    def __init__(
        self,
        seed,
        checks_fencing=None,
        vms=None,
        servers=None,
        make_granter=promises.PromiseGranter,
        make_lease=server_lease.ServerLease,
    ):
        self.rng = rng = random.Random(seed)
        self.time_ms = 0.0
        self.event_queue = []
        self.sequence = 0
        if checks_fencing is None:
            checks_fencing = rng.random() < 0.7
        self.checks_fencing = checks_fencing
        self.make_granter = make_granter
        self.make_lease = make_lease
        self.vm_names = tuple(f"vm{n}" for n in range(vms or rng.randint(3, 5)))
        self.server_names = tuple(f"s{n}" for n in range(servers or rng.randint(2, 4)))
        self.service_servers = (self.server_names, ())
        self.keys = tuple(f"lodge-{n}" for n in range(4))
        self.process_by_name = {
            name: Process(name, rng) for name in (*self.vm_names, *self.server_names)
        }
        self.granter_by_vm = {}
        self.controller_by_vm = {}
        self.state_by_vm = {}
        self.table_by_vm = {}
        self.lease_by_server = {}
        self.records = []
        self.oldest_offset = 0
        self.reference_states = [replay.ControlState()]
        self.log_is_up = True
        self.group_was_reset = False
        self.blocked = set()
        self.drop_probability = 0.01
        self.late_probability = 0.01
        self.max_delay_ms = 6.0
        self.duplicate_probability = 0.02
        self.max_duplicate_delay_ms = 6.0
        self.check_count = 0
        self.decision_counts = {}
        self.commits_by_key = {key: [] for key in self.keys}
        for name in self.server_names:
            self.start_server(name)
        for name in self.vm_names:
            self.start_vm(name)

    # Event queue.

    def schedule(self, delay, callback, process=None):
        """Run a callback after a delay; a paused process runs it once it resumes."""
        incarnation = None if process is None else process.incarnation
        self.sequence += 1
        queued_event = (
            self.time_ms + delay,
            self.sequence,
            callback,
            process,
            incarnation,
        )
        heapq.heappush(self.event_queue, queued_event)

    def run_until(self, end):
        while self.event_queue and self.event_queue[0][0] <= end:
            due_at, _, callback, process, incarnation = heapq.heappop(self.event_queue)
            self.time_ms = max(self.time_ms, due_at)
            if process is not None and (
                process.stopped or process.incarnation != incarnation
            ):
                continue
            if process is not None and process.paused_until > self.time_ms:
                self.sequence += 1
                queued_event = (
                    process.paused_until,
                    self.sequence,
                    callback,
                    process,
                    incarnation,
                )
                heapq.heappush(self.event_queue, queued_event)
                continue
            callback()
        self.time_ms = end

    def send(self, source, target, callback, may_duplicate=True):
        """Send a message to a process, which may receive it late, twice or never."""
        process = self.process_by_name.get(target)
        copy_count = (
            2 if may_duplicate and self.rng.random() < self.duplicate_probability else 1
        )
        for copy_index in range(copy_count):
            if (
                source,
                target,
            ) in self.blocked or self.rng.random() < self.drop_probability:
                continue
            delay = self.rng.uniform(
                0.5, self.max_duplicate_delay_ms if copy_index else self.max_delay_ms
            )
            if self.rng.random() < self.late_probability:
                delay += self.rng.uniform(0.0, self.rng.choice((500.0, 2500.0)))
            self.schedule(delay, callback, process)

    # Entry VMs.

    def start_vm(self, name):
        process = self.process_by_name[name]
        process.incarnation += 1
        process.stopped = False
        process.paused_until = 0.0
        now = process.clock(self.time_ms)
        granter = self.make_granter(name, now)
        shard_controller = controller.ShardController(
            name,
            SHARD,
            self.checks_fencing,
            granter,
            random.Random(self.rng.getrandbits(64)),
            max_log_silence_ms=MAX_LOG_SILENCE_MS,
            plan_initial=functools.partial(
                assignments.plan_initial_ranges, ranges_per_server=2
            ),
            snapshot_interval_records=12,
        )
        self.granter_by_vm[name] = granter
        self.controller_by_vm[name] = shard_controller
        self.state_by_vm[name] = replay.ControlState()
        self.table_by_vm.pop(name, None)
        self.handle(name, decisions.VmsChanged(self.vm_names))
        self.handle(name, decisions.ServersChanged(*self.service_servers))
        tick = functools.partial(self.tick, name)
        self.schedule(self.rng.uniform(0.0, TICK_INTERVAL_MS), tick, process)
        self.schedule(
            self.rng.uniform(0.0, LOG_READ_INTERVAL_MS),
            lambda: self.read_log(name),
            process,
        )
        self.schedule(
            self.rng.uniform(0.0, TABLE_PULL_INTERVAL_MS),
            lambda: self.pull_table(name),
            process,
        )

    def stop_vm(self, name):
        self.process_by_name[name].stopped = True
        self.controller_by_vm.pop(name, None)

    def tick(self, name):
        process = self.process_by_name[name]
        self.granter_by_vm[name].tick(process.clock(self.time_ms))
        self.handle(name, decisions.ControllerTick())
        self.schedule(TICK_INTERVAL_MS, functools.partial(self.tick, name), process)

    def handle(self, name, event):
        now = self.process_by_name[name].clock(self.time_ms)
        decisions_made = self.controller_by_vm[name].handle(event, now)
        self.check_authority()
        for decision in decisions_made:
            kind = type(decision)
            self.decision_counts[kind] = self.decision_counts.get(kind, 0) + 1
            self.perform(name, decision)

    def perform(self, name, decision):
        match decision:
            case decisions.SendPromiseRequest(vm, request):
                deliver = functools.partial(
                    self.deliver_promise_request, name, vm, request
                )
                if vm == name:
                    self.schedule(0.0, deliver, self.process_by_name[name])
                else:
                    self.send(name, vm, deliver)
            case decisions.SendOwnershipCommand(server, command):
                deliver = functools.partial(self.deliver_command, name, server, command)
                self.send(name, server, deliver, self.checks_fencing)
            case decisions.AppendRecords(records):
                self.send(name, LOG, functools.partial(self.append, records))
            case decisions.PublishOwnerTable(table):
                for vm in self.vm_names:
                    deliver = functools.partial(self.deliver_table, vm, table)
                    if vm == name:
                        deliver()
                    else:
                        self.send(name, vm, deliver)

    def deliver_promise_request(self, sender, vm, request):
        now = self.process_by_name[vm].clock(self.time_ms)
        reply = self.granter_by_vm[vm].on_request(request, now)
        event = decisions.PromiseReplied(reply)
        deliver_reply = functools.partial(self.handle, sender, event)
        if sender == vm:
            deliver_reply()
        else:
            self.send(vm, sender, deliver_reply)

    def pull_table(self, vm):
        """Request the table of another VM, as a published one may have been lost."""
        self.schedule(
            TABLE_PULL_INTERVAL_MS,
            lambda: self.pull_table(vm),
            self.process_by_name[vm],
        )
        peer = self.rng.choice(self.vm_names)

        def send_table():
            table = self.table_by_vm.get(peer)
            if table is not None:
                self.send(peer, vm, functools.partial(self.deliver_table, vm, table))

        self.send(vm, peer, send_table)

    def deliver_table(self, vm, table):
        known = self.table_by_vm.get(vm)
        received = as_token(table["generation"])
        if known is None or received > as_token(known["generation"]):
            self.table_by_vm[vm] = table
            generation = as_token(table["generation"])
            event = decisions.GenerationReceived(generation)
            handle = functools.partial(self.handle, vm, event)
            self.schedule(0.0, handle, self.process_by_name[vm])

    # The log.

    def append(self, records):
        if not self.log_is_up:
            return
        for record in records:
            state = self.reference_states[-1]
            applied = replay.apply(state, len(self.records), record)
            self.records.append(record)
            self.reference_states.append(applied.state)
            if record["kind"] == "group_reset" and applied.accepted:
                self.group_was_reset = True

    def read_log(self, name):
        process = self.process_by_name[name]
        self.schedule(LOG_READ_INTERVAL_MS, lambda: self.read_log(name), process)
        is_reachable = not {(name, LOG), (LOG, name)} & self.blocked
        if not self.log_is_up or not is_reachable:
            return
        state = replay.with_gap(self.state_by_vm[name], self.oldest_offset)
        for offset in range(state.next_offset, len(self.records)):
            state = replay.apply(state, offset, self.records[offset]).state
        self.state_by_vm[name] = state
        if (
            state.complete
            and state.shard_by_name != self.reference_states[-1].shard_by_name
        ):
            raise OwnershipViolation(f"{name} lost an acknowledged record")
        self.granter_by_vm[name].on_log_read(state)
        self.handle(name, decisions.LogRead(state))

    def apply_retention(self):
        """Remove the records that the last complete snapshot covers."""
        last = [record for record in self.records if record["kind"] == "snapshot"]
        if last and last[-1]["chunk"] + 1 == last[-1]["chunks"]:
            self.oldest_offset = max(self.oldest_offset, last[-1]["covers_offset"])

    # Servers.

    def start_server(self, name):
        process = self.process_by_name[name]
        process.incarnation += 1
        process.paused_until = 0.0
        process.offset = self.rng.uniform(0.0, 1e6)
        self.lease_by_server[name] = self.make_lease(self.checks_fencing)

    def stop_server(self, name):
        self.process_by_name[name].incarnation += 1
        self.lease_by_server.pop(name, None)

    def deliver_command(self, sender, server, command):
        lease = self.lease_by_server.get(server)
        reply = None
        if lease is not None:
            now = self.process_by_name[server].clock(self.time_ms)
            reply = lease.handle(command, now)
            self.check_owners()
        event = decisions.OwnershipReplied(server, command, reply)
        self.send(server, sender, functools.partial(self.handle, sender, event))

    def owners(self, key):
        """Return the servers that would commit a request for a key now."""
        found = []
        for server, lease in self.lease_by_server.items():
            now = self.process_by_name[server].clock(self.time_ms)
            token = lease.token_of_key(key, now)
            if token is not None and lease.commit_refusal(key, token, now) is None:
                found.append(server)
        return found

    def check_owners(self):
        self.check_count += 1
        for key in self.keys:
            found = self.owners(key)
            if len(found) > 1:
                raise OwnershipViolation(
                    f"{key} is held by {found} at {self.time_ms:.0f} ms"
                )

    def check_authority(self):
        """Check that one controller holds authority, unless a reset allows two."""
        holders = [
            name
            for name in self.vm_names
            if name in self.controller_by_vm and self.holds_authority(name)
        ]
        if len(holders) > 1 and not self.group_was_reset:
            raise OwnershipViolation(
                f"{holders} hold authority at {self.time_ms:.0f} ms"
            )

    def holds_authority(self, name):
        now = self.process_by_name[name].clock(self.time_ms)
        return self.controller_by_vm[name].authority.is_held(now)

    # Requests of callers.

    def start_request(self, vm, key):
        """Route a request by the table of a VM; it commits after its service time."""
        owner = route(self.table_by_vm.get(vm), key)
        lease = self.lease_by_server.get(owner and owner[0])
        if lease is None:
            return False
        process = self.process_by_name[owner[0]]
        if lease.start_refusal(key, owner[1], process.clock(self.time_ms)) is not None:
            return False
        lease.on_request_started(key)
        duration = self.rng.choice((2.0, 20.0, 900.0))
        commit = functools.partial(self.finish_request, owner, lease, key, self.time_ms)
        self.schedule(duration, commit, process)
        return True

    def finish_request(self, owner, lease, key, started_at):
        server, token = owner
        lease.on_request_finished(key)
        now = self.process_by_name[server].clock(self.time_ms)
        if lease.commit_refusal(key, token, now) is not None:
            return
        for other_server, at in self.commits_by_key[key]:
            if self.checks_fencing and other_server != server and at > started_at:
                raise OwnershipViolation(
                    f"{other_server} committed {key} while {server} ran it"
                )
        self.commits_by_key[key].append((server, self.time_ms))


def route(table, key):
    """Return the server and token of a key, None if the table has none."""
    if table is None:
        return None
    found = [item for item in table["exceptions"] if item["key"] == key]
    if not found:
        position = key_ranges.position_of_key(key)
        found = [
            item
            for item in table["ranges"]
            if item["start"] <= position <= item["last"]
        ]
    if not found or not found[0]["server"]:
        return None
    return found[0]["server"], as_token(found[0]["token"])


def as_token(message):
    return fencing.FencingToken(message["term"], message["position"], message["step"])
