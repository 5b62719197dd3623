"""Order instances to hold keys and to give them up."""

import asyncio
from collections.abc import Callable

import msgspec

from wasabivalve import events
from wasabivalve.gateway import messages, upstream_connection
from wasabivalve.key_leases import leases
from wasabivalve.placement import core as placement

from . import headers

CONNECT_TIMEOUT_S = 0.4
"""Time for a new connection; a round trip between regions takes 40 ms."""

IDLE_TRUST_S = 4.0
"""Renewals use a connection about once a second; one idle for longer is replaced."""

OTHER_INSTANCE_STATUS = 421
"""Answer to an order for an instance other than the one at the address.

Addresses are used again only after their instance has ended.
"""


class Orders:
    """Hold one connection for orders to each instance."""

    def __init__(self, health_path: Callable[[str], str]) -> None:
        self._health_path = health_path
        self._idle: dict[tuple[str, int], upstream_connection.UpstreamConnection] = {}

    def close(self) -> None:
        """Close all connections."""
        for connection in self._idle.values():
            connection.close()
        self._idle.clear()

    async def grant(
        self,
        instance: placement.RegisteredInstance,
        first: int,
        last: int,
        token: int,
        hold_s: float,
        handover: str | None,
        timeout_ms: float,
    ) -> leases.GrantResult:
        """Grant a range, or renew the grant of the same token."""
        # ``fence`` is the fencing token; ``target`` the last key of the range.
        body: dict[str, object] = {
            "from": first,
            "target": last,
            "fence": token,
            "hold_s": hold_s,
        }
        if handover is not None:
            body["handover"] = handover
        answer = await self._call(instance, b"/api/grant", body, timeout_ms)
        if isinstance(answer, upstream_connection.NotSent):
            return "not_sent"
        if isinstance(answer, upstream_connection.ExchangeFailed):
            return "no_answer"
        if answer.status == 200:
            return "granted"
        if answer.status == OTHER_INSTANCE_STATUS:
            return "gone"
        if answer.status == 409:
            return "refused"
        ended = await self._has_ended(instance, timeout_ms)
        events.emit(
            316, instance=instance.id, token=token, status=answer.status, ended=ended
        )
        return "gone" if ended else "rejected"

    async def _has_ended(
        self, instance: placement.RegisteredInstance, timeout_ms: float
    ) -> bool:
        """Return whether another instance tells its id at this one's address.

        Instances of services that are not divided do not check for whom an order is.
        """
        path = self._health_path(instance.service)
        if not path:
            return False
        answer = await self._call(instance, path.encode(), None, timeout_ms)
        if not isinstance(answer, messages.HttpResponse):
            return False
        answering = answer.header(headers.DIALECT.responding_instance)
        other = answering is not None and answering != instance.id.encode()
        return other or answer.status == OTHER_INSTANCE_STATUS

    async def release(
        self,
        instance: placement.RegisteredInstance,
        first: int,
        last: int,
        token: int,
        timeout_ms: float,
    ) -> leases.ReleaseResult | None:
        """Take a range back; the answer comes once the work on it has ended."""
        body: dict[str, object] = {"from": first, "target": last, "fence": token}
        answer = await self._call(instance, b"/api/release", body, timeout_ms)
        if not isinstance(answer, messages.HttpResponse):
            return None
        if answer.status == OTHER_INSTANCE_STATUS:
            return leases.ReleaseResult(None, ended=True)
        if answer.status != 200:
            return None
        value = answer.header(b"handover")
        return leases.ReleaseResult(value.decode("latin-1") if value else None)

    async def _call(
        self,
        instance: placement.RegisteredInstance,
        target: bytes,
        body: dict[str, object] | None,
        timeout_ms: float,
    ) -> upstream_connection.ExchangeResult | upstream_connection.NotSent:
        name = (instance.id, instance.born)
        own_headers = [
            (b"host", f"{instance.host}:{instance.port}".encode()),
            (b"expected-instance", instance.id.encode()),
        ]
        method, content = b"GET", b""
        if body is not None:
            own_headers.append((b"content-type", b"application/json"))
            method, content = b"POST", msgspec.json.encode(body)
        data = messages.encode_request(method, target, own_headers, content, False)
        connection = self._idle.pop(name, None)
        now = asyncio.get_running_loop().time()
        if connection is not None and (
            not connection.usable or now - connection.idle_since > IDLE_TRUST_S
        ):
            connection.abort()
            connection = None
        if connection is None:
            opened = await upstream_connection.connect(
                instance.host, instance.port, CONNECT_TIMEOUT_S
            )
            if isinstance(opened, upstream_connection.NotSent):
                return opened
            connection = opened
        kept = False
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                outcome = await connection.exchange(data)
            kept = connection.usable and isinstance(outcome, messages.HttpResponse)
            return outcome
        except TimeoutError:
            return upstream_connection.ExchangeFailed("no answer in time")
        finally:
            # A reset keeps an order that is still on its way from arriving late.
            if kept and name not in self._idle:
                connection.end_exchange(asyncio.get_running_loop().time())
                self._idle[name] = connection
            else:
                connection.abort()
