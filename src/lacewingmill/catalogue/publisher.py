"""Publishing: stores each service under its digest, then replaces the index by compare-and-swap.

A publication is accepted once the compare-and-swap of the index succeeds. The index carries a
unique write id: if the answer of the store is lost, reading the index again shows whether the write
took effect. Each accepted index is also written to the audit trail.
"""

import hashlib

from lacewingmill.codec import decode, encode
from lacewingmill.exceptions import PublishConflict, StoreConflict, StoreUnavailable
from lacewingmill.models import CatalogueIndex, IndexEntry, Service
from lacewingmill.ports import Clock, Store
from lacewingmill.store_keys import AUDIT_PREFIX, DOCUMENT_PREFIX, INDEX_KEY

__all__ = ["Publisher", "describe_changes", "document_key"]

MAX_ATTEMPTS = 5
RETRY_PAUSE_S = 0.5


def document_key(digest: str) -> str:
    """Return the store key of the document with this digest."""
    return DOCUMENT_PREFIX + digest


def describe_changes(before: CatalogueIndex, after: tuple[IndexEntry, ...]) -> tuple[str, ...]:
    """Return one line per service that was added, removed or changed."""
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
    """Publishes configurations to the store."""

    def __init__(self, store: Store, clock: Clock):
        self._store = store
        self._clock = clock

    def read_index(self) -> tuple[CatalogueIndex, int]:
        """Return the accepted index and the store revision of its key, 0 if there is none.

        :raises StoreUnavailable: when the store does not answer.
        """
        entry = self._store.get(INDEX_KEY)
        if entry is None:
            return CatalogueIndex(), 0
        return decode(entry.value, CatalogueIndex), entry.revision

    def publish(
        self, services: tuple[Service, ...], by: str, write_id: str, base: int | None
    ) -> CatalogueIndex:
        """Publish a complete configuration.

        :param by: name of the operator.
        :param write_id: unique per publication; publishing again with the same id is safe.
        :param base: revision that the operator's files are based on; ``None`` skips the check.
        :return: the accepted index.
        :raises PublishConflict: when another revision than ``base`` is in force, or another
            operator published at the same time.
        :raises StoreUnavailable: when the store did not answer after several attempts; publishing
            again with the same write id shows whether the publication took effect.
        """
        documents = {_digest(service): service for service in services}
        for digest, service in documents.items():
            self._retry_while_unavailable(lambda d=digest, s=service: self._write_document(d, s))
        entries = tuple(
            sorted(
                (IndexEntry(service.name, digest) for digest, service in documents.items()),
                key=lambda entry: entry.service,
            )
        )
        return self._retry_while_unavailable(lambda: self._swap_index(entries, by, write_id, base))

    def audit(self) -> list[CatalogueIndex]:
        """Return all accepted indexes, oldest first.

        :raises StoreUnavailable: when the store does not answer.
        """
        entries = self._store.list(AUDIT_PREFIX)
        return [decode(entry.value, CatalogueIndex) for entry in entries]

    def _retry_while_unavailable(self, operation):
        for attempt in range(MAX_ATTEMPTS):
            try:
                return operation()
            except StoreUnavailable:
                if attempt == MAX_ATTEMPTS - 1:
                    raise
                self._clock.sleep(RETRY_PAUSE_S)
        raise AssertionError("unreachable")

    def _write_document(self, digest: str, service: Service) -> None:
        try:
            self._store.put(document_key(digest), encode(service), expected=0)
        except StoreConflict:
            return  # already stored; a key with the digest always holds the same content

    def _swap_index(
        self, entries: tuple[IndexEntry, ...], by: str, write_id: str, base: int | None
    ) -> CatalogueIndex:
        current, store_revision = self.read_index()
        if current.write_id == write_id:
            self._write_audit_entry(current)
            return current  # an earlier attempt took effect, but its answer was lost
        if base is not None and base != current.revision:
            raise PublishConflict(base, current.revision)
        if current.revision:
            self._write_audit_entry(current)  # its publisher may have died before writing it
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
            found, _ = self.read_index()
            if found.write_id != write_id:
                raise PublishConflict(current.revision, found.revision) from exc
        self._write_audit_entry(index)
        return index

    def _write_audit_entry(self, index: CatalogueIndex) -> None:
        try:
            self._store.put(f"{AUDIT_PREFIX}{index.revision:010d}", encode(index), expected=0)
        except StoreConflict:
            return  # written by an earlier attempt


def _digest(service: Service) -> str:
    return hashlib.sha256(encode(service)).hexdigest()
