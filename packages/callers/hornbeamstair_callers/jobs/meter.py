"""Metrics of the scheduler."""

from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_callers.workspaces.meter import measure_workspaces
from hornbeamstair_core.metrics import Metrics

__all__ = ('measure_scheduler',)


def measure_scheduler(metrics: Metrics, scheduler: Scheduler | None) -> None:
    """Measure what the leader has decided; nothing is overdue elsewhere."""
    overdue = 0
    if scheduler is not None:
        overdue = scheduler.stall_event_logs.overdue.count
        measure_workspaces(metrics, scheduler.workspaces)
    metrics.gauges.labels('tasks_overdue').set(overdue)
