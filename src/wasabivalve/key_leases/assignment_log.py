"""Claim terms and write assignments to the log by conditional appends."""

import asyncio
import math
import uuid
from collections.abc import Callable, Iterable, Mapping
from typing import Literal

from wasabivalve import events

from . import core, leases

WRITE_RETRY_DELAY_S = 0.15
"""Delay between attempts of one write; a call to the store takes some ms."""

WriteResult = Literal["written", "aborted", "superseded"]


class AssignmentLogWriter:
    """Hold the term of this VM, if it has one, and the newest map that it wrote."""

    def __init__(
        self,
        vm: str,
        calls: leases.RemoteCalls,
        on_assignment_map: Callable[[core.AssignmentMap], object],
        known_map: Callable[[], core.AssignmentMap] = lambda: core.EMPTY_MAP,
        known_vms: Callable[[], Iterable[str]] = lambda: (),
    ) -> None:
        self.term: int | None = None
        # The era of the store in which the term was claimed.
        self.era = 0
        self.assignment_map = core.EMPTY_MAP
        self._vm = vm
        self._calls = calls
        self._on_assignment_map = on_assignment_map
        self._known_map = known_map
        self._known_vms = known_vms
        # Distinguishes this incarnation of the VM from others of the same name.
        self._writer_id = uuid.uuid4().hex
        self._end_offset = 0
        self._grant_number = 0
        self._write_lock = asyncio.Lock()
        self._yielded_to_term = -1
        # VMs that may still grant in terms before this one.
        self.predecessors: set[str] = set()

    def next_token(self) -> int:
        """Return a fencing token above all that were returned before."""
        assert self.term is not None
        self._grant_number += 1
        return core.fencing_token(self.term, self._grant_number)

    @property
    def is_current(self) -> bool:
        """Return whether the store still has the claim of this VM's term."""
        return self.era == self._calls.store_era()

    @property
    def holders_are_known(self) -> bool:
        """Return whether no lost claim may have changed who holds the keys."""
        return core.UNKNOWN_VM not in self.predecessors

    async def claim_term(self, is_active: Callable[[], bool]) -> bool:
        """Claim a term; return whether this VM has it.

        If the store was restored from a copy, this VM may know a newer map than the
        log, and other VMs a still newer one.
        """
        tail = await self._calls.read_log_tail()
        if tail is None or not is_active():
            return False
        recorded, known = tail.assignment_map, self._known_map()
        newest = max(recorded, known, key=lambda each: each.version)
        predecessors = {newest.controller_vm, *newest.predecessors}
        has_claim_of_era = recorded.term >= core.first_term(tail.era)
        if (tail.era > 0 and not has_claim_of_era) or known.version > recorded.version:
            predecessors |= {
                recorded.controller_vm,
                *recorded.predecessors,
                *self._known_vms(),
                core.UNKNOWN_VM,
            }
        return await self._append_claim(tail, newest, predecessors, is_active)

    async def claim_again(
        self, holders_are_proven: bool, is_active: Callable[[], bool]
    ) -> WriteResult:
        """Claim a later term after the store has lost the claim of this one.

        ``holders_are_proven`` states that every holder still accepts this term.
        """
        term = self.term
        tail = await self._calls.read_log_tail()
        if tail is None or not is_active() or self.term != term:
            return "aborted"
        recorded = tail.assignment_map
        if recorded.writer_id != self._writer_id and recorded.term > (term or 0):
            return "superseded"
        predecessors = set(self.predecessors)
        if not holders_are_proven:
            predecessors |= {*self._known_vms(), core.UNKNOWN_VM}
        if not await self._append_claim(
            tail, self.assignment_map, predecessors, is_active
        ):
            return "aborted"
        return "written"

    async def _append_claim(
        self,
        tail: leases.AssignmentLogTail,
        newest: core.AssignmentMap,
        predecessors: set[str],
        is_active: Callable[[], bool],
    ) -> bool:
        # Earlier incarnations of this VM have ended.
        predecessors = predecessors - {self._vm, ""}
        term = max(
            core.first_term(tail.era) + tail.end_offset,
            tail.assignment_map.term + 1,
            newest.term + 1,
        )
        claim = newest._replace(
            term=term,
            controller_vm=self._vm,
            writer_id=self._writer_id,
            write_number=0,
            predecessors=tuple(sorted(predecessors)),
        )
        result = await self._calls.append_assignment_map(
            claim, tail.end_offset, tail.era
        )
        if result != "done":
            # An unanswered claim may still be appended; the next attempt then reads a
            # later end of the log and claims again at that offset.
            events.emit(312, result=result, at=tail.end_offset)
            return False
        if not is_active() or term < self._yielded_to_term:
            return False
        self.term, self.era, self._end_offset, self._grant_number = (
            term,
            tail.era,
            tail.end_offset + 1,
            0,
        )
        self.predecessors = predecessors
        self._apply_map(claim)
        return True

    def yield_to(self, term: int) -> bool:
        """Claim no earlier term any more; return False if this VM has a later one."""
        if self.term is not None and self.term >= term:
            return False
        # A claim whose reply is still in flight must not become effective later.
        self._yielded_to_term = max(self._yielded_to_term, term)
        return True

    async def write_ranges(
        self,
        ranges_by_service: Mapping[str, list[core.RangeAssignment]],
        has_authority: Callable[[], bool],
        timeout_ms: float = math.inf,
    ) -> WriteResult:
        """Write ranges to the log; abort after a timeout only if none was written.

        A write that the store may have lost when it was restored is aborted as well:
        the next claim writes the map as it was before.
        """
        async with self._write_lock:
            term = self.term
            deadline_ms = self._calls.now_ms() + timeout_ms
            certainly_unwritten = True
            changed_ranges = {
                service: core.merge_ranges(ranges)
                for service, ranges in ranges_by_service.items()
            }
            new = self.assignment_map._replace(
                write_number=self.assignment_map.write_number + 1,
                predecessors=tuple(sorted(self.predecessors)),
                ranges_by_service={
                    **self.assignment_map.ranges_by_service,
                    **changed_ranges,
                },
            )
            while has_authority() and self.term == term:
                if not self.is_current:
                    return "aborted"
                result = await self._calls.append_assignment_map(
                    new, self._end_offset, self.era
                )
                if not self.is_current:
                    return "aborted"
                if result == "moved":
                    tail = await self._calls.read_log_tail()
                    if not self.is_current:
                        return "aborted"
                    if tail is None:
                        await asyncio.sleep(WRITE_RETRY_DELAY_S)
                        continue
                    if self._skip_late_record(tail):
                        continue
                    newest = tail.assignment_map
                    if (newest.writer_id, newest.write_number) != (
                        new.writer_id,
                        new.write_number,
                    ):
                        return "superseded"
                    result = "done"
                if result == "done":
                    if self.term != term:
                        return "superseded"
                    self._end_offset += 1
                    self._apply_map(new)
                    return "written"
                certainly_unwritten = certainly_unwritten and result == "refused"
                if certainly_unwritten and self._calls.now_ms() >= deadline_ms:
                    return "aborted"
                await asyncio.sleep(WRITE_RETRY_DELAY_S)
            return "superseded"

    async def can_write(self) -> bool:
        """Return whether the store answers and this term is still the newest."""
        term = self.term
        tail = await self._calls.read_log_tail()
        if tail is None or self.term != term or not self.is_current:
            return False
        return self._skip_late_record(tail) or tail.end_offset == self._end_offset

    def _skip_late_record(self, tail: leases.AssignmentLogTail) -> bool:
        """Write after a record of an older era that reached the store late.

        Return whether the log ends with one. Such a record names an offset that the
        restored log has reached again.
        """
        if self.term is None or tail.assignment_map.term >= self.term:
            return False
        self._end_offset = tail.end_offset
        return True

    def _apply_map(self, assignment_map: core.AssignmentMap) -> None:
        self.assignment_map = assignment_map
        self._on_assignment_map(assignment_map)
