"""HTTP client for orders to the platform's workers."""

from typing import Any

import attrs

from lacewingmill.adapters.http_client import HttpClient, HttpReply
from lacewingmill.adapters.replies import decode_reply
from lacewingmill.codec import convert, decode_json, encode_json
from lacewingmill.exceptions import (
    FenceRejected,
    MessageInvalid,
    TransportError,
    WorkerReplaced,
)
from lacewingmill.jobs.model import TaskId
from lacewingmill.jobs.ports import (
    EndedRun,
    HoldOrder,
    HoldReport,
    ListedRun,
    RunOutcome,
    StartOrder,
    StartOutcome,
    StartResponse,
    WorkerEntry,
)
from lacewingmill.platform.fields import Amount, Clock, Number

__all__ = ["HttpWorkerOrders", "format_task", "parse_task"]

EXPECT_WORKER_HEADER = "X-Expect-Instance"
STATUS_OTHER_WORKER = 421
MAX_LISTED_ENDS = 500  # ends that a worker lists at a time
RUNNING_FIELDS_USED = 4  # of an entry of ``running``; the fifth, the load, is not used
RunningRow = tuple[str, Number, str | None, Amount]  # task, run, checkpoint, percent done
EndedRow = tuple[Number, str, Number, str, str | None]  # number, task, run, end, checkpoint
START_REJECTIONS = {
    "old": StartOutcome.SUPERSEDED,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}


@attrs.frozen
class _OrderReply:
    clock_ms: Clock = 0.0
    reason: str = ""


@attrs.frozen
class _HoldReply:
    clock_ms: Clock
    running: list[list[Any]] = attrs.field(factory=list)
    ended: list[list[Any]] = attrs.field(factory=list)
    born: Number = 0


class HttpWorkerOrders:
    """Client that sends orders to workers."""

    def __init__(self, client: HttpClient):
        self._client = client

    def start(self, entry: WorkerEntry, order: StartOrder, *, timeout_s: float) -> StartResponse:
        """Start a run of a task.

        :raises FenceRejected: when the worker has accepted a higher fencing token.
        :raises WorkerReplaced: when another worker responds at the address.
        :raises TransportError: when no usable response arrived; the run may have been started.
        """
        body = {
            "task": format_task(order.task),
            "run": order.run,
            "spec": order.spec,
            "deadline_ms": int(order.until * 1000),  # end of the leases of all runs there
            "fence": order.fence,
        }
        if order.saved:
            body["saved"] = order.saved
        if order.ticket:
            body["ticket"] = order.ticket
        reply = self._call(entry, "/run-start", body, timeout_s)
        answer = _decode_order_reply(reply, entry) if reply.body else _OrderReply()
        clock_s = answer.clock_ms / 1000
        if reply.status == 200:
            return StartResponse(StartOutcome.STARTED, clock_s)
        if reply.status == 409:
            _check_fence(answer.reason, entry)
            return StartResponse(START_REJECTIONS.get(answer.reason, StartOutcome.INVALID), clock_s)
        if reply.status == 400:
            return StartResponse(StartOutcome.INVALID, clock_s)
        return StartResponse(StartOutcome.UNHEALTHY, clock_s)

    def stop(
        self, entry: WorkerEntry, task: TaskId, run: int, fence: int, *, timeout_s: float
    ) -> None:
        """Stop a run; the worker rejects a start of it that arrives later.

        :raises FenceRejected: when the worker has accepted a higher fencing token.
        :raises WorkerReplaced: when another worker responds at the address.
        :raises TransportError: when no usable response arrived; the run may have been stopped.
        """
        body = {"task": format_task(task), "run": run, "fence": fence}
        reply = self._call(entry, "/run-stop", body, timeout_s)
        if reply.status == 409:
            _check_fence(_decode_order_reply(reply, entry).reason, entry)
        if reply.status != 200:
            raise TransportError(f"answered {reply.status}", step="stop", peer=entry.address)

    def hold(self, entry: WorkerEntry, order: HoldOrder, *, timeout_s: float) -> HoldReport:
        """Extend the leases of all runs on a worker and read its lists of runs.

        :raises FenceRejected: when the worker has accepted a higher fencing token.
        :raises WorkerReplaced: when another worker responds at the address.
        :raises TransportError: when no usable response arrived; the leases may have been extended.
        """
        body: dict[str, int] = {"fence": order.fence, "acked_upto": order.acked}
        if order.until:
            body["deadline_ms"] = int(order.until * 1000)
        if order.wait_s:
            body["wait_ms"] = int(order.wait_s * 1000)
        reply = self._call(entry, "/hold", body, timeout_s)
        if reply.status == 409:
            _check_fence(_decode_order_reply(reply, entry).reason, entry)
        if reply.status != 200:
            raise TransportError(f"answered {reply.status}", step="hold", peer=entry.address)
        lists = decode_reply(
            reply, _HoldReply, step="decode", peer=entry.address, decoder=decode_json
        )
        try:
            return _make_report(lists, entry)
        except (MessageInvalid, ValueError) as exc:
            raise TransportError(
                f"cannot decode the lists of runs: {exc}", step="hold", peer=entry.address
            ) from exc

    def forget(self, entry: WorkerEntry) -> None:
        """Close the idle connections to a worker that has left."""
        self._client.forget(entry.address)

    def _call(
        self, entry: WorkerEntry, path: str, body: dict[str, Any], timeout_s: float
    ) -> HttpReply:
        reply = self._client.call(
            entry.address,
            "POST",
            path,
            body=encode_json(body),
            headers={"Content-Type": "application/json", EXPECT_WORKER_HEADER: entry.worker},
            timeout_s=timeout_s,
        )
        if reply.status == STATUS_OTHER_WORKER:
            raise WorkerReplaced(
                f"worker {entry.worker} is no longer at its address",
                step=path,
                peer=entry.address,
            )
        return reply


def format_task(task: TaskId) -> str:
    """Return the name of a task in requests to workers."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(name: str) -> TaskId:
    """Return the task that a name in a worker's response refers to.

    :raises ValueError: when the name is malformed.
    """
    job_id, occurrence, step, index = name.rsplit(".", 3)
    return TaskId(job_id, int(occurrence), int(step), int(index))


def _decode_order_reply(reply: HttpReply, entry: WorkerEntry) -> _OrderReply:
    return decode_reply(reply, _OrderReply, step="decode", peer=entry.address, decoder=decode_json)


def _check_fence(reason: str, entry: WorkerEntry) -> None:
    if reason == "fence":
        raise FenceRejected(
            "the worker has accepted a higher fencing token", step="order", peer=entry.address
        )


def _make_report(lists: _HoldReply, entry: WorkerEntry) -> HoldReport:
    running = []
    for row in lists.running:
        task, run, saved, percent = convert(row[:RUNNING_FIELDS_USED], RunningRow)
        running.append(ListedRun(parse_task(task), run, saved or "", percent))
    ended = []
    for row in lists.ended:
        number, task, run, end, saved = convert(row, EndedRow)
        ended.append(EndedRun(number, parse_task(task), run, RunOutcome(end), saved or ""))
    return HoldReport(
        lists.clock_ms / 1000,
        lists.born or entry.incarnation,
        tuple(running),
        tuple(ended),
        truncated=len(ended) >= MAX_LISTED_ENDS,
    )
