"""The metrics page in the Prometheus text format."""

from chalkgrade.serving.node import Node


def render_metrics(node: Node) -> bytes:
    """Render a node's samples; prometheus_client is imported at the first scrape, not at start."""
    from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

    registry = CollectorRegistry()
    for sample in node.samples():
        kind = Counter if sample.counter else Gauge
        family = kind(
            f"chalkgrade_{sample.name}", sample.help_text, sample.labels, registry=registry
        )
        for labels, value in sample.values.items():
            child = family.labels(*labels) if labels else family
            if isinstance(child, Counter):
                child.inc(value)
            else:
                child.set(value)
    return generate_latest(registry)
