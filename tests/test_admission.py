"""Which jobs are refused at the door, from the scheduler's state alone."""

import random
import sys
from collections import Counter
from types import SimpleNamespace

import attrs
import pytest

from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog
from lacewingmill.exceptions import NoRoom, StoreUnavailable
from lacewingmill.jobs.admission import Admission, RefusalCause
from lacewingmill.jobs.admission_gate import AdmissionGate
from lacewingmill.jobs.digest_maker import DigestMaker
from lacewingmill.jobs.election import JobOwner
from lacewingmill.jobs.keys import job_key
from lacewingmill.jobs.model import JobTiming, Step, Submission
from lacewingmill.jobs.peers import PeerReply, WaitingRequest
from lacewingmill.jobs.scheduler_inputs import new_scheduler
from lacewingmill.load.digest import DigestVersion
from lacewingmill.load.room import RoomForecaster
from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.messages import (
    GangStarted,
    GuaranteesChanged,
    Job,
    JobFinished,
    JobSubmitted,
    Objective,
    TeamQuota,
    Tick,
    WorkerInfo,
    WorkerJoined,
    WorkerSilent,
)
from lacewingmill.scheduling.records import JobState

TERM = 3
SETTLED_S = 40.0
# The owner may spend 10 ms on a forecast, and a call takes about 0.2 us.
MAX_CALLS = 50_000


def make_scheduler(workers, quotas=()):
    scheduler = new_scheduler()
    for number in range(workers):
        labels = frozenset({"kind-a", f"r{number // 8}"})
        info = WorkerInfo(f"w{number}", f"r{number // 8}", "d", 8, 32, 64, labels)
        scheduler.apply(WorkerJoined(info), 0.0)
    teams = tuple(TeamQuota("s", team, quota) for team, quota in quotas)
    scheduler.apply(GuaranteesChanged((), (), (), teams), 0.0)
    return scheduler


def add_job(scheduler, name, submission, now):
    """Hand the only step of a submission to the scheduler, as the owner does."""
    [step] = submission.steps
    members = step.count if step.gang else 1
    adjacency = Adjacency.CLUSTER if members > 1 else Adjacency.WORKER
    shape = Shape(
        submission.queue,
        step.accelerators * members,
        adjacency,
        step.processors,
        step.memory_gb,
        step.expected_s,
        members,
    )
    due_s, last_s = submission.due_after_s(), submission.useful_for_s()
    job = Job(
        name,
        "s",
        submission.team,
        shape,
        claims=False,
        idempotent=True,
        checkpoint=True,
        submitted_at=now,
        urgent=submission.priority == 0,
        objective=Objective(submission.priority, now + due_s, now + last_s),
    )
    scheduler.apply(JobSubmitted(job), now)
    return job


def make_submission(rank=1, *, team="t", stretch=1.2, objective_s=1.0, timing=None, **step):
    fields = {"count": 1, "processors": 2.0, "memory_gb": 1.0, "accelerators": 1, "expected_s": 5.0}
    return Submission(
        "0" * 16,
        f"queue-{rank}",
        "s",
        team,
        rank,
        2,
        stretch,
        objective_s,
        "spec",
        (Step(**fields | step),),
        timing or JobTiming(),
    )


def settle(scheduler):
    """Return a digest maker of an owner that has planned for long."""
    maker = DigestMaker(TERM)
    now = 0.0
    while now < SETTLED_S:
        maker.update({"s": scheduler}, now)
        now += 1.0
    return maker


def start_queued(scheduler, now):
    """Plan, and report that all gangs have started."""
    for action in scheduler.handle(Tick(), now):
        scheduler.apply(GangStarted(action.job_id), now)


def admission_after(maker, scheduler, now, seed=1):
    maker.update({"s": scheduler}, now)
    admission = Admission(random.Random(seed))
    admission.learn(maker.digest(now), now)
    return admission


