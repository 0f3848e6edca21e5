"""Settings of a VM that runs jobs of steps on the users' platform."""

import attrs

__all__ = ["JobVmSettings", "PlatformLimits"]


@attrs.frozen
class PlatformLimits:
    """Times and factors that the platform promises or demands.

    :param drain_s: how long a leaving worker goes on at least, in seconds.
    :param grace_s: from SIGTERM to SIGKILL, in seconds.
    :param stop_s: longest time that a worker takes to stop a task, in seconds.
    :param gang_wait_s: how long a member of a gang waits for the others, in seconds.
    :param longest_hold_s: longest lease of what runs on a worker, in seconds.
    :param kept_s: how long the state of a job is told after its end, in seconds.
    :param remote_factor: how much longer tasks take away from their data or rack.
    :param early_s: how much before its due time an occurrence may start, in seconds.
    :param least_lease_s: shortest lease of the store, in seconds.
    """

    drain_s: float
    grace_s: float
    stop_s: float
    gang_wait_s: float
    longest_hold_s: float
    kept_s: float
    remote_factor: float
    early_s: float
    least_lease_s: float


@attrs.frozen
class JobVmSettings:
    """What one VM is told at its start.

    :param front: ``host:port`` for callers.
    :param ready: ``host:port`` for the balancer.
    :param peers: ``host:port`` for the other VMs.
    :param metrics: ``host:port`` of the metrics.
    :param store: ``host:port`` of the store.
    """

    vm: str
    failure_domain: str
    front: str
    ready: str
    peers: str
    metrics: str
    store: str
    limits: PlatformLimits
