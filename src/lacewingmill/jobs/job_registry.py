"""The jobs that an owner knows, and what of them is stored."""

from gevent.event import Event

from lacewingmill.jobs.graph import JobGraph, Progress
from lacewingmill.jobs.keys import PROGRESS_PREFIX, progress_key
from lacewingmill.jobs.model import JobState, Submission, TaskId, Unit
from lacewingmill.jobs.store_writer import StoreWriter
from lacewingmill.ports import Clock, Meter, Meters

__all__ = ["JobBook"]


class JobRegistry:
    """Jobs by id; a final state is told only once it is stored.

    :param ledger: where progress is written.
    """

    def __init__(self, store_writer: StoreWriter, clock: Clock, meters: Meters):
        self.graphs: dict[str, JobGraph] = {}
        self._store_writer = store_writer
        self._clock = clock
        self._meters = meters
        self._shown: dict[str, JobState] = {}
        self._ended_at: dict[str, float] = {}

    def add(
        self, submission: Submission, revision: int, progress: Progress | None = None
    ) -> JobGraph:
        """Take a job in, with the progress that was found in the store."""
        graph = self.graphs[submission.job_id] = JobGraph(submission, revision)
        if progress is not None:
            graph.restore(progress)
        self._shown[submission.job_id] = graph.state
        return graph

    def forget(self, job_id: str) -> None:
        """Forget a job whose keys are gone from the store."""
        self.graphs.pop(job_id, None)
        self._shown.pop(job_id, None)
        self._store_writer.forget(progress_key(job_id))

    def unit_of(self, task: TaskId) -> Unit | None:
        """Return the unit of a task; ``None`` when no known job has such a task."""
        graph = self.graphs.get(task.job_id)
        if graph is None or not graph.has_task(task):
            return None
        return graph.unit_of(task)

    def unit_named(self, unit_id: str) -> Unit | None:
        """Return the unit of an id; ``None`` when its job is not known any more."""
        job_id, occurrence, step, index = unit_id.split("/")
        return self.unit_of(TaskId(job_id, int(occurrence), int(step), int(index)))

    def wants(self, unit: Unit) -> bool:
        """Whether a unit is still to be run."""
        graph = self.graphs.get(unit.job_id)
        return graph is not None and not graph.state.final and not graph.is_done(unit)

    def store(self, graph: JobGraph) -> Event:
        """Write a job's progress soon; the event is set once it is in the store."""
        if graph.state.final:
            self._ended_at.setdefault(graph.submission.job_id, self._clock.now())
        return self._store_writer.stage(progress_key(graph.submission.job_id), graph.progress())

    def committed(self, key: str, progress: Progress) -> None:
        """Progress is in the store and may be told."""
        job_id = key.removeprefix(PROGRESS_PREFIX)
        if job_id not in self._shown:
            return
        self._shown[job_id] = progress.state
        ended_at = self._ended_at.pop(job_id, None)
        if progress.state.final and ended_at is not None:
            self._meters.observe(Meter.SHOWN, self._clock.now() - ended_at)
            self._meters.count(Meter.JOBS, outcome=progress.state.value, cause="")

    def is_stored(self, graph: JobGraph) -> bool:
        """Whether the job's present state is in the store."""
        return self._shown[graph.submission.job_id] is graph.state

    def begin(self, graph: JobGraph) -> None:
        """Take in that a task of a job has started."""
        if graph.begun:
            return
        graph.begun = True
        waited_s = self._clock.wall() - graph.submission.accepted_at
        self._meters.observe(Meter.FIRST_START, max(0.0, waited_s))

    def state(self, job_id: str) -> JobState | None:
        """Return what a caller may be told of a job; ``None`` when it is unheard of."""
        graph = self.graphs.get(job_id)
        if graph is None:
            return None
        shown = self._shown[job_id]
        if shown.final:
            return shown
        return JobState.RUNNING if graph.begun else JobState.QUEUED

    def waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue no task of which has started."""
        return sum(
            1
            for graph in self.graphs.values()
            if graph.submission.queue == queue and not graph.begun and not graph.state.final
        )
