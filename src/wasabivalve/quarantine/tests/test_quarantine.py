"""Test that one request cannot crash instance after instance."""

import heapq
import itertools
import random

import pytest

from wasabivalve import quarantine, rendezvous, routing

VMS = tuple(f"entry-{number}" for number in range(1, 10))
LOCALITY = routing.Locality("khomas-a", "khomas")
LOCALITY_BY_INSTANCE = {f"vanlog-{number}": LOCALITY for number in range(1, 9)}


def report_crash(
    tracker, now=0.0, instance="vanlog-1", fingerprints=("poison", "innocent")
):
    return tracker.on_crash(instance, fingerprints, now)


def test_suspect_runs_alone_once_and_is_quarantined_by_a_second_crash():
    tracker = quarantine.CrashTracker("entry-1")
    assert tracker.admit("poison", VMS[:1], 0.0).action == "run"
    report_crash(tracker)
    assert tracker.admit("poison", VMS[:1], 50.0).action == "wait"
    assert tracker.admit("poison", VMS[:1], 200.0).action == "run_alone"
    assert tracker.admit("poison", VMS[:1], 201.0).action == "wait"
    (notice,) = report_crash(tracker, 210.0, "vanlog-2", ["poison"])
    assert notice["quarantined"]
    assert tracker.is_quarantined("poison", 211.0)
    assert tracker.admit("poison", VMS[:1], 211.0).action == "quarantined"
    assert not tracker.is_quarantined("innocent", 211.0)
    assert not tracker.is_quarantined("poison", 600_211.0)


def test_harmless_request_is_cleared_locally_and_at_peers():
    two_vms = VMS[:2]
    first, second = rendezvous.rank_names("innocent", two_vms)
    tracker, peer_tracker = (quarantine.CrashTracker(vm) for vm in (first, second))
    for notice in report_crash(tracker):
        peer_tracker.on_notice(first, notice, 0.0)
    assert peer_tracker.admit("innocent", two_vms, 120.0).action == "wait"
    decision = tracker.admit("innocent", two_vms, 120.0)
    assert decision.action == "run_alone"
    for notice in decision.notices:
        peer_tracker.on_notice(first, notice, 140.0)
    assert peer_tracker.admit("innocent", two_vms, 200.0).action == "wait"
    for notice in tracker.on_finish("innocent", 210.0):
        peer_tracker.on_notice(first, notice, 211.0)
    assert tracker.admit("innocent", two_vms, 212.0).action == "run"
    assert peer_tracker.admit("innocent", two_vms, 212.0).action == "run"
    assert peer_tracker.is_suspected("poison", 212.0)


def test_rerun_without_a_result_lets_another_vm_rerun_immediately():
    """Harmless reads in flight at a failed server would otherwise wait for seconds."""
    two_vms = VMS[:2]
    tracker, peer_tracker = (quarantine.CrashTracker(vm) for vm in two_vms)
    for notice in report_crash(tracker):
        peer_tracker.on_notice(two_vms[0], notice, 0.0)
    for notice in tracker.admit("innocent", two_vms, 200.0).notices:
        peer_tracker.on_notice(two_vms[0], notice, 220.0)
    assert peer_tracker.admit("innocent", two_vms, 230.0).action == "wait"
    for notice in tracker.abandon_rerun("innocent", 240.0):
        peer_tracker.on_notice(two_vms[0], notice, 260.0)
    assert peer_tracker.admit("innocent", two_vms, 261.0).action == "run_alone"


def test_request_in_flight_everywhere_is_not_quarantined_by_chance():
    """A frequent request is in flight in most crashes without being their cause."""
    tracker = quarantine.CrashTracker("entry-1")
    report_crash(tracker, 0.0, "vanlog-1", ["hot", "warm", "poison"])
    report_crash(tracker, 20.0, "vanlog-2", ["hot", "warm", "other"])
    assert not tracker.is_quarantined("hot", 200.0)
    report_crash(tracker, 300.0, "vanlog-3", ["poison", "rare"])
    assert tracker.is_quarantined("poison", 500.0)


def test_same_crash_reported_by_two_vms_counts_once():
    tracker = quarantine.CrashTracker("entry-1")
    report_crash(tracker, 0.0, "vanlog-1", ["poison"])
    other_tracker = quarantine.CrashTracker("entry-2")
    for notice in report_crash(other_tracker, 0.0, "vanlog-1", ["poison"]):
        tracker.on_notice("entry-2", notice, 30.0)
    assert not tracker.is_quarantined("poison", 500.0)


def test_another_vm_may_rerun_when_the_first_one_fails():
    """A suspect would otherwise be refused until its entry expires."""
    tracker_by_vm = {vm: quarantine.CrashTracker(vm) for vm in VMS[:3]}
    for notice in report_crash(tracker_by_vm["entry-1"], fingerprints=["innocent"]):
        for vm in VMS[1:3]:
            tracker_by_vm[vm].on_notice("entry-1", notice, 0.0)
    reruns = [
        (vm, now)
        for now in range(0, 40_000, 100)
        for vm in VMS[1:3]
        if tracker_by_vm[vm].admit("innocent", VMS[1:3], now).action == "run_alone"
    ]
    assert reruns


