"""Reach the log directly, through a peer, or read a peer's copy of it."""

import threading
from collections.abc import Callable, Sequence
from concurrent import futures
from typing import Any, NamedTuple

import msgspec

from wasabivalve import peers, platform_log
from wasabivalve.schema import messages_generated

RELAY_TIMEOUT_MS = 1_500.0
RELAY_THREADS = 4
MAX_RELAY_PEERS = 3
# A relayed read returns at once: a long poll would hold a thread of the peer.
MAX_RELAYED_RECORDS = 500
MAX_COPIED_RECORDS = 50_000

AppendResult = (
    platform_log.Appended | platform_log.AppendUnknown | platform_log.LogUnavailable
)
ReadResult = platform_log.ReadBatch | platform_log.Gap | platform_log.LogUnavailable


class SourcedRead(NamedTuple):
    """Carry a read and whether the log itself answered it, not a peer's copy."""

    result: ReadResult
    from_log: bool


class StreamCopy:
    """Hold the newest records of one stream; safe to use from threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: list[platform_log.LoggedRecord] = []
        self._next_offset: int | None = None
        self._oldest_offset = 0

    def add(self, batch: platform_log.ReadBatch) -> None:
        """Add a batch; one that leaves a gap replaces the copy."""
        with self._lock:
            first = batch.records[0].offset if batch.records else batch.next_offset
            if self._next_offset is None or first > self._next_offset:
                self._records.clear()
                self._oldest_offset = first
            known = self._next_offset if self._records else first
            self._records += [
                row for row in batch.records if known is None or row.offset >= known
            ]
            self._next_offset = max(self._next_offset or 0, batch.next_offset)
            surplus = len(self._records) - MAX_COPIED_RECORDS
            if surplus > 0:
                del self._records[:surplus]
                self._oldest_offset = self._records[0].offset

    def read(self, offset: int, limit: int) -> ReadResult:
        """Read from the copy, which ends where this VM has read."""
        with self._lock:
            if self._next_offset is None:
                return platform_log.LogUnavailable("no copy of the stream")
            if offset < self._oldest_offset:
                return platform_log.Gap(self._oldest_offset)
            rows = tuple(row for row in self._records if row.offset >= offset)[:limit]
            next_offset = rows[-1].offset + 1 if rows else max(offset, 0)
            return platform_log.ReadBatch(rows, next_offset, self._oldest_offset)


class RelayingLogClient:
    """Read and append directly, or through peers while that fails.

    It has the methods of ``platform_log.LogClient`` that readers and appenders use.
    """

    def __init__(
        self,
        client: platform_log.LogClient,
        bus: peers.Bus,
        live_peers: Callable[[], Sequence[str]],
        streams: Sequence[str],
    ):
        self._client = client
        self._bus = bus
        self._live_peers = live_peers
        self._copy_by_stream = {stream: StreamCopy() for stream in streams}
        self._executor = futures.ThreadPoolExecutor(RELAY_THREADS, "log-relay")

    def close(self) -> None:
        """Stop serving relayed calls."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def append(self, stream: str, records: Sequence[dict[str, Any]]) -> AppendResult:
        """Append directly, or through a peer when nothing was appended directly."""
        result = self._client.append(stream, records)
        if not isinstance(result, platform_log.LogUnavailable) or result.rejected:
            return result
        body = msgspec.json.encode(list(records))
        for peer in self._live_peers()[:MAX_RELAY_PEERS]:
            relayed = self._relay(peer, stream, -1, body)
            if relayed is None:
                # The peer may have appended before its reply was lost.
                return platform_log.AppendUnknown(f"relay by {peer} did not reply")
            if relayed["outcome"] == "appended":
                return platform_log.Appended(int(relayed["payload"]))
            if relayed["outcome"] == "append_unknown":
                return platform_log.AppendUnknown(f"relay by {peer} lost the reply")
        return result

    def read(
        self, stream: str, offset: int, wait_ms: float = 0.0, limit: int = 1000
    ) -> ReadResult:
        """Read from the log, directly or through a peer."""
        sourced = self.read_log_or_copy(stream, offset, wait_ms, limit)
        if sourced.from_log:
            return sourced.result
        return platform_log.LogUnavailable("only a copy of the stream is available")

    def read_log_or_copy(
        self, stream: str, offset: int, wait_ms: float = 0.0, limit: int = 1000
    ) -> SourcedRead:
        """Read from the log or a peer's copy; keep what was read for other VMs."""
        result = self._client.read(stream, offset, wait_ms, limit)
        sourced = SourcedRead(result, True)
        if isinstance(result, platform_log.LogUnavailable):
            sourced = self._read_through_peers(stream, offset) or SourcedRead(
                result, False
            )
        if isinstance(sourced.result, platform_log.ReadBatch):
            copy = self._copy_by_stream.get(stream)
            if copy is not None:
                copy.add(sourced.result)
        return sourced

    def serve(self, incoming: peers.IncomingMessage) -> None:
        """Answer a relayed call of a peer on another thread."""
        try:
            self._executor.submit(self._serve, incoming)
        except RuntimeError:
            # The executor is shut down: the process stops.
            return

    def _read_through_peers(self, stream: str, offset: int) -> SourcedRead | None:
        copied = None
        for peer in self._live_peers()[:MAX_RELAY_PEERS]:
            reply = self._relay(peer, stream, offset, b"")
            if reply is None or reply["outcome"] == "unavailable":
                continue
            if reply["outcome"] == "gap":
                result: ReadResult | None = platform_log.Gap(int(reply["payload"]))
            else:
                result = _decode_batch(reply["payload"])
            if result is not None and reply["outcome"] == "batch":
                return SourcedRead(result, True)
            if result is not None:
                copied = copied or SourcedRead(result, False)
        return copied

    def _relay(
        self, peer: str, stream: str, offset: int, body: bytes
    ) -> messages_generated.LogRelayReply | None:
        request: messages_generated.LogRelayRequest = {
            "request_id": "",
            "stream": stream,
            "offset": offset,
            "records": body,
        }
        future = self._bus.request(peer, "log_relay_request", request)
        try:
            reply: messages_generated.LogRelayReply = future.result(
                RELAY_TIMEOUT_MS / 1000
            )
        except (futures.TimeoutError, peers.PeerLostError):
            self._bus.cancel_request(future)
            return None
        return reply

    def _serve(self, incoming: peers.IncomingMessage) -> None:
        request: messages_generated.LogRelayRequest = incoming.message
        if request["stream"] not in self._copy_by_stream:
            outcome, payload = "unavailable", b"unknown stream"
        elif request["records"]:
            outcome, payload = self._serve_append(request)
        else:
            outcome, payload = self._serve_read(request)
        reply: messages_generated.LogRelayReply = {
            "request_id": request["request_id"],
            "outcome": outcome,
            "payload": payload,
        }
        incoming.reply("log_relay_reply", reply)

    def _serve_append(
        self, request: messages_generated.LogRelayRequest
    ) -> tuple[str, bytes]:
        try:
            records = msgspec.json.decode(request["records"], type=list[dict[str, Any]])
        except msgspec.DecodeError as error:
            return "unavailable", str(error).encode()
        result = self._client.append(request["stream"], records)
        if isinstance(result, platform_log.Appended):
            return "appended", str(result.first_offset).encode()
        if isinstance(result, platform_log.AppendUnknown):
            return "append_unknown", result.reason.encode()
        return "unavailable", result.reason.encode()

    def _serve_read(
        self, request: messages_generated.LogRelayRequest
    ) -> tuple[str, bytes]:
        stream, offset = request["stream"], request["offset"]
        result: ReadResult = self._client.read(stream, offset, 0.0, MAX_RELAYED_RECORDS)
        outcome = "batch"
        if isinstance(result, platform_log.LogUnavailable):
            copy = self._copy_by_stream[stream]
            result = copy.read(offset, MAX_RELAYED_RECORDS)
            outcome = "copy"
        if isinstance(result, platform_log.ReadBatch):
            return outcome, msgspec.json.encode(result)
        if isinstance(result, platform_log.Gap):
            return "gap", str(result.oldest_offset).encode()
        return "unavailable", result.reason.encode()


def _decode_batch(payload: bytes) -> platform_log.ReadBatch | None:
    try:
        return msgspec.json.decode(payload, type=platform_log.ReadBatch)
    except msgspec.DecodeError:
        return None
