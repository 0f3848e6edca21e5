"""Bounds on the measures and promises, over fixed seeds on virtual time."""

import attrs
import pytest

from bench.measure import POLICIES, measure_run
from bench.workload import DEPLOYMENTS, SCENARIOS

SEED = 1
JOBS = 500


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_default_policy_keeps_promises_and_beats_baselines(deployment, scenario):
    runs = {
        policy: measure_run(deployment, scenario, policy, SEED, jobs_wanted=JOBS)
        for policy in POLICIES
    }
    measured, checks = runs["default"]
    assert attrs.astuple(checks) == (0, 0, 0, 0, 0), checks
    for policy in ("first_fit", "best_fit_backfill"):
        assert measured.weighted_score <= runs[policy][0].weighted_score, policy


def test_same_seed_gives_the_same_figures():
    def figures():
        measured, _ = measure_run("guild", "large_burst", "default", 7, jobs_wanted=200)
        return attrs.evolve(measured, decision_p99_us=0.0)

    assert figures() == figures()
