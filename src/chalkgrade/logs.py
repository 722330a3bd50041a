"""Logging to standard error, as plain text or as one JSON object per line.

A log line of a decision has the fields `term`, `job`, `machine` and `attempt` that it refers to.
Plain text leaves them out, because the message names them.
"""

import logging
import sys
from typing import Any

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
PLAIN_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
LOG_FORMATS = ("plain", "json")


def decision_fields(
    term: int, job: str | None = None, machine: str | None = None, attempt: str | None = None
) -> dict[str, Any]:
    """Log fields of a decision, for the argument `extra`. `attempt` has the form TASK#TRY."""
    return {"term": term, "job": job, "machine": machine, "attempt": attempt}


def make_formatter(kind: str) -> logging.Formatter:
    """Create the formatter for a name of `LOG_FORMATS`."""
    if kind == "plain":
        return logging.Formatter(PLAIN_FORMAT)
    # Imported here so that controllers with plain logs do not load it.
    from pythonjsonlogger.json import JsonFormatter

    names = ["asctime", "levelname", "name", "message"]
    return JsonFormatter(
        names,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        datefmt="%Y-%m-%dT%H:%M:%S%z",
    )


def configure_logging(level: str, kind: str) -> None:
    """Send all log lines from `level` on to standard error, in the format `kind`."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(make_formatter(kind))
    logging.basicConfig(level=LOG_LEVELS[level], handlers=[handler])
