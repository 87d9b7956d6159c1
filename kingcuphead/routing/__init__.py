"""Routes, services, API keys and organisations of one configuration version."""

from kingcuphead.routing._messages import (
    CallerLimits,
    EngineProfile,
    Organisation,
    RequestKind,
    Route,
    RoutingConfiguration,
    Service,
    WeightedService,
)
from kingcuphead.routing._table import RoutingTable, choose_service

__all__ = [
    "CallerLimits",
    "EngineProfile",
    "Organisation",
    "RequestKind",
    "Route",
    "RoutingConfiguration",
    "RoutingTable",
    "Service",
    "WeightedService",
    "choose_service",
]
