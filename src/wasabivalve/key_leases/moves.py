"""Move ranges of keys between instances: release, record, grant, confirm."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import NamedTuple

from wasabivalve import events, supervision
from wasabivalve.placement import core as placement

from . import assignment_log, core, leases, planning, view

RELEASE_TIMEOUT_MS = 2_500.0
"""Timeout of a release; the instance answers once its requests on the keys are done."""

RELEASE_ATTEMPTS = 3
"""Attempts per release; two unanswered calls in a row are rare, three very rare."""

OVERLOAD_UTILIZATION = 0.8
"""Utilization above which an instance is logged as overloaded."""

PLANNED_MOVE_PAUSE_MS = 700.0
"""Time for which VMs queue requests for moving keys.

Requests in flight on these keys must end first.
"""

MIN_MOVABLE_SHARE = 0.5
"""Share of confirmed ranges up to which nothing is balanced.

After a change of controller or a large loss, holders are confirmed first.
"""

RELEASE_GROUPING_S = 0.05
"""Time for which releases are collected; each group costs a write to the store."""


class _MoveRelease(NamedTuple):
    """Hold a planned move and the leases that must be released for it."""

    move: planning.LeaseMove
    sources: Sequence[leases.RangeLease]


class MoveActions(NamedTuple):
    """Hold what moves need of the controller, which grants and keeps its authority."""

    has_authority: Callable[[], bool]
    send_fencing_grant: Callable[
        [leases.RangeLease, placement.RegisteredInstance], Awaitable[None]
    ]
    renew_leases: Callable[[], Awaitable[None]]
    write_ranges: Callable[
        [Mapping[str, list[core.RangeAssignment]], float],
        Awaitable[assignment_log.WriteResult],
    ]
    list_candidates: Callable[[str], list[planning.CandidateInstance]]


class RangeMoves:
    """Move ranges in the term of a controller; holders change nowhere else."""

    def __init__(
        self,
        table: leases.LeaseTable,
        writer: assignment_log.AssignmentLogWriter,
        calls: leases.RemoteCalls,
        dependencies: leases.ControllerDependencies,
        actions: MoveActions,
    ) -> None:
        self._table = table
        self._writer = writer
        self._calls = calls
        self._dependencies = dependencies
        self._actions = actions

    def announce_moving(self, lease: leases.RangeLease, pause_ms: float) -> None:
        """Broadcast for how long a range may be without a holder."""
        moving = view.MovingRange(lease.service, lease.range.first, lease.range.last)
        self._dependencies.on_ranges_moving(
            [moving], max(PLANNED_MOVE_PAUSE_MS, pause_ms)
        )

    async def release_range(
        self,
        lease: leases.RangeLease,
        instance: placement.RegisteredInstance,
        attempts: int = RELEASE_ATTEMPTS,
    ) -> None:
        """Have an instance release a range; retry, as single calls may be lost.

        That another instance is at the address of a later incarnation says nothing of
        the holder, which may have been at another address.
        """
        term = self._writer.term
        if lease.pending_grants:
            # A renewal in flight must not arrive after the release. The parts of a
            # split lease share their pending grants.
            await asyncio.wait(list(lease.pending_grants))
        for _ in range(attempts):
            if self._writer.term != term:
                return
            if not await self._fence_older_grants(lease, instance):
                continue
            result = await self._calls.release(
                instance,
                lease.range.first,
                lease.range.last,
                lease.token,
                RELEASE_TIMEOUT_MS,
            )
            if self._writer.term != term:
                return
            is_unrelated = (
                result is not None
                and result.ended
                and instance.born != lease.range.born
            )
            if result is not None and not is_unrelated:
                lease.handover = result.handover
                lease.reassignable = True
                return
        if self._writer.term == term:
            self.announce_moving(lease, lease.latest_expiry_ms - self._calls.now_ms())

    async def _fence_older_grants(
        self, lease: leases.RangeLease, instance: placement.RegisteredInstance
    ) -> bool:
        """Return whether no older grant can take effect after a release.

        If one may still be in flight, a grant with a higher token is sent first: once
        that is confirmed, the instance refuses the older ones.
        """
        last_expiry_ms = max(lease.unanswered_expiry_ms, lease.unproved_expiry_ms)
        if lease.confirmed and self._calls.now_ms() >= last_expiry_ms:
            return True
        lease.token = self._writer.next_token()
        lease.confirmed = False
        await self._actions.send_fencing_grant(lease, instance)
        if lease.confirmed:
            lease.unanswered_expiry_ms = lease.unproved_expiry_ms = 0.0
        return lease.confirmed

    async def transfer_ranges(
        self,
        service: str,
        reassignable: Sequence[leases.RangeLease],
        moves: Sequence[planning.LeaseMove],
        reason: str,
        timeout_ms: float = math.inf,
    ) -> assignment_log.WriteResult:
        """Write the new holders of reassignable ranges to the log and grant them."""
        moved_ids = {id(lease) for lease in reassignable}
        ranges = [
            lease.range
            for lease in self._table.of_service(service)
            if id(lease) not in moved_ids
        ]
        new_leases = []
        for move in moves:
            assignment = core.RangeAssignment(
                move.first, move.last, move.to_instance, move.to_born
            )
            ranges.append(assignment)
            for source in reassignable:
                if source.range.first <= move.first <= source.range.last:
                    lease = leases.RangeLease(
                        service, assignment, self._writer.next_token(), 0.0
                    )
                    lease.handover = source.handover
                    new_leases.append(lease)
                    break
        result = await self._actions.write_ranges({service: ranges}, timeout_ms)
        if result != "written":
            return result
        self._table.leases = [
            lease for lease in self._table.leases if id(lease) not in moved_ids
        ] + new_leases
        for lease in new_leases:
            events.emit(
                302,
                service=service,
                first=lease.range.first,
                last=lease.range.last,
                instance=lease.range.instance,
                token=lease.token,
                reason=reason,
            )
        await self._actions.renew_leases()
        # VMs queue requests for the ranges until the new holders have confirmed.
        term, write_number = (
            self._writer.assignment_map.term,
            self._writer.assignment_map.write_number,
        )
        grants = [grant for lease in new_leases for grant in lease.pending_grants]
        if grants:
            await asyncio.wait(grants)
        confirmed_ranges = [lease.range for lease in new_leases]
        if self._writer.term == term:
            self._dependencies.on_ranges_confirmed(
                term, write_number, service, confirmed_ranges
            )
        return "written"

    async def balance_load(self, service: str) -> None:
        """Move ranges from overloaded instances to those of lowest utilization."""
        service_leases = self._table.of_service(service)
        # Of hundreds of instances some are always lost or leaving; their ranges must
        # not keep the others from being balanced.
        movable = [
            lease
            for lease in service_leases
            if lease.confirmed and not lease.renewals_stopped
        ]
        if len(movable) <= MIN_MOVABLE_SHARE * len(service_leases):
            return
        unmovable_ids = {
            lease.range.instance for lease in service_leases if lease not in movable
        }
        listed = self._actions.list_candidates(service)
        unmovable_ids |= planning.find_warming_holders(
            listed, {lease.range.instance for lease in movable}
        )
        candidates = [
            candidate for candidate in listed if candidate.id not in unmovable_ids
        ]
        loads = self._dependencies.service_loads(service).smooth
        ranges = [
            lease.range
            for lease in movable
            if lease.range.instance not in unmovable_ids
        ]
        moves = planning.plan_balancing_moves(
            service,
            ranges,
            candidates,
            loads,
            planning.max_moves_per_round(len(candidates)),
        )
        busiest = planning.find_busiest_instance(ranges, candidates, loads)
        if (
            busiest is not None
            and busiest.rate > OVERLOAD_UTILIZATION * busiest.capacity
        ):
            events.emit(314, service=service, moves=len(moves), **busiest._asdict())
        if not moves or not await self._writer.can_write():
            return
        moving = [view.MovingRange(service, move.first, move.last) for move in moves]
        self._dependencies.on_ranges_moving(moving, PLANNED_MOVE_PAUSE_MS)
        for move in moves:
            self._table.leases = leases.split_leases(
                self._table.leases, service, move.first, move.last
            )
        release_by_task = {}
        for move in moves:
            sources = [
                lease
                for lease in self._table.of_service(service)
                if move.first <= lease.range.first <= move.last
            ]
            for lease in sources:
                lease.renewals_stopped = True
            task = asyncio.create_task(self._release_for_move(sources))
            release_by_task[task] = _MoveRelease(move, sources)
        try:
            await self._transfer_released(service, release_by_task)
        finally:
            for task in release_by_task:
                task.cancel()

    async def _release_for_move(self, sources: Sequence[leases.RangeLease]) -> None:
        """Have the holders of ranges release them, each with one call."""
        releases = []
        for lease in sources:
            instance = self._dependencies.find_instance(lease.range.instance)
            known_instance = instance or lease.last_known_instance
            if known_instance is not None:
                releases.append(self.release_range(lease, known_instance, attempts=1))
        await asyncio.gather(*releases)

    async def _transfer_released(
        self, service: str, release_by_task: dict[asyncio.Task[None], "_MoveRelease"]
    ) -> None:
        """Transfer ranges as they are released; a busy holder delays only its own.

        Ranges that are released about the same time are written together.
        """
        term = self._writer.term
        while release_by_task:
            await asyncio.wait(release_by_task, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(RELEASE_GROUPING_S)
            done_tasks = [task for task in release_by_task if task.done()]
            for task in done_tasks:
                supervision.log_task_error("key controller: release for a move", task)
            ended = [release_by_task.pop(task) for task in done_tasks]
            if self._writer.term != term or not self._actions.has_authority():
                # These leases belong to a term that has ended.
                return
            released = [
                release
                for release in ended
                if all(lease.reassignable for lease in release.sources)
            ]
            for release in ended:
                if release not in released:
                    self._restore_leases(release.sources)
            if not released:
                continue
            reassignable = [lease for release in released for lease in release.sources]
            result = await self.transfer_ranges(
                service,
                reassignable,
                [release.move for release in released],
                "balance",
                PLANNED_MOVE_PAUSE_MS,
            )
            if result == "aborted":
                # The log still names the old holders, so they can get their keys back.
                self._restore_leases(reassignable)

    def _restore_leases(self, kept_leases: Sequence[leases.RangeLease]) -> None:
        """Resume renewals after a cancelled move, with tokens above all sent so far."""
        if not kept_leases or not self._actions.has_authority():
            return
        for lease in kept_leases:
            lease.reassignable = lease.renewals_stopped = False
            lease.token = self._writer.next_token()
            lease.renewal_due_ms = 0.0
            # The next confirmed grant is broadcast: the range has its holder again.
            lease.announced_moving = True
        events.emit(315, service=kept_leases[0].service, ranges=len(kept_leases))
