"""Send ownership commands to servers and hand on their replies."""

import threading
from collections.abc import Callable
from concurrent import futures
from typing import Any

import msgspec
import urllib3

from wasabivalve import ownership

from . import upstream_client

# A later reply is of no use: the next renewal is due before.
COMMAND_TIMEOUT_MS = 300.0
THREAD_COUNT = 32

ReplyCallback = Callable[
    [str, ownership.OwnershipCommand, ownership.OwnershipReply | None, str], None
]


class CommandSender:
    """Send commands from threads, one renewal at a time to each server."""

    def __init__(self, on_reply: ReplyCallback):
        """Take the function for (server, command, reply or None, problem)."""
        self._on_reply = on_reply
        self._pool = urllib3.PoolManager(num_pools=1_000, maxsize=4, retries=False)
        self._executor = futures.ThreadPoolExecutor(THREAD_COUNT, "server-command")
        self._lock = threading.Lock()
        self._renewing: set[tuple[str, str]] = set()

    def send(
        self,
        server: str,
        address: upstream_client.UpstreamAddress,
        command: ownership.OwnershipCommand,
    ) -> None:
        """Send a command; a renewal is skipped while an earlier one is open."""
        if command.action == "renew":
            with self._lock:
                if (server, command.shard) in self._renewing:
                    return
                self._renewing.add((server, command.shard))
        try:
            self._executor.submit(self._run, server, address, command)
        except RuntimeError:
            # The executor is shut down: the process stops.
            return

    def close(self) -> None:
        """Drop the commands that have not started and close the connections."""
        self._executor.shutdown(wait=True, cancel_futures=True)
        self._pool.clear()

    def _run(
        self,
        server: str,
        address: upstream_client.UpstreamAddress,
        command: ownership.OwnershipCommand,
    ) -> None:
        problem = ""
        reply = None
        try:
            reply = self._exchange(address, command)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError, KeyError) as error:
            problem = type(error).__name__
        finally:
            with self._lock:
                self._renewing.discard((server, command.shard))
        self._on_reply(server, command, reply, problem)

    def _exchange(
        self,
        address: upstream_client.UpstreamAddress,
        command: ownership.OwnershipCommand,
    ) -> ownership.OwnershipReply:
        response = self._pool.request(
            "POST",
            f"http://{address.host}:{address.port}/ownership",
            body=msgspec.json.encode(_command_document(command)),
            headers={"Content-Type": "application/json"},
            timeout=COMMAND_TIMEOUT_MS / 1000,
        )
        return _decode_reply(response.data)


def _command_document(command: ownership.OwnershipCommand) -> dict[str, Any]:
    return {
        "action": command.action,
        "shard": command.shard,
        "token": command.token._asdict(),
        "stamp": command.stamp,
        "ranges": [
            {"start": held.start, "end": held.end, "key": held.key}
            for held in command.ranges
        ],
    }


def _decode_reply(body: bytes) -> ownership.OwnershipReply:
    document = msgspec.json.decode(body, type=dict[str, Any])
    return ownership.OwnershipReply(
        bool(document["accepted"]),
        float(document["stamp"]),
        _token(document["highest_token"]),
        tuple(
            ownership.HeldRange(
                int(row["start"]),
                int(row["end"]),
                str(row.get("key", "")),
                _token(row["token"]),
                bool(row.get("draining", False)),
            )
            for row in document["held"]
        ),
    )


def _token(document: dict[str, int]) -> ownership.FencingToken:
    return ownership.FencingToken(
        int(document["term"]), int(document["position"]), int(document["step"])
    )
