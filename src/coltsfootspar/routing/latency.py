"""Latency of rows and of the links to data centres."""

import math

import attrs

__all__ = ["LatencyWindow", "LinkDelays", "RowStatistics", "to_log"]

WINDOW_SAMPLES = 128
REFRESH_SAMPLES = 16
MIN_SAMPLES = 20
USUAL_SAMPLES = 64
DELAY_RISE = 0.002
# Shorter times are dominated by the scheduling of the processes.
MIN_LATENCY = 0.001


def to_log(seconds: float) -> float:
    """Returns the natural logarithm of a latency, seconds.

    Logarithms keep one call of a long row from outweighing many short ones.
    """
    return math.log(max(MIN_LATENCY, seconds))


@attrs.define(eq=False)
class LatencyWindow:
    """Quantiles of the latest calls.

    :param median: half of the calls were faster, seconds.
    :param p95: 95 of 100 calls were faster, seconds.
    """

    median: float = math.inf
    p95: float = math.inf
    _samples: list[float] = attrs.field(factory=list)
    _count: int = 0

    def record(self, seconds: float) -> None:
        """Adds a call; the quantiles follow after every few calls."""
        if len(self._samples) < WINDOW_SAMPLES:
            self._samples.append(seconds)
        else:
            self._samples[self._count % WINDOW_SAMPLES] = seconds
        self._count += 1
        if self._count % REFRESH_SAMPLES == 0 or self._count == MIN_SAMPLES:
            self._refresh()

    def _refresh(self) -> None:
        if self._count < MIN_SAMPLES:
            return
        ordered = sorted(self._samples)
        self.median = ordered[len(ordered) // 2]
        self.p95 = ordered[len(ordered) * 95 // 100]


@attrs.define(eq=False)
class RowStatistics:
    """What the router knows of the calls of one row.

    :param log_usual: logarithm of the usual time at a node, link delay excluded;
        None before the first reply.
    :param window: latency that the caller sees.
    :param is_leaf: false once a call has reached other services; None before
        the first reply.
    """

    log_usual: float | None = None
    window: LatencyWindow = attrs.field(factory=LatencyWindow)
    is_leaf: bool | None = None
    _count: int = 0

    def record(self, seconds_at_node: float) -> float:
        """Adds a reply.

        :param seconds_at_node: latency without the delay of the link.
        :returns: logarithm of its ratio to the usual time.
        """
        value = to_log(seconds_at_node)
        self._count += 1
        if self.log_usual is None:
            self.log_usual = value
            return 0.0
        ratio = value - self.log_usual
        self.log_usual += ratio / min(self._count, USUAL_SAMPLES)
        return ratio

    def compute_excess(self, seconds_at_node: float) -> float:
        """Computes how much longer than usual a call has taken so far.

        :returns: logarithm of the ratio; 0 when nothing is known.
        """
        if self.log_usual is None:
            return 0.0
        return to_log(seconds_at_node) - self.log_usual

    def learn_reached(self, service: str, reached: tuple[str, ...]) -> None:
        """Learns from a reply whether calls go on to other services.

        :param service: service of the row.
        :param reached: services that the call reached.
        """
        if not reached:
            return
        is_leaf = all(name == service for name in reached)
        self.is_leaf = is_leaf and self.is_leaf is not False


@attrs.define(eq=False)
class LinkDelays:
    """Round-trip time to each data centre, seconds."""

    _delays: dict[str, float] = attrs.field(factory=dict)

    def get(self, data_centre: str) -> float:
        """Returns the round-trip time, 0 when it is not known."""
        return self._delays.get(data_centre, 0.0)

    def record(self, data_centre: str, elapsed: float, service_seconds: float) -> None:
        """Learns from a reply.

        The smallest difference is the link alone; it rises slowly, so that a
        longer route is noticed.

        :param elapsed: latency that the caller saw.
        :param service_seconds: time at the backend server; 0 when not known.
        """
        if service_seconds <= 0:
            return
        sample = max(0.0, elapsed - service_seconds)
        known = self._delays.get(data_centre)
        if known is None or sample < known:
            self._delays[data_centre] = sample
        else:
            self._delays[data_centre] = known + (sample - known) * DELAY_RISE
