"""Send ownership commands to servers and pass their replies to a callback."""

import functools
import threading
from collections.abc import Callable
from concurrent import futures
from typing import Any

import msgspec
import urllib3

from wasabivalve import ownership, supervision, untrusted_data

from . import upstream_client

# A later reply is useless: the next renewal is due before.
COMMAND_TIMEOUT_MS = 300.0
THREAD_COUNT = 32

ReplyCallback = Callable[
    [str, ownership.OwnershipCommand, ownership.OwnershipReply | None, str], None
]


UNUSABLE_REPLY_ERRORS = (
    urllib3.exceptions.HTTPError,
    untrusted_data.UndecodableError,
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)
"""What a command raises if the reply is missing or has another form than expected."""


class CommandSender:
    """Send commands from threads, one renewal at a time per server and shard."""

    def __init__(self, on_reply: ReplyCallback):
        """Create a sender that calls ``on_reply(server, command, reply, error_name)``.

        After a failure, ``reply`` is None and ``error_name`` names the exception.
        """
        self._on_reply = on_reply
        self._pool = urllib3.PoolManager(num_pools=1_000, maxsize=4, retries=False)
        self._executor = futures.ThreadPoolExecutor(THREAD_COUNT, "server-command")
        self._lock = threading.Lock()
        self._pending_renewals: set[tuple[str, str]] = set()

    def send(
        self,
        server: str,
        address: upstream_client.UpstreamAddress,
        command: ownership.OwnershipCommand,
    ) -> None:
        """Send a command; skip a renewal while an earlier one is in flight."""
        if command.action == "renew":
            with self._lock:
                if (server, command.shard) in self._pending_renewals:
                    return
                self._pending_renewals.add((server, command.shard))
        try:
            future = self._executor.submit(self._run, server, address, command)
        except RuntimeError:
            # The executor is shut down: the process stops.
            return
        future.add_done_callback(
            functools.partial(supervision.log_future_error, "server command")
        )

    def close(self) -> None:
        """Discard the commands that have not started and close the connections."""
        self._executor.shutdown(wait=True, cancel_futures=True)
        self._pool.clear()

    def _run(
        self,
        server: str,
        address: upstream_client.UpstreamAddress,
        command: ownership.OwnershipCommand,
    ) -> None:
        error_name = ""
        reply = None
        try:
            reply = self._exchange(address, command)
        except UNUSABLE_REPLY_ERRORS as error:
            error_name = type(error).__name__
        finally:
            with self._lock:
                self._pending_renewals.discard((server, command.shard))
        self._on_reply(server, command, reply, error_name)

    def _exchange(
        self,
        address: upstream_client.UpstreamAddress,
        command: ownership.OwnershipCommand,
    ) -> ownership.OwnershipReply:
        response = self._pool.request(
            "POST",
            f"http://{address.host}:{address.port}/ownership",
            body=msgspec.json.encode(_encode_command(command)),
            headers={"Content-Type": "application/json"},
            timeout=COMMAND_TIMEOUT_MS / 1000,
        )
        return _decode_reply(response.data)


def _encode_command(command: ownership.OwnershipCommand) -> dict[str, Any]:
    return {
        "action": command.action,
        "shard": command.shard,
        "token": command.token._asdict(),
        "stamp": command.stamp,
        "ranges": [
            {"start": held_range.start, "end": held_range.end, "key": held_range.key}
            for held_range in command.ranges
        ],
    }


def _decode_reply(body: bytes) -> ownership.OwnershipReply:
    document = untrusted_data.decode_json(body, dict[str, Any])
    return ownership.OwnershipReply(
        bool(document["accepted"]),
        float(document["stamp"]),
        _decode_token(document["highest_token"]),
        tuple(
            ownership.HeldRange(
                int(row["start"]),
                int(row["end"]),
                str(row.get("key", "")),
                _decode_token(row["token"]),
                bool(row.get("draining", False)),
            )
            for row in document["held"]
        ),
    )


def _decode_token(document: dict[str, int]) -> ownership.FencingToken:
    return ownership.FencingToken(
        int(document["term"]), int(document["position"]), int(document["step"])
    )
