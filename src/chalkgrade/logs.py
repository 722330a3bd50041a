"""Logging to standard error: plain text, or one JSON object a line.

Lines of a decision carry what they are about as fields: `term`, `job`, `machine`,
`attempt`. Plain text leaves them out, since the message names them.
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
    """The fields of a decision, for `extra`. An attempt is named TASK#TRY."""
    return {"term": term, "job": job, "machine": machine, "attempt": attempt}


def make_formatter(kind: str) -> logging.Formatter:
    """The formatter of that name, one of `FORMATS`."""
    if kind == "plain":
        return logging.Formatter(PLAIN_FORMAT)
    # Imported here: controllers that log plainly need not load it.
    from pythonjsonlogger.json import JsonFormatter

    names = ["asctime", "levelname", "name", "message"]
    return JsonFormatter(
        names,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        datefmt="%Y-%m-%dT%H:%M:%S%z",
    )


def configure_logging(level: str, kind: str) -> None:
    """Log to standard error from now on."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(make_formatter(kind))
    logging.basicConfig(level=LOG_LEVELS[level], handlers=[handler])
