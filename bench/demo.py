"""The demonstration: both users' fleets one after the other, under a mixed load, checked."""

import argparse
import sys
import time

import gevent

from bench.load import CallOutcome, Load, judge_ledger, read_ledger
from lacewingmill.client import OperatorClient
from standins.fleet import DEPLOYMENTS, Fleet

__all__ = ["main"]

RATE = 60.0
LOAD_S = 12.0
PROGRESS_S = 1.0
BASE_PORTS = {"waschplan": 23000, "guild": 23400}


def main() -> int:
    """Run the demonstration, or keep a fleet up until interrupted."""
    parser = argparse.ArgumentParser(prog="bench.demo")
    parser.add_argument("--stay", action="store_true", help="keep the fleet until interrupted")
    parser.add_argument("--deployment", choices=tuple(BASE_PORTS), default="guild")
    args = parser.parse_args()
    if args.stay:
        return _stay(args.deployment)
    broken = [_demonstrate(name) for name in BASE_PORTS]
    return 1 if any(broken) else 0


def _start(name: str) -> Fleet:
    fleet = Fleet(DEPLOYMENTS[name], BASE_PORTS[name])
    try:
        fleet.start()
        done = fleet.publish(fleet.deployment.examples)
        print(done.stdout + done.stderr, end="", flush=True)
    except BaseException:
        fleet.stop()
        raise
    return fleet


def _stay(name: str) -> int:
    fleet = _start(name)
    try:
        print(f"balancer: http://{fleet.ports.balancer}")
        print(f"ledgers:  http://{fleet.ports.ledger}/")
        print(f"control:  http://{fleet.ports.control(0)}")
        print(f"switches: POST JSON to /faults, such as http://{fleet.ports.worker(0)}/faults")
        print("interrupt to stop", flush=True)
        while True:
            gevent.sleep(PROGRESS_S)
    except KeyboardInterrupt:
        return 0
    finally:
        fleet.stop()


def _demonstrate(name: str) -> bool:
    """Run one fleet under load; return whether a promise was broken."""
    print(f"{name}: 6 entry VMs, 24 executors, 24 workers", flush=True)
    fleet = _start(name)
    try:
        load = Load(fleet, 1, RATE)
        sender = gevent.spawn(load.run, LOAD_S)
        fragmentation = _progress(fleet, load, sender)
        return _print_result(fleet, load, fragmentation)
    finally:
        fleet.stop()


def _progress(fleet: Fleet, load: Load, sender) -> list[float]:
    fragmentation = []
    client = OperatorClient(fleet.ports.control(0))
    started = time.monotonic()
    while not sender.ready():
        gevent.sleep(PROGRESS_S)
        cell = client.cell()
        if cell is not None:
            fragmentation.append(cell.fragmentation)
        elapsed = time.monotonic() - started
        line = f"  {elapsed:4.0f} s: {load.sent} sent, {len(load.calls)} ended"
        print(f"\r{line}", end="", flush=True)
    print()
    return fragmentation


def _print_result(fleet: Fleet, load: Load, fragmentation: list[float]) -> bool:
    verdict = judge_ledger(load.calls, read_ledger(fleet))
    claims = [
        call.seconds - call.kind.run_s
        for call in load.calls
        if call.kind.guaranteed and call.outcome is CallOutcome.ANSWERED
    ]
    wrong = load.count(CallOutcome.WRONG) + load.count(CallOutcome.CUT)
    faults = len(verdict.false_refusals) + len(verdict.executed_twice)
    faults += len(verdict.partial_gangs) + wrong
    rows = (
        ("sent", load.sent),
        ("answered", load.count(CallOutcome.ANSWERED)),
        ("refused, not run", load.count(CallOutcome.NOT_RUN)),
        ("unknown", load.count(CallOutcome.UNKNOWN)),
        ("wrong answers", wrong),
        ("not run, yet executed", len(verdict.false_refusals)),
        ("executed twice", len(verdict.executed_twice)),
        ("partial gangs", len(verdict.partial_gangs)),
        ("ordinary p50 / p99, ms", _pair(load, jobs=False)),
        ("jobs p50 / p99, ms", _pair(load, jobs=True)),
        ("guaranteed jobs answered", len(claims)),
        ("their longest delay, s", f"{max(claims, default=0.0):.2f}"),
        ("mean fragmentation", f"{sum(fragmentation) / max(1, len(fragmentation)):.2f}"),
    )
    for title, value in rows:
        print(f"  {title:32}{value}")
    return faults > 0


def _pair(load: Load, *, jobs: bool) -> str:
    half, most = load.percentile(50, jobs=jobs), load.percentile(99, jobs=jobs)
    return f"{half * 1000:.0f} / {most * 1000:.0f}"


if __name__ == "__main__":
    gevent.config.resolver = "block"
    sys.exit(main())
