"""Metrics by OpenTelemetry, read at ``/metrics``; nothing runs between readings."""

from collections.abc import Callable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Counter, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

from lacewingmill.ports import Meter

__all__ = ["Metrics"]

SECONDS_BUCKETS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300, 1800)


class Metrics:
    """The instruments of an entry VM.

    :param vm: name of this VM.
    """

    def __init__(self, vm: str):
        provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()],
            # Resource.create would look for more attributes in threads.
            resource=Resource({"service.name": "lacewingmill", "service.instance.id": vm}),
            shutdown_on_exit=False,
        )
        self._meter = provider.get_meter("lacewingmill")
        self._counters: dict[Meter, Counter] = {}
        self._histograms: dict[Meter, Histogram] = {}
        self._requests = self._meter.create_counter(
            "lacewingmill_requests", description="Requests of callers by route and outcome"
        )
        self._seconds = self._meter.create_histogram(
            "lacewingmill_request_seconds",
            unit="s",
            description="Time from a caller's request to its answer",
            explicit_bucket_boundaries_advisory=SECONDS_BUCKETS,
        )

        self._store_calls = self._meter.create_counter(
            "lacewingmill_store_calls", description="Calls to the store by kind and outcome"
        )

    def record_request(self, route: str, outcome: str, seconds: float) -> None:
        """Count a request and its time."""
        self._requests.add(1, {"route": route, "outcome": outcome})
        self._seconds.record(seconds, {"route": route})

    def record_store_call(self, kind: str, outcome: str) -> None:
        """Count a call to the key-value store."""
        self._store_calls.add(1, {"kind": kind, "outcome": outcome})

    def count(self, meter: Meter, **labels: str) -> None:
        """Count one."""
        counter = self._counters.get(meter)
        if counter is None:
            counter = self._counters[meter] = self._meter.create_counter(
                meter.instrument, description=meter.meaning
            )
        counter.add(1, labels)

    def observe(self, meter: Meter, seconds: float) -> None:
        """Record a time, in seconds."""
        histogram = self._histograms.get(meter)
        if histogram is None:
            histogram = self._histograms[meter] = self._meter.create_histogram(
                meter.instrument,
                unit="s",
                description=meter.meaning,
                explicit_bucket_boundaries_advisory=SECONDS_BUCKETS,
            )
        histogram.record(seconds)

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when the metrics are."""

        def observe(_: CallbackOptions):
            return [Observation(read())]

        self._meter.create_observable_gauge(name, callbacks=[observe], description=description)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)
