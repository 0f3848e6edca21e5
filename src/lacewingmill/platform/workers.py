"""Decoding of the entries that workers register in the platform's store."""

import attrs
import msgspec

from lacewingmill.exceptions import DocumentInvalid
from lacewingmill.jobs.ports import Record, WorkerEntry

__all__ = ["WORKER_PREFIX", "decode_worker"]

WORKER_PREFIX = "servers/"
READY = "ready"
DRAINING = "draining"


@attrs.frozen
class _Capacity:
    cpu: float = 0.0  # thousandths of a core
    mem_mb: float = 0.0
    gpu: int = 0


@attrs.frozen
class _Server:
    service: str
    addr: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str] = attrs.field(factory=list)  # the first is the kind, the last is the rack
    born: int = 0


def decode_worker(record: Record) -> WorkerEntry:
    """Decode the entry of a worker.

    :raises DocumentInvalid: when the value is not the entry of a worker.
    """
    try:
        server = msgspec.json.decode(record.value, type=_Server)
    except msgspec.DecodeError as exc:
        raise DocumentInvalid([f"{record.key}: {exc}"]) from exc
    if server.state not in (READY, DRAINING):
        raise DocumentInvalid([f"{record.key}: unknown state {server.state!r}"])
    return WorkerEntry(
        record.key.removeprefix(WORKER_PREFIX),
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
