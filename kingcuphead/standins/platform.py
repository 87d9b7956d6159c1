"""Stand-in platform: in-memory table, object store and lagging instance list.

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
    """Return the HTTP application of a platform; its state is empty by default."""
    handler_arguments = {"state": state or PlatformState()}
    return Application(
        [
            (wire.COMMIT_PATH, CommitHandler, handler_arguments),
            (wire.READ_PATH, ReadHandler, handler_arguments),
            (wire.SCAN_PATH, ScanHandler, handler_arguments),
            (wire.OBJECTS_PATH + "(.+)", ObjectHandler, handler_arguments),
            (wire.INSTANCES_PATH, InstancesHandler, handler_arguments),
            ("/switches", SwitchesHandler, handler_arguments),
            ("/records", RecordsHandler, handler_arguments),
        ],
        log_function=lambda _: None,
    )


def main() -> None:
    """Run the platform until SIGTERM or SIGINT."""
    arguments = make_parser("Stand-in platform.").parse_args()
    serve(make_application(), arguments.port, "platform")


if __name__ == "__main__":
    main()
