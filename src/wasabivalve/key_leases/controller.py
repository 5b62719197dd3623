"""Grant leases of key ranges to instances, renew them and rebalance the ranges.

The order of all steps ensures that each key has at most one holder: a range is written
to the assignment log before it is granted, and it is assigned to another holder only
after the current one has released it or its lease has certainly expired.
"""

import asyncio
import functools
import math
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from typing import Any

from wasabivalve import events, supervision
from wasabivalve.placement import core as placement

from . import (
    admission_shares,
    assignment_log,
    core,
    held_grants,
    leases,
    moves,
    planning,
    succession,
)

LOST_AFTER_MS = 900.0
"""Time of failing renewals after which an instance counts as lost."""

MAX_UNANSWERED_GRANTS = 6
"""Consecutive unanswered grants after which no more are sent to an instance."""

LOST_PROBE_INTERVAL_MS = 4_000.0
"""Interval of probing whether a lost instance answers again.

Until it does it gets no keys, unless no other instance is left.
"""

TICK_INTERVAL_MS = 100.0
"""Interval of checking for due work; a small fraction of the renewal interval."""

SHARES_INTERVAL_MS = 300.0
"""Interval of broadcasting admission shares; VMs report their loads as often.

A holder queues only a few requests; what many VMs send beyond that is not answered.
"""

BALANCE_INTERVAL_MS = 600.0
"""Interval of rebalancing; the load of a range takes about as long to be measured."""


