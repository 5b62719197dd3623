"""Stop an entry process while a consumer still reads an answer that it has sent."""

import asyncio
import pathlib
import signal
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import harness  # noqa: E402

BODY_BYTES = 480_000
READ_BYTES_PER_S = 90_000
STOP_AFTER_S = 0.5
TIME_LIMIT_S = 6.0


async def serve(instance, request, writer):
    """Answer at once, with a length."""
    body = b"0123456789abcdef" * (BODY_BYTES // 16)
    writer.write(instance.answer(request, body=body))
    await writer.drain()
    return True


async def connect(machine):
    """Connect as a consumer far away does: small segments and a small window."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
    await loop.sock_connect(sock, (machine.ip, machine.port))
    return sock


async def read_slowly(sock):
    """Return what comes until the answer is whole, its head, and the time."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    head, body = b"", b""
    while len(body) < BODY_BYTES:
        try:
            piece = await loop.sock_recv(sock, 2_000)
        except ConnectionError as error:
            return head, body, loop.time() - started_at, f"reset ({error})"
        if not piece:
            return head, body, loop.time() - started_at, "closed"
        body += piece
        if not head and b"\r\n\r\n" in body:
            head, _, body = body.partition(b"\r\n\r\n")
        await asyncio.sleep(len(piece) / READ_BYTES_PER_S)
    return head, body, loop.time() - started_at, "complete"


async def play(record, scratch, machines):
    """Send one request and stop the machine while the consumer reads the answer."""
    store = harness.Store()
    await store.start()
    routes = [("packs", "download", "mapshelf", 6)]
    store.put("keyed.op", "config", harness.desired_state(1, routes, ["mapshelf"]))
    instance = harness.Instance("i-12a", "mapshelf", "khomas-a", record, serve)
    await instance.start(store)
    machines += [
        harness.Machine(f"front-{n}", "khomas-a", store.port, scratch, record)
        for n in (1, 2)
    ]
    for machine in machines:
        machine.start()
        await machine.wait_ready()
        # The first one leads; the case stops the other one.
        await asyncio.sleep(5.0)
    machine = machines[1]
    sock = await connect(machine)
    head = (
        "GET /packs/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: r1\r\n"
        f"Deadline-Ms: {TIME_LIMIT_S * 1000:.0f}\r\n\r\n"
    )
    record.add(f"consumer sends r1, with {TIME_LIMIT_S * 1000:.0f} ms")
    await asyncio.get_running_loop().sock_sendall(sock, head.encode())
    reading = asyncio.create_task(read_slowly(sock))
    await asyncio.sleep(STOP_AFTER_S)
    if harness.TROUBLE:
        machine.send_signal(signal.SIGTERM)
        stopped = asyncio.create_task(asyncio.to_thread(machine.process.wait, 20))
        stopped.add_done_callback(lambda _: record.add("the process has ended"))
    answer_head, body, took_s, end = await reading
    sock.close()
    for line in answer_head.decode("latin-1").split("\r\n"):
        record.add(f"consumer got: {line}")
    record.add(
        f"consumer got {len(body)} of {BODY_BYTES} bytes, then: {end}, "
        f"{took_s:.2f} s after the request; ran: {instance.runs}"
    )
    if not instance.runs or not answer_head.startswith(b"HTTP/1.1 200"):
        return harness.NOT_RUN, "no answer began"
    if end == "complete":
        return harness.HELD, "the whole answer came"
    if took_s >= TIME_LIMIT_S:
        return harness.NOT_RUN, "the consumer's time limit was reached"
    return harness.BROKEN, "LOST: a stop cut an answer off"


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, play))
