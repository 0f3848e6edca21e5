"""Writes the progress of jobs to the store, many jobs in one transaction."""

from collections.abc import Callable

import attrs
import gevent
from gevent.event import Event

from lacewingmill.codec import encode
from lacewingmill.exceptions import StoreUnavailable, TransactionConflict
from lacewingmill.jobs.graph import Progress
from lacewingmill.jobs.keys import OWNER_KEY, progress_key
from lacewingmill.jobs.ports import ItemRevision, Put, Transaction, TransactionStore
from lacewingmill.ports import Clock

__all__ = ["Ledger"]

# The store takes 32 entries a transaction: one condition on the owner, two entries a job.
JOBS_PER_COMMIT = 15
RETRY_S = 0.15


@attrs.define
class _Staged:
    """Progress to write.

    :param written: set once this progress, or a later one, is in the store.
    """

    progress: Progress
    written: Event


class Ledger:
    """Commits progress under the condition that this VM still owns the jobs.

    Each write also names the revision that it replaces, so that a write whose answer was lost and
    that takes effect late can never replace a newer one.

    :param fence: revision of the owner's key.
    :param committed: called with each job and the progress that is in the store now.
    :param deposed: called when another VM owns the jobs.
    """

    def __init__(
        self,
        store: TransactionStore,
        clock: Clock,
        fence: int,
        committed: Callable[[str, Progress], None],
        deposed: Callable[[], None],
    ):
        self._store = store
        self._clock = clock
        self._fence = fence
        self._committed = committed
        self._deposed = deposed
        self._revisions: dict[str, int] = {}
        self._staged: dict[str, _Staged] = {}
        self._work = Event()
        self._stopped = False
        self._loop = gevent.spawn(self._run)

    def know(self, job_id: str, revision: int) -> None:
        """Remember the revision of progress that was found in the store."""
        self._revisions[job_id] = revision

    def forget(self, job_id: str) -> None:
        """Forget a job whose keys are gone."""
        self._revisions.pop(job_id, None)

    def stage(self, job_id: str, progress: Progress) -> Event:
        """Write progress soon; the event is set once it is in the store."""
        staged = self._staged.get(job_id)
        if staged is None:
            staged = self._staged[job_id] = _Staged(progress, Event())
        staged.progress = progress
        self._work.set()
        return staged.written

    def stop(self) -> None:
        """Write nothing more."""
        self._stopped = True
        self._loop.kill(block=False)

    def _run(self) -> None:
        while not self._stopped:
            self._work.wait()
            self._work.clear()
            while self._staged and not self._stopped:
                batch = dict(list(self._staged.items())[:JOBS_PER_COMMIT])
                for job_id in batch:
                    del self._staged[job_id]
                self._write(batch)

    def _write(self, batch: dict[str, _Staged]) -> None:
        values = {job_id: encode(staged.progress) for job_id, staged in batch.items()}
        while not self._stopped:
            try:
                revision = self._store.commit(self._transaction(values))
            except StoreUnavailable:
                self._clock.sleep(RETRY_S)
                continue
            except TransactionConflict as exc:
                if exc.revisions.get(OWNER_KEY, self._fence) != self._fence:
                    self._deposed()
                    return
                self._learn(exc.revisions, values)
                continue
            for job_id, staged in batch.items():
                self._revisions[job_id] = revision
                self._committed(job_id, staged.progress)
                staged.written.set()
            return

    def _transaction(self, values: dict[str, bytes]) -> Transaction:
        expect = [ItemRevision(OWNER_KEY, self._fence)]
        expect += [
            ItemRevision(progress_key(job_id), self._revisions.get(job_id, 0)) for job_id in values
        ]
        puts = [Put(progress_key(job_id), value) for job_id, value in values.items()]
        return Transaction(tuple(expect), tuple(puts))

    def _learn(self, revisions: dict[str, int], values: dict[str, bytes]) -> None:
        """Take in revisions that earlier writes of this VM made without an answer."""
        for job_id in values:
            self._revisions[job_id] = revisions.get(progress_key(job_id), 0)
