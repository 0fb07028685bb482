"""Straight lines through measured points."""

from collections.abc import Sequence

import attrs
import numpy as np

__all__ = ["Slope", "fit_slope"]


@attrs.frozen
class Slope:
    """A straight line through points.

    :param base: value at size 0.
    :param per_unit: growth for each unit of size.
    :param spread: standard deviation of the points around the line.
    """

    base: float
    per_unit: float
    spread: float

    def compute_at(self, size: float) -> float:
        """Computes the value at a size."""
        return self.base + self.per_unit * size


def fit_slope(points: Sequence[tuple[float, float]]) -> Slope:
    """Fits a line by least squares.

    :param points: pairs of size and value, two at least.

    >>> fit_slope([(1, 3), (2, 5)]).per_unit
    2.0
    """
    sizes, values = (
        np.array(column, dtype=float) for column in zip(*points, strict=True)
    )
    per_unit, base = np.polyfit(sizes, values, 1)
    rest = values - (base + per_unit * sizes)
    return Slope(*(round(float(x), 9) for x in (base, per_unit, rest.std())))
