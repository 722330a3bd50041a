"""What became of submissions: the answers, on what they rest, and their counts for operators."""

import enum
import logging
from typing import NamedTuple

from chalkgrade.extensions.components import Sample
from chalkgrade.serving.record_reader import Answer

log = logging.getLogger("chalkgrade.intake")

_OUTCOMES = {201: "created", 200: "known", 400: "refused", 422: "refused", 429: "no_memory"}
_UNDECIDED = "undecided"


class Route(enum.StrEnum):
    """Who decided about a submission."""

    LEADER = "leader"
    OWN_COMMIT = "own_commit"  # this node, by a commit without the leader
    LOCAL = "local"  # this node, by what it knows already


class Evidence(enum.StrEnum):
    """What was read that knows the job."""

    NOTHING = "nothing"
    REGISTRY = "registry"
    BATCH = "batch"
    OWN_KEY = "own_key"
    FINAL_KEY = "final_key"


class Decision(NamedTuple):
    """The answer to a submission, with its reasons."""

    answer: Answer
    route: Route
    evidence: Evidence = Evidence.NOTHING

    @property
    def outcome(self) -> str:
        """Return the kind of the answer: created, known, refused, no_memory or undecided."""
        return _OUTCOMES.get(self.answer[0], _UNDECIDED)


class DecisionCounts:
    """Counts the answers to submissions by outcome, route and evidence."""

    def __init__(self) -> None:
        self.counts: dict[tuple[str, ...], float] = {}

    def note(self, name: str, decision: Decision) -> None:
        """Count and log the answer to a submission of the job `name`."""
        labels = (decision.outcome, str(decision.route), str(decision.evidence))
        self.counts[labels] = self.counts.get(labels, 0) + 1
        log.debug("submission %s: %s by %s, read: %s", name, *labels)

    def sample(self) -> Sample:
        """Return the counts as a metric."""
        labels = ("outcome", "route", "evidence")
        return Sample("submissions", "Answers to submissions", labels, self.counts, counter=True)
