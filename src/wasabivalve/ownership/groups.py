"""Build the records that change promise groups and start terms."""

from collections.abc import Sequence

from ..schema import records_generated
from . import replay

MAX_GROUP_SIZE = 5
# A term lists each VM several times, so that several takeovers need no log access.
POSITIONS_PER_VM = 4


def group_change(
    record_id: str,
    shard: str,
    state: replay.Shard,
    vm: str,
    vms: Sequence[str],
    endorsements: list[records_generated.Endorsement],
) -> records_generated.GroupChange | None:
    """Return the next change towards a full group of live VMs, None if none is due."""
    lost_vms = [name for name in state.group if name not in vms and name != vm]
    candidates = [name for name in vms if name not in state.group]
    added: list[str] = []
    removed: list[str] = []
    if not state.group:
        added = [vm]
    elif candidates and len(state.group) < MAX_GROUP_SIZE:
        added = candidates[:1]
    elif lost_vms and (candidates or len(state.group) > MAX_GROUP_SIZE):
        removed = lost_vms[:1]
    else:
        return None
    return {
        "kind": "group_change",
        "record_id": record_id,
        "shard": shard,
        "group_revision": state.group_revision,
        "add": added,
        "remove": removed,
        "endorsements": endorsements,
    }


def group_reset(
    record_id: str, shard: str, state: replay.Shard, vms: Sequence[str]
) -> records_generated.GroupReset:
    """Return the record that replaces a group that has lost its majority."""
    return {
        "kind": "group_reset",
        "record_id": record_id,
        "shard": shard,
        "group_revision": state.group_revision,
        "vms": list(vms[:MAX_GROUP_SIZE]),
    }


def has_lost_majority(state: replay.Shard, vms: Sequence[str]) -> bool:
    """Return whether less than a majority of the group is live."""
    live_members = [name for name in state.group if name in vms]
    return bool(state.group) and len(live_members) < state.majority


def controllers_of_new_term(
    state: replay.Shard, vm: str, vms: Sequence[str]
) -> list[str]:
    """Return the controllers of a new term in order of succession, this VM first."""
    members = [name for name in vms if name in state.group and name != vm]
    other_vms = [name for name in vms if name not in state.group]
    controllers = [vm, *members, *other_vms][:MAX_GROUP_SIZE]
    return controllers * POSITIONS_PER_VM


def term_claim(
    record_id: str,
    shard: str,
    state: replay.Shard,
    controllers: list[str],
    endorsements: list[records_generated.Endorsement],
    reset_is_over: bool,
) -> records_generated.TermClaim:
    """Return the record that starts a new term."""
    return {
        "kind": "term_claim",
        "record_id": record_id,
        "shard": shard,
        "previous_term": state.term,
        "group_revision": state.group_revision,
        "controllers": controllers,
        "endorsements": endorsements,
        "reset_is_over": reset_is_over,
    }
