"""Base class of the admission of jobs."""

from abc import ABC, abstractmethod
from typing import ClassVar

from attrs import define
from expression import Ok, Result

from hornbeamstair_callers.jobs.records import JobAccepted
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.moments import Moment

__all__ = ('AdmissionPolicy', 'AdmitAll')


class AdmissionPolicy(ABC):
    """Policy that refuses jobs before anything of them is recorded."""

    name: ClassVar[str]

    @abstractmethod
    def check(self, record: JobAccepted, now: Moment) -> Result[None, Failure]:
        """Refuse a job that must not be accepted now."""


@define(eq=False)
class AdmitAll(AdmissionPolicy):
    """Admits every job."""

    name: ClassVar[str] = 'all'

    def check(self, record: JobAccepted, now: Moment) -> Result[None, Failure]:
        """Admit the job."""
        return Ok(None)
