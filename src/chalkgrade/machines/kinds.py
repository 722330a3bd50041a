"""Kinds of machines: the cloud's types, and the pools they are rented from. Pure."""

import msgspec

from chalkgrade.record.changes import PersistedValue
from chalkgrade.record.jobs import JobSpec

Pool = tuple[str, str, bool]  # type, zone, spot
BOTH = (True, False)  # spot and ordinary


class Flavor(msgspec.Struct):
    sku: str
    vcpus: float
    memoryGb: float
    sites: list[str]
    gpus: float = 0.0
    localGb: float = 0.0
    pullGbPerS: float = 1.0
    hourly: float = 1.0
    spotPrice: float = 1.0
    bootS: float = 60.0

    @property
    def room(self) -> tuple[float, float, float]:
        return self.vcpus, self.gpus, self.memoryGb


def per_machine(spec: JobSpec, flavor: Flavor) -> int:
    """How many tasks of that shape fit an empty machine."""
    counts = [
        int((has + 1e-9) // needs)
        for needs, has in zip(spec.resources, flavor.room, strict=True)
        if needs > 0
    ]
    return min(counts, default=64)


FLAVORS_KEY = "cg/flavors"


class FlavorsValue(msgspec.Struct):
    """The value under cg/flavors: the types as the last leader knew them."""

    hosttypes: list[Flavor]


def kept_flavors(flavors: dict[str, Flavor]) -> PersistedValue:
    """The machine types as a value that outlives the leader; what is known already stays."""

    def load(raw: bytes) -> None:
        if not flavors:
            known = msgspec.json.decode(raw, type=FlavorsValue).hosttypes
            flavors.update({flavor.sku: flavor for flavor in known})

    return PersistedValue(FLAVORS_KEY, load, lambda: FlavorsValue(list(flavors.values())))
