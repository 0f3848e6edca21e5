"""Settings of a VM that runs jobs of steps on the users' platform."""

import math

import attrs

__all__ = ["JobVmSettings", "PlatformLimits"]


@attrs.frozen
class PlatformLimits:
    """Times that the platform promises or demands.

    :param grace_s: from SIGTERM to SIGKILL, in seconds.
    :param longest_hold_s: longest lease of what runs on a worker, in seconds.
    :param kept_s: how long the state of a job is told after its end, in seconds.
    """

    grace_s: float
    longest_hold_s: float
    kept_s: float


@attrs.frozen
class JobVmSettings:
    """What one VM is told at its start.

    :param front: ``host:port`` for callers.
    :param ready: ``host:port`` for the balancer.
    :param peers: ``host:port`` for the other VMs.
    :param metrics: ``host:port`` of the metrics.
    :param store: ``host:port`` of the store.
    :param advice: ``host:port`` of the advice service; empty where there is none.
    :param machines: ``host:port`` of the list of machines; empty where there is none.
    :param link_mbps: what the VM's link carries, in megabits a second; infinite if not known.
    """

    vm: str
    failure_domain: str
    front: str
    ready: str
    peers: str
    metrics: str
    store: str
    limits: PlatformLimits
    advice: str = ""
    machines: str = ""
    link_mbps: float = math.inf
