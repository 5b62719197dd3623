"""Exchange messages with other entry VMs over CURVE-authenticated ZeroMQ sockets."""

import collections
import queue
import secrets
import socket
import threading
from collections.abc import Callable, Mapping
from concurrent import futures
from typing import Any, NamedTuple

import zmq
import zmq.auth
import zmq.auth.thread
import zmq.utils.monitor

from wasabivalve import events, supervision
from wasabivalve.schema import settings_generated

from . import codec

POLL_TIMEOUT_MS = 50
MAX_QUEUED_MESSAGES = 10_000
# Detects a TCP connection that went silent; ZeroMQ then opens a new one.
TRANSPORT_HEARTBEAT_MS = 300
TRANSPORT_TIMEOUT_MS = 900
MIN_RECONNECT_MS = 50
MAX_RECONNECT_MS = 500
_NO_CORRELATION = b""


class IncomingMessage(NamedTuple):
    """Hold one received message, its sender and a function that replies to it."""

    sender: str
    kind: str
    message: Any
    reply: Callable[[str, Mapping[str, Any]], None]


class BusOptions(NamedTuple):
    """Hold the name, endpoint and keys of this VM and its peers."""

    vm: str
    endpoint: settings_generated.PeerEndpoint
    peers: tuple[settings_generated.Peer, ...]


class _Outgoing(NamedTuple):
    peer: str
    frames: tuple[bytes, bytes, bytes, bytes]


class _Pending(NamedTuple):
    peer: str
    future: futures.Future[Any]


class PeerLostError(Exception):
    """Report that the peer of a pending request is suspected or unreachable."""


