"""Test the bus with undeclared senders, invalid payloads and lost replies."""

import socket
import threading
import types

import hypothesis
import hypothesis.strategies as st
import pytest
import zmq

from wasabivalve import peers

PROBE = {"vm": "a", "target": "c", "sequence": 7}


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def make_endpoint():
    public, secret = zmq.curve_keypair()
    return {
        "host": "127.0.0.1",
        "port": free_port(),
        "public_key": public.decode(),
        "secret_key": secret.decode(),
    }


def make_peer(vm, endpoint):
    address = {key: endpoint[key] for key in ("host", "port", "public_key")}
    return {"vm": vm, "data_centre": "d", **address}


@pytest.fixture
def endpoint_by_vm():
    return {vm: make_endpoint() for vm in ("a", "b", "undeclared")}


def make_bus(vm, endpoint_by_vm, on_message):
    declared = tuple(make_peer(name, endpoint_by_vm[name]) for name in ("a", "b"))
    options = peers.BusOptions(vm, endpoint_by_vm[vm], declared)
    return peers.Bus(options, on_message)


def answer_probe(incoming):
    alive = incoming.sender == "a"
    incoming.reply("probe_reply", {"target": "c", "sequence": 7, "alive": alive})


def request_until_connected(bus):
    """Repeat the request, because messages fail until the peer is connected."""
    for _ in range(500):
        future = bus.request("b", "probe", PROBE)
        try:
            return future.result(0.1)
        except TimeoutError:
            bus.cancel_request(future)
        except peers.PeerLostError:
            threading.Event().wait(0.02)
    return None


def test_request_receives_the_reply_of_the_authenticated_peer(endpoint_by_vm):
    first = make_bus("a", endpoint_by_vm, lambda incoming: None)
    second = make_bus("b", endpoint_by_vm, answer_probe)
    first.start()
    second.start()
    try:
        reply = request_until_connected(first)
        assert reply == {"target": "c", "sequence": 7, "alive": True}
    finally:
        first.close()
        second.close()


def test_requests_to_a_peer_that_closes_fail_at_once(endpoint_by_vm):
    """Otherwise requests would wait until the peer is suspected, which takes 1 s."""
    first = make_bus("a", endpoint_by_vm, lambda incoming: None)
    handlers = [answer_probe]
    second = make_bus("b", endpoint_by_vm, lambda incoming: handlers[0](incoming))
    first.start()
    second.start()
    try:
        assert request_until_connected(first)
        handlers[0] = lambda incoming: None
        future = first.request("b", "probe", PROBE)
        threading.Event().wait(0.1)
    finally:
        second.close()
    try:
        with pytest.raises(peers.PeerLostError):
            future.result(10)
        with pytest.raises(peers.PeerLostError):
            first.request("b", "probe", PROBE).result(10)
    finally:
        first.close()


def test_request_after_a_disconnection_is_not_given_to_the_socket(endpoint_by_vm):
    """The socket takes messages for a moment after a disconnection, and loses them."""
    first = make_bus("a", endpoint_by_vm, lambda incoming: None)
    second = make_bus("b", endpoint_by_vm, answer_probe)
    first.start()
    second.start()
    try:
        assert request_until_connected(first)
    finally:
        second.close()
    sender = first._sender_by_vm["b"]
    try:
        with pytest.raises(peers.PeerLostError):
            while True:
                first.request("b", "probe", PROBE).result(10)
        taking = types.SimpleNamespace(send_multipart=lambda *arguments: None)
        first._sender_by_vm["b"] = taking
        with pytest.raises(peers.PeerLostError):
            first.request("b", "probe", PROBE).result(5)
    finally:
        first._sender_by_vm["b"] = sender
        first.close()


def test_messages_of_an_undeclared_sender_are_rejected(endpoint_by_vm):
    """Otherwise any host on the network could send commands."""
    received = threading.Event()
    receiver = make_bus("b", endpoint_by_vm, lambda incoming: received.set())
    undeclared = make_bus("undeclared", endpoint_by_vm, lambda incoming: None)
    receiver.start()
    undeclared.start()
    try:
        for _ in range(5):
            undeclared.send("b", "probe", PROBE)
            assert not received.wait(0.05)
    finally:
        receiver.close()
        undeclared.close()


@hypothesis.given(st.sampled_from(sorted(peers.MESSAGE_TYPE_BY_KIND)), st.binary())
def test_invalid_payload_raises_no_error(kind, payload):
    """An invalid message must not raise on the thread of the bus."""
    peers.decode(kind, payload)


def test_unknown_kind_decodes_to_none():
    assert peers.decode("unheard-of", b"") is None
