"""Metrics of the workspaces; none is labelled by workspace."""

from hornbeamstair_callers.workspaces.policies import WorkspacePolicies
from hornbeamstair_core.metrics import Metrics

__all__ = ('measure_workspaces',)


def measure_workspaces(metrics: Metrics, policies: WorkspacePolicies) -> None:
    """Count new refusals by cause, and the workspaces held by their limits."""
    for failure in policies.refusals.drain_unmetered():
        metrics.count_refusal(failure)
    metrics.gauges.labels('workspaces_held').set(policies.quotas.count_held())
