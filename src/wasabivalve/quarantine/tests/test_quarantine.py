"""Guard against one request that crashes instance after instance."""

import heapq
import itertools
import random

import pytest

from wasabivalve import quarantine, rendezvous, routing

VMS = tuple(f"entry-{number}" for number in range(1, 10))
NEAR = routing.Locality("khomas-a", "khomas")
PLACES = {f"vanlog-{number}": NEAR for number in range(1, 9)}


def crash(record, now=0.0, instance="vanlog-1", names=("poison", "innocent")):
    return record.on_crash(instance, names, now)


def test_suspect_runs_alone_once_and_is_convicted_by_a_second_crash():
    record = quarantine.CrashTracker("entry-1")
    assert record.admit("poison", VMS[:1], 0.0).action == "run"
    crash(record)
    assert record.admit("poison", VMS[:1], 50.0).action == "wait"
    assert record.admit("poison", VMS[:1], 200.0).action == "run_alone"
    assert record.admit("poison", VMS[:1], 201.0).action == "wait"
    (notice,) = crash(record, 210.0, "vanlog-2", ["poison"])
    assert notice["quarantined"]
    assert record.is_quarantined("poison", 211.0)
    assert record.admit("poison", VMS[:1], 211.0).action == "quarantined"
    assert not record.is_quarantined("innocent", 211.0)
    assert not record.is_quarantined("poison", 600_211.0)


def test_innocent_request_is_cleared_here_and_at_peers():
    pair = VMS[:2]
    first, second = rendezvous.rank_names("innocent", pair)
    record, peer = (quarantine.CrashTracker(vm) for vm in (first, second))
    for notice in crash(record):
        peer.on_notice(first, notice, 0.0)
    assert peer.admit("innocent", pair, 120.0).action == "wait"
    admission = record.admit("innocent", pair, 120.0)
    assert admission.action == "run_alone"
    for notice in admission.notices:
        peer.on_notice(first, notice, 140.0)
    assert peer.admit("innocent", pair, 200.0).action == "wait"
    for notice in record.on_finish("innocent", 210.0):
        peer.on_notice(first, notice, 211.0)
    assert record.admit("innocent", pair, 212.0).action == "run"
    assert peer.admit("innocent", pair, 212.0).action == "run"
    assert peer.is_suspected("poison", 212.0)


def test_rerun_without_proof_lets_another_vm_rerun_at_once():
    """Innocent reads of a lost server would otherwise wait for seconds."""
    pair = VMS[:2]
    record, peer = (quarantine.CrashTracker(vm) for vm in pair)
    for notice in crash(record):
        peer.on_notice(pair[0], notice, 0.0)
    for notice in record.admit("innocent", pair, 200.0).notices:
        peer.on_notice(pair[0], notice, 220.0)
    assert peer.admit("innocent", pair, 230.0).action == "wait"
    for notice in record.abandon_rerun("innocent", 240.0):
        peer.on_notice(pair[0], notice, 260.0)
    assert peer.admit("innocent", pair, 261.0).action == "run_alone"


def test_request_in_flight_everywhere_is_not_convicted_by_chance():
    """A hot request is in flight in most crashes without being their cause."""
    record = quarantine.CrashTracker("entry-1")
    crash(record, 0.0, "vanlog-1", ["hot", "warm", "poison"])
    crash(record, 20.0, "vanlog-2", ["hot", "warm", "other"])
    assert not record.is_quarantined("hot", 200.0)
    crash(record, 300.0, "vanlog-3", ["poison", "rare"])
    assert record.is_quarantined("poison", 500.0)


def test_same_crash_reported_by_two_vms_counts_once():
    record = quarantine.CrashTracker("entry-1")
    crash(record, 0.0, "vanlog-1", ["poison"])
    other = quarantine.CrashTracker("entry-2")
    for notice in crash(other, 0.0, "vanlog-1", ["poison"]):
        record.on_notice("entry-2", notice, 30.0)
    assert not record.is_quarantined("poison", 500.0)


def test_another_vm_may_rerun_when_the_first_is_lost():
    """A suspect would otherwise be refused until its record expires."""
    records = {vm: quarantine.CrashTracker(vm) for vm in VMS[:3]}
    for notice in crash(records["entry-1"], names=["innocent"]):
        for vm in VMS[1:3]:
            records[vm].on_notice("entry-1", notice, 0.0)
    verdicts = [
        (vm, now)
        for now in range(0, 40_000, 100)
        for vm in VMS[1:3]
        if records[vm].admit("innocent", VMS[1:3], now).action == "run_alone"
    ]
    assert verdicts


