"""The platform's key-value store: revisions, transactions, leases, watches and faults."""

import base64
import itertools
import json
import random
from urllib.parse import SplitResult, parse_qs, urlsplit

import attrs
from gevent.event import Event

__all__ = ["KvFaults", "KvStore"]

MAX_TRANSACTION_ENTRIES = 32
MAX_PAGE_ITEMS = 500
MAX_WATCH_WAIT_S = 30.0
READ_ONLY_PREFIXES = ("op/", "servers/")


@attrs.define
class KvFaults:
    """Faults of the store.

    :param down: respond with 503 to all calls.
    :param silent: neither execute nor respond to any call.
    :param resets: reset the connection of each call, without executing it.
    :param deaf: do not respond to watches; all other calls work.
    :param rejected_clients: names of clients that get 503.
    :param slow_s: delay before each response, in seconds.
    :param lose_writes: number of further successful transactions whose responses are lost.
    :param late_writes: number of further transactions that are applied after a delay and get no
        response.
    :param write_delay_s: delay of late transactions, in seconds.
    """

    down: bool = False
    silent: bool = False
    resets: bool = False
    deaf: bool = False
    rejected_clients: set[str] = attrs.field(factory=set)
    slow_s: float = 0.0
    lose_writes: int = 0
    late_writes: int = 0
    write_delay_s: float = 2.0


@attrs.define
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@attrs.define
class _Lease:
    ttl_s: float
    ends_at: float


