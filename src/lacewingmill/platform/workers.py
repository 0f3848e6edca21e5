"""Decoding of the entries that workers register in the platform's store.

Other writers may leave anything among these entries, so every field is checked.
"""

import re

import attrs

from lacewingmill.addresses import is_address
from lacewingmill.codec import decode_json
from lacewingmill.exceptions import DocumentInvalid, MessageInvalid
from lacewingmill.jobs.ports import Record, WorkerEntry
from lacewingmill.platform.fields import Accelerators, Amount, Name, Number

__all__ = ["WORKER_PREFIX", "decode_worker"]

WORKER_PREFIX = "servers/"
READY = "ready"
DRAINING = "draining"
# Ids are sent in a header. The store accepts keys of up to 200 bytes.
ID_PATTERN = re.compile(r"[!-~]{1,200}\Z")
MAX_LABELS = 64


@attrs.frozen
class _Capacity:
    cpu: Amount = 0.0  # thousandths of a core
    mem_mb: Amount = 0.0
    gpu: Accelerators = 0


@attrs.frozen
class _Server:
    service: Name
    addr: str
    zone: Name
    state: str
    capacity: _Capacity
    labels: list[Name] = attrs.field(factory=list)  # the first is the kind, the last is the rack
    born: Number = 0


def decode_worker(record: Record) -> WorkerEntry:
    """Decode the entry of a worker.

    :raises DocumentInvalid: when the value is not the entry of a worker; the message names the
        field.
    """
    worker = record.key.removeprefix(WORKER_PREFIX)
    try:
        server = decode_json(record.value, _Server)
    except MessageInvalid as exc:
        raise DocumentInvalid([f"{record.key}: {exc.message}"]) from exc
    finding = _find_error(worker, server)
    if finding:
        raise DocumentInvalid([f"{record.key}: {finding}"])
    return WorkerEntry(
        worker,
        server.service,
        server.addr,
        server.zone,
        server.labels[-1] if server.labels else "",
        frozenset(server.labels),
        server.capacity.gpu,
        server.capacity.cpu / 1000,
        server.capacity.mem_mb / 1024,
        server.born,
        server.state == DRAINING,
    )


def _find_error(worker: str, server: _Server) -> str:
    """Return what is wrong with an entry whose fields have the right types; empty if nothing."""
    if not ID_PATTERN.match(worker):
        return "the id is not printable ASCII without blanks"
    if server.state not in (READY, DRAINING):
        return f"unknown state {server.state[:80]!r}"
    if not is_address(server.addr):
        return f"addr is not host:port: {server.addr[:80]!r}"
    if len(server.labels) > MAX_LABELS:
        return f"more than {MAX_LABELS} labels"
    return ""
