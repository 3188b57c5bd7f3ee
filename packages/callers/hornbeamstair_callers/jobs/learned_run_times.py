"""Run times learned from the runs that are done."""

from collections import OrderedDict
from math import exp, log
from typing import ClassVar, Final

from attrs import define, field

from hornbeamstair_callers.jobs.medians import weighted_median
from hornbeamstair_callers.jobs.run_times import RunTimes
from hornbeamstair_core.ids import QueueName
from hornbeamstair_upstreams.work.messages import TaskNeeds

__all__ = ('LearnedRunTimes', 'StepSamples')

# Kinds of steps in memory; the least recently used one is dropped.
_MAX_KINDS: Final = 1024
# Phases in memory for each kind. Older ones have a weight below a tenth.
_MAX_SAMPLES: Final = 64
# Phases after which the weight of a phase has halved: a queue that changes its
# nature is known again after as many jobs.
_HALF_LIFE_SAMPLES: Final = 16
# Phases that weigh as much as the declared estimate.
_PRIOR_SAMPLES: Final = 4
# Phases that a kind needs to be used instead of its whole queue.
_MIN_KIND_SAMPLES: Final = 8
# Smallest spread, of the logarithm, that samples can show.
_MIN_SPREAD: Final = 0.05
# Shortest time that counts, in seconds; the leader measures no less.
_MIN_SECONDS: Final = 0.01
_WEIGHTS: Final = tuple(
    0.5 ** (age / _HALF_LIFE_SAMPLES) for age in range(_MAX_SAMPLES)
)

# Queue, image, and power of two of the CPU.
_Kind = tuple[QueueName, str, int]


@define(eq=False)
class StepSamples:
    """Recent phases of one kind of step, in logarithms of seconds.

    Each phase counts once, so that a job with many tasks is one sample.
    """

    # Declared and observed run time by phase; the last is the most recent.
    by_phase: OrderedDict[str, tuple[float, float]] = field(factory=OrderedDict)
    # Median of the observed times, and of their differences to the declared.
    typical: float = 0
    correction: float = 0
    # Share of an estimate's distance from the typical time that is believed.
    trust: float = 1
    is_stale: bool = False

    def record(self, phase_id: str, declared: float, observed: float) -> None:
        """Add a phase or replace its sample."""
        is_new = phase_id not in self.by_phase
        self.by_phase[phase_id] = (declared, observed)
        if is_new:
            self.is_stale = True
            if len(self.by_phase) > _MAX_SAMPLES:
                self.by_phase.popitem(last=False)

    def estimate(self, declared: float) -> float:
        """Estimate the logarithm of a run time from the declared one."""
        if self.is_stale:
            self._learn()
        corrected = declared + self.correction
        learned = self.typical + self.trust * (corrected - self.typical)
        count = len(self.by_phase)
        share = count / (count + _PRIOR_SAMPLES)
        return declared + share * (learned - declared)

    def _learn(self) -> None:
        """Weigh the estimates against the typical run time.

        This is the mean of a run time with a known spread after an observation
        with a known error.
        """
        samples = tuple(reversed(self.by_phase.values()))
        observed = [sample[1] for sample in samples]
        errors = [sample[1] - sample[0] for sample in samples]
        self.typical = weighted_median(observed, _WEIGHTS)
        self.correction = weighted_median(errors, _WEIGHTS)
        spread = _get_spread(observed, self.typical)
        error = _get_spread(errors, self.correction)
        self.trust = spread**2 / (spread**2 + error**2)
        self.is_stale = False


@define(eq=False)
class LearnedRunTimes(RunTimes):
    """Corrects the declared estimates by the runs of recent jobs.

    Wild jobs hardly move a median, and the declared estimate holds for a queue
    of which nothing was learned.
    """

    name: ClassVar[str] = 'learned'

    kinds: OrderedDict[_Kind, StepSamples] = field(factory=OrderedDict)

    def get_seconds(self, queue: QueueName, needs: TaskNeeds) -> float:
        """Get the declared estimate, corrected as far as runs are known."""
        if needs.lasts or needs.fills or needs.estimate_seconds <= 0:
            return needs.estimate_seconds
        samples = self.kinds.get(_get_kind(queue, needs))
        if samples is None or len(samples.by_phase) < _MIN_KIND_SAMPLES:
            samples = self.kinds.get(_get_queue_kind(queue))
        if samples is None:
            return needs.estimate_seconds
        return exp(samples.estimate(log(needs.estimate_seconds)))

    def record(
        self,
        queue: QueueName,
        phase_id: str,
        needs: TaskNeeds,
        seconds: float,
    ) -> None:
        """Learn the duration of tasks that run equally long on any worker.

        The tasks of a phase with a preferred rack are slower elsewhere, and
        backfill tasks depend on the CPU time that others leave.
        """
        has_place = bool(needs.data_rack) or needs.one_rack
        if needs.lasts or needs.fills or has_place:
            return
        if needs.estimate_seconds <= 0:
            return
        declared = log(needs.estimate_seconds)
        observed = log(max(seconds, _MIN_SECONDS))
        for kind in (_get_queue_kind(queue), _get_kind(queue, needs)):
            self._get_samples(kind).record(phase_id, declared, observed)

    def _get_samples(self, kind: _Kind) -> StepSamples:
        samples = self.kinds.get(kind)
        if samples is None:
            samples = StepSamples()
            self.kinds[kind] = samples
            if len(self.kinds) > _MAX_KINDS:
                self.kinds.popitem(last=False)
        self.kinds.move_to_end(kind)
        return samples


def _get_spread(numbers: list[float], middle: float) -> float:
    """Get the median distance from the middle."""
    distances = [abs(number - middle) for number in numbers]
    return max(weighted_median(distances, _WEIGHTS), _MIN_SPREAD)


def _get_kind(queue: QueueName, needs: TaskNeeds) -> _Kind:
    return queue, needs.image, needs.room.cpu.bit_length()


def _get_queue_kind(queue: QueueName) -> _Kind:
    return queue, '', -1
