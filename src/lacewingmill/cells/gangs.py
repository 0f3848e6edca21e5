"""Starts and releases a gang on its workers.

Every member is leased before any is started, and any failure releases all members, so that a gang
holds either all of its accelerators or none.
"""

from collections.abc import Callable

import attrs
import gevent

from lacewingmill.exceptions import FenceRejected, JobRefused, LacewingmillError, TransportError
from lacewingmill.models import Fence, Vm
from lacewingmill.ports import (
    ApplicationResponse,
    Clock,
    LeaseOrder,
    LeaseState,
    ReleaseResponse,
    StartOrder,
    WorkerPort,
)
from lacewingmill.scheduling.messages import Placement

__all__ = [
    "Gang",
    "GangRunner",
    "ReleaseResult",
    "StartFailure",
    "gang_answer",
    "job_of",
    "make_gang_id",
]

LEASE_TTL_S = 10.0
ORDER_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 3.0
RELEASE_RETRY_INTERVAL_S = 0.5
ANSWER_CONTENT_TYPE = "application/json"


@attrs.define(eq=False)
class Gang:
    """One attempt of a job on its workers.

    :param acked_at: when the last acknowledged renewal was sent, by worker, in seconds.
    :param started: whether all members were started.
    :param releasing: whether the gang is being released; reports about it are then ignored.
    """

    gang_id: str
    job_id: str
    placement: Placement
    acked_at: dict[str, float] = attrs.field(factory=dict)
    started: bool = False
    started_at: float = 0.0
    releasing: bool = False

    @property
    def workers(self) -> tuple[str, ...]:
        """The workers of the gang; the first one returns the result."""
        return tuple(member.worker for member in self.placement)

    def renewable(self, now: float) -> bool:
        """Return whether the leases may be renewed.

        Every worker must have acknowledged a renewal within the last lease time.
        """
        return not self.releasing and all(
            now - self.acked_at.get(worker, 0.0) < LEASE_TTL_S for worker in self.workers
        )


@attrs.frozen
class StartFailure:
    """Why a gang did not start.

    :param worker: the worker that failed; empty if the start was aborted.
    :param silent: whether the worker did not answer.
    :param executed: whether any member may have run.
    """

    worker: str
    silent: bool
    executed: bool
    reason: str


@attrs.frozen
class ReleaseResult:
    """The result of releasing a gang.

    :param executed: whether any member ran, or may have because its worker was lost.
    :param result: the result of the first member if it had already finished; else ``None``.
    """

    executed: bool
    result: bytes | None


class GangRunner:
    """Sends the orders that start and release gangs.

    :param find_worker: returns a live worker by name; ``None`` if it is lost.
    """

    def __init__(
        self,
        workers: WorkerPort,
        clock: Clock,
        fence: Fence,
        find_worker: Callable[[str], Vm | None],
    ):
        self._workers = workers
        self._clock = clock
        self._fence = fence
        self._find_worker = find_worker

    def start(
        self, gang: Gang, lease: Callable[[int], LeaseOrder], start: Callable[[int], StartOrder]
    ) -> StartFailure | None:
        """Lease all members, then start them; release all on any failure.

        :param lease: returns the lease order of a member by rank.
        :param start: returns the start order of a member by rank.
        :return: ``None`` if all members run.
        :raises FenceRejected: a worker has accepted a higher fence.
        """
        now = self._clock.now()
        failure = self._send_to_all(gang, self._workers.lease, lease)
        if failure is None and not gang.releasing:
            gang.acked_at = dict.fromkeys(gang.workers, now)
            failure = self._send_to_all(gang, self._workers.start, start)
        if failure is None and not gang.releasing:
            gang.started = True
            gang.started_at = self._clock.now()
            return None
        gang.releasing = True
        released = self.release(gang, checkpoint=False)
        if failure is None:
            return StartFailure("", False, released.executed, "stopped while starting")
        silent = isinstance(failure, TransportError)
        return StartFailure(failure.peer, silent, released.executed, str(failure))

    def release(self, gang: Gang, *, checkpoint: bool) -> ReleaseResult:
        """Release all members; block until each worker has answered or is lost.

        :raises FenceRejected: a worker has accepted a higher fence.
        """
        gang.releasing = True
        calls = [
            gevent.spawn(self._release_member, worker, gang.gang_id, checkpoint)
            for worker in gang.workers
        ]
        gevent.joinall(calls)
        answers = []
        for call in calls:
            if isinstance(call.value, FenceRejected):
                raise call.value
            answers.append(call.value)
        executed = any(answer is None or answer.executed for answer in answers)
        first = answers[0]
        finished = first is not None and first.state == LeaseState.DONE
        return ReleaseResult(executed, first.result if finished else None)

    def _send_to_all(self, gang: Gang, send, make_order) -> LacewingmillError | None:
        calls = [
            gevent.spawn(self._send_order, send, worker, make_order(rank))
            for rank, worker in enumerate(gang.workers)
        ]
        gevent.joinall(calls)
        errors = [call.value for call in calls if call.value is not None]
        for exc in errors:
            if isinstance(exc, FenceRejected):
                gang.releasing = True
                raise exc
        return errors[0] if errors else None

    def _send_order(self, send, worker: str, order) -> LacewingmillError | None:
        vm = self._find_worker(worker)
        if vm is None:
            return JobRefused("worker is lost", step="order", peer=worker)
        try:
            send(vm, order, timeout_s=ORDER_TIMEOUT_S)
        except (FenceRejected, JobRefused, TransportError) as exc:
            exc.peer = worker
            return exc
        return None

    def _release_member(
        self, worker: str, gang_id: str, checkpoint: bool
    ) -> ReleaseResponse | FenceRejected | None:
        while True:
            vm = self._find_worker(worker)
            if vm is None:
                return None
            try:
                return self._workers.release(
                    vm, gang_id, self._fence, checkpoint=checkpoint, timeout_s=RELEASE_TIMEOUT_S
                )
            except FenceRejected as exc:
                return exc
            except TransportError:
                self._clock.sleep(RELEASE_RETRY_INTERVAL_S)


def make_gang_id(job_id: str, fence: Fence, attempt: int) -> str:
    """Return the id of a gang, unique among all owners.

    :param attempt: number of the job's gangs under this fence, from 1.
    """
    return f"{job_id}.{fence.epoch}.{fence.attempt}.{attempt}"


def job_of(gang_id: str) -> str:
    """Return the id of a gang's job."""
    return gang_id.rsplit(".", 3)[0]


def gang_answer(result: bytes, worker: str) -> ApplicationResponse:
    """Return the answer of a finished gang for its client.

    :param worker: the gang's first worker, which returned the result.
    """
    return ApplicationResponse(200, ANSWER_CONTENT_TYPE, result, worker)
