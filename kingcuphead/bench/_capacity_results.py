"""Measured slopes and the results file that stores them.

Field names are the keys of that file.
"""

import dataclasses
import statistics
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Costs that were measured at one size."""

    #: Value of the slope's variable.
    size: float
    #: Costs of repeated runs, in the slope's unit.
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """Median of the runs, in the slope's unit."""
        return statistics.median(self.values)


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Costs at several sizes, with a linear fit."""

    #: Identifier of the slope in the results file and in the page.
    name: str
    #: Description of the measured cost, as printed.
    title: str
    #: Unit of the cost, for example "us"; empty for a ratio.
    unit: str
    #: Quantity that varies, for example "daemons".
    variable: str
    #: Measured points, at least two.
    points: tuple[Point, ...]

    @property
    def rate(self) -> float:
        """Cost per unit of the variable, by least squares."""
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
        """Return the cost at a size, by the linear fit."""
        return self.base + self.rate * size

    @property
    def _sizes(self) -> list[float]:
        return [point.size for point in self.points]

    @property
    def _medians(self) -> list[float]:
        return [point.median for point in self.points]


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """Results of one measurement."""

    #: Start of the measurement, as printed, in UTC.
    measured_at: str
    #: Python version, cores and load average of the machine, as printed.
    machine: str
    #: Slopes in the order of their measurement.
    slopes: tuple[Slope, ...]

    def find(self, name: str) -> Slope:
        """Return a slope by name.

        Raises
        ------
        KeyError
            No slope has this name.
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
    """Measure a cost repeatedly at each size.

    Parameters
    ----------
    name, title, unit, variable
        Fields of the slope.
    sizes
        Values of the variable, at least three.
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
