"""Claim terms and record ranges in the ledger, by conditional appends."""

import asyncio
import math
import uuid
from collections.abc import Callable, Mapping
from typing import Literal

from wasabivalve import events

from . import core, leases

RETRY_WRITE_S = 0.15
"""Pause between attempts of one write; the store needs some ms for a call."""

WriteResult = Literal["written", "aborted", "superseded"]


class AssignmentLogWriter:
    """Hold the term of this VM, if it has one, and the map that it recorded."""

    def __init__(
        self,
        vm: str,
        calls: leases.RemoteCalls,
        on_assignment_map: Callable[[core.AssignmentMap], None],
    ) -> None:
        self.term: int | None = None
        self.assignment_map = core.EMPTY_MAP
        self._vm = vm
        self._calls = calls
        self._on_assignment_map = on_assignment_map
        # Tells this life of the VM from others of its name.
        self._writer_id = uuid.uuid4().hex
        self._end = 0
        self._step = 0
        self._writing = asyncio.Lock()
        self._yielded_to = -1
        # VMs that may still order in earlier terms than this one.
        self.predecessors: set[str] = set()

    def next_token(self) -> int:
        """Return a token above all that were sent before."""
        assert self.term is not None
        self._step += 1
        return core.token(self.term, self._step)

    async def claim(self, leads: Callable[[], bool]) -> bool:
        """Claim a term; return whether this VM has it."""
        ledger = await self._calls.read_log_tail()
        if ledger is None or not leads():
            return False
        newest = ledger.assignment_map
        # Earlier lives of this VM have ended.
        predecessors = {newest.controller_vm, *newest.predecessors} - {self._vm, ""}
        claim = newest._replace(
            term=ledger.end_offset,
            controller_vm=self._vm,
            writer_id=self._writer_id,
            write_number=0,
            predecessors=tuple(sorted(predecessors)),
        )
        result = await self._calls.append_assignment_map(claim, ledger.end_offset)
        if result != "done":
            # A claim without an answer may still be done; the next round then finds
            # the end moved and claims again behind it.
            events.emit(312, result=result, at=ledger.end_offset)
            return False
        if not leads() or ledger.end_offset < self._yielded_to:
            return False
        self.term, self._end, self._step = ledger.end_offset, ledger.end_offset + 1, 0
        self.predecessors = predecessors
        self._take_map(claim)
        return True

    def yield_to(self, term: int) -> bool:
        """Give up all earlier terms; return False if this VM has a later one."""
        if self.term is not None and self.term >= term:
            return False
        # A claim whose answer is still on its way must not become effective later.
        self._yielded_to = max(self._yielded_to, term)
        return True

    async def write(
        self,
        ranges_by_service: Mapping[str, list[core.RangeAssignment]],
        has_authority: Callable[[], bool],
        patience_ms: float = math.inf,
    ) -> WriteResult:
        """Record ranges; give up after a time if they are certainly not recorded."""
        async with self._writing:
            term = self.term
            give_up_at = self._calls.now_ms() + patience_ms
            certain = True
            changed = {
                service: core.merge(ranges)
                for service, ranges in ranges_by_service.items()
            }
            new = self.assignment_map._replace(
                write_number=self.assignment_map.write_number + 1,
                predecessors=tuple(sorted(self.predecessors)),
                ranges_by_service={**self.assignment_map.ranges_by_service, **changed},
            )
            while has_authority() and self.term == term:
                result = await self._calls.append_assignment_map(new, self._end)
                if result == "moved":
                    ledger = await self._calls.read_log_tail()
                    if ledger is None:
                        await asyncio.sleep(RETRY_WRITE_S)
                        continue
                    newest = ledger.assignment_map
                    if (newest.writer_id, newest.write_number) != (
                        new.writer_id,
                        new.write_number,
                    ):
                        return "superseded"
                    result = "done"
                if result == "done":
                    if self.term != term:
                        return "superseded"
                    self._end += 1
                    self._take_map(new)
                    return "written"
                certain = certain and result == "refused"
                if certain and self._calls.now_ms() >= give_up_at:
                    return "aborted"
                await asyncio.sleep(RETRY_WRITE_S)
            return "superseded"

    async def can_write(self) -> bool:
        """Return whether the store answers and this term is still the newest."""
        term = self.term
        ledger = await self._calls.read_log_tail()
        return (
            ledger is not None and self.term == term and ledger.end_offset == self._end
        )

    def _take_map(self, assignment_map: core.AssignmentMap) -> None:
        self.assignment_map = assignment_map
        self._on_assignment_map(assignment_map)
