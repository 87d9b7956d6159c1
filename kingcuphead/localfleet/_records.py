"""Configuration records of a local fleet."""

import dataclasses
import hashlib
from typing import Any

import msgspec

from kingcuphead.localfleet._fleet import ENGINE_SERVICE, PLAIN_SERVICE
from kingcuphead.localfleet._plan import FleetPlan


@dataclasses.dataclass(frozen=True, slots=True)
class LocalOrganisation:
    """Organisation of a local fleet and its budget."""

    #: Name of the organisation and of its budget; the bearer key is "key-NAME".
    name: str
    #: Limit of the budget in prepaid tokens.
    limit: int
    #: Work classes that the organisation may use; the first is the default.
    classes: tuple[str, ...] = ("short",)
    #: Budget policy: "strict" or "available".
    policy: str = "strict"

    @property
    def key(self) -> str:
        """Bearer key that authenticates callers of the organisation."""
        return f"key-{self.name}"

    @property
    def key_digest(self) -> str:
        """SHA-256 digest of the bearer key, in hexadecimal."""
        return hashlib.sha256(self.key.encode()).hexdigest()


def list_records(
    plan: FleetPlan,
    organisations: tuple[LocalOrganisation, ...],
    max_output_tokens: int = 64,
) -> list[bytes]:
    """Return the encoded records of a fleet, each after the records it refers to."""
    models = tuple(sorted({name for engine in plan.engines for name in engine.models}))
    records: list[dict[str, Any]] = [
        _make_record("class", "review", rank=0, deadline=20.0),
        _make_record("class", "short", rank=1, deadline=20.0),
        _make_record("class", "background", rank=3, deadline=60.0, share=0.5),
        _make_record("service", ENGINE_SERVICE, type="engine"),
        _make_record("service", PLAIN_SERVICE, type="plain"),
    ]
    records += [
        _make_record("model", name, versions=["1"], max_output_tokens=max_output_tokens)
        for name in models
    ]
    records += [
        _make_record(
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
        _make_record(
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
        _make_record("budget", organisation.name, policy=organisation.policy),
        _make_record(
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


def _make_record(
    kind: str, name: str, schema: int = 1, **fields: Any
) -> dict[str, Any]:
    return {"kind": kind, "schema": schema, "name": name, **fields}
