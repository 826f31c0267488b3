"""What a deployment for demos, trials and measurements consists of."""

import attrs

from shallothinge.bundles.model import ModelSpec
from shallothinge.bundles.model import ServiceSpec
from shallothinge.settings import model as settings
from shallothinge.standin import model as standin

MODEL_NAME = 'small'
MODEL_VERSION = '1'
MODEL_ID = f'{MODEL_NAME}@{MODEL_VERSION}'


@attrs.frozen(kw_only=True)
class EnginePlan:
    """One stand-in engine with its agent.

    ``agent`` holds fields of the agent's ``[backend]`` table that differ
    from what follows from the engine's options.
    """

    zone: str
    options: standin.EngineOptions = standin.EngineOptions(models=(MODEL_ID,))
    agent: dict[str, object] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class ServicePlan:
    """One stand-in plain service with its agent."""

    zone: str
    name: str
    options: standin.ServiceOptions = standin.ServiceOptions()


@attrs.frozen(kw_only=True)
class WorkspacePlan:
    """One workspace; its API key is made with the deployment."""

    name: str
    allowance_tokens_per_month: int = 0
    weight: int = 1


@attrs.frozen(kw_only=True)
class Plan:
    """A whole deployment on this machine."""

    zones: tuple[str, ...] = ('zone-1', 'zone-2', 'zone-3')
    controls: int = 3
    entries: int = 2
    engines: tuple[EnginePlan, ...] = ()
    services: tuple[ServicePlan, ...] = ()
    workspaces: tuple[WorkspacePlan, ...] = (WorkspacePlan(name='tenants'),)
    models: tuple[ModelSpec, ...] = (
        ModelSpec(name=MODEL_NAME, version=MODEL_VERSION),
    )
    service_specs: tuple[ServiceSpec, ...] = ()
    admission: settings.AdmissionSettings = settings.AdmissionSettings()
    routing: settings.RoutingSettings = settings.RoutingSettings()
    leases: settings.LeaseSettings = settings.LeaseSettings()
    log_level: str = 'INFO'


def small_plan(**changes) -> Plan:
    """Return four engines and a service over three availability zones.

    :param changes: fields of ``Plan`` that differ.
    """
    plan = Plan(
        engines=tuple(
            EnginePlan(zone=f'zone-{number}') for number in (1, 2, 3, 1)
        ),
        services=(ServicePlan(zone='zone-1', name='jobs'),),
        service_specs=(ServiceSpec(name='jobs', repeatable=False),),
    )
    return attrs.evolve(plan, **changes)
