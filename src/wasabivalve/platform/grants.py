"""Grant key ranges to instances and make them release them."""

import asyncio
from collections.abc import Callable

import msgspec

from wasabivalve import events
from wasabivalve.gateway import messages, receiving, upstream_connection
from wasabivalve.key_leases import leases
from wasabivalve.placement import core as placement

from . import headers

CONNECT_TIMEOUT_S = 0.4
"""Timeout of a new connection; a round trip between regions takes 40 ms."""

IDLE_TIMEOUT_S = 4.0
"""Idle time after which a connection is replaced; renewals come about once a second."""

COMMAND_LIMITS = receiving.MessageLimits(body_bytes=64 * receiving.KIB)
"""Limits of the responses to commands, which have no body or a short one."""

MISDIRECTED_STATUS = 421
"""Status of a command that names another instance than the one at the address.

Addresses are reused only after their instance has ended.
"""


class GrantClient:
    """Send grants and releases, over one idle connection per incarnation."""

    def __init__(self, health_path: Callable[[str], str]) -> None:
        self._health_path = health_path
        self._idle_by_incarnation: dict[
            tuple[str, int], upstream_connection.UpstreamConnection
        ] = {}

    def close(self) -> None:
        """Close all connections."""
        for connection in self._idle_by_incarnation.values():
            connection.close()
        self._idle_by_incarnation.clear()

    async def grant(
        self,
        instance: placement.RegisteredInstance,
        first: int,
        last: int,
        token: int,
        lease_s: float,
        handover: str | None,
        timeout_ms: float,
        is_fencing: bool = False,
    ) -> leases.GrantResult:
        """Grant a range of keys, or renew the grant that has the same token.

        The range includes its first and last key. A fencing grant uses a connection of
        its own, as a copy of an earlier answer would confirm it.
        """
        # ``fence`` is the fencing token, ``target`` the last key of the range.
        body: dict[str, object] = {
            "from": first,
            "target": last,
            "fence": token,
            "hold_s": lease_s,
        }
        if handover is not None:
            body["handover"] = handover
        response = await self._call(
            instance, b"/api/grant", body, timeout_ms, own_connection=is_fencing
        )
        if isinstance(response, upstream_connection.NotSent):
            return "not_sent"
        if isinstance(response, upstream_connection.ExchangeFailed):
            return "no_answer"
        if response.status == 200:
            return "granted"
        if response.status == MISDIRECTED_STATUS:
            return "gone"
        if response.status == 409:
            return "refused"
        ended = await self._has_ended(instance, timeout_ms)
        events.emit(
            316, instance=instance.id, token=token, status=response.status, ended=ended
        )
        return "gone" if ended else "rejected"

    async def _has_ended(
        self, instance: placement.RegisteredInstance, timeout_ms: float
    ) -> bool:
        """Return whether another instance responds at this instance's address.

        Instances of services that are not sharded don't check which instance a command
        names, so their health path is requested and the responding instance compared.
        """
        path = self._health_path(instance.service)
        if not path:
            return False
        response = await self._call(instance, path.encode(), None, timeout_ms)
        if not isinstance(response, messages.HttpResponse):
            return False
        responding_id = response.header(headers.HEADER_FORMAT.responding_instance)
        another_responded = (
            responding_id is not None and responding_id != instance.id.encode()
        )
        return another_responded or response.status == MISDIRECTED_STATUS

    async def warmup_left_ms(
        self, instance: placement.RegisteredInstance, timeout_ms: float
    ) -> float:
        """Ask an instance how long it stays cold; 0 if it does not say."""
        path = self._health_path(instance.service)
        if not path:
            return 0.0
        response = await self._call(instance, path.encode(), None, timeout_ms)
        if not isinstance(response, messages.HttpResponse):
            return 0.0
        header_format = headers.HEADER_FORMAT
        responding_id = response.header(header_format.responding_instance)
        if responding_id not in (None, instance.id.encode()):
            return 0.0
        encoded_left = response.header(header_format.warmup_left) or b""
        return 1000.0 * (header_format.decode_warmup_left(encoded_left) or 0.0)

    async def release(
        self,
        instance: placement.RegisteredInstance,
        first: int,
        last: int,
        token: int,
        timeout_ms: float,
    ) -> leases.ReleaseResult | None:
        """Release a range; the instance responds once its requests have ended.

        Return None if the instance did not confirm the release. It uses a connection of
        its own: a repeated answer to an earlier command would confirm a release of keys
        that the instance still holds.
        """
        body: dict[str, object] = {"from": first, "target": last, "fence": token}
        response = await self._call(
            instance, b"/api/release", body, timeout_ms, own_connection=True
        )
        if not isinstance(response, messages.HttpResponse):
            return None
        if response.status == MISDIRECTED_STATUS:
            return leases.ReleaseResult(None, ended=True)
        if response.status != 200:
            return None
        value = response.header(b"handover")
        return leases.ReleaseResult(value.decode("latin-1") if value else None)

    async def _call(
        self,
        instance: placement.RegisteredInstance,
        target: bytes,
        body: dict[str, object] | None,
        timeout_ms: float,
        own_connection: bool = False,
    ) -> upstream_connection.ExchangeResult | upstream_connection.NotSent:
        incarnation = (instance.id, instance.born)
        request_headers = [
            (b"host", f"{instance.host}:{instance.port}".encode()),
            (b"expected-instance", instance.id.encode()),
        ]
        method, content = b"GET", b""
        if body is not None:
            request_headers.append((b"content-type", b"application/json"))
            method, content = b"POST", msgspec.json.encode(body)
        data = messages.encode_request(method, target, request_headers, content, False)
        connection = None
        if not own_connection:
            connection = self._idle_by_incarnation.pop(incarnation, None)
        now = asyncio.get_running_loop().time()
        if connection is not None and (
            not connection.usable or now - connection.idle_since > IDLE_TIMEOUT_S
        ):
            connection.abort()
            connection = None
        if connection is None:
            connected = await upstream_connection.connect(
                instance.host, instance.port, CONNECT_TIMEOUT_S, COMMAND_LIMITS
            )
            if isinstance(connected, upstream_connection.NotSent):
                return connected
            connection = connected
        reusable = False
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                result = await connection.exchange(data)
            reusable = connection.usable and isinstance(result, messages.HttpResponse)
            return result
        except TimeoutError:
            return upstream_connection.ExchangeFailed("no answer in time")
        finally:
            # Resetting the connection prevents a late arrival of a command in transit.
            reusable = reusable and not own_connection
            if reusable and incarnation not in self._idle_by_incarnation:
                connection.end_exchange(asyncio.get_running_loop().time())
                self._idle_by_incarnation[incarnation] = connection
            else:
                connection.abort()
