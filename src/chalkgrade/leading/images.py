"""Which images machines hold, as far as reports and the record tell."""

from chalkgrade.machines.flavors import Flavor
from chalkgrade.machines.fleet import Machine
from chalkgrade.outside import Clock


def add_recorded_images(machine: Machine, images: dict[str, float], clock: Clock) -> None:
    """What the record says a machine was given work for (image -> GB): older than reports."""
    machine.image_gb |= images
    machine.images = {**dict.fromkeys(images, clock.now()), **machine.images}


def record_image_use(machine: Machine, bundle: str, flavor: Flavor | None, clock: Clock) -> None:
    """A task there has its image; the most recently used fit the machine's disk."""
    machine.images.pop(bundle, None)
    machine.images[bundle] = clock.now()
    room = flavor.localGb if flavor is not None else 0.0
    while (
        len(machine.images) > 1
        and room
        and sum(machine.image_gb.get(image, 0.0) for image in machine.images) > room
    ):
        oldest = next(iter(machine.images))
        del machine.images[oldest]
        machine.image_gb.pop(oldest, None)  # else one entry for each image it ever had
