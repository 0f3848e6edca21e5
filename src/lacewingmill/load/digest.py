"""The digest of the room forecasts that the owner sends to the other VMs."""

import attrs

from lacewingmill.load.backlog import MemberSize
from lacewingmill.load.room import QuotaLeft, RoomForecast, StartForecast, WorkerLimits

__all__ = ["AdmissionDigest", "DigestVersion", "ServiceDigest", "make_digest"]

# Bounds of what a digest holds of each service, so that it stays small in every reply.
MAX_QUOTAS = 16
MAX_LABEL_CHARS = 300


@attrs.frozen(order=True)
class DigestVersion:
    """Identifies a digest: the term of the owner that made it, and its number in that term."""

    term: int = 0
    number: int = 0


@attrs.frozen
class ServiceDigest:
    """The forecast for one service, in whole numbers to be short.

    :param starts: rows of rank, accelerators, thousandths of a processor core and members of a kind
        of unit, its earliest and its likely start in milliseconds, and the slots for its members.
    :param limits: accelerators, processors and gigabytes of the largest worker, and of all workers
        together, rounded up; empty while they are not known.
    :param labels: all labels of the workers; ``None`` if they are not known or too many.
    :param quotas: rows of a team and what its urgent jobs leave of its quota, in accelerators.
    """

    service: str
    starts: tuple[tuple[int, int, int, int, int, int, int], ...] = ()
    limits: tuple[int, ...] = ()
    labels: tuple[str, ...] | None = None
    quotas: tuple[tuple[str, int], ...] = ()

    def start_forecasts(self) -> tuple[StartForecast, ...]:
        """Return the kinds of units that cannot start now."""
        return tuple(
            StartForecast(
                rank,
                MemberSize(accelerators, processors / 1000),
                members,
                earliest / 1000,
                likely / 1000,
                slots,
            )
            for rank, accelerators, processors, members, earliest, likely, slots in self.starts
        )

    def quota_left(self, team: str) -> int | None:
        """Return what is left of a team's quota; ``None`` when no urgent job of it is known."""
        return next((left for name, left in self.quotas if name == team), None)


@attrs.frozen
class AdmissionDigest:
    """What VMs need to know of the load to decide which jobs surely cannot be served.

    :param age_s: time from the forecast to the sending of the digest, in seconds.
    """

    version: DigestVersion
    age_s: float
    services: tuple[ServiceDigest, ...]

    def service(self, name: str) -> ServiceDigest | None:
        """Return the digest of one service; ``None`` if there is none."""
        return next((each for each in self.services if each.service == name), None)


def make_digest(version: DigestVersion, forecasts: dict[str, RoomForecast]) -> AdmissionDigest:
    """Return the digest of new forecasts, by service."""
    return AdmissionDigest(
        version, 0.0, tuple(_summarize(service, each) for service, each in forecasts.items())
    )


def _summarize(service: str, forecast: RoomForecast) -> ServiceDigest:
    scarcest_first = sorted(forecast.quotas, key=lambda quota: quota.accelerators)
    return ServiceDigest(
        service,
        tuple(_start_row(start) for start in forecast.starts),
        _limits(forecast.limits),
        _labels(forecast.limits),
        tuple(_quota_row(quota) for quota in scarcest_first[:MAX_QUOTAS]),
    )


def _start_row(start: StartForecast) -> tuple[int, int, int, int, int, int, int]:
    return (
        start.rank,
        start.size.accelerators,
        -int(-start.size.processors * 1000 // 1),
        start.members,
        int(start.earliest_s * 1000),
        int(start.likely_s * 1000),
        start.slots,
    )


def _quota_row(quota: QuotaLeft) -> tuple[str, int]:
    return (quota.team, quota.accelerators)


def _limits(limits: WorkerLimits | None) -> tuple[int, ...]:
    if limits is None:
        return ()
    amounts = (
        limits.accelerators,
        limits.processors,
        limits.memory_gb,
        limits.total_accelerators,
        limits.total_processors,
        limits.total_memory_gb,
    )
    return tuple(-int(-amount // 1) for amount in amounts)


def _labels(limits: WorkerLimits | None) -> tuple[str, ...] | None:
    if limits is None or sum(map(len, limits.labels)) > MAX_LABEL_CHARS:
        return None
    return limits.labels
