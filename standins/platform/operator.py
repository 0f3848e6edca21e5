"""The platform's operator: writes configurations and registers executors."""

import attrs

from standins.platform.kv import KvStore

__all__ = ["Evacuation", "Operator", "configuration"]

SERVICE = "plumes"
HOST = "desk.example"


def configuration(version: int, *, quota: int = 8, keys=("key-a",), queues=()) -> dict:
    """Return a configuration with the queues urgent, ordinary, patient and advised.

    :param quota: GPUs guaranteed to the only team.
    :param keys: API keys of the team.
    :param queues: further queues.
    """
    routes = [
        _route("urgent", 0, attempts=2, stretch=1.5, slo_ms=250),
        _route("ordinary", 1, attempts=4, stretch=3.0, slo_ms=1000),
        _route("patient", 2, attempts=2, stretch=3.0, slo_ms=3000),
        {
            **_route("advised", 1, attempts=2, stretch=3.0, slo_ms=1000),
            "advice": {"decide_ms": 50, "period_ms": 50, "valid_ms": 3000},
        },
        *queues,
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "admission_check": True}],
        "limits": {},
        "tenants": [{"name": "team-a", "api_keys": list(keys), "guaranteed": {"gpu": quota}}],
    }


def _route(name: str, priority: int, *, attempts: int, stretch: float, slo_ms: int) -> dict:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "non_idempotent",
        "service": SERVICE,
        "timeout_ms": 3000,
        "slo_ms": slo_ms,
        "priority": priority,
        "attempts": attempts,
        "stretch": stretch,
        "public": False,
    }


@attrs.define
class Evacuation:
    """A request that nothing more is started in a zone.

    :param begun_at: when it was written, in seconds.
    :param ended_at: when it was taken back, in seconds; infinite before.
    """

    zone: str
    begun_at: float
    ended_at: float = float("inf")


class Operator:
    """Writes to the store on behalf of the operator and the executors.

    ``evacuations`` holds all requests, those that were taken back, too.
    """

    def __init__(self, store: KvStore, clock):
        self.evacuations: list[Evacuation] = []
        self._store = store
        self._clock = clock

    def configure(self, config: dict) -> None:
        """Write a configuration."""
        self._store.write("op/config", config)

    def evacuate(self, zone: str) -> None:
        """Request that nothing more is started in a zone."""
        self._store.write(f"op/evacuate/{zone}", {})
        self.evacuations.append(Evacuation(zone, self._clock.now()))

    def release(self, zone: str) -> None:
        """Take the evacuation of a zone back."""
        self._store.write(f"op/evacuate/{zone}", None)
        for evacuation in self.evacuations:
            if evacuation.zone == zone:
                evacuation.ended_at = min(evacuation.ended_at, self._clock.now())

    def register(self, executor, state: str = "ready") -> None:
        """Write the entry of an executor."""
        self._store.write(f"servers/{executor.name}", executor.registration(state))

    def unregister(self, executor) -> None:
        """Remove the entry of an executor."""
        self._store.write(f"servers/{executor.name}", None)
