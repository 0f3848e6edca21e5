"""The log events, and the log that writes them.

docs/EVENTS.md lists the same events; a test compares them.
"""

import enum
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import structlog

__all__ = ["EventListener", "EventLog", "LogEvent", "configure_logging"]


class LogEvent(enum.Enum):
    """A log event: number, level and meaning."""

    VM_STARTED = (100, "info", "The entry VM accepts requests.")
    VM_STOPPING = (101, "info", "A planned stop began; requests in flight are finished.")
    VM_STOPPED = (102, "info", "The VM stopped; requests in flight were finished, if time allowed.")
    NOT_READY = (103, "warning", "The VM is not ready any more; gives the reason.")
    READY = (104, "info", "The VM is ready.")
    SETTINGS_RELOADED = (106, "info", "Changed settings were loaded; lists the changed fields.")
    SETTINGS_UNUSABLE = (107, "error", "Changed settings are invalid; the old ones stay in force.")
    LINES_DROPPED = (105, "warning", "Lines above an event's rate limit were dropped; counted.")
    PROCESS_BEGINS = (108, "info", "The process is starting; it accepts no requests yet.")
    PROCESS_FAILED = (109, "error", "An error ends the process; gives the error and its location.")
    REQUEST_CRASHED = (110, "error", "A request raised an unexpected error; others continue.")
    SETTINGS_AWAITED = (111, "warning", "The settings cannot be used yet; they are read again.")
    ADDRESS_TAKEN = (112, "warning", "An address is in use; listening on it is retried.")
    TASK_FAILED = (113, "error", "A greenlet ended with an unexpected error; the others continue.")
    LOOP_FAILED = (114, "error", "A loop ended with an unexpected error and is restarted.")
    SETTINGS_REPLACED = (116, "warning", "Settings changed before the VM was ready; it is rebuilt.")
    ITEM_FAILED = (115, "error", "Handling one worker, job or record failed; others continue.")
    CATALOGUE_IN_FORCE = (200, "info", "A configuration revision is in force on this VM.")
    CATALOGUE_UNREADABLE = (201, "error", "A published document is unreadable; the old one stays.")
    STORE_UNAVAILABLE = (210, "warning", "The key-value service does not answer.")
    STORE_AVAILABLE = (211, "info", "The key-value service answers again.")
    VM_LIST_UNAVAILABLE = (220, "warning", "The VM list does not answer; the last one is used.")
    PEER_SILENT = (230, "warning", "An entry VM does not answer heartbeats.")
    PEER_BACK = (231, "info", "An entry VM answers heartbeats again.")
    TARGET_LEAVING = (240, "info", "A target is leaving; it gets no new work.")
    TARGET_SUSPECT = (241, "warning", "Several calls to an executor failed; it gets none for now.")
    CELL_TAKEN = (300, "info", "This VM became the owner of the cell; gives the fencing token.")
    CELL_SUCCEEDED = (301, "warning", "This VM became the owner while the store was unavailable.")
    CELL_LOST = (302, "warning", "Another VM owns the cell; this one stops directing workers.")
    CELL_RECOVERED = (303, "info", "A new owner has recovered the gangs on the workers.")
    CELL_HANDED_OVER = (304, "info", "The ownership of the cell was released at a planned stop.")
    CELL_OWNER_UNREADABLE = (305, "error", "The stored owner of the cell cannot be decoded.")
    CELL_NOT_TAKEN = (306, "info", "A takeover of the cell was given up; gives the known owner.")
    GANG_STARTED = (310, "info", "All members of a gang are running.")
    GANG_REJECTED = (311, "warning", "A gang could not be leased or started; it was released.")
    GANG_EVICTED = (312, "info", "A gang was stopped to free its accelerators for another job.")
    GANG_STOPPED = (313, "info", "All members of a gang were stopped.")
    JOB_DONE = (320, "info", "A job ended with a result.")
    JOB_REFUSED = (321, "info", "A job was refused and certainly did not run.")
    JOB_UNKNOWN = (322, "warning", "It is not known whether a job ran to its end.")
    WORKER_JOINED = (330, "info", "A worker is live, and what runs on it is known.")
    WORKER_LOST = (331, "warning", "A worker timed out or left; all of its gangs are stopped.")
    WORKER_QUARANTINED = (332, "warning", "Jobs fail repeatedly on a worker; it gets none for now.")
    ORPHAN_RELEASED = (333, "warning", "A worker held a gang of no known job; it was released.")
    VM_ENTRY_KEPT = (221, "warning", "A stopped VM stays listed until its lease lapses.")
    STORE_RELAYED = (212, "info", "Store calls now go through another VM, or directly again.")
    JOBS_TAKEN = (400, "info", "This VM became the owner of the jobs; gives the fencing token.")
    JOBS_LOST = (401, "warning", "This VM is no longer the owner of the jobs; gives the reason.")
    JOBS_LEASE_KEPT = (402, "warning", "An owner's lease could not be ended; it lapses by itself.")
    JOBS_OWNER_REPLACED = (404, "warning", "An owner that two VMs cannot reach loses its lease.")
    JOBS_UNREAD = (405, "warning", "A new owner cannot read the store yet; it retries.")
    JOBS_RECOVERED = (403, "info", "A new owner has read the jobs and what runs on the workers.")
    JOBS_OWNER_UNREADABLE = (406, "error", "The record of the owner or its term is unreadable.")
    JOBS_FAILURE_UNCOUNTED = (407, "warning", "The failure of an owner was not counted.")
    PROGRESS_UNSTORED = (408, "warning", "An owner left before it had stored the progress of jobs.")
    ENDS_PASSED_ON = (409, "info", "An owner that has left stored the ends listed to it since.")
    JOB_ACCEPTED = (410, "info", "A job is stored and reported to its client as accepted.")
    JOB_NOT_ACCEPTED = (411, "info", "A job was refused and never runs; gives the reason.")
    JOB_DOUBTFUL = (412, "warning", "It is unknown if a job was stored; its client is told so.")
    JOB_TAKEN = (413, "info", "The owner has added an accepted job to its jobs.")
    JOB_CANCELLED = (414, "info", "A client cancelled a job.")
    JOB_FAILED = (415, "warning", "A unit of a job failed as many times as its queue allows.")
    JOB_ENDED = (416, "info", "A job reached a final state.")
    JOB_UNREADABLE = (417, "error", "A stored job cannot be decoded; it is skipped.")
    JOB_STATE_UNREAD = (418, "warning", "A job's state could not be read; its client was told so.")
    CANCEL_NOT_STORED = (419, "warning", "A cancellation was not stored, or that is not known.")
    UNIT_ORDERED = (420, "info", "The start of a unit was ordered; gives its workers.")
    UNIT_REJECTED = (421, "warning", "A worker did not start a member; the unit is placed again.")
    UNIT_EVICTED = (
        422,
        "info",
        "A unit is stopped for another one; gives why and the lost work.",
    )
    UNIT_TOO_LATE = (429, "info", "A waiting unit would end too late; others go before it.")
    UNIT_PARKED = (423, "warning", "No set of workers can hold a unit; it is retried later.")
    ADVICE_MISSING = (
        427,
        "warning",
        "The advice service did not answer which workers may run a unit.",
    )
    UNIT_MOVED = (428, "info", "A unit is stopped on a slow worker and goes on elsewhere.")
    RUN_ENDED = (424, "info", "A worker reported the end of a run.")
    ORDER_UNANSWERED = (
        426,
        "warning",
        "A start or stop got no usable answer; it may still be carried out.",
    )
    STRAY_STOPPED = (425, "warning", "A worker ran a task that no unit needs; it is stopped.")
    RUN_GIVEN_UP = (438, "warning", "A run counts as over although no end was listed; gives why.")
    RUN_REPEATED = (439, "warning", "A run is done whose unit has a later run; gives both and why.")
    END_OF_UNKNOWN_JOB = (
        440,
        "warning",
        "A worker listed the end of a run of a job not known here.",
    )
    WORKER_SILENT = (430, "warning", "A worker does not answer or is unhealthy; it gets no work.")
    WORKER_UNLISTED = (431, "warning", "A worker is no longer listed in the store.")
    WORKER_UNREADABLE = (432, "warning", "The entry of a worker cannot be decoded; it is skipped.")
    WORKER_ENDED = (433, "info", "No machine runs a silent worker any more; nothing runs on it.")
    MACHINES_UNKNOWN = (
        434,
        "warning",
        "The machines' workers are not known; silent ones may run until their leases lapse.",
    )
    WORKER_CHANGED = (
        435,
        "warning",
        "A worker has started again with another size, rack or other labels.",
    )
    DOMAINS_EVACUATED = (441, "warning", "Nothing is started in evacuated failure domains.")
    DOMAINS_RELEASED = (442, "info", "Work is started again in released failure domains.")
    QUOTAS_EXCEED_WORKERS = (443, "error", "The workers left cannot hold all teams' quotas.")
    WORKER_SLOW = (436, "warning", "Work takes far longer on a worker than on others, or stands.")
    WORKER_SOUND = (437, "info", "A worker that was slow is no longer known to be.")
    GUARANTEE_SHORTFALL = (340, "error", "A guaranteed shape cannot be reclaimed now.")

    def __init__(self, number: int, level: str, meaning: str):
        self.number = number
        self.level = level
        self.meaning = meaning


