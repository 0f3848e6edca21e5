"""The leases that an owner requests, against workers whose clocks run slow."""

import pytest

from lacewingmill.jobs.lease_clock import LeaseClock
from standins.virtual_clock import VirtualClock

LONGEST_S = 6.0
SLOWEST = 0.98


def end_of_lease(requested_until, started_at):
    """Return when a lease ends on a worker whose clock has run slow from 0 on."""
    return started_at + requested_until / SLOWEST


# Guards against taking the run of a worker that was idle for long for gone while it still holds its
# lease: the worker's clock is behind what its last answer led to expect.
@pytest.mark.parametrize("idle_s", [0.0, 20.0, 60.0, 600.0])
def test_a_lease_requested_by_an_old_reading_of_a_slow_clock_is_not_over_too_early(idle_s):
    clock = VirtualClock()
    lease = LeaseClock(clock, LONGEST_S)
    started_at = clock.now()
    lease.set_worker_time(0.0)
    clock.advance(idle_s)
    until = lease.extend()
    end = min(end_of_lease(until, started_at), clock.now() + 12.0 + LONGEST_S / SLOWEST)
    clock.advance(end - clock.now() - 0.001)
    assert not lease.expired


# Guards against leases that are over before the next poll can extend them.
@pytest.mark.parametrize("idle_s", [0.0, 60.0, 600.0])
def test_a_lease_requested_by_an_old_reading_of_an_exact_clock_lasts(idle_s):
    clock = VirtualClock()
    lease = LeaseClock(clock, LONGEST_S)
    started_at = clock.now()
    lease.set_worker_time(0.0)
    clock.advance(idle_s)
    assert lease.extend() - (clock.now() - started_at) >= LONGEST_S / 2 * 0.95


# Guards against taking a worker whose clock runs slow for one that has started again, and one that
# has started again for the same.
@pytest.mark.parametrize("idle_s", [0.0, 20.0, 600.0])
def test_a_clock_that_began_anew_is_told_from_a_slow_one(idle_s):
    clock = VirtualClock()
    lease = LeaseClock(clock, LONGEST_S)
    lease.set_worker_time(50.0)
    clock.advance(idle_s)
    sent_at = clock.now()
    clock.advance(0.3)
    assert not lease.started_again(50.0 + idle_s * SLOWEST, sent_at)
    assert lease.started_again(50.0 + idle_s * SLOWEST - 10.0, sent_at)
