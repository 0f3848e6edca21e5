"""HTTP client of the platform's key-value service."""

from urllib.parse import quote, urlencode

import attrs

from lacewingmill.adapters.http_client import HttpClient, HttpReply
from lacewingmill.codec import convert, decode
from lacewingmill.exceptions import (
    MessageInvalid,
    StoreConflict,
    StoreUnavailable,
    TransportError,
)
from lacewingmill.ports import StoreEntry, WatchResponse

__all__ = ["HttpStore", "StoreUsage"]

CALL_TIMEOUT_S = 1.5
WATCH_MARGIN_S = 2.0


@attrs.define
class StoreUsage:
    """Number of calls made by this process, by kind; a long poll of a watch counts as one."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class HttpStore:
    """Client of the key-value service.

    :param address: ``host:port`` of the service.
    """

    def __init__(self, address: str, client: HttpClient):
        self._address = address
        self._client = client
        self.usage = StoreUsage()

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry, or ``None`` when the key is absent.

        :raises StoreUnavailable: when the service gives no usable response.
        """
        self.usage.reads += 1
        reply = self._call("GET", f"/kv/{quote(key)}")
        if reply.status == 404:
            return None
        return StoreEntry(key, reply.body, int(reply.headers["revision"]))

    def put(self, key: str, value: bytes, *, expected: int, lease: str = "") -> int:
        """Write a key if its revision is ``expected`` and return the new revision.

        :param expected: revision of the key; 0 if the key must be absent.
        :param lease: id of the lease to attach the key to; empty for none.
        :raises StoreConflict: when the key has another revision; nothing was written.
        :raises StoreUnavailable: when the service gives no usable response; the key may have been
            written.
        """
        self.usage.writes += 1
        query = urlencode({"expected": expected, "lease": lease})
        reply = self._call("PUT", f"/kv/{quote(key)}?{query}", value)
        return self._decode_revision(reply, key)

    def delete(self, key: str, *, expected: int) -> None:
        """Delete a key if its revision is ``expected``.

        :raises StoreConflict: when the key has another revision; nothing was deleted.
        :raises StoreUnavailable: when the service gives no usable response; the key may have been
            deleted.
        """
        self.usage.writes += 1
        query = urlencode({"expected": expected})
        self._decode_revision(self._call("DELETE", f"/kv/{quote(key)}?{query}"), key)

    def list(self, prefix: str) -> list[StoreEntry]:
        """Return all entries under a prefix.

        :raises StoreUnavailable: when the service gives no usable response.
        """
        self.usage.reads += 1
        reply = self._call("GET", f"/list?{urlencode({'prefix': prefix})}")
        return self._decode(reply, list[StoreEntry])

    def grant_lease(self, ttl_s: float) -> str:
        """Create a lease and return its id.

        :param ttl_s: time to live of the lease, in seconds.
        :raises StoreUnavailable: when the service gives no usable response.
        """
        self.usage.writes += 1
        return self._call("POST", f"/lease?{urlencode({'ttl_s': ttl_s})}").body.decode()

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease.

        :return: ``False`` when the lease has expired.
        :raises StoreUnavailable: when the service gives no usable response.
        """
        self.usage.writes += 1
        return self._call("POST", f"/lease/{lease}").status == 200

    def watch(self, prefix: str, *, after: int, wait_s: float) -> WatchResponse:
        """Wait for changes under a prefix.

        :param after: store revision after which changes are reported.
        :param wait_s: longest time to wait, in seconds.
        :raises StoreUnavailable: when the service gives no usable response.
        """
        self.usage.watches += 1
        query = urlencode({"prefix": prefix, "after": after, "wait_s": wait_s})
        reply = self._call("GET", f"/watch?{query}", timeout_s=wait_s + WATCH_MARGIN_S)
        return self._decode(reply, WatchResponse)

    def _call(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = CALL_TIMEOUT_S
    ) -> HttpReply:
        try:
            reply = self._client.call(self._address, method, path, body=body, timeout_s=timeout_s)
        except TransportError as exc:
            raise StoreUnavailable(
                f"key-value service did not respond: {exc.message}", step=method, peer=self._address
            ) from exc
        if reply.status >= 500:
            raise StoreUnavailable(
                f"key-value service responded with {reply.status}", step=method, peer=self._address
            )
        return reply

    def _decode(self, reply: HttpReply, message_type):
        try:
            return decode(reply.body, message_type)
        except MessageInvalid as exc:
            raise StoreUnavailable(
                f"cannot decode the response with status {reply.status}: {exc.message}",
                step="decode",
                peer=self._address,
            ) from exc

    def _decode_revision(self, reply: HttpReply, key: str) -> int:
        if reply.status == 409:
            raise StoreConflict(
                f"key {key} has another revision",
                current=int(reply.headers["revision"]),
                peer=self._address,
            )
        try:
            return convert(reply.headers["revision"], int, strict=False)
        except (KeyError, MessageInvalid) as exc:
            raise StoreUnavailable(
                f"key-value service rejected the write with {reply.status}",
                step=key,
                peer=self._address,
            ) from exc
