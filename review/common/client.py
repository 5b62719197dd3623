"""Send requests of consumers over kept connections."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple

from . import http1, record


class Answer(NamedTuple):
    """Hold the status of an answer, whether it has a signature, and its body.

    ``status`` is 0 if the connection ended without an answer.
    """

    status: int
    signature: str | None
    body: bytes


NO_ANSWER = Answer(0, None, b"")


UNREAD_SHARE = 1.0 / 3.0
"""Share of the time left after which a request that was not read is abandoned."""


class Caller:
    """Send one request after another to one entry VM.

    ``is_reading`` returns whether the VM reads its connections now.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        log: record.Record,
        is_reading: Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_reading = is_reading
        self._name = name
        self._host = host
        self._port = port
        self._log = log
        self._count = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self, method: str, path: str, deadline_ms: int = 2_000, key: int | None = None
    ) -> Answer:
        """Send a request and return its answer."""
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        headers = {
            "Host": "desk.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            headers["Shard-Key"] = str(key)
        self._log.add(f"consumer sends {request_id} {method} {path}")
        answer = NO_ANSWER
        data = http1.encode(f"{method} {path} HTTP/1.1", headers)
        exchange = asyncio.create_task(self._exchange(data))
        time_left_s = deadline_ms / 1000.0
        try:
            await asyncio.wait([exchange], timeout=UNREAD_SHARE * time_left_s)
            if exchange.done() or self._is_reading():
                async with asyncio.timeout((1.0 - UNREAD_SHARE) * time_left_s):
                    answer = await exchange
            else:
                self.close()
        except (OSError, TimeoutError):
            self.close()
        finally:
            exchange.cancel()
        self._log.add(f"consumer gets {answer.status} for {request_id}")
        return answer

    async def _exchange(self, data: bytes) -> Answer:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port
            )
        assert self._reader is not None
        self._writer.write(data)
        message = await http1.read_message(self._reader)
        if message is None:
            self.close()
            return NO_ANSWER
        if message.headers.get("connection", "").lower() == "close":
            self.close()
        status = int(message.start.split(" ")[1])
        return Answer(status, message.headers.get("response-signature"), message.body)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.close()
        self._reader = self._writer = None
