"""Steps on the queueing, ejection and retry of calls."""

from random import Random
from typing import Any

from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from hornbeamstair_callers.queues import QueuedCall, ServiceQueue
from hornbeamstair_core.ids import CustomerId, ServiceName
from hornbeamstair_operators.messages import Urgency
from hornbeamstair_tools.samples import make_directory
from hornbeamstair_upstreams.messages import AttemptEnd, AttemptFailure
from hornbeamstair_upstreams.retries import RetryBudget, decide_retry
from tests.support.call_machine import CallMachine
from tests.support.random_voters import get_settings


@then(
    'a hypothesis run of calls with {examples:d} examples of {steps:d} steps '
    'finds no difference',
)
def run_calls(context: Any, examples: int, steps: int) -> None:
    """Run the state machine of calls with a fixed seed."""
    run_state_machine_as_test(
        CallMachine,
        settings=get_settings(examples, steps),
    )


@given('queued calls "{calls}"')
def queue_calls(context: Any, calls: str) -> None:
    """Queue calls written as NAME:CUSTOMER:WEIGHT:URGENCY."""
    context.queue = ServiceQueue()
    context.calls = {}
    for number, text in enumerate(calls.split()):
        name, customer, weight, urgency = text.split(':')
        call = QueuedCall(
            number,
            CustomerId(customer),
            int(weight),
            Urgency(urgency),
            0,
        )
        context.calls[name] = call
        context.queue.push(call)


@when('"{names}" are cancelled')
def cancel_calls(context: Any, names: str) -> None:
    """Cancel queued calls."""
    for name in names.split():
        context.queue.remove(context.calls[name])


@when('"" are cancelled')
def cancel_none(context: Any) -> None:
    """Cancel no call."""


@then('the calls leave the queue in the order "{order}"')
def check_order(context: Any, order: str) -> None:
    """Check the order in which calls leave the queue."""
    names = {call.call_id: name for name, call in context.calls.items()}
    popped = []
    while context.queue.length:
        popped.append(names[context.queue.pop().call_id])
    assert popped == order.split(), popped
    assert context.queue.pop() is None


@given('{count:d} queued calls of one customer')
def queue_equal_calls(context: Any, count: int) -> None:
    """Queue many calls."""
    context.queue = ServiceQueue()
    context.queued_calls = [
        QueuedCall(number, CustomerId('x'), 1, Urgency.urgent, 0)
        for number in range(count)
    ]
    for call in context.queued_calls:
        context.queue.push(call)


@when('all but the last are cancelled from the front')
def cancel_from_front(context: Any) -> None:
    """Cancel calls in the order in which they were queued."""
    for call in context.queued_calls[:-1]:
        context.queue.remove(call)


@then('the last call leaves next')
def check_last(context: Any) -> None:
    """Check the remaining call."""
    assert context.queue.length == 1
    assert context.queue.pop() == context.queued_calls[-1]


@given(
    'a service with {count:d} upstreams of which {failing:d} fail every call'
)
def make_service(context: Any, count: int, failing: int) -> None:
    """Make a directory and choose the failing upstreams."""
    context.directory = make_directory(count)
    context.failing = {f'fees-{number}' for number in range(failing)}


@when('{count:d} calls are sent to random upstreams')
def send_random(context: Any, count: int) -> None:
    """Send calls to random upstreams that are not ejected."""
    rng = Random(1)
    for _ in range(count):
        free = context.directory.find_free(ServiceName('fees'), 0.1)
        chosen = rng.choice(free)
        name = chosen.announcement.upstream
        context.directory.add_attempt(
            chosen, 0.1, failed=name in context.failing
        )


@then('at most {count:d} upstreams are ejected')
def check_ejected(context: Any, count: int) -> None:
    """Check the limit, and that upstreams were ejected."""
    context.ejected = {
        name
        for name, upstream in context.directory.upstreams.items()
        if upstream.is_ejected
    }
    assert 0 < len(context.ejected) <= count, context.ejected


@then('only failing upstreams are ejected')
def check_ejected_failing(context: Any) -> None:
    """Check that no working upstream was ejected."""
    assert context.ejected <= context.failing, context.ejected


@given('a retry budget of {rate:g} per second')
def make_budget(context: Any, rate: float) -> None:
    """Make a retry budget."""
    context.budget = RetryBudget(rate, 0)


@when('{count:d} retries are requested within {seconds:g} seconds')
def request_retries(context: Any, count: int, seconds: float) -> None:
    """Request retries at even intervals."""
    failure = AttemptFailure(
        AttemptEnd.connect_failed,
        may_have_run=False,
        details='',
    )
    decisions = [
        decide_retry(
            failure,
            1,
            context.budget,
            number * seconds / count,
            idempotent=False,
        )
        for number in range(count)
    ]
    context.allowed = sum(decision.is_allowed for decision in decisions)


@then('at most {count:d} retries are allowed')
def check_allowed(context: Any, count: int) -> None:
    """Check the number of allowed retries."""
    assert 0 < context.allowed <= count, context.allowed
