"""Machine types of the cloud and the pools that machines are rented from. Pure."""

import msgspec

from chalkgrade.machines.message_size import machine_capacity, machine_demand
from chalkgrade.record.changes import PersistedValue
from chalkgrade.record.jobs import TASKS_MAX, JobSpec
from chalkgrade.vectors import count_fitting

Pool = tuple[str, str, bool]  # machine type, zone, whether spot
SPOT_OPTIONS = (True, False)  # spot, on demand


class Flavor(msgspec.Struct):
    """A machine type: its resources, zones, image pull rate, hourly prices and boot time.

    `localGb` is the disk for images, GB; 0 if unknown. `bootS` is in seconds.
    """

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
    def resources(self) -> tuple[float, float, float]:
        """The resources of an empty machine: CPUs, GPUs and memory in GB."""
        return self.vcpus, self.gpus, self.memoryGb


def tasks_per_machine(spec: JobSpec, flavor: Flavor) -> int:
    """Returns how many tasks of a job fit on an empty machine of the type."""
    return count_fitting(machine_demand(spec), machine_capacity(flavor.resources), TASKS_MAX)


FLAVORS_KEY = "cg/flavors"


class FlavorsValue(msgspec.Struct):
    """The value under cg/flavors: the machine types as the last leader knew them."""

    hosttypes: list[Flavor]


def persisted_flavors(flavors: dict[str, Flavor]) -> PersistedValue:
    """Returns the persisted value of the machine types; loading never replaces known types."""

    def load(raw: bytes) -> None:
        if not flavors:
            loaded = msgspec.json.decode(raw, type=FlavorsValue).hosttypes
            flavors.update({flavor.sku: flavor for flavor in loaded})

    return PersistedValue(FLAVORS_KEY, load, lambda: FlavorsValue(list(flavors.values())))
