"""Plan ownership moves of one shard from the load that all entry VMs report."""

from collections.abc import Mapping

from wasabivalve import ownership
from wasabivalve.ownership import decisions, replay
from wasabivalve.schema import messages_generated

REPORT_INTERVAL_MS = 5_000.0
PLAN_INTERVAL_MS = 10_000.0
# The load of ranges changes slowly; the hottest keys change within minutes.
RANGE_HALF_LIFE_MS = 60_000.0
KEY_HALF_LIFE_MS = 20_000.0
MOVES_PER_MINUTE = 6
# The controller itself reassigns the ranges of lost servers to their successors.
CONTROLLER_MOVE_REASONS = frozenset({"loss", "successors"})


class ShardBalancer:
    """Accumulate the reported load of one shard; times in monotonic ms."""

    def __init__(self, now: float) -> None:
        self._planned_at = now
        self._requests_by_start: dict[int, float] = {}
        self._requests_by_key: dict[str, float] = {}
        self._range_load = ownership.LoadMeter[int](RANGE_HALF_LIFE_MS)
        self._key_load = ownership.LoadMeter[str](KEY_HALF_LIFE_MS)
        self._budget = ownership.MoveBudget(MOVES_PER_MINUTE)

    def on_report(self, report: messages_generated.LoadReport) -> None:
        """Add the load report of one VM."""
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
        """Return the moves to request now, an empty tuple in most calls."""
        interval_ms = now - self._planned_at
        if interval_ms < PLAN_INTERVAL_MS or not shard.ranges:
            return ()
        self._planned_at = now
        self._range_load.add(self._requests_by_start, interval_ms)
        self._key_load.add(self._requests_by_key, interval_ms)
        self._requests_by_start, self._requests_by_key = {}, {}
        moves = ownership.plan_moves(
            range_map_of(shard),
            self._range_load.rate_by_name,
            self._key_load.rate_by_name,
            data_centre_by_server,
            self._budget,
            now,
        )
        accepted_moves = [
            move
            for move in moves
            if move.changes_owner and move.reason not in CONTROLLER_MOVE_REASONS
        ]
        self._budget.spend(accepted_moves, now)
        return tuple(
            request for move in accepted_moves for request in _requests_of_move(move)
        )


def range_map_of(shard: replay.Shard) -> ownership.RangeMap:
    """Return the range map of the state that was replayed from the log."""
    return ownership.RangeMap(
        tuple(
            ownership.PositionRange(
                assigned_range.start, assigned_range.end, assigned_range.servers
            )
            for assigned_range in shard.ranges
        ),
        shard.servers_by_key,
    )


def _requests_of_move(
    move: ownership.OwnershipMove,
) -> tuple[decisions.MoveRequest, ...]:
    range_moves = [
        decisions.MoveRequest(assigned_range.start, assigned_range.end, "", move.target)
        for assigned_range in move.ranges
    ]
    key_moves = [_request_key_move(key, move.target) for key, _ in move.exceptions]
    key_removals = [_request_key_move(key, "") for key in move.removed_exceptions]
    return (*range_moves, *key_moves, *key_removals)


def _request_key_move(key: str, target: str) -> decisions.MoveRequest:
    position = ownership.position_of_key(key)
    return decisions.MoveRequest(position, position + 1, key, target)