def test_memory_is_bounded_and_keeps_quarantined_fingerprints():
    tracker = quarantine.CrashTracker("entry-1", max_fingerprints=3)
    report_crash(tracker, 0.0, "vanlog-1", ["poison"])
    report_crash(tracker, 10.0, "vanlog-2", ["poison"])
    assert tracker.is_quarantined("poison", 150.0)
    for number in range(20):
        report_crash(tracker, 160.0, f"vanlog-{number}", [f"suspect-{number}"])
    assert len(tracker) == 3
    assert tracker.is_quarantined("poison", 200.0)


class FleetSimulation:
    """Simulate entry VMs with one poison request, which crashes each instance."""

    def __init__(self, seed, vms):
        self.generator = random.Random(seed)
        self.tracker_by_vm = {vm: quarantine.CrashTracker(vm) for vm in vms}
        self.event_numbers = itertools.count()
        self.event_queue = []
        self.running_by_instance = {instance: [] for instance in LOCALITY_BY_INSTANCE}
        self.statistics_by_vm = {vm: routing.InstanceStatistics() for vm in vms}
        self.down_until_by_instance = dict.fromkeys(LOCALITY_BY_INSTANCE, 0.0)
        self.crash_count = 0

    def schedule(self, time, action, *arguments):
        heapq.heappush(
            self.event_queue, (time, next(self.event_numbers), action, arguments)
        )

    def run(self):
        while self.event_queue:
            now, _, action, arguments = heapq.heappop(self.event_queue)
            action(now, *arguments)
        return self.crash_count

    def send_request(self, now, vm, fingerprint, attempts_left=6, excluded=()):
        decision = self.tracker_by_vm[vm].admit(
            fingerprint, list(self.tracker_by_vm), now
        )
        self.broadcast(now, vm, decision.notices)
        if decision.action == "wait" and attempts_left:
            self.schedule(
                now + 400.0, self.send_request, vm, fingerprint, attempts_left - 1
            )
        if decision.action not in ("run", "run_alone"):
            return
        instance = routing.choose_instance(
            LOCALITY,
            LOCALITY_BY_INSTANCE,
            self.statistics_by_vm[vm],
            self.generator,
            now,
            excluded=excluded,
            affinity=fingerprint,
        )
        if instance is not None and self.down_until_by_instance[instance] > now:
            # The connection is refused: retry at another instance after a delay.
            self.broadcast(
                now, vm, self.tracker_by_vm[vm].abandon_rerun(fingerprint, now)
            )
            excluded = (*excluded, instance)
            self.schedule(
                now + 1.5 + 10.0,
                self.send_request,
                vm,
                fingerprint,
                attempts_left,
                excluded,
            )
            return
        request = (vm, fingerprint)
        self.running_by_instance[instance].append(request)
        self.schedule(now + 5.0, self.end_request, instance, request)

    def end_request(self, now, instance, request):
        if request not in self.running_by_instance[instance]:
            return
        vm, fingerprint = request
        if fingerprint != "poison":
            self.running_by_instance[instance].remove(request)
            self.broadcast(now, vm, self.tracker_by_vm[vm].on_finish(fingerprint, now))
            return
        self.crash_count += 1
        self.down_until_by_instance[instance] = now + 2_000.0
        fingerprints_by_vm = {}
        for other_vm, failed_fingerprint in self.running_by_instance[instance]:
            fingerprints_by_vm.setdefault(other_vm, []).append(failed_fingerprint)
        self.running_by_instance[instance].clear()
        for other_vm, fingerprints in fingerprints_by_vm.items():
            notices = self.tracker_by_vm[other_vm].on_crash(instance, fingerprints, now)
            self.broadcast(now, other_vm, notices)

    def broadcast(self, now, sender, notices):
        for vm in self.tracker_by_vm:
            if vm != sender:
                delay = self.generator.choice([1.5, 20.0])
                self.schedule(now + delay, self.deliver_notices, vm, sender, notices)

    def deliver_notices(self, now, vm, sender, notices):
        for notice in notices:
            self.tracker_by_vm[vm].on_notice(sender, notice, now)


@pytest.mark.parametrize("vms", [VMS[:1], VMS])
@pytest.mark.parametrize("spacing_ms", [40.0, 500.0])
@pytest.mark.parametrize("seed", range(10))
def test_fifty_sends_of_a_poison_request_crash_two_instances_at_most(
    vms, spacing_ms, seed
):
    simulation = FleetSimulation(seed, vms)
    for number in range(50):
        time = number * spacing_ms
        simulation.schedule(
            time, simulation.send_request, simulation.generator.choice(vms), "poison"
        )
        simulation.schedule(
            time,
            simulation.send_request,
            simulation.generator.choice(vms),
            f"other-{number % 7}",
        )
    assert simulation.run() == 2
    quarantined = {
        fingerprint
        for tracker in simulation.tracker_by_vm.values()
        for fingerprint in ("poison", *(f"other-{number}" for number in range(7)))
        if tracker.is_quarantined(fingerprint, 30_000.0)
    }
    assert quarantined == {"poison"}


@pytest.mark.parametrize("senders", [2, 3, 9])
@pytest.mark.parametrize("spacing_ms", [0.0, 5.0])
@pytest.mark.parametrize("seed", range(5))
def test_sends_at_once_through_several_vms_crash_two_instances_at_most(
    senders, spacing_ms, seed
):
    """VMs that detect crashes at the same time must not each start a rerun."""
    simulation = FleetSimulation(seed, VMS)
    for number in range(50):
        time = number // senders * spacing_ms
        simulation.schedule(
            time, simulation.send_request, VMS[number % senders], "poison"
        )
    assert simulation.run() <= 2
