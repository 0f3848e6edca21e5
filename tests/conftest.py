"""Shared fixtures: each test that needs processes gets a fleet on its own ports."""

import itertools

import gevent
import pytest

gevent.config.resolver = "block"

from standins.fleet import GUILD, WASCHPLAN, Fleet  # noqa: E402
from tests.platform_fleet import PlatformFleet  # noqa: E402

_BASES = itertools.count(21000, 300)


@pytest.fixture
def fleet():
    return PlatformFleet()


@pytest.fixture(scope="module")
def guild_fleet():
    fleet = Fleet(GUILD, next(_BASES))
    yield from _run(fleet, "examples/guild")


@pytest.fixture(scope="module")
def waschplan_fleet():
    fleet = Fleet(WASCHPLAN, next(_BASES))
    yield from _run(fleet, "examples/waschplan")


def _run(fleet, directory):
    try:
        fleet.start()
        done = fleet.publish(directory)
        assert done.returncode == 0, done.stdout + done.stderr
        yield fleet
    finally:
        fleet.stop()