def test_memory_is_bounded_and_keeps_convictions():
    record = quarantine.CrashTracker("entry-1", max_fingerprints=3)
    crash(record, 0.0, "vanlog-1", ["poison"])
    crash(record, 10.0, "vanlog-2", ["poison"])
    assert record.is_quarantined("poison", 150.0)
    for number in range(20):
        crash(record, 160.0, f"vanlog-{number}", [f"suspect-{number}"])
    assert len(record) == 3
    assert record.is_quarantined("poison", 200.0)


class Fleet:
    """Send one poison request through entry VMs to instances with slots."""

    def __init__(self, seed, vms):
        self.generator = random.Random(seed)
        self.record_by_vm = {vm: quarantine.CrashTracker(vm) for vm in vms}
        self.order = itertools.count()
        self.events = []
        self.running = {name: [] for name in PLACES}
        self.seen_by_vm = {vm: routing.InstanceStatistics() for vm in vms}
        self.down_until = dict.fromkeys(PLACES, 0.0)
        self.crashes = 0

    def at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def run(self):
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        return self.crashes

    def send(self, now, vm, name, attempts=6, excluded=()):
        admission = self.record_by_vm[vm].admit(name, list(self.record_by_vm), now)
        self.spread(now, vm, admission.notices)
        if admission.action == "wait" and attempts:
            self.at(now + 400.0, self.send, vm, name, attempts - 1)
        if admission.action not in ("run", "run_alone"):
            return
        instance = routing.choose_instance(
            NEAR,
            PLACES,
            self.seen_by_vm[vm],
            self.generator,
            now,
            excluded=excluded,
            affinity=name,
        )
        if instance is not None and self.down_until[instance] > now:
            # The connection is refused, so another instance is tried after a backoff.
            self.spread(now, vm, self.record_by_vm[vm].abandon_rerun(name, now))
            excluded = (*excluded, instance)
            self.at(now + 1.5 + 10.0, self.send, vm, name, attempts, excluded)
            return
        work = (vm, name)
        self.running[instance].append(work)
        self.at(now + 5.0, self.end, instance, work)

    def end(self, now, instance, work):
        if work not in self.running[instance]:
            return
        vm, name = work
        if name != "poison":
            self.running[instance].remove(work)
            self.spread(now, vm, self.record_by_vm[vm].on_finish(name, now))
            return
        self.crashes += 1
        self.down_until[instance] = now + 2_000.0
        names_by_vm = {}
        for other, lost in self.running[instance]:
            names_by_vm.setdefault(other, []).append(lost)
        self.running[instance].clear()
        for other, names in names_by_vm.items():
            notices = self.record_by_vm[other].on_crash(instance, names, now)
            self.spread(now, other, notices)

    def spread(self, now, sender, notices):
        for vm in self.record_by_vm:
            if vm != sender:
                delay = self.generator.choice([1.5, 20.0])
                self.at(now + delay, self.learn, vm, sender, notices)

    def learn(self, now, vm, sender, notices):
        for notice in notices:
            self.record_by_vm[vm].on_notice(sender, notice, now)


@pytest.mark.parametrize("vms", [VMS[:1], VMS])
@pytest.mark.parametrize("spacing_ms", [40.0, 500.0])
@pytest.mark.parametrize("seed", range(10))
def test_fifty_sends_of_a_poison_request_crash_two_instances_at_most(
    vms, spacing_ms, seed
):
    fleet = Fleet(seed, vms)
    for number in range(50):
        time = number * spacing_ms
        fleet.at(time, fleet.send, fleet.generator.choice(vms), "poison")
        fleet.at(time, fleet.send, fleet.generator.choice(vms), f"other-{number % 7}")
    assert fleet.run() == 2
    quarantined = {
        name
        for record in fleet.record_by_vm.values()
        for name in ("poison", *(f"other-{number}" for number in range(7)))
        if record.is_quarantined(name, 30_000.0)
    }
    assert quarantined == {"poison"}


@pytest.mark.parametrize("senders", [2, 3, 9])
@pytest.mark.parametrize("spacing_ms", [0.0, 5.0])
@pytest.mark.parametrize("seed", range(5))
def test_sends_at_once_through_several_vms_crash_two_instances_at_most(
    senders, spacing_ms, seed
):
    """Guard against a rerun per VM after crashes that VMs saw at the same time."""
    fleet = Fleet(seed, VMS)
    for number in range(50):
        time = number // senders * spacing_ms
        fleet.at(time, fleet.send, VMS[number % senders], "poison")
    assert fleet.run() <= 2
