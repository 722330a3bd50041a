"""Limits of request bodies, and metrics of how long the messages to and from workers are."""

import logging
from collections.abc import Iterable

from chalkgrade import constants
from chalkgrade.extensions.components import Sample, gauge
from chalkgrade.outside import Clock

log = logging.getLogger("chalkgrade.server")


class MessageSizes:
    """Checks the sizes of request bodies and remembers the largest messages of workers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._warned_at = -1e9  # monotonic time, s
        self.largest_report_bytes = 0
        self.largest_response_bytes = 0
        self.oversized_reports = 0  # reports beyond the protocol's limit

    def accepts(self, path: str, size: int) -> bool:
        """Returns whether a request body of `size` bytes is short enough to be handled."""
        if path != "/hello":
            return size <= constants.MAX_BODY_BYTES
        self.largest_report_bytes = max(self.largest_report_bytes, size)
        if size <= constants.MAX_BODY_BYTES:
            return True
        self.oversized_reports += 1
        self._warn(size)
        return size <= constants.MAX_REPORT_BODY_BYTES

    def note_response(self, path: str, size: int) -> None:
        """Notes the size of a response in bytes."""
        if path == "/hello":
            self.largest_response_bytes = max(self.largest_response_bytes, size)

    def _warn(self, size: int) -> None:
        """Logs an oversized report, once per interval: workers repeat theirs every second."""
        now = self._clock.now()
        if now - self._warned_at < constants.STATUS_LOG_INTERVAL_S:
            return
        self._warned_at = now
        log.warning(
            "report over the limit: %d bytes of %d; %d such reports so far",
            size,
            constants.MAX_BODY_BYTES,
            self.oversized_reports,
        )

    def samples(self) -> Iterable[Sample]:
        """Yields the metrics."""
        yield gauge("largest_report", "Longest worker report, bytes", self.largest_report_bytes)
        yield gauge(
            "largest_response", "Longest response to a worker, bytes", self.largest_response_bytes
        )
        yield gauge(
            "oversized_reports", "Worker reports beyond the size limit", self.oversized_reports
        )
