"""Response body of `GET /v1/models`."""

import msgspec

from kingcuphead.records import Configuration, Organisation


class _ModelEntry(msgspec.Struct, frozen=True):
    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "kingcuphead"


class _ModelList(msgspec.Struct, frozen=True):
    data: list[_ModelEntry]
    object: str = "list"


def encode_models(configuration: Configuration, organisation: Organisation) -> bytes:
    """Encode the list of an organisation's models that the configuration defines."""
    names = [name for name in organisation.models if name in configuration.models]
    return msgspec.json.encode(_ModelList([_ModelEntry(name) for name in names]))
