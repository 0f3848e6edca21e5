"""Publishing: immutable documents named by digest, then one index moved by compare-and-swap.

The compare-and-swap of the index is the acceptance. It carries a unique write id, so that a lost
answer is settled by reading the index again. An entry of the audit trail is written beside it.
"""

import hashlib

from lacewingmill.codec import decode, encode
from lacewingmill.exceptions import PublishConflict, StoreConflict, StoreUnavailable
from lacewingmill.models import CatalogueIndex, IndexEntry, Service
from lacewingmill.ports import Clock, Store
from lacewingmill.store_keys import AUDIT_PREFIX, DOCUMENT_PREFIX, INDEX_KEY

__all__ = ["Publisher", "describe_changes", "document_key"]

ATTEMPTS = 5
RETRY_PAUSE_S = 0.5


def document_key(digest: str) -> str:
    """Return the store key of a document."""
    return DOCUMENT_PREFIX + digest


def describe_changes(before: CatalogueIndex, after: tuple[IndexEntry, ...]) -> tuple[str, ...]:
    """Return one line a service that differs."""
    old = {entry.service: entry.digest for entry in before.entries}
    new = {entry.service: entry.digest for entry in after}
    lines = []
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            lines.append(f"added service {name} {new[name][:12]}")
        elif name not in new:
            lines.append(f"removed service {name} {old[name][:12]}")
        elif old[name] != new[name]:
            lines.append(f"changed service {name} {old[name][:12]} -> {new[name][:12]}")
    return tuple(lines)


class Publisher:
    """Moves the catalogue's index."""

    def __init__(self, store: Store, clock: Clock):
        self._store = store
        self._clock = clock

    def current(self) -> tuple[CatalogueIndex, int]:
        """Return the accepted index and the store revision of its key.

        :raises StoreUnavailable: when the store does not answer.
        """
        entry = self._store.get(INDEX_KEY)
        if entry is None:
            return CatalogueIndex(), 0
        return decode(entry.value, CatalogueIndex), entry.revision

    def publish(
        self, services: tuple[Service, ...], by: str, write_id: str, base: int | None
    ) -> CatalogueIndex:
        """Publish a whole configuration.

        :param write_id: unique per publication; repeating it is harmless.
        :param base: the revision that the operator's files were based on; ``None`` for the present.
        :raises PublishConflict: when another revision than ``base`` is in force.
        :raises StoreUnavailable: when the store stayed away; publishing again with the same write
            id settles whether it took effect.
        """
        documents = {_digest(service): service for service in services}
        for digest, service in documents.items():
            self._retry(lambda d=digest, s=service: self._write_document(d, s))
        entries = tuple(
            sorted(
                (IndexEntry(service.name, digest) for digest, service in documents.items()),
                key=lambda entry: entry.service,
            )
        )
        return self._retry(lambda: self._move_index(entries, by, write_id, base))

    def audit(self) -> list[CatalogueIndex]:
        """Return all accepted indexes, oldest first.

        :raises StoreUnavailable: when the store does not answer.
        """
        entries = self._store.list(AUDIT_PREFIX)
        return [decode(entry.value, CatalogueIndex) for entry in entries]

    def _retry(self, write):
        for attempt in range(ATTEMPTS):
            try:
                return write()
            except StoreUnavailable:
                if attempt == ATTEMPTS - 1:
                    raise
                self._clock.sleep(RETRY_PAUSE_S)
        raise AssertionError("unreachable")

    def _write_document(self, digest: str, service: Service) -> None:
        try:
            self._store.put(document_key(digest), encode(service), expected=0)
        except StoreConflict:
            return  # the same content is there already

    def _move_index(
        self, entries: tuple[IndexEntry, ...], by: str, write_id: str, base: int | None
    ) -> CatalogueIndex:
        current, store_revision = self.current()
        if current.write_id == write_id:
            self._write_audit(current)
            return current  # an earlier attempt took effect and its answer was lost
        if base is not None and base != current.revision:
            raise PublishConflict(base, current.revision)
        if current.revision:
            self._write_audit(current)  # in case its publisher died before it could
        index = CatalogueIndex(
            revision=current.revision + 1,
            write_id=write_id,
            base=current.revision,
            by=by,
            at=self._clock.wall(),
            entries=entries,
            changes=describe_changes(current, entries),
        )
        try:
            self._store.put(INDEX_KEY, encode(index), expected=store_revision)
        except StoreConflict as exc:
            found, _ = self.current()
            if found.write_id != write_id:
                raise PublishConflict(current.revision, found.revision) from exc
        self._write_audit(index)
        return index

    def _write_audit(self, index: CatalogueIndex) -> None:
        try:
            self._store.put(f"{AUDIT_PREFIX}{index.revision:010d}", encode(index), expected=0)
        except StoreConflict:
            return  # written by an earlier attempt


def _digest(service: Service) -> str:
    return hashlib.sha256(encode(service)).hexdigest()
