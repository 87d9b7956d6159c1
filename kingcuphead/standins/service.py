"""Stand-in plain service with orders that must not be doubled.

Run it with ``python -m kingcuphead.standins.service --port PORT --name NAME``.
"""

import asyncio
import os

import msgspec
from tornado.web import Application, HTTPError

from kingcuphead.standins._service import Service, ServiceSwitches
from kingcuphead.standins._serving import StandInHandler, make_parser, serve
from kingcuphead.standins.chat import ORGANISATION_HEADER, REQUEST_ID_HEADER

#: Header that marks a call which must not repeat.
KEY_HEADER = "Idempotency-Key"
#: Exit status of the process after the fault that ends it.
EXIT_STATUS = 70


class OrderReply(msgspec.Struct, frozen=True):
    """Answer to an order."""

    #: Number of the order.
    order: int
    #: Name of the service.
    service: str


class CallReply(msgspec.Struct, frozen=True):
    """Answer to any other call; it repeats what was asked."""

    #: Name of the service.
    service: str
    #: Method of the call.
    method: str
    #: Path and query of the call.
    path: str
    #: Body of the call.
    body: str
    #: Request id of the call.
    request_id: str


class ServiceHandler(StandInHandler):
    """Handler that knows its service."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    def initialize(self, service: Service) -> None:
        """Take the service shared by all handlers."""
        self.service = service

    def read_header(self, name: str) -> str:
        """Return a header, or an empty string."""
        return self.request.headers.get(name, "")

    async def answer_executed(self, content: object, status: int) -> None:
        """Answer an executed call, unless a fault prevents it."""
        if self.service.switches.exit_after_next:
            os._exit(EXIT_STATUS)
        if self.service.take_lost_reply():
            self.drop_connection()
            return
        self.answer(content, status)

    async def show_faults(self) -> None:
        """Wait or refuse as the switches say."""
        await asyncio.sleep(self.service.switches.delay)
        if self.service.switches.refuse:
            raise HTTPError(503, reason="leaving")


class CallHandler(ServiceHandler):
    """Any other method and path."""

    async def answer_call(self, *_: str) -> None:
        """Repeat what was asked."""
        await self.show_faults()
        self.service.count_call()
        reply = CallReply(
            self.service.name,
            self.request.method or "",
            self.request.uri or "",
            self.request.body.decode(errors="replace"),
            self.read_header(REQUEST_ID_HEADER),
        )
        await self.answer_executed(reply, 200)

    get = post = put = delete = patch = head = options = answer_call


class OrdersHandler(CallHandler):
    """Orders that must not be doubled, beside calls that only look."""

    async def post(self, *_: str) -> None:
        """Execute an order."""
        await self.show_faults()
        dispatch = self.service.place_order(
            self.read_header(KEY_HEADER),
            self.request.body,
            self.read_header(REQUEST_ID_HEADER),
            self.read_header(ORGANISATION_HEADER),
        )
        reply = OrderReply(dispatch.number, self.service.name)
        await self.answer_executed(reply, 201)


class ServiceRecordsHandler(ServiceHandler):
    """What the service has done."""

    def get(self) -> None:
        """Show the records."""
        self.answer(self.service.records)


class ServiceSwitchesHandler(ServiceHandler):
    """The control of faults."""

    def get(self) -> None:
        """Show the switches."""
        self.answer(self.service.switches)

    def post(self) -> None:
        """Set the switches; those not named are reset."""
        self.service.switches = self.decode(ServiceSwitches)
        self.answer(self.service.switches)


def make_application(service: Service) -> Application:
    """Return the application over a service."""
    shared = {"service": service}
    return Application(
        [
            ("/records", ServiceRecordsHandler, shared),
            ("/switches", ServiceSwitchesHandler, shared),
            ("/orders", OrdersHandler, shared),
            ("/.*", CallHandler, shared),
        ],
        log_function=lambda _: None,
    )


def main() -> None:
    """Serve until SIGTERM."""
    parser = make_parser("Stand-in plain service.")
    parser.add_argument("--name", required=True, help="name of the service")
    arguments = parser.parse_args()
    application = make_application(Service(arguments.name))
    serve(application, arguments.port, f"service {arguments.name}")


if __name__ == "__main__":
    main()
