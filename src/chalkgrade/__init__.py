"""chalkgrade: a cluster scheduler with bounded priority fairness."""

__version__ = "0.1.0"
