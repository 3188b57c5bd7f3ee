"""Control state: contracts and pools, changed only by committed entries."""

from collections import OrderedDict
from typing import Final

from attrs import define, field, frozen
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import RequestId
from hornbeamstair_operators.changes.base import Change, ChangeRequest
from hornbeamstair_operators.failures import RevisionConflictFailure
from hornbeamstair_operators.messages import ChangeAnswer
from hornbeamstair_operators.tables import ControlTables

__all__ = ('ControlState', 'SubjectRevision')

_KEPT_ANSWERS: Final = 20000


@frozen
class SubjectRevision:
    """Last accepted change of a subject."""

    revision: int
    request_id: RequestId


@define
class ControlState:
    """Tables in force, their revisions and the answers given."""

    tables: ControlTables = field(factory=ControlTables)
    revision: int = 0
    subjects: dict[str, SubjectRevision] = field(factory=dict)
    answers: OrderedDict[RequestId, ChangeAnswer] = field(factory=OrderedDict)

    def find_answer(self, request_id: RequestId) -> ChangeAnswer | None:
        """Find the answer that a request was given before."""
        return self.answers.get(request_id)

    def check(self, request: ChangeRequest) -> Result[None, Failure]:
        """Refuse a change that conflicts with the state."""
        return self._check_revision(request).bind(
            lambda _: request.change.check(self.tables),
        )

    def apply(self, request: ChangeRequest) -> ChangeAnswer:
        """Decide a committed change; a resend gets the first answer."""
        known = self.find_answer(request.request_id)
        if known is not None:
            return known
        answer = self._decide(request)
        self.answers[request.request_id] = answer
        if len(self.answers) > _KEPT_ANSWERS:
            self.answers.popitem(last=False)
        return answer

    def get_subject_revision(self, subject: str) -> int:
        """Get the revision of a subject; 0 before its first change."""
        known = self.subjects.get(subject)
        return 0 if known is None else known.revision

    def _decide(self, request: ChangeRequest) -> ChangeAnswer:
        match self.check(request):
            case Result(tag='error', error=failure):
                return ChangeAnswer(
                    request_id=request.request_id,
                    accepted=False,
                    revision=self.revision,
                    code=failure.number,
                    message=failure.describe(),
                )
            case _:
                return self._accept(request.request_id, request.change)

    def _accept(self, request_id: RequestId, change: Change) -> ChangeAnswer:
        change.apply(self.tables)
        self.revision += 1
        self.subjects[change.get_subject()] = SubjectRevision(
            self.revision,
            request_id,
        )
        return ChangeAnswer(request_id, accepted=True, revision=self.revision)

    def _check_revision(self, request: ChangeRequest) -> Result[None, Failure]:
        subject = request.change.get_subject()
        known = self.subjects.get(subject, SubjectRevision(0, RequestId('')))
        expected = request.expected_revision
        if expected is None or expected == known.revision:
            return Ok(None)
        return Error(
            RevisionConflictFailure(
                subject=subject,
                expected_revision=expected,
                current_revision=known.revision,
                winner=known.request_id,
            ),
        )
