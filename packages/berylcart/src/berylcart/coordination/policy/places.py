"""Select the upstreams to which a workspace's data may be sent."""

from collections.abc import Iterable

from berylcart.state.config import Configuration, Service, Workspace
from berylcart.state.vm import Vm, VmRole, VmState


def is_place_permitted(
    place: str,
    service: Service,
    workspace: Workspace,
    configuration: Configuration,
) -> bool:
    """Tell whether a workspace may use a service at a place.

    >>> from berylcart.state.config import Place, ServiceKind
    >>> place = Place("lahore-1", "punjab", {})
    >>> here = frozenset({"lahore-1"})
    >>> service = Service("booking", ServiceKind.PLAIN, here)
    >>> workspace = Workspace("clerks", here)
    >>> known = Configuration({"lahore-1": place}, {}, {}, {})
    >>> is_place_permitted("lahore-1", service, workspace, known)
    True
    >>> unknown = Configuration({}, {}, {}, {})
    >>> is_place_permitted("lahore-1", service, workspace, unknown)
    False
    """
    return (
        place in configuration.places
        and place in service.places
        and place in workspace.places
    )


def permitted_upstreams(
    vms: Iterable[Vm],
    service: Service,
    workspace: Workspace,
    configuration: Configuration,
) -> tuple[Vm, ...]:
    """Select the live upstreams of a service at permitted places."""
    return tuple(
        vm
        for vm in vms
        if vm.role is VmRole.UPSTREAM
        and vm.service == service.name
        and vm.state is VmState.LIVE
        and is_place_permitted(vm.place, service, workspace, configuration)
    )
