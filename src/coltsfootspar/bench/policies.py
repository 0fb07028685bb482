"""The parts under test, as one node gets them."""

import enum
import random
from collections.abc import Callable

import attrs

from coltsfootspar.admission import (
    AdmissionController,
    EntryGate,
    create_admission_controller,
    create_baseline_controller,
    create_baseline_gate,
    create_entry_gate,
)
from coltsfootspar.routing import (
    Directory,
    PeerLink,
    Router,
    create_baseline_router,
    create_router,
)

__all__ = ["NodeSite", "Parts", "PolicyName", "create_parts"]


class PolicyName(enum.StrEnum):
    """Policies that can be compared."""

    BASELINE = "baseline"
    COLTSFOOTSPAR = "coltsfootspar"


@attrs.frozen
class NodeSite:
    """What the parts of a node need to know about it.

    :param slots: announced slots of its backend server.
    :param cold_start: time that the backend server needs to warm up, seconds.
    :param source: random numbers of this node.
    """

    node_id: str
    service: str
    region: str
    data_centre: str
    slots: int
    cold_start: float
    directory: Directory
    link: PeerLink
    source: random.Random


@attrs.frozen
class Parts:
    """Admission and routing of one node."""

    admission: AdmissionController
    gate: EntryGate
    router: Router


PartsFactory = Callable[[NodeSite], Parts]


def create_parts(policy: PolicyName, site: NodeSite) -> Parts:
    """Creates the parts of a node."""
    if policy is PolicyName.BASELINE:
        return Parts(
            create_baseline_controller(site.slots),
            create_baseline_gate(),
            create_baseline_router(site.directory, site.link, site.source),
        )
    return Parts(
        create_admission_controller(
            service=site.service, slots=site.slots, cold_start=site.cold_start
        ),
        create_entry_gate(),
        create_router(
            site.node_id,
            site.region,
            site.data_centre,
            site.directory,
            site.link,
            site.source,
        ),
    )
