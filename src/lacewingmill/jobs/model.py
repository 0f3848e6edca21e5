"""The data model of jobs: submissions with their steps, and the configured queues and teams."""

import enum

import attrs

__all__ = [
    "HARD_DEADLINE_FACTOR",
    "AdviceTiming",
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

# By the platform's terms, an answer has no value after three times the allowed time.
HARD_DEADLINE_FACTOR = 3.0


class JobState(enum.Enum):
    """The state of a job that clients see."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@attrs.frozen
class Step:
    """A number of equal tasks of a job.

    :param count: number of tasks.
    :param processors: processor cores of one task.
    :param memory_gb: memory of one task, in gigabytes.
    :param accelerators: accelerators of one task.
    :param expected_s: declared run time of one task, in seconds; often far from the actual one.
    :param after: indexes of the earlier steps that must be done first.
    :param checkpoint: whether tasks save checkpoints.
    :param gang: whether the tasks must all run at the same time.
    :param same_rack: whether the tasks run slower when they are spread over several racks.
    :param label: label that the workers must have; empty for none.
    :param data_rack: rack that holds the data; tasks run slower in other racks; empty for none.
    :param max_per_worker: maximum number of tasks on one worker; 0 for no limit.
    :param lasting: whether tasks run until the job is cancelled.
    :param fills: whether the tasks use only processor time that other tasks leave idle.
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

    :param times: number of scheduled occurrences; 0 for one run without a start time.
    :param start_at: start time of the first occurrence, in seconds since the epoch.
    :param interval_s: time between occurrences, in seconds.
    """

    times: int = 0
    start_at: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.times)

    def starts_at(self, occurrence: int) -> float:
        """Return when an occurrence starts, in seconds since the epoch; 0 for no start time."""
        if not self.times:
            return 0.0
        return self.start_at + occurrence * self.interval_s


@attrs.frozen
class AdviceTiming:
    """How long the advice service takes for a question.

    :param decide_s: time for each question, in seconds.
    :param worker_s: time for each worker that is asked about, in seconds.
    """

    decide_s: float = 0.0
    worker_s: float = 0.0

    def answer_s(self, workers: int) -> float:
        """Return how long the answer about a number of workers takes, in seconds."""
        return self.decide_s + self.worker_s * workers


@attrs.frozen
class Queue:
    """A route to which clients submit jobs.

    :param priority: rank of the queue; 0 is the highest and may evict other jobs.
    :param attempts: number of failures of a task after which its job fails.
    :param stretch: factor by which the critical path of a job is multiplied for its due time.
    :param objective_s: time added to that product, in seconds.
    :param public: whether clients need no API key.
    :param advice: set if a step may run only on the workers that the advice service names.
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
    advice: AdviceTiming | None = None


@attrs.frozen
class TeamKeys:
    """A team with its API keys.

    :param quota: number of accelerators that are guaranteed to its urgent jobs.
    """

    name: str
    keys: frozenset[str]
    quota: int = 0


@attrs.frozen
class QueueTable:
    """A version of the configuration of queues and teams.

    :param version: increases with each change; a process never applies a lower one.
    """

    version: int
    queues: tuple[Queue, ...]
    teams: tuple[TeamKeys, ...]

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host whose prefix is the longest that a path begins with.

        :return: ``None`` when no prefix matches.
        """
        found = [q for q in self.queues if q.host == host and path.startswith(q.prefix)]
        return max(found, key=lambda queue: len(queue.prefix), default=None)

    def advice_timing(self, name: str) -> AdviceTiming:
        """Return the timing of a queue's advice; one without delays where there is none."""
        found = (queue.advice for queue in self.queues if queue.name == name)
        return next(found, None) or AdviceTiming()

    def team_of(self, key: str) -> TeamKeys | None:
        """Return the team to which an API key belongs; ``None`` for an unknown key."""
        return next((team for team in self.teams if key in team.keys), None)


@attrs.frozen
class Submission:
    """A job as it was accepted; it is stored before the client gets the answer.

    :param spec: text that is passed to each task at its start.
    :param accepted_at: wall-clock time of acceptance, in seconds since the epoch.
    :param advised: whether each start needs a ticket of the advice service.
    :param public: whether its queue was public, so that no key is needed to see or cancel it.
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
    public: bool = False

    def visible_to(self, team: str) -> bool:
        """Whether clients of a team may see and cancel the job.

        :param team: empty for clients without a key.
        """
        return self.public or not self.team or self.team == team

    def repeats(self, other: "Submission") -> bool:
        """Whether the job may have been submitted by the client that submitted another one."""
        if self.public or other.public:
            return self.public and other.visible_to("")
        return self.team == other.team

    def critical_path_s(self) -> float:
        """Return the declared run time of the longest chain of dependent steps, in seconds."""
        ends: list[float] = []
        for step in self.steps:
            start = max((ends[number] for number in step.after), default=0.0)
            ends.append(start + step.expected_s)
        return max(ends, default=0.0)

    def useful_for_s(self) -> float:
        """Return the time from submission, or from an occurrence's start, to the hard deadline.

        :return: in seconds; later results have no value.
        """
        return HARD_DEADLINE_FACTOR * self.due_after_s()

    def due_after_s(self) -> float:
        """Return the time from submission, or from an occurrence's start time, to the due time.

        :return: in seconds.
        """
        return self.stretch * self.critical_path_s() + self.objective_s


@attrs.frozen(order=True)
class TaskId:
    """The id of one task of an occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}/{self.occurrence}/{self.step}/{self.index}"


@attrs.frozen
class Unit:
    """The tasks that are placed together: a whole gang, or a single task.

    :param indexes: indexes of the tasks within the step.
    """

    job_id: str
    occurrence: int
    step: int
    indexes: tuple[int, ...]

    @property
    def unit_id(self) -> str:
        """Id of the unit, unique among all jobs."""
        return f"{self.job_id}/{self.occurrence}/{self.step}/{self.indexes[0]}"

    def task(self, index: int) -> TaskId:
        """Return the id of the task with an index."""
        return TaskId(self.job_id, self.occurrence, self.step, index)
