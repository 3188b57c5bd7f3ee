"""Control state: contracts and pools, changed only by committed log entries."""

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

# The oldest answers are dropped; a later resend is a new request.
_MAX_ANSWERS: Final = 20000


@frozen
class SubjectRevision:
    """Revision and request of the last accepted change of a subject."""

    revision: int
    request_id: RequestId


@define
class ControlState:
    """Tables in force, the revision of each subject and recent answers."""

    tables: ControlTables = field(factory=ControlTables)
    revision: int = 0
    subjects: dict[str, SubjectRevision] = field(factory=dict)
    answers: OrderedDict[RequestId, ChangeAnswer] = field(factory=OrderedDict)

    def find_answer(self, request_id: RequestId) -> ChangeAnswer | None:
        """Find the answer already given to a request."""
        return self.answers.get(request_id)

    def check(self, request: ChangeRequest) -> Result[None, Failure]:
        """Refuse a change that the current revision or tables do not allow."""
        return self._check_revision(request).bind(
            lambda _: request.change.check(self.tables),
        )

    def apply(self, request: ChangeRequest) -> ChangeAnswer:
        """Apply a committed change; a resend gets the first answer."""
        previous = self.find_answer(request.request_id)
        if previous is not None:
            return previous
        answer = self._check_and_apply(request)
        self.answers[request.request_id] = answer
        if len(self.answers) > _MAX_ANSWERS:
            self.answers.popitem(last=False)
        return answer

    def get_subject_revision(self, subject: str) -> int:
        """Get the revision of a subject, 0 before its first change."""
        current = self.subjects.get(subject)
        return 0 if current is None else current.revision

    def _check_and_apply(self, request: ChangeRequest) -> ChangeAnswer:
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
                return self._apply_accepted(request.request_id, request.change)

    def _apply_accepted(
        self,
        request_id: RequestId,
        change: Change,
    ) -> ChangeAnswer:
        change.apply(self.tables)
        self.revision += 1
        self.subjects[change.get_subject()] = SubjectRevision(
            self.revision,
            request_id,
        )
        return ChangeAnswer(request_id, accepted=True, revision=self.revision)

    def _check_revision(self, request: ChangeRequest) -> Result[None, Failure]:
        subject = request.change.get_subject()
        current = self.subjects.get(subject, SubjectRevision(0, RequestId('')))
        expected = request.expected_revision
        if expected is None or expected == current.revision:
            return Ok(None)
        return Error(
            RevisionConflictFailure(
                subject=subject,
                expected_revision=expected,
                current_revision=current.revision,
                winner=current.request_id,
            ),
        )
