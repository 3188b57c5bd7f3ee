"""Policies of the scheduler that differ between deployments."""

from attrs import field, frozen

from hornbeamstair_callers.admission.base import AdmissionPolicy, AdmitAll
from hornbeamstair_callers.jobs.run_times import DeclaredRunTimes, RunTimes
from hornbeamstair_upstreams.work.places.waits import PlaceTerms

__all__ = ('SchedulingPolicies',)


@frozen
class SchedulingPolicies:
    """Policies of one scheduler; they live as long as its term."""

    run_times: RunTimes = field(factory=DeclaredRunTimes)
    admission: AdmissionPolicy = field(factory=AdmitAll)
    places: PlaceTerms = field(factory=PlaceTerms)
