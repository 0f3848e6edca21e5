"""The data of jobs made of steps: what callers hand in, and how the fleet is configured for it."""

import enum

import attrs

__all__ = [
    "JobState",
    "JobTiming",
    "Queue",
    "QueueTable",
    "Step",
    "Submission",
    "TaskId",
    "TeamKeys",
    "Unit",
]


class JobState(enum.Enum):
    """What callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job is over."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@attrs.frozen
class Step:
    """Tasks of one kind within a job.

    :param count: number of tasks.
    :param processors: processor cores of one task.
    :param memory_gb: memory of one task, in gigabytes.
    :param accelerators: accelerators of one task.
    :param expected_s: declared run time of one task, in seconds; often far off.
    :param after: numbers of earlier steps that must be done first.
    :param checkpoint: whether tasks save their progress.
    :param gang: whether the tasks work only together.
    :param same_rack: whether the tasks slow down when they run on several racks.
    :param label: a label that each worker must have; empty for none.
    :param data_rack: the rack of the data, away from which tasks slow down; empty for none.
    :param max_per_worker: most tasks on one worker; 0 for no limit.
    :param lasting: whether tasks run until the job is cancelled.
    :param fills: whether the tasks take only processor time that others leave.
    """

    count: int
    processors: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0
    expected_s: float = 1.0
    after: tuple[int, ...] = ()
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    lasting: bool = False
    fills: bool = False


@attrs.frozen
class JobTiming:
    """When the steps of a job run.

    :param times: how often they run; 0 for once, at once.
    :param start_at: due time of the first occurrence, in seconds since the epoch.
    :param interval_s: time between occurrences, in seconds.
    """

    times: int = 0
    start_at: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.times)

    def due_at(self, occurrence: int) -> float:
        """Return when an occurrence is due, in seconds since the epoch; 0 for at once."""
        if not self.times:
            return 0.0
        return self.start_at + occurrence * self.interval_s


@attrs.frozen
class Queue:
    """A route to which callers submit jobs.

    :param priority: 0 goes first and may evict others.
    :param attempts: a task that failed so many times fails its job.
    :param stretch: a job is due after this multiple of its longest chain of work.
    :param objective_s: time allowed beside that, in seconds.
    :param public: whether callers need no key.
    :param advised: whether only some workers may run a step, which the advice service knows.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    objective_s: float
    public: bool = False
    advised: bool = False


@attrs.frozen
class TeamKeys:
    """A team, the keys of its callers and the accelerators that belong to its urgent jobs."""

    name: str
    keys: frozenset[str]
    quota: int = 0


@attrs.frozen
class QueueTable:
    """A configuration of queues and teams.

    :param version: rises with each change; a process never goes back to a lower one.
    """

    version: int
    queues: tuple[Queue, ...]
    teams: tuple[TeamKeys, ...]

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix of a path."""
        found = [q for q in self.queues if q.host == host and path.startswith(q.prefix)]
        return max(found, key=lambda queue: len(queue.prefix), default=None)

    def team_of(self, key: str) -> TeamKeys | None:
        """Return the team that holds a key."""
        return next((team for team in self.teams if key in team.keys), None)


@attrs.frozen
class Submission:
    """A job as it was accepted; stored before its caller is told so.

    :param spec: text that each task is started with.
    :param accepted_at: wall-clock time of acceptance, in seconds since the epoch.
    :param advised: whether each start needs a ticket of the advice service.
    """

    job_id: str
    queue: str
    service: str
    team: str
    priority: int
    attempts: int
    stretch: float
    objective_s: float
    spec: str
    steps: tuple[Step, ...]
    timing: JobTiming = JobTiming()
    accepted_at: float = 0.0
    advised: bool = False

    def critical_path_s(self) -> float:
        """Return the declared time of the longest chain of steps, in seconds."""
        ends: list[float] = []
        for step in self.steps:
            start = max((ends[number] for number in step.after), default=0.0)
            ends.append(start + step.expected_s)
        return max(ends, default=0.0)

    def due_after_s(self) -> float:
        """Return the time after which the job's answer is late, in seconds."""
        return self.stretch * self.critical_path_s() + self.objective_s


@attrs.frozen(order=True)
class TaskId:
    """Names one task of an occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}/{self.occurrence}/{self.step}/{self.index}"


@attrs.frozen
class Unit:
    """Tasks that are placed together: a whole gang, or one task.

    :param indexes: the tasks of the step.
    """

    job_id: str
    occurrence: int
    step: int
    indexes: tuple[int, ...]

    @property
    def unit_id(self) -> str:
        """Name of the unit, unique among all jobs."""
        return f"{self.job_id}/{self.occurrence}/{self.step}/{self.indexes[0]}"

    def task(self, index: int) -> TaskId:
        """Return the name of one of its tasks."""
        return TaskId(self.job_id, self.occurrence, self.step, index)
