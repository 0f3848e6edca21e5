"""Shared fixtures; each module that needs a fleet of processes gets one on ports of its own."""

import itertools

import gevent
import pytest

gevent.config.resolver = "block"

from standins.fleet import GUILD, WASCHPLAN, Fleet  # noqa: E402
from standins.platform.fleet import PlatformFleet  # noqa: E402

_BASE_PORTS = itertools.count(21000, 300)


@pytest.fixture
def fleet():
    """VMs on the emulated platform, in this process and on virtual time."""
    return PlatformFleet()


@pytest.fixture(scope="module")
def guild_fleet():
    fleet = Fleet(GUILD, next(_BASE_PORTS))
    yield from _run_fleet(fleet, "examples/guild")


@pytest.fixture(scope="module")
def waschplan_fleet():
    fleet = Fleet(WASCHPLAN, next(_BASE_PORTS))
    yield from _run_fleet(fleet, "examples/waschplan")


def _run_fleet(fleet, directory):
    """Start a fleet, publish its service files, and stop it after the tests of the module."""
    try:
        fleet.start()
        result = fleet.publish(directory)
        assert result.returncode == 0, result.stdout + result.stderr
        yield fleet
    finally:
        fleet.stop()
