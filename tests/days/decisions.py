"""Digests the decisions of one randomly drawn day: prints the number of log lines and a hash.

    PYTHONHASHSEED=1 python3 tests/days/decisions.py SEED [--lines FILE]

Two runs that print the same line made the same decisions at the same times. `--lines` writes the
log lines to a file, to find the first one in which two runs differ.
"""

import argparse
import asyncio
import hashlib
import logging
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
sys.path[:0] = [str(ROOT / "src")]

from chalkgrade.experiments import meetings  # noqa: E402


class Digest(logging.Handler):
    """A log handler that counts and hashes the log lines, each with its virtual time."""

    def __init__(self, lines: Path | None) -> None:
        super().__init__()
        self.count = 0
        self.digest = hashlib.sha256()
        self._file = lines.open("w") if lines is not None else None

    def emit(self, record: logging.LogRecord) -> None:
        """Add one line to the digest, and to the file if there is one."""
        now = asyncio.get_event_loop().time()
        line = f"{now:.6f} {record.name} {record.getMessage()}\n"
        self.count += 1
        self.digest.update(line.encode())
        if self._file is not None:
            self._file.write(line)


def main() -> None:
    """Play the day of `experiment meetings` with the given seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seed", type=int)
    parser.add_argument("--lines", type=Path)
    args = parser.parse_args()
    handler = Digest(args.lines)
    logger = logging.getLogger("chalkgrade")
    logger.handlers, logger.propagate = [handler], False
    logger.setLevel(logging.DEBUG)
    figures = meetings.play(args.seed)
    print(handler.count, handler.digest.hexdigest(), figures["jobs"], figures["broken"])


if __name__ == "__main__":
    main()
