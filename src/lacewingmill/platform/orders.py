"""Orders to the platform's workers."""

from typing import Any

import attrs
import msgspec

from lacewingmill.adapters.http_client import HttpClient, HttpReply
from lacewingmill.exceptions import FenceRejected, TransportError, WorkerReplaced
from lacewingmill.jobs.model import TaskId
from lacewingmill.jobs.ports import (
    EndedRun,
    HoldOrder,
    HoldReport,
    ListedRun,
    RunOutcome,
    StartAnswer,
    StartOrder,
    StartOutcome,
    WorkerEntry,
)
from lacewingmill.platform.answers import decode_answer

__all__ = ["HttpWorkerOrders", "format_task", "parse_task"]

EXPECT_WORKER = "X-Expect-Instance"
OTHER_WORKER = 421
LISTED_FIELDS = 4  # of an entry of ``running``; a fifth tells the load
RunningRow = tuple[str, int, str | None, float]  # task, run, saved, percent
EndedRow = tuple[int, str, int, str, str | None]  # number, task, run, how, saved
REASONS = {
    "old": StartOutcome.SUPERSEDED,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}


@attrs.frozen
class _Refused:
    clock_ms: float = 0.0
    reason: str = ""


@attrs.frozen
class _Lists:
    clock_ms: float
    running: list[list[Any]] = attrs.field(factory=list)
    ended: list[list[Any]] = attrs.field(factory=list)
    born: int = 0


class HttpWorkerOrders:
    """Sends orders to workers over HTTP."""

    def __init__(self, caller: HttpClient):
        self._caller = caller

    def start(self, entry: WorkerEntry, order: StartOrder, *, timeout_s: float) -> StartAnswer:
        """Start a run."""
        body = {
            "task": format_task(order.task),
            "run": order.run,
            "spec": order.spec,
            "deadline_ms": int(order.until * 1000),  # end of the lease of all that runs there
            "fence": order.fence,
        }
        if order.saved:
            body["saved"] = order.saved
        if order.ticket:
            body["ticket"] = order.ticket
        reply = self._call(entry, "/run-start", body, timeout_s)
        answer = _refusal(reply, entry) if reply.body else _Refused()
        clock_s = answer.clock_ms / 1000
        if reply.status == 200:
            return StartAnswer(StartOutcome.STARTED, clock_s)
        if reply.status == 409:
            _check_fence(answer.reason, entry)
            return StartAnswer(REASONS.get(answer.reason, StartOutcome.INVALID), clock_s)
        if reply.status == 400:
            return StartAnswer(StartOutcome.INVALID, clock_s)
        return StartAnswer(StartOutcome.UNHEALTHY, clock_s)

    def stop(
        self, entry: WorkerEntry, task: TaskId, run: int, fence: int, *, timeout_s: float
    ) -> None:
        """Stop a run; a start of it that arrives later is rejected."""
        body = {"task": format_task(task), "run": run, "fence": fence}
        reply = self._call(entry, "/run-stop", body, timeout_s)
        if reply.status == 409:
            _check_fence(_refusal(reply, entry).reason, entry)
        if reply.status != 200:
            raise TransportError(f"answered {reply.status}", step="stop", peer=entry.address)

    def hold(self, entry: WorkerEntry, order: HoldOrder, *, timeout_s: float) -> HoldReport:
        """Extend leases and read the worker's lists."""
        body: dict[str, int] = {"fence": order.fence, "acked_upto": order.acked}
        if order.until:
            body["deadline_ms"] = int(order.until * 1000)
        if order.wait_s:
            body["wait_ms"] = int(order.wait_s * 1000)
        reply = self._call(entry, "/hold", body, timeout_s)
        if reply.status == 409:
            _check_fence(_refusal(reply, entry).reason, entry)
        if reply.status != 200:
            raise TransportError(f"answered {reply.status}", step="hold", peer=entry.address)
        lists = decode_answer(reply, _Lists, step="decode", peer=entry.address)
        try:
            return _report(lists, entry)
        except (msgspec.ValidationError, ValueError) as exc:
            raise TransportError(
                f"lists cannot be read: {exc}", step="hold", peer=entry.address
            ) from exc

    def forget(self, entry: WorkerEntry) -> None:
        """Close the connections to a worker that has left."""
        self._caller.forget(entry.address)

    def _call(
        self, entry: WorkerEntry, path: str, body: dict[str, Any], timeout_s: float
    ) -> HttpReply:
        reply = self._caller.call(
            entry.address,
            "POST",
            path,
            body=msgspec.json.encode(body),
            headers={"Content-Type": "application/json", EXPECT_WORKER: entry.worker},
            timeout_s=timeout_s,
        )
        if reply.status == OTHER_WORKER:
            raise WorkerReplaced(
                f"worker {entry.worker} is not at its address any more",
                step=path,
                peer=entry.address,
            )
        return reply


def format_task(task: TaskId) -> str:
    """Return a task's name on the wire."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(name: str) -> TaskId:
    """Return the task of a name on the wire.

    :raises ValueError: when the name is not that of a task.
    """
    job_id, occurrence, step, index = name.rsplit(".", 3)
    return TaskId(job_id, int(occurrence), int(step), int(index))


def _refusal(reply: HttpReply, entry: WorkerEntry) -> _Refused:
    return decode_answer(reply, _Refused, step="decode", peer=entry.address)


def _check_fence(reason: str, entry: WorkerEntry) -> None:
    if reason == "fence":
        raise FenceRejected("the worker obeys a higher fence", step="order", peer=entry.address)


def _report(lists: _Lists, entry: WorkerEntry) -> HoldReport:
    running = []
    for row in lists.running:
        task, run, saved, percent = msgspec.convert(row[:LISTED_FIELDS], RunningRow)
        running.append(ListedRun(parse_task(task), run, saved or "", percent))
    ended = []
    for row in lists.ended:
        number, task, run, how, saved = msgspec.convert(row, EndedRow)
        ended.append(EndedRun(number, parse_task(task), run, RunOutcome(how), saved or ""))
    return HoldReport(
        lists.clock_ms / 1000,
        lists.born or entry.incarnation,
        tuple(running),
        tuple(ended),
    )
