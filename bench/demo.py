"""Runs the fleet of each deployment under a mixed load and checks the results."""

import argparse
import sys
import time

import gevent

from bench.load import CallOutcome, LoadGenerator, check_ledger, read_ledger
from lacewingmill.client import OperatorClient
from standins.fleet import DEPLOYMENTS, Fleet

__all__ = ["main"]

CALLS_PER_S = 60.0
LOAD_S = 12.0
PROGRESS_INTERVAL_S = 1.0
BASE_PORTS = {"waschplan": 23000, "guild": 23400}


def main() -> int:
    """Run the demo of both deployments, or keep one fleet running until interrupted."""
    parser = argparse.ArgumentParser(prog="bench.demo")
    parser.add_argument(
        "--stay", action="store_true", help="keep one fleet running until interrupted"
    )
    parser.add_argument("--deployment", choices=tuple(BASE_PORTS), default="guild")
    args = parser.parse_args()
    if args.stay:
        return _run_until_interrupted(args.deployment)
    failed = [_run_demo(name) for name in BASE_PORTS]
    return 1 if any(failed) else 0


def _start_fleet(name: str) -> Fleet:
    fleet = Fleet(DEPLOYMENTS[name], BASE_PORTS[name])
    try:
        fleet.start()
        result = fleet.publish(fleet.deployment.examples)
        print(result.stdout + result.stderr, end="", flush=True)
    except BaseException:
        fleet.stop()
        raise
    return fleet


def _run_until_interrupted(name: str) -> int:
    fleet = _start_fleet(name)
    try:
        print(f"balancer: http://{fleet.ports.balancer}")
        print(f"ledger:   http://{fleet.ports.ledger}/")
        print(f"control:  http://{fleet.ports.control(0)}")
        print(f"faults:   POST JSON to /faults, for example http://{fleet.ports.worker(0)}/faults")
        print("press Ctrl-C to stop", flush=True)
        while True:
            gevent.sleep(PROGRESS_INTERVAL_S)
    except KeyboardInterrupt:
        return 0
    finally:
        fleet.stop()


def _run_demo(name: str) -> bool:
    """Run one fleet under load and return whether an invariant was violated."""
    print(f"{name}: 6 entry VMs, 24 executors, 24 workers", flush=True)
    fleet = _start_fleet(name)
    try:
        load = LoadGenerator(fleet, 1, CALLS_PER_S)
        load_greenlet = gevent.spawn(load.run, LOAD_S)
        fragmentations = _show_progress(fleet, load, load_greenlet)
        return _print_result(fleet, load, fragmentations)
    finally:
        fleet.stop()


def _show_progress(fleet: Fleet, load: LoadGenerator, load_greenlet) -> list[float]:
    fragmentations = []
    client = OperatorClient(fleet.ports.control(0))
    started = time.monotonic()
    while not load_greenlet.ready():
        gevent.sleep(PROGRESS_INTERVAL_S)
        cell = client.cell()
        if cell is not None:
            fragmentations.append(cell.fragmentation)
        elapsed = time.monotonic() - started
        line = f"  {elapsed:4.0f} s: {load.sent} sent, {len(load.calls)} ended"
        print(f"\r{line}", end="", flush=True)
    print()
    return fragmentations


def _print_result(fleet: Fleet, load: LoadGenerator, fragmentations: list[float]) -> bool:
    violations = check_ledger(load.calls, read_ledger(fleet))
    claim_delays = [
        call.duration_s - call.kind.run_s
        for call in load.calls
        if call.kind.guaranteed and call.outcome is CallOutcome.ANSWERED
    ]
    wrong_count = load.count(CallOutcome.WRONG) + load.count(CallOutcome.CUT)
    violation_count = len(violations.false_refusals) + len(violations.executed_twice)
    violation_count += len(violations.partial_gangs) + wrong_count
    rows = (
        ("sent", load.sent),
        ("answered", load.count(CallOutcome.ANSWERED)),
        ("refused, not run", load.count(CallOutcome.NOT_RUN)),
        ("unknown", load.count(CallOutcome.UNKNOWN)),
        ("wrong answers", wrong_count),
        ("refused but executed", len(violations.false_refusals)),
        ("executed twice", len(violations.executed_twice)),
        ("partial gangs", len(violations.partial_gangs)),
        ("ordinary p50 / p99, ms", _format_percentiles(load, jobs=False)),
        ("jobs p50 / p99, ms", _format_percentiles(load, jobs=True)),
        ("guaranteed jobs answered", len(claim_delays)),
        ("longest delay of those, s", f"{max(claim_delays, default=0.0):.2f}"),
        ("mean fragmentation", f"{sum(fragmentations) / max(1, len(fragmentations)):.2f}"),
    )
    for title, value in rows:
        print(f"  {title:32}{value}")
    return violation_count > 0


def _format_percentiles(load: LoadGenerator, *, jobs: bool) -> str:
    p50, p99 = load.percentile(50, jobs=jobs), load.percentile(99, jobs=jobs)
    return f"{p50 * 1000:.0f} / {p99 * 1000:.0f}"


if __name__ == "__main__":
    gevent.config.resolver = "block"
    sys.exit(main())
