"""Settings of a VM that runs jobs on the users' platform."""

import math

import attrs

__all__ = ["JobVmSettings", "PlatformLimits"]


@attrs.frozen
class PlatformLimits:
    """Time limits of the platform.

    :param grace_s: from SIGTERM to SIGKILL, in seconds.
    :param longest_hold_s: longest lease of the runs on a worker, in seconds.
    :param kept_s: how long the state of a job must be readable after its end, in seconds.
    :param config_in_force_s: time within which a new configuration must be in force, in seconds.
    :param guaranteed_begin_s: time from its acceptance within which urgent work of a team's quota
        must have begun, in seconds; 0 when it is unknown.
    :param longest_stop_s: longest time that the stop of a run takes, in seconds.
    :param restore_s: time to restore a checkpoint, in seconds.
    :param notice_s: shortest time that a worker stays after the notice that it leaves, in seconds.
    """

    grace_s: float
    longest_hold_s: float
    kept_s: float
    config_in_force_s: float
    guaranteed_begin_s: float = 0.0
    longest_stop_s: float = 1.0
    restore_s: float = 0.6
    notice_s: float = 3.0


@attrs.frozen
class JobVmSettings:
    """The settings of one VM.

    :param vm: name of the VM.
    :param front: ``host:port`` of the API for clients.
    :param ready: ``host:port`` for the health checks of the load balancer.
    :param peers: ``host:port`` that the other VMs call.
    :param metrics: ``host:port`` that serves the metrics.
    :param store: ``host:port`` of the store.
    :param advice: ``host:port`` of the advice service; empty where there is none.
    :param machines: ``host:port`` of the service with the list of machines; empty where there is
        none.
    :param link_mbps: bandwidth of the VM's network link, in Mbit/s; infinite when unknown.
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
