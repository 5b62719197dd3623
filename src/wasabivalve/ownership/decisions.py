"""Define the events that a shard controller takes and the decisions it returns."""

from typing import Any, NamedTuple

from ..schema import messages_generated
from . import fencing, replay, server_lease


class ControllerTick(NamedTuple):
    """Report that time has passed."""


class PromiseReplied(NamedTuple):
    """Report the answer to a promise request."""

    reply: messages_generated.PromiseReply


class OwnershipReplied(NamedTuple):
    """Report the answer of a server, or None when it refused the connection."""

    server: str
    command: server_lease.OwnershipCommand
    reply: server_lease.OwnershipReply | None


class LogRead(NamedTuple):
    """Report a successful read to the end of the control stream."""

    state: replay.ControlState


class ServersChanged(NamedTuple):
    """Name the servers of the service and those of them that are leaving."""

    servers: tuple[str, ...]
    leaving: tuple[str, ...] = ()


class VmsChanged(NamedTuple):
    """Name the live entry VMs, the wanted members of the promise group first."""

    vms: tuple[str, ...]


class MoveRequest(NamedTuple):
    """Ask to move a range, or a single key; a key without target returns home."""

    start: int
    end: int
    key: str
    target: str


class MovesRequested(NamedTuple):
    """Report planned moves of the balancer or of an operator."""

    moves: tuple[MoveRequest, ...]


class GenerationReceived(NamedTuple):
    """Report the generation of an owner table that this VM received."""

    generation: fencing.FencingToken


Event = (
    ControllerTick
    | PromiseReplied
    | OwnershipReplied
    | LogRead
    | ServersChanged
    | VmsChanged
    | MovesRequested
    | GenerationReceived
)


class SendPromiseRequest(NamedTuple):
    """Send a promise request to a VM, which may be this one."""

    vm: str
    request: messages_generated.PromiseRequest


class SendOwnershipCommand(NamedTuple):
    """Send a command to a server."""

    server: str
    command: server_lease.OwnershipCommand


class AppendRecords(NamedTuple):
    """Append records to the control stream in one batch."""

    records: tuple[Any, ...]


class PublishOwnerTable(NamedTuple):
    """Send the owner table to all entry VMs, this one included."""

    table: messages_generated.OwnerTable


class EmitEvent(NamedTuple):
    """Write a log event of the catalogue."""

    number: int
    fields: dict[str, Any]


Decision = (
    SendPromiseRequest
    | SendOwnershipCommand
    | AppendRecords
    | PublishOwnerTable
    | EmitEvent
)
