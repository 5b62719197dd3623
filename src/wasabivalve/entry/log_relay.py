"""Access the log service directly, through a peer, or read a peer's copy of it."""

import functools
import threading
from collections.abc import Callable, Sequence
from concurrent import futures
from typing import Any, NamedTuple

import msgspec

from wasabivalve import peers, platform_log, supervision, untrusted_data
from wasabivalve.schema import messages_generated

RELAY_TIMEOUT_MS = 1_500.0
RELAY_THREADS = 4
MAX_RELAY_PEERS = 3
# A relayed read returns immediately: a long poll would occupy a thread of the peer.
MAX_RELAYED_RECORDS = 500
MAX_OFFSET = 2**63 - 1
MAX_COPIED_RECORDS = 50_000

AppendResult = (
    platform_log.Appended | platform_log.AppendUnknown | platform_log.LogUnavailable
)
ReadResult = platform_log.ReadBatch | platform_log.Gap | platform_log.LogUnavailable


class SourcedRead(NamedTuple):
    """Hold the result of a read; ``from_log`` is false for a peer's copy."""

    result: ReadResult
    from_log: bool


class StreamCopy:
    """Store the newest records of one stream; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: list[platform_log.LoggedRecord] = []
        self._next_offset: int | None = None
        self._oldest_offset = 0

    def add(self, batch: platform_log.ReadBatch) -> None:
        """Add a batch; a batch that leaves a gap replaces the copy."""
        with self._lock:
            first_offset = (
                batch.records[0].offset if batch.records else batch.next_offset
            )
            if self._next_offset is None or first_offset > self._next_offset:
                self._records.clear()
                self._oldest_offset = first_offset
            copied_until = self._next_offset if self._records else first_offset
            self._records += [
                record
                for record in batch.records
                if copied_until is None or record.offset >= copied_until
            ]
            self._next_offset = max(self._next_offset or 0, batch.next_offset)
            surplus_count = len(self._records) - MAX_COPIED_RECORDS
            if surplus_count > 0:
                del self._records[:surplus_count]
                self._oldest_offset = self._records[0].offset

    def read(self, offset: int, limit: int) -> ReadResult:
        """Read from the copy, which ends at the last record that this VM has read."""
        with self._lock:
            if self._next_offset is None:
                return platform_log.LogUnavailable("no copy of the stream")
            if offset < self._oldest_offset:
                return platform_log.Gap(self._oldest_offset)
            records = tuple(
                record for record in self._records if record.offset >= offset
            )[:limit]
            next_offset = records[-1].offset + 1 if records else max(offset, 0)
            return platform_log.ReadBatch(records, next_offset, self._oldest_offset)


class RelayingLogClient:
    """Read and append directly, or through peers while that fails.

    It has the ``read`` and ``append`` methods of ``platform_log.LogClient``.
    """

    def __init__(
        self,
        direct_client: platform_log.LogClient,
        bus: peers.Bus,
        live_peers: Callable[[], Sequence[str]],
        streams: Sequence[str],
    ):
        self._direct_client = direct_client
        self._bus = bus
        self._live_peers = live_peers
        self._copy_by_stream = {stream: StreamCopy() for stream in streams}
        self._executor = futures.ThreadPoolExecutor(RELAY_THREADS, "log-relay")

    def close(self) -> None:
        """Stop processing relay requests of peers."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def append(self, stream: str, records: Sequence[dict[str, Any]]) -> AppendResult:
        """Append directly, or through a peer if certainly nothing was appended.

        A call that the log rejected is not relayed.
        """
        result = self._direct_client.append(stream, records)
        if not isinstance(result, platform_log.LogUnavailable) or result.rejected:
            return result
        encoded_records = msgspec.json.encode(list(records))
        for peer in self._live_peers()[:MAX_RELAY_PEERS]:
            relayed = self._call_through_peer(peer, stream, -1, encoded_records)
            if relayed is None:
                # The peer may have appended the records before its reply was lost.
                return platform_log.AppendUnknown(
                    f"peer {peer} did not reply to the relay request"
                )
            if relayed["outcome"] == "appended":
                return platform_log.Appended(int(relayed["payload"]))
            if relayed["outcome"] == "append_unknown":
                return platform_log.AppendUnknown(
                    f"peer {peer} got no reply from the log"
                )
        return result

    def read(
        self, stream: str, offset: int, wait_ms: float = 0.0, limit: int = 1000
    ) -> ReadResult:
        """Read from the log, directly or through a peer."""
        sourced_read = self.read_log_or_copy(stream, offset, wait_ms, limit)
        if sourced_read.from_log:
            return sourced_read.result
        return platform_log.LogUnavailable("only a copy of the stream is available")

    def read_log_or_copy(
        self, stream: str, offset: int, wait_ms: float = 0.0, limit: int = 1000
    ) -> SourcedRead:
        """Read from the log or a peer's copy and store the records for other VMs."""
        result = self._direct_client.read(stream, offset, wait_ms, limit)
        sourced_read = SourcedRead(result, True)
        if isinstance(result, platform_log.LogUnavailable):
            sourced_read = self._read_through_peers(stream, offset) or SourcedRead(
                result, False
            )
        if isinstance(sourced_read.result, platform_log.ReadBatch):
            copy = self._copy_by_stream.get(stream)
            if copy is not None:
                copy.add(sourced_read.result)
        return sourced_read

    def on_relay_request(self, incoming: peers.IncomingMessage) -> None:
        """Process a relay request of a peer on another thread."""
        try:
            future = self._executor.submit(self._handle_relay_request, incoming)
        except RuntimeError:
            # The executor is shut down: the process stops.
            return
        future.add_done_callback(
            functools.partial(supervision.log_future_error, "log relay")
        )

    def _read_through_peers(self, stream: str, offset: int) -> SourcedRead | None:
        copy_read = None
        for peer in self._live_peers()[:MAX_RELAY_PEERS]:
            reply = self._call_through_peer(peer, stream, offset, b"")
            if reply is None or reply["outcome"] == "unavailable":
                continue
            if reply["outcome"] == "gap":
                result: ReadResult | None = _decode_gap(reply["payload"])
            else:
                result = _decode_batch(reply["payload"])
            if result is not None and reply["outcome"] == "batch":
                return SourcedRead(result, True)
            if result is not None:
                copy_read = copy_read or SourcedRead(result, False)
        return copy_read

    def _call_through_peer(
        self, peer: str, stream: str, offset: int, encoded_records: bytes
    ) -> messages_generated.LogRelayReply | None:
        request: messages_generated.LogRelayRequest = {
            "request_id": "",
            "stream": stream,
            "offset": offset,
            "records": encoded_records,
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

    def _handle_relay_request(self, incoming: peers.IncomingMessage) -> None:
        request: messages_generated.LogRelayRequest = incoming.message
        if request["stream"] not in self._copy_by_stream:
            outcome, payload = "unavailable", b"unknown stream"
        elif request["records"]:
            outcome, payload = self._relay_append(request)
        else:
            outcome, payload = self._relay_read(request)
        reply: messages_generated.LogRelayReply = {
            "request_id": request["request_id"],
            "outcome": outcome,
            "payload": payload,
        }
        incoming.reply("log_relay_reply", reply)

    def _relay_append(
        self, request: messages_generated.LogRelayRequest
    ) -> tuple[str, bytes]:
        try:
            records = untrusted_data.decode_json(
                request["records"], list[dict[str, Any]]
            )
        except untrusted_data.UndecodableError as error:
            return "unavailable", str(error).encode()
        result = self._direct_client.append(request["stream"], records)
        if isinstance(result, platform_log.Appended):
            return "appended", str(result.first_offset).encode()
        if isinstance(result, platform_log.AppendUnknown):
            return "append_unknown", result.reason.encode()
        return "unavailable", result.reason.encode()

    def _relay_read(
        self, request: messages_generated.LogRelayRequest
    ) -> tuple[str, bytes]:
        stream, offset = request["stream"], request["offset"]
        result: ReadResult = self._direct_client.read(
            stream, offset, 0.0, MAX_RELAYED_RECORDS
        )
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
        batch: platform_log.ReadBatch = untrusted_data.decode_json(
            payload, platform_log.ReadBatch
        )
    except untrusted_data.UndecodableError:
        return None
    return batch


def _decode_gap(payload: bytes) -> platform_log.Gap | None:
    oldest_offset = untrusted_data.decode_digits(payload, MAX_OFFSET)
    return None if oldest_offset is None else platform_log.Gap(oldest_offset)
