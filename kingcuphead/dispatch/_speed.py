"""Speed of targets, learnt from the times to first events."""

import math
import statistics

from kingcuphead.dispatch._messages import DispatchSettings

#: Weight of a sample above the moving average of a prefill rate.
RISE_WEIGHT = 0.3
#: Weight of a sample below it. The sample may be too low because of prompts that this
#: daemon doesn't know of; it is rarely too high.
FALL_WEIGHT = 0.1
#: Weight of a sample in the moving average of the step time.
STEP_WEIGHT = 0.2
#: Smallest prefill in tokens from which a rate is learnt; below it, the time of the
#: steps outweighs that of the prefill.
MIN_RATE_TOKENS = 2_000
#: Lower bound of a learnt rate, relative to the default.
MIN_RATE_RATIO = 0.1
#: Upper bound of a learnt rate, relative to the default.
MAX_RATE_RATIO = 10.0
#: Upper bound in seconds of a learnt step time.
MAX_STEP_SECONDS = 0.02
#: Ratio of the observed to the expected wait from which on a target counts as slow.
MIN_SLOWNESS = 1.5
#: Upper bound of that ratio.
MAX_SLOWNESS = 10.0
#: Time constant in seconds of the decay of an observed slowness. Engines are slow for
#: about as long.
SLOWNESS_DECAY_SECONDS = 0.6
#: Seconds that are added to the expected wait before a request counts as overdue.
OVERDUE_ALLOWANCE_SECONDS = 0.04
#: Samples of a service between two computations of its medians.
MEDIAN_INTERVAL = 8


class ServiceSpeed:
    """Medians of the targets of one service, from which new targets start.

    Parameters
    ----------
    settings
        Contains the speed that is assumed before the first sample.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._rates: dict[str, float] = {}
        self._steps: dict[str, float] = {}
        self._samples = 0
        #: Median of the prefill rates in tokens per second.
        self.rate = settings.prefill_tokens_per_second
        #: Median of the seconds that a running request adds to the wait of a new one.
        self.step = settings.wait_per_running_request

    def record_rate(self, target: str, rate: float) -> None:
        """Replace the prefill rate of a target."""
        self._rates[target] = rate
        self._count_sample()

    def record_step(self, target: str, step: float) -> None:
        """Replace the step time of a target."""
        self._steps[target] = step
        self._count_sample()

    def forget(self, target: str) -> None:
        """Drop the speed of a target that was removed."""
        self._rates.pop(target, None)
        self._steps.pop(target, None)

    def _count_sample(self) -> None:
        if self._samples % MEDIAN_INTERVAL == 0:
            if self._rates:
                self.rate = statistics.median(self._rates.values())
            if self._steps:
                self.step = statistics.median(self._steps.values())
        self._samples += 1


class TargetSpeed:
    """Prefill rate, step time and slowness of one target.

    Parameters
    ----------
    name
        Name of the target.
    service
        Speed of its service.
    """

    def __init__(self, name: str, service: ServiceSpeed) -> None:
        self._name = name
        self._service = service
        self._default_rate = service.rate
        self._rate: float | None = None
        self._rate_samples = 0
        self._step: float | None = None
        self._slowness = 1.0
        self._slowness_at = 0.0

    @property
    def rate(self) -> float:
        """Prefill rate in tokens per second."""
        return self._service.rate if self._rate is None else self._rate

    @property
    def step(self) -> float:
        """Seconds that a running request adds to the wait of a new one."""
        return self._service.step if self._step is None else self._step

    def get_slowness(self, now: float) -> float:
        """Return the recently observed over the expected wait; 1 if it was as expected.

        It decays, so that the target is tried again.
        """
        elapsed = max(0.0, now - self._slowness_at)
        decay = math.exp(-elapsed / SLOWNESS_DECAY_SECONDS)
        return 1 + (self._slowness - 1) * decay

    def record_wait(
        self, tokens: int, running: int, seconds: float, expected: float, now: float
    ) -> None:
        """Learn from the wait of one request for its first event.

        Parameters
        ----------
        tokens
            Tokens that were pending before the request and its own.
        running
            Requests that were running.
        seconds
            Observed wait.
        expected
            Expected wait at the usual speed of the target.
        now
            Current time in seconds.
        """
        slowness = seconds / (expected + OVERDUE_ALLOWANCE_SECONDS)
        if slowness >= MIN_SLOWNESS:
            self._slowness = min(slowness, MAX_SLOWNESS)
            self._slowness_at = now
        else:
            self._slowness = 1.0
        self._learn(tokens, running, seconds)

    def _learn(self, tokens: int, running: int, seconds: float) -> None:
        requests = running + 1
        if tokens < MIN_RATE_TOKENS:
            sample = (seconds - tokens / self.rate) / requests
            sample = min(max(sample, 0.0), MAX_STEP_SECONDS)
            self._step = self.step + STEP_WEIGHT * (sample - self.step)
            self._service.record_step(self._name, self._step)
            return
        sample = tokens / max(seconds - requests * self.step, 0.5 * seconds, 1e-3)
        sample = min(max(sample, self._lowest_rate), self._highest_rate)
        least_weight = RISE_WEIGHT if sample > self.rate else FALL_WEIGHT
        weight = max(least_weight, 1 / (2 + self._rate_samples))
        self._rate_samples += 1
        self._rate = self.rate + weight * (sample - self.rate)
        self._service.record_rate(self._name, self._rate)

    @property
    def _lowest_rate(self) -> float:
        return MIN_RATE_RATIO * self._default_rate

    @property
    def _highest_rate(self) -> float:
        return MAX_RATE_RATIO * self._default_rate
