"""Keeps the owner's room forecasts and the digest of them up to date."""

from collections.abc import Mapping

import attrs

from lacewingmill.load.digest import AdmissionDigest, DigestVersion, make_digest
from lacewingmill.load.room import RoomForecaster
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["DigestMaker"]

# Digests are used for three seconds; a forecast costs the owner a few milliseconds.
INTERVAL_S = 0.9


class DigestMaker:
    """Makes the digests of one owner.

    :param term: term of the owner.
    """

    def __init__(self, term: int):
        self._version = DigestVersion(term, 0)
        self._forecasters: dict[str, RoomForecaster] = {}
        self._digest: AdmissionDigest | None = None
        self._made_at = float("-inf")

    def update(self, schedulers: Mapping[str, Scheduler], now: float) -> None:
        """Make a new digest if the last one is old.

        :param schedulers: the schedulers by service.
        """
        if now - self._made_at < INTERVAL_S:
            return
        forecasts = {}
        for service, scheduler in schedulers.items():
            forecaster = self._forecasters.get(service)
            if forecaster is None:
                forecaster = self._forecasters[service] = RoomForecaster(now)
            forecasts[service] = forecaster.forecast(scheduler.state, now)
        self._version = attrs.evolve(self._version, number=self._version.number + 1)
        self._digest = make_digest(self._version, forecasts)
        self._made_at = now

    def digest(self, now: float) -> AdmissionDigest | None:
        """Return the latest digest with its age; ``None`` before the first one."""
        if self._digest is None:
            return None
        return attrs.evolve(self._digest, age_s=now - self._made_at)
