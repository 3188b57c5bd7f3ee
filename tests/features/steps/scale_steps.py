"""Steps on sites with many workers."""

from typing import Any

from attrs import evolve
from behave import given, then, when

from hornbeamstair_core.ids import WorkerId
from hornbeamstair_upstreams.work.known_announcements import (
    KnownAnnouncements,
)
from hornbeamstair_upstreams.work.messages import (
    Resources,
    WorkerAnnouncement,
    WorkerGone,
    WorkerSeen,
)
from hornbeamstair_upstreams.work.table import WorkerTable
from tests.support.work_model import make_worker_announcement

CHANGES = {
    'nothing has changed': {},
    'it leaves': {'is_leaving': True},
    'it has been restarted': {'incarnation': 2},
    'it has more memory': {'room': Resources(16000, 65536)},
    'it has been forgotten': {},
}


@given('a table of {count:d} workers')
def make_table(context: Any, count: int) -> None:
    """Make the replicated table of a process."""
    context.worker_table = WorkerTable()
    for number in range(count):
        context.worker_table.apply(WorkerSeen(_make_announcement(number)))


@when('each worker announces itself {times:d} times and {change}')
def announce(context: Any, times: int, change: str) -> None:
    """Find the announcements of which the leader hears."""
    known = KnownAnnouncements(context.worker_table)
    count = len(context.worker_table.workers)
    if change == 'it has been forgotten':
        for worker in list(context.worker_table.workers):
            context.worker_table.apply(WorkerGone(worker, 1))
    context.heard = [
        announced
        for number in range(count)
        for sequence in range(1, times + 1)
        if not known.contains(
            announced := evolve(
                _make_announcement(number),
                sequence=sequence,
                **CHANGES[change],
            )
        )
    ]


@then('the leader hears of {least:d} to {most:d} announcements')
def check_heard(context: Any, least: int, most: int) -> None:
    """Check the number of announcements that are forwarded."""
    assert least <= len(context.heard) <= most, len(context.heard)


def _make_announcement(number: int) -> WorkerAnnouncement:
    return make_worker_announcement(WorkerId(f'w{number}'), 1)
