"""Sizes of the messages between controllers and a worker, whose bodies the protocol limits.

A worker lists every task of its machine in each report, so the number of tasks on one machine is
bounded by the size of a report. Entries are counted at their largest possible size: an attempt
may have any state by the time it is reported, and workers may format JSON with spaces.
"""

from chalkgrade import constants
from chalkgrade.record.jobs import JobSpec
from chalkgrade.vectors import Vector

# The largest entry of a report without the task's name and its try number.
_ENTRY_FRAME_BYTES = len(
    '{"task": "", "try": , "status": "ended", "cause": "incomplete", "kept": false}, '
)
# Digits of a task's index, which is below `TASKS_MAX`, with the slash before it.
_INDEX_CHARS = 6
_TRY_DIGITS = 6
# Resources of a machine without attempts: CPUs, GPUs, memory in GB, bytes of its report.
NO_DEMAND: Vector = (0.0, 0.0, 0.0, 0.0)
# What all attempts on a machine may take of one report, in bytes.
REPORT_CAPACITY_BYTES = float(constants.MAX_BODY_BYTES - constants.REPORT_HEADER_BYTES)


def report_entry_bytes(task: str) -> int:
    """Returns the most bytes that a report takes for the task of this name."""
    return _ENTRY_FRAME_BYTES + len(task) + _TRY_DIGITS


def machine_demand(spec: JobSpec) -> Vector:
    """Returns what one task takes of its machine: its resources, and bytes of the report."""
    entry_bytes = _ENTRY_FRAME_BYTES + len(spec.nameId) + _INDEX_CHARS + _TRY_DIGITS
    return spec.vcpus, spec.gpus, spec.memoryGb, float(entry_bytes)


def machine_capacity(resources: Vector) -> Vector:
    """Returns what a machine of these resources has for tasks, with the bytes of its report."""
    return (*resources, REPORT_CAPACITY_BYTES)
