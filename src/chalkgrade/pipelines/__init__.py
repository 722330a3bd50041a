"""Dependencies of jobs: readiness, cancellation of successors, inherited deadlines and urgency."""
