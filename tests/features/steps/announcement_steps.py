"""Steps with announcements of upstreams that arrive late."""

from typing import Any

from attrs import evolve
from behave import given, then, when

from hornbeamstair_core.ids import ServiceName
from hornbeamstair_tools.samples import make_announcement
from hornbeamstair_upstreams.directory import LEASE_SECONDS, UpstreamDirectory
from hornbeamstair_upstreams.messages import Departure

SERVICE = ServiceName('fees')
MARGIN_SECONDS = 0.1
# With fewer upstreams, none is ejected.
OTHERS = 2


@given('an upstream of incarnation {incarnation:d} whose lease has expired')
def expire_upstream(context: Any, incarnation: int) -> None:
    """Announce an upstream and let its lease expire."""
    _register(context, incarnation)
    _advance(context, LEASE_SECONDS + MARGIN_SECONDS)


@given(
    'an upstream of incarnation {incarnation:d} that has left and whose lease '
    'has expired',
)
def leave_and_expire(context: Any, incarnation: int) -> None:
    """Announce an upstream that leaves before its lease expires."""
    _register(context, incarnation)
    name = context.announcement.upstream
    context.directory.depart(Departure(name, incarnation), context.now)
    _advance(context, LEASE_SECONDS + MARGIN_SECONDS)


@when('an announcement of its incarnation {incarnation:d} arrives late')
@when('it announces its incarnation {incarnation:d}')
def announce(context: Any, incarnation: int) -> None:
    """Deliver an announcement."""
    announcement = evolve(context.announcement, incarnation=incarnation)
    context.directory.announce(announcement, context.now)


@when('the directory is idle for {seconds:d} seconds')
def pass_time(context: Any, seconds: int) -> None:
    """Let time pass."""
    _advance(context, seconds)


@given('an upstream of incarnation {incarnation:d} among others')
def register_among(context: Any, incarnation: int) -> None:
    """Announce an upstream, and others of its service."""
    _register(context, incarnation)
    for number in range(1, OTHERS + 1):
        other = make_announcement(number, SERVICE)
        context.directory.announce(other, context.now)


@when('{count:d} of its calls are in flight')
def send_calls(context: Any, count: int) -> None:
    """Send calls to the upstream."""
    context.upstream = context.directory.upstreams[
        context.announcement.upstream
    ]
    context.upstream.in_flight += count


@when('{count:d} of them fail')
def fail_calls(context: Any, count: int) -> None:
    """Have calls fail that were sent to the former incarnation."""
    for _ in range(count):
        context.upstream.in_flight -= 1
        context.directory.add_attempt(
            context.upstream, context.now, failed=True
        )


@then('it gets calls in all its slots')
def check_all_slots(context: Any) -> None:
    """Check that the directory offers all slots of the upstream."""
    free = {
        upstream.announcement.upstream: upstream.free_slots
        for upstream in context.directory.find_free(SERVICE, context.now)
    }
    announced = context.announcement
    assert free.get(announced.upstream) == announced.slots, free


@then('it gets no calls')
def check_unused(context: Any) -> None:
    """Check that the directory offers no upstream."""
    assert not context.directory.find_free(SERVICE, context.now)


@then('it may get calls')
def check_used(context: Any) -> None:
    """Check that the directory offers the upstream."""
    assert context.directory.find_free(SERVICE, context.now)


@then('the directory holds nothing of it')
def check_forgotten(context: Any) -> None:
    """Check that the memory of the directory is bounded."""
    directory = context.directory
    assert not directory.upstreams, directory.upstreams
    assert not directory.departed, directory.departed


def _register(context: Any, incarnation: int) -> None:
    context.now = 100.0
    context.directory = UpstreamDirectory()
    context.announcement = make_announcement(0, SERVICE)
    announce(context, incarnation)


def _advance(context: Any, seconds: float) -> None:
    context.now += seconds
    context.directory.expire(context.now)