class _DeclaredKeys:
    """Accept the CURVE keys of the declared peers only."""

    def __init__(self, keys: frozenset[bytes]):
        self._keys = keys

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether the key belongs to a declared peer."""
        return key in self._keys


class Bus:
    """Send messages to peers and pass received ones to ``on_message``.

    ``on_message`` runs on the thread of the bus and must not block.
    """

    def __init__(
        self,
        options: BusOptions,
        on_message: Callable[[IncomingMessage], None],
        on_drop: Callable[[], None] = lambda: None,
    ):
        self._options = options
        self._on_message = on_message
        self._on_drop = on_drop
        self._outgoing: queue.SimpleQueue[_Outgoing] = queue.SimpleQueue()
        self._pending_by_id: dict[bytes, _Pending] = {}
        self._vm_by_key = {peer["public_key"]: peer["vm"] for peer in options.peers}
        self._vm_by_key[options.endpoint["public_key"]] = options.vm
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._closing = threading.Event()
        self._connected_vms: set[str] = set()
        self._thread = threading.Thread(target=self._run, name="peer-bus", daemon=True)
        self.bytes_sent_by_kind: collections.Counter[str] = collections.Counter()
        self.messages_dropped = 0

    def start(self) -> None:
        """Bind the socket and start the thread; raise ZMQError when it cannot bind."""
        self._context = zmq.Context()
        self._authenticator = zmq.auth.thread.ThreadAuthenticator(self._context)
        self._authenticator.start()
        keys = frozenset(key.encode() for key in self._vm_by_key)
        self._authenticator.configure_curve_callback(
            credentials_provider=_DeclaredKeys(keys)
        )
        self._receiver = self._open_receiver()
        self._sender_by_vm = {
            peer["vm"]: self._open_sender(peer)
            for peer in self._options.peers
            if peer["vm"] != self._options.vm
        }
        self._peer_by_monitor = {
            sender.get_monitor_socket(
                zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
            ): vm
            for vm, sender in self._sender_by_vm.items()
        }
        self._thread.start()

    def close(self) -> None:
        """Stop the thread and close every socket."""
        self._closing.set()
        self._wake_thread()
        self._thread.join()
        for sender in self._sender_by_vm.values():
            sender.disable_monitor()
            sender.close(linger=0)
        # An open monitor socket would block the termination of the context.
        for monitor in self._peer_by_monitor:
            monitor.close(linger=0)
        self._receiver.close(linger=0)
        self._authenticator.stop()
        self._context.term()
        self._wake_reader.close()
        self._wake_writer.close()

    def send(self, peer: str, kind: str, message: Mapping[str, Any]) -> None:
        """Queue a message without waiting; it may be lost."""
        self._enqueue(peer, kind, _NO_CORRELATION, _NO_CORRELATION, message)

    def broadcast(self, kind: str, message: Mapping[str, Any]) -> None:
        """Queue a message to every other VM."""
        for peer in self._options.peers:
            if peer["vm"] != self._options.vm:
                self.send(peer["vm"], kind, message)

    def request(
        self, peer: str, kind: str, message: Mapping[str, Any]
    ) -> futures.Future[Any]:
        """Queue a message and return a future of the reply.

        The future does not complete if the peer does not reply: wait for it with a
        timeout and then call ``cancel_request``.
        """
        correlation_id = secrets.token_bytes(8)
        future: futures.Future[Any] = futures.Future()
        self._pending_by_id[correlation_id] = _Pending(peer, future)
        future.add_done_callback(
            lambda _: self._pending_by_id.pop(correlation_id, None)
        )
        self._enqueue(peer, kind, correlation_id, _NO_CORRELATION, message)
        return future

    @staticmethod
    def cancel_request(future: futures.Future[Any]) -> None:
        """Discard a request whose reply is no longer awaited."""
        future.cancel()

    def fail_pending(self, peer: str) -> None:
        """Fail the pending requests to a peer with ``PeerLostError``."""
        for correlation_id, pending in list(self._pending_by_id.items()):
            if pending.peer == peer:
                self._fail_request(correlation_id, peer)

    def _fail_request(self, correlation_id: bytes, peer: str) -> None:
        future = self._pop_pending(correlation_id)
        if future is not None:
            future.set_exception(PeerLostError(peer))

    def _enqueue(
        self,
        peer: str,
        kind: str,
        correlation_id: bytes,
        reply_to: bytes,
        message: Mapping[str, Any],
    ) -> None:
        payload = codec.encode(kind, message)
        frames = (kind.encode(), correlation_id, reply_to, payload)
        self._outgoing.put(_Outgoing(peer, frames))
        self._wake_thread()

    def _wake_thread(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except (BlockingIOError, OSError):
            # A full buffer holds an earlier signal, which wakes the thread as well.
            pass

    def _open_receiver(self) -> zmq.Socket[bytes]:
        endpoint = self._options.endpoint
        receiver = self._context.socket(zmq.ROUTER)
        receiver.curve_server = True
        receiver.curve_secretkey = endpoint["secret_key"].encode()
        receiver.curve_publickey = endpoint["public_key"].encode()
        receiver.rcvhwm = MAX_QUEUED_MESSAGES
        receiver.heartbeat_ivl = TRANSPORT_HEARTBEAT_MS
        receiver.heartbeat_timeout = TRANSPORT_TIMEOUT_MS
        receiver.bind(f"tcp://{endpoint['host']}:{endpoint['port']}")
        return receiver

    def _open_sender(self, peer: settings_generated.Peer) -> zmq.Socket[bytes]:
        endpoint = self._options.endpoint
        sender = self._context.socket(zmq.DEALER)
        sender.curve_serverkey = peer["public_key"].encode()
        sender.curve_secretkey = endpoint["secret_key"].encode()
        sender.curve_publickey = endpoint["public_key"].encode()
        sender.sndhwm = MAX_QUEUED_MESSAGES
        # Without a connection, refuse messages: a delayed one would be stale.
        sender.immediate = 1
        sender.heartbeat_ivl = TRANSPORT_HEARTBEAT_MS
        sender.heartbeat_timeout = TRANSPORT_TIMEOUT_MS
        sender.reconnect_ivl = MIN_RECONNECT_MS
        sender.reconnect_ivl_max = MAX_RECONNECT_MS
        sender.connect(f"tcp://{peer['host']}:{peer['port']}")
        return sender

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._receiver, zmq.POLLIN)
        poller.register(self._wake_reader, zmq.POLLIN)
        for monitor in self._peer_by_monitor:
            poller.register(monitor, zmq.POLLIN)

        def step() -> None:
            ready = dict(poller.poll(POLL_TIMEOUT_MS))
            self._handle_connection_events(ready)
            self._drain_wake_signals()
            self._send_queued()
            self._receive_queued()

        supervision.run_steps("peer bus", step, self._closing)

    def _handle_connection_events(self, ready: Mapping[Any, int]) -> None:
        """Fail the requests to peers whose connection closed; none can be answered."""
        for monitor, vm in self._peer_by_monitor.items():
            if monitor not in ready:
                continue
            event = zmq.utils.monitor.recv_monitor_message(monitor)["event"]
            if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
                self._connected_vms.add(vm)
            else:
                self._connected_vms.discard(vm)
                self.fail_pending(vm)

    def _drain_wake_signals(self) -> None:
        try:
            while self._wake_reader.recv(4096):
                pass
        except BlockingIOError:
            pass

    def _send_queued(self) -> None:
        while True:
            try:
                outgoing = self._outgoing.get_nowait()
            except queue.Empty:
                return
            self._send_message(outgoing)

    def _send_message(self, outgoing: _Outgoing) -> None:
        if outgoing.peer == self._options.vm:
            self._handle(outgoing.peer, outgoing.frames)
            return
        sender = self._sender_by_vm.get(outgoing.peer)
        if sender is None:
            self._drop("unknown peer", outgoing.peer)
            return
        if outgoing.peer not in self._connected_vms:
            # The socket still takes messages for a moment after a disconnection, and
            # loses them.
            self._fail_request(outgoing.frames[1], outgoing.peer)
            return
        try:
            sender.send_multipart(outgoing.frames, zmq.NOBLOCK)
        except zmq.Again:
            # The queue of the connection is full.
            self._fail_request(outgoing.frames[1], outgoing.peer)
            return
        size = sum(len(frame) for frame in outgoing.frames)
        self.bytes_sent_by_kind[outgoing.frames[0].decode()] += size

    def _receive_queued(self) -> None:
        while True:
            try:
                frames = self._receiver.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                return
            # The key that the connection authenticated identifies the peer; a name in
            # the message would not be trustworthy.
            key = frames[-1].get("User-Id")
            sender = self._vm_by_key.get(str(key))
            contents = tuple(frame.bytes for frame in frames[1:])
            if sender is None or len(contents) != 4:
                self._drop("unknown sender or wrong number of frames", str(key))
                continue
            self._handle(sender, contents)

    def _handle(self, sender: str, frames: tuple[bytes, ...]) -> None:
        kind_frame, correlation_id, reply_to, payload = frames
        kind = kind_frame.decode("ascii", errors="replace")
        message = codec.decode(kind, payload)
        if message is None:
            self._drop("unknown kind or invalid payload", sender)
            return
        if reply_to:
            self._complete_request(reply_to, message)
            return

        def reply(reply_kind: str, reply_message: Mapping[str, Any]) -> None:
            if correlation_id:
                self._enqueue(
                    sender, reply_kind, _NO_CORRELATION, correlation_id, reply_message
                )
            else:
                self.send(sender, reply_kind, reply_message)

        try:
            self._on_message(IncomingMessage(sender, kind, message, reply))
        except Exception as error:
            events.emit(5, error=repr(error), kind=kind, sender=sender)

    def _complete_request(self, correlation_id: bytes, message: Any) -> None:
        future = self._pop_pending(correlation_id)
        if future is not None:
            future.set_result(message)

    def _pop_pending(self, correlation_id: bytes) -> futures.Future[Any] | None:
        # Only the thread that removes the entry may complete the future.
        pending = self._pending_by_id.pop(correlation_id, None)
        if pending is None or not pending.future.set_running_or_notify_cancel():
            return None
        return pending.future

    def _drop(self, reason: str, sender: str) -> None:
        self.messages_dropped += 1
        self._on_drop()
        events.emit(100, reason=reason, sender=sender)