def overloaded(workers=4, waiting=400, rank=1):
    """Return the admission while long runs fill all workers and many jobs wait.

    The jobs that wait keep the workers busy for longer than any of them is of use.
    """
    scheduler = make_scheduler(workers, [("t", 8)])
    maker = settle(scheduler)
    for number in range(workers * 8):
        add_job(scheduler, f"long{number}", make_submission(0, expected_s=60.0), SETTLED_S)
    start_queued(scheduler, SETTLED_S)
    for number in range(waiting):
        add_job(scheduler, f"waiting{number}", make_submission(rank), SETTLED_S)
    return admission_after(maker, scheduler, SETTLED_S + 1.0)


def decide(admission, submission, *, now=SETTLED_S + 1.0, term=TERM):
    return admission.decide(submission, term, now)


def test_a_burst_of_ten_times_the_room_is_refused_where_it_would_end_too_late():
    admission = overloaded()
    refusal = decide(admission, make_submission())
    assert refusal.cause is RefusalCause.LOAD
    assert refusal.earliest_s > make_submission().useful_for_s() - 2.5
    assert refusal.retry_after_s > 1.0
    patient = make_submission(stretch=10.0)
    assert decide(admission, patient) is None
    assert decide(admission, make_submission(0)) is None  # evicts what is less urgent


def test_a_short_backlog_behind_runs_that_soon_end_is_accepted():
    scheduler = make_scheduler(4)
    maker = settle(scheduler)
    for number in range(40):
        add_job(scheduler, f"{number}", make_submission(), SETTLED_S)
    start_queued(scheduler, SETTLED_S)
    admission = admission_after(maker, scheduler, SETTLED_S + 1.0)
    assert decide(admission, make_submission()) is None


def test_small_jobs_are_not_refused_for_a_backlog_of_wide_gangs():
    scheduler = make_scheduler(4)
    maker = settle(scheduler)
    for number in range(30):
        add_job(scheduler, f"long{number}", make_submission(expected_s=60.0), SETTLED_S)
    start_queued(scheduler, SETTLED_S)
    wide = make_submission(count=4, accelerators=8, gang=True)
    for number in range(300):
        add_job(scheduler, f"wide{number}", wide, SETTLED_S)
    admission = admission_after(maker, scheduler, SETTLED_S + 1.0)
    assert decide(admission, make_submission()) is None
    assert decide(admission, wide).cause is RefusalCause.LOAD


@pytest.mark.parametrize(
    "needs",
    [
        {"accelerators": 9},
        {"processors": 33.0},
        {"memory_gb": 65.0},
        {"label": "kind-b"},
        {"accelerators": 8, "count": 5, "gang": True},
    ],
)
def test_a_job_that_no_workers_can_hold_is_refused_with_the_reason(needs):
    scheduler = make_scheduler(4)
    admission = admission_after(settle(scheduler), scheduler, SETTLED_S + 1.0)
    refusal = decide(admission, make_submission(**needs))
    assert refusal.cause is RefusalCause.NEVER_FITS and refusal.reason
    assert decide(admission, make_submission(accelerators=8, count=4, gang=True)) is None
    assert decide(admission, make_submission(accelerators=8, count=50, label="kind-a")) is None


def test_any_doubt_accepts():
    admission = overloaded()
    submission = make_submission()
    assert decide(admission, submission) is not None
    assert decide(admission, submission, now=SETTLED_S + 4.1) is None
    assert decide(admission, submission, term=TERM + 1) is None
    assert decide(admission, submission, term=0) is None
    assert decide(admission, make_submission(timing=JobTiming(1, 10.0))) is None
    assert decide(admission, make_submission(lasting=True)) is None
    assert decide(admission, attrs.evolve(submission, advised=True)) is None
    assert decide(Admission(random.Random(1)), submission) is None


def test_a_digest_of_an_earlier_owner_is_not_used_again():
    admission = overloaded()
    old = DigestMaker(TERM - 1)
    old.update({"s": make_scheduler(4)}, SETTLED_S)
    version = admission.version
    admission.learn(old.digest(SETTLED_S + 1.0), SETTLED_S + 1.0)
    assert admission.version == version