# Limit of lines per event. At the heaviest load of the users' sites, an event is emitted about 40
# times a second. Events of failures get four times the limit, so that they are dropped last.
MAX_LINES_PER_S = 200
FAILURE_LIMIT_FACTOR = 4
FAILURE_LEVELS = ("warning", "error")

EventListener = Callable[[LogEvent, dict[str, Any]], None]


class EventLog:
    """Writes events to the log, up to a number of lines per event and second.

    :param vm: name of this VM, a field of every line.
    :param listener: called with each event and its fields, also when the line is dropped.
    """

    def __init__(self, vm: str, listener: EventListener | None = None):
        self._logger = structlog.get_logger().bind(vm=vm)
        self._listener = listener
        self._second = 0
        self._counts: dict[LogEvent, int] = {}
        self._dropped: dict[str, int] = {}

    def emit(self, event: LogEvent, **fields: Any) -> None:
        """Log an event with its fields, unless it has reached its limit in this second."""
        if self._listener is not None:
            self._listener(event, fields)
        self._start_second(int(time.monotonic()))
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        factor = FAILURE_LIMIT_FACTOR if event.level in FAILURE_LEVELS else 1
        if count > MAX_LINES_PER_S * factor:
            name = event.name.lower()
            self._dropped[name] = self._dropped.get(name, 0) + 1
            return
        self._write(event, fields)

    def _start_second(self, second: int) -> None:
        if second == self._second:
            return
        self._second = second
        self._counts.clear()
        if self._dropped:
            dropped, self._dropped = self._dropped, {}
            self._write(LogEvent.LINES_DROPPED, {"dropped": dropped})

    def _write(self, event: LogEvent, fields: dict[str, Any]) -> None:
        write = getattr(self._logger, event.level)
        write(event.name.lower(), number=event.number, **fields)


def configure_logging(stream: TextIO | None = None) -> None:
    """Configure structlog to write log lines as JSON.

    :param stream: destination of the lines; standard error by default.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
    )
