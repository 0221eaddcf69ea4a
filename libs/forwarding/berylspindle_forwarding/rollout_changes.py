"""Apply the catalogue's changes to the rollouts of this VM, and export their answers as metrics."""

from __future__ import annotations

from berylspindle_forwarding.catalogue_changes import (
    RolloutChange,
    RolloutOrderChange,
    RolloutShiftChange,
    RolloutStatusChange,
)
from berylspindle_forwarding.rollouts import Rollouts
from berylspindle_model.rollout import AnswerCounts
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics


def apply_change(rollouts: Rollouts, change: RolloutChange, *, is_new: bool) -> None:
    """Apply an entry of the store; `is_new` if it has just been written."""
    if isinstance(change, RolloutOrderChange):
        rollouts.apply_order(change.service, change.order, is_new=is_new)
    elif isinstance(change, RolloutStatusChange):
        rollouts.apply_status(change.service, change.status)
    elif isinstance(change, RolloutShiftChange):
        rollouts.apply_shift(change.service, change.shift)
    else:
        rollouts.apply_record(change.service, change.data_centre, change.answers)


def update_answer_metrics(metrics: Metrics, rollouts: Rollouts, service: str) -> None:
    """Set the metrics of the answers by which a service's new version is judged."""
    total = AnswerCounts()
    for counts in rollouts.answer_counts(service).values():
        total.add_all(counts)
    old = total.old.values()
    for version, result, value in (
        ("new", "all", total.new),
        ("new", "bad", total.new_bad),
        ("old", "all", sum(answers for answers, _ in old)),
        ("old", "bad", sum(bad for _, bad in old)),
    ):
        metrics.gauge(names.ROLLOUT_ANSWERS, value, service=service, version=version, result=result)