@pytest.mark.parametrize("seconds", [0.0, 9.0])
def test_nothing_is_refused_right_after_a_takeover_or_while_workers_join(seconds):
    scheduler = make_scheduler(4)
    maker = DigestMaker(TERM)
    now = SETTLED_S
    for number in range(32):
        add_job(scheduler, f"long{number}", make_submission(0, expected_s=60.0), now)
    start_queued(scheduler, now)
    for number in range(400):
        add_job(scheduler, f"{number}", make_submission(), now)
    maker.update({"s": scheduler}, now)
    admission = admission_after(maker, scheduler, now + seconds)
    assert decide(admission, make_submission(), now=now + seconds) is None
    assert decide(admission, make_submission(accelerators=9), now=now + seconds) is None


def test_silent_workers_count_as_room():
    scheduler = make_scheduler(4)
    maker = settle(scheduler)
    for number in range(32):
        add_job(scheduler, f"long{number}", make_submission(expected_s=60.0), SETTLED_S)
    start_queued(scheduler, SETTLED_S)
    for number in range(400):
        add_job(scheduler, f"waiting{number}", make_submission(), SETTLED_S)
    scheduler.apply(WorkerSilent("w0"), SETTLED_S)
    assert decide(admission_after(maker, scheduler, SETTLED_S + 1.0), make_submission()) is None


def test_two_hundred_refused_callers_do_not_return_together():
    admission = overloaded(rank=2)
    returns = Counter()
    for _ in range(200):
        refusal = decide(admission, make_submission(2))
        returns[int(refusal.retry_after_s)] += 1
    assert max(returns.values()) <= 200 / 5


def test_callers_that_lose_most_by_waiting_return_first():
    def mean_return(submission):
        admission = overloaded(rank=0 if submission.priority == 0 else 1)
        refusals = [decide(admission, submission) for _ in range(100)]
        late_s = refusals[0].earliest_s + 2.5 - submission.useful_for_s()
        return sum(each.retry_after_s - late_s for each in refusals) / 100

    assert mean_return(make_submission(1)) < mean_return(make_submission(2))
    assert mean_return(make_submission(1)) < mean_return(make_submission(1, objective_s=2.0))


def free_units(scheduler, step):
    """Return the members of a step that fit on free accelerators now, by worker."""
    shape = Shape("", step.accelerators, Adjacency.WORKER, step.processors, step.memory_gb, 1.0, 1)
    workers = scheduler.cluster.workers.values()
    return [worker_state.free_units(shape) for worker_state in workers]


def random_submission(rng, ranks=(0, 0, 1, 2)):
    rank = rng.choice(ranks)
    accelerators = rng.choice([1, 1, 2, 4, 8])
    return make_submission(
        rank,
        team=rng.choice("tuv"),
        stretch=rng.uniform(1.0, 1.5),
        objective_s=rng.uniform(0.2, 2.0),
        count=rng.choice([1, 1, 2, 4, 8]),
        gang=rng.random() < 0.5,
        accelerators=accelerators,
        processors=rng.uniform(0.5, 4.0) * accelerators,
        expected_s=rng.uniform(1.0, 12.0),
    )


def urgent_accelerators(scheduler, team):
    jobs = [record.job for record in scheduler.records.values()]
    return sum(job.shape.accelerators for job in jobs if job.urgent and job.team == team)


