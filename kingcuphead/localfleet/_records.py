"""Records of the organisations that local fleets serve."""

import dataclasses
import hashlib
from typing import Any

import msgspec

from kingcuphead.localfleet._fleet import ENGINE_SERVICE, PLAIN_SERVICE
from kingcuphead.localfleet._plan import FleetPlan


@dataclasses.dataclass(frozen=True, slots=True)
class LocalOrganisation:
    """An organisation of a local fleet, with its prepaid tokens."""

    #: Name; its bearer key is "key-NAME" and its budget has the same name.
    name: str
    #: Prepaid tokens.
    limit: int
    #: Work classes.
    classes: tuple[str, ...] = ("short",)
    #: Policy of its budget.
    policy: str = "strict"

    @property
    def key(self) -> str:
        """Bearer key of its callers."""
        return f"key-{self.name}"

    @property
    def key_digest(self) -> str:
        """Digest of the bearer key."""
        return hashlib.sha256(self.key.encode()).hexdigest()


def list_records(
    plan: FleetPlan,
    organisations: tuple[LocalOrganisation, ...],
    max_output_tokens: int = 64,
) -> list[bytes]:
    """Return the encoded records of a fleet, in an order that can be applied."""
    models = tuple(sorted({name for engine in plan.engines for name in engine.models}))
    records: list[dict[str, Any]] = [
        _make("class", "review", rank=0, deadline=20.0),
        _make("class", "short", rank=1, deadline=20.0),
        _make("class", "background", rank=3, deadline=60.0, share=0.5),
        _make("service", ENGINE_SERVICE, type="engine"),
        _make("service", PLAIN_SERVICE, type="plain"),
    ]
    records += [
        _make("model", name, versions=["1"], max_output_tokens=max_output_tokens)
        for name in models
    ]
    records += [
        _make(
            "target",
            engine.name,
            schema=2,
            service=ENGINE_SERVICE,
            address=engine.address,
            zone="zone-a",
            models=engine.models,
        )
        for engine in plan.engines
    ]
    records += [
        _make(
            "target",
            service.name,
            schema=2,
            service=PLAIN_SERVICE,
            address=service.address,
            zone="zone-a",
        )
        for service in plan.services
    ]
    for organisation in organisations:
        records += _list_organisation(organisation, models)
    return [msgspec.json.encode(record) for record in records]


def _list_organisation(
    organisation: LocalOrganisation, models: tuple[str, ...]
) -> list[dict[str, Any]]:
    return [
        _make("budget", organisation.name, policy=organisation.policy),
        _make(
            "organisation",
            organisation.name,
            schema=2,
            key_digests=[organisation.key_digest],
            budget=organisation.name,
            models=models,
            services=[PLAIN_SERVICE],
            classes=organisation.classes,
        ),
    ]


def _make(kind: str, name: str, schema: int = 1, **fields: Any) -> dict[str, Any]:
    return {"kind": kind, "schema": schema, "name": name, **fields}
