"""Define the events that a shard controller processes and its decisions."""

from typing import Any, NamedTuple

from ..schema import messages_generated
from . import fencing, replay, server_lease


class ControllerTick(NamedTuple):
    """Let the controller act on timers that have expired."""


class PromiseReplied(NamedTuple):
    """Report the reply to a promise request."""

    reply: messages_generated.PromiseReply


class OwnershipReplied(NamedTuple):
    """Report the reply of a server, None if it refused the connection."""

    server: str
    command: server_lease.OwnershipCommand
    reply: server_lease.OwnershipReply | None


class LogRead(NamedTuple):
    """Report a successful read to the end of the control stream."""

    state: replay.ControlState


class ServersChanged(NamedTuple):
    """Report the servers of the service and which of them are leaving."""

    servers: tuple[str, ...]
    leaving: tuple[str, ...] = ()


class VmsChanged(NamedTuple):
    """Report the live entry VMs, preferred members of the promise group first."""

    vms: tuple[str, ...]


class MoveRequest(NamedTuple):
    """Request the move of a range or key; a key without target rejoins its range."""

    start: int
    end: int
    key: str
    target: str


class MovesRequested(NamedTuple):
    """Report moves that the balancer or an operator requests."""

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
    """Write an event of the event catalogue to the log."""

    number: int
    fields: dict[str, Any]


Decision = (
    SendPromiseRequest
    | SendOwnershipCommand
    | AppendRecords
    | PublishOwnerTable
    | EmitEvent
)
