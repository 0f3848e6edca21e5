"""The catalogue of log events; docs/EVENTS.md lists the same, and a test holds them together."""

import enum
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import structlog

__all__ = ["EventListener", "EventLog", "LogEvent", "configure_logging"]


class LogEvent(enum.Enum):
    """A numbered event: number, level, meaning."""

    VM_STARTED = (100, "info", "The entry VM accepts requests.")
    VM_STOPPING = (101, "info", "A planned stop began; requests in flight are finished.")
    VM_STOPPED = (102, "info", "The entry VM stopped with nothing in flight.")
    NOT_READY = (103, "warning", "The VM turned not ready; the reason is given.")
    READY = (104, "info", "The VM turned ready.")
    SETTINGS_RELOADED = (106, "info", "Changed settings were read anew; what changed for this VM.")
    SETTINGS_UNUSABLE = (107, "error", "Changed settings cannot be used; the old ones stay.")
    LINES_DROPPED = (105, "warning", "Lines of events that came too often were dropped; counted.")
    PROCESS_BEGINS = (108, "info", "The process begins to start; nothing is accepted yet.")
    PROCESS_FAILED = (109, "error", "The process ends by an error; it and its place are given.")
    REQUEST_CRASHED = (110, "error", "A request raised an unexpected error; others go on.")
    SETTINGS_AWAITED = (111, "warning", "The settings cannot be used yet; they are read again.")
    ADDRESS_TAKEN = (112, "warning", "An address cannot be listened on yet; it is tried again.")
    TASK_FAILED = (113, "error", "A task ended by an unexpected error; the others go on.")
    LOOP_FAILED = (114, "error", "A loop met an unexpected error and begins anew.")
    CATALOGUE_IN_FORCE = (200, "info", "A configuration revision is in force on this VM.")
    CATALOGUE_UNREADABLE = (201, "error", "A published document cannot be read; the old one stays.")
    STORE_UNAVAILABLE = (210, "warning", "The key-value service does not answer.")
    STORE_AVAILABLE = (211, "info", "The key-value service answers again.")
    VM_LIST_UNAVAILABLE = (220, "warning", "The VM list does not answer; the last one is used.")
    PEER_SILENT = (230, "warning", "An entry VM does not answer heartbeats.")
    PEER_BACK = (231, "info", "An entry VM answers heartbeats again.")
    TARGET_LEAVING = (240, "info", "A target is leaving; it gets no new work.")
    TARGET_SUSPECT = (241, "warning", "An executor failed several calls; it is passed over.")
    CELL_TAKEN = (300, "info", "This VM owns the cell under the given fence.")
    CELL_SUCCEEDED = (301, "warning", "This VM took the cell over while the store was away.")
    CELL_LOST = (302, "warning", "Another VM owns the cell; this one stops directing workers.")
    CELL_RECOVERED = (303, "info", "Gangs were found on the workers and taken over.")
    CELL_HANDED_OVER = (304, "info", "The cell was handed over at a planned stop.")
    GANG_STARTED = (310, "info", "All members of a gang run.")
    GANG_REJECTED = (311, "warning", "A gang could not be leased or started; all was released.")
    GANG_EVICTED = (312, "info", "A gang gave its accelerators back.")
    GANG_STOPPED = (313, "info", "A gang was stopped whole.")
    JOB_DONE = (320, "info", "A job ended with an answer.")
    JOB_REFUSED = (321, "info", "A job was refused and provably not run.")
    JOB_UNKNOWN = (322, "warning", "Whether a job ran to its end cannot be proved.")
    WORKER_JOINED = (330, "info", "A worker is live and its lease table is known.")
    WORKER_LOST = (331, "warning", "A worker keeps silent or left; its gangs end whole.")
    WORKER_QUARANTINED = (332, "warning", "A worker fails job after job and takes none for now.")
    ORPHAN_RELEASED = (333, "warning", "A worker held a gang that nobody owns; it was released.")
    VM_ENTRY_KEPT = (221, "warning", "A stopped VM stays listed until its lease lapses.")
    STORE_RELAYED = (212, "info", "Calls to the store go through another VM, or directly again.")
    JOBS_TAKEN = (400, "info", "This VM directs the jobs of the platform under the given fence.")
    JOBS_LOST = (401, "warning", "This VM directs the jobs no more; the reason is given.")
    JOBS_LEASE_KEPT = (402, "warning", "An owner's lease could not be ended; it lapses by itself.")
    JOBS_OWNER_REPLACED = (404, "warning", "An owner that two VMs do not reach loses its lease.")
    JOBS_UNREAD = (405, "warning", "A new owner cannot read the store yet; it tries again.")
    JOBS_RECOVERED = (403, "info", "A new owner has read the jobs and what runs on the workers.")
    JOB_ACCEPTED = (410, "info", "A job was stored, and its caller was told so.")
    JOB_NOT_ACCEPTED = (411, "info", "A job was refused and never runs; the reason is given.")
    JOB_DOUBTFUL = (412, "warning", "Whether a job was stored is not known; its caller asks again.")
    JOB_TAKEN = (413, "info", "The owner has taken an accepted job in.")
    JOB_CANCELLED = (414, "info", "A caller gave a job up.")
    JOB_FAILED = (415, "warning", "A unit of a job failed as often as its queue allows.")
    JOB_ENDED = (416, "info", "A job reached a final state.")
    JOB_UNREADABLE = (417, "error", "A stored job cannot be read; it is passed over.")
    JOB_STATE_UNREAD = (418, "warning", "A caller was told that a job's state cannot be read now.")
    CANCEL_NOT_STORED = (419, "warning", "A caller's cancellation was not stored, as far as known.")
    UNIT_ORDERED = (420, "info", "The start of a unit was ordered.")
    UNIT_REJECTED = (421, "warning", "A worker did not start a member; the unit is placed anew.")
    UNIT_EVICTED = (422, "info", "A unit gives its workers back to another one.")
    UNIT_PARKED = (423, "warning", "No set of workers could hold a unit; it is tried again later.")
    ADVICE_MISSING = (
        427,
        "warning",
        "The advice service did not say which workers may run a unit.",
    )
    RUN_ENDED = (424, "info", "A worker has listed the end of a run.")
    ORDER_UNANSWERED = (
        426,
        "warning",
        "A start or stop got no answer, or one that says nothing; it may be carried out later.",
    )
    STRAY_STOPPED = (425, "warning", "A worker ran what nobody wants; it was stopped.")
    WORKER_SILENT = (430, "warning", "A worker does not answer or is not well; it gets no work.")
    WORKER_UNLISTED = (431, "warning", "A worker is not in the store any more.")
    WORKER_UNREADABLE = (432, "warning", "An entry of a worker cannot be read; it is passed over.")
    WORKER_ENDED = (433, "info", "No machine runs a silent worker any more; nothing runs there.")
    MACHINES_UNKNOWN = (
        434,
        "warning",
        "The machines' workers are not known; silent ones may run until their leases lapse.",
    )
    GUARANTEE_SHORTFALL = (340, "error", "A guaranteed shape cannot be reclaimed now.")

    def __init__(self, number: int, level: str, meaning: str):
        self.number = number
        self.level = level
        self.meaning = meaning


