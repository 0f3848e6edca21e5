"""Client of the platform's key-value store."""

import base64
import binascii
from collections.abc import Callable
from urllib.parse import urlencode

import attrs
import msgspec

from lacewingmill.adapters.http_client import HttpClient, HttpReply
from lacewingmill.exceptions import (
    ConnectFailed,
    HistoryLost,
    LeaseEnded,
    StoreRefused,
    StoreUnavailable,
    TransactionConflict,
    TransportError,
)
from lacewingmill.jobs.ports import Change, Changes, Lease, Put, Record, Transaction

__all__ = ["HttpTransactionStore"]

# The store answers in about 4 ms; when it is slow, 60 to 80 times that.
CALL_TIMEOUT_S = 0.8
WATCH_MARGIN_S = 0.6
REFUSALS = (429, 503)
JSON = {"Content-Type": "application/json"}
CallCounter = Callable[[str, str], None]


@attrs.frozen
class _Item:
    key: str
    value: str | None = None
    revision: int = 0
    deleted: bool = False
    store_revision: int = 0  # of the whole store; only when a single key is read


@attrs.frozen
class _Page:
    items: list[_Item]
    store_revision: int  # of the whole store, not of the items
    has_more: bool = False


@attrs.frozen
class _Events:
    events: list[_Item]
    store_revision: int


@attrs.frozen
class _Committed:
    revision: int


@attrs.frozen
class _Conflict:
    items: list[_Item]


@attrs.frozen
class _Leased:
    lease: int
    ttl_ms: int


class HttpTransactionStore:
    """The platform's store over HTTP.

    :param address: ``host:port`` of the store.
    :param count: called with the kind of each call and its outcome.
    """

    def __init__(self, address: str, caller: HttpClient, count: CallCounter):
        self._address = address
        self._caller = caller
        self._count = count

    def get(self, key: str) -> Record | None:
        """Return a key, or ``None``."""
        return self.read(key)[0]

    def read(self, key: str) -> tuple[Record | None, int]:
        """Return a key, and a revision from which a watch of it misses nothing."""
        reply = self._call("get", "GET", f"/kv-key?{urlencode({'key': key}, safe='/')}")
        if reply.status == 404:
            return None, 0
        item = self._decode(reply, _Item)
        return _record(item), max(item.revision, item.store_revision)

    def scan(self, prefix: str) -> tuple[tuple[Record, ...], int]:
        """Return all keys under a prefix, and the revision of the first page."""
        records: list[Record] = []
        revision = 0
        query = {"prefix": prefix}
        while True:
            reply = self._call("scan", "GET", f"/kv-range?{urlencode(query, safe='/')}")
            page = self._decode(reply, _Page)
            revision = revision or page.store_revision
            records.extend(_record(item) for item in page.items)
            if not page.has_more or not page.items:
                return tuple(records), revision
            query["after"] = page.items[-1].key  # a key here, a revision in a watch

    def watch(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes under a prefix after a revision."""
        query = urlencode(
            {"prefix": prefix, "after": after, "wait_ms": int(wait_s * 1000)}, safe="/"
        )
        reply = self._call("watch", "GET", f"/kv-watch?{query}", timeout_s=wait_s + WATCH_MARGIN_S)
        if reply.status == 410:
            raise HistoryLost(f"changes after {after} are gone", step="watch", peer=self._address)
        events = self._decode(reply, _Events)
        changes = tuple(
            Change(item.key, None if item.deleted else _record(item)) for item in events.events
        )
        return Changes(changes, events.store_revision)

    def commit(self, transaction: Transaction) -> int:
        """Carry a transaction out and return its revision."""
        body = {
            "expect_rev": [attrs.asdict(item) for item in transaction.expect],
            "puts": [_put(put) for put in transaction.puts],
            "remove": list(transaction.remove),
        }
        reply = self._call("commit", "POST", "/kv-txn", msgspec.json.encode(body))
        if reply.status == 412:
            found = self._decode(reply, _Conflict)
            raise TransactionConflict(
                "a key is at another revision",
                revisions={item.key: item.revision for item in found.items},
                peer=self._address,
            )
        if reply.status == 404:
            raise LeaseEnded("the lease of a key has ended", step="commit", peer=self._address)
        return self._decode(reply, _Committed).revision

    def grant(self, ttl_s: float) -> Lease:
        """Return a new lease."""
        body = msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)})
        leased = self._decode(self._call("grant", "POST", "/kv-lease", body), _Leased)
        return Lease(leased.lease, leased.ttl_ms / 1000)

    def renew(self, lease: int) -> None:
        """Renew a lease."""
        reply = self._call("renew", "POST", f"/kv-keep/{lease}")
        if reply.status == 404:
            raise LeaseEnded(f"lease {lease} has ended", step="renew", peer=self._address)

    def end(self, lease: int) -> None:
        """End a lease now; its keys vanish."""
        self._call("end", "DELETE", f"/kv-lease-end/{lease}")

    def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpReply:
        try:
            reply = self._caller.call(
                self._address, method, path, body=body, headers=JSON, timeout_s=timeout_s
            )
        except ConnectFailed as exc:
            self._count(kind, "not_reached")
            raise StoreRefused(exc.message, step=kind, peer=self._address) from exc
        except TransportError as exc:
            self._count(kind, "unanswered")
            raise StoreUnavailable(exc.message, step=kind, peer=self._address) from exc
        self._count(kind, str(reply.status))
        if reply.status in REFUSALS:
            raise StoreRefused(
                f"the store refused with {reply.status}", step=kind, peer=self._address
            )
        if reply.status >= 500 or reply.status in (400, 403, 413):
            raise StoreUnavailable(
                f"the store answered {reply.status}", step=kind, peer=self._address
            )
        return reply

    def _decode(self, reply: HttpReply, kind):
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except msgspec.DecodeError as exc:
            raise StoreUnavailable(
                f"the store's answer {reply.status} cannot be read: {exc}",
                step="decode",
                peer=self._address,
            ) from exc


def _put(put: Put) -> dict[str, str | int]:
    body = {"key": put.key, "value": base64.b64encode(put.value).decode()}
    if put.lease:
        body["lease"] = put.lease
    return body


def _record(item: _Item) -> Record:
    try:
        value = base64.b64decode(item.value or "", validate=True)
    except (binascii.Error, ValueError):
        value = b""  # bytes that cannot be read are an empty value, which no decoder accepts
    return Record(item.key, value, item.revision)
