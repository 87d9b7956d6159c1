"""Stand-in platform: table, object store and lagging instance list in memory.

Run it with ``python -m kingcuphead.standins.platform --port PORT``.
"""

from tornado.web import Application

from kingcuphead.standins._platform_handlers import (
    CommitHandler,
    InstancesHandler,
    ObjectHandler,
    ReadHandler,
    RecordsHandler,
    ScanHandler,
    SwitchesHandler,
)
from kingcuphead.standins._platform_state import PlatformState
from kingcuphead.standins._serving import make_parser, serve
from kingcuphead.storage import wire


def make_application(state: PlatformState | None = None) -> Application:
    """Return the application over the given state, or over an empty one."""
    shared = {"state": state or PlatformState()}
    return Application(
        [
            (wire.COMMIT_PATH, CommitHandler, shared),
            (wire.READ_PATH, ReadHandler, shared),
            (wire.SCAN_PATH, ScanHandler, shared),
            (wire.OBJECTS_PATH + "(.+)", ObjectHandler, shared),
            (wire.INSTANCES_PATH, InstancesHandler, shared),
            ("/switches", SwitchesHandler, shared),
            ("/records", RecordsHandler, shared),
        ],
        log_function=lambda _: None,
    )


def main() -> None:
    """Serve until SIGTERM."""
    arguments = make_parser("Stand-in platform.").parse_args()
    serve(make_application(), arguments.port, "platform")


if __name__ == "__main__":
    main()
