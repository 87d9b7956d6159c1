"""Stand-in plain service with orders that must not be executed twice.

Run it with ``python -m kingcuphead.standins.service --port PORT --name NAME``.
"""

import asyncio
import os

import msgspec
from tornado.web import Application, HTTPError

from kingcuphead.standins._service import Service, ServiceSwitches
from kingcuphead.standins._serving import StandInHandler, make_parser, serve
from kingcuphead.standins.chat import ORGANISATION_HEADER, REQUEST_ID_HEADER

#: Request header of calls that must run at most once.
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
#: Exit status of the process after the `exit_after_next` fault.
CRASH_EXIT_STATUS = 70


class OrderReply(msgspec.Struct, frozen=True):
    """Response body of an executed order."""

    #: Sequence number of the execution, from 1.
    order: int
    #: Name of the service.
    service: str


class CallReply(msgspec.Struct, frozen=True):
    """Response body of any other call, which echoes the request."""

    #: Name of the service.
    service: str
    #: HTTP method of the call.
    method: str
    #: Path and query string of the call.
    path: str
    #: Body of the call, decoded as UTF-8.
    body: str
    #: Value of the `X-Request-Id` header, or an empty string.
    request_id: str


class ServiceHandler(StandInHandler):
    """Base class of the handlers, with access to the service."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    def initialize(self, service: Service) -> None:
        """Store the service, which all handlers share."""
        self.service = service

    def get_header(self, name: str) -> str:
        """Return the value of a request header, or an empty string."""
        return self.request.headers.get(name, "")

    async def send_answer(self, content: object, status: int) -> None:
        """Send the answer to an executed call, or inject a fault instead."""
        if self.service.switches.exit_after_next:
            os._exit(CRASH_EXIT_STATUS)
        if self.service.consume_lost_reply():
            self.drop_connection()
            return
        self.send_json(content, status)

    async def inject_faults(self) -> None:
        """Delay the call, then refuse it if the `refuse` switch is set."""
        await asyncio.sleep(self.service.switches.delay)
        if self.service.switches.refuse:
            raise HTTPError(503, reason="leaving")


class CallHandler(ServiceHandler):
    """Endpoint for calls with any method to all other paths."""

    async def handle_call(self, *_: str) -> None:
        """Echo the request."""
        await self.inject_faults()
        self.service.record_call()
        answer = CallReply(
            self.service.name,
            self.request.method or "",
            self.request.uri or "",
            self.request.body.decode(errors="replace"),
            self.get_header(REQUEST_ID_HEADER),
        )
        await self.send_answer(answer, 200)

    get = post = put = delete = patch = head = options = handle_call


class OrdersHandler(CallHandler):
    """Endpoint for orders, placed by POST; other methods are ordinary calls."""

    async def post(self, *_: str) -> None:
        """Execute an order."""
        await self.inject_faults()
        dispatch = self.service.place_order(
            self.get_header(IDEMPOTENCY_KEY_HEADER),
            self.request.body,
            self.get_header(REQUEST_ID_HEADER),
            self.get_header(ORGANISATION_HEADER),
        )
        answer = OrderReply(dispatch.number, self.service.name)
        await self.send_answer(answer, 201)


class ServiceRecordsHandler(ServiceHandler):
    """Endpoint for the records of orders and calls."""

    def get(self) -> None:
        """Return the records."""
        self.send_json(self.service.records)


class ServiceSwitchesHandler(ServiceHandler):
    """Endpoint that reads and sets the fault switches."""

    def get(self) -> None:
        """Return the switches."""
        self.send_json(self.service.switches)

    def post(self) -> None:
        """Replace the switches; omitted ones return to their defaults."""
        self.service.switches = self.decode_body(ServiceSwitches)
        self.send_json(self.service.switches)


def make_application(service: Service) -> Application:
    """Return the HTTP application of a service."""
    handler_arguments = {"service": service}
    return Application(
        [
            ("/records", ServiceRecordsHandler, handler_arguments),
            ("/switches", ServiceSwitchesHandler, handler_arguments),
            ("/orders", OrdersHandler, handler_arguments),
            ("/.*", CallHandler, handler_arguments),
        ],
        log_function=lambda _: None,
    )


def main() -> None:
    """Run the service until SIGTERM or SIGINT."""
    parser = make_parser("Stand-in plain service.")
    parser.add_argument("--name", required=True, help="name of the service")
    arguments = parser.parse_args()
    application = make_application(Service(arguments.name))
    serve(application, arguments.port, f"service {arguments.name}")


if __name__ == "__main__":
    main()
