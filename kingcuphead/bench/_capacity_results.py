"""Measured slopes, as they are kept between the measurement and the page."""

import dataclasses
import statistics
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """What was measured at one size."""

    #: Size, in units of the slope's variable.
    size: float
    #: Results of repeated runs, in the slope's unit.
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """The median of the runs."""
        return statistics.median(self.values)


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A cost at several sizes."""

    #: Name by which the page refers to it.
    name: str
    #: What was measured, in English.
    title: str
    #: Unit of the cost.
    unit: str
    #: What grows, for example "daemons".
    variable: str
    #: The points, by size.
    points: tuple[Point, ...]

    @property
    def rate(self) -> float:
        """Cost of one more unit of the variable, by least squares."""
        return statistics.linear_regression(self._sizes, self._medians).slope

    @property
    def base(self) -> float:
        """Cost at size zero, by least squares; never negative."""
        fit = statistics.linear_regression(self._sizes, self._medians)
        return max(0.0, fit.intercept)

    @property
    def spread(self) -> float:
        """Largest ratio between the highest and the lowest run at one size."""
        return max(_get_ratio(point.values) for point in self.points)

    def predict(self, size: float) -> float:
        """Return the cost at a size."""
        return self.base + self.rate * size

    @property
    def _sizes(self) -> list[float]:
        return [point.size for point in self.points]

    @property
    def _medians(self) -> list[float]:
        return [point.median for point in self.points]


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """One run of the measurement."""

    #: When it ran, in UTC.
    measured_at: str
    #: Python, cores and load of the machine.
    machine: str
    #: The slopes.
    slopes: tuple[Slope, ...]

    def find(self, name: str) -> Slope:
        """Return a slope by name.

        Raises
        ------
        KeyError
            It was not measured.
        """
        for slope in self.slopes:
            if slope.name == name:
                return slope
        raise KeyError(name)


def measure_slope(
    name: str,
    title: str,
    unit: str,
    variable: str,
    sizes: Sequence[float],
    measure: Callable[[float], float],
    runs: int = 3,
) -> Slope:
    """Measure a cost at each size, several times.

    Parameters
    ----------
    name, title, unit, variable
        Fields of the slope.
    sizes
        At least three sizes.
    measure
        Returns the cost at a size.
    runs
        Repetitions at each size.
    """
    points = tuple(
        Point(size, tuple(measure(size) for _ in range(runs))) for size in sizes
    )
    return Slope(name, title, unit, variable, points)


def save_results(results: Results, path: Path) -> None:
    """Write results as JSON."""
    encoded = msgspec.json.encode(results)
    path.write_bytes(msgspec.json.format(encoded, indent=1) + b"\n")


def load_results(path: Path) -> Results:
    """Read results that `save_results` wrote."""
    return msgspec.json.decode(path.read_bytes(), type=Results)


def _get_ratio(values: Sequence[float]) -> float:
    lowest = min(values)
    return max(values) / lowest if lowest > 0 else 1.0
