"""Measure bytes on the wire and processor time of one message between VMs."""

import json
import socket
import threading
import time

import messages
import msgspec
import urllib3
import zmq

BURST_MESSAGE_COUNT = 2000
PACED_MESSAGE_COUNT = 300
PACED_INTERVAL_S = 0.005
RENEWAL_COUNT = 500
# IP and TCP headers with timestamps, of a segment and equally of its acknowledgement.
SEGMENT_HEADER_BYTES = 52
ParameterRow = tuple[str, float, str, str]


def measure() -> list[ParameterRow]:
    """Return the cost parameters of the peer bus and of lease renewal."""
    return [*_measure_bus(), *_measure_renewal()]


class _CountingForwarder:
    """Forward one TCP connection and count the bytes of each direction."""

    def __init__(self, target_port: int):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.target_port = target_port
        self.sent_bytes_by_direction = [0, 0]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        client, _ = self.listener.accept()
        upstream = socket.create_connection(("127.0.0.1", self.target_port))
        for direction, (source, sink) in enumerate(
            [(client, upstream), (upstream, client)]
        ):
            threading.Thread(
                target=self._copy, args=(direction, source, sink), daemon=True
            ).start()

    def _copy(self, direction: int, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                self.sent_bytes_by_direction[direction] += len(data)
                sink.sendall(data)
        except OSError:
            # The other direction has closed both sockets.
            return
        sink.close()


def _connect_pair(
    context: zmq.Context, through_forwarder: bool
) -> tuple[zmq.Socket, zmq.Socket, _CountingForwarder | None]:
    public, secret = zmq.curve_keypair()
    receiver = context.socket(zmq.ROUTER)
    receiver.curve_server = True
    receiver.curve_publickey, receiver.curve_secretkey = public, secret
    port = receiver.bind_to_random_port("tcp://127.0.0.1")
    forwarder = _CountingForwarder(port) if through_forwarder else None
    sender = context.socket(zmq.DEALER)
    sender.curve_publickey, sender.curve_secretkey = zmq.curve_keypair()
    sender.curve_serverkey = public
    sender.connect(f"tcp://127.0.0.1:{forwarder.port if forwarder else port}")
    return sender, receiver, forwarder


def _send_and_receive(sender: zmq.Socket, receiver: zmq.Socket, payload: bytes) -> None:
    sender.send_multipart([b"heartbeat", payload])
    receiver.recv_multipart()


def _measure_bus() -> list[ParameterRow]:
    payload = msgspec.msgpack.encode(messages.SAMPLE_BY_NAME["heartbeat"][1])
    context = zmq.Context()
    sender, receiver, _ = _connect_pair(context, False)
    _send_and_receive(sender, receiver, payload)
    started = time.process_time()
    for _ in range(BURST_MESSAGE_COUNT):
        sender.send_multipart([b"heartbeat", payload])
    for _ in range(BURST_MESSAGE_COUNT):
        receiver.recv_multipart()
    burst_us = 1e6 * (time.process_time() - started) / BURST_MESSAGE_COUNT
    started = time.process_time()
    for _ in range(PACED_MESSAGE_COUNT):
        _send_and_receive(sender, receiver, payload)
        time.sleep(PACED_INTERVAL_S)
    paced_us = 1e6 * (time.process_time() - started) / PACED_MESSAGE_COUNT
    sender.close(0)
    receiver.close(0)
    sender, receiver, forwarder = _connect_pair(context, True)
    assert forwarder is not None
    _send_and_receive(sender, receiver, payload)
    bytes_before = forwarder.sent_bytes_by_direction[0]
    for _ in range(100):
        _send_and_receive(sender, receiver, payload)
    framing_bytes = (forwarder.sent_bytes_by_direction[0] - bytes_before) / 100 - len(
        payload
    )
    sender.close(0)
    receiver.close(0)
    context.term()
    how = "pyzmq DEALER to ROUTER with CURVE, both ends in this process"
    return [
        ("bus_message_burst", burst_us, "us", f"{how}, sent in a burst"),
        ("bus_message_paced", paced_us, "us", f"{how}, one each {PACED_INTERVAL_S} s"),
        (
            "bus_framing_bytes",
            framing_bytes,
            "B",
            "bytes of a frame pair beyond the payload",
        ),
        (
            "segment_bytes",
            2 * SEGMENT_HEADER_BYTES,
            "B",
            "not measured: TCP/IP headers of a segment and its acknowledgement",
        ),
    ]


def _measure_renewal() -> list[ParameterRow]:
    body = json.dumps(
        {
            "action": "renew",
            "shard": messages.SHARD,
            "token": list(messages.TOKEN.values()),
            "stamp": 1_234_567_890.123,
            "ranges": [],
        }
    ).encode()
    reply_body = json.dumps(
        {
            "accepted": True,
            "stamp": 1_234_567_890.123,
            "highest_token": list(messages.TOKEN.values()),
            "held": [],
        }
    ).encode()
    reply = (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
        + str(len(reply_body)).encode()
        + b"\r\n\r\n"
        + reply_body
    )
    listener = socket.create_server(("127.0.0.1", 0))
    received_bytes = [0]
    threading.Thread(
        target=_serve_replies,
        args=(listener, reply, len(body), received_bytes),
        daemon=True,
    ).start()
    port = listener.getsockname()[1]
    pool = urllib3.HTTPConnectionPool("127.0.0.1", port, maxsize=1)
    headers = {"Content-Type": "application/json"}
    pool.urlopen("POST", "/ownership", body=body, headers=headers)
    received_bytes[0] = 0
    started = time.thread_time()
    for _ in range(RENEWAL_COUNT):
        json.loads(pool.urlopen("POST", "/ownership", body=body, headers=headers).data)
    call_time_us = 1e6 * (time.thread_time() - started) / RENEWAL_COUNT
    pool.close()
    listener.close()
    return [
        (
            "renewal_cost",
            call_time_us,
            "us",
            "urllib3 POST and JSON reply, controller's side",
        ),
        (
            "renewal_request_bytes",
            received_bytes[0] / RENEWAL_COUNT,
            "B",
            "head and body",
        ),
        ("renewal_reply_bytes", len(reply), "B", "head and body, nothing held"),
    ]


def _serve_replies(
    listener: socket.socket, reply: bytes, body_bytes: int, received_bytes: list[int]
) -> None:
    connection, _ = listener.accept()
    pending = b""
    while data := connection.recv(65536):
        received_bytes[0] += len(data)
        pending += data
        _, separator, request_body = pending.partition(b"\r\n\r\n")
        if separator and len(request_body) >= body_bytes:
            pending = b""
            connection.sendall(reply)
