"""Grant key ranges to instances, renew the grants and move ranges between them.

The order of every step keeps each key with one holder: a range is recorded in the
ledger before it is granted, and it is recorded for another holder only once the
present one has released it or its hold has certainly run out.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from typing import Any

from wasabivalve import events
from wasabivalve.placement import core as placement

from . import assignment_log, core, leases, planning, succession, view

RELEASE_TIMEOUT_MS = 2_500.0
"""Time for a release, which ends when the work on the keys has ended."""

RELEASE_TRIES = 3
"""Tries of a release; two unanswered calls in a row are rare, three very rare."""

LOST_AFTER_MS = 900.0
"""Renewals that fail for this long make an instance count as lost."""

MOST_UNANSWERED = 6
"""Grants without an answer after which no more are sent to a silent instance."""

AVOIDED_MS = 4_000.0
"""Time after which a lost instance is asked whether it answers again.

Until it does it gets no keys, unless no other instance is left.
"""

TICK_MS = 100.0
"""Interval of looking for what is due; a small part of a renewal's interval."""

SHARES_INTERVAL_MS = 300.0
"""Interval of telling what overloaded holders can serve; VMs report as often.

A holder queues a few requests; what many VMs send beyond that stays unanswered.
"""

BALANCE_INTERVAL_MS = 600.0
"""Interval of moves for balance; the load of a range takes about as long to show."""

OVERLOAD = 0.8
"""Utilization from which an instance is logged as overloaded."""

MOST_MOVES = 6
"""Moves of one round of balancing; each pauses its keys for a few round trips."""

PLANNED_PAUSE_MS = 700.0
"""Time for which VMs hold requests for moving keys; work on them must end first."""

START_WAIT_MS = 700.0
"""Time for which the set of instances must be unchanged before the first plan."""


