"""Descriptions of the two deployments, with the number and size of their instances."""

import dataclasses
import itertools

INSTANCES_PER_RACK = 4


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Deployment:
    """The instances that the platform provides to one user.

    Attributes
    ----------
    name : str
        Name; also the directory with its sheets under ``deployments``.
    data_centres, services : tuple of str
        Names of the data centres and of the services.
    servers_per_service, workers_per_service : int
        Number of backend servers and workers of each service.
    slots : int
        Number of executions that one backend server runs at the same time.
    worker_processors, worker_memory_mb, worker_accelerators : int
        Size of one worker.
    """

    name: str
    data_centres: tuple
    services: tuple
    servers_per_service: int = 6
    workers_per_service: int = 6
    slots: int = 8
    worker_processors: int = 16
    worker_memory_mb: int = 32 * 1024
    worker_accelerators: int = 0


BRAZOS = Deployment(
    name="brazos",
    data_centres=("brazos-1", "brazos-2", "brazos-3"),
    services=("cutting", "front-desk", "sizing", "rush-desk", "back-office"),
)

SCOICA = Deployment(
    name="scoica",
    data_centres=("tulcea", "galati", "braila"),
    services=("sulina", "crisan", "chilia", "sfantu-gheorghe", "head-office"),
    worker_processors=64,
    worker_memory_mb=256 * 1024,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (BRAZOS, SCOICA)}


def backend_servers(deployment):
    """Return the backend servers of a deployment.

    Parameters
    ----------
    deployment : Deployment
        The instances of each service are spread evenly over its data centres.

    Returns
    -------
    list of dict
        ``name``, ``kind``, ``service``, ``slots``, ``data_centre`` and ``rack``.
    """
    rows = _place_instances(
        deployment, "{service}-{number}", deployment.servers_per_service, ""
    )
    common = {"kind": "backend_server", "slots": deployment.slots}
    return [{**row, **common} for row in rows]


def workers(deployment):
    """Return the workers of a deployment.

    Parameters
    ----------
    deployment : Deployment
        The instances of each service are spread evenly over its data centres.

    Returns
    -------
    list of dict
        ``name``, ``kind``, ``service``, ``data_centre``, ``rack``, ``processors``,
        ``memory_mb`` and ``accelerators``.
    """
    count = deployment.workers_per_service
    rows = _place_instances(deployment, "{service}-worker-{number}", count, "w")
    common = {
        "kind": "worker",
        "processors": deployment.worker_processors,
        "memory_mb": deployment.worker_memory_mb,
        "accelerators": deployment.worker_accelerators,
    }
    return [{**row, **common} for row in rows]


def _place_instances(deployment, name_pattern, count, rack_prefix):
    placed_counts = {name: itertools.count() for name in deployment.data_centres}
    rows = []
    for service in deployment.services:
        centres = itertools.cycle(deployment.data_centres)
        for number in range(1, count + 1):
            centre = next(centres)
            rack = next(placed_counts[centre]) // INSTANCES_PER_RACK + 1
            rows.append(
                {
                    "name": name_pattern.format(service=service, number=number),
                    "service": service,
                    "data_centre": centre,
                    "rack": f"{centre}-{rack_prefix}rack{rack}",
                }
            )
    return rows
