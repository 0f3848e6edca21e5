"""Waits of the runtime's clock, on gevent's own event loop."""

import random

import gevent
import pytest
from gevent.event import Event

from lacewingmill.adapters.clock import GeventClock

ROUNDS = 40
WAITERS = 40
WAIT_S = 0.02
GIVE_UP_S = 2.0


def count_waiters_that_hang(rng, clock):
    """Let greenlets wait for some of ten events each, most of which are set as the waits end."""
    events = [Event() for _ in range(10)]
    picks = [rng.sample(events, 4) for _ in range(WAITERS)]
    waiters = [
        gevent.spawn(lambda pick=pick: [clock.wait(event, WAIT_S) for event in pick])
        for pick in picks
    ]

    def set_events():
        for event in rng.sample(events, 9):
            gevent.sleep(rng.choice([0, 0.001, 0.01, 0.0199, 0.02]))
            event.set()

    gevent.spawn(set_events)
    gevent.joinall(waiters, timeout=GIVE_UP_S)
    hanging = sum(not waiter.dead for waiter in waiters)
    gevent.killall(waiters)
    return hanging


# Guards against waits that never end: a wait that begins on an event whose waiters are being
# notified may get no timer, and no notification either.
@pytest.mark.parametrize("seed", [1, 2])
def test_a_wait_ends_by_its_timeout(seed):
    rng, clock = random.Random(seed), GeventClock()
    assert sum(count_waiters_that_hang(rng, clock) for _ in range(ROUNDS)) == 0
