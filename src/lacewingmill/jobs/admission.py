"""Decides which jobs surely cannot be served and are refused before they are stored.

Every doubt is decided in favour of the job.
"""

import enum
import math
import random
from collections.abc import Callable

import attrs

from lacewingmill.jobs.model import Step, Submission
from lacewingmill.load.digest import AdmissionDigest, DigestVersion, ServiceDigest
from lacewingmill.load.room import StartForecast

__all__ = ["Admission", "Refusal", "RefusalCause"]

# An older digest tells nothing about the present, in seconds.
MAX_AGE_S = 3.0
# Declared run times are up to nine tenths above the actual ones.
DECLARED_TIME_SHARE = 0.5
# Callers of jobs that fit on no worker are sent away for this time, in seconds, as workers seldom
# change.
NEVER_FITS_RETRY_S = 60.0
# Shortest time over which the return of refused callers is spread, in seconds: when all of them are
# refused in the same second, no more than a fifth of them return in any one second.
MIN_SPREAD_S = 16.0


class RefusalCause(enum.Enum):
    """Why a job is refused, as metrics and logs name it."""

    LOAD = "load"
    NEVER_FITS = "never_fits"


@attrs.frozen
class Refusal:
    """A job must be refused.

    :param reason: for the client.
    :param retry_after_s: when a job like it may be accepted, in seconds.
    :param digest: version of the digest that the decision is based on.
    :param age_s: age of that digest, in seconds.
    :param earliest_s: time before which the job cannot start, in seconds.
    """

    cause: RefusalCause
    reason: str
    retry_after_s: float
    digest: DigestVersion
    age_s: float
    earliest_s: float = 0.0


@attrs.frozen
class _Accepted:
    """What a VM has accepted since it got its digest: one step that can start at once.

    :param member_s: the least run time of all members, in seconds.
    """

    service: str
    rank: int
    step: Step
    member_s: float