def test_random_loads_refuse_nothing_within_a_quota_nor_beside_a_free_block():
    refused = 0
    for seed in range(30):
        rng = random.Random(seed)
        quotas = {team: rng.choice([0, 16, 40]) for team in "tuv"}
        scheduler = make_scheduler(rng.choice([4, 12]), quotas.items())
        maker = settle(scheduler)
        now = SETTLED_S
        for number in range(rng.choice([20, 80, 300])):
            add_job(scheduler, f"{seed}-{number}", random_submission(rng), now)
            if number % 10 == 0:
                now += rng.uniform(0.0, 0.5)
                start_queued(scheduler, now)
        start_queued(scheduler, now + 1.0)
        admission = admission_after(maker, scheduler, now + 1.0)
        for _ in range(200):
            submission = random_submission(rng)
            if decide(admission, submission, now=now + 1.0) is None:
                continue
            refused += 1
            [step] = submission.steps
            members = step.count if step.gang else 1
            assert sum(free_units(scheduler, step)) < members
            if submission.priority == 0:
                held = urgent_accelerators(scheduler, submission.team)
                assert held + step.accelerators * step.count > quotas[submission.team]
    assert refused > 50


def play_until_started(scheduler, probe, rng, now):
    """Run the scheduler with run times that are off by up to nine tenths, until a job starts.

    :return: the time of its start, in seconds.
    """
    ends = {}
    while scheduler.records[probe].state is JobState.QUEUED:
        now += 0.25
        for name, end in list(ends.items()):
            if end <= now:
                del ends[name]
                scheduler.apply(
                    JobFinished(name, scheduler.records[name].job.shape.expected_s), now
                )
        scheduler.plan(now)
        for name, record in scheduler.records.items():
            if record.state is JobState.STARTING:
                scheduler.apply(GangStarted(name), now)
            if record.state is JobState.RUNNING and name not in ends:
                ends[name] = now + record.job.shape.expected_s * rng.uniform(0.5, 1.9)
    return now


def forecast_of_a_long_backlog(scheduler, rng):
    """Fill a scheduler with jobs of all sizes that are not urgent; return the forecast starts."""
    forecaster = RoomForecaster(0.0)
    for seconds in range(40):
        forecaster.forecast(scheduler.state, float(seconds))
    for number in range(200):
        add_job(scheduler, f"{number}", random_submission(rng, ranks=(1, 2)), SETTLED_S)
    start_queued(scheduler, SETTLED_S)
    return forecaster.forecast(scheduler.state, SETTLED_S).starts


def test_units_behind_a_long_backlog_start_no_earlier_than_forecast_in_nine_of_ten_cases():
    waits = []
    for seed in range(40):
        rng = random.Random(seed)
        scheduler = make_scheduler(6)
        start = rng.choice(forecast_of_a_long_backlog(scheduler, rng))
        submission = make_submission(
            start.rank,
            accelerators=start.size.accelerators,
            processors=start.size.processors,
            count=start.members,
            gang=start.members > 1,
            stretch=3.0,
        )
        add_job(scheduler, "probe", submission, SETTLED_S)
        started_at = play_until_started(scheduler, "probe", rng, SETTLED_S)
        waits.append((started_at - SETTLED_S, start.earliest_s))
    held = sum(wait_s >= earliest_s for wait_s, earliest_s in waits)
    assert held >= 0.9 * len(waits), waits


def large_load():
    """Return a scheduler with 176 workers, busy for long, and 500 waiting units of all sizes."""
    rng = random.Random(1)
    scheduler = make_scheduler(176, [(team, 100) for team in "tuv"])
    for number in range(176 * 4):
        submission = make_submission(accelerators=2, expected_s=rng.uniform(5.0, 60.0))
        add_job(scheduler, f"long{number}", submission, SETTLED_S)
    start_queued(scheduler, SETTLED_S)
    for number in range(500):
        add_job(scheduler, f"{number}", random_submission(rng), SETTLED_S)
    return scheduler


def test_a_forecast_for_176_workers_and_500_waiting_units_takes_few_calls():
    scheduler = large_load()
    forecaster = RoomForecaster(0.0)
    for seconds in range(40):
        forecaster.forecast(make_scheduler(176).state, float(seconds))
    calls = Counter()

    def count_calls(frame, event, argument):
        calls[event] += 1

    sys.setprofile(count_calls)
    try:
        forecast = forecaster.forecast(scheduler.state, SETTLED_S)
    finally:
        sys.setprofile(None)
    assert forecast.starts
    assert calls["call"] < MAX_CALLS


