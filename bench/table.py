"""Prints a table of all policies and scenarios, and plots completion time and fragmentation."""

import argparse
import sys
from multiprocessing import Pool
from pathlib import Path

import attrs
import numpy as np

from bench.measure import POLICIES, Checks, RunFigures, measure_run, weighted_score
from bench.workload import DEPLOYMENTS, SCENARIOS, Weights

OUTPUT_DIRECTORY = Path("bench/out")
PROCESSES = 4
COMPLETION_WEIGHTS = (0.1, 0.3, 0.5, 0.7, 0.9)


@attrs.frozen
class Case:
    """The parameters of one run."""

    deployment: str
    scenario: str
    policy: str
    seed: int


def run_case(case: Case) -> tuple[RunFigures, Checks]:
    """Run one case and return its figures and checks."""
    return measure_run(case.deployment, case.scenario, case.policy, case.seed)


def main() -> int:
    """Run all policies on all scenarios with several seeds and print the results."""
    parser = argparse.ArgumentParser(prog="bench.table")
    parser.add_argument("--seeds", type=int, default=2, help="number of seeds, from 1")
    args = parser.parse_args()
    cases = [
        Case(deployment, scenario, policy, seed)
        for deployment in DEPLOYMENTS
        for scenario in SCENARIOS
        for policy in POLICIES
        for seed in range(1, args.seeds + 1)
    ]
    with Pool(PROCESSES) as pool:
        results = pool.map(run_case, cases, chunksize=1)
    groups: dict[tuple[str, str, str], list[tuple[RunFigures, Checks]]] = {}
    for figures, checks in results:
        key = (figures.deployment, figures.scenario, figures.policy)
        groups.setdefault(key, []).append((figures, checks))
    _print_table(groups)
    _print_sensitivity(groups)
    _plot(groups)
    return 0


def _median(runs: list[tuple[RunFigures, Checks]], metric) -> float:
    return float(np.median([metric(figures) for figures, _ in runs]))


def _ratio(figures: RunFigures) -> float:
    return figures.mean_completion_s / figures.relaxation_mean_s


def _degraded_ratio(figures: RunFigures) -> float:
    return figures.mean_completion_s / figures.relaxation_degraded_mean_s


def _print_table(groups) -> None:
    print(
        f"{'deployment':11}{'scenario':20}{'policy':19}{'completion':>11}{'degraded':>9}{'spread':>8}"
        f"{'fragment.':>10}{'waited':>8}{'score':>8}{'claim p99':>11}"
        f"{'late':>6}{'partial':>8}{'twice':>6}"
    )
    for (deployment, scenario, policy), runs in groups.items():
        ratios = [_ratio(figures) for figures, _ in runs]
        print(
            f"{deployment:11}{scenario:20}{policy:19}{np.median(ratios):11.3f}"
            f"{_median(runs, _degraded_ratio):9.3f}"
            f"{max(ratios) - min(ratios):8.3f}"
            f"{_median(runs, lambda m: m.fragmentation):10.3f}"
            f"{_median(runs, lambda m: m.fragmentation_waited):8.3f}"
            f"{_median(runs, lambda m: m.weighted_score):8.3f}"
            f"{max(m.claim_start_p99_s for m, _ in runs):11.1f}"
            f"{sum(c.late_claims for _, c in runs):6}"
            f"{sum(c.partial_gangs for _, c in runs):8}"
            f"{sum(c.second_runs for _, c in runs):6}"
        )


def _print_sensitivity(groups) -> None:
    print("\nnumber of scenarios in which a baseline scores better, by weight of completion time")
    for deployment in DEPLOYMENTS:
        counts = []
        for weight in COMPLETION_WEIGHTS:
            weights = Weights(weight, 1.0 - weight)
            worse_count = sum(
                _score(groups[deployment, scenario, "default"], weights)
                > min(
                    _score(groups[deployment, scenario, policy], weights) for policy in POLICIES[1:]
                )
                for scenario in SCENARIOS
            )
            counts.append(f"{weight:g}: {worse_count}")
        print(f"  {deployment:11}{', '.join(counts)} of {len(SCENARIOS)}")


def _score(runs, weights: Weights) -> float:
    return _median(runs, lambda m: weighted_score(weights, _ratio(m), m.fragmentation))


def _plot(groups) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    figure, axes = pyplot.subplots(1, len(DEPLOYMENTS), figsize=(12, 5))
    for axis, deployment in zip(axes, DEPLOYMENTS, strict=True):
        for policy in POLICIES:
            scenario_runs = [groups[deployment, scenario, policy] for scenario in SCENARIOS]
            axis.scatter(
                [_median(runs, _ratio) for runs in scenario_runs],
                [_median(runs, lambda m: m.fragmentation) for runs in scenario_runs],
                label=policy,
            )
        axis.set_title(deployment)
        axis.set_xlabel("mean completion time relative to the relaxation")
        axis.set_ylabel("fragmentation")
        axis.legend()
    figure.savefig(OUTPUT_DIRECTORY / "policies.png")
    print(f"\nplot: {OUTPUT_DIRECTORY / 'policies.png'}")


if __name__ == "__main__":
    sys.exit(main())
