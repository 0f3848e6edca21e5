"""The figures and invariants of simulated scheduling policies, with fixed seeds."""

import json

import attrs
import pytest

from bench.__main__ import main as bench_main
from bench.measure import POLICIES, measure_run
from bench.simulate import Simulation
from bench.workload import DEPLOYMENTS, SCENARIOS, make_workload
from lacewingmill.scheduling.cluster import BlockPart
from lacewingmill.scheduling.messages import WorkerJoined
from lacewingmill.scheduling.scheduler import Scheduler

SEED = 1
JOB_COUNT = 500


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_default_policy_keeps_invariants_and_beats_baselines(deployment, scenario):
    runs = {
        policy: measure_run(deployment, scenario, policy, SEED, job_count=JOB_COUNT)
        for policy in POLICIES
    }
    default_figures, checks = runs["default"]
    assert attrs.astuple(checks) == (0, 0, 0, 0, 0), checks
    for policy in ("first_fit", "best_fit_backfill"):
        assert default_figures.weighted_score <= runs[policy][0].weighted_score, policy


def test_same_seed_gives_the_same_figures():
    def figures():
        run_figures, _ = measure_run("guild", "large_burst", "default", 7, job_count=200)
        return attrs.evolve(run_figures, decision_p99_us=0.0)

    assert figures() == figures()


def test_gang_waits_for_adjacency_alone_while_free_accelerators_are_scattered():
    deployment = DEPLOYMENTS["waschplan"]
    scheduler = Scheduler()
    workload = make_workload(deployment, "steady", 1, 10)
    simulation = Simulation(deployment, workload, scheduler)
    infos = deployment.worker_infos()[:2]
    for info in infos:
        scheduler.handle(WorkerJoined(info), 0.0)
    whole_worker = deployment.kinds[0].shape
    simulation._waiting[whole_worker] = 2
    assert simulation._waiting_for_adjacency(scheduler.cluster) == 0
    half_worker = attrs.evolve(whole_worker, accelerators=4)
    for info in infos:
        scheduler.cluster.allocate(f"held-{info.worker}", half_worker, (BlockPart(info.worker, 4),))
    assert simulation._waiting_for_adjacency(scheduler.cluster) == 2
    scheduler.cluster.allocate("one", half_worker, (BlockPart(infos[0].worker, 1),))
    assert simulation._waiting_for_adjacency(scheduler.cluster) == 0


def test_bench_prints_a_run_as_json(monkeypatch, capsys):
    argv = ["bench", "--json", "--deployment", "guild", "--scenario", "steady", "--no-wall"]
    monkeypatch.setattr("sys.argv", [*argv, "--policy", "default"])
    assert bench_main() == 0
    record = json.loads(capsys.readouterr().out)
    assert record["deployment"] == "guild" and record["mean_completion_s"] > 0
