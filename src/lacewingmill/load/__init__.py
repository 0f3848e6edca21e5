"""Pictures of the load, from which the scheduler and the admission of jobs decide; does no I/O."""

from lacewingmill.load.forecast import RunForecast
from lacewingmill.load.progress import ProgressTracker
from lacewingmill.load.speeds import WorkerSpeeds
from lacewingmill.load.team_use import TeamUse

__all__ = ["ProgressTracker", "RunForecast", "TeamUse", "WorkerSpeeds"]