class Admission:
    """Decides about the jobs that clients hand in at this VM, by the latest digest of the owner.

    :param rng: source of the random part of the times of return.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._digest: AdmissionDigest | None = None
        self._forecast_at = 0.0
        self._accepted: list[_Accepted] = []

    @property
    def version(self) -> DigestVersion:
        """The version of the latest digest; one older than any other if there is none."""
        return self._digest.version if self._digest is not None else DigestVersion()

    def learn(self, digest: AdmissionDigest, now: float) -> None:
        """Use a digest that has just arrived, unless it is older than one that came before."""
        if digest.version <= self.version:
            return
        self._digest = digest
        self._forecast_at = now - digest.age_s
        self._accepted.clear()

    def add_accepted(self, submission: Submission) -> None:
        """Count a job that this VM has accepted, which the digest does not contain yet."""
        if self._digest is None or submission.timing.times:
            return
        for step in _first_steps(submission):
            member_s = DECLARED_TIME_SHARE * step.expected_s * step.count
            self._accepted.append(
                _Accepted(submission.service, submission.priority, step, member_s)
            )

    def decide(self, submission: Submission, term: int, now: float) -> Refusal | None:
        """Return why a job must be refused; ``None`` to accept it.

        :param term: term of the owner that this VM knows; 0 for none.
        """
        digest = self._digest
        if digest is None or digest.version.term != term or now - self._forecast_at > MAX_AGE_S:
            return None
        service = digest.service(submission.service)
        if service is None or submission.timing.times or submission.advised:
            return None
        if any(step.lasting for step in submission.steps):
            return None
        age_s = now - self._forecast_at
        reason = _why_never_fits(submission, service)
        if reason:
            return Refusal(
                RefusalCause.NEVER_FITS, reason, NEVER_FITS_RETRY_S, digest.version, age_s
            )
        return self._refuse_hopeless(submission, service, age_s, digest.version)

    def _refuse_hopeless(
        self, submission: Submission, service: ServiceDigest, age_s: float, version: DigestVersion
    ) -> Refusal | None:
        if submission.priority == 0 and _within_quota(submission, service):
            return None
        starts = service.start_forecasts()
        first_steps = _first_steps(submission)
        earliest_s = min(
            self._start_s(submission, step, starts, _earliest) - age_s for step in first_steps
        )
        ends_s = earliest_s + DECLARED_TIME_SHARE * submission.critical_path_s()
        late_s = ends_s - submission.useful_for_s()
        if late_s <= 0:
            return None
        drain_s = min(self._start_s(submission, step, starts, _likely) for step in first_steps)
        return Refusal(
            RefusalCause.LOAD,
            f"the job cannot start within {earliest_s:.1f} s, so that it would end too late",
            late_s + self._spread_s(submission, drain_s),
            version,
            age_s,
            earliest_s,
        )

    def _start_s(
        self,
        submission: Submission,
        step: Step,
        starts: tuple[StartForecast, ...],
        quantile: Callable[[StartForecast], float],
    ) -> float:
        """Return the time before which a step cannot start, in seconds from the forecast."""
        return max(
            (
                quantile(start) + self._accepted_s(submission, step, start)
                for start in starts
                if _is_behind(submission.priority, step, start)
            ),
            default=0.0,
        )

    def _accepted_s(self, submission: Submission, step: Step, start: StartForecast) -> float:
        """Return by how much work that this VM has accepted delays a step, in seconds."""
        member_s = sum(
            accepted.member_s
            for accepted in self._accepted
            if accepted.service == submission.service
            and accepted.rank <= submission.priority
            and _is_behind(accepted.rank, accepted.step, start)
            and _needs_no_more(accepted.step, step)
        )
        return member_s / start.slots

    def _spread_s(self, submission: Submission, drain_s: float) -> float:
        """Return when within the drain of the work ahead a client should return, in seconds.

        Better ranks come earlier and, among equals, jobs that are worth something for a shorter
        time.
        """
        spread_s = max(MIN_SPREAD_S, drain_s)
        rank_share = 1.0 - 1.0 / (1.0 + submission.priority)
        useful_s = submission.useful_for_s()
        time_share = useful_s / (useful_s + spread_s)
        return spread_s * (0.3 * rank_share + 0.1 * time_share + 0.6 * self._rng.random())


def _earliest(start: StartForecast) -> float:
    return start.earliest_s


def _likely(start: StartForecast) -> float:
    return start.likely_s


def _first_steps(submission: Submission) -> list[Step]:
    """Return the steps that wait for no other."""
    return [step for step in submission.steps if not step.after]


def _members(step: Step) -> int:
    """Return the number of members of the units of a step."""
    return step.count if step.gang else 1


def _processors(step: Step) -> float:
    return 0.0 if step.fills else step.processors


def _is_behind(rank: int, step: Step, start: StartForecast) -> bool:
    """Whether a step starts no earlier than the units that a forecast is about."""
    return (
        rank >= start.rank
        and step.accelerators >= start.size.accelerators
        and _processors(step) >= start.size.processors
        and _members(step) >= start.members
    )


def _needs_no_more(step: Step, other: Step) -> bool:
    return (
        step.accelerators <= other.accelerators
        and _processors(step) <= _processors(other)
        and _members(step) <= _members(other)
    )


def _within_quota(submission: Submission, service: ServiceDigest) -> bool:
    """Whether an urgent job may be within its team's quota."""
    left = service.quota_left(submission.team)
    needed = sum(step.accelerators * step.count for step in _first_steps(submission))
    return left is None or needed <= left


def _why_never_fits(submission: Submission, service: ServiceDigest) -> str:
    """Return why no workers can hold a job; empty if some may."""
    reasons = (_why_step_never_fits(step, service) for step in submission.steps)
    return next((reason for reason in reasons if reason), "")


def _why_step_never_fits(step: Step, service: ServiceDigest) -> str:
    if step.label and service.labels is not None and step.label not in service.labels:
        return f"no worker has the label {step.label!r}"
    if not service.limits:
        return ""
    needs = (
        ("accelerators", step.accelerators),
        ("processors", _processors(step)),
        ("memory_gb", step.memory_gb),
    )
    largest, total = service.limits[:3], service.limits[3:]
    for (name, need), most, whole in zip(needs, largest, total, strict=True):
        if need > most:
            return f"a task needs {need:g} {name}, the largest worker has {most}"
        if need * _members(step) > math.ceil(whole):
            return f"a gang needs {need * _members(step):g} {name}, all workers have {whole}"
    return ""