class KeyLeaseController:
    """Control the keys of all partitioned services while this VM is the controller."""

    def __init__(
        self,
        vm: str,
        max_lease_duration_ms: float,
        calls: leases.RemoteCalls,
        dependencies: leases.ControllerDependencies,
    ) -> None:
        self._vm = vm
        self._lease_duration_ms = min(leases.LEASE_DURATION_MS, max_lease_duration_ms)
        self._calls = calls
        self._dependencies = dependencies
        # ``_is_elected``: the registry names this VM. ``_is_active``: it may act, with
        # a claimed term also after another VM was elected, until that one claims its
        # term or the authority of this VM times out.
        self._is_active = False
        self._is_elected = False
        self._elected_at_ms = 0.0
        self._confirmed_at_ms = 0.0
        self._writer = assignment_log.AssignmentLogWriter(
            vm,
            calls,
            dependencies.on_assignment_map,
            dependencies.known_map,
            dependencies.known_vms,
        )
        self._table = leases.LeaseTable()
        self._moves = moves.RangeMoves(
            self._table,
            self._writer,
            calls,
            dependencies,
            moves.MoveActions(
                self._has_authority,
                functools.partial(self._send_grant, is_fencing=True),
                self._renew_leases,
                self._write_ranges,
                self._list_candidates,
            ),
        )
        self._known_instance_ids: tuple[str, ...] = ()
        self._instances_stable_since_ms = 0.0
        self._balanced_at_ms = 0.0
        self._claimed_at_ms = 0.0
        self._predecessor_leases = succession.PredecessorLeases()
        self._held_grants = held_grants.HeldGrants()
        self._era_noticed_at_ms = -math.inf
        self._claim_again_due_ms = 0.0
        self._ended_leases: list[leases.RangeLease] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._pending_calls: set[asyncio.Task[None]] = set()
        self._probe_due_ms_by_incarnation: dict[tuple[str, int], float] = {}

    @property
    def _term(self) -> int | None:
        return self._writer.term

    @property
    def is_controller(self) -> bool:
        """Return whether this VM is active as controller and has claimed its term."""
        return self._is_active and self._term is not None

    def start(self) -> None:
        """Start the periodic tasks."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._run_periodically(self._renew_leases)),
            loop.create_task(self._run_periodically(self._manage_ranges)),
            loop.create_task(
                self._run_periodically(self._broadcast_shares, SHARES_INTERVAL_MS)
            ),
        ]

    def close(self) -> None:
        """Cancel all tasks."""
        for task in [*self._tasks, *self._pending_calls]:
            task.cancel()

    def on_elected(self, confirmed_at_ms: float) -> None:
        """Record that the registry elected this VM as controller.

        ``confirmed_at_ms`` is when the call to the registry was sent. An election in a
        later era of the store says nothing about a term that it may have lost, so it
        confirms only the next one.
        """
        if not self._is_active:
            events.emit(310, vm=self._vm)
        self._is_active = self._is_elected = True
        self._elected_at_ms = max(self._elected_at_ms, confirmed_at_ms)
        if self._term is None or self._writer.is_current:
            self._confirmed_at_ms = self._elected_at_ms

    def on_other_elected(self) -> None:
        """Record that the registry elected another VM as controller.

        This VM stays active until the other one has claimed its term in the assignment
        log: keys must not be without a controller in between, and the log accepts the
        writes of only one.
        """
        self._is_elected = False
        if self._term is None:
            self._is_active = False

    def step_down(self, reason: str) -> None:
        """Stop all grants and writes, as another VM is or may be the controller."""
        if self._is_active:
            events.emit(311, vm=self._vm, term=self._term, reason=reason)
        if self._term is not None:
            self._ended_leases = self._table.leases
        self._is_active = False
        self._writer.term = None
        self._table.leases = []
        self._held_grants.stop()

    def on_new_era(self) -> None:
        """Record that the store was restored from a copy and may lack this term.

        The holders are asked at once whether they still accept it.
        """
        now_ms = self._calls.now_ms()
        self._era_noticed_at_ms = now_ms
        self._claim_again_due_ms = now_ms
        for lease in self._table.leases:
            lease.renewal_due_ms = 0.0

    def on_recorded_map(self, assignment_map: core.AssignmentMap) -> None:
        """Handle a map read from the assignment log; step down if its term is later."""
        if self._term is not None and assignment_map.term > self._term:
            self.step_down("another controller claimed a later term")

    def yield_to(self, term: int) -> bool:
        """Stop granting in terms before this one; return whether that is achieved.

        It is not if this VM has this or a later term, nor while grants are in flight,
        which end within a second.
        """
        if not self._writer.yield_to(term):
            return False
        if self._term is not None:
            self.step_down("another controller claimed a later term")
        return not any(lease.pending_grants for lease in self._ended_leases)

    def remaining_lease_ms_by_instance(self) -> dict[str, float]:
        """Return how long leases of this VM's last term last at failing instances."""
        return succession.remaining_lease_ms_by_instance(
            self._ended_leases, self._calls.now_ms()
        )

    def on_yielded(
        self, vm: str, term: int, remaining_lease_ms_by_instance: Mapping[str, float]
    ) -> None:
        """Record that a VM that was the controller before grants nothing any more."""
        predecessors = self._writer.predecessors
        if self._term != term or vm not in predecessors:
            return
        predecessors.discard(vm)
        events.emit(305, term=term, predecessor=vm, left=len(predecessors))
        self._predecessor_leases.on_yielded(
            remaining_lease_ms_by_instance,
            self._calls.now_ms(),
            self._max_grant_lifetime_ms(),
        )
        if predecessors - {core.UNKNOWN_VM}:
            return
        if predecessors:
            self._on_listed_yielded()
            return
        for lease in self._table.leases:
            if not lease.confirmed:
                expiry_ms = self._predecessor_leases.expiry_ms(lease.range.instance)
                lease.granted_expiry_ms = min(lease.granted_expiry_ms, expiry_ms)

    async def _run_periodically(
        self, step: Callable[[], Awaitable[None]], interval_ms: float = TICK_INTERVAL_MS
    ) -> None:
        while True:
            try:
                await step()
            except Exception as error:
                # One failed round must not end the control of all keys.
                supervision.log_error("key controller", error)
            await asyncio.sleep(interval_ms / 1000.0)

    def _has_authority(self) -> bool:
        if not self._is_active or self._term is None:
            return False
        if self._calls.now_ms() < self._confirmed_at_ms + self._authority_timeout_ms():
            return True
        self.step_down("the store has not confirmed the leader for too long")
        return False

    def _authority_timeout_ms(self) -> float:
        """Return how long the last confirmation counts.

        It is less if the store had listed this VM for so short a time then that a copy
        may lack it.
        """
        listed_since_ms = self._dependencies.listed_since_ms()
        if self._confirmed_at_ms >= listed_since_ms + leases.COPY_AGE_LIMIT_MS:
            return leases.AUTHORITY_TIMEOUT_MS
        return self._unlisted_authority_timeout_ms()

    def _unlisted_authority_timeout_ms(self) -> float:
        """Return for how long a VM that the store may have forgotten goes on."""
        if self._calls.era_seen_at_ms() is None:
            return leases.AUTHORITY_TIMEOUT_MS
        return leases.UNLISTED_AUTHORITY_TIMEOUT_MS

    # Terms and the assignment log.

    async def _claim_term(self) -> None:
        if self._calls.now_ms() < (
            self._era_noticed_at_ms + held_grants.CONTINUATION_WAIT_MS
        ):
            return
        if await self._writer.claim_term(lambda: self._is_active):
            self._start_term([])

    async def _claim_again(self) -> None:
        """Claim a later term in the store's new era, in place of the lost one."""
        now_ms = self._calls.now_ms()
        proven_leases = [
            lease
            for lease in self._table.leases
            if held_grants.is_proven(
                lease, self._era_noticed_at_ms, self._lease_duration_ms
            )
        ]
        # Without ranges, a lost first plan of another VM may have given out the keys.
        ranges_by_service = self._writer.assignment_map.ranges_by_service
        are_proven = len(proven_leases) == len(self._table.leases) and all(
            ranges_by_service.get(service)
            for service in self._dependencies.partitioned_services()
        )
        proof_due_ms = self._era_noticed_at_ms + held_grants.PROOF_TIMEOUT_MS
        if now_ms < self._claim_again_due_ms or (
            not are_proven and now_ms < proof_due_ms
        ):
            return
        self._claim_again_due_ms = now_ms + held_grants.CLAIM_RETRY_MS
        result = await self._writer.claim_again(are_proven, self._has_authority)
        if result == "superseded":
            self.step_down("another controller claimed a later term")
        elif result == "written":
            self._start_term(proven_leases)

    def _start_term(self, proven_leases: list[leases.RangeLease]) -> None:
        """Start the leases of a claimed term.

        While the holders of keys are not known for certain, only those are granted that
        accepted the earlier term of this VM.
        """
        now_ms = self._calls.now_ms()
        self._claimed_at_ms = now_ms
        self._confirmed_at_ms = self._elected_at_ms
        self._predecessor_leases.start_term()
        max_remaining_ms = self._max_grant_lifetime_ms()
        if self._writer.predecessors:
            max_remaining_ms += leases.AUTHORITY_TIMEOUT_MS
        token = self._writer.next_token()
        self._table.leases = [
            leases.RangeLease(service, assignment, token, now_ms + max_remaining_ms)
            for service, ranges in self._writer.assignment_map.ranges_by_service.items()
            for assignment in ranges
        ]
        events.emit(304, term=self._term, ranges=len(self._table.leases))
        self._held_grants.stop()
        if self._writer.holders_are_known:
            return
        for lease in self._table.leases:
            lease.held = not held_grants.is_range_proven(lease, proven_leases)
        self._held_grants.start(
            now_ms + leases.AUTHORITY_TIMEOUT_MS + self._max_grant_lifetime_ms()
        )
        held_count = sum(lease.held for lease in self._table.leases)
        listed = self._writer.predecessors - {core.UNKNOWN_VM}
        events.emit(306, term=self._term, held=held_count, asked=len(listed))
        if not listed:
            self._on_listed_yielded()

    def _on_listed_yielded(self) -> None:
        """Wait only for VMs that the store may have forgotten, and for leases.

        Those can't be asked to yield, so that their authority has to expire. All of
        them were confirmed before the store came back.
        """
        confirmed_at_ms = self._calls.era_seen_at_ms()
        if confirmed_at_ms is None:
            confirmed_at_ms = self._claimed_at_ms
        authority_end_ms = confirmed_at_ms + self._unlisted_authority_timeout_ms()
        until_ms = (
            max(self._calls.now_ms(), authority_end_ms) + self._max_grant_lifetime_ms()
        )
        self._held_grants.on_listed_yielded(until_ms)
        events.emit(
            308, term=self._term, left_ms=round(until_ms - self._calls.now_ms())
        )

    async def _end_held_grants(self) -> None:
        """Grant what was held, and record that the holders are known again."""
        self._held_grants.stop()
        self._writer.predecessors.discard(core.UNKNOWN_VM)
        for lease in self._table.leases:
            if lease.held:
                lease.held, lease.granted_expiry_ms = False, self._calls.now_ms()
        events.emit(307, term=self._term)
        await self._renew_leases()
        await self._write_ranges({}, leases.CALL_TIMEOUT_MS)

    async def _write_ranges(
        self,
        ranges_by_service: Mapping[str, list[core.RangeAssignment]],
        timeout_ms: float = math.inf,
    ) -> assignment_log.WriteResult:
        result = await self._writer.write_ranges(
            ranges_by_service, self._has_authority, timeout_ms
        )
        if result == "superseded":
            self.step_down("another controller wrote to the assignment log")
        return result

    def _max_grant_lifetime_ms(self) -> float:
        return (
            self._lease_duration_ms * leases.CLOCK_MARGIN_FACTOR
            + leases.MAX_ARRIVAL_DELAY_MS
        )

    # Renewals.

    async def _renew_leases(self) -> None:
        if not self._has_authority():
            return
        now_ms = self._calls.now_ms()
        for lease in self._table.leases:
            if lease.renewals_stopped or lease.held or now_ms < lease.renewal_due_ms:
                continue
            instance = self._dependencies.find_instance(lease.range.instance)
            if instance is None or instance.born != lease.range.born:
                continue
            lease.renewal_due_ms = now_ms + leases.RENEWAL_INTERVAL_MS
            lease.last_known_instance = instance
            self._start_call(self._send_grant(lease, instance), lease.pending_grants)

    def _start_call(
        self,
        call: Coroutine[Any, Any, None],
        pending_grants: set[asyncio.Task[None]] | None = None,
    ) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self._pending_calls.add(task)
        task.add_done_callback(self._on_call_done)
        if pending_grants is not None:
            pending_grants.add(task)
            task.add_done_callback(pending_grants.discard)

    def _on_call_done(self, task: asyncio.Task[None]) -> None:
        self._pending_calls.discard(task)
        supervision.log_task_error("key controller: call to an instance", task)

    async def _send_grant(
        self,
        lease: leases.RangeLease,
        instance: placement.RegisteredInstance,
        is_fencing: bool = False,
    ) -> None:
        term = self._term
        sent_at_ms = self._calls.now_ms()
        previous_unanswered_expiry_ms = lease.unanswered_expiry_ms
        lease.unanswered_expiry_ms = sent_at_ms + self._max_grant_lifetime_ms()
        if not is_fencing:
            lease.unproved_expiry_ms = lease.unanswered_expiry_ms
        result = await self._calls.grant(
            instance,
            lease.range.first,
            lease.range.last,
            lease.token,
            self._lease_duration_ms / 1000.0,
            lease.handover,
            leases.CALL_TIMEOUT_MS,
            is_fencing,
        )
        if result == "granted":
            # From now on the instance refuses grants of earlier terms.
            lease.granted_expiry_ms = (
                self._calls.now_ms()
                + self._lease_duration_ms * leases.CLOCK_MARGIN_FACTOR
            )
        if result != "no_answer":
            lease.unanswered_expiry_ms = previous_unanswered_expiry_ms
        if self._term != term:
            return
        if result == "granted":
            lease.earliest_expiry_ms = (
                sent_at_ms + self._lease_duration_ms / leases.CLOCK_MARGIN_FACTOR
            )
            lease.confirmed = True
            lease.failing_since_ms = None
            lease.consecutive_unanswered = 0
            if lease.announced_moving:
                lease.announced_moving = False
                self._probe_due_ms_by_incarnation.pop(
                    (instance.id, instance.born), None
                )
                self._dependencies.on_ranges_confirmed(
                    self._writer.assignment_map.term,
                    leases.NO_WRITE_NUMBER,
                    lease.service,
                    [lease.range],
                )
            lease.handover = None
            return
        events.emit(
            313,
            instance=instance.id,
            first=lease.range.first,
            last=lease.range.last,
            token=lease.token,
            result=result,
        )
        if result == "gone":
            lease.renewals_stopped = lease.reassignable = True
            incarnation = (instance.id, instance.born)
            self._probe_due_ms_by_incarnation[incarnation] = (
                self._calls.now_ms() + LOST_PROBE_INTERVAL_MS
            )
            return
        if result == "refused":
            # Another controller used a higher token.
            self.step_down("an instance has seen a higher token")
            return
        if result in ("not_sent", "rejected"):
            lease.consecutive_unanswered = 0
        else:
            lease.consecutive_unanswered += 1
        if lease.failing_since_ms is None:
            lease.failing_since_ms = sent_at_ms
        lease.renewal_due_ms = min(
            lease.renewal_due_ms,
            self._calls.now_ms() + leases.RENEWAL_INTERVAL_MS / 4.0,
        )

    # Moves.

    async def _manage_ranges(self) -> None:
        if not self._is_active:
            return
        if self._term is None:
            if self._is_elected:
                await self._claim_term()
            return
        if not self._has_authority():
            return
        if not self._writer.is_current:
            await self._claim_again()
            return
        if self._held_grants.is_over(self._calls.now_ms()):
            await self._end_held_grants()
        self._request_yields(self._term)
        self._track_instances()
        self._probe_lost_instances()
        for service in self._dependencies.partitioned_services():
            if not self._has_authority():
                return
            if not self._writer.assignment_map.ranges_by_service.get(service):
                await self._assign_initial(service)
            else:
                await self._reassign_lost(service)
        now_ms = self._calls.now_ms()
        if self._is_elected and now_ms >= self._balanced_at_ms + BALANCE_INTERVAL_MS:
            self._balanced_at_ms = now_ms
            for service in self._dependencies.partitioned_services():
                await self._moves.balance_load(service)

    def _request_yields(self, term: int) -> None:
        if self._calls.now_ms() >= self._claimed_at_ms + leases.AUTHORITY_TIMEOUT_MS:
            # The registry has not confirmed any predecessor since the claim, so the
            # authority of all of them has expired.
            self._writer.predecessors &= {core.UNKNOWN_VM}
        for vm in self._writer.predecessors:
            self._dependencies.request_yield(vm, term)

    def _track_instances(self) -> None:
        instance_ids = tuple(
            sorted(
                instance.id
                for service in self._dependencies.partitioned_services()
                for instance in self._dependencies.list_instances(service)
            )
        )
        if instance_ids != self._known_instance_ids:
            self._known_instance_ids = instance_ids
            self._instances_stable_since_ms = self._calls.now_ms()

    def _probe_lost_instances(self) -> None:
        """Check whether lost instances answer before they get keys again."""
        now_ms = self._calls.now_ms()
        holders = {lease.range.instance for lease in self._table.leases}
        for incarnation, due_ms in list(self._probe_due_ms_by_incarnation.items()):
            instance = self._dependencies.find_instance(incarnation[0])
            if instance is None or instance.born != incarnation[1]:
                del self._probe_due_ms_by_incarnation[incarnation]
            elif now_ms >= due_ms and incarnation[0] not in holders:
                self._probe_due_ms_by_incarnation[incarnation] = (
                    now_ms + LOST_PROBE_INTERVAL_MS
                )
                self._start_call(self._probe_instance(instance))

    async def _probe_instance(self, instance: placement.RegisteredInstance) -> None:
        term = self._term
        # The instance has no keys to release, and a release is never refused.
        result = await self._calls.release(
            instance, 0, 0, self._writer.next_token(), leases.CALL_TIMEOUT_MS
        )
        if result is not None and not result.ended and self._term == term:
            self._probe_due_ms_by_incarnation.pop((instance.id, instance.born), None)

    def _list_candidates(self, service: str) -> list[planning.CandidateInstance]:
        failing_ids = {
            lease.range.instance
            for lease in self._table.leases
            if lease.failing_since_ms is not None
        }
        failing_ids |= {
            incarnation[0] for incarnation in self._probe_due_ms_by_incarnation
        }
        instances = [
            instance
            for instance in self._dependencies.list_instances(service)
            if not instance.draining
        ]
        # A controller that reaches no instance may itself be cut off from the network.
        usable_instances = [
            instance for instance in instances if instance.id not in failing_ids
        ] or instances
        return [
            planning.CandidateInstance(
                instance.id,
                instance.born,
                self._dependencies.capacity_per_s(instance),
                self._dependencies.is_warming(instance),
            )
            for instance in usable_instances
        ]

    async def _assign_initial(self, service: str) -> None:
        candidates = self._list_candidates(service)
        if (
            not candidates
            or self._held_grants.is_ongoing
            or self._calls.now_ms()
            < self._instances_stable_since_ms
            + planning.first_plan_delay_ms(len(candidates))
        ):
            return
        loads = self._dependencies.service_loads(service).smooth
        ranges = planning.plan_initial_assignment(service, candidates, loads)
        if await self._write_ranges({service: list(ranges)}) != "written":
            return
        events.emit(302, service=service, ranges=len(ranges), reason="first plan")
        for assignment in ranges:
            self._table.leases.append(
                leases.RangeLease(service, assignment, self._writer.next_token(), 0.0)
            )
        await self._renew_leases()

    async def _reassign_lost(self, service: str) -> None:
        now_ms = self._calls.now_ms()
        releases = []
        for lease in self._table.of_service(service):
            instance = self._dependencies.find_instance(lease.range.instance)
            if lease.reassignable or lease.held:
                continue
            if lease.renewals_stopped:
                lease.reassignable = now_ms >= lease.latest_expiry_ms
            elif instance is not None and instance.born != lease.range.born:
                # The new incarnation may have been granted keys before it registered.
                lease.renewals_stopped = True
                self._moves.announce_moving(lease, moves.PLANNED_MOVE_PAUSE_MS)
                releases.append(self._moves.release_range(lease, instance))
            elif instance is None or instance.draining:
                lease.renewals_stopped = True
                known_instance = instance or lease.last_known_instance
                if known_instance is not None:
                    self._moves.announce_moving(lease, moves.PLANNED_MOVE_PAUSE_MS)
                    releases.append(self._moves.release_range(lease, known_instance))
                else:
                    # The instance left before this term, so its address is unknown and
                    # the range can only be reassigned once the lease has expired.
                    self._moves.announce_moving(lease, lease.latest_expiry_ms - now_ms)
            elif (
                lease.failing_since_ms is not None
                and now_ms >= lease.failing_since_ms + LOST_AFTER_MS
            ):
                self._handle_failing(lease, instance)
        if releases:
            # A slow release must not delay the others.
            for release in releases:
                self._start_call(release)
            return
        reassignable = [
            lease for lease in self._table.of_service(service) if lease.reassignable
        ]
        if not reassignable:
            return
        loads = self._dependencies.service_loads(service).smooth
        kept_ranges = [
            lease.range
            for lease in self._table.of_service(service)
            if not lease.reassignable
        ]
        lost_ranges = [lease.range for lease in reassignable]
        planned_moves = planning.plan_reassignment(
            service, lost_ranges, kept_ranges, self._list_candidates(service), loads
        )
        if planned_moves:
            await self._moves.transfer_ranges(
                service, reassignable, planned_moves, "holder is gone"
            )

    def _handle_failing(
        self, lease: leases.RangeLease, instance: placement.RegisteredInstance
    ) -> None:
        """Make the range of a silent holder reassignable once its lease has expired."""
        now_ms = self._calls.now_ms()
        # A holder whose answers are lost may still receive grants and serve requests.
        may_be_serving = (
            lease.consecutive_unanswered > 0 and now_ms < lease.earliest_expiry_ms
        )
        if not lease.announced_moving and not may_be_serving:
            events.emit(303, instance=instance.id, first=lease.range.first)
            lease.announced_moving = True
            self._moves.announce_moving(lease, lease.latest_expiry_ms - now_ms)
            incarnation = (instance.id, instance.born)
            self._probe_due_ms_by_incarnation[incarnation] = (
                now_ms + LOST_PROBE_INTERVAL_MS
            )
        if lease.consecutive_unanswered >= MAX_UNANSWERED_GRANTS:
            # Each further grant may arrive and would extend the lease.
            lease.renewals_stopped = True
        elif now_ms >= lease.latest_expiry_ms and not lease.pending_grants:
            lease.renewals_stopped = lease.reassignable = True

    async def _broadcast_shares(self) -> None:
        """Broadcast the shares of requests that overloaded holders can serve.

        This runs independently of moves, as a holder is most overloaded while its keys
        move.
        """
        if not self._has_authority():
            return
        share_by_instance: dict[str, float] = {}
        share_by_key_by_service: dict[str, dict[int, float]] = {}
        for service in self._dependencies.partitioned_services():
            shares = admission_shares.find_admission_shares(
                [lease.range for lease in self._table.of_service(service)],
                self._list_candidates(service),
                self._dependencies.service_loads(service),
            )
            share_by_instance |= shares.share_by_instance
            if shares.share_by_key:
                share_by_key_by_service[service] = shares.share_by_key
        self._dependencies.on_admission_shares(
            share_by_instance, share_by_key_by_service
        )
