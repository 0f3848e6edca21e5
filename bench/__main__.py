"""Simulates scheduling policies and prints the figures of each run as a line of JSON."""

import argparse
import sys

import attrs
import msgspec

from bench.measure import POLICIES, measure_run
from bench.workload import DEPLOYMENTS, SCENARIOS


def main() -> int:
    """Run the selected combinations of deployment, scenario and policy."""
    parser = argparse.ArgumentParser(prog="bench", description="Measures scheduling policies.")
    parser.add_argument("--deployment", choices=(*DEPLOYMENTS, "all"), default="all")
    parser.add_argument("--scenario", choices=(*SCENARIOS, "all"), default="all")
    parser.add_argument("--policy", choices=(*POLICIES, "all"), default="all")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--json", action="store_true", help="print JSON lines, which is the default"
    )
    parser.add_argument(
        "--no-wall", action="store_true", help="omit figures measured on the wall clock"
    )
    args = parser.parse_args()
    for deployment in _expand(args.deployment, tuple(DEPLOYMENTS)):
        for scenario in _expand(args.scenario, SCENARIOS):
            for policy in _expand(args.policy, POLICIES):
                figures, _ = measure_run(deployment, scenario, policy, args.seed)
                fields = attrs.asdict(figures)
                if args.no_wall:
                    del fields["decision_p99_us"]
                print(msgspec.json.encode(fields).decode(), flush=True)
    return 0


def _expand(name: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Return all names for ``all``, else the name alone."""
    return names if name == "all" else (name,)


if __name__ == "__main__":
    sys.exit(main())
