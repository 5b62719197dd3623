"""Plan moves of one shard from the load that all entry VMs report."""

from collections.abc import Mapping

from wasabivalve import ownership
from wasabivalve.ownership import decisions, replay
from wasabivalve.schema import messages_generated

REPORT_INTERVAL_MS = 5_000.0
PLAN_INTERVAL_MS = 10_000.0
# Ranges change slowly; the hottest keys change within minutes.
RANGE_HALF_LIFE_MS = 60_000.0
KEY_HALF_LIFE_MS = 20_000.0
MOVES_PER_MINUTE = 6
# The controller itself goes down the lists of lost servers.
CONTROLLER_REASONS = frozenset({"loss", "successors"})


class ShardBalancer:
    """Hold the reported load of one shard; times in monotonic ms."""

    def __init__(self, now: float) -> None:
        self._planned_at = now
        self._requests_by_start: dict[int, float] = {}
        self._requests_by_key: dict[str, float] = {}
        self._ranges = ownership.LoadMeter[int](RANGE_HALF_LIFE_MS)
        self._keys = ownership.LoadMeter[str](KEY_HALF_LIFE_MS)
        self._budget = ownership.MoveBudget(MOVES_PER_MINUTE)

    def on_report(self, report: messages_generated.LoadReport) -> None:
        """Add the report of one VM."""
        for range_load in report["ranges"]:
            start = range_load["start"]
            count = self._requests_by_start.get(start, 0.0)
            self._requests_by_start[start] = count + range_load["requests"]
        for key_load in report["keys"]:
            key = key_load["key"]
            count = self._requests_by_key.get(key, 0.0)
            self._requests_by_key[key] = count + key_load["requests"]

    def plan(
        self, shard: replay.Shard, data_centre_by_server: Mapping[str, str], now: float
    ) -> tuple[decisions.MoveRequest, ...]:
        """Return the moves that are due, usually none."""
        interval_ms = now - self._planned_at
        if interval_ms < PLAN_INTERVAL_MS or not shard.ranges:
            return ()
        self._planned_at = now
        self._ranges.add(self._requests_by_start, interval_ms)
        self._keys.add(self._requests_by_key, interval_ms)
        self._requests_by_start, self._requests_by_key = {}, {}
        moves = ownership.plan_moves(
            range_map_of(shard),
            self._ranges.rate_by_name,
            self._keys.rate_by_name,
            data_centre_by_server,
            self._budget,
            now,
        )
        wanted = [
            move
            for move in moves
            if move.changes_owner and move.reason not in CONTROLLER_REASONS
        ]
        self._budget.spend(wanted, now)
        return tuple(part for move in wanted for part in _parts(move))


def range_map_of(shard: replay.Shard) -> ownership.RangeMap:
    """Return the range map that the log names."""
    return ownership.RangeMap(
        tuple(
            ownership.AssignedRange(item.start, item.end, item.servers)
            for item in shard.ranges
        ),
        shard.servers_by_key,
    )


def _parts(move: ownership.OwnershipMove) -> tuple[decisions.MoveRequest, ...]:
    ranges = [
        decisions.MoveRequest(item.start, item.end, "", move.target)
        for item in move.ranges
    ]
    singles = [_single(key, move.target) for key, _ in move.exceptions]
    removed = [_single(key, "") for key in move.removed_exceptions]
    return (*ranges, *singles, *removed)


def _single(key: str, target: str) -> decisions.MoveRequest:
    position = ownership.position_of_key(key)
    return decisions.MoveRequest(position, position + 1, key, target)