class KeyLeaseController:
    """Control the keys of all divided services while this VM leads."""

    def __init__(
        self,
        vm: str,
        hold_max_ms: float,
        calls: leases.RemoteCalls,
        surroundings: leases.ControllerDependencies,
    ) -> None:
        self._vm = vm
        self._hold_ms = min(leases.HOLD_MS, hold_max_ms)
        self._calls = calls
        self._around = surroundings
        self._leads = False
        self._named = False
        self._confirmed_at = 0.0
        self._writer = assignment_log.AssignmentLogWriter(
            vm, calls, surroundings.on_assignment_map
        )
        self._holds: list[leases.RangeLease] = []
        self._seen: tuple[str, ...] = ()
        self._seen_since = 0.0
        self._balanced_at = 0.0
        self._claimed_at = 0.0
        self._succession = succession.Succession()
        self._ended_holds: list[leases.RangeLease] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._calls_under_way: set[asyncio.Task[None]] = set()
        self._avoided_until: dict[tuple[str, int], float] = {}

    @property
    def _term(self) -> int | None:
        return self._writer.term

    @property
    def is_leader(self) -> bool:
        """Return whether this VM leads and has claimed its term."""
        return self._leads and self._term is not None

    def start(self) -> None:
        """Start the tasks that renew and manage."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._repeat(self._renew)),
            loop.create_task(self._repeat(self._manage)),
            loop.create_task(self._repeat(self._tell_shares, SHARES_INTERVAL_MS)),
        ]

    def close(self) -> None:
        """Stop all tasks."""
        for task in [*self._tasks, *self._calls_under_way]:
            task.cancel()

    def on_elected(self, confirmed_at: float) -> None:
        """Note that the registry named this VM leader by a call sent at this time."""
        if not self._leads:
            events.emit(310, vm=self._vm)
        self._leads = self._named = True
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def on_other_elected(self) -> None:
        """Note that the registry named another VM.

        This one goes on until the other has claimed its term in the ledger: keys must
        not be without a controller in between, and the ledger admit_request only one.
        """
        self._named = False
        if self._term is None:
            self._leads = False

    def step_down(self, reason: str) -> None:
        """Stop all orders, as another VM leads or may lead."""
        if self._leads:
            events.emit(311, vm=self._vm, term=self._term, reason=reason)
        if self._term is not None:
            self._ended_holds = self._holds
        self._leads = False
        self._writer.term = None
        self._holds = []

    def on_recorded_map(self, assignment_map: core.AssignmentMap) -> None:
        """Take in a recorded map; one of a later term ends this one."""
        if self._term is not None and assignment_map.term > self._term:
            self.step_down("another controller claimed a later term")

    def yield_to(self, term: int) -> bool:
        """Order nothing in terms before this one; return whether that is so.

        Grants that are under way end within a second.
        """
        if not self._writer.yield_to(term):
            return False
        if self._term is not None:
            self.step_down("another controller claimed a later term")
        return not any(hold.calls for hold in self._ended_holds)

    def remaining_lease_ms_by_instance(self) -> dict[str, float]:
        """Return how long grants of this VM's last term last at failing instances."""
        return succession.remaining_lease_ms_by_instance(
            self._ended_holds, self._calls.now_ms()
        )

    def on_yielded(
        self, vm: str, term: int, remaining_lease_ms_by_instance: Mapping[str, float]
    ) -> None:
        """Note that a VM that led before orders nothing any more."""
        waited_for = self._writer.predecessors
        if self._term != term or vm not in waited_for:
            return
        waited_for.discard(vm)
        events.emit(305, term=term, predecessor=vm, left=len(waited_for))
        self._succession.on_yielded(
            remaining_lease_ms_by_instance,
            self._calls.now_ms(),
            self._longest_hold_ms(),
        )
        if waited_for:
            return
        for hold in self._holds:
            if not hold.answered:
                until = self._succession.until(hold.range.instance)
                hold.until = min(hold.until, until)

    async def _repeat(
        self, step: Callable[[], Awaitable[None]], interval_ms: float = TICK_MS
    ) -> None:
        while True:
            try:
                await step()
            except Exception as error:
                # One failed round must not end the control of all keys.
                events.emit(5, where="key controller", error=repr(error))
            await asyncio.sleep(interval_ms / 1000.0)

    def _has_authority(self) -> bool:
        if not self._leads or self._term is None:
            return False
        if self._calls.now_ms() < self._confirmed_at + leases.AUTHORITY_MS:
            return True
        self.step_down("the store has not confirmed the leader for too long")
        return False

    # Claim and record.

    async def _claim(self) -> None:
        if not await self._writer.claim(lambda: self._leads):
            return
        now = self._calls.now_ms()
        self._claimed_at = now
        self._succession.begin()
        longest = self._longest_hold_ms()
        if self._writer.predecessors:
            longest += leases.AUTHORITY_MS
        token = self._writer.next_token()
        self._holds = [
            leases.RangeLease(service, one, token, now + longest)
            for service, ranges in self._writer.assignment_map.ranges_by_service.items()
            for one in ranges
        ]
        events.emit(304, term=self._term, ranges=len(self._holds))

    async def _write(
        self,
        ranges_by_service: Mapping[str, list[core.RangeAssignment]],
        patience_ms: float = math.inf,
    ) -> assignment_log.WriteResult:
        result = await self._writer.write(
            ranges_by_service, self._has_authority, patience_ms
        )
        if result == "superseded":
            self.step_down("another controller wrote to the ledger")
        return result

    def _longest_hold_ms(self) -> float:
        return self._hold_ms * leases.CLOCK_MARGIN + leases.LATEST_ARRIVAL_MS

    # Renewals.

    async def _renew(self) -> None:
        if not self._has_authority():
            return
        now = self._calls.now_ms()
        for hold in self._holds:
            if hold.frozen or now < hold.due_at:
                continue
            instance = self._around.find_instance(hold.range.instance)
            if instance is None or instance.born != hold.range.born:
                continue
            hold.due_at = now + leases.RENEWAL_MS
            hold.last_known = instance
            self._start_call(self._grant(hold, instance), hold.calls)

    def _start_call(
        self,
        call: Coroutine[Any, Any, None],
        also: set[asyncio.Task[None]] | None = None,
    ) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self._calls_under_way.add(task)
        task.add_done_callback(self._calls_under_way.discard)
        if also is not None:
            also.add(task)
            task.add_done_callback(also.discard)

    async def _grant(
        self, hold: leases.RangeLease, instance: placement.RegisteredInstance
    ) -> None:
        term = self._term
        sent_at = self._calls.now_ms()
        unanswered_before = hold.unanswered_until
        hold.unanswered_until = sent_at + self._longest_hold_ms()
        result = await self._calls.grant(
            instance,
            hold.range.first,
            hold.range.last,
            hold.token,
            self._hold_ms / 1000.0,
            hold.handover,
            leases.CALL_TIMEOUT_MS,
        )
        if result == "granted":
            # Grants of earlier terms are refused from here on.
            hold.until = self._calls.now_ms() + self._hold_ms * leases.CLOCK_MARGIN
        if result != "no_answer":
            hold.unanswered_until = unanswered_before
        if self._term != term:
            return
        if result == "granted":
            hold.held_until = sent_at + self._hold_ms / leases.CLOCK_MARGIN
            hold.answered = True
            hold.failing_since = None
            hold.unanswered_in_row = 0
            if hold.announced:
                hold.announced = False
                self._avoided_until.pop((instance.id, instance.born), None)
                self._around.on_ranges_confirmed(
                    self._writer.assignment_map.term,
                    leases.NO_WRITE,
                    hold.service,
                    [hold.range],
                )
            hold.handover = None
            return
        events.emit(
            313,
            instance=instance.id,
            first=hold.range.first,
            last=hold.range.last,
            token=hold.token,
            result=result,
        )
        if result == "gone":
            hold.frozen = hold.free = True
            life = (instance.id, instance.born)
            self._avoided_until[life] = self._calls.now_ms() + AVOIDED_MS
            return
        if result == "refused":
            # Another controller used a higher token.
            self.step_down("an instance has seen a higher token")
            return
        if result in ("not_sent", "rejected"):
            hold.unanswered_in_row = 0
        else:
            hold.unanswered_in_row += 1
        if hold.failing_since is None:
            hold.failing_since = sent_at
        hold.due_at = min(hold.due_at, self._calls.now_ms() + leases.RENEWAL_MS / 4.0)

    # Moves.

    async def _manage(self) -> None:
        if not self._leads:
            return
        if self._term is None:
            if self._named:
                await self._claim()
            return
        if not self._has_authority():
            return
        self._ask_predecessors(self._term)
        self._note_instances()
        self._probe_avoided()
        for service in self._around.partitioned_services():
            if not self._has_authority():
                return
            if not self._writer.assignment_map.ranges_by_service.get(service):
                await self._assign_first(service)
            else:
                await self._replace_lost(service)
        now = self._calls.now_ms()
        if self._named and now >= self._balanced_at + BALANCE_INTERVAL_MS:
            self._balanced_at = now
            for service in self._around.partitioned_services():
                await self._balance(service)

    def _ask_predecessors(self, term: int) -> None:
        if self._calls.now_ms() >= self._claimed_at + leases.AUTHORITY_MS:
            # Nothing has confirmed them since the claim.
            self._writer.predecessors.clear()
        for vm in self._writer.predecessors:
            self._around.request_yield(vm, term)

    def _note_instances(self) -> None:
        seen = tuple(
            sorted(
                instance.id
                for service in self._around.partitioned_services()
                for instance in self._around.list_instances(service)
            )
        )
        if seen != self._seen:
            self._seen = seen
            self._seen_since = self._calls.now_ms()

    def _probe_avoided(self) -> None:
        """Ask lost instances whether they answer before they get keys again."""
        now = self._calls.now_ms()
        holders = {hold.range.instance for hold in self._holds}
        for life, until in list(self._avoided_until.items()):
            instance = self._around.find_instance(life[0])
            if instance is None or instance.born != life[1]:
                del self._avoided_until[life]
            elif now >= until and life[0] not in holders:
                self._avoided_until[life] = now + AVOIDED_MS
                self._start_call(self._probe(instance))

    async def _probe(self, instance: placement.RegisteredInstance) -> None:
        term = self._term
        # Without keys there is nothing to give up, and a release is never refused.
        answer = await self._calls.release(
            instance, 0, 0, self._writer.next_token(), leases.CALL_TIMEOUT_MS
        )
        if answer is not None and not answer.ended and self._term == term:
            self._avoided_until.pop((instance.id, instance.born), None)

    def _targets(self, service: str) -> list[planning.CandidateInstance]:
        failing = {
            hold.range.instance
            for hold in self._holds
            if hold.failing_since is not None
        }
        failing |= {life[0] for life in self._avoided_until}
        instances = [
            one for one in self._around.list_instances(service) if not one.draining
        ]
        # A controller that reaches no instance may be the one that is cut off.
        sound = [one for one in instances if one.id not in failing] or instances
        return [
            planning.CandidateInstance(
                one.id, one.born, self._around.instance_capacity(one)
            )
            for one in sound
        ]

    async def _assign_first(self, service: str) -> None:
        targets = self._targets(service)
        if not targets or self._calls.now_ms() < self._seen_since + START_WAIT_MS:
            return
        loads = self._around.load_profile(service)
        ranges = planning.plan_initial_assignment(service, targets, loads)
        if await self._write({service: list(ranges)}) != "written":
            return
        events.emit(302, service=service, ranges=len(ranges), reason="first plan")
        for one in ranges:
            self._holds.append(
                leases.RangeLease(service, one, self._writer.next_token(), 0.0)
            )
        await self._renew()

    async def _replace_lost(self, service: str) -> None:
        now = self._calls.now_ms()
        releases = []
        for hold in self._of(service):
            instance = self._around.find_instance(hold.range.instance)
            if hold.free:
                continue
            if hold.frozen:
                hold.free = now >= hold.ends_at
            elif instance is not None and instance.born != hold.range.born:
                # The new life may have been granted keys before it registered.
                hold.frozen = True
                self._announce(hold, PLANNED_PAUSE_MS)
                releases.append(self._release(hold, instance))
            elif instance is None or instance.draining:
                hold.frozen = True
                known = instance or hold.last_known
                if known is not None:
                    self._announce(hold, PLANNED_PAUSE_MS)
                    releases.append(self._release(hold, known))
                else:
                    # Gone before this term: only time frees its keys.
                    self._announce(hold, hold.ends_at - now)
            elif (
                hold.failing_since is not None
                and now >= hold.failing_since + LOST_AFTER_MS
            ):
                self._on_failing(hold, instance)
        if releases:
            # A slow release must not hold up the others.
            for release in releases:
                self._start_call(release)
            return
        free = [hold for hold in self._of(service) if hold.free]
        if not free:
            return
        loads = self._around.load_profile(service)
        kept = [hold.range for hold in self._of(service) if not hold.free]
        lost = [hold.range for hold in free]
        moves = planning.plan_reassignment(
            service, lost, kept, self._targets(service), loads
        )
        if moves:
            await self._hand_over(service, free, moves, "holder is gone")

    def _announce(self, hold: leases.RangeLease, pause_ms: float) -> None:
        """Tell all VMs how long a range may be without a holder."""
        moving = view.MovingRange(hold.service, hold.range.first, hold.range.last)
        self._around.on_ranges_moving([moving], max(PLANNED_PAUSE_MS, pause_ms))

    def _on_failing(
        self, hold: leases.RangeLease, instance: placement.RegisteredInstance
    ) -> None:
        """Free a range whose holder stays silent once its hold has run out."""
        now = self._calls.now_ms()
        # While calls are only unanswered, the holder may well serve its requests.
        reached = hold.unanswered_in_row > 0 and now < hold.held_until
        if not hold.announced and not reached:
            events.emit(303, instance=instance.id, first=hold.range.first)
            hold.announced = True
            self._announce(hold, hold.ends_at - now)
            life = (instance.id, instance.born)
            self._avoided_until[life] = now + AVOIDED_MS
        if hold.unanswered_in_row >= MOST_UNANSWERED:
            # Each grant that may have arrived makes the hold longer.
            hold.frozen = True
        elif now >= hold.ends_at and not hold.calls:
            hold.frozen = hold.free = True

    async def _release(
        self,
        hold: leases.RangeLease,
        instance: placement.RegisteredInstance,
        tries: int = RELEASE_TRIES,
    ) -> None:
        """Take a range back; try a few times, as single calls may stay unanswered."""
        term = self._term
        if hold.calls:
            # A renewal under way must not arrive behind the release. Parts of a hold
            # that was split share its calls.
            await asyncio.wait(list(hold.calls))
        for _ in range(tries):
            if self._term != term:
                return
            if not await self._show_newer_token(hold, instance):
                continue
            released = await self._calls.release(
                instance,
                hold.range.first,
                hold.range.last,
                hold.token,
                RELEASE_TIMEOUT_MS,
            )
            if self._term != term:
                return
            if released is not None:
                hold.handover = released.handover
                hold.free = True
                return
        if self._term == term:
            self._announce(hold, hold.ends_at - self._calls.now_ms())

    async def _show_newer_token(
        self, hold: leases.RangeLease, instance: placement.RegisteredInstance
    ) -> bool:
        """Make sure that no older grant can be carried out behind a release."""
        if hold.answered and self._calls.now_ms() >= hold.unanswered_until:
            return True
        hold.token = self._writer.next_token()
        hold.answered = False
        await self._grant(hold, instance)
        if hold.answered:
            hold.unanswered_until = 0.0
        return hold.answered

    async def _hand_over(
        self,
        service: str,
        free: Sequence[leases.RangeLease],
        moves: Sequence[planning.LeaseMove],
        reason: str,
        patience_ms: float = math.inf,
    ) -> assignment_log.WriteResult:
        """Record free ranges for their new holders and grant them."""
        ranges = [hold.range for hold in self._of(service) if hold not in free]
        new = []
        for move in moves:
            one = core.RangeAssignment(
                move.first, move.last, move.to_instance, move.to_born
            )
            ranges.append(one)
            for source in free:
                if source.range.first <= move.first <= source.range.last:
                    hold = leases.RangeLease(
                        service, one, self._writer.next_token(), 0.0
                    )
                    hold.handover = source.handover
                    new.append(hold)
                    break
        result = await self._write({service: ranges}, patience_ms)
        if result != "written":
            return result
        self._holds = [hold for hold in self._holds if hold not in free] + new
        for hold in new:
            events.emit(
                302,
                service=service,
                first=hold.range.first,
                last=hold.range.last,
                instance=hold.range.instance,
                token=hold.token,
                reason=reason,
            )
        await self._renew()
        # Requests are held until the new holders have confirmed.
        term, number = (
            self._writer.assignment_map.term,
            self._writer.assignment_map.write_number,
        )
        calls = [call for hold in new for call in hold.calls]
        if calls:
            await asyncio.wait(calls)
        settled = [hold.range for hold in new]
        if self._term == term:
            self._around.on_ranges_confirmed(term, number, service, settled)
        return "written"

    async def _tell_shares(self) -> None:
        """Tell all VMs which share of its requests each overloaded holder can serve.

        It waits for no move: a holder is overloaded most while its keys move.
        """
        if not self._has_authority():
            return
        shares: dict[str, float] = {}
        for service in self._around.partitioned_services():
            ranges = [hold.range for hold in self._of(service)]
            loads = self._around.load_profile(service)
            shares |= planning.find_admission_shares(
                ranges, self._targets(service), loads
            )
        self._around.on_admission_shares(shares)

    async def _balance(self, service: str) -> None:
        own = self._of(service)
        if not own or any(hold.frozen or not hold.answered for hold in own):
            return
        targets = self._targets(service)
        loads = self._around.load_profile(service)
        ranges = [hold.range for hold in own]
        moves = planning.plan_balancing_moves(
            service, ranges, targets, loads, MOST_MOVES
        )
        pressure = planning.find_busiest_instance(ranges, targets, loads)
        if pressure is not None and pressure.rate > OVERLOAD * pressure.capacity:
            events.emit(314, service=service, moves=len(moves), **pressure._asdict())
        if not moves or not await self._writer.can_write():
            return
        moving = [view.MovingRange(service, one.first, one.last) for one in moves]
        self._around.on_ranges_moving(moving, PLANNED_PAUSE_MS)
        for move in moves:
            self._holds = leases.split(self._holds, service, move.first, move.last)
        sources = [
            hold
            for hold in self._of(service)
            if any(m.first <= hold.range.first <= m.last for m in moves)
        ]
        for hold in sources:
            hold.frozen = True
        calls = []
        for hold in sources:
            instance = self._around.find_instance(hold.range.instance)
            known = instance or hold.last_known
            if known is not None:
                calls.append(self._release(hold, known, tries=1))
        await asyncio.gather(*calls)
        self._keep([hold for hold in sources if not hold.free])
        free = [hold for hold in sources if hold.free]
        done = [
            move
            for move in moves
            if all(
                hold.free
                for hold in sources
                if move.first <= hold.range.first <= move.last
            )
        ]
        free = [
            hold
            for hold in free
            if any(m.first <= hold.range.first <= m.last for m in done)
        ]
        if not free or not self._has_authority():
            return
        result = await self._hand_over(service, free, done, "balance", PLANNED_PAUSE_MS)
        if result == "aborted":
            # The record still names the old holders: they may have their keys back.
            self._keep(free)

    def _keep(self, kept: Sequence[leases.RangeLease]) -> None:
        """Renew holds again that were to move, with a token above all sent so far."""
        if not kept or not self._has_authority():
            return
        for hold in kept:
            hold.free = hold.frozen = False
            hold.token = self._writer.next_token()
            hold.due_at = 0.0
            # The next answer tells all VMs that the range has its holder again.
            hold.announced = True
        events.emit(315, service=kept[0].service, ranges=len(kept))

    def _of(self, service: str) -> list[leases.RangeLease]:
        return [hold for hold in self._holds if hold.service == service]
