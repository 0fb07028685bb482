"""Latency of rows and round-trip times to data centres."""

import math

import attrs

__all__ = ["LatencyWindow", "LinkDelays", "RowStatistics", "compute_log_latency"]

WINDOW_SAMPLES = 128
REFRESH_INTERVAL_SAMPLES = 16
MIN_SAMPLES = 20
# From this many samples on, the average is exponentially weighted.
MAX_AVERAGED_SAMPLES = 64
DELAY_RISE_WEIGHT = 0.002
# Shorter latencies are dominated by process scheduling.
MIN_LATENCY_SECONDS = 0.001


def compute_log_latency(seconds: float) -> float:
    """Computes the natural logarithm of a latency.

    In an average of logarithms one slow call does not outweigh many fast ones.

    :param seconds: latency, seconds.
    """
    return math.log(max(MIN_LATENCY_SECONDS, seconds))


@attrs.define(eq=False)
class LatencyWindow:
    """Latency quantiles over a sliding window of calls.

    :param median: median latency, seconds; infinite until there are 20 samples.
    :param p95: 95th percentile of the latency, seconds; as above.
    """

    median: float = math.inf
    p95: float = math.inf
    _samples: list[float] = attrs.field(factory=list)
    _count: int = 0

    def record(self, seconds: float) -> None:
        """Adds a call and refreshes the quantiles after every few calls.

        :param seconds: latency of the call, seconds.
        """
        if len(self._samples) < WINDOW_SAMPLES:
            self._samples.append(seconds)
        else:
            self._samples[self._count % WINDOW_SAMPLES] = seconds
        self._count += 1
        if self._count % REFRESH_INTERVAL_SAMPLES == 0 or self._count == MIN_SAMPLES:
            self._refresh()

    def _refresh(self) -> None:
        if self._count < MIN_SAMPLES:
            return
        ordered = sorted(self._samples)
        self.median = ordered[len(ordered) // 2]
        self.p95 = ordered[len(ordered) * 95 // 100]


@attrs.define(eq=False)
class RowStatistics:
    """Latency of the calls of one row and whether they call other services.

    :param mean_log_latency: average of the logarithm of the time at a node, link
        delay excluded; None before the first reply.
    :param window: latency seen by the caller, link delay included.
    :param is_leaf: false once a call has reached other services; None before
        the first reply that lists the reached services.
    """

    mean_log_latency: float | None = None
    window: LatencyWindow = attrs.field(factory=LatencyWindow)
    is_leaf: bool | None = None
    _count: int = 0

    def record(self, seconds_at_node: float) -> float:
        """Adds a reply.

        :param seconds_at_node: latency without the link delay, seconds.
        :returns: logarithm of its ratio to the average; 0 for the first reply.
        """
        log_latency = compute_log_latency(seconds_at_node)
        self._count += 1
        if self.mean_log_latency is None:
            self.mean_log_latency = log_latency
            return 0.0
        log_ratio = log_latency - self.mean_log_latency
        self.mean_log_latency += log_ratio / min(self._count, MAX_AVERAGED_SAMPLES)
        return log_ratio

    def compute_log_ratio(self, seconds_at_node: float) -> float:
        """Computes the latency of a call relative to the average of the row.

        :param seconds_at_node: time so far without the link delay, seconds.
        :returns: logarithm of the ratio; 0 before the first reply.
        """
        if self.mean_log_latency is None:
            return 0.0
        return compute_log_latency(seconds_at_node) - self.mean_log_latency

    def record_reached(self, service: str, reached: tuple[str, ...]) -> None:
        """Records which services a call reached, to update ``is_leaf``.

        :param service: service of the row.
        :param reached: services that the call reached; empty when not known.
        """
        if not reached:
            return
        is_leaf = all(name == service for name in reached)
        self.is_leaf = is_leaf and self.is_leaf is not False


@attrs.define(eq=False)
class LinkDelays:
    """Estimates the round-trip time to each data centre."""

    _delays: dict[str, float] = attrs.field(factory=dict)

    def get(self, data_centre: str) -> float:
        """Returns the round-trip time in seconds, 0 when it is not known."""
        return self._delays.get(data_centre, 0.0)

    def record(self, data_centre: str, elapsed: float, service_seconds: float) -> None:
        """Updates the round-trip time from the latency of a reply.

        The smallest difference between the two times is taken as the delay of the
        link alone. The estimate rises slowly towards larger differences, so that
        it follows a change to a longer network route.

        :param elapsed: latency seen by the caller, seconds.
        :param service_seconds: time at the backend server, seconds; 0 when not
            known.
        """
        if service_seconds <= 0:
            return
        sample = max(0.0, elapsed - service_seconds)
        estimate = self._delays.get(data_centre)
        if estimate is None or sample < estimate:
            self._delays[data_centre] = sample
        else:
            self._delays[data_centre] = (
                estimate + (sample - estimate) * DELAY_RISE_WEIGHT
            )
