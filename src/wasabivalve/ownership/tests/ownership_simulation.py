"""Run controllers, promise givers, servers and a log in simulated time.

A schedule is determined by its seed. Messages are delayed, dropped and duplicated;
clocks run at different rates; processes pause, stop and start again.
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
TICK_MS = 20.0
READ_MS = 50.0
PULL_MS = 400.0
LOG_SILENCE_MS = 5000.0


class OwnershipViolation(AssertionError):
    """Report a key that two servers would serve, or an acknowledged loss."""


class Process:
    """Hold the clock and the condition of one process."""

    def __init__(self, name, rng):
        self.name = name
        self.rate = rng.uniform(0.98, 1.025)
        self.offset = rng.uniform(0.0, 1e6)
        self.paused_until = 0.0
        self.life = 0
        self.stopped = False

    def clock(self, real):
        return self.offset + self.rate * real


class Simulation:
    """Hold all processes, the network and the checks of one schedule."""

    def __init__(
        self,
        seed,
        checks_fencing=None,
        vms=None,
        servers=None,
        make_giver=promises.PromiseGranter,
        make_lease=server_lease.ServerLease,
    ):
        self.rng = rng = random.Random(seed)
        self.time_ms = 0.0
        self.queue = []
        self.sequence = 0
        if checks_fencing is None:
            checks_fencing = rng.random() < 0.7
        self.checks_fencing = checks_fencing
        self.make_giver = make_giver
        self.make_lease = make_lease
        self.vm_names = tuple(f"vm{n}" for n in range(vms or rng.randint(3, 5)))
        self.server_names = tuple(f"s{n}" for n in range(servers or rng.randint(2, 4)))
        self.service = (self.server_names, ())
        self.keys = tuple(f"lodge-{n}" for n in range(4))
        self.process_by_name = {
            name: Process(name, rng) for name in (*self.vm_names, *self.server_names)
        }
        self.giver_by_vm = {}
        self.controller_by_vm = {}
        self.state_by_vm = {}
        self.table_by_vm = {}
        self.lease_by_server = {}
        self.records = []
        self.oldest = 0
        self.oracle = [replay.ControlState()]
        self.log_is_up = True
        self.was_reset = False
        self.blocked = set()
        self.drop_probability = 0.01
        self.late_probability = 0.01
        self.max_delay_ms = 6.0
        self.duplicate_probability = 0.02
        self.max_duplicate_delay_ms = 6.0
        self.checks = 0
        self.decision_counts = {}
        self.commits = {key: [] for key in self.keys}
        for name in self.server_names:
            self.start_server(name)
        for name in self.vm_names:
            self.start_vm(name)

    # Simulated time.

    def at(self, delay, action, process=None):
        """Run an action later; a paused process runs it when it resumes."""
        life = None if process is None else process.life
        self.sequence += 1
        entry = (self.time_ms + delay, self.sequence, action, process, life)
        heapq.heappush(self.queue, entry)

    def run_until(self, end):
        while self.queue and self.queue[0][0] <= end:
            when, _, action, process, life = heapq.heappop(self.queue)
            self.time_ms = max(self.time_ms, when)
            if process is not None and (process.stopped or process.life != life):
                continue
            if process is not None and process.paused_until > self.time_ms:
                self.sequence += 1
                entry = (process.paused_until, self.sequence, action, process, life)
                heapq.heappush(self.queue, entry)
                continue
            action()
        self.time_ms = end

    def send(self, source, target, action, may_repeat=True):
        """Deliver a message to a process, perhaps late, twice or never."""
        process = self.process_by_name.get(target)
        copies = (
            2 if may_repeat and self.rng.random() < self.duplicate_probability else 1
        )
        for copy in range(copies):
            if (
                source,
                target,
            ) in self.blocked or self.rng.random() < self.drop_probability:
                continue
            delay = self.rng.uniform(
                0.5, self.max_duplicate_delay_ms if copy else self.max_delay_ms
            )
            if self.rng.random() < self.late_probability:
                delay += self.rng.uniform(0.0, self.rng.choice((500.0, 2500.0)))
            self.at(delay, action, process)

    # Entry VMs.

    def start_vm(self, name):
        process = self.process_by_name[name]
        process.life += 1
        process.stopped = False
        process.paused_until = 0.0
        now = process.clock(self.time_ms)
        giver = self.make_giver(name, now)
        held = controller.ShardController(
            name,
            SHARD,
            self.checks_fencing,
            giver,
            random.Random(self.rng.getrandbits(64)),
            max_log_silence_ms=LOG_SILENCE_MS,
            plan_initial=functools.partial(
                assignments.plan_initial_ranges, ranges_per_server=2
            ),
            snapshot_interval_records=12,
        )
        self.giver_by_vm[name] = giver
        self.controller_by_vm[name] = held
        self.state_by_vm[name] = replay.ControlState()
        self.table_by_vm.pop(name, None)
        self.handle(name, decisions.VmsChanged(self.vm_names))
        self.handle(name, decisions.ServersChanged(*self.service))
        tick = functools.partial(self.tick, name)
        self.at(self.rng.uniform(0.0, TICK_MS), tick, process)
        self.at(self.rng.uniform(0.0, READ_MS), lambda: self.read(name), process)
        self.at(self.rng.uniform(0.0, PULL_MS), lambda: self.pull(name), process)

    def stop_vm(self, name):
        self.process_by_name[name].stopped = True
        self.controller_by_vm.pop(name, None)

    def tick(self, name):
        process = self.process_by_name[name]
        self.giver_by_vm[name].tick(process.clock(self.time_ms))
        self.handle(name, decisions.ControllerTick())
        self.at(TICK_MS, functools.partial(self.tick, name), process)

    def handle(self, name, event):
        now = self.process_by_name[name].clock(self.time_ms)
        decided = self.controller_by_vm[name].handle(event, now)
        self.check_authority()
        for decision in decided:
            kind = type(decision)
            self.decision_counts[kind] = self.decision_counts.get(kind, 0) + 1
            self.perform(name, decision)

    def perform(self, name, decision):
        match decision:
            case decisions.SendPromiseRequest(vm, request):
                ask = functools.partial(self.promise, name, vm, request)
                if vm == name:
                    self.at(0.0, ask, self.process_by_name[name])
                else:
                    self.send(name, vm, ask)
            case decisions.SendOwnershipCommand(server, command):
                command_server = functools.partial(self.command, name, server, command)
                self.send(name, server, command_server, self.checks_fencing)
            case decisions.AppendRecords(records):
                self.send(name, LOG, functools.partial(self.append, records))
            case decisions.PublishOwnerTable(table):
                for vm in self.vm_names:
                    publish = functools.partial(self.publish, vm, table)
                    if vm == name:
                        publish()
                    else:
                        self.send(name, vm, publish)

    def promise(self, asker, vm, request):
        now = self.process_by_name[vm].clock(self.time_ms)
        reply = self.giver_by_vm[vm].on_request(request, now)
        event = decisions.PromiseReplied(reply)
        answer = functools.partial(self.handle, asker, event)
        if asker == vm:
            answer()
        else:
            self.send(vm, asker, answer)

    def pull(self, vm):
        """Ask another VM for its table, as a pushed one may have been lost."""
        self.at(PULL_MS, lambda: self.pull(vm), self.process_by_name[vm])
        peer = self.rng.choice(self.vm_names)

        def answer():
            table = self.table_by_vm.get(peer)
            if table is not None:
                self.send(peer, vm, functools.partial(self.publish, vm, table))

        self.send(vm, peer, answer)

    def publish(self, vm, table):
        known = self.table_by_vm.get(vm)
        rank = as_token(table["generation"])
        if known is None or rank > as_token(known["generation"]):
            self.table_by_vm[vm] = table
            generation = as_token(table["generation"])
            event = decisions.GenerationReceived(generation)
            handle = functools.partial(self.handle, vm, event)
            self.at(0.0, handle, self.process_by_name[vm])

    # The log.

    def append(self, records):
        if not self.log_is_up:
            return
        for record in records:
            state = self.oracle[-1]
            applied = replay.apply(state, len(self.records), record)
            self.records.append(record)
            self.oracle.append(applied.state)
            if record["kind"] == "group_reset" and applied.accepted:
                self.was_reset = True

    def read(self, name):
        process = self.process_by_name[name]
        self.at(READ_MS, lambda: self.read(name), process)
        reachable = not {(name, LOG), (LOG, name)} & self.blocked
        if not self.log_is_up or not reachable:
            return
        state = replay.with_gap(self.state_by_vm[name], self.oldest)
        for offset in range(state.next_offset, len(self.records)):
            state = replay.apply(state, offset, self.records[offset]).state
        self.state_by_vm[name] = state
        if state.complete and state.shard_by_name != self.oracle[-1].shard_by_name:
            raise OwnershipViolation(f"{name} lost an acknowledged record")
        self.giver_by_vm[name].on_log_read(state)
        self.handle(name, decisions.LogRead(state))

    def apply_retention(self):
        """Remove the records that the last complete snapshot covers."""
        last = [record for record in self.records if record["kind"] == "snapshot"]
        if last and last[-1]["chunk"] + 1 == last[-1]["chunks"]:
            self.oldest = max(self.oldest, last[-1]["covers_offset"])

    # Servers.

    def start_server(self, name):
        process = self.process_by_name[name]
        process.life += 1
        process.paused_until = 0.0
        process.offset = self.rng.uniform(0.0, 1e6)
        self.lease_by_server[name] = self.make_lease(self.checks_fencing)

    def stop_server(self, name):
        self.process_by_name[name].life += 1
        self.lease_by_server.pop(name, None)

    def command(self, asker, server, command):
        lease = self.lease_by_server.get(server)
        reply = None
        if lease is not None:
            now = self.process_by_name[server].clock(self.time_ms)
            reply = lease.handle(command, now)
            self.check()
        event = decisions.OwnershipReplied(server, command, reply)
        self.send(server, asker, functools.partial(self.handle, asker, event))

    def owners(self, key):
        """Return the servers that would accept and commit work for a key now."""
        found = []
        for server, lease in self.lease_by_server.items():
            now = self.process_by_name[server].clock(self.time_ms)
            token = lease.token_of_key(key, now)
            if token is not None and lease.commit_refusal(key, token, now) is None:
                found.append(server)
        return found

    def check(self):
        self.checks += 1
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
        if len(holders) > 1 and not self.was_reset:
            raise OwnershipViolation(
                f"{holders} hold authority at {self.time_ms:.0f} ms"
            )

    def holds_authority(self, name):
        now = self.process_by_name[name].clock(self.time_ms)
        return self.controller_by_vm[name].authority.is_held(now)

    # Work of callers.

    def request(self, vm, key):
        """Route a request by the table of a VM; it commits some time later."""
        owner = route(self.table_by_vm.get(vm), key)
        lease = self.lease_by_server.get(owner and owner[0])
        if lease is None:
            return False
        process = self.process_by_name[owner[0]]
        if lease.start_refusal(key, owner[1], process.clock(self.time_ms)) is not None:
            return False
        lease.on_request_started(key)
        duration = self.rng.choice((2.0, 20.0, 900.0))
        commit = functools.partial(self.commit, owner, lease, key, self.time_ms)
        self.at(duration, commit, process)
        return True

    def commit(self, owner, lease, key, started_at):
        server, token = owner
        lease.on_request_finished(key)
        now = self.process_by_name[server].clock(self.time_ms)
        if lease.commit_refusal(key, token, now) is not None:
            return
        for other, at in self.commits[key]:
            if self.checks_fencing and other != server and at > started_at:
                raise OwnershipViolation(
                    f"{other} committed {key} while {server} ran it"
                )
        self.commits[key].append((server, self.time_ms))


def route(table, key):
    """Return the server and token of a key, None when the table has none."""
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