class KvStore:
    """The emulated key-value store.

    :param clock: time of the emulated platform.

    ``calls`` counts the calls by the first segment of their path.
    """

    def __init__(self, clock, seed: int = 0):
        self.faults = KvFaults()
        self.calls: dict[str, int] = {}
        self.revision = 1
        self._clock = clock
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(7000)
        self._history: list[dict] = []
        self._discarded_revision = 0
        self._changed = Event()
        self._rng = random.Random(seed)

    def handle(
        self, client: str, method: str, request_target: str, body: bytes
    ) -> tuple[int, dict] | None:
        """Handle a call.

        :param client: name of the client.
        :param request_target: path and query string.
        :return: status and decoded body of the response, or ``None`` if it is lost.
        :raises ConnectionResetError: if the connection is reset.
        """
        url = urlsplit(request_target)
        name = url.path.split("/")[1]
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.faults.resets:
            raise ConnectionResetError
        if self.faults.silent:
            return None
        if self.faults.slow_s:
            self._clock.sleep(self.faults.slow_s)
        if self.faults.down or client in self.faults.rejected_clients:
            return 503, {}
        return self._dispatch(client, name, url, body)

    def _dispatch(
        self, client: str, name: str, url: SplitResult, body: bytes
    ) -> tuple[int, dict] | None:
        self._expire()
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if name == "kv-key":
            return self._get(query["key"])
        if name == "kv-range":
            return self._range(query)
        if name == "kv-watch":
            return self._watch(client, query) if not self.faults.deaf else None
        if name == "kv-txn":
            return self._transact(json.loads(body))
        if name == "kv-lease":
            return self._grant_lease(json.loads(body)["ttl_ms"] / 1000)
        lease = int(url.path.split("/")[2])
        if name == "kv-keep":
            return self._renew_lease(lease)
        return self._end_lease(lease)

    def write(self, key: str, value: dict | bytes | None) -> None:
        """Write a key, or remove it for ``None``, as the operator and the executors do."""
        data = value if isinstance(value, bytes | None) else json.dumps(value).encode()
        self._expire()
        self._apply({key: (data, 0)} if data is not None else {}, [key] if data is None else [])

    def discard_history(self) -> None:
        """Discard all changes so far; watches that start from an earlier revision get 410."""
        self._discarded_revision = self.revision
        self._history.clear()
        self._wake()

    def keys(self, prefix: str) -> list[str]:
        """Return the keys that begin with a prefix, sorted."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _get(self, key: str) -> tuple[int, dict]:
        item = self._items.get(key)
        if item is None:
            return 404, {"store_revision": self.revision}
        return 200, {**_encode_item(key, item), "store_revision": self.revision}

    def _range(self, query: dict) -> tuple[int, dict]:
        after = query.get("after", "")
        keys = [key for key in self.keys(query["prefix"]) if key > after]
        page = [_encode_item(key, self._items[key]) for key in keys[:MAX_PAGE_ITEMS]]
        return 200, {
            "items": page,
            "has_more": len(keys) > MAX_PAGE_ITEMS,
            "store_revision": self.revision,
        }

    def _watch(self, client: str, query: dict) -> tuple[int, dict]:
        after = int(query["after"])
        ends_at = self._clock.now() + min(MAX_WATCH_WAIT_S, int(query["wait_ms"]) / 1000)
        while True:
            if after < self._discarded_revision:
                return 410, {}
            if self.faults.silent:
                return None
            if self.faults.down or client in self.faults.rejected_clients:
                return 503, {}
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(query["prefix"])
            ]
            remaining_s = ends_at - self._clock.now()
            if len(events) > MAX_PAGE_ITEMS:
                events = events[:MAX_PAGE_ITEMS]
                return 200, {"events": events, "store_revision": events[-1]["revision"]}
            if events or remaining_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            self._clock.wait(self._changed, remaining_s)
            self._expire()

    def _transact(self, body: dict) -> tuple[int, dict] | None:
        expect, puts = body.get("expect_rev", []), body.get("puts", [])
        remove = body.get("remove", [])
        if len(expect) + len(puts) + len(remove) > MAX_TRANSACTION_ENTRIES:
            return 400, {}
        if any(put["key"].startswith(READ_ONLY_PREFIXES) for put in puts):
            return 403, {}
        if self.faults.late_writes:
            self.faults.late_writes -= 1
            self._clock.sleep(self.faults.write_delay_s)
            self._commit(expect, puts, remove)
            return None
        response = self._commit(expect, puts, remove)
        if self.faults.lose_writes and response[0] == 200:
            self.faults.lose_writes -= 1
            return None
        return response

    def _commit(self, expect: list, puts: list, remove: list) -> tuple[int, dict]:
        current_items = {row["key"]: self._items.get(row["key"]) for row in expect}
        if any(
            (current_items[row["key"]] or _ABSENT).revision != row["revision"] for row in expect
        ):
            items = [_encode_item(key, item or _ABSENT) for key, item in current_items.items()]
            return 412, {"items": items}
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return 404, {}
        values = {
            put["key"]: (base64.b64decode(put["value"], validate=True), put.get("lease", 0))
            for put in puts
        }
        return 200, {"revision": self._apply(values, remove)}

    def _apply(self, values: dict[str, tuple[bytes, int]], remove: list[str]) -> int:
        self.revision += 1
        for key, (value, lease) in values.items():
            before = self._items.get(key)
            created = before.created if before else self.revision
            item = self._items[key] = _Item(value, self.revision, created, lease)
            self._history.append(_encode_item(key, item))
        for key in remove:
            if self._items.pop(key, None) is not None:
                self._history.append({"key": key, "revision": self.revision, "deleted": True})
        self._wake()
        return self.revision

    def _grant_lease(self, ttl_s: float) -> tuple[int, dict]:
        number = next(self._lease_ids)
        self._leases[number] = _Lease(ttl_s, self._clock.now() + ttl_s)
        return 200, {"lease": number, "ttl_ms": int(ttl_s * 1000)}

    def _renew_lease(self, number: int) -> tuple[int, dict]:
        lease = self._leases.get(number)
        if lease is None:
            return 404, {}
        lease.ends_at = self._clock.now() + lease.ttl_s
        return 200, {"ttl_ms": int(lease.ttl_s * 1000)}

    def _end_lease(self, number: int) -> tuple[int, dict]:
        if self._leases.pop(number, None) is None:
            return 404, {}
        self._delete_keys_of(number)
        return 200, {}

    def _expire(self) -> None:
        for number, lease in list(self._leases.items()):
            if lease.ends_at <= self._clock.now():
                del self._leases[number]
                self._delete_keys_of(number)

    def _delete_keys_of(self, lease: int) -> None:
        keys = [key for key, item in self._items.items() if item.lease == lease]
        if keys:
            self._apply({}, keys)

    def _wake(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()


_ABSENT = _Item(b"", 0, 0, 0)


def _encode_item(key: str, item: _Item) -> dict:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }
