"""Steps with idempotency keys and processes whose log lags."""

from math import inf
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from expression import Error, Ok

from hornbeamstair_callers.events import KeyOutcomeLostEvent
from hornbeamstair_callers.failures import (
    KeyInProgressFailure,
    KeyNotClaimedFailure,
    KeyOutcomeUnknownFailure,
)
from hornbeamstair_core.failures import StoppingFailure
from hornbeamstair_replicas.failures import NotCommittedFailure
from tests.support.keys import ANSWER, CALL, KeyProcesses

KEY_MODULE = 'hornbeamstair_callers.key_store'


@given('a keyed call that was answered through "{name}"')
def answer_call(context: Any, name: str) -> None:
    """Claim the key and record an answer."""
    context.keys = KeyProcesses()
    assert context.keys.claim(name) is None
    context.keys.record(name, Ok(ANSWER))


@given('a keyed call that "{name}" claimed and did not run')
def release_key(context: Any, name: str) -> None:
    """Claim the key and release it."""
    context.keys = KeyProcesses()
    assert context.keys.claim(name) is None
    context.keys.record(name, Error(StoppingFailure()))


@given('a keyed call that "{name}" has sent and that is running')
def send_call(context: Any, name: str) -> None:
    """Claim the key and record no outcome."""
    context.keys = KeyProcesses()
    assert context.keys.claim(name) is None


@given(
    'a call whose claim through "{name}" was committed without an answer',
)
def claim_unanswered(context: Any, name: str) -> None:
    """Have a claim committed whose answer is lost."""
    context.keys = KeyProcesses()
    context.keys.log.answered = 0
    assert context.keys.claim(name) is not None
    context.keys.log.answered = inf


@when('the log commits nothing and "{name}" claims the same key')
def claim_concurrently(context: Any, name: str) -> None:
    """Claim the key of a running call as a call at the same time does."""
    context.keys.log.is_blocked = True
    assert context.keys.claim(name) is not None
    context.keys.log.is_blocked = False


@given('the log loses its answers after {count:d} commands')
def lose_answers(context: Any, count: int) -> None:
    """Have the answers to all further commands lost."""
    context.keys.log.answered = count


@then('it is refused as not run')
def check_not_run(context: Any) -> None:
    """Check the refusal."""
    expected = KeyNotClaimedFailure(NotCommittedFailure.name)
    assert context.found == Error(expected), context.found


@then('it is refused as in progress')
def check_in_progress(context: Any) -> None:
    """Check the refusal."""
    assert context.found == Error(KeyInProgressFailure()), context.found


@given('"{name}" has applied only its claim')
def add_lagging(context: Any, name: str) -> None:
    """Add a process that has applied the first command only."""
    context.keys.add_lagging(name)


@given('the log commits nothing')
def block_log(context: Any) -> None:
    """Have the log refuse all further commands."""
    context.keys.log.is_blocked = True


@when('the call is sent again through "{name}"')
def send_again(context: Any, name: str) -> None:
    """Find the answer to the resend."""
    context.name = name
    context.found = context.keys.find(name)


@when('its outcome is recorded through "{name}"')
def record_outcome(context: Any, name: str) -> None:
    """Record an answer and capture the logged events."""
    with patch(f'{KEY_MODULE}.log_event') as logged:
        context.keys.record(name, Ok(ANSWER))
    context.events = [call.args[0] for call in logged.call_args_list]


@then('it gets the recorded answer')
def check_recorded(context: Any) -> None:
    """Compare the answers."""
    assert context.found is not None
    assert context.found == Ok(ANSWER), context.found


@then('it gets no answer and may claim its key')
def check_free(context: Any) -> None:
    """Claim the key through the same process."""
    assert context.found is None, context.found
    assert context.keys.claim(context.name) is None


@then('it is refused with an unknown outcome')
def check_unknown(context: Any) -> None:
    """Check the refusal."""
    assert context.found == Error(KeyOutcomeUnknownFailure()), context.found


@then('an event with its key is logged')
def check_event(context: Any) -> None:
    """Check the event about the lost outcome."""
    assert len(context.events) == 1
    event = context.events[0]
    assert isinstance(event, KeyOutcomeLostEvent)
    assert event.key == CALL.idempotency_key
