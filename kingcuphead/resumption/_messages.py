"""What daemons tell each other about streams that have begun."""

import enum
from typing import TypeAlias

from kingcuphead.frozen import frozen


@frozen
class BegunStream:
    """A stream of which a caller has the first event."""

    #: Id of the try that brought the first event.
    request_id: str
    #: Service of the target that made it; `service` alone is a keyword of Thrift.
    service_name: str
    #: Version of that target's software.
    software_version: str


@frozen
class StreamsBegan:
    """Streams that began at the sender, or the answer to `StreamAsked`."""

    #: The streams.
    streams: tuple[BegunStream, ...]


@frozen
class StreamAsked:
    """Asks for the origin of a stream; daemons that don't know it don't answer."""

    #: Id of the try that brought the first event.
    request_id: str


#: Messages that the daemons of a fleet exchange.
ResumptionMessage: TypeAlias = StreamsBegan | StreamAsked


@frozen
class StreamOrigin:
    """Where a stream has to go on."""

    #: Version of the software that made its events.
    software_version: str
    #: Service that began it; None if only the version is certain.
    service: str | None = None


class OriginSource(enum.StrEnum):
    """How the origin of a stream that a caller resumes became known."""

    #: Known before the search: the stream began here, was announced by another daemon,
    #: or had been read from the store.
    KNOWN = "known"
    #: Another daemon answered a query.
    PEER = "peer"
    #: The store was read.
    STORE = "store"
    #: The service had one version only.
    ONLY_VERSION = "only_version"
    #: Not found.
    UNKNOWN = "unknown"


@frozen
class ServedVersion:
    """A software version of a service."""

    #: Name of the service.
    service: str
    #: Version of its targets' software.
    software_version: str
