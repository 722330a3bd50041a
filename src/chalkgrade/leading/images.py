"""Tracks which images machines hold, from their reports and from the record."""

from chalkgrade.machines.flavors import Flavor
from chalkgrade.machines.fleet import Machine
from chalkgrade.outside import Clock


def add_recorded_images(machine: Machine, images: dict[str, float], clock: Clock) -> None:
    """Adds images of work that the record assigns to a machine (image -> GB).

    The record is older than the reports, so these count as less recently used than the images
    that the machine reported.
    """
    machine.image_gb |= images
    machine.images = {**dict.fromkeys(images, clock.now()), **machine.images}


def record_image_use(machine: Machine, bundle: str, flavor: Flavor | None, clock: Clock) -> None:
    """Marks an image as used now, and drops the least recently used that exceed the disk."""
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
        machine.image_gb.pop(oldest, None)  # otherwise one entry stays for every image ever held
