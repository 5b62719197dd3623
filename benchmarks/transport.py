"""Measure bytes on the wire and processor time of one message between VMs."""

import json
import socket
import threading
import time

import messages
import msgspec
import urllib3
import zmq

BUS_MESSAGES = 2000
PACED_MESSAGES = 300
PACED_INTERVAL_S = 0.005
RENEWALS = 500
# IP and TCP headers with timestamps, of the segment and of its acknowledgement.
SEGMENT_BYTES = 52
Row = tuple[str, float, str, str]


def measure() -> list[Row]:
    """Return the slopes of the peer bus and of lease renewal."""
    return [*_bus(), *_renewal()]


class _Forwarder:
    """Pass bytes between two sockets and count them by direction."""

    def __init__(self, target: int):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.target = target
        self.sent = [0, 0]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        client, _ = self.listener.accept()
        upstream = socket.create_connection(("127.0.0.1", self.target))
        for index, (source, sink) in enumerate(
            [(client, upstream), (upstream, client)]
        ):
            threading.Thread(
                target=self._copy, args=(index, source, sink), daemon=True
            ).start()

    def _copy(self, index: int, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                self.sent[index] += len(data)
                sink.sendall(data)
        except OSError:
            # The other direction has closed both sockets.
            return
        sink.close()


def _pair(
    context: zmq.Context, through_forwarder: bool
) -> tuple[zmq.Socket, zmq.Socket, _Forwarder | None]:
    public, secret = zmq.curve_keypair()
    receiver = context.socket(zmq.ROUTER)
    receiver.curve_server = True
    receiver.curve_publickey, receiver.curve_secretkey = public, secret
    port = receiver.bind_to_random_port("tcp://127.0.0.1")
    forwarder = _Forwarder(port) if through_forwarder else None
    sender = context.socket(zmq.DEALER)
    sender.curve_publickey, sender.curve_secretkey = zmq.curve_keypair()
    sender.curve_serverkey = public
    sender.connect(f"tcp://127.0.0.1:{forwarder.port if forwarder else port}")
    return sender, receiver, forwarder


def _exchange(sender: zmq.Socket, receiver: zmq.Socket, payload: bytes) -> None:
    sender.send_multipart([b"heartbeat", payload])
    receiver.recv_multipart()


def _bus() -> list[Row]:
    payload = msgspec.msgpack.encode(messages.SAMPLES["heartbeat"][1])
    context = zmq.Context()
    sender, receiver, _ = _pair(context, False)
    _exchange(sender, receiver, payload)
    started = time.process_time()
    for _ in range(BUS_MESSAGES):
        sender.send_multipart([b"heartbeat", payload])
    for _ in range(BUS_MESSAGES):
        receiver.recv_multipart()
    burst = 1e6 * (time.process_time() - started) / BUS_MESSAGES
    started = time.process_time()
    for _ in range(PACED_MESSAGES):
        _exchange(sender, receiver, payload)
        time.sleep(PACED_INTERVAL_S)
    paced = 1e6 * (time.process_time() - started) / PACED_MESSAGES
    sender.close(0)
    receiver.close(0)
    sender, receiver, forwarder = _pair(context, True)
    assert forwarder is not None
    _exchange(sender, receiver, payload)
    before = forwarder.sent[0]
    for _ in range(100):
        _exchange(sender, receiver, payload)
    framing = (forwarder.sent[0] - before) / 100 - len(payload)
    sender.close(0)
    receiver.close(0)
    context.term()
    how = "pyzmq DEALER to ROUTER with CURVE, both ends in this process"
    return [
        ("bus_message_burst", burst, "us", f"{how}, sent in a burst"),
        ("bus_message_paced", paced, "us", f"{how}, one each {PACED_INTERVAL_S} s"),
        ("bus_framing_bytes", framing, "B", "bytes of a frame pair beyond the payload"),
        (
            "segment_bytes",
            2 * SEGMENT_BYTES,
            "B",
            "not measured: TCP/IP headers of a segment and its acknowledgement",
        ),
    ]


def _renewal() -> list[Row]:
    body = json.dumps(
        {
            "action": "renew",
            "shard": messages.SHARD,
            "token": list(messages.TOKEN.values()),
            "stamp": 1_234_567_890.123,
            "ranges": [],
        }
    ).encode()
    answer = json.dumps(
        {
            "accepted": True,
            "stamp": 1_234_567_890.123,
            "highest_token": list(messages.TOKEN.values()),
            "held": [],
        }
    ).encode()
    reply = (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
        + str(len(answer)).encode()
        + b"\r\n\r\n"
        + answer
    )
    listener = socket.create_server(("127.0.0.1", 0))
    received = [0]
    threading.Thread(
        target=_answer_all, args=(listener, reply, len(body), received), daemon=True
    ).start()
    port = listener.getsockname()[1]
    pool = urllib3.HTTPConnectionPool("127.0.0.1", port, maxsize=1)
    headers = {"Content-Type": "application/json"}
    pool.urlopen("POST", "/ownership", body=body, headers=headers)
    received[0] = 0
    started = time.thread_time()
    for _ in range(RENEWALS):
        json.loads(pool.urlopen("POST", "/ownership", body=body, headers=headers).data)
    cost = 1e6 * (time.thread_time() - started) / RENEWALS
    pool.close()
    listener.close()
    return [
        ("renewal_cost", cost, "us", "urllib3 POST and JSON reply, controller's side"),
        ("renewal_request_bytes", received[0] / RENEWALS, "B", "head and body"),
        ("renewal_reply_bytes", len(reply), "B", "head and body, nothing held"),
    ]


def _answer_all(
    listener: socket.socket, reply: bytes, body_bytes: int, received: list[int]
) -> None:
    connection, _ = listener.accept()
    pending = b""
    while data := connection.recv(65536):
        received[0] += len(data)
        pending += data
        _, separator, rest = pending.partition(b"\r\n\r\n")
        if separator and len(rest) >= body_bytes:
            pending = b""
            connection.sendall(reply)
