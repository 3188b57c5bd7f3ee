"""Policies of the scheduler that differ between deployments."""

from attrs import field, frozen

from hornbeamstair_callers.admission.base import AdmissionPolicy, AdmitAll
from hornbeamstair_callers.jobs.run_times import DeclaredRunTimes, RunTimes
from hornbeamstair_upstreams.work.places.waits import PlaceTerms

__all__ = ('SchedulingPolicies',)


@frozen
class SchedulingPolicies:
    """Policies of one scheduler; they live as long as its term."""

    # Run times by which jobs are ordered and demand is forecast.
    run_times: RunTimes = field(factory=DeclaredRunTimes)
    admission: AdmissionPolicy = field(factory=AdmitAll)
    places: PlaceTerms = field(factory=PlaceTerms)
    # Run times by which waits for a place are decided; None for the above.
    place_run_times: RunTimes | None = None

    def get_place_run_times(self) -> RunTimes:
        """Get the run times by which waits for a place are decided."""
        return self.place_run_times or self.run_times

    def get_learning(self) -> tuple[RunTimes, ...]:
        """Get the sources that learn from ended runs, each once."""
        return tuple(
            dict.fromkeys((self.run_times, self.get_place_run_times()))
        )
