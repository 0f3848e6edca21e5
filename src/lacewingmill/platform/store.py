"""HTTP client of the platform's key-value store."""

import base64
import binascii
from collections.abc import Callable
from urllib.parse import urlencode

import attrs

from lacewingmill.adapters.http_client import HttpClient, HttpReply
from lacewingmill.codec import decode_json, encode_json
from lacewingmill.exceptions import (
    ConnectFailed,
    HistoryLost,
    LeaseEnded,
    MessageInvalid,
    StoreRefused,
    StoreUnavailable,
    TransactionConflict,
    TransportError,
)
from lacewingmill.jobs.ports import Change, Changes, Lease, Put, Record, Transaction

__all__ = ["HttpTransactionStore"]

# The store responds in about 4 ms; when it is slow, 60 to 80 times as long.
CALL_TIMEOUT_S = 0.8
WATCH_MARGIN_S = 0.6
REFUSED_STATUSES = (429, 503)
# The store returns about 500 items or 1 MB at a time, so an answer near either limit may have been
# cut off.
FULL_ANSWER_ITEMS = 450
FULL_ANSWER_BYTES = 900_000
JSON_HEADERS = {"Content-Type": "application/json"}
CallCounter = Callable[[str, str], None]


@attrs.frozen
class _Item:
    key: str
    value: str | None = None
    revision: int = 0
    deleted: bool = False
    store_revision: int = 0  # revision of the whole store; only when a single key is read


@attrs.frozen
class _ScanPage:
    items: list[_Item]
    store_revision: int  # revision of the whole store, not of the items
    has_more: bool = False


@attrs.frozen
class _WatchReply:
    events: list[_Item]
    store_revision: int


@attrs.frozen
class _CommitReply:
    revision: int


@attrs.frozen
class _ConflictReply:
    items: list[_Item]


@attrs.frozen
class _GrantReply:
    lease: int
    ttl_ms: int


class HttpTransactionStore:
    """Client of the platform's key-value store.

    :param address: ``host:port`` of the store.
    :param count: called after each call with its kind and its outcome.
    """

    def __init__(self, address: str, client: HttpClient, count: CallCounter):
        self._address = address
        self._client = client
        self._count = count

    def get(self, key: str) -> Record | None:
        """Return the record of a key, or ``None`` when the key is absent."""
        return self.read(key)[0]

    def read(self, key: str, *, timeout_s: float = CALL_TIMEOUT_S) -> tuple[Record | None, int]:
        """Return the record of a key, and a revision from which a watch misses no change of it."""
        query = urlencode({"key": key}, safe="/")
        reply = self._call("get", "GET", f"/kv-key?{query}", timeout_s=timeout_s)
        if reply.status == 404:
            return None, 0
        item = self._decode(reply, _Item)
        return _make_record(item), max(item.revision, item.store_revision)

    def scan(self, prefix: str) -> tuple[tuple[Record, ...], int]:
        """Return all records under a prefix, and the store's revision at the first page."""
        records: list[Record] = []
        revision = 0
        query = {"prefix": prefix}
        while True:
            reply = self._call("scan", "GET", f"/kv-range?{urlencode(query, safe='/')}")
            page = self._decode(reply, _ScanPage)
            revision = revision or page.store_revision
            records.extend(_make_record(item) for item in page.items)
            if not page.has_more or not page.items:
                return tuple(records), revision
            query["after"] = page.items[-1].key  # a key in this call; in a watch, a revision

    def watch(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes under a prefix.

        :param after: revision after which changes are reported.
        :param wait_s: longest time to wait, in seconds.
        :raises HistoryLost: when the store has discarded changes after this revision.
        """
        query = urlencode(
            {"prefix": prefix, "after": after, "wait_ms": int(wait_s * 1000)}, safe="/"
        )
        reply = self._call("watch", "GET", f"/kv-watch?{query}", timeout_s=wait_s + WATCH_MARGIN_S)
        if reply.status == 410:
            raise HistoryLost(
                f"the store has discarded changes after revision {after}",
                step="watch",
                peer=self._address,
            )
        events = self._decode(reply, _WatchReply)
        changes = tuple(
            Change(item.key, None if item.deleted else _make_record(item)) for item in events.events
        )
        truncated = len(changes) >= FULL_ANSWER_ITEMS or len(reply.body) >= FULL_ANSWER_BYTES
        return Changes(changes, events.store_revision, truncated)

    def commit(self, transaction: Transaction) -> int:
        """Execute a transaction and return its revision.

        :raises TransactionConflict: when a condition does not hold.
        :raises LeaseEnded: when the lease of a key has ended.
        """
        body = {
            "expect_rev": [attrs.asdict(item) for item in transaction.expect],
            "puts": [_encode_put(put) for put in transaction.puts],
            "remove": list(transaction.remove),
        }
        reply = self._call("commit", "POST", "/kv-txn", encode_json(body))
        if reply.status == 412:
            conflict = self._decode(reply, _ConflictReply)
            raise TransactionConflict(
                "a key has another revision",
                revisions={item.key: item.revision for item in conflict.items},
                peer=self._address,
            )
        if reply.status == 404:
            raise LeaseEnded("the lease of a key has ended", step="commit", peer=self._address)
        return self._decode(reply, _CommitReply).revision

    def grant(self, ttl_s: float) -> Lease:
        """Create a lease.

        :param ttl_s: requested time to live, in seconds.
        :return: the lease, with the time to live that the store granted.
        """
        body = encode_json({"ttl_ms": int(ttl_s * 1000)})
        granted = self._decode(self._call("grant", "POST", "/kv-lease", body), _GrantReply)
        return Lease(granted.lease, granted.ttl_ms / 1000)

    def renew(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseEnded: when it has ended.
        """
        reply = self._call("renew", "POST", f"/kv-keep/{lease}")
        if reply.status == 404:
            raise LeaseEnded(f"lease {lease} has ended", step="renew", peer=self._address)

    def end(self, lease: int) -> None:
        """End a lease now, which removes its keys."""
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
            reply = self._client.call(
                self._address, method, path, body=body, headers=JSON_HEADERS, timeout_s=timeout_s
            )
        except ConnectFailed as exc:
            self._count(kind, "not_reached")
            raise StoreRefused(exc.message, step=kind, peer=self._address) from exc
        except TransportError as exc:
            self._count(kind, "unanswered")
            raise StoreUnavailable(exc.message, step=kind, peer=self._address) from exc
        self._count(kind, str(reply.status))
        if reply.status in REFUSED_STATUSES:
            raise StoreRefused(
                f"the store refused with {reply.status}", step=kind, peer=self._address
            )
        if reply.status >= 500 or reply.status in (400, 403, 413):
            raise StoreUnavailable(
                f"the store responded with {reply.status}", step=kind, peer=self._address
            )
        return reply

    def _decode(self, reply: HttpReply, message_type):
        try:
            return decode_json(reply.body, message_type)
        except MessageInvalid as exc:
            raise StoreUnavailable(
                f"cannot decode the store's response with status {reply.status}: {exc}",
                step="decode",
                peer=self._address,
            ) from exc


def _encode_put(put: Put) -> dict[str, str | int]:
    body = {"key": put.key, "value": base64.b64encode(put.value).decode()}
    if put.lease:
        body["lease"] = put.lease
    return body


def _make_record(item: _Item) -> Record:
    try:
        value = base64.b64decode(item.value or "", validate=True)
    except (binascii.Error, ValueError):
        value = b""  # invalid base64; no decoder accepts an empty value
    return Record(item.key, value, item.revision)