def test_nothing_is_refused_for_load_among_more_workers_than_a_forecast_may_cost():
    scheduler = make_scheduler(601)
    forecaster = RoomForecaster(0.0)
    for seconds in range(40):
        forecaster.forecast(scheduler.state, float(seconds))
    for number in range(601):
        add_job(scheduler, f"{number}", make_submission(0, accelerators=8), SETTLED_S)
    start_queued(scheduler, SETTLED_S)
    add_job(scheduler, "waiting", make_submission(accelerators=8, expected_s=500.0), SETTLED_S)
    assert not forecaster.forecast(scheduler.state, SETTLED_S).starts


def test_the_digest_of_a_large_load_is_small():
    scheduler = large_load()
    maker = settle(scheduler)
    maker.update({"s": scheduler}, SETTLED_S + 1.0)
    digest = maker.digest(SETTLED_S + 1.0)
    assert digest.services[0].starts
    assert len(encode(digest)) < 2000


class StubStore:
    """A store that holds some keys, or does not answer."""

    def __init__(self, keys=(), away=False):
        self.keys = keys
        self.away = away

    def get(self, key):
        if self.away:
            raise StoreUnavailable("away")
        return key if key in self.keys else None


class StubMeters:
    def __init__(self):
        self.counts = Counter()

    def count(self, meter, **labels):
        self.counts[labels["cause"]] += 1


def gate_while_overloaded(store, *, knows=True):
    """Return an admission gate, the reply that brings it the digest, and its meters."""
    scheduler = make_scheduler(4)
    maker = settle(scheduler)
    for number in range(32):
        add_job(scheduler, f"long{number}", make_submission(expected_s=60.0), SETTLED_S)
    start_queued(scheduler, SETTLED_S)
    for number in range(400):
        add_job(scheduler, f"waiting{number}", make_submission(), SETTLED_S)
    maker.update({"s": scheduler}, SETTLED_S + 1.0)
    reply = PeerReply(digest=maker.digest(SETTLED_S + 1.0))
    owner = JobOwner("vm1", "vm1:82", "i", TERM, 1)
    meters = StubMeters()
    clock = SimpleNamespace(now=lambda: SETTLED_S + 1.0)
    gate = AdmissionGate(
        store, clock, EventLog("vm0"), meters, lambda: None, lambda: owner, random.Random(1)
    )
    if knows:
        gate.learn(reply)
    return gate, reply, meters


def test_a_refusal_under_load_is_counted_and_can_be_repeated():
    gate, _, meters = gate_while_overloaded(StubStore())
    for _ in range(2):
        with pytest.raises(NoRoom):
            gate.check(make_submission())
    assert meters.counts == {"load": 2}


def test_a_retry_is_not_refused_under_load_while_the_first_attempt_may_be_stored():
    gate, reply, meters = gate_while_overloaded(StubStore(), knows=False)
    gate.check(make_submission())
    gate.learn(reply)
    gate.check(make_submission())
    assert not meters.counts


@pytest.mark.parametrize("store", [StubStore(away=True), StubStore({job_key("0" * 16)})])
def test_a_job_that_may_be_stored_is_not_refused_under_load(store):
    gate, _, meters = gate_while_overloaded(store)
    gate.check(make_submission())
    assert not meters.counts


def test_vms_without_digests_and_with_them_understand_each_other_under_load():
    old_reply, old_request = encode({"known": True, "waiting": 3}), encode({"queue": "q"})
    assert decode(old_reply, PeerReply) == PeerReply(waiting=3)
    assert decode(old_request, WaitingRequest) == WaitingRequest("q", DigestVersion())
    _, reply, _ = gate_while_overloaded(StubStore())
    assert decode(encode(reply), PeerReply) == reply
