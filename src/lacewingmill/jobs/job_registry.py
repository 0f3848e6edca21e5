"""The jobs that the owner knows, and which of their states are stored."""

from gevent.event import Event

from lacewingmill.jobs.graph import JobGraph, Progress
from lacewingmill.jobs.keys import PROGRESS_PREFIX, progress_key
from lacewingmill.jobs.model import JobState, Submission, TaskId, Unit
from lacewingmill.jobs.store_writer import StoreWriter
from lacewingmill.ports import Clock, Meter, Meters

__all__ = ["JobRegistry"]


class JobRegistry:
    """Jobs by id; clients are told of a final state only once it is stored.

    :param store_writer: writes the jobs' progress.
    """

    def __init__(self, store_writer: StoreWriter, clock: Clock, meters: Meters):
        self.graphs: dict[str, JobGraph] = {}
        self._store_writer = store_writer
        self._clock = clock
        self._meters = meters
        self._stored_states: dict[str, JobState] = {}
        self._ended_at: dict[str, float] = {}

    def add(
        self, submission: Submission, revision: int, progress: Progress | None = None
    ) -> JobGraph:
        """Add a job, with its stored progress if there is any."""
        graph = self.graphs[submission.job_id] = JobGraph(submission, revision)
        if progress is not None:
            graph.restore(progress)
        self._stored_states[submission.job_id] = graph.state
        return graph

    def forget(self, job_id: str) -> None:
        """Remove a job whose keys were removed from the store."""
        self.graphs.pop(job_id, None)
        self._stored_states.pop(job_id, None)
        self._store_writer.forget(progress_key(job_id))

    def unit_of(self, task: TaskId) -> Unit | None:
        """Return the unit of a task; ``None`` when no known job contains the task."""
        graph = self.graphs.get(task.job_id)
        if graph is None or not graph.has_task(task):
            return None
        return graph.unit_of(task)

    def unit_by_id(self, unit_id: str) -> Unit | None:
        """Return the unit with an id; ``None`` when its job is no longer known."""
        job_id, occurrence, step, index = unit_id.split("/")
        return self.unit_of(TaskId(job_id, int(occurrence), int(step), int(index)))

    def needs_run(self, unit: Unit) -> bool:
        """Whether a unit is not done yet and its job has not ended."""
        graph = self.graphs.get(unit.job_id)
        return graph is not None and not graph.state.final and not graph.is_done(unit)

    def store(self, graph: JobGraph) -> Event:
        """Queue a job's progress for writing; the event is set once it is in the store."""
        if graph.state.final:
            self._ended_at.setdefault(graph.submission.job_id, self._clock.now())
        return self._store_writer.stage(progress_key(graph.submission.job_id), graph.progress())

    def on_commit(self, key: str, progress: Progress) -> None:
        """Handle progress that is now in the store, so that clients may be told of it."""
        job_id = key.removeprefix(PROGRESS_PREFIX)
        if job_id not in self._stored_states:
            return
        self._stored_states[job_id] = progress.state
        ended_at = self._ended_at.pop(job_id, None)
        if progress.state.final and ended_at is not None:
            self._meters.observe(Meter.SHOWN, self._clock.now() - ended_at)
            self._meters.count(Meter.JOBS, outcome=progress.state.value, cause="")

    def is_stored(self, graph: JobGraph) -> bool:
        """Whether the job's current state is in the store."""
        return self._stored_states[graph.submission.job_id] is graph.state

    def record_start(self, graph: JobGraph) -> None:
        """Record that a task of a job has started."""
        if graph.started:
            return
        graph.started = True
        waited_s = self._clock.wall() - graph.submission.accepted_at
        self._meters.observe(Meter.FIRST_START, max(0.0, waited_s))

    def state(self, job_id: str) -> JobState | None:
        """Return the state that clients may be told; ``None`` for an unknown job."""
        graph = self.graphs.get(job_id)
        if graph is None:
            return None
        stored = self._stored_states[job_id]
        if stored.final:
            return stored
        return JobState.RUNNING if graph.started else JobState.QUEUED

    def waiting(self, queue: str) -> int:
        """Return the number of jobs of a queue of which no task has started yet."""
        return sum(
            1
            for graph in self.graphs.values()
            if graph.submission.queue == queue and not graph.started and not graph.state.final
        )