# Lines of one event in a second; those of failed requests get four times as many, so that they are
# dropped last. At the heaviest load of the users' sites an event comes about 40 times a second.
MAX_LINES_PER_S = 200
FAILURE_LIMIT_FACTOR = 4
FAILURE_LEVELS = ("warning", "error")

EventListener = Callable[[LogEvent, dict[str, Any]], None]


class EventLog:
    """Writes numbered events.

    :param vm: name of this VM, part of every line.
    :param listener: is told about each event as well; nobody by default.
    """

    def __init__(self, vm: str, listener: EventListener | None = None):
        self._logger = structlog.get_logger().bind(vm=vm)
        self._listener = listener
        self._second = 0
        self._written: dict[LogEvent, int] = {}
        self._dropped: dict[str, int] = {}

    def emit(self, event: LogEvent, **fields: Any) -> None:
        """Write one event with its fields, unless it has come too often in this second."""
        if self._listener is not None:
            self._listener(event, fields)
        self._begin_second(int(time.monotonic()))
        written = self._written.get(event, 0) + 1
        self._written[event] = written
        factor = FAILURE_LIMIT_FACTOR if event.level in FAILURE_LEVELS else 1
        if written > MAX_LINES_PER_S * factor:
            name = event.name.lower()
            self._dropped[name] = self._dropped.get(name, 0) + 1
            return
        self._write(event, fields)

    def _begin_second(self, second: int) -> None:
        if second == self._second:
            return
        self._second = second
        self._written.clear()
        if self._dropped:
            dropped, self._dropped = self._dropped, {}
            self._write(LogEvent.LINES_DROPPED, {"dropped": dropped})

    def _write(self, event: LogEvent, fields: dict[str, Any]) -> None:
        write = getattr(self._logger, event.level)
        write(event.name.lower(), number=event.number, **fields)


def configure_logging(stream: TextIO | None = None) -> None:
    """Write log lines as JSON.

    :param stream: where to; standard error by default.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
    )
